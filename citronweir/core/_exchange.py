"""Synchronises member tables: joins, seeds and checksum digests."""

from citronweir.core import _data as data
from citronweir.core import _gossip as gossip
from citronweir.core import _members as members

MAX_RECORDS_PER_MESSAGE = 50
MAX_BUCKETS_PER_REPLY = 32


def contact_seed(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Contacts a random seed to join, or one that is not a member yet.

    A node that has not joined requests the whole table. A node that has
    joined only introduces itself, and digests synchronise the rest: sending
    whole tables to all nodes at once after a partition would far exceed the
    limit for control traffic.
    """
    own = gossip.get_own_member(state.records)
    alive_members = members.list_others(state, data.MemberState.ALIVE)
    known_addresses = {member.address for member in alive_members}
    if not state.is_joined:
        seeds = sorted({*state.seeds, *known_addresses}, key=str)
        message = data.Join(own)
    else:
        for contacts_in_dc in state.contacts.values():
            known_addresses.update(
                member.address for member in contacts_in_dc.values()
            )
        seeds = [seed for seed in state.seeds if seed not in known_addresses]
        state.seq += 1
        message = data.Probe(state.seq, own)
    if not seeds:
        return []
    return [members.OutgoingGossip(state.rng.choice(seeds), message)]


def send_table(
    state: members.Membership, target: data.Member
) -> list[members.OutgoingGossip]:
    """Sends the member table to a joining node.

    A node of this data centre gets all records and contacts. A node of
    another one gets a random sample of the live members here, and the live
    contacts known in its own data centre.
    """
    own = gossip.get_own_member(state.records)
    if target.dc != state.records.dc:
        updates = [*members.sample_alive_members(state)]
        contacts_in_dc = state.contacts.get(target.dc, {})
        updates += (
            member
            for member in contacts_in_dc.values()
            if member.state is data.MemberState.ALIVE
        )
    else:
        updates = gossip.list_records(state.records)
        for dc in state.contacts:
            updates += members.list_contacts(state, dc)
    return _make_table_messages(target, own, updates, True)


def _make_table_messages(target, own, updates, is_join):
    return [
        members.OutgoingGossip(
            target.address,
            data.Table(
                own,
                tuple(updates[index : index + MAX_RECORDS_PER_MESSAGE]),
                is_join,
            ),
        )
        for index in range(0, max(1, len(updates)), MAX_RECORDS_PER_MESSAGE)
    ]


def send_digest(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Sends the checksums of the table to a random live member."""
    alive_members = members.list_others(state, data.MemberState.ALIVE)
    if not alive_members:
        return []
    target = state.rng.choice(alive_members)
    return [members.OutgoingGossip(target.address, _make_digest(state, False))]


def _make_digest(state, is_reply):
    own = gossip.get_own_member(state.records)
    return data.Digest(own, tuple(state.records.sums), is_reply)


def answer_digest(
    state: members.Membership, digest: data.Digest
) -> list[members.OutgoingGossip]:
    """Replies to a digest with the buckets whose checksums differ.

    A digest that is not itself a reply is also answered with one, so that
    the sender returns its records of these buckets.
    """
    pairs = zip(state.records.sums, digest.sums, strict=False)
    differing = [
        index
        for index, (local_sum, remote_sum) in enumerate(pairs)
        if local_sum != remote_sum
    ]
    if not differing or digest.sender.dc != state.records.dc:
        return []
    count = min(len(differing), MAX_BUCKETS_PER_REPLY)
    buckets = set(state.rng.sample(differing, count))
    updates = gossip.list_records(state.records, buckets)
    own = gossip.get_own_member(state.records)
    sends = _make_table_messages(digest.sender, own, updates, False)
    if not digest.is_reply:
        sends.append(
            members.OutgoingGossip(
                digest.sender.address, _make_digest(state, True)
            )
        )
    return sends
