"""Sends one request to replicas of one service until one replies.

A plain request has one such run, a request over shards one for each
shard. Hedges and retries stay within the budget of the service and the
attempts that the route allows.
"""

import asyncio
from collections import abc
import dataclasses

from citronweir import core
from citronweir.service import _serial_attempts as serial_attempts

# Share of the replies of a route that a request waits for before it is
# hedged. Replicas that pause for a moment now and then are late for one
# request in 25, and slow work for one in 100.
HEDGE_QUANTILE = 0.95
# Before a route has enough replies, a request is late after so many times
# the expected seconds.
HEDGE_START_FACTOR = 3.0
HEDGE_MIN_DELAY = 0.008  # seconds
# A hedge later than this share of the time until the answer is due, or
# until the deadline, could not be in time itself.
HEDGE_LATEST_SHARE = 0.5

# Refusals of this node alone: nothing arrived at the replica, so that
# another attempt is no extra load.
_NOT_ARRIVED = frozenset(
    {core.NotRunReason.UNREACHABLE, core.NotRunReason.QUEUE_FULL}
)

Windows = dict[tuple[core.RouteName, core.DataCentre], core.LatencyWindow]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPeers:
    """What requests need from outside.

    Attributes:
        now: Monotonic clock, seconds.
        find_index: Routes in force, or None without a configuration.
        list_usable: Replicas of a service that take new requests.
        choose: Chooses a replica of a service that was not tried, with
            its expected seconds to the answer.
        choose_trial: Finds a replica of a service that was slow or failed
            and is due for a trial.
        send: Sends a request to a replica and gives a handle; the last
            argument takes the outcome and the seconds that it took.
        leave: Ends what is out for a caller that has left.
        withdraw: Takes back what has not left this node yet; its outcome
            then comes at once.
        judge: Tells whether replicas may end under a request.
        take_extra: Takes the token of a hedge or retry at a service.
        note_request: Earns a service's share of one request.
        plan_groups: Splits the shards of a route among nodes.
        choose_owner: Chooses a node that can be asked for a group.
        ask_group: Has another node ask a group of shards.
        list_far: Replicas of a service outside of a node's region.
        round_trip: Seconds that a query to another node and its answer are
            on their way.
        windows: Latencies of each route, by data centre of the replica.
        group_windows: The same of the answers of other nodes.
        record: Takes what became of each request.
    """

    now: abc.Callable[[], float]
    find_index: abc.Callable[[], core.RouteIndex | None]
    list_usable: abc.Callable[
        [core.ServiceName], tuple[core.ListedReplica, ...]
    ]
    choose: abc.Callable[
        [core.ServiceName, abc.Container[core.ReplicaId]],
        tuple[core.ListedReplica, float] | None,
    ]
    choose_trial: abc.Callable[
        [core.ServiceName, abc.Container[core.ReplicaId]],
        core.ListedReplica | None,
    ]
    send: abc.Callable[..., object]
    abandon: abc.Callable[[object], None]
    withdraw: abc.Callable[[object], bool]
    judge: abc.Callable[[core.HttpRequest], core.SuspectStatus | None]
    take_extra: abc.Callable[[core.ServiceName, core.AttemptKind], bool]
    earn_tokens: abc.Callable[[core.ServiceName], None]
    plan_groups: abc.Callable[[core.Route], tuple[core.ShardGroup, ...]]
    choose_owner: abc.Callable[
        [tuple[core.ListedNode, ...]], core.ListedNode | None
    ]
    ask_group: abc.Callable[
        [core.ListedNode, core.GroupQuery], abc.Awaitable[core.GroupAnswer]
    ]
    list_far: abc.Callable[
        [core.ListedNode, core.ServiceName], frozenset[core.ReplicaId]
    ]
    round_trip: abc.Callable[[core.ListedNode], float]
    windows: Windows
    group_windows: Windows
    record: abc.Callable[['RequestReport'], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """What became of a request, for logs and metrics.

    Attributes:
        seconds: From arrival to the answer.
        parts: Shards, or replies, that are in.
        services: Shards, or services, that were asked.
        hedges: Requests to a second replica while the first was out.
        retries: Requests that followed another outcome.
        groups: Groups of shards that other nodes were asked for.
        is_group: Whether another node had the request.
    """

    request_id: core.RequestId
    route: core.Route | None
    outcome: core.RequestOutcome
    seconds: float
    parts: int = 0
    services: int = 0
    hedges: int = 0
    retries: int = 0
    groups: int = 0
    is_group: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """State of one request at one service.

    Attributes:
        tried: Replicas that it was sent to, or that refused it.
        reached: Replicas that may have got it; the route bounds them.
        out: Attempts without an outcome.
        hedge_at: Monotonic second at which the first one is late.
        is_executed: Whether some replica may have run it.
        reply: First usable reply.
        failure: Reply of a replica that failed, if there is one.
        is_over: Whether no attempt is out and none will follow.
    """

    service: core.ServiceName
    tried: set[core.ReplicaId] = dataclasses.field(default_factory=set)
    reached: int = 0
    out: int = 0
    hedge_at: float | None = None
    is_hedged: bool = False
    is_executed: bool = False
    reply: core.Reply | None = None
    failure: core.Reply | None = None
    reason: core.NotRunReason | None = None
    is_over: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """Services that one node asks for a request.

    Attributes:
        runs: Started where this node asks the services itself.
        parts: Runs with a reply.
        open_runs: Runs that may still get one.
        owner: Node that was asked.
        query: Call of another node that is out.
        is_asked: Whether another node may have asked the services.
        is_absent: Whether another node answered without the services.
        merged: What another node answered.
    """

    shard_positions: tuple[int, ...]
    services: tuple[core.ServiceName, ...]
    owners: tuple[core.ListedNode, ...] = ()
    runs: list[Run] = dataclasses.field(default_factory=list)
    parts: int = 0
    open_runs: int = 0
    owner: core.ListedNode | None = None
    query: asyncio.Future | None = None
    is_asked: bool = False
    is_absent: bool = False
    merged: core.Gathered | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """State of one request of a caller, or of a group query of a node.

    Attributes:
        due: Monotonic second at which a sufficient answer goes out.
        deadline: Monotonic second by which the answer is due.
        done: Set when the answer can be made.
        min_parts: Shards below which it waits while they may come, also
            where fewer make an answer.
        is_due: Whether the time of ``due`` has come.
        is_open: Whether outcomes still count.
        handles: What was sent, to be ended when the caller leaves.
        judge: Called when something came in or can no longer come.
        serial: Whether its attempts are sent one at a time.
    """

    peers: RequestPeers
    req: core.HttpRequest
    route: core.Route
    version: int
    started: float
    due: float
    deadline: float
    done: asyncio.Future
    groups: list[Group]
    judge: abc.Callable[['Request'], None]
    min_parts: int = 0
    is_due: bool = False
    is_open: bool = True
    timers: list[asyncio.TimerHandle] = dataclasses.field(default_factory=list)
    handles: list[object] = dataclasses.field(default_factory=list)
    hedges: int = 0
    retries: int = 0
    serial: serial_attempts.SerialState = dataclasses.field(
        default_factory=serial_attempts.SerialState
    )


def start_run(
    request: Request, group: Group, run: Run, kind: core.AttemptKind
) -> None:
    """Sends the first attempt of a run.

    Args:
        request: Request of a caller.
        group: Group that the run belongs to.
        run: Run at one service.
        kind: FIRST, or another kind where another node may have asked
            the service already; this attempt is then the only one.
    """
    group.runs.append(run)
    group.open_runs += 1
    if kind is not core.AttemptKind.FIRST:
        # The other node may have reached replicas already, those near to
        # it first; another one could be one more than the route allows.
        run.reached = request.route.max_attempts - 1
        if group.owner is not None:
            run.tried |= request.peers.list_far(group.owner, run.service)
        _attempt(request, group, run, kind)
        return
    request.peers.earn_tokens(run.service)
    _attempt(request, group, run, kind)
    if run.out and request.route.repeat is core.Idempotency.IDEMPOTENT:
        _try_beside(request, group, run)


def hedge_run(request: Request, group: Group, run: Run) -> None:
    """Sends a second attempt beside one that is late, if one is allowed."""
    run.is_hedged = True
    if request.serial.is_on:
        request.serial.held.append((group, run, core.AttemptKind.HEDGE))
        send_held(request)
        return
    if run.reached >= request.route.max_attempts:
        return
    chosen = request.peers.choose(run.service, run.tried)
    if chosen is None or chosen[1] >= core.AVOID_PENALTY:
        return
    if not _is_in_time(request, chosen[1]):
        return
    kind = core.AttemptKind.HEDGE
    if request.peers.take_extra(run.service, kind):
        request.hedges += 1
        _send(request, group, run, chosen, kind)


def hedge_delay(
    request: Request, window: core.LatencyWindow | None, expected: float
) -> float:
    """Returns the seconds after which an answer is late.

    Args:
        request: Request of a caller, or group query of a node, which is
            due earlier.
        window: Latencies of like answers, or None before the first.
        expected: Seconds that the answer is expected to take.
    """
    unexplained = HEDGE_START_FACTOR * expected
    delay = None if window is None else window.delay
    if delay is None:
        delay = unexplained
    due = HEDGE_LATEST_SHARE * (request.due - request.started)
    # Near the deadline a hedge is of use only for an answer that hangs;
    # others may still come, and would take tokens without need.
    left = HEDGE_LATEST_SHARE * (request.deadline - request.started)
    latest = min(due, max(left, unexplained))
    return max(HEDGE_MIN_DELAY, min(delay, latest))


def learn(
    windows: Windows,
    key: tuple[core.RouteName, core.DataCentre],
    seconds: float,
    now: float,
) -> None:
    """Records the latency of an answer."""
    window = windows.get(key)
    if window is None:
        window = core.make_latency_window(now, quantile=HEDGE_QUANTILE)
        windows[key] = window
    core.add_latency(window, seconds, now)


def send_held(request: Request) -> None:
    """Sends the attempts that wait, as far as they may go."""
    serial = request.serial
    while serial.held and not request.done.done():
        if serial_attempts.must_wait(serial):
            return
        group, run, kind = serial.held.pop(0)
        if run.reply is None and not run.is_over:
            _attempt(request, group, run, kind)


def _try_beside(request, group, run):
    """Sends the request to a replica that may have recovered as well."""
    if request.serial.is_on:
        return
    if run.reached >= request.route.max_attempts:
        return
    trial = request.peers.choose_trial(run.service, run.tried)
    kind = core.AttemptKind.HEDGE
    if trial is not None and request.peers.take_extra(run.service, kind):
        run.is_hedged = True
        request.hedges += 1
        _send(request, group, run, (trial, 0.0), kind)


def _attempt(request, group, run, kind):
    if serial_attempts.must_wait(request.serial):
        request.serial.held.append((group, run, kind))
        return
    chosen = None
    is_allowed = run.reached < request.route.max_attempts
    if is_allowed and not serial_attempts.is_over(request.serial):
        chosen = request.peers.choose(run.service, run.tried)
    if chosen is None:
        _end_if_idle(request, group, run)
        return
    if kind is not core.AttemptKind.FIRST:
        is_useful = _is_in_time(request, chosen[1])
        if not (is_useful and request.peers.take_extra(run.service, kind)):
            _end_if_idle(request, group, run)
            return
        request.retries += 1
    _send(request, group, run, chosen, kind)


def _is_in_time(request, expected):
    """Whether another attempt may still be answered by the deadline.

    One that may not would take a token from a request that it could help.
    """
    if expected >= core.AVOID_PENALTY:
        expected -= core.AVOID_PENALTY
    return request.peers.now() + expected < request.deadline


def _send(request, group, run, chosen, kind):
    replica, expected = chosen
    peers, route = request.peers, request.route
    run.tried.add(replica.replica_id)
    run.reached += 1
    run.out += 1
    key = (route.name, replica.dc)
    delay = hedge_delay(request, peers.windows.get(key), expected)
    if kind is core.AttemptKind.FIRST:
        run.hedge_at = peers.now() + delay
    is_serial = request.serial.is_on
    if is_serial:
        _let_wait(request, run, delay)

    def take(outcome, seconds):
        if isinstance(outcome, core.Replied):
            learn(peers.windows, key, seconds, peers.now())
        if request.is_open:
            serial_attempts.note_outcome(
                request.serial, run, outcome, is_serial
            )
            _take_outcome(request, group, run, outcome)
            send_held(request)

    handle = peers.send(request.req, replica, route, request.deadline, take)
    request.handles.append(handle)


def _let_wait(request, run, delay):
    """Lets other attempts wait for one, until that is late."""
    serial = request.serial
    serial.awaited = run

    def go_on():
        if serial.awaited is run and not request.done.done():
            serial.awaited = None
            send_held(request)

    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(delay, go_on))


def _take_outcome(request, group, run, outcome):
    run.out -= 1
    if run.reply is not None or run.is_over:
        return
    match outcome:
        case core.Replied(reply) if _is_usable(request.route, reply):
            run.is_executed = True
            run.reply = reply
            group.parts += 1
            group.open_runs -= 1
            request.judge(request)
            return
        case core.Replied(reply):
            run.is_executed = True
            run.failure = reply
        case core.NotRun(reason):
            run.reason = reason
            if reason is not core.NotRunReason.SHED:
                run.reached -= 1  # it did not reach that replica
            if reason in _NOT_ARRIVED and not run.out:
                _attempt(request, group, run, core.AttemptKind.FIRST)
                return
        case core.Lost():
            run.is_executed = True
    if (
        run.is_executed
        and request.route.repeat is core.Idempotency.NON_IDEMPOTENT
    ):
        _end_if_idle(request, group, run)
    elif not run.out:
        _attempt(request, group, run, core.AttemptKind.RETRY)


def _is_usable(route, reply):
    """A part needs a success; a plain reply may say what it likes."""
    return 200 <= reply.status < (300 if route.shards else 500)


def _end_if_idle(request, group, run):
    if not run.out and not run.is_over:
        run.is_over = True
        group.open_runs -= 1
        request.judge(request)
