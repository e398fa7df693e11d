"""Runs a non-idempotent request at most once, protected by a claim.

This module carries out the steps that ``core`` decides. It awaits only
the functions of ``OrderDependencies``, so tests can drive it without an event
loop.
"""

from collections import abc
import dataclasses

from citronweir import core
from citronweir import telemetry


@dataclasses.dataclass(frozen=True, slots=True)
class OrderDependencies:
    """Dependencies of running an order.

    Attributes:
        node: Id of this node.
        now: Returns the monotonic time, seconds.
        wall_now: Returns the wall-clock time, seconds since the epoch.
        make_token: Returns a token that is unique across all nodes.
        find_contract: Finds a contract by id, or returns None.
        choose_replica: Chooses a replica that can run an order of an index,
            or returns None.
        read_claim: Reads a claim. The last argument is the monotonic
            deadline of the attempt.
        write_claim: Writes a claim if its record has the expected revision.
            The last argument is the monotonic deadline of the attempt.
        send: Sends the order to a replica, without retries.
    """

    node: core.NodeId
    now: abc.Callable[[], float]
    wall_now: abc.Callable[[], float]
    make_token: abc.Callable[[], core.ClaimToken]
    find_contract: abc.Callable[[core.ContractId], core.Contract | None]
    choose_replica: abc.Callable[[core.IndexName], core.ReplicaId | None]
    read_claim: abc.Callable[
        [core.ClaimKey, float], abc.Awaitable[core.ClaimReadReply]
    ]
    write_claim: abc.Callable[
        [core.ClaimKey, core.WriteClaim, float],
        abc.Awaitable[core.ClaimWriteReply],
    ]
    send: abc.Callable[
        [core.ReplicaId, core.SubOrder], abc.Awaitable[core.SubOutcome]
    ]


async def run_order(
    deps: OrderDependencies, req: core.OrderRequest, trace: str
) -> core.Outcome:
    """Runs one non-idempotent request and returns its outcome.

    Args:
        deps: Dependencies of running an order.
        req: Request of a caller.
        trace: W3C ``traceparent`` of the caller, or empty.

    Returns:
        The outcome. It is Refused only if no attempt with this id can have
        run on any node.
    """
    key = core.check_order_id(req.contract_id, req.request_id, deps.wall_now())
    if not isinstance(key, core.ClaimKey):
        return key
    contract = deps.find_contract(req.contract_id)
    reason = core.check_contract(contract, deps.wall_now())
    replica_id = deps.choose_replica(req.index)
    if reason is None and replica_id is None:
        reason = core.NotRunReason.NO_REPLICA
    if reason is not None:
        return core.answer_unchecked(req, core.Refused(reason))
    deadline = deps.now() + (req.budget or contract.latency_target)
    step = await _trace_claim(deps, key, deadline, trace)
    if isinstance(step, core.AnswerOrder):
        is_checked = step.is_checked and _is_claim_conclusive(
            deps, req, deadline
        )
        if is_checked:
            return step.outcome
        return core.answer_unchecked(req, step.outcome)
    # Choose again: other orders may have been dispatched in the meantime, and
    # orders that arrive together would otherwise all queue at one replica.
    replica_id = deps.choose_replica(req.index) or replica_id
    sub_order = core.SubOrder(
        key.request_id, req.index, req.body, contract.rank, deadline, trace
    )
    outcome = await _dispatch(deps, key, step.claim, replica_id, sub_order)
    if _is_claim_conclusive(deps, req, deadline):
        return outcome
    return core.answer_unchecked(req, outcome)


def _is_claim_conclusive(deps, req, deadline):
    """Returns whether the claim rules out an earlier one with the same id.

    This process may have been paused until the lease of an earlier claim had
    expired. Its own claim then does not conflict with that one.
    """
    key = core.check_order_id(req.contract_id, req.request_id, deps.wall_now())
    return deps.now() < deadline and isinstance(key, core.ClaimKey)


async def _trace_claim(deps, key, deadline, trace):
    span = telemetry.start_span('claim', trace)
    result = 'cancelled'
    try:
        step = await _claim(deps, key, deadline)
        result = 'won'
        if isinstance(step, core.AnswerOrder):
            result = telemetry.name_outcome(step.outcome)
        return step
    finally:
        telemetry.end_span(span, result)


async def _claim(deps, key, deadline):
    step = core.begin_claim(deps.make_token(), deps.node)
    for _ in range(core.MAX_CLAIM_STEPS):
        match step:
            case core.WriteClaim():
                reply = await deps.write_claim(key, step, deadline)
                step = core.after_write(step, reply)
            case core.ReadBack():
                read_reply = await deps.read_claim(key, deadline)
                step = core.after_read(step, read_reply)
            case _:
                return step
    if isinstance(step, core.DispatchOrder | core.AnswerOrder):
        return step
    telemetry.log(
        telemetry.Event.CLAIM_CONTENDED,
        request=key.request_id,
        steps=core.MAX_CLAIM_STEPS,
    )
    return core.AnswerOrder(
        core.Refused(core.NotRunReason.PLATFORM_UNAVAILABLE),
        is_checked=False,
    )


async def _dispatch(deps, key, won_claim, replica_id, sub_order):
    # This process may have been paused since it sent the claim.
    if deps.now() < sub_order.deadline:
        outcome = await _send(deps, replica_id, sub_order)
    else:
        outcome = core.SubNotRun(core.NotRunReason.DEADLINE_PASSED)
    record, answer = core.settle_claim(won_claim, outcome)
    if record is not None:
        span = telemetry.start_span('settle', sub_order.trace)
        reply = await deps.write_claim(
            key,
            core.WriteClaim(record, won_claim.revision),
            sub_order.deadline,
        )
        telemetry.end_span(span, type(reply).__name__)
        if not isinstance(reply, core.ClaimWritten):
            telemetry.log(
                telemetry.Event.CLAIM_NOT_SETTLED,
                request=key.request_id,
                state=record.state.value,
                reply=type(reply).__name__,
            )
    return answer


async def _send(deps, replica_id, sub_order):
    span = telemetry.start_span('sub_request', sub_order.trace)
    if span is None:
        return await deps.send(replica_id, sub_order)
    outcome = None
    try:
        sub_order = dataclasses.replace(sub_order, trace=span.trace)
        outcome = await deps.send(replica_id, sub_order)
        return outcome
    finally:
        attributes = {
            'replica': replica_id,
            'rank': sub_order.rank.value,
            'kind': 'order',
        }
        telemetry.end_span(span, telemetry.name_outcome(outcome), attributes)
