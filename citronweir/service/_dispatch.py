"""Sends a sub-request to a replica through the replica's owner.

The owner holds the replica's queue, ordered by rank, and its connections.
A node that cannot reach the owner contacts the replica directly, so that
a wrong view of ownership costs latency but no answer.
"""

import asyncio
from collections import abc
import dataclasses
import enum

from citronweir import core
from citronweir import telemetry

# Share of the remaining time after which an owner that has sent nothing is
# given up. The rest must suffice for the replica if the owner is paused.
OWNER_SILENCE_SHARE = 0.25
MIN_OWNER_SILENCE = 0.02  # seconds

# Outcomes after which the replica is contacted directly. An owner that has
# just started may not have the replica's record yet.
_BYPASS_OUTCOMES = (
    core.SubNotRun(core.NotRunReason.OWNER_UNREACHABLE),
    core.SubNotRun(core.NotRunReason.NO_REPLICA),
)


class Route(enum.Enum):
    """Path of a sub-request to a replica."""

    OWN_QUEUE = 'own_queue'
    OWNER = 'owner'
    DIRECT = 'direct'


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchDependencies:
    """Functions that the dispatch of a sub-request calls.

    Attributes:
        now: Returns the monotonic time, seconds.
        node_id: Id of this node.
        find_owner: Returns the owner of a replica, or None if no node is
            known.
        submit: Queues a sub-request for a replica that this node owns.
        call_owner: Sends a sub-request to the replica's owner.
        has_received: Returns whether a node has sent anything since a time.
        ping: Requests a reply from a node, to test whether it is alive.
        send_direct: Sends a sub-request to the replica without the owner,
            on the few connections reserved for this.
        record_route: Counts each route taken.
    """

    now: abc.Callable[[], float]
    node_id: core.NodeId
    find_owner: abc.Callable[[core.ReplicaId], core.Member | None]
    submit: abc.Callable[
        [core.ReplicaId, core.SubRequest], abc.Awaitable[core.SubOutcome]
    ]
    call_owner: abc.Callable[
        [core.Member, core.ReplicaId, core.SubRequest],
        abc.Awaitable[core.SubOutcome],
    ]
    has_received: abc.Callable[[core.Member, float], bool]
    ping: abc.Callable[[core.Member], None]
    send_direct: abc.Callable[
        [core.ReplicaId, core.SubRequest], abc.Awaitable[core.SubOutcome]
    ]
    record_route: abc.Callable[[Route], None]


async def dispatch_sub(
    deps: DispatchDependencies,
    replica_id: core.ReplicaId,
    sub: core.SubRequest,
) -> core.SubOutcome:
    """Sends a sub-request to a replica.

    An order bypasses the owner only if the owner certainly did not run it;
    a search also if the owner has stopped sending.

    Args:
        deps: Functions that the dispatch calls.
        replica_id: Replica to send it to.
        sub: Sub-request to send.

    Returns:
        The outcome at the replica.
    """
    owner = deps.find_owner(replica_id)
    if owner is None or owner.node_id == deps.node_id:
        _record_route(deps, sub, Route.OWN_QUEUE)
        return await deps.submit(replica_id, sub)
    _record_route(deps, sub, Route.OWNER)
    if isinstance(sub, core.SubOrder):
        outcome = await deps.call_owner(owner, replica_id, sub)
    else:
        outcome = await _call_until_silent(deps, owner, replica_id, sub)
    if outcome not in _BYPASS_OUTCOMES:
        return outcome
    if deps.now() >= sub.deadline:
        return core.SubNotRun(core.NotRunReason.DEADLINE_PASSED)
    _record_route(deps, sub, Route.DIRECT)
    return await deps.send_direct(replica_id, sub)


def _record_route(deps, sub, route):
    deps.record_route(route)
    telemetry.annotate_span(sub.trace, 'route', route.value)


async def _call_until_silent(deps, owner, replica_id, sub):
    """Calls the owner; gives up once it has sent nothing for too long."""
    checked_at = deps.now()
    call = asyncio.ensure_future(deps.call_owner(owner, replica_id, sub))
    try:
        while not call.done():
            now = deps.now()
            silence_limit = max(
                MIN_OWNER_SILENCE, (sub.deadline - now) * OWNER_SILENCE_SHARE
            )
            await asyncio.wait([call], timeout=silence_limit / 2)
            if not call.done() and not deps.has_received(owner, checked_at):
                # An idle stream shows a dead owner only after a ping.
                deps.ping(owner)
            await asyncio.wait([call], timeout=silence_limit / 2)
            if call.done():
                break
            if not deps.has_received(owner, checked_at):
                return core.SubNotRun(core.NotRunReason.OWNER_UNREACHABLE)
            if deps.now() >= sub.deadline:
                return core.SubUnknown(core.UnknownReason.TIMEOUT)
            checked_at = now
        return call.result()
    finally:
        call.cancel()
