"""Tests of requests to replicas on a virtual clock with scripted replies."""

import asyncio
import collections
import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir import service
from fakes import virtual

SHARDS = tuple(core.ServiceName(f's{number}') for number in range(4))
NODE = core.ListedNode(
    core.NodeId('n2'),
    core.Address('127.0.0.1', 1),
    core.DataCentre('far'),
    core.Incarnation(1),
)
REQ = core.HttpRequest(
    core.RequestId('id'), 'GET', 'a.example', '/a/x', (), b'', 1.0
)
GATHER = core.Route(
    core.RouteName('gather'),
    'a.example',
    '/a/',
    core.Idempotency.IDEMPOTENT,
    core.Rank.URGENT,
    0.1,
    0.4,
    2,
    shards=SHARDS,
    top_k=5,
    min_coverage=0.75,
)
PLAIN = dataclasses.replace(
    GATHER, shards=(), splits=((SHARDS[0], 1.0),), top_k=0
)
ORDER = dataclasses.replace(PLAIN, repeat=core.Idempotency.NON_IDEMPOTENT)
SHED = core.NotRun(core.NotRunReason.SHED)
# Answers after which the delay of a window is known.
WINDOW_ANSWERS = 500
LOST = core.Lost(core.UnknownReason.REPLY_LOST)


def _reply(name='sig', status=200):
    return core.Replied(core.Reply(status, (), b'0' * 16, name))


@dataclasses.dataclass
class World:
    """Replicas of a test and what they were sent.

    Attributes:
        script: Delay and outcome of each request to a service, in turn;
            the last one repeats. A delay of None means no answer.
        copies: Replicas of each service.
        tokens: Extra requests that each service may get.
        groups: Split of the shards among nodes.
        answer: Delay and answer of the other node.
        expected: Seconds that each answer is expected to take.
        windows: Latencies that are known before.
        suspect_status: What is known of the request, or None.
    """

    route: core.Route = GATHER
    script: dict = dataclasses.field(default_factory=dict)
    copies: int = 2
    tokens: int = 9
    groups: tuple = (core.ShardGroup((0, 1, 2, 3)),)
    answer: tuple = (0.01, None)
    version: int = 1
    expected: float = 0.01
    windows: dict = dataclasses.field(default_factory=dict)
    suspect_status: core.SuspectStatus | None = None
    sends: list = dataclasses.field(default_factory=list)
    earned: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    spent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    left: list = dataclasses.field(default_factory=list)
    queries: list = dataclasses.field(default_factory=list)
    reports: list = dataclasses.field(default_factory=list)


def _make_peers(world):
    loop = asyncio.get_running_loop()
    index = core.index_routes(
        core.RouteTable(world.version, (world.route,), {})
    )
    counts = collections.Counter()

    def list_usable(name):
        return tuple(
            core.ListedReplica(
                core.ReplicaId(f'{name}-{copy}'),
                name,
                core.Address('127.0.0.1', 1),
                core.DataCentre('here'),
                core.ListedState.READY,
            )
            for copy in range(world.copies)
        )

    def choose(name, tried):
        for replica in list_usable(name):
            if replica.replica_id not in tried:
                return replica, world.expected
        return None

    def send(req, replica, route, deadline, take):
        steps = world.script.get(replica.service, [(0.01, _reply())])
        number = counts[replica.service]
        counts[replica.service] += 1
        delay, outcome = steps[min(number, len(steps) - 1)]
        world.sends.append((loop.time(), replica.replica_id))
        if delay is not None:
            loop.call_later(delay, take, outcome, delay)
        return replica.replica_id

    def take_extra(name, kind):
        if world.spent[name] >= world.tokens:
            return False
        world.spent[name] += 1
        return True

    async def ask_group(node, query):
        world.queries.append(query)
        delay, outcome, *missing_positions = world.answer
        await asyncio.sleep(delay)
        return core.GroupAnswer(outcome, delay, tuple(missing_positions))

    return service.RequestPeers(
        now=loop.time,
        find_index=lambda: index,
        list_usable=list_usable,
        choose=choose,
        choose_trial=lambda name, tried: None,
        send=send,
        abandon=world.left.append,
        withdraw=lambda handle: False,
        judge=lambda req: world.suspect_status,
        take_extra=take_extra,
        earn_tokens=lambda name: world.earned.update([name]),
        plan_groups=lambda route: world.groups,
        choose_owner=lambda owners: owners[0],
        ask_group=ask_group,
        list_far=lambda node, name: frozenset({f'{name}-0'}),
        round_trip=lambda node: 0.016,
        windows=world.windows,
        group_windows={},
        record=world.reports.append,
    )


def _run(world, req=REQ):
    async def main():
        started = asyncio.get_running_loop().time()
        outcome = await service.run_request(_make_peers(world), req)
        return outcome, asyncio.get_running_loop().time() - started

    return virtual.run(main)


def test_all_parts_are_merged_at_once():
    """Guards against an answer that waits though everything is in."""
    outcome, seconds = _run(World())
    assert isinstance(outcome, core.Gathered)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)
    assert seconds == pytest.approx(0.01)


def test_paused_replica_is_hedged_in_time():
    """Guards the load pattern of one replica that stops for 120 ms."""
    world = World(script={'s1': [(0.12, _reply()), (0.01, _reply())]})
    outcome, seconds = _run(world)
    assert outcome.missing == 0
    assert seconds < GATHER.target
    assert world.spent == {'s1': 1}


def _make_window(seconds):
    """Builds the window of a route whose answers all took so long."""
    window = core.make_latency_window(0.0)
    for number in range(WINDOW_ANSWERS):
        core.add_latency(window, seconds, number * 0.01)
    return window


def test_hanging_replica_is_hedged_where_the_deadline_precedes_the_target():
    """Guards against a hedge that is planned for after the deadline."""
    route = dataclasses.replace(PLAIN, target=1.0, timeout=0.4)
    world = World(
        route=route,
        script={'s0': [(None, None), (0.05, _reply())]},
        expected=0.05,
        windows={(route.name, core.DataCentre('here')): _make_window(0.6)},
    )
    outcome, seconds = _run(world)
    assert isinstance(outcome, core.Forwarded)
    assert seconds < route.timeout


def test_answer_goes_out_at_the_target_without_the_last_shard():
    """Guards worth: late and whole is worth less than in time and nearly."""
    outcome, seconds = _run(World(script={'s1': [(0.3, _reply())]}))
    assert outcome.missing == 1
    assert seconds == pytest.approx(GATHER.target - core.ANSWER_MARGIN)


def test_answer_with_too_few_shards_waits_beyond_the_target():
    """Guards coverage: an answer below the least share is no answer."""
    slow = [(0.2, _reply())]
    outcome, seconds = _run(World(script={'s1': slow, 's2': slow}, tokens=0))
    assert outcome.missing <= 1
    assert seconds == pytest.approx(0.2)


def test_shards_without_any_replica_end_the_request_at_once():
    """Guards against a wait for what is known not to come."""
    world = World(copies=0)
    outcome, seconds = _run(world)
    assert outcome.reason is core.NotRunReason.NO_REPLICA
    assert (seconds, world.sends) == (0.0, [])


def test_shards_that_all_fail_end_the_request_at_once():
    """Guards against holding a request that can no longer be answered."""
    outcome, seconds = _run(
        World(script={name: [(0.01, LOST)] for name in SHARDS})
    )
    assert isinstance(outcome, core.Unanswered)
    assert seconds == pytest.approx(0.02)


def test_refused_everywhere_is_declined():
    """Guards G4: what no replica ran is said not to have run."""
    world = World(script={name: [(0.01, SHED)] for name in SHARDS})
    outcome, _ = _run(world)
    assert isinstance(outcome, core.Declined)


def test_shard_is_sent_to_no_more_replicas_than_the_route_allows():
    """Guards the bound on attempts for each shard."""
    world = World(copies=5, script={'s1': [(0.01, LOST)]})
    _run(world)
    tried = {name for _, name in world.sends if name.startswith('s1')}
    assert len(tried) == 2


@pytest.mark.parametrize('budget, tokens', [(0.025, 0), (0.1, 4)])
def test_hopeless_attempt_costs_no_token(budget, tokens):
    """Guards other requests against retries of one without time left.

    A client came back with 10 ms left; each of its 135 shards took the
    token of a retry that could not be answered any more.
    """
    late = core.NotRun(core.NotRunReason.DEADLINE_PASSED)
    world = World(script={name: [(0.015, late)] for name in SHARDS})
    _run(world, dataclasses.replace(REQ, budget=budget))
    assert world.spent.total() == tokens


def test_without_tokens_nothing_is_sent_twice():
    """Guards replicas: a failing fleet gets no more than its plain load."""
    world = World(tokens=0, script={name: [(0.01, LOST)] for name in SHARDS})
    _run(world)
    assert len(world.sends) == len(SHARDS)


def test_replica_that_cannot_be_reached_costs_no_token():
    """Guards answers: a crashed replica refuses connections at once."""
    gone = core.NotRun(core.NotRunReason.UNREACHABLE)
    world = World(tokens=0, script={'s1': [(0.0, gone), (0.01, _reply())]})
    outcome, _ = _run(world)
    assert outcome.missing == 0
    assert not world.spent


@pytest.mark.parametrize('status', [200, 204, 404, 409])
def test_plain_reply_is_passed_on(status):
    """Guards against an answer that is not the replica's own."""
    world = World(PLAIN, {'s0': [(0.01, _reply('sig', status))]})
    outcome, _ = _run(world)
    assert outcome.reply.status == status


def test_failed_reply_is_retried_and_passed_on_at_last():
    """Guards callers against one replica that fails."""
    failed = (0.01, _reply('a', 500))
    world = World(PLAIN, {'s0': [failed, (0.01, _reply('b'))]})
    assert _run(world)[0].reply.signature == 'b'
    world = World(PLAIN, {'s0': [failed]})
    assert _run(world)[0].reply.status == 500


def test_lost_order_is_not_sent_again_nor_refused():
    """Guards G5: a work order that may have run must not run again."""
    world = World(ORDER, {'s0': [(0.01, LOST)]})
    outcome, _ = _run(world)
    assert isinstance(outcome, core.Unanswered)
    assert len(world.sends) == 1


def test_order_is_not_hedged():
    """Guards G5 against a second run beside a slow one."""
    world = World(ORDER, {'s0': [(0.3, _reply())]})
    _run(world)
    assert len(world.sends) == 1


def test_refused_order_goes_to_another_replica():
    """Guards callers: a refusal is certain not to have run."""
    world = World(ORDER, {'s0': [(0.01, SHED), (0.01, _reply())]})
    outcome, _ = _run(world)
    assert isinstance(outcome, core.Forwarded)
    assert len(world.sends) == 2


def test_no_answer_ends_at_the_timeout_of_the_route():
    """Guards against a caller that is kept waiting beyond the time-out."""
    world = World(ORDER, {'s0': [(None, None)]})
    outcome, seconds = _run(world)
    assert outcome == core.Unanswered(core.FailureReason.DEADLINE_PASSED)
    assert ORDER.timeout - 0.01 < seconds <= ORDER.timeout


def test_caller_that_leaves_ends_what_is_out():
    """Guards replicas against work that nobody waits for."""
    world = World(script={name: [(None, None)] for name in SHARDS})

    async def main():
        coro = service.run_request(_make_peers(world), REQ)
        task = asyncio.create_task(coro)
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.wait([task])

    virtual.run(main)
    assert sorted(world.left) == sorted(name for _, name in world.sends)


GROUPS = (core.ShardGroup((0, 1)), core.ShardGroup((2, 3), (NODE,)))


def _merged(*signatures):
    return core.Gathered(b'1' * 16, signatures, 2 - len(signatures))


def test_group_of_another_node_is_merged():
    """Guards against shards that are left out or in twice."""
    world = World(groups=GROUPS, answer=(0.02, _merged('s2', 's3')))
    outcome, seconds = _run(world)
    assert sorted(outcome.signatures) == ['s2', 's3', 'sig', 'sig']
    assert outcome.missing == 0
    assert outcome.body[:16] == b'1' * 16
    assert [name for _, name in world.sends] == ['s0-0', 's1-0']


def test_answer_of_a_node_is_due_before_the_target():
    """Guards the target against the way of a query and of its answer.

    The time that is left is what travels, so both ways come off it.
    """
    world = World(groups=GROUPS, answer=(0.02, _merged('s2', 's3')))
    _run(world)
    (query,) = world.queries
    assert query.due == pytest.approx(
        GATHER.target - core.ANSWER_MARGIN - 0.016
    )


def test_silent_node_is_hedged_from_here():
    """Guards against a node that freezes with other nodes' queries."""
    world = World(groups=GROUPS, answer=(9.0, _merged('s2', 's3')))
    outcome, seconds = _run(world)
    assert outcome.missing == 0
    assert seconds < GATHER.target
    assert world.spent == {'s2': 1, 's3': 1}
    # Only replicas near to the silent node, which it asked first itself.
    assert {name for _, name in world.sends[2:]} == {'s2-1', 's3-1'}


def test_node_that_was_not_asked_costs_no_token():
    """Guards the extra load: a first request is no retry."""
    declined = core.Declined(core.NotRunReason.OWNER_UNREACHABLE, 0.0)
    world = World(groups=GROUPS, answer=(0.001, declined))
    outcome, _ = _run(world)
    assert outcome.missing == 0
    assert not world.spent


def test_lost_answer_of_a_node_is_retried_with_one_attempt_each():
    """Guards the bound on attempts: the node may have asked already."""
    lost = core.Unanswered(core.FailureReason.UPSTREAM_ERROR)
    world = World(
        groups=GROUPS,
        answer=(0.001, lost),
        script={'s2': [(0.01, LOST)]},
    )
    outcome, _ = _run(world)
    assert outcome.missing == 1
    assert len([1 for _, name in world.sends if name.startswith('s2')]) == 1


def test_shards_that_a_node_lacks_are_asked_from_here_if_needed():
    """Guards coverage: an answer of a node may be too little alone."""
    world = World(groups=GROUPS, answer=(0.02, _merged('s2'), 1))
    outcome, _ = _run(world)
    assert (outcome.missing, world.spent) == (1, {})
    world = World(
        dataclasses.replace(GATHER, min_coverage=1.0),
        groups=GROUPS,
        answer=(0.02, _merged('s2'), 1),
    )
    outcome, _ = _run(world)
    assert (outcome.missing, world.spent) == (0, {'s3': 1})


def test_positions_beyond_the_group_are_passed_over():
    """Guards a request against an answer to another query."""
    world = World(
        dataclasses.replace(GATHER, min_coverage=1.0),
        groups=GROUPS,
        answer=(0.02, _merged('s2'), 7, -1, 1),
    )
    outcome, _ = _run(world)
    assert (outcome.missing, world.spent) == (0, {'s3': 1})


def test_node_answers_a_group_query_at_its_due_time():
    """Guards the other groups of a request against one that is late."""
    world = World(script={'s3': [(0.5, _reply())]}, tokens=0)
    query = core.GroupQuery(1, GATHER.name, (1, 3), REQ, 0.05, 1.0)

    async def main():
        return await service.run_group(_make_peers(world), query)

    answer = virtual.run(main)
    assert answer.outcome.signatures == ('sig',)
    assert answer.missing_positions == (1,)
    assert answer.seconds == pytest.approx(0.05)


@pytest.mark.parametrize('delay, parts', [(0.2, 2), (None, 1)])
def test_group_that_lacks_too_much_alone_answers_later(delay, parts):
    """Guards callers against an error where a late answer can be had.

    Three of four shards make an answer, so a group that lacks two cannot
    be part of one. A node answered without them at its due time, and the
    request failed with most of its time left.
    """
    slow = {'s2': [(delay, _reply())], 's3': [(None, _reply())]}
    world = World(script=slow, tokens=0)
    query = core.GroupQuery(1, GATHER.name, (1, 2, 3), REQ, 0.05, 0.4)

    async def main():
        return await service.run_group(_make_peers(world), query)

    answer = virtual.run(main)
    assert len(answer.outcome.signatures) == parts
    assert answer.seconds == pytest.approx(delay or 0.4)


def test_group_query_of_another_version_is_declined():
    """Guards G1: all parts come from one version of the configuration."""
    world = World(version=2)
    query = core.GroupQuery(1, GATHER.name, (0,), REQ, 1.0, 1.0)

    async def main():
        return await service.run_group(_make_peers(world), query)

    answer = virtual.run(main)
    assert isinstance(answer.outcome, core.Declined)
    assert not world.sends


def test_group_query_asks_its_shards_only():
    """Guards against positions that are taken for other shards."""
    world = World()
    query = core.GroupQuery(1, GATHER.name, (1, 3), REQ, 1.0, 1.0)

    async def main():
        return await service.run_group(_make_peers(world), query)

    answer = virtual.run(main)
    assert len(answer.outcome.signatures) == 2
    assert [name for _, name in world.sends] == ['s1-0', 's3-0']


OUTCOMES = st.sampled_from([_reply(), _reply('x', 500), SHED, LOST])
STEPS = st.lists(
    st.tuples(st.none() | st.floats(0.0, 0.5), OUTCOMES),
    min_size=1,
    max_size=3,
)


@given(
    st.fixed_dictionaries({name: STEPS for name in SHARDS}),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from([GATHER, PLAIN, ORDER]),
)
def test_every_request_has_one_true_answer_in_time(
    script, copies, tokens, route
):
    """Guards coverage, refusals, attempts and time-outs under any replies."""
    world = World(route, script, copies, tokens)
    outcome, seconds = _run(world)
    assert seconds <= route.timeout
    for name in SHARDS:
        sent = [item for _, item in world.sends if item.startswith(name)]
        assert len(sent) == len(set(sent)) <= route.max_attempts
        assert world.spent[name] <= tokens
    if isinstance(outcome, core.Gathered):
        assert len(outcome.signatures) + outcome.missing == len(SHARDS)
        assert len(outcome.signatures) >= core.min_parts(route)
    if isinstance(outcome, core.Declined):
        ran = [
            steps[number][1]
            for name, steps in script.items()
            for number, _ in enumerate(
                [1 for _, item in world.sends if item.startswith(name)]
            )
            if number < len(steps)
        ]
        assert all(item == SHED for item in ran)
