"""Evaluates the outcomes of sub-requests and records their latencies."""

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


def merge_answer(piece_run: states.PieceRun, outcome: core.SubOutcome) -> bool:
    """Merges an answer and returns whether it covers the whole piece."""
    if not isinstance(outcome, core.SubAnswer):
        return False
    asked = piece_run.piece.key_range
    accepted = core.accept_answer(piece_run.merge, asked, outcome)
    docs = max(outcome.docs, piece_run.piece.docs)
    return accepted and outcome.docs_searched >= docs


def record_result(
    fanout: states.Fanout, outcome: core.SubOutcome, sent_at: float
) -> None:
    """Updates the budgets with the outcome of a sub-request.

    Args:
        fanout: State of the search.
        outcome: Outcome of the sub-request.
        sent_at: Monotonic time at which it was sent, seconds.
    """
    not_run = isinstance(outcome, core.SubNotRun)
    is_shed = not_run and outcome.reason in _SHED_REASONS
    core.record_shed(fanout.budgets, is_shed)
    core.record_failure(fanout.budgets, _is_failed(outcome))
    fanout.sheds += is_shed
    if isinstance(outcome, core.SubAnswer):
        _record_latency(fanout, sent_at)


def _is_failed(outcome):
    if isinstance(outcome, core.SubNotRun):
        return outcome.reason is core.NotRunReason.UNREACHABLE
    return isinstance(outcome, core.SubUnknown | core.SubFailed)


def record_hedged_latency(
    fanout: states.Fanout, piece_run: states.PieceRun, sent_at: float
) -> None:
    """Records the elapsed time of a first attempt that its hedge preceded.

    The elapsed time is a lower bound of the latency. Without it the quantile
    would include only the faster hedges, and the hedge delay would shrink.

    Args:
        fanout: State of the search.
        piece_run: Piece that has been answered.
        sent_at: Monotonic time at which the answered attempt was sent.
    """
    if piece_run.in_flight and sent_at > piece_run.first_sent_at:
        _record_latency(fanout, piece_run.first_sent_at)


def end_attempt_span(
    span: 'telemetry.Span | None',
    replica_id: core.ReplicaId,
    rank: core.Rank,
    kind: core.AttemptKind,
    outcome: core.SubOutcome | None,
) -> None:
    """Ends the span of an attempt; None if it is not traced."""
    if span is None:
        return
    attributes = {
        'replica': replica_id,
        'rank': rank.value,
        'kind': kind.value,
    }
    telemetry.end_span(span, telemetry.name_outcome(outcome), attributes)


def _record_latency(fanout, sent_at):
    deps = fanout.deps
    now = deps.now()
    core.record_latency(
        fanout.budgets,
        fanout.req.index,
        now - sent_at,
        fanout.expected_wait,
        now,
    )
