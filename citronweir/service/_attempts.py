"""Sends a request to replicas of a service until one of them replies.

An unsharded request makes one service call, a sharded request one call for
each shard. Hedges and retries are limited by the service's token budget and by
the maximum attempts of the route.
"""

import asyncio
from collections import abc
import dataclasses

from citronweir import core
from citronweir.service import _serial_attempts as serial_attempts

# A request is hedged once it takes longer than this quantile of the latencies
# of its route. Replicas that pause occasionally delay one request in 25, and
# expensive requests are one in 100.
HEDGE_QUANTILE = 0.95
# Multiple of the expected latency after which a request is late, used until
# the route has enough replies to estimate the quantile.
HEDGE_START_FACTOR = 3.0
HEDGE_MIN_DELAY = 0.008  # seconds
# Latest time of a hedge, as a share of the time until the answer is due or
# until the deadline. The reply to a later hedge would itself be too late.
HEDGE_LATEST_SHARE = 0.5

# Reasons for which this node never sent the request to the replica. Another
# attempt then adds no load and needs no token.
_NEVER_SENT = frozenset(
    {
        core.NotRunReason.UNREACHABLE,
        core.NotRunReason.QUEUE_FULL,
        core.NotRunReason.LEAVING,
        core.NotRunReason.PAUSED,
    }
)

# Reasons that hold for every replica, so that no further attempt is made.
_FORBIDDEN = frozenset(
    {core.NotRunReason.KEY_WITHDRAWN, core.NotRunReason.UNCONFIRMED}
)

Homes = frozenset[core.Region]
LatencyWindows = dict[
    tuple[core.RouteName, core.DataCentre], core.LatencyWindow
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDependencies:
    """Dependencies of request handling.

    Attributes:
        now: Returns the monotonic time, seconds.
        find_index: Returns the active routes, or None before a configuration
            has been received.
        identify: Replaces what a request states about its caller by the
            tenant, or returns why it must not run.
        find_key_refusal: Returns why requests of an identity must not be
            sent now, or None.
        admit_tenant: Takes a token of a tenant's quota; returns the refusal
            if there is none.
        return_token: Gives back the token of a request that has not run.
        list_usable: Lists the replicas of a service in the given home
            regions that accept new requests.
        find_pause: Returns the seconds until a replica of a service in the
            given home regions accepts requests, 0 if one does now.
        choose: Chooses a replica of a service in the given home regions that
            was not tried yet, and returns it with its expected latency in
            seconds.
        choose_trial: Finds a replica of a service that was slow or failing
            and is due for a trial request.
        send: Sends a request to a replica and returns a handle. The last
            argument is called with the outcome and the elapsed seconds.
        abandon: Drops an attempt whose caller has disconnected.
        cancel_waiting: Cancels an attempt that still waits for a connection.
            Its outcome is then reported immediately.
        find_suspect_status: Returns the suspect status of a request that may
            crash replicas, or None.
        take_extra: Takes a token for a hedge or a retry of a service, and
            returns whether there was one.
        earn_tokens: Credits a service with the tokens that one request earns.
        plan_groups: Groups the shards of a route by the nodes to ask.
        choose_owner: Chooses a node to ask for a group, or returns None.
        ask_group: Asks another node for a group of shards.
        list_excluded: Lists the replicas of a service that must not be used
            for a request that a node queries for another one, given that
            node, the service, its home regions, the request and its maximum
            attempts.
        own: This node.
        find_stop: Returns the monotonic second at which this node ends its
            requests because it is stopping, infinity otherwise.
        open_requests: Requests in progress.
        answer_delay: How late this node sends the answers that are due.
        round_trip: Returns the expected round-trip time to a node, seconds.
        windows: Latencies by route and data centre of the replica.
        group_windows: Latencies of group queries by route and data centre of
            the node.
        record: Receives the report of each finished request.
    """

    now: abc.Callable[[], float]
    find_index: abc.Callable[[], core.RouteIndex | None]
    identify: abc.Callable[
        [core.RouteIndex, core.Route, core.HttpRequest],
        core.HttpRequest | core.Unauthorised | core.Declined,
    ]
    find_key_refusal: abc.Callable[[core.Identity], core.NotRunReason | None]
    admit_tenant: abc.Callable[
        [core.TenantName], abc.Awaitable[core.Declined | None]
    ]
    return_token: abc.Callable[[core.TenantName], None]
    list_usable: abc.Callable[
        [core.ServiceName, Homes], tuple[core.ListedReplica, ...]
    ]
    find_pause: abc.Callable[[core.ServiceName, Homes], float]
    choose: abc.Callable[
        [core.ServiceName, abc.Container[core.ReplicaId], Homes],
        tuple[core.ListedReplica, float] | None,
    ]
    choose_trial: abc.Callable[
        [core.ServiceName, abc.Container[core.ReplicaId], Homes],
        core.ListedReplica | None,
    ]
    send: abc.Callable[..., object]
    abandon: abc.Callable[[object], None]
    cancel_waiting: abc.Callable[[object], bool]
    find_suspect_status: abc.Callable[
        [core.HttpRequest], core.SuspectStatus | None
    ]
    take_extra: abc.Callable[[core.ServiceName, core.AttemptKind], bool]
    earn_tokens: abc.Callable[[core.ServiceName], None]
    plan_groups: abc.Callable[[core.Route], tuple[core.ShardGroup, ...]]
    choose_owner: abc.Callable[
        [tuple[core.ListedNode, ...]], core.ListedNode | None
    ]
    ask_group: abc.Callable[
        [core.ListedNode, core.GroupQuery], abc.Awaitable[core.GroupAnswer]
    ]
    list_excluded: abc.Callable[
        [core.ListedNode, core.ServiceName, Homes, core.RequestId, int],
        frozenset[core.ReplicaId],
    ]
    own: core.ListedNode
    find_stop: abc.Callable[[], float]
    open_requests: set['Request']
    answer_delay: core.AnswerDelay
    round_trip: abc.Callable[[core.ListedNode], float]
    windows: LatencyWindows
    group_windows: LatencyWindows
    record: abc.Callable[['RequestReport'], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """Result of a request, for logs and metrics.

    Attributes:
        seconds: Time from the arrival of the request to its outcome.
        parts: Number of shards, or unsharded services, that replied.
        services: Number of shards, or unsharded services, of the request.
        hedges: Attempts sent while the first was still in flight.
        retries: Attempts sent after another one had failed.
        groups: Groups of shards that other nodes were asked for.
        tenant: Tenant of the request, empty if it has none.
        is_group: Whether the request is a group query of another node.
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
    tenant: str = ''
    is_group: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class ServiceCall:
    """State of the call of a request to one service.

    Attributes:
        tried: Replicas that were chosen, including those that refused.
        replicas_reached: Number of replicas that may have received the
            request, at most the maximum attempts of the route.
        in_flight: Number of attempts without an outcome.
        hedge_at: Monotonic time at which the first attempt is late.
        is_executed: Whether a replica may have executed the request.
        reply: First usable reply.
        failure: Last unusable reply, if any.
        reason: Reason of the last attempt that did not run, if any.
        is_ended: Whether no further attempt will be sent and no reply will
            be used: the call failed, or another node has the answer.
        handles: Handles of its attempts, to cancel them.
    """

    service: core.ServiceName
    tried: set[core.ReplicaId] = dataclasses.field(default_factory=set)
    replicas_reached: int = 0
    in_flight: int = 0
    hedge_at: float | None = None
    is_hedged: bool = False
    is_executed: bool = False
    reply: core.Reply | None = None
    failure: core.Reply | None = None
    reason: core.NotRunReason | None = None
    is_ended: bool = False
    handles: list[object] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class ServiceGroup:
    """Services that one node calls for a request.

    Attributes:
        shard_positions: Positions of the services among the shards of the
            route.
        owners: Nodes that can be asked for the group.
        calls: Calls to the services from this node.
        reply_count: Number of calls with a usable reply.
        pending_calls: Number of calls that may still get a usable reply.
        owner: Node that queries the services for another node: the one that
            was asked, or this one for a group query.
        query: Pending query to the owner.
        is_delegated: Whether another node may have called the services.
        is_omitted: Whether the group consists of services that are missing
            from another node's answer.
        merged: Answer of the owner.
    """

    shard_positions: tuple[int, ...]
    services: tuple[core.ServiceName, ...]
    owners: tuple[core.ListedNode, ...] = ()
    calls: list[ServiceCall] = dataclasses.field(default_factory=list)
    reply_count: int = 0
    pending_calls: int = 0
    owner: core.ListedNode | None = None
    query: asyncio.Future | None = None
    is_delegated: bool = False
    is_omitted: bool = False
    merged: core.Gathered | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """State of a caller's request, or of a group query from another node.

    Attributes:
        version: Version of the route table.
        due: Monotonic time at which the request is answered if the parts
            received so far are sufficient.
        deadline: Monotonic time by which the request is answered in any case.
        done: Completed when the outcome can be built.
        check_completion: Called when a reply was received or can no longer be
            received.
        min_parts: Number of shards below which the request waits beyond
            ``due`` for further ones, even if fewer are a valid answer.
        is_due: Whether ``due`` has passed.
        is_ended_when_due: Whether the request was answered at ``due``.
        is_open: Whether outcomes of attempts are still taken into account.
        handles: Handles of all attempts, to cancel them.
        serial: State of the mode that sends one attempt at a time.
    """

    deps: RequestDependencies
    req: core.HttpRequest
    route: core.Route
    version: int
    started: float
    due: float
    deadline: float
    done: asyncio.Future
    groups: list[ServiceGroup]
    check_completion: abc.Callable[['Request'], None]
    min_parts: int = 0
    is_due: bool = False
    is_ended_when_due: bool = False
    is_open: bool = True
    timers: list[asyncio.TimerHandle] = dataclasses.field(default_factory=list)
    handles: list[object] = dataclasses.field(default_factory=list)
    hedges: int = 0
    retries: int = 0
    serial: serial_attempts.SerialState = dataclasses.field(
        default_factory=serial_attempts.SerialState
    )


def start_call(
    request: Request,
    group: ServiceGroup,
    call: ServiceCall,
    kind: core.AttemptKind,
) -> None:
    """Sends the first attempt of a call.

    Args:
        request: Request that the call belongs to.
        group: Group that the call belongs to.
        call: Call to one service.
        kind: FIRST, or another kind if another node may have called the
            service already. No further attempt then follows this one.
    """
    group.calls.append(call)
    group.pending_calls += 1
    if group.owner is not None:
        # Two nodes may send attempts for the group. They use the same
        # replicas, so that their number stays within the route's maximum.
        call.tried |= request.deps.list_excluded(
            group.owner,
            call.service,
            request.route.homes,
            request.req.request_id,
            request.route.max_attempts,
        )
    if kind is not core.AttemptKind.FIRST:
        call.replicas_reached = request.route.max_attempts - 1
        _send_next(request, group, call, kind)
        return
    request.deps.earn_tokens(call.service)
    _send_next(request, group, call, kind)
    if call.in_flight and request.route.repeat is core.Idempotency.IDEMPOTENT:
        _send_recovery_trial(request, group, call)


def hedge_call(
    request: Request, group: ServiceGroup, call: ServiceCall
) -> None:
    """Sends a second attempt while the first is late, if allowed."""
    call.is_hedged = True
    if request.serial.is_on:
        request.serial.held.append((group, call, core.AttemptKind.HEDGE))
        send_held(request)
        return
    if call.replicas_reached >= request.route.max_attempts:
        return
    chosen = _choose(request, call)
    if chosen is None or chosen[1] >= core.AVOID_PENALTY:
        return
    if not _is_in_time(request, chosen[1]):
        return
    kind = core.AttemptKind.HEDGE
    if request.deps.take_extra(call.service, kind):
        request.hedges += 1
        _send(request, group, call, chosen, kind)


def hedge_delay(
    request: Request, window: core.LatencyWindow | None, expected: float
) -> float:
    """Returns the time after which an attempt is late, in seconds.

    Args:
        request: Caller's request, or group query of another node, which is
            due earlier.
        window: Latencies of the same route and data centre, or None before
            the first answer.
        expected: Expected latency, in seconds.
    """
    unusual = HEDGE_START_FACTOR * expected
    delay = None if window is None else window.delay
    if delay is None:
        delay = unusual
    due = HEDGE_LATEST_SHARE * (request.due - request.started)
    # If the deadline limits the delay, only attempts that are much slower
    # than expected are hedged. The others may still be answered in time, and
    # their hedges would waste tokens.
    left = HEDGE_LATEST_SHARE * (request.deadline - request.started)
    latest = min(due, max(left, unusual))
    return max(HEDGE_MIN_DELAY, min(delay, latest))


def record_latency(
    windows: LatencyWindows,
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


def end_calls(request: Request, group: ServiceGroup) -> None:
    """Ends the calls of a group whose answer another node has sent."""
    for call in group.calls:
        if call.reply is None and not call.is_ended:
            call.is_ended = True
            group.pending_calls -= 1
            _cancel_waiting(request, call)


def send_held(request: Request) -> None:
    """Sends the held attempts until one of them has to be awaited."""
    serial = request.serial
    while serial.held and not request.done.done():
        if serial_attempts.must_wait(serial):
            return
        group, call, kind = serial.held.pop(0)
        if call.reply is None and not call.is_ended:
            _send_next(request, group, call, kind)


def _send_recovery_trial(request, group, call):
    """Sends a second attempt to a replica that is due for a trial."""
    if request.serial.is_on:
        return
    if call.replicas_reached >= request.route.max_attempts:
        return
    trial = request.deps.choose_trial(
        call.service, call.tried, request.route.homes
    )
    kind = core.AttemptKind.HEDGE
    if trial is not None and request.deps.take_extra(call.service, kind):
        call.is_hedged = True
        request.hedges += 1
        _send(request, group, call, (trial, 0.0), kind)


def _send_next(request, group, call, kind):
    if serial_attempts.must_wait(request.serial):
        request.serial.held.append((group, call, kind))
        return
    chosen = None
    is_allowed = call.replicas_reached < request.route.max_attempts
    if is_allowed and not serial_attempts.is_exhausted(request.serial):
        chosen = _choose(request, call)
    if chosen is None:
        _end_if_idle(request, group, call)
        return
    if kind is not core.AttemptKind.FIRST:
        is_useful = _is_in_time(request, chosen[1])
        if not (is_useful and request.deps.take_extra(call.service, kind)):
            _end_if_idle(request, group, call)
            return
        request.retries += 1
    _send(request, group, call, chosen, kind)


def _choose(request, call):
    return request.deps.choose(call.service, call.tried, request.route.homes)


def _is_in_time(request, expected):
    """Returns whether a reply is expected before the deadline.

    An attempt without enough time would use a token that another request
    could use.
    """
    if expected >= core.AVOID_PENALTY:
        expected -= core.AVOID_PENALTY
    return request.deps.now() + expected < request.deadline


def _send(request, group, call, chosen, kind):
    replica, expected = chosen
    deps, route = request.deps, request.route
    call.tried.add(replica.replica_id)
    call.replicas_reached += 1
    call.in_flight += 1
    key = (route.name, replica.dc)
    delay = hedge_delay(request, deps.windows.get(key), expected)
    if kind is core.AttemptKind.FIRST:
        call.hedge_at = deps.now() + delay
    is_serial = request.serial.is_on
    if is_serial:
        _hold_others(request, call, delay)

    def on_outcome(outcome, seconds):
        if isinstance(outcome, core.Replied):
            record_latency(deps.windows, key, seconds, deps.now())
        if request.is_open:
            serial_attempts.record_outcome(
                request.serial, call, outcome, is_serial
            )
            _handle_outcome(request, group, call, outcome)
            send_held(request)

    handle = deps.send(
        request.req, replica, route, request.deadline, on_outcome
    )
    request.handles.append(handle)
    call.handles.append(handle)


def _hold_others(request, call, delay):
    """Holds other attempts back until this one ends or, mostly, is late."""
    serial = request.serial
    serial.awaited = call
    if serial.is_strict:
        return

    def resume():
        if serial.awaited is call and not request.done.done():
            serial.awaited = None
            send_held(request)

    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(delay, resume))


def _handle_outcome(request, group, call, outcome):
    call.in_flight -= 1
    if call.reply is not None or call.is_ended:
        return
    match outcome:
        case core.Replied(reply) if _is_usable(request.route, reply):
            call.is_executed = True
            call.reply = reply
            group.reply_count += 1
            group.pending_calls -= 1
            _cancel_waiting(request, call)
            request.check_completion(request)
            return
        case core.Replied(reply):
            call.is_executed = True
            call.failure = reply
        case core.NotRun(reason):
            call.reason = reason
            if reason is not core.NotRunReason.SHED:
                call.replicas_reached -= 1  # the replica did not receive it
            if reason in _FORBIDDEN:
                _end_if_idle(request, group, call)
                return
            if reason in _NEVER_SENT and not call.in_flight:
                _send_next(request, group, call, core.AttemptKind.FIRST)
                return
        case core.Lost():
            call.is_executed = True
    if (
        call.is_executed
        and request.route.repeat is core.Idempotency.NON_IDEMPOTENT
    ):
        _end_if_idle(request, group, call)
    elif not call.in_flight:
        _send_next(request, group, call, core.AttemptKind.RETRY)


def _cancel_waiting(request, call):
    """Cancels the attempts of an answered call that were not sent yet."""
    for handle in call.handles:
        request.deps.cancel_waiting(handle)


def _is_usable(route, reply):
    """Returns whether a reply can be used for the answer.

    Replies of shards must be successful. Other replies are passed on unless
    they report a server error.
    """
    return 200 <= reply.status < (300 if route.shards else 500)


def _end_if_idle(request, group, call):
    if not call.in_flight and not call.is_ended:
        call.is_ended = True
        group.pending_calls -= 1
        request.check_completion(request)
