"""State machine for the claim of a non-idempotent request.

An attempt is a sequence of steps: each function takes the reply to the last
step and returns the next one. No function performs I/O, so tests can
interleave attempts and inject faults at every step.

An order runs at most once because an attempt dispatches only if the CLAIMED
record holds its own token, and only that attempt changes the record from
then on. An attempt that cannot confirm its claim never dispatches.
"""

import dataclasses
import uuid

from citronweir.core import _data as data

HOUR = 3600.0  # seconds

# The store deletes a claim when its lease expires.
LEASE_TTL = 24 * HOUR
# A request id may be up to 60 s ahead of the clock when it is claimed, and
# claims decide it until it is 23 h old. New claims are attached to a lease for
# its first 55 min only, so that its last claim outlives the last decision by
# 4 min, as a margin for clock error.
LEASE_CLAIM_PERIOD = HOUR - 300.0  # seconds
MAX_ID_AGE = 23 * HOUR
MAX_ID_LEAD = 60.0  # seconds

MAX_RESULT_BYTES = 4096
# Replacing a VOID record takes a step. The limit ensures that a caller gets an
# answer even if concurrent attempts keep overtaking one another.
MAX_CLAIM_STEPS = 10

_UUID7_TIME_SHIFT = 80  # bits after the 48-bit timestamp
# Answer after a VOID record was written: the attempt cannot dispatch any more.
_REFUSE_FENCED = data.AnswerOrder(
    data.Refused(data.NotRunReason.PLATFORM_UNAVAILABLE)
)
# Answer without a readable claim: another attempt may have run the order.
_REFUSE_UNCHECKED = dataclasses.replace(_REFUSE_FENCED, is_checked=False)


def check_order_id(
    contract_id: data.ContractId,
    request_id: data.RequestId,
    wall_now: float,
) -> data.ClaimKey | data.Refused | data.Unknown:
    """Checks a request id and builds the key of its claim.

    Args:
        contract_id: Contract of the request.
        request_id: UUIDv7 in any of its spellings.
        wall_now: Wall clock, seconds since the epoch.

    Returns:
        The claim's key; Refused for an id that is not a UUIDv7, which no
        attempt ever runs; Unknown for an id whose claim may have expired.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return data.Refused(data.NotRunReason.INVALID_ID)
    if parsed.version != 7:
        return data.Refused(data.NotRunReason.INVALID_ID)
    age = wall_now - (parsed.int >> _UUID7_TIME_SHIFT) / 1000
    if not -MAX_ID_LEAD <= age <= MAX_ID_AGE:
        return data.Unknown(data.UnknownReason.ID_EXPIRED)
    # All spellings of an id must map to the same claim.
    return data.ClaimKey(contract_id, data.RequestId(str(parsed)))


def answer_unchecked(
    req: data.OrderRequest, outcome: data.Outcome
) -> data.Outcome:
    """Returns the answer of an attempt that has not read the claim.

    "Not run" holds for the whole order only if the caller has never sent
    the id before; otherwise an earlier attempt may have run it.

    Args:
        req: Request of the caller.
        outcome: Outcome of this attempt alone.

    Returns:
        The outcome, or Unknown in place of Refused if the request may be
        a repeat.
    """
    if isinstance(outcome, data.Refused) and not req.is_first:
        return data.Unknown(data.UnknownReason.NOT_CHECKED)
    return outcome


def begin_claim(token: data.ClaimToken, node: data.NodeId) -> data.ClaimStep:
    """Returns the first step of an attempt.

    Args:
        token: Unique token of the attempt.
        node: Node that runs the attempt.
    """
    claim = data.Claim(data.ClaimState.CLAIMED, token, node)
    return data.WriteClaim(claim, data.NO_REVISION)


def after_write(
    step: data.WriteClaim, reply: data.ClaimWriteReply
) -> data.ClaimStep:
    """Returns the step after a write.

    Args:
        step: The write.
        reply: Result of the write.

    Returns:
        The next step of the attempt.
    """
    match reply:
        case data.ClaimConflict(current):
            return _resolve_conflict(step.claim, current)
        case data.ClaimWritten(revision):
            if step.claim.state is data.ClaimState.CLAIMED:
                return data.DispatchOrder(
                    dataclasses.replace(step.claim, revision=revision)
                )
            return _REFUSE_FENCED
        case data.ClaimUncertain():
            if step.claim.state is data.ClaimState.CLAIMED:
                return data.ReadBack(step)
    return _REFUSE_UNCHECKED


def after_read(
    step: data.ReadBack, reply: data.ClaimReadReply
) -> data.ClaimStep:
    """Returns the step after a read-back.

    A write that is not visible may be delayed and take effect later. It is
    fenced by writing a VOID record, which changes the revision that the
    delayed write expects.

    Args:
        step: The read-back.
        reply: Result of the read.

    Returns:
        The next step of the attempt.
    """
    if isinstance(reply, data.ClaimUnread):
        return _REFUSE_UNCHECKED
    found = reply.claim
    void = dataclasses.replace(
        step.attempted.claim, state=data.ClaimState.VOID
    )
    if found is None:
        return data.WriteClaim(void, data.NO_REVISION)
    unchanged = found.revision == step.attempted.expected
    if found.state is data.ClaimState.VOID and unchanged:
        return data.WriteClaim(void, found.revision)
    return _resolve_conflict(step.attempted.claim, found)


def settle_claim(
    own: data.Claim, outcome: data.SubOutcome
) -> tuple[data.Claim | None, data.Outcome]:
    """Maps the outcome of a dispatch to a claim record and an answer.

    Args:
        own: Claim record of the attempt.
        outcome: Outcome of the dispatch.

    Returns:
        The record to write, or None to leave it CLAIMED, and the answer to
        the caller.
    """
    match outcome:
        case data.SubDone(result):
            answer = data.Executed(result)
            return _make_done_claim(own, result), answer
        case data.SubNotRun(reason):
            return void_claim(own), data.Refused(reason)
        case data.SubGone():
            reason = data.NotRunReason.NO_REPLICA
            return void_claim(own), data.Refused(reason)
        case data.SubUnknown(reason):
            return None, data.Unknown(reason)
    return None, data.Unknown(data.UnknownReason.REPLY_LOST)


def void_claim(own: data.Claim) -> data.Claim:
    """Returns the VOID record of a claim that was never dispatched."""
    return dataclasses.replace(own, state=data.ClaimState.VOID)


def _make_done_claim(own, result):
    # A truncated result could be mistaken for the whole one, so a result that
    # is too large is omitted. JSON can contain lone surrogates, which strict
    # UTF-8 cannot encode.
    size = len(result.encode('utf-8', 'surrogatepass'))
    is_too_large = size > MAX_RESULT_BYTES
    return dataclasses.replace(
        own,
        state=data.ClaimState.DONE,
        result='' if is_too_large else result,
        result_omitted=is_too_large,
    )


def _resolve_conflict(own, current):
    if current is None:
        return _REFUSE_UNCHECKED
    match current.state:
        case data.ClaimState.DONE:
            return data.AnswerOrder(_answer_from_done(current))
        case data.ClaimState.VOID:
            claim = dataclasses.replace(own, state=data.ClaimState.CLAIMED)
            return data.WriteClaim(claim, current.revision)
    if current.token == own.token:
        return data.DispatchOrder(current)
    return data.AnswerOrder(data.Unknown(data.UnknownReason.CLAIMED_ELSEWHERE))


def _answer_from_done(current):
    if current.result_omitted:
        return data.Failed(data.FailureReason.RESULT_NOT_KEPT)
    return data.Executed(current.result)
