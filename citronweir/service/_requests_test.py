"""Tests of requests with scripted replies of replicas and a virtual clock."""

import asyncio
import collections
import dataclasses
import math

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
MARGIN = core.DEFAULT_ROUND_TRIP + core.LOCAL_MARGIN  # seconds
# Number of latencies after which a window yields a hedge delay.
WINDOW_ANSWERS = 500
LOST = core.Lost(core.UnknownReason.REPLY_LOST)


def _make_reply(name='sig', status=200):
    return core.Replied(core.Reply(status, (), b'0' * 16, name))


@dataclasses.dataclass
class Scenario:
    """Scripted replicas and nodes, and the attempts they received.

    Attributes:
        scripts: Delay and outcome of each attempt at a service, in order. The
            last entry repeats. There is no outcome if the delay is None.
        replica_count: Number of replicas of each service.
        tokens: Number of hedges and retries allowed for each service.
        groups: Groups of the shards by node.
        answer: Delay, outcome and missing positions of the other node.
        expected: Expected latency of each attempt, seconds.
        windows: Latencies that are known beforehand.
        suspect_status: Suspect status of the request, or None.
        choice_step: 1 to choose the first replica of a service, -1 the last.
        stop_at: Time at which the node ends its requests.
        open_requests: Requests in progress.
        answer_delay: How late answers are sent.
        queued: Handles of attempts that still wait for a connection.
        cancelled: Times of the cancellations of queued attempts, by handle.
        pauses: Seconds until a replica accepts requests, by service.
        attempts: Time and replica of each attempt.
        earned: Number of requests that earned tokens, by service.
        spent: Number of tokens used, by service.
        abandoned: Handles of abandoned attempts.
        queries: Queries to the other node.
        reports: Reports of finished requests.
    """

    route: core.Route = GATHER
    scripts: dict = dataclasses.field(default_factory=dict)
    replica_count: int = 2
    tokens: int = 9
    groups: tuple = (core.ShardGroup((0, 1, 2, 3)),)
    answer: tuple = (0.01, None)
    version: int = 1
    expected: float = 0.01
    windows: dict = dataclasses.field(default_factory=dict)
    suspect_status: core.SuspectStatus | None = None
    choice_step: int = 1
    pauses: dict = dataclasses.field(default_factory=dict)
    stop_at: float = math.inf
    answer_delay: core.AnswerDelay = dataclasses.field(
        default_factory=core.AnswerDelay
    )
    queued: frozenset = frozenset()
    cancelled: dict = dataclasses.field(default_factory=dict)
    open_requests: set = dataclasses.field(default_factory=set)
    attempts: list = dataclasses.field(default_factory=list)
    earned: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    spent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    abandoned: list = dataclasses.field(default_factory=list)
    queries: list = dataclasses.field(default_factory=list)
    reports: list = dataclasses.field(default_factory=list)


def _make_dependencies(scenario):
    loop = asyncio.get_running_loop()
    index = core.index_routes(
        core.RouteTable(scenario.version, (scenario.route,), {})
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
            for copy in range(scenario.replica_count)
        )

    def choose(name, tried):
        for replica in list_usable(name)[:: scenario.choice_step]:
            if replica.replica_id not in tried:
                return replica, scenario.expected
        return None

    def send(req, replica, route, deadline, take):
        steps = scenario.scripts.get(replica.service, [(0.01, _make_reply())])
        number = counts[replica.service]
        counts[replica.service] += 1
        delay, outcome = steps[min(number, len(steps) - 1)]
        scenario.attempts.append((loop.time(), replica.replica_id))
        if delay is not None:
            loop.call_later(delay, take, outcome, delay)
        return replica.replica_id

    def cancel_waiting(handle):
        if handle not in scenario.queued:
            return False
        scenario.cancelled.setdefault(handle, loop.time())
        return True

    def take_extra(name, kind):
        if scenario.spent[name] >= scenario.tokens:
            return False
        scenario.spent[name] += 1
        return True

    async def ask_group(node, query):
        scenario.queries.append(query)
        delay, outcome, *missing_positions = scenario.answer
        await asyncio.sleep(delay)
        return core.GroupAnswer(outcome, delay, tuple(missing_positions))

    return service.RequestDependencies(
        now=loop.time,
        find_index=lambda: index,
        identify=lambda index, route, req: req,
        find_key_refusal=lambda identity: None,
        admit_tenant=None,
        return_token=lambda name: None,
        list_usable=lambda name, homes: list_usable(name),
        find_pause=lambda name, homes: scenario.pauses.get(name, 0.0),
        choose=lambda name, tried, homes: choose(name, tried),
        choose_trial=lambda name, tried, homes: None,
        send=send,
        abandon=scenario.abandoned.append,
        cancel_waiting=cancel_waiting,
        find_suspect_status=lambda req: scenario.suspect_status,
        take_extra=take_extra,
        earn_tokens=lambda name: scenario.earned.update([name]),
        plan_groups=lambda route: scenario.groups,
        choose_owner=lambda owners: owners[0],
        ask_group=ask_group,
        list_excluded=lambda node, name, homes, request_id, limit: (
            core.list_excluded(
                list_usable(name), {}, node.dc, request_id, limit
            )
        ),
        own=NODE,
        find_stop=lambda: scenario.stop_at,
        open_requests=scenario.open_requests,
        answer_delay=scenario.answer_delay,
        round_trip=lambda node: 0.016,
        windows=scenario.windows,
        group_windows={},
        record=scenario.reports.append,
    )


def _run(scenario, req=REQ):
    async def main():
        started = asyncio.get_running_loop().time()
        outcome = await service.run_request(_make_dependencies(scenario), req)
        return outcome, asyncio.get_running_loop().time() - started

    return virtual.run(main)


def test_complete_answer_is_sent_immediately():
    """An answer must not wait once all parts have been received."""
    outcome, seconds = _run(Scenario())
    assert isinstance(outcome, core.Gathered)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)
    assert seconds == pytest.approx(0.01)


def test_paused_replica_is_hedged_in_time():
    """A replica that pauses for 120 ms must not delay the answer."""
    scenario = Scenario(
        scripts={'s1': [(0.12, _make_reply()), (0.01, _make_reply())]}
    )
    outcome, seconds = _run(scenario)
    assert outcome.missing == 0
    assert seconds < GATHER.target
    assert scenario.spent == {'s1': 1}


def _make_window(seconds):
    """Builds a window in which all latencies are equal."""
    window = core.make_latency_window(0.0)
    for number in range(WINDOW_ANSWERS):
        core.add_latency(window, seconds, number * 0.01)
    return window


def test_hanging_replica_is_hedged_where_the_deadline_precedes_the_target():
    """A hedge must not be scheduled for after the deadline."""
    route = dataclasses.replace(PLAIN, target=1.0, timeout=0.4)
    scenario = Scenario(
        route=route,
        scripts={'s0': [(None, None), (0.05, _make_reply())]},
        expected=0.05,
        windows={(route.name, core.DataCentre('here')): _make_window(0.6)},
    )
    outcome, seconds = _run(scenario)
    assert isinstance(outcome, core.Forwarded)
    assert seconds < route.timeout


def test_answer_goes_out_at_the_target_without_the_last_shard():
    """A complete late answer is worth less than a partial timely one."""
    outcome, seconds = _run(Scenario(scripts={'s1': [(0.3, _make_reply())]}))
    assert outcome.missing == 1
    assert seconds == pytest.approx(GATHER.target - MARGIN)


def test_answer_is_due_earlier_where_the_caller_has_waited():
    """Guards the target of callers whose wait began before the request.

    On a quiet simulated day, one answer in eleven was late by a few
    milliseconds: for the handshake of its connection or a late timer.
    """
    slow = {'s3': [(None, None)]}
    due = GATHER.target - core.LOCAL_MARGIN
    for round_trip, elapsed in ((0.002, 0.0), (0.002, 0.002), (0.02, 0.02)):
        req = dataclasses.replace(REQ, round_trip=round_trip, elapsed=elapsed)
        _, seconds = _run(Scenario(scripts=slow, tokens=0), req)
        assert seconds == pytest.approx(due - round_trip - elapsed)
    delay = core.AnswerDelay(mean=0.008, deviation=0.001)
    scenario = Scenario(scripts=slow, tokens=0, answer_delay=delay)
    _, seconds = _run(scenario)
    assert seconds == pytest.approx(GATHER.target - 0.010 - 0.006)
    assert delay.mean < 0.008  # this answer was not late


def test_answer_with_too_few_shards_waits_beyond_the_target():
    """An answer below the minimum coverage must not be sent."""
    slow = [(0.2, _make_reply())]
    outcome, seconds = _run(
        Scenario(scripts={'s1': slow, 's2': slow}, tokens=0)
    )
    assert outcome.missing <= 1
    assert seconds == pytest.approx(0.2)


def test_request_without_replicas_ends_immediately():
    """A request that cannot be served must not wait."""
    scenario = Scenario(replica_count=0)
    outcome, seconds = _run(scenario)
    assert outcome.reason is core.NotRunReason.NO_REPLICA
    assert (seconds, scenario.attempts) == (0.0, [])


def test_request_is_declined_while_its_replicas_pause():
    """Guards callers against waiting for replicas that take no request.

    An answer needs three of four shards, so the third pause decides.
    """
    pauses = {'s0': 0.5, 's1': 2.0, 's2': 1.0}
    scenario = Scenario(pauses=pauses)
    outcome, seconds = _run(scenario)
    assert outcome == core.Declined(core.NotRunReason.PAUSED, 1.0)
    assert seconds == 0.0 and not scenario.attempts
    # The pause of one shard leaves enough of them.
    outcome, _ = _run(Scenario(pauses={'s1': 2.0}))
    assert isinstance(outcome, core.Gathered)


def test_pauses_of_this_node_do_not_bind_the_group_of_another():
    """Guards against refusals for shards that another node still reaches."""
    scenario = Scenario(
        groups=GROUPS,
        answer=(0.01, _make_merged('s2', 's3')),
        pauses={'s2': 1.0, 's3': 1.0},
    )
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Gathered)


@pytest.mark.parametrize('reason', ['LEAVING', 'PAUSED'])
def test_request_moves_on_from_a_queue_without_a_token(reason):
    """Guards requests that waited for a replica which takes no more."""
    moved = core.NotRun(core.NotRunReason[reason])
    scenario = Scenario(
        PLAIN, {'s0': [(0.0, moved), (0.01, _make_reply())]}, tokens=0
    )
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Forwarded)
    assert not scenario.spent


def test_stopping_node_declines_what_it_cannot_finish():
    """Guards G7: a request must not outlive the process that took it."""
    scenario = Scenario(stop_at=GATHER.target)
    outcome, seconds = _run(scenario)
    assert outcome.reason is core.NotRunReason.STOPPING
    assert seconds == 0.0 and not scenario.attempts
    late = Scenario(ORDER, {'s0': [(None, None)]}, stop_at=0.3)
    outcome, seconds = _run(late)
    assert isinstance(outcome, core.Unanswered)
    assert seconds == pytest.approx(0.3)
    assert not late.open_requests


def test_requests_in_progress_are_ended():
    """Guards G7: requests taken before the stop get an answer as well."""
    scenario = Scenario(ORDER, {'s0': [(None, None)]})

    async def main():
        deps = _make_dependencies(scenario)
        running = asyncio.create_task(service.run_request(deps, REQ))
        await asyncio.sleep(0.05)
        service.end_requests(deps)
        return await asyncio.wait_for(running, 0.01)

    outcome = virtual.run(main)
    assert outcome == core.Unanswered(core.FailureReason.DEADLINE_PASSED)


@pytest.mark.parametrize('route', [PLAIN, ORDER])
def test_request_that_was_never_sent_is_refused(route):
    """Guards G4: callers may repeat an order that waited until its deadline.

    Its attempt still counted as in flight, and the caller got a 504.
    """
    scenario = Scenario(
        route, {'s0': [(None, None)]}, tokens=0, queued=frozenset({'s0-0'})
    )
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Declined)
    in_progress = dataclasses.replace(scenario, queued=frozenset())
    outcome, _ = _run(in_progress)
    assert isinstance(outcome, core.Unanswered)


def test_request_ends_once_all_shards_failed():
    """A request that can no longer be answered must not wait."""
    outcome, seconds = _run(
        Scenario(scripts={name: [(0.01, LOST)] for name in SHARDS})
    )
    assert isinstance(outcome, core.Unanswered)
    assert seconds == pytest.approx(0.02)


def test_request_refused_by_all_replicas_is_declined():
    """G4: a request that no replica executed is reported as not run."""
    scenario = Scenario(scripts={name: [(0.01, SHED)] for name in SHARDS})
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Declined)


def test_shard_is_sent_to_no_more_replicas_than_the_route_allows():
    """Each shard gets at most the maximum attempts of the route."""
    scenario = Scenario(replica_count=5, scripts={'s1': [(0.01, LOST)]})
    _run(scenario)
    tried = {name for _, name in scenario.attempts if name.startswith('s1')}
    assert len(tried) == 2


@pytest.mark.parametrize('budget, tokens', [(0.025, 0), (0.1, 4)])
def test_retry_without_time_left_takes_no_token(budget, tokens):
    """A retry without enough time left must not take a token.

    A caller repeated a request with 10 ms left. Each of its 135 shards then
    took the token of a retry that could not be answered in time.
    """
    late = core.NotRun(core.NotRunReason.DEADLINE_PASSED)
    scenario = Scenario(scripts={name: [(0.015, late)] for name in SHARDS})
    _run(scenario, dataclasses.replace(REQ, budget=budget))
    assert scenario.spent.total() == tokens


def test_no_retry_without_tokens():
    """A failing fleet must not receive extra load without tokens."""
    scenario = Scenario(
        tokens=0, scripts={name: [(0.01, LOST)] for name in SHARDS}
    )
    _run(scenario)
    assert len(scenario.attempts) == len(SHARDS)


def test_retry_after_refused_connection_takes_no_token():
    """A retry after a refused connection adds no load to the replica."""
    gone = core.NotRun(core.NotRunReason.UNREACHABLE)
    scenario = Scenario(
        tokens=0, scripts={'s1': [(0.0, gone), (0.01, _make_reply())]}
    )
    outcome, _ = _run(scenario)
    assert outcome.missing == 0
    assert not scenario.spent


@pytest.mark.parametrize('status', [200, 204, 404, 409])
def test_plain_reply_is_passed_on(status):
    """The answer of the replica must reach the caller unchanged."""
    scenario = Scenario(PLAIN, {'s0': [(0.01, _make_reply('sig', status))]})
    outcome, _ = _run(scenario)
    assert outcome.reply.status == status


def test_error_reply_is_retried_and_passed_on_if_all_fail():
    """A failing replica must not cause an error if another one replies."""
    failed = (0.01, _make_reply('a', 500))
    scenario = Scenario(PLAIN, {'s0': [failed, (0.01, _make_reply('b'))]})
    assert _run(scenario)[0].reply.signature == 'b'
    scenario = Scenario(PLAIN, {'s0': [failed]})
    assert _run(scenario)[0].reply.status == 500


def test_lost_order_is_not_sent_again_nor_refused():
    """G5: a work order that may have run must not run again."""
    scenario = Scenario(ORDER, {'s0': [(0.01, LOST)]})
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Unanswered)
    assert len(scenario.attempts) == 1


def test_order_is_not_hedged():
    """G5: a slow work order must not run twice."""
    scenario = Scenario(ORDER, {'s0': [(0.3, _make_reply())]})
    _run(scenario)
    assert len(scenario.attempts) == 1


def test_refused_order_goes_to_another_replica():
    """An order that was certainly not run can be retried safely."""
    scenario = Scenario(ORDER, {'s0': [(0.01, SHED), (0.01, _make_reply())]})
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Forwarded)
    assert len(scenario.attempts) == 2


def test_no_answer_ends_at_the_timeout_of_the_route():
    """A caller must not wait beyond the timeout of the route."""
    scenario = Scenario(ORDER, {'s0': [(None, None)]})
    outcome, seconds = _run(scenario)
    assert outcome == core.Unanswered(core.FailureReason.DEADLINE_PASSED)
    assert ORDER.timeout - 0.01 < seconds <= ORDER.timeout


def test_disconnected_caller_cancels_attempts_in_flight():
    """Replicas must not keep working for a disconnected caller."""
    scenario = Scenario(scripts={name: [(None, None)] for name in SHARDS})

    async def main():
        coro = service.run_request(_make_dependencies(scenario), REQ)
        task = asyncio.create_task(coro)
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.wait([task])

    virtual.run(main)
    assert sorted(scenario.abandoned) == sorted(
        name for _, name in scenario.attempts
    )


def test_waiting_attempts_are_cancelled_once_the_request_is_answered():
    """Guards replicas against requests whose answer has been sent.

    They were sent once a connection came free, seconds after the caller had
    its answer without them.
    """
    scenario = Scenario(
        scripts={'s0': [(None, None)]},
        queued=frozenset({'s0-0', 's0-1'}),
    )
    outcome, seconds = _run(scenario)
    assert outcome.missing == 1
    assert set(scenario.cancelled) == {'s0-0', 's0-1'}
    assert max(scenario.cancelled.values()) == pytest.approx(seconds)


def test_waiting_attempts_of_a_plain_request_are_cancelled_by_its_answer():
    """Guards replicas against the loser of a hedge that was never sent."""
    scenario = Scenario(
        PLAIN,
        scripts={'s0': [(None, None), (0.01, _make_reply())]},
        queued=frozenset({'s0-0'}),
    )
    outcome, _ = _run(scenario)
    assert isinstance(outcome, core.Forwarded)
    assert set(scenario.cancelled) == {'s0-0'}


def test_waiting_attempt_is_cancelled_once_its_shard_has_answered():
    """Guards replicas against a lost hedge while other shards are awaited."""
    scenario = Scenario(
        scripts={
            's0': [(None, None), (0.001, _make_reply())],
            's1': [(0.3, _make_reply())],
            's2': [(0.3, _make_reply())],
        },
        queued=frozenset({'s0-0'}),
        tokens=1,
    )
    _, seconds = _run(scenario)
    assert scenario.cancelled['s0-0'] < seconds - 0.1


def test_waiting_attempts_of_a_group_query_are_cancelled_by_its_answer():
    """Guards replicas of a group whose answer another node has got."""
    scenario = Scenario(
        scripts={'s3': [(None, None)]}, tokens=0, queued=frozenset({'s3-0'})
    )
    query = core.GroupQuery(1, GATHER.name, (1, 3), REQ, 0.05, 1.0)

    async def main():
        return await service.run_group(_make_dependencies(scenario), query)

    answer = virtual.run(main)
    assert answer.missing_positions == (1,)
    assert set(scenario.cancelled) == {'s3-0'}


GROUPS = (core.ShardGroup((0, 1)), core.ShardGroup((2, 3), (NODE,)))


def _make_merged(*signatures):
    return core.Gathered(b'1' * 16, signatures, 2 - len(signatures))


def test_group_of_another_node_is_merged():
    """No shard may be omitted or counted twice."""
    scenario = Scenario(groups=GROUPS, answer=(0.02, _make_merged('s2', 's3')))
    outcome, seconds = _run(scenario)
    assert sorted(outcome.signatures) == ['s2', 's3', 'sig', 'sig']
    assert outcome.missing == 0
    assert outcome.body[:16] == b'1' * 16
    assert [name for _, name in scenario.attempts] == ['s0-0', 's1-0']


def test_answer_of_a_node_is_due_before_the_target():
    """The due time of a query must allow for the network time.

    Queries carry the remaining time, so the time of the query and of its
    answer are both subtracted.
    """
    scenario = Scenario(groups=GROUPS, answer=(0.02, _make_merged('s2', 's3')))
    _run(scenario)
    (query,) = scenario.queries
    assert query.due == pytest.approx(GATHER.target - MARGIN - 0.016)


def test_group_of_hanging_node_is_hedged_directly():
    """A node that hangs must not delay the queries of other nodes."""
    scenario = Scenario(groups=GROUPS, answer=(9.0, _make_merged('s2', 's3')))
    outcome, seconds = _run(scenario)
    assert outcome.missing == 0
    assert seconds < GATHER.target
    assert scenario.spent == {'s2': 1, 's3': 1}
    assert len(scenario.attempts) == 4


@pytest.mark.parametrize('request_id', [f'r{number}' for number in range(8)])
@pytest.mark.parametrize('replica_count', [2, 3, 5])
def test_two_nodes_reach_no_more_replicas_than_the_route_allows(
    replica_count, request_id
):
    """Guards a shard that a hanging node hedges and the other one asks too.

    One of four requests ran at three replicas of a shard, where two were
    allowed, on a simulated day.
    """
    req = dataclasses.replace(REQ, request_id=core.RequestId(request_id))
    slow = {name: [(None, None)] for name in SHARDS}
    asking = Scenario(
        groups=GROUPS,
        answer=(9.0, None),
        scripts=slow,
        replica_count=replica_count,
        choice_step=-1,
    )
    _run(asking, req)
    asked = Scenario(scripts=slow, replica_count=replica_count)
    query = core.GroupQuery(1, GATHER.name, (2, 3), req, 0.1, 0.4)

    async def main():
        return await service.run_group(_make_dependencies(asked), query)

    virtual.run(main)
    reached = {name for _, name in (*asking.attempts, *asked.attempts)}
    for name in ('s2', 's3'):
        count = sum(item.startswith(name) for item in reached)
        assert count == GATHER.max_attempts


def test_answer_of_another_node_cancels_the_attempts_of_its_hedge():
    """Guards replicas against a hedge that waits after the late answer.

    The request itself goes on, since another shard is awaited.
    """
    scenario = Scenario(
        groups=GROUPS,
        answer=(0.08, _make_merged('s2', 's3')),
        scripts={
            's1': [(0.3, _make_reply())],
            's2': [(None, None)],
            's3': [(None, None)],
        },
        queued=frozenset({'s2-0', 's3-0', 's2-1', 's3-1'}),
    )
    scenario = dataclasses.replace(
        scenario, route=dataclasses.replace(GATHER, min_coverage=1.0)
    )
    outcome, seconds = _run(scenario)
    assert outcome.missing == 0
    hedged = {
        name for _, name in scenario.attempts if name[:2] in ('s2', 's3')
    }
    assert hedged and hedged == set(scenario.cancelled)
    assert max(scenario.cancelled.values()) < seconds - 0.1


def test_group_that_a_node_declined_takes_no_token():
    """A first attempt is not a retry and takes no token."""
    declined = core.Declined(core.NotRunReason.OWNER_UNREACHABLE, 0.0)
    scenario = Scenario(groups=GROUPS, answer=(0.001, declined))
    outcome, _ = _run(scenario)
    assert outcome.missing == 0
    assert not scenario.spent


def test_lost_answer_of_a_node_is_retried_with_one_attempt_each():
    """The node that was asked may have sent attempts already."""
    lost = core.Unanswered(core.FailureReason.UPSTREAM_ERROR)
    scenario = Scenario(
        groups=GROUPS,
        answer=(0.001, lost),
        scripts={'s2': [(0.01, LOST)]},
    )
    outcome, _ = _run(scenario)
    assert outcome.missing == 1
    assert (
        len([1 for _, name in scenario.attempts if name.startswith('s2')]) == 1
    )


def test_shards_missing_from_a_group_are_called_if_needed():
    """Shards missing from an answer are called if coverage needs them."""
    scenario = Scenario(groups=GROUPS, answer=(0.02, _make_merged('s2'), 1))
    outcome, _ = _run(scenario)
    assert (outcome.missing, scenario.spent) == (1, {})
    scenario = Scenario(
        dataclasses.replace(GATHER, min_coverage=1.0),
        groups=GROUPS,
        answer=(0.02, _make_merged('s2'), 1),
    )
    outcome, _ = _run(scenario)
    assert (outcome.missing, scenario.spent) == (0, {'s3': 1})


def test_invalid_positions_of_missing_shards_are_ignored():
    """Invalid positions in an answer must be ignored."""
    scenario = Scenario(
        dataclasses.replace(GATHER, min_coverage=1.0),
        groups=GROUPS,
        answer=(0.02, _make_merged('s2'), 7, -1, 1),
    )
    outcome, _ = _run(scenario)
    assert (outcome.missing, scenario.spent) == (0, {'s3': 1})


def test_node_answers_a_group_query_at_its_due_time():
    """A late shard must not delay the parts of the other shards."""
    scenario = Scenario(scripts={'s3': [(0.5, _make_reply())]}, tokens=0)
    query = core.GroupQuery(1, GATHER.name, (1, 3), REQ, 0.05, 1.0)

    async def main():
        return await service.run_group(_make_dependencies(scenario), query)

    answer = virtual.run(main)
    assert answer.outcome.signatures == ('sig',)
    assert answer.missing_positions == (1,)
    assert answer.seconds == pytest.approx(0.05)


@pytest.mark.parametrize('delay, parts', [(0.2, 2), (None, 1)])
def test_group_that_lacks_too_many_shards_answers_later(delay, parts):
    """A late answer is better than an error.

    An answer needs three of four shards, so a group that lacks two is of no
    use. When a node answered without them at its due time, the request failed
    with most of its time left.
    """
    slow = {'s2': [(delay, _make_reply())], 's3': [(None, _make_reply())]}
    scenario = Scenario(scripts=slow, tokens=0)
    query = core.GroupQuery(1, GATHER.name, (1, 2, 3), REQ, 0.05, 0.4)

    async def main():
        return await service.run_group(_make_dependencies(scenario), query)

    answer = virtual.run(main)
    assert len(answer.outcome.signatures) == parts
    assert answer.seconds == pytest.approx(delay or 0.4)


def test_group_query_of_another_version_is_declined():
    """G1: all parts must come from one version of the configuration."""
    scenario = Scenario(version=2)
    query = core.GroupQuery(1, GATHER.name, (0,), REQ, 1.0, 1.0)

    async def main():
        return await service.run_group(_make_dependencies(scenario), query)

    answer = virtual.run(main)
    assert isinstance(answer.outcome, core.Declined)
    assert not scenario.attempts


def test_group_query_asks_its_shards_only():
    """Positions in a query refer to the shards of the whole route."""
    scenario = Scenario()
    query = core.GroupQuery(1, GATHER.name, (1, 3), REQ, 1.0, 1.0)

    async def main():
        return await service.run_group(_make_dependencies(scenario), query)

    answer = virtual.run(main)
    assert len(answer.outcome.signatures) == 2
    assert [name for _, name in scenario.attempts] == ['s1-0', 's3-0']


OUTCOMES = st.sampled_from([_make_reply(), _make_reply('x', 500), SHED, LOST])
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
def test_every_request_has_one_correct_answer_in_time(
    scripts, replica_count, tokens, route
):
    """Coverage, refusals, attempts and timeouts must always be correct."""
    scenario = Scenario(route, scripts, replica_count, tokens)
    outcome, seconds = _run(scenario)
    assert seconds <= route.timeout
    for name in SHARDS:
        sent = [item for _, item in scenario.attempts if item.startswith(name)]
        assert len(sent) == len(set(sent)) <= route.max_attempts
        assert scenario.spent[name] <= tokens
    if isinstance(outcome, core.Gathered):
        assert len(outcome.signatures) + outcome.missing == len(SHARDS)
        assert len(outcome.signatures) >= core.min_parts(route)
    if isinstance(outcome, core.Declined):
        ran = [
            steps[number][1]
            for name, steps in scripts.items()
            for number, _ in enumerate(
                [1 for _, item in scenario.attempts if item.startswith(name)]
            )
            if number < len(steps)
        ]
        assert all(item == SHED for item in ran)
