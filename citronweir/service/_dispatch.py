"""Sends a sub-request to a replica by way of the replica's owner.

The owner holds the queue by rank and the connections of the replica. A
node that cannot reach the owner goes to the replica itself, so that a
wrong view of ownership costs latency but no answer.
"""

import asyncio
from collections import abc
import dataclasses
import enum

from citronweir import core
from citronweir import telemetry

# Share of the remaining time after which an owner that has sent nothing
# at all counts as silent. A paused owner must leave time for a replica.
PATIENCE_SHARE = 0.25
MIN_PATIENCE = 0.02  # seconds

# Outcomes after which the replica is contacted directly. An owner that
# has just started may not have the replica's record yet.
_PAST_OWNER = (
    core.SubNotRun(core.NotRunReason.OWNER_UNREACHABLE),
    core.SubNotRun(core.NotRunReason.NO_REPLICA),
)


class Route(enum.Enum):
    """Ways to a replica."""

    OWN_QUEUE = 'own_queue'
    OWNER = 'owner'
    DIRECT = 'direct'


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchDependencies:
    """What the dispatch of a sub-request needs from outside.

    Attributes:
        now: Monotonic clock, seconds.
        node_id: This node.
        find_owner: Owner of a replica, or None if no node is known.
        submit: Queues a sub-request for a replica that this node owns.
        call_owner: Sends a sub-request to the replica's owner.
        has_heard: Whether a node has sent anything since a time.
        ping: Asks a node for a sign of life.
        send_direct: Sends a sub-request past the owner, from the few
            connections that are kept for this.
        record_route: Counts each route that is taken.
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
    has_heard: abc.Callable[[core.Member, float], bool]
    ping: abc.Callable[[core.Member], None]
    send_direct: abc.Callable[
        [core.ReplicaId, core.SubRequest], abc.Awaitable[core.SubOutcome]
    ]
    record_route: abc.Callable[[Route], None]


async def dispatch_sub(
    peers: DispatchDependencies,
    replica_id: core.ReplicaId,
    sub: core.SubRequest,
) -> core.SubOutcome:
    """Sends a sub-request to a replica.

    An order goes past the owner only if the owner certainly did not get
    it; a search also when the owner has gone silent.

    Args:
        peers: What the dispatch needs from outside.
        replica_id: Replica to reach.
        sub: Sub-request to send.

    Returns:
        The outcome at the replica.
    """
    owner = peers.find_owner(replica_id)
    if owner is None or owner.node_id == peers.node_id:
        _note_route(peers, sub, Route.OWN_QUEUE)
        return await peers.submit(replica_id, sub)
    _note_route(peers, sub, Route.OWNER)
    if isinstance(sub, core.SubOrder):
        outcome = await peers.call_owner(owner, replica_id, sub)
    else:
        outcome = await _call_with_patience(peers, owner, replica_id, sub)
    if outcome not in _PAST_OWNER:
        return outcome
    if peers.now() >= sub.deadline:
        return core.SubNotRun(core.NotRunReason.DEADLINE_PASSED)
    _note_route(peers, sub, Route.DIRECT)
    return await peers.send_direct(replica_id, sub)


def _note_route(peers, sub, route):
    peers.record_route(route)
    telemetry.annotate_span(sub.trace, 'route', route.value)


async def _call_with_patience(peers, owner, replica_id, sub):
    """Calls the owner, gives it up once it has been silent too long."""
    sent = peers.now()
    call = asyncio.ensure_future(peers.call_owner(owner, replica_id, sub))
    try:
        while not call.done():
            now = peers.now()
            patience = max(MIN_PATIENCE, (sub.deadline - now) * PATIENCE_SHARE)
            await asyncio.wait([call], timeout=patience / 2)
            if not call.done() and not peers.has_heard(owner, sent):
                # A quiet stream proves nothing until it was asked.
                peers.ping(owner)
            await asyncio.wait([call], timeout=patience / 2)
            if call.done():
                break
            if not peers.has_heard(owner, sent):
                return core.SubNotRun(core.NotRunReason.OWNER_UNREACHABLE)
            if peers.now() >= sub.deadline:
                return core.SubUnknown(core.UnknownReason.TIMEOUT)
            sent = now
        return call.result()
    finally:
        call.cancel()
