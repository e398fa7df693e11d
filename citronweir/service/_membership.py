"""Runs the membership protocol: ticks, messages and change callbacks."""

import asyncio
from collections import abc
import dataclasses

from citronweir import core
from citronweir import telemetry

TICK_INTERVAL = 0.1  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipDependencies:
    """Functions that the membership protocol calls.

    Attributes:
        now: Returns the monotonic time, seconds.
        send: Sends a message to the node at an address, or drops it.
        on_member: Called after the record of a member has changed.
        on_replica: Called after the record of a replica has changed.
    """

    now: abc.Callable[[], float]
    send: abc.Callable[[core.Address, core.Gossip], object]
    on_member: abc.Callable[[core.Member], None]
    on_replica: abc.Callable[[core.Replica], None]


async def run_membership(
    deps: MembershipDependencies, state: core.Membership
) -> None:
    """Runs the periodic ticks of the membership until cancelled.

    Args:
        deps: Functions that the membership calls.
        state: State of the membership.
    """
    was_joined = state.is_joined
    while True:
        try:
            _execute(deps, core.run_tick(state, deps.now()))
        except Exception as exc:  # a failed tick must not end the protocol
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
    deps: MembershipDependencies, state: core.Membership, message: core.Gossip
) -> None:
    """Processes a message of another node.

    Args:
        deps: Functions that the membership calls.
        state: State of the membership.
        message: Message to process.
    """
    _execute(deps, core.handle_message(state, message, deps.now()))


def spread_replica(
    deps: MembershipDependencies,
    state: core.Membership,
    replica: core.Replica,
) -> None:
    """Spreads a replica's record that this node has updated.

    Args:
        deps: Functions that the membership calls.
        state: State of the membership.
        replica: Record, already merged with the known one.
    """
    _execute(deps, core.publish_replica(state, replica, deps.now()))


def broadcast_leave(
    deps: MembershipDependencies, state: core.Membership
) -> None:
    """Tells every live member immediately that this node shuts down.

    Args:
        deps: Functions that the membership calls.
        state: State of the membership.
    """
    _execute(deps, core.announce_leave(state, deps.now()))


def find_owner(
    assignment: core.Assignment,
    state: core.Membership,
    replica_id: core.ReplicaId,
) -> core.Member | None:
    """Finds the member that owns a replica in the current view.

    Args:
        assignment: Owners by replica, cached for one version of the view.
        state: State of the membership.
        replica_id: Replica whose owner is wanted.

    Returns:
        The owner, which may be this node; None if no member is alive.
    """
    _refresh_assignment(assignment, state)
    owner = core.find_owner(assignment, replica_id)
    return None if owner is None else state.records.members[owner]


def is_watcher(assignment: core.Assignment, state: core.Membership) -> bool:
    """Returns whether this node watches the configuration in the store."""
    _refresh_assignment(assignment, state)
    return state.records.node_id in assignment.watchers


def _refresh_assignment(assignment, state):
    records = state.records
    if assignment.version != records.version:
        core.update_assignment(
            assignment, records.version, records.members.values()
        )


def _execute(deps, output):
    for send in output.sends:
        deps.send(send.address, send.message)
    for update in output.changes:
        if isinstance(update, core.Replica):
            deps.on_replica(update)
        else:
            deps.on_member(update)
