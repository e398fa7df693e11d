"""Measures the CPU time that tracing adds to a search.

A search of 50 pieces passes through fan-out, dispatch, the owner's queue and
the hop to the upstream in this process, with immediate replies. Rounds
alternate between searches without a tracer, with an unsampled trace and with a
sampled trace. Prints JSON.
"""

import argparse
import asyncio
import functools
import json
import random
import statistics
import time

from citronweir import core
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _hops as recorded_spans
from fakes import collector as collectors

PIECES = 50
ROUNDS = 15
SEARCHES_PER_ROUND = 40  # of each kind
LATENCY_TARGET = 5.0  # seconds
INDEX = core.IndexName('parts')
SHARES = {rank: 1 / len(core.Rank) for rank in core.Rank}
REQ = core.SearchRequest(
    core.RequestId('r'), core.ContractId('c'), INDEX, 'q', 10
)


def _do_nothing(*values):
    pass


def _make_pieces():
    step = core.KEY_SPACE_END // PIECES
    ends = [*range(0, core.KEY_SPACE_END, step)][:PIECES]
    ends.append(core.KEY_SPACE_END)
    return tuple(
        core.Piece(
            INDEX,
            core.SnapshotId(1),
            core.KeyRange(ends[number], ends[number + 1]),
            100,
            (core.ReplicaId(f'r{number}'),),
        )
        for number in range(PIECES)
    )


async def _send_to_replica(replica, sub):
    answer = core.SubAnswer(
        sub.snapshot, sub.key_range, 100, 100, 100 * PIECES, ()
    )
    return core.SubReport(answer, 0.001)


def _make_dispatch(metrics):
    owner = service.Owner(SHARES, 64, core.SuspectTable())
    address = core.Address('127.0.0.1', 1)

    def find_replica(replica_id):
        state = core.ReplicaState.READY
        return core.Replica(replica_id, address, state, slots=2)

    async def send(replica, sub):
        run = functools.partial(_send_to_replica, replica)
        return await recorded_spans.run_hop(
            'upstream', replica.replica_id, sub, run
        )

    async def check_crash(replica):
        return False

    deps = service.OwnerDependencies(
        time.monotonic,
        time.time,
        find_replica,
        lambda replica: 100,
        core.select_shares,
        send,
        check_crash,
        _do_nothing,
        _do_nothing,
        functools.partial(telemetry.record_queue_delay, metrics),
    )

    async def submit(replica_id, sub):
        answer = await service.submit(owner, deps, replica_id, sub)
        return answer.outcome

    return service.DispatchDependencies(
        time.monotonic,
        core.NodeId('n'),
        lambda replica_id: None,
        submit,
        submit,
        lambda member, since: True,
        _do_nothing,
        submit,
        lambda route: telemetry.record_route(metrics, route.value),
    )


def _make_dependencies():
    metrics = telemetry.make_metrics()
    pieces = _make_pieces()
    plan = core.Plan(INDEX, core.SnapshotId(1), 100 * PIECES, pieces)
    contract = core.Contract(
        core.ContractId('c'), core.Rank.URGENT, LATENCY_TARGET, 0.0, 1e12
    )
    return service.SearchDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_contract=lambda contract_id: contract,
        plan=lambda index: plan,
        retile=lambda *where: (),
        choose_replica=lambda piece, tried, rank: (
            None if tried else piece.candidates[0]
        ),
        send=functools.partial(service.dispatch_sub, _make_dispatch(metrics)),
        expected_wait=lambda plan, rank: 0.0,
        needs_canary=lambda req: False,
        is_quarantined=lambda req: False,
        record=functools.partial(telemetry.record_search, metrics),
        budgets={rank: core.make_budgets(0.05, 0.1) for rank in core.Rank},
        admission=core.Admission(100),
    )


async def _measure(deps, flags):
    """Returns the CPU time of a search in microseconds."""
    start = time.process_time()
    for _ in range(SEARCHES_PER_ROUND):
        trace = collectors.make_traceparent(flags) if flags else ''
        with telemetry.span('entry', trace) as entry_span:
            outcome = await service.run_search(deps, REQ, entry_span)
        assert isinstance(outcome, core.Complete)
    return (time.process_time() - start) / SEARCHES_PER_ROUND * 1e6


async def _run(rng):
    deps = _make_dependencies()
    flags_by_kind = {'off': '', 'unsampled': '00', 'sampled': '01'}
    measurements = {kind: [] for kind in flags_by_kind}
    await _measure(deps, '')
    for _ in range(ROUNDS):
        order = list(flags_by_kind)
        rng.shuffle(order)
        for kind in order:
            if kind != 'off':
                telemetry.start_tracing(0.0, {'node': 'n'})
            measurements[kind].append(
                await _measure(deps, flags_by_kind[kind])
            )
            telemetry.stop_tracing()
    medians = {
        kind: statistics.median(values)
        for kind, values in measurements.items()
    }
    return {
        'us': {kind: round(value, 1) for kind, value in medians.items()},
        'ratio_to_off': {
            kind: round(value / medians['off'], 3)
            for kind, value in medians.items()
        },
    }


def main() -> None:
    """Prints the measurements of the three kinds of searches."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    print(json.dumps(asyncio.run(_run(random.Random(args.seed))), indent=1))


if __name__ == '__main__':
    main()
