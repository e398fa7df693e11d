"""Decides the SWIM-style membership of a data centre.

Time, randomness and messages are arguments and results, so that tests
run the same decisions under a virtual clock.
"""

from collections import abc
import dataclasses
import random

from citronweir.core import _data as data
from citronweir.core import _exchange as exchange
from citronweir.core import _gossip as gossip
from citronweir.core import _members as members
from citronweir.core import _probing as probing

PROBE_INTERVAL = 1.0  # seconds
# A node that holds news probes at this interval, since a drain and a new
# replica must be known in the whole data centre within 3 s (G6).
NEWS_INTERVAL = 0.25  # seconds
DIGEST_INTERVAL = 10.0  # seconds
# Dead members are probed now and then, since after a partition no side
# would otherwise contact the other again.
DEAD_INTERVAL = 10.0  # seconds
JOIN_INTERVAL = 1.0  # seconds until a first table has come
# Seeds that are no members are contacted at this rate afterwards.
SEED_INTERVAL = 10.0  # seconds
CONTACT_INTERVAL = 5.0  # seconds
CLEAN_UP_INTERVAL = 60.0  # seconds
JITTER = 0.1  # share of an interval
# A longer gap between two ticks means that this process was paused.
MAX_TICK_GAP = 1.0  # seconds


def make_membership(
    own: data.Member,
    seeds: abc.Iterable[data.Address],
    merge_replica: gossip.MergeReplica,
    rng: random.Random,
    now: float,
) -> members.Membership:
    """Builds the state of a starting node.

    Args:
        own: The node's own record; its incarnation is the wall-clock
            millisecond of the start.
        seeds: Listeners that may know the members.
        merge_replica: Merges two records of a replica.
        rng: Source of choices and jitter.
        now: Monotonic second.

    Returns:
        The state.
    """
    records = gossip.make_records(own, merge_replica)
    seeds = tuple(seed for seed in seeds if seed != own.address)
    # A restarted process must not take the acknowledgements of its
    # predecessor's probes for its own.
    seq = rng.randrange(1 << 30)
    state = members.Membership(records, rng, seeds, seq, now)
    for action, interval in _ACTIONS.items():
        state.due[action] = now + rng.uniform(0.0, interval)
    state.due[exchange.ask_seed] = now
    return state


def set_seeds(
    state: members.Membership, seeds: abc.Iterable[data.Address], now: float
) -> None:
    """Replaces the addresses that are contacted while they are no members.

    Args:
        state: State of the membership.
        seeds: Listeners of nodes, such as those of the VM list.
        now: Monotonic second.
    """
    own = gossip.get_own_member(state.records)
    state.seeds = tuple(seed for seed in seeds if seed != own.address)
    if not state.is_joined:
        state.due[exchange.ask_seed] = now


def add_contacts(
    state: members.Membership, contacts: abc.Iterable[data.Member]
) -> None:
    """Adds nodes of other data centres, such as those of the VM list."""
    for contact in contacts:
        if contact.dc != state.records.dc:
            members.add_contact(state, contact)


def publish_replica(
    state: members.Membership, replica: data.Replica, now: float
) -> members.GossipOutput:
    """Spreads what this node observed of a replica.

    Args:
        state: State of the membership.
        replica: The record, already merged with what was known.
        now: Monotonic second.

    Returns:
        The change, if the record was news.
    """
    if state.records.replicas.get(replica.replica_id) != replica:
        gossip.store_replica(state.records, replica, now, is_spread=True)
    return _end_step(state, [])


def announce_leave(
    state: members.Membership, now: float
) -> members.GossipOutput:
    """Announces the shutdown of this node to every live member.

    Args:
        state: State of the membership.
        now: Monotonic second.

    Returns:
        Messages for all live members and contacts.
    """
    records = state.records
    own = dataclasses.replace(
        gossip.get_own_member(records), state=data.MemberState.LEAVING
    )
    gossip.set_own(records, own, now)
    targets = members.list_others(
        state, data.MemberState.ALIVE, data.MemberState.SUSPECT
    )
    for dc in state.contacts:
        targets += members.list_contacts(state, dc)
    return _end_step(
        state,
        [
            members.OutgoingGossip(target.address, data.Leave(own))
            for target in targets
        ],
    )


def run_tick(state: members.Membership, now: float) -> members.GossipOutput:
    """Does what is due; called about ten times a second.

    Args:
        state: State of the membership.
        now: Monotonic second.

    Returns:
        What follows.
    """
    gap = now - state.last_tick
    state.last_tick = now
    if gap > MAX_TICK_GAP:
        probing.forgive(state, gap)
    sends = []
    gossip.end_suspicions(state.records, now)
    for seq, probe in list(state.pending_probes.items()):
        if probe.due <= now:
            sends += probing.go_on(state, seq, now)
    if gossip.has_news(state.records):
        soon = state.last_probe_at + NEWS_INTERVAL
        state.due[probing.probe_next] = min(
            state.due[probing.probe_next], soon
        )
    for action, interval in _ACTIONS.items():
        if state.due[action] <= now:
            if action is exchange.ask_seed and not state.is_joined:
                interval = JOIN_INTERVAL
            jitter = 1 + state.rng.uniform(-JITTER, JITTER)
            state.due[action] = now + interval * jitter
            sends += action(state, now)
    return _end_step(state, sends)


def handle_message(
    state: members.Membership, message: data.Gossip, now: float
) -> members.GossipOutput:
    """Takes a message of another node.

    Args:
        state: State of the membership.
        message: The message.
        now: Monotonic second.

    Returns:
        What follows.
    """
    sender = message.sender
    if sender.node_id == state.records.node_id:
        return members.GossipOutput()
    _merge(state, sender, now)
    is_join = isinstance(message, data.Table) and message.is_join
    for update in getattr(message, 'updates', ()):
        _merge(state, update, now, is_join)
    sends = []
    match message:
        case data.Probe():
            sends = [probing.acknowledge(state, message)]
        case data.ProbeRequest():
            sends = probing.probe_for(state, message, now)
        case data.Ack():
            sends = probing.take_ack(state, message)
        case data.Join():
            sends = exchange.send_table(state, sender)
        case data.Table():
            if is_join and sender.dc == state.records.dc:
                state.is_joined = True
        case data.Digest():
            sends = exchange.compare(state, message)
    return _end_step(state, sends)


def _end_step(state, sends):
    return members.GossipOutput(
        tuple(sends), gossip.take_changes(state.records)
    )


def _merge(state, update, now, is_join=False):
    if isinstance(update, data.Member) and update.dc != state.records.dc:
        members.add_contact(state, update)
    else:
        gossip.merge_update(state.records, update, now, is_join)


def _clean_up(state, now):
    gossip.drop_tombstones(state.records, now)
    probing.expire_relayed_probes(state, now)
    return []


_ACTIONS = {
    probing.probe_next: PROBE_INTERVAL,
    probing.probe_dead: DEAD_INTERVAL,
    probing.probe_contact: CONTACT_INTERVAL,
    exchange.send_digest: DIGEST_INTERVAL,
    exchange.ask_seed: SEED_INTERVAL,
    _clean_up: CLEAN_UP_INTERVAL,
}
