"""Decides the life cycle of the claim of a non-idempotent request.

An attempt is a series of steps: each function takes the reply to the
last step and returns the next one. Nothing here waits or calls the
platform, so a test can interleave attempts and faults at every step.

Why an order runs at most once: only the attempt whose own token stands
in a CLAIMED record dispatches, and nobody but that attempt changes that
record. An attempt that cannot confirm its claim never dispatches.
"""

import dataclasses
import uuid

from citronweir.core import _data as data

HOUR = 3600.0  # seconds

# A claim is kept for as long as its lease lives.
LEASE_TTL = 24 * HOUR
# An id may be 60 s ahead of the clock when it is claimed, and it is
# decided for 23 h. A lease takes new claims for 55 min only, so that the
# last claim outlives the last decision by 4 min of clock error.
LEASE_CLAIM_PERIOD = HOUR - 300.0  # seconds
MAX_ID_AGE = 23 * HOUR
MAX_ID_LEAD = 60.0  # seconds

MAX_RESULT_BYTES = 4096
# Each replaced VOID record costs a step; attempts that keep overtaking
# one another must not hold a caller for ever.
MAX_CLAIM_STEPS = 10

_UUID7_TIME_SHIFT = 80  # bits after the 48-bit timestamp
_FENCED = data.AnswerOrder(
    data.Refused(data.NotRunReason.PLATFORM_UNAVAILABLE)
)
_UNREAD = dataclasses.replace(_FENCED, is_checked=False)


def check_order_id(
    contract_id: data.ContractId,
    request_id: data.RequestId,
    wall_now: float,
) -> data.ClaimKey | data.Refused | data.Unknown:
    """Checks that a claim can still decide a request.

    Args:
        contract_id: Contract of the request.
        request_id: UUIDv7 in any of its spellings.
        wall_now: Wall clock, seconds since the epoch.

    Returns:
        The claim's key; Refused for an id that is no UUIDv7, which no
        attempt ever runs; Unknown for an id whose claim may be gone.
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
    # One id has several spellings, and each must find the same claim.
    return data.ClaimKey(contract_id, data.RequestId(str(parsed)))


def answer_unchecked(
    req: data.OrderRequest, outcome: data.Outcome
) -> data.Outcome:
    """Returns what an attempt may answer that has not read the claim.

    Only a caller that never sent the id before can take "not run" for
    the order; to others an earlier attempt may have run it.

    Args:
        req: Request of the caller.
        outcome: Outcome of this attempt alone.

    Returns:
        The outcome, with Unknown in place of a Refused for a repeat.
    """
    if isinstance(outcome, data.Refused) and not req.is_first:
        return data.Unknown(data.UnknownReason.NOT_CHECKED)
    return outcome


def begin_claim(token: data.ClaimToken, node: data.NodeId) -> data.ClaimStep:
    """Returns the first step of an attempt.

    Args:
        token: Token that no other attempt has.
        node: Node of the attempt.
    """
    claim = data.Claim(data.ClaimState.CLAIMED, token, node)
    return data.WriteClaim(claim, data.NO_REVISION)


def after_write(
    step: data.WriteClaim, reply: data.ClaimWriteReply
) -> data.ClaimStep:
    """Returns the step after a write.

    Args:
        step: The write.
        reply: What became of it.

    Returns:
        The next step of the attempt.
    """
    match reply:
        case data.ClaimConflict(current):
            return _judge(step.claim, current)
        case data.ClaimWritten(revision):
            if step.claim.state is data.ClaimState.CLAIMED:
                return data.DispatchOrder(
                    dataclasses.replace(step.claim, revision=revision)
                )
            return _FENCED
        case data.ClaimUncertain():
            if step.claim.state is data.ClaimState.CLAIMED:
                return data.ReadBack(step)
    return _UNREAD


def after_read(
    step: data.ReadBack, reply: data.ClaimReadReply
) -> data.ClaimStep:
    """Returns the step after a read-back.

    A write that is not visible may be delayed and take effect later, so
    it is fenced: a VOID record moves the revision that it expects.

    Args:
        step: The read-back.
        reply: What was read.

    Returns:
        The next step of the attempt.
    """
    if isinstance(reply, data.ClaimUnread):
        return _UNREAD
    found = reply.claim
    void = dataclasses.replace(
        step.attempted.claim, state=data.ClaimState.VOID
    )
    if found is None:
        return data.WriteClaim(void, data.NO_REVISION)
    unchanged = found.revision == step.attempted.expected
    if found.state is data.ClaimState.VOID and unchanged:
        return data.WriteClaim(void, found.revision)
    return _judge(step.attempted.claim, found)


def settle_claim(
    own: data.Claim, outcome: data.SubOutcome
) -> tuple[data.Claim | None, data.Outcome]:
    """Decides what a dispatch means for the record and the caller.

    Args:
        own: The attempt's record.
        outcome: What became of the dispatch.

    Returns:
        The record to write, or None to leave it CLAIMED, and the answer.
    """
    match outcome:
        case data.SubDone(result):
            answer = data.Executed(result)
            return _done(own, result), answer
        case data.SubNotRun(reason):
            return void_claim(own), data.Refused(reason)
        case data.SubGone():
            reason = data.NotRunReason.NO_REPLICA
            return void_claim(own), data.Refused(reason)
        case data.SubUnknown(reason):
            return None, data.Unknown(reason)
    return None, data.Unknown(data.UnknownReason.REPLY_LOST)


def void_claim(own: data.Claim) -> data.Claim:
    """Returns the record of a claim whose dispatch never began."""
    return dataclasses.replace(own, state=data.ClaimState.VOID)


def _done(own, result):
    # A cut result would pass for the whole one, so none is kept.
    # JSON can carry lone surrogates, which plain UTF-8 cannot encode.
    size = len(result.encode('utf-8', 'surrogatepass'))
    omitted = size > MAX_RESULT_BYTES
    return dataclasses.replace(
        own,
        state=data.ClaimState.DONE,
        result='' if omitted else result,
        result_omitted=omitted,
    )


def _judge(own, current):
    if current is None:
        return _UNREAD
    match current.state:
        case data.ClaimState.DONE:
            return data.AnswerOrder(_answer_done(current))
        case data.ClaimState.VOID:
            claim = dataclasses.replace(own, state=data.ClaimState.CLAIMED)
            return data.WriteClaim(claim, current.revision)
    if current.token == own.token:
        return data.DispatchOrder(current)
    return data.AnswerOrder(data.Unknown(data.UnknownReason.CLAIMED_ELSEWHERE))


def _answer_done(current):
    if current.result_omitted:
        return data.Failed(data.FailureReason.RESULT_NOT_KEPT)
    return data.Executed(current.result)
