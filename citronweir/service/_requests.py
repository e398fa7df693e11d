"""Answers the requests of callers that go to replicas unchanged.

A request is refused at once where it is known that it cannot be served,
answered as soon as what is in suffices, and given up at its deadline.
"""

import asyncio
import dataclasses

from citronweir import core
from citronweir.service import _attempts as attempts

# A caller may come again after this time where nothing better is known.
RETRY_AFTER_START = 0.5  # seconds; a node that waits for its configuration
RETRY_AFTER_NO_REPLICA = 0.3  # seconds
RETRY_AFTER_SHED = 0.1  # seconds
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
    route, outcome = None, None
    if index is None:
        reason = core.NotRunReason.NO_CONFIGURATION
        outcome = core.Declined(reason, RETRY_AFTER_START)
    else:
        route = core.find_route(index, req.host, req.target)
        if route is None:
            outcome = core.NoRoute()
    if outcome is not None:
        return _report(peers, req, route, outcome, started)
    services = route.shards or (core.choose_service(index, route),)
    return await _run(peers, req, route, services, started)


async def _run(peers, req, route, services, started):
    budget = min(req.budget, route.timeout)
    reason = _find_refusal(peers, route, services, budget)
    if reason is not None:
        outcome = core.Declined(reason, RETRY_AFTER_NO_REPLICA)
        return _report(peers, req, route, outcome, started)
    request = attempts.Request(
        peers,
        req,
        route,
        started,
        started + budget - DEADLINE_MARGIN,
        asyncio.get_running_loop().create_future(),
        [attempts.Run(service) for service in services],
    )
    request.open_runs = len(request.runs)
    try:
        _start(request)
        await request.done
    except asyncio.CancelledError:
        request.is_open = False
        for handle in request.handles:
            peers.leave(handle)
        raise
    finally:
        request.is_open = False
        for timer in request.timers:
            timer.cancel()
    outcome = _make_outcome(request)
    return _report(peers, req, route, outcome, started, request)


def _find_refusal(peers, route, services, budget):
    """Tells why a request cannot be served at all, or None."""
    if budget <= DEADLINE_MARGIN:
        return core.NotRunReason.DEADLINE_TOO_SHORT
    served = sum(1 for name in services if peers.list_usable(name))
    needed = core.min_parts(route) if route.shards else 1
    return core.NotRunReason.NO_REPLICA if served < needed else None


def _start(request):
    peers, route = request.peers, request.route
    loop = asyncio.get_running_loop()
    left = request.deadline - peers.now()
    request.timers.append(loop.call_later(left, _end, request))
    if route.shards:
        due = request.started + route.target - core.ANSWER_TIME - peers.now()
        request.timers.append(loop.call_later(max(0.0, due), _be_due, request))
    for run in request.runs:
        attempts.start_run(request, run, _judge)
    _arm_hedge(request)


def _be_due(request):
    request.is_due = True
    _judge(request)


def _judge(request):
    """Ends the request if what is in suffices, or never will."""
    if request.route.shards:
        verdict = core.judge_parts(
            request.route, request.parts, request.open_runs, request.is_due
        )
        is_over = verdict is not core.Verdict.WAIT
    else:
        is_over = request.parts > 0 or not request.open_runs
    if is_over:
        _end(request)


def _end(request):
    if not request.done.done():
        request.done.set_result(None)


def _arm_hedge(request):
    """Sets the timer for the run that is late next."""
    if request.done.done() or not _may_hedge(request.route):
        return
    waiting = [run.hedge_at for run in request.runs if _may_be_late(run)]
    if not waiting:
        return
    gap = max(MIN_HEDGE_GAP, min(waiting) - request.peers.now())
    loop = asyncio.get_running_loop()
    request.timers.append(loop.call_later(gap, _hedge, request))


def _hedge(request):
    if request.done.done():
        return
    now = request.peers.now()
    for run in request.runs:
        if _may_be_late(run) and run.hedge_at <= now + MIN_HEDGE_GAP:
            attempts.hedge_run(request, run)
    _arm_hedge(request)


def _may_hedge(route):
    return route.repeat is core.Repeat.IDEMPOTENT and route.max_attempts > 1


def _may_be_late(run):
    return (
        run.hedge_at is not None
        and run.out == 1
        and not run.is_hedged
        and run.reply is None
    )


def _make_outcome(request):
    route = request.route
    replies = [run.reply for run in request.runs if run.reply is not None]
    if route.shards:
        if len(replies) >= core.min_parts(route):
            return core.merge_parts(route, replies)
    elif replies:
        return core.Forwarded(replies[0])
    for handle in request.handles:
        request.peers.withdraw(handle)
    if any(run.is_executed or run.out for run in request.runs):
        return _unanswered(request)
    reasons = [run.reason for run in request.runs if run.reason is not None]
    reason = reasons[0] if reasons else core.NotRunReason.OVERLOADED
    return core.Declined(reason, RETRY_AFTER_SHED)


def _unanswered(request):
    failures = [run.failure for run in request.runs if run.failure is not None]
    if failures and not request.route.shards:
        return core.Forwarded(failures[0])
    if request.peers.now() >= request.deadline:
        return core.Unanswered(core.FailureReason.DEADLINE_PASSED)
    return core.Unanswered(core.FailureReason.UPSTREAM_ERROR)


def _report(peers, req, route, outcome, started, request=None):
    seconds = peers.now() - started
    report = attempts.RequestReport(req.request_id, route, outcome, seconds)
    if request is not None:
        report = dataclasses.replace(
            report,
            parts=request.parts,
            services=len(request.runs),
            hedges=request.hedges,
            retries=request.retries,
        )
    peers.record(report)
    return outcome
