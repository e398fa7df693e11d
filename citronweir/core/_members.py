"""Defines the membership state and manages contacts in other data centres."""

from collections import abc
import dataclasses
import math
import random

from citronweir.core import _assignment as assignment
from citronweir.core import _data as data
from citronweir.core import _gossip as gossip

ACTIVE_CONTACTS_PER_DC = 2  # contacts that are used
MAX_CONTACTS_PER_DC = 8  # contacts that are kept


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingGossip:
    """Message and the address of the node to send it to."""

    address: data.Address
    message: data.Gossip


@dataclasses.dataclass(frozen=True, slots=True)
class GossipOutput:
    """Result of a tick or of a processed message.

    Attributes:
        sends: Messages to send; the protocol tolerates their loss.
        changes: Member and replica records that changed.
    """

    sends: tuple[OutgoingGossip, ...] = ()
    changes: tuple[data.Update, ...] = ()


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """Probe that has not been acknowledged yet.

    Attributes:
        due: Monotonic time of the timeout, seconds.
        is_indirect: Whether other members were asked to probe the target.
    """

    target: data.Member
    due: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedProbe:
    """Indirect probe that this node sends on behalf of another member.

    Attributes:
        target: Probed member.
        requester: Address to which the acknowledgement is forwarded.
        seq: Sequence number of the requester's probe.
        expiry: Monotonic time, seconds.
    """

    target: data.NodeId
    requester: data.Address
    seq: int
    expiry: float


@dataclasses.dataclass(slots=True)
class Membership:
    """Membership state of one node.

    Attributes:
        due: Monotonic time at which each periodic action is due, seconds.
        last_probe_at: Monotonic time of the last periodic probe, seconds.
        probe_order: Members still to probe in the current round.
        pending_probes: Unacknowledged probes by sequence number.
        relayed_probes: Probes for other members by sequence number.
        contacts: Known nodes of each other data centre.
        is_joined: Whether a full table was received. An empty seed list
            does not count as joined, since the seeds may become known
            only after the start.
    """

    records: gossip.Records
    rng: random.Random
    seeds: tuple[data.Address, ...]
    seq: int
    last_tick: float
    due: dict[abc.Callable, float] = dataclasses.field(default_factory=dict)
    last_probe_at: float = -math.inf
    probe_order: list[data.NodeId] = dataclasses.field(default_factory=list)
    pending_probes: dict[int, PendingProbe] = dataclasses.field(
        default_factory=dict
    )
    relayed_probes: dict[int, RelayedProbe] = dataclasses.field(
        default_factory=dict
    )
    contacts: dict[data.DataCentre, dict[data.NodeId, data.Member]] = (
        dataclasses.field(default_factory=dict)
    )
    is_joined: bool = False


def add_contact(state: Membership, member: data.Member) -> None:
    """Adds or updates the record of a node of another data centre.

    If the limit is reached, a new node replaces an unresponsive contact.
    """
    pool = state.contacts.setdefault(member.dc, {})
    known = pool.get(member.node_id)
    if known is not None:
        if known.incarnation > member.incarnation:
            return
    elif len(pool) >= MAX_CONTACTS_PER_DC:
        unresponsive = [
            other.node_id
            for other in pool.values()
            if other.state is not data.MemberState.ALIVE
        ]
        if not unresponsive:
            return
        del pool[unresponsive[0]]
    if member.state is data.MemberState.ALIVE:
        pool[member.node_id] = member
    elif known is not None:
        del pool[member.node_id]


def mark_unresponsive(state: Membership, contact: data.Member) -> None:
    """Marks a contact that did not answer as suspect.

    The contact is kept: after a partition between data centres, it may be
    the only known address there while the platform is down.
    """
    pool = state.contacts[contact.dc]
    if contact.node_id in pool:
        pool[contact.node_id] = dataclasses.replace(
            contact, state=data.MemberState.SUSPECT
        )


def list_contacts(state: Membership, dc: data.DataCentre) -> list[data.Member]:
    """Lists the nodes of another data centre that this node contacts.

    The ranking depends on the node, so that the load is spread over the
    contacts. Responsive contacts come first.
    """
    pool = state.contacts.get(dc, {})
    ranked = [
        pool[node_id]
        for node_id in assignment.rank_nodes(pool, state.records.node_id)
    ]
    ranked.sort(key=lambda item: item.state is not data.MemberState.ALIVE)
    return ranked[:ACTIVE_CONTACTS_PER_DC]


def list_members(
    state: Membership, *states: data.MemberState
) -> list[data.Member]:
    """Lists the members of this data centre that are in given states."""
    return [
        member
        for member in state.records.members.values()
        if member.state in states
    ]


def list_others(
    state: Membership, *states: data.MemberState
) -> list[data.Member]:
    """Lists the other members of this data centre in given states."""
    return [
        member
        for member in list_members(state, *states)
        if member.node_id != state.records.node_id
    ]


def sample_alive_members(state: Membership) -> tuple[data.Member, ...]:
    """Samples members to send as contacts to another data centre."""
    alive = list_others(state, data.MemberState.ALIVE)
    return tuple(
        state.rng.sample(alive, min(len(alive), ACTIVE_CONTACTS_PER_DC))
    )
