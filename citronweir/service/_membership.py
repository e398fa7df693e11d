"""Drives the membership: ticks, messages, and who must hear of changes."""

import asyncio
from collections import abc
import dataclasses

from citronweir import core
from citronweir import telemetry

TICK_INTERVAL = 0.1  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipDependencies:
    """What the membership needs from outside.

    Attributes:
        now: Monotonic clock, seconds.
        send: Sends a message to the node at an address, or drops it.
        on_member: Called after a record of a member changed.
        on_replica: Called after a record of a replica changed.
    """

    now: abc.Callable[[], float]
    send: abc.Callable[[core.Address, core.Gossip], object]
    on_member: abc.Callable[[core.Member], None]
    on_replica: abc.Callable[[core.Replica], None]


async def run_membership(
    peers: MembershipDependencies, state: core.Membership
) -> None:
    """Ticks the membership until it is cancelled.

    Args:
        peers: What the membership needs from outside.
        state: State of the membership.
    """
    was_joined = state.is_joined
    while True:
        try:
            _carry_out(peers, core.run_tick(state, peers.now()))
        except Exception as exc:  # keeps one bad tick from ending the rest
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR,
                task='membership',
                error=repr(exc),
            )
        if state.is_joined and not was_joined:
            was_joined = True
            telemetry.log(
                telemetry.Event.MEMBERSHIP_JOINED,
                dc=state.records.dc,
                count=len(core.list_members(state, core.MemberState.ALIVE)),
            )
        await asyncio.sleep(TICK_INTERVAL)


def handle_gossip(
    peers: MembershipDependencies, state: core.Membership, message: core.Gossip
) -> None:
    """Takes a message of another node.

    Args:
        peers: What the membership needs from outside.
        state: State of the membership.
        message: The message.
    """
    _carry_out(peers, core.handle_message(state, message, peers.now()))


def spread_replica(
    peers: MembershipDependencies,
    state: core.Membership,
    replica: core.Replica,
) -> None:
    """Spreads what this node observed of a replica.

    Args:
        peers: What the membership needs from outside.
        state: State of the membership.
        replica: The record, already merged with what was known.
    """
    _carry_out(peers, core.publish_replica(state, replica, peers.now()))


def broadcast_leave(
    peers: MembershipDependencies, state: core.Membership
) -> None:
    """Tells every live member at once that this node shuts down.

    Args:
        peers: What the membership needs from outside.
        state: State of the membership.
    """
    _carry_out(peers, core.announce_leave(state, peers.now()))


def find_owner(
    routing: core.Routing, state: core.Membership, replica_id: core.ReplicaId
) -> core.Member | None:
    """Finds the member that owns a replica in the current view.

    Args:
        routing: Owners by replica, cached for a version of the view.
        state: State of the membership.
        replica_id: The replica.

    Returns:
        The owner, which may be this node; None if no member is alive.
    """
    _update(routing, state)
    owner = core.find_owner(routing, replica_id)
    return None if owner is None else state.records.members[owner]


def is_watcher(routing: core.Routing, state: core.Membership) -> bool:
    """Returns whether this node holds a watch on the configuration."""
    _update(routing, state)
    return state.records.node_id in routing.watchers


def _update(routing, state):
    records = state.records
    if routing.version != records.version:
        core.update_routing(routing, records.version, records.members.values())


def _carry_out(peers, step):
    for send in step.sends:
        peers.send(send.address, send.message)
    for update in step.changes:
        if isinstance(update, core.Replica):
            peers.on_replica(update)
        else:
            peers.on_member(update)
