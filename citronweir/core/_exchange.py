"""Brings tables together: joins, seeds and checksums."""

from citronweir.core import _data as data
from citronweir.core import _gossip as gossip
from citronweir.core import _members as members

RECORDS_IN_TABLE = 50  # records on one message
MAX_BUCKETS_IN_REPLY = 32


def ask_seed(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Contacts a seed: for the whole table, or if it is no member yet.

    A node that has joined only introduces itself; the checksums bring
    the rest. Whole tables for all nodes at once after a partition would
    take far more than the traffic allowed for control.
    """
    own = gossip.get_own_member(state.records)
    alive = members.list_others(state, data.MemberState.ALIVE)
    known = {member.address for member in alive}
    if not state.is_joined:
        seeds = sorted({*state.seeds, *known}, key=str)
        message = data.Join(own)
    else:
        for pool in state.contacts.values():
            known.update(member.address for member in pool.values())
        seeds = [seed for seed in state.seeds if seed not in known]
        state.seq += 1
        message = data.Probe(state.seq, own)
    if not seeds:
        return []
    return [members.OutgoingGossip(state.rng.choice(seeds), message)]


def send_table(
    state: members.Membership, target: data.Member
) -> list[members.OutgoingGossip]:
    """Sends the whole table to a joining node."""
    own = gossip.get_own_member(state.records)
    if target.dc != state.records.dc:
        updates = [*members.sample_alive_members(state)]
        pool = state.contacts.get(target.dc, {})
        updates += (
            member
            for member in pool.values()
            if member.state is data.MemberState.ALIVE
        )
    else:
        updates = gossip.list_records(state.records)
        for dc in state.contacts:
            updates += members.list_contacts(state, dc)
    return _make_chunks(target, own, updates, True)


def _make_chunks(target, own, updates, is_join):
    return [
        members.OutgoingGossip(
            target.address,
            data.Table(
                own, tuple(updates[at : at + RECORDS_IN_TABLE]), is_join
            ),
        )
        for at in range(0, max(1, len(updates)), RECORDS_IN_TABLE)
    ]


def send_digest(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Sends the checksums to a random member."""
    alive = members.list_others(state, data.MemberState.ALIVE)
    if not alive:
        return []
    target = state.rng.choice(alive)
    return [members.OutgoingGossip(target.address, _make_digest(state, False))]


def _make_digest(state, is_reply):
    own = gossip.get_own_member(state.records)
    return data.Digest(own, tuple(state.records.sums), is_reply)


def compare(
    state: members.Membership, digest: data.Digest
) -> list[members.OutgoingGossip]:
    """Sends the records of the buckets whose checksums differ."""
    pairs = zip(state.records.sums, digest.sums, strict=False)
    differing = [at for at, (one, other) in enumerate(pairs) if one != other]
    if not differing or digest.sender.dc != state.records.dc:
        return []
    count = min(len(differing), MAX_BUCKETS_IN_REPLY)
    buckets = set(state.rng.sample(differing, count))
    updates = gossip.list_records(state.records, buckets)
    own = gossip.get_own_member(state.records)
    sends = _make_chunks(digest.sender, own, updates, False)
    if not digest.is_reply:
        sends.append(
            members.OutgoingGossip(
                digest.sender.address, _make_digest(state, True)
            )
        )
    return sends
