"""Measures the CPU time of the steps of a search by size."""

import asyncio
import functools
import random
import time

from bench import _fleet_data as fleet_data
from bench import _slopes as slopes
from citronweir import core
from citronweir import service
from citronweir.programs import _wire_front as wire_front

PIECE_COUNTS = (60, 120, 240, 490, 980)
REPLICA_COUNTS = (500, 1000, 2000, 2750)
PLANNED_PIECES = 490
NODE_COUNTS = (100, 200, 400, 583)
BATCH_SIZES = (1, 4, 16, 64)
RANK_SHARES = {
    core.Rank.URGENT: 0.7,
    core.Rank.ORDINARY: 0.2,
    core.Rank.DEFERRABLE: 0.1,
}
_REQ = core.SearchRequest(
    fleet_data.REQUEST_ID,
    core.ContractId('contract-000000'),
    fleet_data.INDEX,
    'pump line pressure',
    fleet_data.HITS,
    10.0,
)


def measure_all() -> list[slopes.Slope]:
    """Measures the slopes of the steps of a search."""
    return [
        asyncio.run(_measure_fanout()),
        _measure_replica_choice(),
        _measure_merge(),
        _measure_plan(),
        _measure_expected_wait(),
        asyncio.run(_measure_owner_queue()),
        _measure_list_owned(),
        _measure_owner_change(),
    ]


async def _measure_fanout():
    """Measures a search whose replies come in the next loop iteration."""
    loop = asyncio.get_running_loop()
    points = []
    for pieces in PIECE_COUNTS:
        table = fleet_data.make_table(pieces * fleet_data.CANDIDATES, pieces)
        deps = _make_dependencies(table, pieces, loop)

        async def search(deps=deps):
            outcome = await service.run_search(deps, _REQ, '')
            if not isinstance(outcome, core.Complete):
                raise RuntimeError(f'search ended as {outcome}')

        count = max(2, 4000 // pieces)
        points.append((pieces, await slopes.time_async(search, count)))
    return slopes.make_slope(
        'fanout',
        'one search at its entry, replica choice and merge included',
        'pieces',
        'us',
        points,
    )


def _make_dependencies(table, pieces, loop):
    rng = random.Random(1)
    answers = {}
    for number in range(pieces):
        key_range = fleet_data.make_range(number, pieces)
        answers[key_range] = fleet_data.make_answer(key_range, pieces)
    contract = fleet_data.make_contract(0, time.time())

    def send(replica_id, sub):
        future = loop.create_future()
        loop.call_soon(_set_answer, future, answers[sub.key_range])
        return future

    def choose(piece, tried, rank):
        now = time.monotonic()
        return core.choose_replica(
            table, piece.candidates, tried, rank, now, rng
        )

    return service.SearchDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_contract=lambda contract_id: contract,
        plan=functools.partial(core.plan_index, table),
        retile=lambda index, snapshot, within: (),
        choose_replica=choose,
        send=send,
        expected_wait=lambda plan, rank: 0.0,
        needs_canary=lambda req: False,
        is_quarantined=lambda req: False,
        record=lambda report: None,
        # No hedging: all replies arrive in the next iteration of the event
        # loop, so the delays before hedges would be very short.
        budgets={rank: core.make_budgets(0.0, 0.0) for rank in core.Rank},
        admission=core.Admission(256),
    )


def _set_answer(future, answer):
    if not future.done():
        future.set_result(answer)


def _measure_replica_choice():
    rng = random.Random(1)
    points = []
    for pieces in PIECE_COUNTS:
        table = fleet_data.make_table(pieces * fleet_data.CANDIDATES, pieces)
        plan = core.plan_index(table, fleet_data.INDEX)

        def choose(table=table, plan=plan):
            now = time.monotonic()
            for piece in plan.pieces:
                core.choose_replica(
                    table,
                    piece.candidates,
                    frozenset(),
                    core.Rank.URGENT,
                    now,
                    rng,
                )

        points.append((pieces, slopes.time_call(choose)))
    return slopes.make_slope(
        'choice', 'choice of a replica for each piece', 'pieces', 'us', points
    )


def _measure_merge():
    points = []
    for pieces in PIECE_COUNTS:
        plan, answers = _make_answers(pieces)

        def merge(plan=plan, answers=answers):
            merge_state = core.Merge(plan)
            for answer in answers:
                core.accept_answer(merge_state, answer.key_range, answer)
            core.build_outcome(merge_state, fleet_data.HITS)

        points.append((pieces, slopes.time_call(merge)))
    return slopes.make_slope(
        'merge',
        'merge of the replies of a search, 10 hits each',
        'pieces',
        'us',
        points,
    )


def _make_answers(pieces):
    table = fleet_data.make_table(pieces, pieces)
    plan = core.plan_index(table, fleet_data.INDEX)
    answers = [
        fleet_data.make_answer(piece.key_range, pieces)
        for piece in plan.pieces
    ]
    random.Random(1).shuffle(answers)
    return plan, answers


def _measure_plan():
    points = []
    for replicas in REPLICA_COUNTS:
        table = fleet_data.make_table(replicas, PLANNED_PIECES)

        def plan(table=table):
            table.plans.clear()
            core.plan_index(table, fleet_data.INDEX)

        points.append((replicas, slopes.time_call(plan)))
    return slopes.make_slope(
        'plan',
        'plan of an index after a change of a replica',
        'replicas',
        'us',
        points,
    )


def _measure_expected_wait():
    points = []
    for replicas in REPLICA_COUNTS:
        table = fleet_data.make_table(replicas, PLANNED_PIECES)
        plan = core.plan_index(table, fleet_data.INDEX)

        def wait(table=table, plan=plan):
            wire_front._find_worst_wait(
                table, plan, core.Rank.URGENT, time.monotonic()
            )

        points.append((replicas, slopes.time_call(wait)))
    return slopes.make_slope(
        'wait',
        'expected wait of a plan, kept for 20 ms',
        'replicas',
        'us',
        points,
    )


async def _measure_owner_queue():
    """Measures sub-requests that arrive at a replica's queue together."""
    replica = fleet_data.make_replica(0, PLANNED_PIECES)
    answer = fleet_data.make_answer(replica.holdings[0].key_range, 490)
    report = core.SubReport(answer, 0.003)

    async def send(replica, sub):
        await asyncio.sleep(0)
        return report

    async def check_crash(replica):
        return False

    deps = service.OwnerDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_replica=lambda replica_id: replica,
        limit_slots=lambda replica: 19,
        select=core.select_shares,
        send=send,
        check_crash=check_crash,
        send_suspicions=lambda records: None,
        mark_draining=lambda replica_id: None,
        record_queue_delay=lambda rank, seconds: None,
    )
    owner = service.Owner(RANK_SHARES, 256, core.SuspectTable())
    sub = fleet_data.make_sub_search(replica.holdings[0].key_range, 600.0)
    points = []
    for batch in BATCH_SIZES:

        async def submit(batch=batch):
            await asyncio.gather(
                *(
                    service.submit(owner, deps, replica.replica_id, sub)
                    for _ in range(batch)
                )
            )

        count = max(4, 512 // batch)
        points.append((batch, await slopes.time_async(submit, count)))
    return slopes.make_slope(
        'owner_queue',
        'sub-requests through the queue of their owner',
        'sub-requests at once',
        'us',
        points,
    )


def _make_membership(nodes):
    members = fleet_data.make_members(nodes)
    state = core.make_membership(
        members[0], (), core.merge_replica, random.Random(1), 0.0
    )
    for offset in range(1, nodes, 50):
        updates = tuple(members[offset : offset + 50])
        core.handle_message(state, core.Table(members[1], updates, True), 0.0)
    return state


def _measure_list_owned():
    membership = _make_membership(NODE_COUNTS[-1])
    points = []
    for replicas in REPLICA_COUNTS:
        replica_ids = [
            core.ReplicaId(f'readings-{number:05d}')
            for number in range(replicas)
        ]
        assignment = core.Assignment()
        fleet_data.count_owned_replicas(assignment, membership, replica_ids)

        def list_owned(assignment=assignment, replica_ids=replica_ids):
            fleet_data.count_owned_replicas(
                assignment, membership, replica_ids
            )

        points.append((replicas, slopes.time_call(list_owned)))
    return slopes.make_slope(
        'list_owned',
        'list of the owned replicas, each second',
        'replicas',
        'us',
        points,
    )


def _measure_owner_change():
    """Measures finding all owners after a node leaves or joins."""
    replica_ids = [
        core.ReplicaId(f'readings-{number:05d}')
        for number in range(REPLICA_COUNTS[-1])
    ]
    points = []
    for nodes in NODE_COUNTS:
        members = fleet_data.make_members(nodes)
        assignment = core.Assignment()

        def recompute(assignment=assignment, members=members):
            for alive in (members, members[:-1]):
                core.update_assignment(
                    assignment, assignment.version + 1, alive
                )
                for replica_id in replica_ids:
                    core.find_owner(assignment, replica_id)

        recompute()
        points.append((nodes, slopes.time_call(recompute) / 2))
    return slopes.make_slope(
        'owner_change',
        'owners of 2,750 replicas after one node left or joined',
        'nodes',
        'us',
        points,
    )
