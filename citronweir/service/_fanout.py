"""Fans a search out to replicas and gathers the replies in time.

One record holds the state of a search, and completion callbacks drive
it. A search of 490 pieces thus costs one future for each sub-request
and one timer in all, not a task for each piece around it.
"""

import asyncio
import random

from citronweir import core
from citronweir import telemetry
from citronweir.service import _fanout_replies as replies
from citronweir.service import _fanout_state as states

# Replicas that may see a canary: the first and one more, which bounds
# the replicas that a crashing request can take down.
CANARY_TRIES = 2
# Seconds for which a search waits after a canary's reply was lost. By then
# the owner has found out whether the replica crashed and has told the
# other nodes. The wait is drawn from the span above it as well: of several
# nodes with the same request one goes first, and its crash convicts the
# request before the others send it again.
VERDICT_TIME = 0.15
VERDICT_SPREAD = 0.3
# Times that the range of a piece is tiled again after it was split.
MAX_SPLITS = 2
# A whole search is planned again once at most, which bounds its load.
MAX_REPLANS = 1
# Share of the time that must be left to plan a search again.
REPLAN_SHARE = 0.5
# Seconds by which the loop may run a timer early.
TIMER_SLACK = 0.001
_DRAINING = core.SubNotRun(core.NotRunReason.DRAINING)


async def run(fanout: states.Fanout, plan: core.Plan, canary: bool) -> None:
    """Runs a planned search until every piece is settled or time is up.

    Args:
        fanout: State of the search, new.
        plan: Its pieces.
        canary: Whether one piece goes first, alone.
    """
    loop = asyncio.get_running_loop()
    left = max(0.0, fanout.deadline - fanout.peers.now())
    timer = loop.call_later(left, _end_late, fanout)
    try:
        _start(fanout, plan, canary)
        await fanout.done
    finally:
        timer.cancel()
        _finish(fanout)
        _drop_open(fanout)


def is_short(fanout: states.Fanout) -> bool:
    """Returns whether the search lacked capacity at the upstreams.

    Lateness without a queue comes from slow replicas; fewer searches
    would not help against it.
    """
    index = fanout.req.index
    queued = fanout.wait > core.mean_service_time(fanout.budgets, index)
    return fanout.sheds > 0 or (fanout.is_late and queued)


def _end_late(fanout):
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
        fanout.waiting = runs
        _send_canary(fanout)
    else:
        _launch(fanout, runs)


def _make_runs(fanout, pieces, splits=0, tried=frozenset()):
    merge = fanout.merges[-1]
    return [states.PieceRun(piece, merge, splits, tried) for piece in pieces]


def _send_canary(fanout):
    fanout.canary = fanout.waiting.pop(0)
    _launch(fanout, [fanout.canary])


def _launch(fanout, runs):
    fanout.open.update(dict.fromkeys(runs))
    _arm_hedge(fanout)
    before = fanout.sent
    for piece_run in runs:
        _send_first(fanout, piece_run)
    if runs and not runs[0].splits:
        core.deposit_tokens(fanout.budgets, fanout.sent - before)


def _send_first(fanout, piece_run):
    replica_id = fanout.peers.choose_replica(
        piece_run.piece, piece_run.tried, fanout.rank
    )
    if replica_id is None:
        _settle(fanout, piece_run)
        return
    _send(fanout, piece_run, replica_id, core.AttemptKind.FIRST)


def _send(fanout, piece_run, replica_id, kind):
    peers, piece = fanout.peers, piece_run.piece
    sent_at = peers.now()
    if sent_at >= fanout.deadline or fanout.done.done():
        return
    span = telemetry.start_span('sub_request', fanout.trace)
    sub = core.SubSearch(
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
    future = asyncio.ensure_future(peers.send(replica_id, sub))
    piece_run.futures.append(future)

    def on_done(future):
        outcome = replies.read_outcome(future)
        replies.end_span(span, replica_id, fanout.rank, kind, outcome)
        if outcome is not None and not fanout.done.done():
            _take_reply(fanout, piece_run, outcome, sent_at)

    future.add_done_callback(on_done)


def _take_reply(fanout, piece_run, outcome, sent_at):
    replies.learn(fanout, outcome, sent_at)
    if piece_run.settled:
        return
    piece_run.in_flight -= 1
    if not isinstance(outcome, core.SubNotRun | core.SubGone):
        piece_run.seen += 1
    if isinstance(outcome, core.SubAnswer | core.SubFailed):
        piece_run.is_replied = True
    elif isinstance(outcome, core.SubUnknown):
        piece_run.is_lost = True
    if replies.is_answered(piece_run, outcome):
        replies.note_loser(fanout, piece_run, sent_at)
        _settle(fanout, piece_run)
    elif piece_run.in_flight:
        return
    elif fanout.peers.is_quarantined(fanout.req):
        _settle(fanout, piece_run)
    elif isinstance(outcome, core.SubGone):
        _follow_move(fanout, piece_run)
    elif outcome == _DRAINING:
        # It costs the replica next to nothing. Paid as a retry, a drain
        # of many replicas at once would cost coverage.
        _retry(fanout, piece_run, core.take_reroute)
    elif piece_run is fanout.canary and isinstance(outcome, core.SubUnknown):
        _await_verdict(fanout, piece_run)
    else:
        _retry(fanout, piece_run, core.take_retry)


def _await_verdict(fanout, piece_run):
    """Goes on with another replica unless the request is suspected."""

    def go_on():
        fanout.verdict_timer = None
        if fanout.done.done() or piece_run.settled:
            return
        if fanout.peers.is_quarantined(fanout.req):
            _settle(fanout, piece_run)
        else:
            _retry(fanout, piece_run, core.take_retry)

    wait = VERDICT_TIME + random.uniform(0.0, VERDICT_SPREAD)
    loop = asyncio.get_running_loop()
    fanout.verdict_timer = loop.call_later(wait, go_on)


def _retry(fanout, piece_run, take):
    peers = fanout.peers
    is_canary = piece_run is fanout.canary
    replica_id = peers.choose_replica(
        piece_run.piece, piece_run.tried, fanout.rank
    )
    if (
        replica_id is None
        or peers.now() >= fanout.deadline
        or (is_canary and piece_run.seen >= CANARY_TRIES)
        or not take(fanout.budgets)
    ):
        _settle(fanout, piece_run)
        return
    fanout.retries += 1
    _send(fanout, piece_run, replica_id, core.AttemptKind.RETRY)


def _follow_move(fanout, piece_run):
    """Follows a range that a replica no longer holds."""
    peers, piece = fanout.peers, piece_run.piece
    if peers.choose_replica(piece, piece_run.tried, fanout.rank) is not None:
        _retry(fanout, piece_run, core.take_reroute)
        return
    parts = _split(fanout, piece_run)
    found = sum(part.docs for part in parts)
    if found < piece.docs and _replan(fanout, piece_run):
        return
    parts = [part for part in parts if core.take_reroute(fanout.budgets)]
    runs = _make_runs(fanout, parts, piece_run.splits + 1, piece_run.tried)
    fanout.retries += len(runs)
    if piece_run is fanout.canary:
        fanout.waiting[:0] = runs
    else:
        _launch(fanout, runs)
    _settle(fanout, piece_run)


def _split(fanout, piece_run):
    """Returns pieces with untried replicas that cover a piece anew."""
    if piece_run.splits >= MAX_SPLITS:
        return []
    peers, piece = fanout.peers, piece_run.piece
    parts = peers.retile(piece.index, piece.snapshot, piece.key_range)
    return [
        part
        for part in parts
        if peers.choose_replica(part, piece_run.tried, fanout.rank) is not None
    ]


def _replan(fanout, gone):
    """Plans the whole search again; returns whether it runs anew."""
    peers = fanout.peers
    left = fanout.deadline - peers.now()
    if fanout.replans >= MAX_REPLANS or left < REPLAN_SHARE * fanout.budget:
        return False
    plan, old = peers.plan(fanout.req.index), fanout.merges[-1].plan
    if plan is None or not plan.pieces:
        return False
    ranges = {piece.key_range for piece in plan.pieces}
    if plan.snapshot == old.snapshot and gone.piece.key_range in ranges:
        return False  # the same replicas would say again what they said
    left = [
        item.piece.docs
        for item in (*fanout.open, *fanout.waiting)
        if item is not gone
    ]
    reachable = core.reachable_coverage(fanout.merges[-1], sum(left))
    if core.planned_coverage(plan) <= reachable:
        return False
    fanout.replans += 1
    _drop_open(fanout)
    _start(fanout, plan, fanout.canary is not None)
    return True


def _settle(fanout, piece_run):
    _end_piece(piece_run)
    fanout.open.pop(piece_run, None)
    if fanout.open:
        return
    if not fanout.waiting or fanout.peers.is_quarantined(fanout.req):
        _finish(fanout)
    elif piece_run.is_replied:
        runs, fanout.waiting, fanout.canary = fanout.waiting, [], None
        _launch(fanout, runs)
    elif piece_run.is_lost and not _may_send_again(fanout, piece_run):
        _finish(fanout)  # the request may have crashed the replicas
    else:
        _send_canary(fanout)


def _may_send_again(fanout, piece_run):
    """Counts a lost canary; returns whether another piece may go first."""
    fanout.canary_seen += piece_run.seen
    return fanout.canary_seen < CANARY_TRIES


def _end_piece(piece_run):
    """Ends a piece and cancels what is still on its way for it."""
    piece_run.settled = True
    for future in piece_run.futures:
        future.cancel()


def _arm_hedge(fanout):
    if fanout.hedge_timer is not None or fanout.done.done():
        return
    delay = core.hedge_delay(fanout.budgets, fanout.req.index, fanout.wait)
    if delay is None:
        return
    loop = asyncio.get_running_loop()
    fanout.hedge_timer = loop.call_later(delay, _hedge, fanout)


def _hedge(fanout):
    """Sends a second sub-request for each late piece that is still alone.

    Pieces that are not late yet, or found no token, get another chance.
    """
    fanout.hedge_timer = None
    peers = fanout.peers
    now = peers.now()
    if fanout.done.done() or now >= fanout.deadline:
        return
    delay = core.hedge_delay(fanout.budgets, fanout.req.index, fanout.wait)
    if delay is None:
        return
    alone = [item for item in fanout.open if item.sent == 1]
    for piece_run in alone:
        if now - piece_run.first_sent_at < delay - TIMER_SLACK:
            continue
        replica_id = peers.choose_replica(
            piece_run.piece, piece_run.tried, fanout.rank
        )
        if replica_id is None:
            continue
        if not core.take_hedge(fanout.budgets):
            break
        fanout.hedges += 1
        _send(fanout, piece_run, replica_id, core.AttemptKind.HEDGE)
    if any(item.sent == 1 for item in alone):
        _arm_hedge(fanout)


def _drop_open(fanout):
    """Ends all open pieces; their replies no longer count."""
    for piece_run in fanout.open:
        _end_piece(piece_run)
    fanout.open.clear()
    if fanout.hedge_timer is not None:
        fanout.hedge_timer.cancel()
        fanout.hedge_timer = None
    if fanout.verdict_timer is not None:
        fanout.verdict_timer.cancel()
        fanout.verdict_timer = None


def _finish(fanout):
    if not fanout.done.done():
        fanout.done.set_result(None)
