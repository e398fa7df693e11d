"""Answers the requests of callers that go to replicas unchanged.

A request is refused at once where it is known that it cannot be served,
answered as soon as what is in suffices, and given up at its deadline.
"""

import asyncio
import dataclasses

from citronweir import core
from citronweir.service import _attempts as attempts
from citronweir.service import _groups as groups
from citronweir.service import _serial_attempts as serial_attempts

# A caller may come again after this time where nothing better is known.
RETRY_AFTER_START = 0.5  # seconds; a node that waits for its configuration
RETRY_AFTER_NO_REPLICA = 0.3  # seconds
RETRY_AFTER_SHED = 0.1  # seconds
RETRY_AFTER_QUARANTINE = 0.5  # seconds; while a verdict or trial is due
# The answer leaves this long before the deadline.
DEADLINE_MARGIN = 0.004  # seconds
# A hedge is not worth its cost for less time than this.
MIN_HEDGE_GAP = 0.001  # seconds


async def run_request(
    peers: attempts.RequestPeers, req: core.HttpRequest
) -> core.RequestOutcome:
    """Answers one request of a caller.

    Args:
        peers: What the request needs from outside.
        req: Request of a caller.

    Returns:
        The outcome; Declined only if no replica ran it or will.
    """
    started = peers.now()
    index = peers.find_index()
    if index is None:
        reason = core.NotRunReason.NO_CONFIGURATION
        outcome = core.Declined(reason, RETRY_AFTER_START)
        return _report(peers, req, None, outcome, started)
    route = core.find_route(index, req.host, req.target)
    if route is None:
        return _report(peers, req, None, core.NoRoute(), started)
    suspect_status = peers.judge(req)
    outcome = _find_quarantine(suspect_status, started)
    if outcome is not None:
        return _report(peers, req, route, outcome, started)
    budget = min(req.budget, route.timeout)
    split = _split(peers, index, route)
    reason = _find_refusal(peers, route, split, budget)
    if reason is not None:
        outcome = core.Declined(reason, RETRY_AFTER_NO_REPLICA)
        return _report(peers, req, route, outcome, started)
    request = attempts.Request(
        peers,
        req,
        route,
        index.table.version,
        started,
        started + route.target - core.ANSWER_MARGIN,
        started + budget - DEADLINE_MARGIN,
        asyncio.get_running_loop().create_future(),
        split,
        _judge,
        serial=serial_attempts.make_serial_state(suspect_status),
    )
    outcome = await _run(request, suspect_status)
    return _report(peers, req, route, outcome, started, request)


async def run_group(
    peers: attempts.RequestPeers, query: core.GroupQuery
) -> core.GroupAnswer:
    """Asks a group of shards for another node.

    Args:
        peers: What the request needs from outside.
        query: The other node's query.

    Returns:
        What is in of the group at its due time: whether it is enough
        depends on the other groups. It comes later while this group alone
        lacks too many shards for an answer. Declined if this node has
        another version.
    """
    started = peers.now()
    index = peers.find_index()
    whole = _find_group_route(index, query)
    if whole is None:
        reason = core.NotRunReason.NO_CONFIGURATION
        return core.GroupAnswer(core.Declined(reason, 0.0), 0.0)
    suspect_status = peers.judge(query.req)
    outcome = _find_quarantine(suspect_status, started)
    if outcome is not None:
        return core.GroupAnswer(outcome, 0.0)
    shards = tuple(whole.shards[place] for place in query.shard_positions)
    # One part is worth sending: the other node sums them up.
    route = dataclasses.replace(whole, shards=shards, min_coverage=0.0)
    most_missing = len(whole.shards) - core.min_parts(whole)
    shard_positions = tuple(range(len(route.shards)))
    request = attempts.Request(
        peers,
        query.req,
        route,
        query.version,
        started,
        query.due,
        query.deadline,
        asyncio.get_running_loop().create_future(),
        [attempts.Group(shard_positions, route.shards)],
        _judge,
        min_parts=max(1, len(shards) - most_missing),
        serial=serial_attempts.make_serial_state(suspect_status),
    )
    outcome = await _run(request, suspect_status)
    _report(peers, query.req, route, outcome, started, request, is_group=True)
    missing_positions = tuple(
        place
        for place, run in enumerate(request.groups[0].runs)
        if run.reply is None
    )
    return core.GroupAnswer(outcome, peers.now() - started, missing_positions)


def _find_quarantine(suspect_status, now):
    """Builds the refusal of a request under which replicas end, or None."""
    if (
        suspect_status is None
        or suspect_status.state is not core.SuspectState.CONVICTED
    ):
        return None
    left = max(RETRY_AFTER_QUARANTINE, suspect_status.retry_at - now)
    return core.Declined(core.NotRunReason.QUARANTINED, left)


def _find_group_route(index, query):
    if index is None or index.table.version != query.version:
        return None
    for route in index.table.routes:
        if route.name == query.route and route.shards:
            if max(query.shard_positions, default=0) >= len(route.shards):
                return None
            return route
    return None


def _split(peers, index, route):
    """Splits the services of a request into the groups to ask."""
    if not route.shards:
        return [attempts.Group((0,), (core.choose_service(index, route),))]
    return [
        attempts.Group(
            group.shard_positions,
            tuple(route.shards[place] for place in group.shard_positions),
            group.owners,
        )
        for group in peers.plan_groups(route)
    ]


def _find_refusal(peers, route, split, budget):
    """Tells why a request cannot be served at all, or None."""
    if budget <= DEADLINE_MARGIN:
        return core.NotRunReason.DEADLINE_TOO_SHORT
    served = sum(
        1
        for group in split
        for service in group.services
        if peers.list_usable(service)
    )
    needed = core.min_parts(route) if route.shards else 1
    return core.NotRunReason.NO_REPLICA if served < needed else None


async def _run(request, suspect_status):
    try:
        _start(request, suspect_status)
        await request.done
    except asyncio.CancelledError:
        for handle in request.handles:
            request.peers.abandon(handle)
        raise
    finally:
        request.is_open = False
        for timer in request.timers:
            timer.cancel()
        for group in request.groups:
            if group.query is not None:
                group.query.cancel()
    return _make_outcome(request)


def _start(request, suspect_status):
    now = request.peers.now()
    loop = asyncio.get_running_loop()
    request.timers.append(
        loop.call_later(max(0.0, request.deadline - now), _end, request)
    )
    if request.route.shards:
        left = max(0.0, request.due - now)
        request.timers.append(loop.call_later(left, _be_due, request))
    if suspect_status is None:
        for group in request.groups:
            if group.owners:
                groups.start_group(request, group)
            else:
                groups.ask_here(request, group, core.AttemptKind.FIRST)
    else:
        _start_suspect(request, suspect_status)
    _arm_hedge(request)


def _start_suspect(request, suspect_status):
    """Asks one service first, where a replica has ended if possible."""
    serial = request.serial
    serial.awaited = request  # all wait until each run is there
    for group in request.groups:
        groups.ask_here(request, group, core.AttemptKind.FIRST)
    serial.held.sort(
        key=lambda item: item[1].service not in suspect_status.services
    )
    serial.awaited = None
    attempts.send_held(request)


def _be_due(request):
    request.is_due = True
    _judge(request)


def _judge(request):
    """Ends the request if what is in suffices, or never will."""
    parts = sum(map(groups.count_parts, request.groups))
    reachable = sum(map(groups.count_reachable, request.groups))
    # Runs that have not been started yet may still come as well.
    for group in request.groups:
        if not group.is_asked:
            reachable += len(group.services) - len(group.runs)
    if request.route.shards:
        verdict = core.decide_gather(
            request.route, parts, reachable - parts, request.is_due
        )
        if parts < request.min_parts <= reachable:
            verdict = core.GatherDecision.WAIT
        if verdict is core.GatherDecision.GIVE_UP and groups.ask_absent(
            request
        ):
            return
        is_over = verdict is not core.GatherDecision.WAIT
    else:
        is_over = parts > 0 or reachable == 0
    if is_over:
        _end(request)


def _end(request):
    if not request.done.done():
        request.done.set_result(None)


def _list_late(request):
    """Lists the runs that may still be hedged, with their groups."""
    route = request.route
    if (
        route.repeat is not core.Idempotency.IDEMPOTENT
        or route.max_attempts < 2
    ):
        return []
    return [
        (group, run)
        for group in request.groups
        for run in group.runs
        if run.hedge_at is not None
        and run.out == 1
        and not run.is_hedged
        and run.reply is None
    ]


def _arm_hedge(request):
    """Sets the timer for the run that is late next."""
    late = _list_late(request)
    if request.done.done() or not late:
        return
    at = min(run.hedge_at for _, run in late)
    gap = max(MIN_HEDGE_GAP, at - request.peers.now())
    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(gap, _hedge, request))


def _hedge(request):
    if request.done.done():
        return
    now = request.peers.now()
    for group, run in _list_late(request):
        if run.hedge_at <= now + MIN_HEDGE_GAP:
            attempts.hedge_run(request, group, run)
    _arm_hedge(request)


def _make_outcome(request):
    route = request.route
    replies, merged = _choose_parts(request)
    if route.shards:
        parts = len(replies) + sum(len(item.signatures) for item in merged)
        if parts >= core.min_parts(route):
            return core.merge_parts(route, replies, merged)
    elif replies:
        return core.Forwarded(replies[0])
    for handle in request.handles:
        request.peers.withdraw(handle)
    runs = [run for group in request.groups for run in group.runs]
    is_asked = any(group.is_asked for group in request.groups)
    if is_asked or any(run.is_executed or run.out for run in runs):
        return _unanswered(request, runs)
    reasons = [run.reason for run in runs if run.reason is not None]
    reason = reasons[0] if reasons else core.NotRunReason.OVERLOADED
    return core.Declined(reason, RETRY_AFTER_SHED)


def _choose_parts(request):
    """Chooses, for each group, the answer with more of its shards.

    What another node merged cannot be taken apart, so the parts that came
    here as well would be in twice.
    """
    replies, merged = [], []
    for group in request.groups:
        if group.merged and len(group.merged.signatures) >= group.parts:
            merged.append(group.merged)
        else:
            replies += [
                run.reply for run in group.runs if run.reply is not None
            ]
    return replies, merged


def _unanswered(request, runs):
    failures = [run.failure for run in runs if run.failure is not None]
    if failures and not request.route.shards:
        return core.Forwarded(failures[0])
    if request.peers.now() >= request.deadline:
        return core.Unanswered(core.FailureReason.DEADLINE_PASSED)
    return core.Unanswered(core.FailureReason.UPSTREAM_ERROR)


def _report(peers, req, route, outcome, started, request=None, is_group=False):
    seconds = peers.now() - started
    report = attempts.RequestReport(
        req.request_id, route, outcome, seconds, is_group=is_group
    )
    if request is not None:
        report = dataclasses.replace(
            report,
            parts=sum(map(groups.count_parts, request.groups)),
            services=sum(len(group.services) for group in request.groups),
            hedges=request.hedges,
            retries=request.retries,
            groups=sum(group.is_asked for group in request.groups),
        )
    peers.record(report)
    return outcome
