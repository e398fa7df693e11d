"""Holds the state of the membership and its contacts elsewhere."""

from collections import abc
import dataclasses
import math
import random

from citronweir.core import _data as data
from citronweir.core import _gossip as gossip
from citronweir.core import _routing as routing

CONTACTS_PER_DC = 2
CONTACT_POOL = 8  # known nodes of each other data centre


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingGossip:
    """Message for the node that listens at an address."""

    address: data.Address
    message: data.Gossip


@dataclasses.dataclass(frozen=True, slots=True)
class GossipOutput:
    """What follows from a tick or a message.

    Attributes:
        sends: Messages to send; each may be lost.
        changes: Records of members and replicas that changed.
    """

    sends: tuple[OutgoingGossip, ...] = ()
    changes: tuple[data.Update, ...] = ()


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """Probe without an acknowledgement so far.

    Attributes:
        due: Monotonic second of the next step.
        is_indirect: Whether other members were asked to probe.
    """

    target: data.Member
    due: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedProbe:
    """Member that waits for the acknowledgement of another one."""

    target: data.NodeId
    requester: data.Address
    seq: int
    expiry: float


@dataclasses.dataclass(slots=True)
class Membership:
    """State of the membership of one node.

    Attributes:
        due: Monotonic second at which each periodic action is due.
        probed_at: Monotonic second of the last probe of a round.
        order: Members still to probe in this round.
        contacts: Known nodes of each other data centre.
        is_joined: Whether a whole table has come. The seeds may be known
            only after the start, so that having none proves nothing.
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
    """Merges the record of a node of another data centre."""
    pool = state.contacts.setdefault(member.dc, {})
    known = pool.get(member.node_id)
    if known is not None:
        if known.incarnation > member.incarnation:
            return
    elif len(pool) >= CONTACT_POOL:
        silent = [
            other.node_id
            for other in pool.values()
            if other.state is not data.MemberState.ALIVE
        ]
        if not silent:
            return
        del pool[silent[0]]
    if member.state is data.MemberState.ALIVE:
        pool[member.node_id] = member
    elif known is not None:
        del pool[member.node_id]


def mark_unresponsive(state: Membership, contact: data.Member) -> None:
    """Notes that a contact did not answer.

    It is kept: after a partition between the data centres it may be the
    only way back while the platform is down.
    """
    pool = state.contacts[contact.dc]
    if contact.node_id in pool:
        pool[contact.node_id] = dataclasses.replace(
            contact, state=data.MemberState.SUSPECT
        )


def list_contacts(state: Membership, dc: data.DataCentre) -> list[data.Member]:
    """Lists the nodes of another data centre that this node talks to.

    Nodes choose differently, so that no contact serves a whole data
    centre. Contacts that answer come first.
    """
    pool = state.contacts.get(dc, {})
    ranked = [
        pool[node_id]
        for node_id in routing.rank_nodes(pool, state.records.node_id)
    ]
    ranked.sort(key=lambda item: item.state is not data.MemberState.ALIVE)
    return ranked[:CONTACTS_PER_DC]


def list_members(
    state: Membership, *states: data.MemberState
) -> list[data.Member]:
    """Lists the members of this data centre in some states."""
    return [
        member
        for member in state.records.members.values()
        if member.state in states
    ]


def list_others(
    state: Membership, *states: data.MemberState
) -> list[data.Member]:
    """Lists the other members of this data centre in some states."""
    return [
        member
        for member in list_members(state, *states)
        if member.node_id != state.records.node_id
    ]


def sample_alive_members(state: Membership) -> tuple[data.Member, ...]:
    """Chooses members as contacts for a node of another data centre."""
    alive = list_others(state, data.MemberState.ALIVE)
    return tuple(state.rng.sample(alive, min(len(alive), CONTACTS_PER_DC)))
