"""Answers callers' requests, which are forwarded to replicas unchanged.

A request is declined immediately if it certainly cannot be served, answered as
soon as enough replies have been received, and ended at its deadline.
"""

import asyncio
import dataclasses

from citronweir import core
from citronweir.service import _attempts as attempts
from citronweir.service import _groups as groups
from citronweir.service import _serial_attempts as serial_attempts

# Default times after which a caller may retry a declined request, in seconds.
RETRY_AFTER_START = 0.5  # the node has not received its configuration yet
RETRY_AFTER_NO_REPLICA = 0.3
RETRY_AFTER_SHED = 0.1
RETRY_AFTER_STOP = 0.1  # another node answers at once
RETRY_AFTER_QUARANTINE = 0.5  # a conviction or a trial is pending
# Time before the deadline at which a request ends.
DEADLINE_MARGIN = 0.004  # seconds
# A stopping node takes a request only if it has at least this multiple of the
# route's latency target left.
STOP_TARGET_FACTOR = 2.0
# Minimum interval between two hedge timers of a request. Calls that are late
# within this interval are hedged together.
MIN_HEDGE_GAP = 0.001  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class _Admitted:
    """A request that may run.

    Attributes:
        req: Request without the key of its caller.
        route: Route with the rank and homes of the tenant.
        suspect_status: Whether the request may crash replicas, or None.
        budget: Seconds until its deadline.
    """

    req: core.HttpRequest
    route: core.Route
    suspect_status: core.SuspectStatus | None
    service_groups: list[attempts.ServiceGroup]
    budget: float


async def run_request(
    deps: attempts.RequestDependencies, req: core.HttpRequest
) -> core.RequestOutcome:
    """Answers a caller's request.

    Args:
        deps: Dependencies of request handling.
        req: Request of a caller.

    Returns:
        The outcome. It is Declined only if no replica executed the request or
        will execute it.
    """
    started = deps.now()
    index = deps.find_index()
    if index is None:
        reason = core.NotRunReason.NO_CONFIGURATION
        outcome = core.Declined(reason, RETRY_AFTER_START)
        return _report(deps, req, None, outcome, started)
    route = core.find_route(index, req.host, req.target)
    if route is None:
        return _report(deps, req, None, core.NoRoute(), started)
    admitted = await _admit(deps, index, route, req, started)
    if not isinstance(admitted, _Admitted):
        return _report(deps, req, route, admitted, started)
    req, route = admitted.req, admitted.route
    request = attempts.Request(
        deps,
        req,
        route,
        index.table.version,
        started,
        _find_due(deps, started + route.target, req),
        min(started + admitted.budget - DEADLINE_MARGIN, deps.find_stop()),
        asyncio.get_running_loop().create_future(),
        admitted.service_groups,
        _check_completion,
        serial=serial_attempts.make_serial_state(admitted.suspect_status),
    )
    outcome = await _run(request, admitted.suspect_status)
    if req.identity is not None and _has_not_run(outcome):
        deps.return_token(req.identity.tenant)
    return _report(deps, req, route, outcome, started, request)


async def run_group(
    deps: attempts.RequestDependencies, query: core.GroupQuery
) -> core.GroupAnswer:
    """Answers a group query: asks a group of shards for another node.

    Args:
        deps: Dependencies of request handling.
        query: Query of the other node.

    Returns:
        The merged parts received by the due time of the query. Whether they
        are sufficient depends on the other groups. If this group alone lacks
        too many shards for an answer, the parts are returned later, when
        enough have been received, none can follow or the deadline is reached.
        Declined if this node has another configuration version.
    """
    started = deps.now()
    full_route = _find_group_route(deps, query)
    if isinstance(full_route, core.NotRunReason):
        return core.GroupAnswer(core.Declined(full_route, 0.0), 0.0)
    suspect_status = deps.find_suspect_status(query.req)
    outcome = _refuse_convicted(suspect_status, started)
    if outcome is not None:
        return core.GroupAnswer(outcome, 0.0)
    shards = tuple(
        full_route.shards[position] for position in query.shard_positions
    )
    # A single part is a valid answer: the other node checks the coverage of
    # all groups together.
    route = dataclasses.replace(full_route, shards=shards, min_coverage=0.0)
    max_missing = len(full_route.shards) - core.min_parts(full_route)
    shard_positions = tuple(range(len(route.shards)))
    request = attempts.Request(
        deps,
        query.req,
        route,
        query.version,
        started,
        query.due - max(0.0, _find_margin(deps) - core.LOCAL_MARGIN),
        min(query.deadline, deps.find_stop()),
        asyncio.get_running_loop().create_future(),
        [attempts.ServiceGroup(shard_positions, route.shards, owner=deps.own)],
        _check_completion,
        min_parts=max(1, len(shards) - max_missing),
        serial=serial_attempts.make_serial_state(suspect_status),
    )
    outcome = await _run(request, suspect_status)
    _report(deps, query.req, route, outcome, started, request, is_group=True)
    missing_positions = tuple(
        position
        for position, call in enumerate(request.groups[0].calls)
        if call.reply is None
    )
    if isinstance(outcome, core.Unauthorised):
        outcome = core.Declined(core.NotRunReason.KEY_WITHDRAWN, 0.0)
    return core.GroupAnswer(outcome, deps.now() - started, missing_positions)


def find_refusal(
    deps: attempts.RequestDependencies,
    index: core.RouteIndex,
    route: core.Route,
    budget: float,
) -> core.Declined | None:
    """Returns the refusal of a request that cannot be served now, or None.

    Args:
        deps: Dependencies of request handling.
        index: Index of the route table in force.
        route: Route of the request, with the rank and homes of its tenant.
        budget: Seconds that the caller waits.
    """
    service_groups = _group_services(deps, index, route)
    left = min(budget, route.timeout)
    return _find_refusal(deps, route, service_groups, left)


def end_requests(deps: attempts.RequestDependencies) -> None:
    """Ends all requests in progress, as their deadlines do.

    A request that is still open when its process exits gets no answer.

    Args:
        deps: Dependencies of request handling.
    """
    for request in list(deps.open_requests):
        request.deadline = min(request.deadline, deps.now())
        _complete(request)


def _refuse_convicted(suspect_status, now):
    """Builds the outcome of a request convicted of crashes, else None."""
    if (
        suspect_status is None
        or suspect_status.state is not core.SuspectState.CONVICTED
    ):
        return None
    left = max(RETRY_AFTER_QUARANTINE, suspect_status.retry_at - now)
    return core.Declined(core.NotRunReason.QUARANTINED, left)


async def _admit(deps, index, route, req, started):
    """Returns the request as admitted, or the outcome that refuses it.

    A token of the tenant's quota is taken last, so that a refusal costs none.
    """
    identified = deps.identify(index, route, req)
    if not isinstance(identified, core.HttpRequest):
        return identified
    req = identified
    route = core.apply_tenant(index, route, req.identity)
    suspect_status = deps.find_suspect_status(req)
    outcome = _refuse_convicted(suspect_status, started)
    if outcome is not None:
        return outcome
    budget = min(req.budget, route.timeout)
    service_groups = _group_services(deps, index, route)
    outcome = _find_refusal(deps, route, service_groups, budget)
    if started + STOP_TARGET_FACTOR * route.target > deps.find_stop():
        stopping = core.NotRunReason.STOPPING
        outcome = core.Declined(stopping, RETRY_AFTER_STOP)
    if outcome is None and req.identity is not None:
        outcome = await deps.admit_tenant(req.identity.tenant)
    if outcome is not None:
        return outcome
    return _Admitted(req, route, suspect_status, service_groups, budget)


def _has_not_run(outcome):
    return isinstance(outcome, core.Declined | core.Unauthorised)


def _find_group_route(deps, query):
    """Returns the route of a group query, or why it must not run here."""
    index = deps.find_index()
    if index is None or index.table.version != query.version:
        return core.NotRunReason.NO_CONFIGURATION
    routes = [
        route
        for route in index.table.routes
        if route.name == query.route and route.shards
    ]
    last_position = max(query.shard_positions, default=0)
    if not routes or last_position >= len(routes[0].shards):
        return core.NotRunReason.NO_CONFIGURATION
    identity = query.req.identity
    if identity is None:
        return routes[0]
    refusal = deps.find_key_refusal(identity)
    return refusal or core.apply_tenant(index, routes[0], identity)


def _group_services(deps, index, route):
    """Groups the services of a request by the nodes to ask."""
    if not route.shards:
        return [
            attempts.ServiceGroup((0,), (core.choose_service(index, route),))
        ]
    return [
        attempts.ServiceGroup(
            group.shard_positions,
            tuple(
                route.shards[position] for position in group.shard_positions
            ),
            group.owners,
        )
        for group in deps.plan_groups(route)
    ]


def _find_refusal(deps, route, service_groups, budget):
    """Builds the outcome of a request that cannot be served, else None."""
    if budget <= DEADLINE_MARGIN:
        reason = core.NotRunReason.DEADLINE_TOO_SHORT
        return core.Declined(reason, RETRY_AFTER_NO_REPLICA)
    # Replicas pause for a single node, so those of other nodes' groups count.
    pauses = sorted(
        0.0 if group.owners else deps.find_pause(service, route.homes)
        for group in service_groups
        for service in group.services
        if deps.list_usable(service, route.homes)
    )
    needed = core.min_parts(route) if route.shards else 1
    if len(pauses) < needed:
        reason = core.NotRunReason.NO_REPLICA
        return core.Declined(reason, RETRY_AFTER_NO_REPLICA)
    left = pauses[needed - 1]
    return core.Declined(core.NotRunReason.PAUSED, left) if left else None


async def _run(request, suspect_status):
    deps, is_ended = request.deps, False
    deps.open_requests.add(request)
    try:
        _start(request, suspect_status)
        await request.done
        is_ended = True
    finally:
        deps.open_requests.discard(request)
        request.is_open = False
        for timer in request.timers:
            timer.cancel()
        for group in request.groups:
            if group.query is not None:
                group.query.cancel()
        if not is_ended:
            for handle in request.handles:
                deps.abandon(handle)
    # No reply is used from here on, so nothing more may be sent.
    unsent = sum(map(deps.cancel_waiting, request.handles))
    outcome = _make_outcome(request, unsent)
    if request.is_ended_when_due:
        late = deps.now() - request.due
        core.record_answer_delay(deps.answer_delay, late)
    return outcome


def _find_due(deps, target_at, req):
    """Returns when to answer, so that the caller has it at the target."""
    network = req.round_trip + req.elapsed
    return target_at - network - _find_margin(deps)


def _find_margin(deps):
    """Returns the seconds that this node itself delays an answer."""
    return max(core.LOCAL_MARGIN, core.find_allowance(deps.answer_delay))


def _start(request, suspect_status):
    now = request.deps.now()
    loop = asyncio.get_running_loop()
    request.timers.append(
        loop.call_later(max(0.0, request.deadline - now), _complete, request)
    )
    if request.route.shards:
        left = max(0.0, request.due - now)
        request.timers.append(loop.call_later(left, _on_due, request))
    if suspect_status is None:
        for group in request.groups:
            if group.owners:
                groups.start_group(request, group)
            else:
                groups.ask_directly(request, group, core.AttemptKind.FIRST)
    else:
        _start_suspect(request, suspect_status)
    _schedule_hedge(request)


def _start_suspect(request, suspect_status):
    """Calls one service first, if possible one with a crashed replica.

    All nodes prefer the same one, so that the crashes of repeats add up.
    """
    serial = request.serial
    serial.awaited = request  # hold all attempts until they are sorted
    for group in request.groups:
        groups.ask_directly(request, group, core.AttemptKind.FIRST)
    positions = {
        name: position for position, name in enumerate(suspect_status.services)
    }
    serial.held.sort(
        key=lambda item: positions.get(item[1].service, len(positions))
    )
    serial.awaited = None
    attempts.send_held(request)


def _on_due(request):
    request.is_due = True
    was_ended = request.done.done()
    _check_completion(request)
    request.is_ended_when_due = request.done.done() and not was_ended


def _check_completion(request):
    """Ends the request if it can be answered, or no longer can be."""
    parts = sum(map(groups.count_parts, request.groups))
    reachable = sum(map(groups.count_reachable, request.groups))
    # Calls that have not been started yet may still be answered.
    for group in request.groups:
        if not group.is_delegated:
            reachable += len(group.services) - len(group.calls)
    if request.route.shards:
        decision = core.decide_gather(
            request.route, parts, reachable - parts, request.is_due
        )
        if parts < request.min_parts <= reachable:
            decision = core.GatherDecision.WAIT
        if decision is core.GatherDecision.GIVE_UP and groups.ask_omitted(
            request
        ):
            return
        is_ended = decision is not core.GatherDecision.WAIT
    else:
        is_ended = parts > 0 or reachable == 0
    if is_ended:
        _complete(request)


def _complete(request):
    if not request.done.done():
        request.done.set_result(None)


def _list_hedgeable(request):
    """Lists the calls that may still be hedged, with their groups."""
    route = request.route
    if (
        route.repeat is not core.Idempotency.IDEMPOTENT
        or route.max_attempts < 2
    ):
        return []
    return [
        (group, call)
        for group in request.groups
        for call in group.calls
        if call.hedge_at is not None
        and call.in_flight == 1
        and not call.is_hedged
        and call.reply is None
    ]


def _schedule_hedge(request):
    """Sets the timer for the call that is late next."""
    hedgeable = _list_hedgeable(request)
    if request.done.done() or not hedgeable:
        return
    at = min(call.hedge_at for _, call in hedgeable)
    gap = max(MIN_HEDGE_GAP, at - request.deps.now())
    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(gap, _send_hedges, request))


def _send_hedges(request):
    if request.done.done():
        return
    now = request.deps.now()
    for group, call in _list_hedgeable(request):
        if call.hedge_at <= now + MIN_HEDGE_GAP:
            attempts.hedge_call(request, group, call)
    _schedule_hedge(request)


def _make_outcome(request, unsent):
    """Builds the outcome; ``unsent`` attempts never left this node."""
    route = request.route
    replies, merged = _choose_parts(request)
    if route.shards:
        parts = len(replies) + sum(len(item.signatures) for item in merged)
        if parts >= core.min_parts(route):
            return core.merge_parts(route, replies, merged)
    elif replies:
        return core.Forwarded(replies[0])
    calls = [call for group in request.groups for call in group.calls]
    is_delegated = any(group.is_delegated for group in request.groups)
    in_flight = sum(call.in_flight for call in calls) - unsent
    if is_delegated or in_flight or any(call.is_executed for call in calls):
        return _make_failure(request, calls)
    reasons = [call.reason for call in calls if call.reason is not None]
    reason = reasons[0] if reasons else core.NotRunReason.OVERLOADED
    if reason is core.NotRunReason.KEY_WITHDRAWN:
        return core.Unauthorised()
    return core.Declined(reason, _find_retry_delay(request, calls))


def _find_retry_delay(request, calls):
    """Returns the seconds until enough failed calls can be repeated."""
    pauses = sorted(
        request.deps.find_pause(call.service, request.route.homes)
        for call in calls
        if call.reply is None
    )
    parts = sum(call.reply is not None for call in calls)
    needed = 1
    if request.route.shards:
        needed = core.min_parts(request.route) - parts
    if not 0 < needed <= len(pauses):
        return RETRY_AFTER_SHED
    return max(RETRY_AFTER_SHED, pauses[needed - 1])


def _choose_parts(request):
    """Chooses, for each group, the merged answer or the replies received here.

    The one with more shards is used. They can't be combined: shards in both
    would be counted twice, since a merged answer cannot be separated again.
    """
    replies, merged = [], []
    for group in request.groups:
        if group.merged and len(group.merged.signatures) >= group.reply_count:
            merged.append(group.merged)
        else:
            replies += [
                call.reply for call in group.calls if call.reply is not None
            ]
    return replies, merged


def _make_failure(request, calls):
    failures = [call.failure for call in calls if call.failure is not None]
    if failures and not request.route.shards:
        return core.Forwarded(failures[0])
    if request.deps.now() >= request.deadline:
        return core.Unanswered(core.FailureReason.DEADLINE_PASSED)
    return core.Unanswered(core.FailureReason.UPSTREAM_ERROR)


def _report(deps, req, route, outcome, started, request=None, is_group=False):
    seconds = deps.now() - started
    report = attempts.RequestReport(
        req.request_id,
        route,
        outcome,
        seconds,
        tenant='' if req.identity is None else req.identity.tenant,
        is_group=is_group,
    )
    if request is not None:
        report = dataclasses.replace(
            report,
            parts=sum(map(groups.count_parts, request.groups)),
            services=sum(len(group.services) for group in request.groups),
            hedges=request.hedges,
            retries=request.retries,
            groups=sum(group.is_delegated for group in request.groups),
        )
    deps.record(report)
    return outcome
