"""Sends the sub-requests of a search to replicas and merges their replies.

The state of a search is one record that is updated by completion callbacks. A
search of 490 pieces therefore needs one future for each sub-request and a
single timer, instead of an additional task for each piece.
"""

import asyncio
import random

from citronweir import core
from citronweir import telemetry
from citronweir.service import _fanout_replies as replies
from citronweir.service import _fanout_state as states

# Maximum number of replicas that may run a canary. It limits how many replicas
# a request can crash.
MAX_CANARY_REPLICAS = 2
# Delay of a retry after the reply to a canary was lost. Within this time the
# owner detects whether the replica crashed and informs the other nodes. The
# random jitter lets one of several nodes with the same request retry first. If
# that causes a crash, the request is convicted before the others retry.
CRASH_CHECK_DELAY = 0.15  # seconds
CRASH_CHECK_JITTER = 0.3  # seconds, maximum
# Maximum number of times that the range of a piece is tiled again.
MAX_RETILES = 2
# Maximum number of times that a search is planned again. It limits its load.
MAX_REPLANS = 1
# Minimum share of the time budget that must remain to plan a search again.
REPLAN_SHARE = 0.5
# Time by which the event loop may run a timer early.
TIMER_SLACK = 0.001  # seconds
_DRAINING = core.SubNotRun(core.NotRunReason.DRAINING)


async def run(fanout: states.Fanout, plan: core.Plan, canary: bool) -> None:
    """Runs a planned search until all pieces settle or the deadline passes.

    Args:
        fanout: New state of the search.
        plan: Plan with the pieces of the search.
        canary: Whether a single piece is sent first.
    """
    loop = asyncio.get_running_loop()
    left = max(0.0, fanout.deadline - fanout.deps.now())
    timer = loop.call_later(left, _end_at_deadline, fanout)
    try:
        _start(fanout, plan, canary)
        await fanout.done
    finally:
        timer.cancel()
        _finish(fanout)
        _cancel_open(fanout)


def lacked_capacity(fanout: states.Fanout) -> bool:
    """Returns whether the upstreams lacked capacity for the search.

    A search that is late without a queue had slow replicas. Admitting fewer
    searches would not help then.
    """
    index = fanout.req.index
    queued = fanout.expected_wait > core.mean_service_time(
        fanout.budgets, index
    )
    return fanout.sheds > 0 or (fanout.is_late and queued)


def _end_at_deadline(fanout):
    fanout.is_late = True
    _finish(fanout)


def _start(fanout, plan, canary):
    merge = core.Merge(plan)
    if fanout.merges:
        core.carry_over_answers(fanout.merges[-1], merge)
    fanout.merges.append(merge)
    left = [
        piece for piece in plan.pieces if piece.key_range not in merge.answers
    ]
    runs = _make_runs(fanout, left)
    if canary:
        fanout.held_runs = runs
        _send_canary(fanout)
    else:
        _send_all(fanout, runs)


def _make_runs(fanout, pieces, retile_count=0, tried=frozenset()):
    merge = fanout.merges[-1]
    return [
        states.PieceRun(piece, merge, retile_count, tried) for piece in pieces
    ]


def _send_canary(fanout):
    fanout.canary = fanout.held_runs.pop(0)
    _send_all(fanout, [fanout.canary])


def _send_all(fanout, runs):
    fanout.open_runs.update(dict.fromkeys(runs))
    _schedule_hedge(fanout)
    before = fanout.sent
    for piece_run in runs:
        _send_first(fanout, piece_run)
    if runs and not runs[0].retile_count:
        core.deposit_tokens(fanout.budgets, fanout.sent - before)


def _send_first(fanout, piece_run):
    replica_id = fanout.deps.choose_replica(
        piece_run.piece, piece_run.tried, fanout.rank
    )
    if replica_id is None:
        _settle(fanout, piece_run)
        return
    _send(fanout, piece_run, replica_id, core.AttemptKind.FIRST)


def _send(fanout, piece_run, replica_id, kind):
    deps, piece = fanout.deps, piece_run.piece
    sent_at = deps.now()
    if sent_at >= fanout.deadline or fanout.done.done():
        return
    span = telemetry.start_span('sub_request', fanout.trace)
    sub_search = core.SubSearch(
        fanout.req.request_id,
        fanout.req.index,
        piece.snapshot,
        piece.key_range,
        fanout.req.query,
        fanout.req.limit,
        fanout.rank,
        fanout.deadline,
        fanout.trace if span is None else span.trace,
        fanout.canary is not None,
    )
    if not piece_run.sent:
        piece_run.first_sent_at = sent_at
    piece_run.tried |= {replica_id}
    piece_run.sent += 1
    piece_run.in_flight += 1
    fanout.sent += 1
    future = asyncio.ensure_future(deps.send(replica_id, sub_search))
    piece_run.futures.append(future)

    def on_done(future):
        outcome = replies.read_outcome(future)
        replies.end_attempt_span(span, replica_id, fanout.rank, kind, outcome)
        if outcome is not None and not fanout.done.done():
            _handle_outcome(fanout, piece_run, outcome, sent_at)

    future.add_done_callback(on_done)


def _handle_outcome(fanout, piece_run, outcome, sent_at):
    replies.record_result(fanout, outcome, sent_at)
    if piece_run.is_settled:
        return
    piece_run.in_flight -= 1
    if not isinstance(outcome, core.SubNotRun | core.SubGone):
        piece_run.replicas_reached += 1
    if isinstance(outcome, core.SubAnswer | core.SubFailed):
        piece_run.is_replied = True
    elif isinstance(outcome, core.SubUnknown):
        piece_run.is_lost = True
    if replies.merge_answer(piece_run, outcome):
        replies.record_hedged_latency(fanout, piece_run, sent_at)
        _settle(fanout, piece_run)
    elif piece_run.in_flight:
        return
    elif fanout.deps.is_quarantined(fanout.req):
        _settle(fanout, piece_run)
    elif isinstance(outcome, core.SubGone):
        _handle_moved_range(fanout, piece_run)
    elif outcome == _DRAINING:
        # A refusal costs the replica almost nothing. If it took a retry
        # token, draining many replicas at once would reduce coverage.
        _retry(fanout, piece_run, core.take_reroute)
    elif piece_run is fanout.canary and isinstance(outcome, core.SubUnknown):
        _await_crash_check(fanout, piece_run)
    else:
        _retry(fanout, piece_run, core.take_retry)


def _await_crash_check(fanout, piece_run):
    """Retries a lost canary after a delay, unless quarantined by then."""

    def resume():
        fanout.crash_check_timer = None
        if fanout.done.done() or piece_run.is_settled:
            return
        if fanout.deps.is_quarantined(fanout.req):
            _settle(fanout, piece_run)
        else:
            _retry(fanout, piece_run, core.take_retry)

    delay = CRASH_CHECK_DELAY + random.uniform(0.0, CRASH_CHECK_JITTER)
    loop = asyncio.get_running_loop()
    fanout.crash_check_timer = loop.call_later(delay, resume)


def _retry(fanout, piece_run, take):
    deps = fanout.deps
    is_canary = piece_run is fanout.canary
    replica_id = deps.choose_replica(
        piece_run.piece, piece_run.tried, fanout.rank
    )
    if (
        replica_id is None
        or deps.now() >= fanout.deadline
        or (is_canary and piece_run.replicas_reached >= MAX_CANARY_REPLICAS)
        or not take(fanout.budgets)
    ):
        _settle(fanout, piece_run)
        return
    fanout.retries += 1
    _send(fanout, piece_run, replica_id, core.AttemptKind.RETRY)


def _handle_moved_range(fanout, piece_run):
    """Searches a range that a replica no longer holds at other replicas.

    Uses an untried replica of the piece if there is one. Otherwise the range
    is tiled into new pieces, or the whole search is planned again if they
    would cover fewer documents.
    """
    deps, piece = fanout.deps, piece_run.piece
    if deps.choose_replica(piece, piece_run.tried, fanout.rank) is not None:
        _retry(fanout, piece_run, core.take_reroute)
        return
    new_pieces = _retile(fanout, piece_run)
    retiled_docs = sum(new_piece.docs for new_piece in new_pieces)
    if retiled_docs < piece.docs and _replan(fanout, piece_run):
        return
    new_pieces = [
        new_piece
        for new_piece in new_pieces
        if core.take_reroute(fanout.budgets)
    ]
    runs = _make_runs(
        fanout, new_pieces, piece_run.retile_count + 1, piece_run.tried
    )
    fanout.retries += len(runs)
    if piece_run is fanout.canary:
        fanout.held_runs[:0] = runs
    else:
        _send_all(fanout, runs)
    _settle(fanout, piece_run)


def _retile(fanout, piece_run):
    """Returns new pieces for the range of a piece, with untried replicas."""
    if piece_run.retile_count >= MAX_RETILES:
        return []
    deps, piece = fanout.deps, piece_run.piece
    new_pieces = deps.retile(piece.index, piece.snapshot, piece.key_range)
    return [
        new_piece
        for new_piece in new_pieces
        if deps.choose_replica(new_piece, piece_run.tried, fanout.rank)
        is not None
    ]


def _replan(fanout, moved):
    """Plans the whole search again; returns whether it was restarted."""
    deps = fanout.deps
    left = fanout.deadline - deps.now()
    if fanout.replans >= MAX_REPLANS or left < REPLAN_SHARE * fanout.budget:
        return False
    plan, old = deps.plan(fanout.req.index), fanout.merges[-1].plan
    if plan is None or not plan.pieces:
        return False
    ranges = {piece.key_range for piece in plan.pieces}
    if plan.snapshot == old.snapshot and moved.piece.key_range in ranges:
        return False  # the same replicas would give the same replies
    pending_docs = [
        item.piece.docs
        for item in (*fanout.open_runs, *fanout.held_runs)
        if item is not moved
    ]
    reachable = core.reachable_coverage(fanout.merges[-1], sum(pending_docs))
    if core.planned_coverage(plan) <= reachable:
        return False
    fanout.replans += 1
    _cancel_open(fanout)
    _start(fanout, plan, fanout.canary is not None)
    return True


def _settle(fanout, piece_run):
    _cancel_piece(piece_run)
    fanout.open_runs.pop(piece_run, None)
    if fanout.open_runs:
        return
    if not fanout.held_runs or fanout.deps.is_quarantined(fanout.req):
        _finish(fanout)
    elif piece_run.is_replied:
        runs, fanout.held_runs, fanout.canary = fanout.held_runs, [], None
        _send_all(fanout, runs)
    elif piece_run.is_lost and not _may_send_canary(fanout, piece_run):
        _finish(fanout)  # the request may have crashed the replicas
    else:
        _send_canary(fanout)


def _may_send_canary(fanout, piece_run):
    """Counts a lost canary; returns whether another one may be sent."""
    fanout.canary_replicas_reached += piece_run.replicas_reached
    return fanout.canary_replicas_reached < MAX_CANARY_REPLICAS


def _cancel_piece(piece_run):
    """Settles a piece and cancels its sub-requests in flight."""
    piece_run.is_settled = True
    for future in piece_run.futures:
        future.cancel()


def _schedule_hedge(fanout):
    if fanout.hedge_timer is not None or fanout.done.done():
        return
    delay = core.hedge_delay(
        fanout.budgets, fanout.req.index, fanout.expected_wait
    )
    if delay is None:
        return
    loop = asyncio.get_running_loop()
    fanout.hedge_timer = loop.call_later(delay, _send_hedges, fanout)


def _send_hedges(fanout):
    """Sends a second sub-request for each late piece without one.

    Pieces that are not late yet, or got no token, are checked again later.
    """
    fanout.hedge_timer = None
    deps = fanout.deps
    now = deps.now()
    if fanout.done.done() or now >= fanout.deadline:
        return
    delay = core.hedge_delay(
        fanout.budgets, fanout.req.index, fanout.expected_wait
    )
    if delay is None:
        return
    unhedged = [item for item in fanout.open_runs if item.sent == 1]
    for piece_run in unhedged:
        if now - piece_run.first_sent_at < delay - TIMER_SLACK:
            continue
        replica_id = deps.choose_replica(
            piece_run.piece, piece_run.tried, fanout.rank
        )
        if replica_id is None:
            continue
        if not core.take_hedge(fanout.budgets):
            break
        fanout.hedges += 1
        _send(fanout, piece_run, replica_id, core.AttemptKind.HEDGE)
    if any(item.sent == 1 for item in unhedged):
        _schedule_hedge(fanout)


def _cancel_open(fanout):
    """Cancels all open pieces, so that their replies are ignored."""
    for piece_run in fanout.open_runs:
        _cancel_piece(piece_run)
    fanout.open_runs.clear()
    if fanout.hedge_timer is not None:
        fanout.hedge_timer.cancel()
        fanout.hedge_timer = None
    if fanout.crash_check_timer is not None:
        fanout.crash_check_timer.cancel()
        fanout.crash_check_timer = None


def _finish(fanout):
    if not fanout.done.done():
        fanout.done.set_result(None)
