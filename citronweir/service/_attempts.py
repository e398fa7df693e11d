"""Sends one request to replicas of one service until one replies.

A plain request has one such run, a request over shards one for each
shard. Hedges and retries stay within the budget of the service and the
attempts that the route allows.
"""

import asyncio
from collections import abc
import dataclasses

from citronweir import core

# Share of the replies of a route that a request waits for before it is
# hedged. Replicas that pause for a moment now and then are late for one
# request in 25, and slow work for one in 100.
HEDGE_QUANTILE = 0.92
# Before a route has enough replies, a request is late after so many times
# the expected seconds.
HEDGE_START_FACTOR = 3.0
HEDGE_MIN_DELAY = 0.008  # seconds
# A hedge later than this share of the target could not be in time itself.
HEDGE_LATEST_SHARE = 0.5


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
        take_extra: Takes the token of a hedge or retry at a service.
        note_request: Earns a service's share of one request.
        windows: Latencies of each route, by data centre of the replica.
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
    leave: abc.Callable[[object], None]
    withdraw: abc.Callable[[object], bool]
    take_extra: abc.Callable[[core.ServiceName, core.AttemptKind], bool]
    note_request: abc.Callable[[core.ServiceName], None]
    windows: dict[tuple[core.RouteName, core.DataCentre], core.LatencyWindow]
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
    """

    request_id: core.RequestId
    route: core.Route | None
    outcome: core.RequestOutcome
    seconds: float
    parts: int = 0
    services: int = 0
    hedges: int = 0
    retries: int = 0


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
    on_end: abc.Callable[['Request'], None] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """State of one request of a caller.

    Attributes:
        deadline: Monotonic second by which the answer is due.
        done: Set when the answer can be made.
        runs: One for each service that is asked.
        parts: Runs with a reply.
        open_runs: Runs that may still get one.
        is_due: Whether the latency target is reached.
        is_open: Whether outcomes still count.
        handles: What was sent, to be ended when the caller leaves.
    """

    peers: RequestPeers
    req: core.HttpRequest
    route: core.Route
    started: float
    deadline: float
    done: asyncio.Future
    runs: list[Run]
    parts: int = 0
    open_runs: int = 0
    is_due: bool = False
    is_open: bool = True
    timers: list[asyncio.TimerHandle] = dataclasses.field(default_factory=list)
    handles: list[object] = dataclasses.field(default_factory=list)
    hedges: int = 0
    retries: int = 0


def start_run(
    request: Request, run: Run, on_end: abc.Callable[[Request], None]
) -> None:
    """Sends the first attempt of a run.

    Args:
        request: Request of a caller.
        run: Its run at one service.
        on_end: Called when a run has a reply or is over.
    """
    run.on_end = on_end
    request.peers.note_request(run.service)
    _attempt(request, run, core.AttemptKind.FIRST)
    if run.out and request.route.repeat is core.Repeat.IDEMPOTENT:
        _try_beside(request, run)


def _try_beside(request, run):
    """Sends the request to a replica that may have recovered as well."""
    if run.reached >= request.route.max_attempts:
        return
    trial = request.peers.choose_trial(run.service, run.tried)
    kind = core.AttemptKind.HEDGE
    if trial is not None and request.peers.take_extra(run.service, kind):
        run.is_hedged = True
        request.hedges += 1
        _send(request, run, (trial, 0.0), kind)


def hedge_run(request: Request, run: Run) -> None:
    """Sends a second attempt beside one that is late, if one is allowed."""
    run.is_hedged = True
    if run.reached >= request.route.max_attempts:
        return
    chosen = request.peers.choose(run.service, run.tried)
    if chosen is None or chosen[1] >= core.AVOID_PENALTY:
        return
    kind = core.AttemptKind.HEDGE
    if request.peers.take_extra(run.service, kind):
        request.hedges += 1
        _send(request, run, chosen, kind)


def _attempt(request, run, kind):
    chosen = None
    if run.reached < request.route.max_attempts:
        chosen = request.peers.choose(run.service, run.tried)
    if chosen is None:
        _end_if_idle(request, run)
        return
    if kind is core.AttemptKind.RETRY:
        if not request.peers.take_extra(run.service, kind):
            _end_if_idle(request, run)
            return
        request.retries += 1
    _send(request, run, chosen, kind)


def _send(request, run, chosen, kind):
    replica, expected = chosen
    peers = request.peers
    run.tried.add(replica.replica_id)
    run.reached += 1
    run.out += 1
    key = (request.route.name, replica.dc)
    if kind is core.AttemptKind.FIRST:
        delay = _hedge_delay(request, key, expected)
        run.hedge_at = peers.now() + delay

    def take(outcome, seconds):
        if isinstance(outcome, core.Replied):
            _learn(peers, key, seconds)
        if request.is_open:
            _take_outcome(request, run, outcome)

    handle = peers.send(
        request.req, replica, request.route.rank, request.deadline, take
    )
    request.handles.append(handle)


def _hedge_delay(request, key, expected):
    window = request.peers.windows.get(key)
    delay = None if window is None else window.delay
    if delay is None:
        delay = HEDGE_START_FACTOR * expected
    latest = HEDGE_LATEST_SHARE * request.route.target
    return max(HEDGE_MIN_DELAY, min(delay, latest))


def _learn(peers, key, seconds):
    now = peers.now()
    window = peers.windows.get(key)
    if window is None:
        window = core.make_window(now, quantile=HEDGE_QUANTILE)
        peers.windows[key] = window
    core.note_window(window, seconds, now)


def _take_outcome(request, run, outcome):
    run.out -= 1
    if run.reply is not None or run.is_over:
        return
    match outcome:
        case core.Replied(reply) if _is_usable(request.route, reply):
            run.is_executed = True
            run.reply = reply
            request.parts += 1
            request.open_runs -= 1
            run.on_end(request)
            return
        case core.Replied(reply):
            run.is_executed = True
            run.failure = reply
        case core.NotRun(reason):
            run.reason = reason
            if reason is not core.NotRunReason.SHED:
                run.reached -= 1  # it did not reach that replica
        case core.Lost():
            run.is_executed = True
    if run.is_executed and request.route.repeat is core.Repeat.NON_IDEMPOTENT:
        _end_if_idle(request, run)
    elif not run.out:
        _attempt(request, run, core.AttemptKind.RETRY)


def _is_usable(route, reply):
    """A part needs a success; a plain reply may say what it likes."""
    return 200 <= reply.status < (300 if route.shards else 500)


def _end_if_idle(request, run):
    if not run.out and not run.is_over:
        run.is_over = True
        request.open_runs -= 1
        run.on_end(request)
