"""Reads the outcomes of sub-requests and learns latencies from them."""

import asyncio

from citronweir import core
from citronweir import telemetry
from citronweir.service import _fanout_state as states

_SHED_REASONS = (core.NotRunReason.SHED, core.NotRunReason.QUEUE_FULL)


def read_outcome(future: asyncio.Future) -> core.SubOutcome | None:
    """Returns the outcome, or None if the sub-request was cancelled."""
    if future.cancelled():
        return None
    exc = future.exception()
    if exc is None:
        return future.result()
    telemetry.log(
        telemetry.Event.INTERNAL_ERROR, task='sub-search', error=repr(exc)
    )
    return core.SubFailed(type(exc).__name__)


def is_answered(piece_run: states.PieceRun, outcome: core.SubOutcome) -> bool:
    """Merges an answer; returns whether it covers the whole piece."""
    if not isinstance(outcome, core.SubAnswer):
        return False
    asked = piece_run.piece.key_range
    accepted = core.accept_answer(piece_run.merge, asked, outcome)
    docs = max(outcome.docs, piece_run.piece.docs)
    return accepted and outcome.docs_searched >= docs


def learn(
    fanout: states.Fanout, outcome: core.SubOutcome, sent_at: float
) -> None:
    """Tells the budgets what became of a sub-request.

    Args:
        fanout: State of the search.
        outcome: What became of it.
        sent_at: Monotonic second at which it was sent.
    """
    not_run = isinstance(outcome, core.SubNotRun)
    shed = not_run and outcome.reason in _SHED_REASONS
    core.record_shed(fanout.budgets, shed)
    core.record_failure(fanout.budgets, _is_failed(outcome))
    fanout.sheds += shed
    if isinstance(outcome, core.SubAnswer):
        _note_latency(fanout, sent_at)


def _is_failed(outcome):
    if isinstance(outcome, core.SubNotRun):
        return outcome.reason is core.NotRunReason.UNREACHABLE
    return isinstance(outcome, core.SubUnknown | core.SubFailed)


def note_loser(
    fanout: states.Fanout, piece_run: states.PieceRun, sent_at: float
) -> None:
    """Records that the reply which a hedge beat took at least this long.

    Without it the quantile would only see the hedges that won, and the
    delay would sink.

    Args:
        fanout: State of the search.
        piece_run: Piece that has been answered.
        sent_at: Monotonic second at which the answered try was sent.
    """
    if piece_run.in_flight and sent_at > piece_run.first_sent_at:
        _note_latency(fanout, piece_run.first_sent_at)


def end_span(
    span: 'telemetry.Span | None',
    replica_id: core.ReplicaId,
    rank: core.Rank,
    kind: core.AttemptKind,
    outcome: core.SubOutcome | None,
) -> None:
    """Closes the span of a try, None for one that is not recorded."""
    if span is None:
        return
    attributes = {
        'replica': replica_id,
        'rank': rank.value,
        'kind': kind.value,
    }
    telemetry.end_span(span, telemetry.name_outcome(outcome), attributes)


def _note_latency(fanout, sent_at):
    peers = fanout.peers
    now = peers.now()
    core.record_latency(
        fanout.budgets, fanout.req.index, now - sent_at, fanout.wait, now
    )
