"""Implements a SWIM-style membership protocol for one data centre.

The functions take time, randomness and messages as arguments and return
the messages to send, so that tests run them under a virtual clock.
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
# Probe interval while the queue holds fresh updates. A drain or a new
# replica must be known in the whole data centre within 3 s (G6).
FAST_PROBE_INTERVAL = 0.25  # seconds
DIGEST_INTERVAL = 10.0  # seconds
# Without probes of dead members, the two sides of a healed partition would
# never contact each other again.
DEAD_PROBE_INTERVAL = 10.0  # seconds
JOIN_RETRY_INTERVAL = 1.0  # seconds, until the first full table arrives
# Interval, once joined, for contacting seeds that are not members.
SEED_PROBE_INTERVAL = 10.0  # seconds
CONTACT_PROBE_INTERVAL = 5.0  # seconds
CLEAN_UP_INTERVAL = 60.0  # seconds
JITTER = 0.1  # fraction of an interval
# After a longer gap between two ticks, this process counts as paused.
MAX_TICK_GAP = 1.0  # seconds


def make_membership(
    own: data.Member,
    seeds: abc.Iterable[data.Address],
    merge_replica: gossip.MergeReplica,
    rng: random.Random,
    now: float,
) -> members.Membership:
    """Creates the membership state of a starting node.

    Args:
        own: The node's own record; its incarnation is the start time in
            wall-clock milliseconds.
        seeds: Addresses of nodes that may know the members.
        merge_replica: Merges two records of a replica.
        rng: Source of random choices and jitter.
        now: Monotonic time, seconds.

    Returns:
        The membership state.
    """
    records = gossip.make_records(own, merge_replica)
    seeds = tuple(seed for seed in seeds if seed != own.address)
    # A random start keeps a restarted process from accepting
    # acknowledgements of the previous process's probes.
    seq = rng.randrange(1 << 30)
    state = members.Membership(records, rng, seeds, seq, now)
    for action, interval in _PERIODIC_ACTIONS.items():
        state.due[action] = now + rng.uniform(0.0, interval)
    state.due[exchange.contact_seed] = now
    return state


def set_seeds(
    state: members.Membership, seeds: abc.Iterable[data.Address], now: float
) -> None:
    """Replaces the seeds, which are contacted while they are not members.

    Args:
        state: Membership state.
        seeds: Addresses of nodes, for example from the VM list.
        now: Monotonic time, seconds.
    """
    own = gossip.get_own_member(state.records)
    state.seeds = tuple(seed for seed in seeds if seed != own.address)
    if not state.is_joined:
        state.due[exchange.contact_seed] = now


def add_contacts(
    state: members.Membership, contacts: abc.Iterable[data.Member]
) -> None:
    """Adds nodes of other data centres, for example from the VM list."""
    for contact in contacts:
        if contact.dc != state.records.dc:
            members.add_contact(state, contact)


def publish_replica(
    state: members.Membership, replica: data.Replica, now: float
) -> members.GossipOutput:
    """Stores a replica record from this node and queues it for gossip.

    Args:
        state: Membership state.
        replica: The new record, already merged with the known one.
        now: Monotonic time, seconds.

    Returns:
        The changed record, if it differs from the known one.
    """
    if state.records.replicas.get(replica.replica_id) != replica:
        gossip.store_replica(state.records, replica, now, should_enqueue=True)
    return _make_output(state, [])


def announce_leave(
    state: members.Membership, now: float
) -> members.GossipOutput:
    """Announces the shutdown of this node to all members and contacts.

    Args:
        state: Membership state.
        now: Monotonic time, seconds.

    Returns:
        Messages for all alive and suspected members and the contacts.
    """
    records = state.records
    own = dataclasses.replace(
        gossip.get_own_member(records), state=data.MemberState.LEAVING
    )
    gossip.set_own_member(records, own, now)
    targets = members.list_others(
        state, data.MemberState.ALIVE, data.MemberState.SUSPECT
    )
    for dc in state.contacts:
        targets += members.list_contacts(state, dc)
    return _make_output(
        state,
        [
            members.OutgoingGossip(target.address, data.Leave(own))
            for target in targets
        ],
    )


def run_tick(state: members.Membership, now: float) -> members.GossipOutput:
    """Runs due timeouts and periodic actions.

    The caller runs it about ten times a second.

    Args:
        state: Membership state.
        now: Monotonic time, seconds.

    Returns:
        Messages to send and changed records.
    """
    gap = now - state.last_tick
    state.last_tick = now
    if gap > MAX_TICK_GAP:
        probing.adjust_for_pause(state, gap)
    sends = []
    gossip.expire_suspicions(state.records, now)
    for seq, probe in list(state.pending_probes.items()):
        if probe.due <= now:
            sends += probing.handle_probe_timeout(state, seq, now)
    if gossip.has_fresh_updates(state.records):
        fast_due = state.last_probe_at + FAST_PROBE_INTERVAL
        state.due[probing.probe_next] = min(
            state.due[probing.probe_next], fast_due
        )
    for action, interval in _PERIODIC_ACTIONS.items():
        if state.due[action] <= now:
            if action is exchange.contact_seed and not state.is_joined:
                interval = JOIN_RETRY_INTERVAL
            jitter = 1 + state.rng.uniform(-JITTER, JITTER)
            state.due[action] = now + interval * jitter
            sends += action(state, now)
    return _make_output(state, sends)


def handle_message(
    state: members.Membership, message: data.Gossip, now: float
) -> members.GossipOutput:
    """Processes a message from another node.

    Args:
        state: Membership state.
        message: The received message.
        now: Monotonic time, seconds.

    Returns:
        Messages to send and changed records.
    """
    sender = message.sender
    if sender.node_id == state.records.node_id:
        return members.GossipOutput()
    _merge_update(state, sender, now)
    is_join = isinstance(message, data.Table) and message.is_join
    for update in getattr(message, 'updates', ()):
        _merge_update(state, update, now, is_join)
    sends = []
    match message:
        case data.Probe():
            sends = [probing.acknowledge(state, message)]
        case data.ProbeRequest():
            sends = probing.relay_probe(state, message, now)
        case data.Ack():
            sends = probing.handle_ack(state, message)
        case data.Join():
            sends = exchange.send_table(state, sender)
        case data.Table():
            if is_join and sender.dc == state.records.dc:
                state.is_joined = True
        case data.Digest():
            sends = exchange.answer_digest(state, message)
    return _make_output(state, sends)


def _make_output(state, sends):
    return members.GossipOutput(
        tuple(sends), gossip.pop_changes(state.records)
    )


def _merge_update(state, update, now, is_join=False):
    if isinstance(update, data.Member) and update.dc != state.records.dc:
        members.add_contact(state, update)
    else:
        gossip.merge_update(state.records, update, now, is_join)


def _clean_up(state, now):
    gossip.drop_tombstones(state.records, now)
    probing.expire_relayed_probes(state, now)
    return []


_PERIODIC_ACTIONS = {
    probing.probe_next: PROBE_INTERVAL,
    probing.probe_dead: DEAD_PROBE_INTERVAL,
    probing.probe_contact: CONTACT_PROBE_INTERVAL,
    exchange.send_digest: DIGEST_INTERVAL,
    exchange.contact_seed: SEED_PROBE_INTERVAL,
    _clean_up: CLEAN_UP_INTERVAL,
}
