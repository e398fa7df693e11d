"""Traces the hops of sub-requests."""

from collections import abc
import dataclasses
import typing

from citronweir import core
from citronweir import telemetry

Reply = typing.TypeVar('Reply', core.OwnerAnswer, core.SubReport)


async def run_hop(
    name: str,
    replica_id: core.ReplicaId,
    sub: core.SubRequest,
    run: abc.Callable[[core.SubRequest], abc.Awaitable[Reply]],
) -> Reply:
    """Runs a sub-request in a span of its trace, if the trace is recorded.

    Args:
        name: Name of the hop.
        replica_id: Replica that the sub-request is for.
        sub: The sub-request.
        run: Runs the sub-request, which carries the trace of this hop.

    Returns:
        What ``run`` returned.
    """
    if not telemetry.is_recorded(sub.trace):
        return await run(sub)
    span = telemetry.start_span(name, sub.trace, {'replica': replica_id})
    outcome = None
    try:
        reply = await run(dataclasses.replace(sub, trace=span.trace))
        outcome = reply.outcome
        return reply
    finally:
        telemetry.end_span(span, telemetry.name_outcome(outcome))
