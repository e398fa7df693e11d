"""Probes members and takes their acknowledgements."""

from citronweir.core import _data as data
from citronweir.core import _gossip as gossip
from citronweir.core import _members as members

PROBE_TIMEOUT = 0.5  # seconds, for the direct and for the indirect probes
INDIRECT_PROBES = 3


def probe_next(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Probes the next member of the round."""
    state.last_probe_at = now
    while True:
        if not state.probe_order:
            states = set(data.MemberState) - {data.MemberState.DEAD}
            others = members.list_others(state, *states)
            state.probe_order = [member.node_id for member in others]
            state.rng.shuffle(state.probe_order)
        if not state.probe_order:
            return []
        target = state.records.members.get(state.probe_order.pop())
        if target is None or target.state is data.MemberState.DEAD:
            continue
        seq, send = _probe(state, target, now)
        state.pending_probes[seq] = members.PendingProbe(
            target, now + PROBE_TIMEOUT
        )
        return [send]


def go_on(
    state: members.Membership, seq: int, now: float
) -> list[members.OutgoingGossip]:
    """Continues with a probe that was not acknowledged in time."""
    pending = state.pending_probes[seq]
    target = pending.target
    if target.dc != state.records.dc:
        del state.pending_probes[seq]
        members.mark_unresponsive(state, target)
        return []
    if pending.is_indirect:
        del state.pending_probes[seq]
        _suspect(state, target, now)
        return []
    pending.is_indirect = True
    pending.due = now + PROBE_TIMEOUT
    helpers = [
        member
        for member in members.list_others(state, data.MemberState.ALIVE)
        if member.node_id != target.node_id
    ]
    own = gossip.get_own_member(state.records)
    return [
        members.OutgoingGossip(
            helper.address,
            data.ProbeRequest(
                seq, own, target, gossip.select_updates(state.records)
            ),
        )
        for helper in state.rng.sample(
            helpers, min(len(helpers), INDIRECT_PROBES)
        )
    ]


def _suspect(state, target, now):
    known = state.records.members.get(target.node_id)
    if known is None or known.incarnation != target.incarnation:
        return
    match known.state:
        case data.MemberState.ALIVE:
            suspect = data.MemberState.SUSPECT
            gossip.set_state(state.records, known.node_id, suspect, now)
        case data.MemberState.LEAVING:
            # It takes no work any more, so nothing is to be refuted.
            dead = data.MemberState.DEAD
            gossip.set_state(state.records, known.node_id, dead, now)


def probe_dead(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Probes one dead member, which may have come back."""
    dead = members.list_others(state, data.MemberState.DEAD)
    if not dead:
        return []
    return [_probe(state, state.rng.choice(dead), now)[1]]


def probe_contact(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Probes one contact in another data centre."""
    contacts = [
        contact
        for dc in state.contacts
        for contact in members.list_contacts(state, dc)
    ]
    if not contacts:
        return []
    target = state.rng.choice(contacts)
    seq, send = _probe(state, target, now)
    state.pending_probes[seq] = members.PendingProbe(
        target, now + 2 * PROBE_TIMEOUT
    )
    return [send]


def acknowledge(
    state: members.Membership, probe: data.Probe
) -> members.OutgoingGossip:
    """Answers a probe."""
    own = gossip.get_own_member(state.records)
    sender = probe.sender
    if sender.dc != state.records.dc:
        updates = members.sample_alive_members(state)
    else:
        known = state.records.members.get(sender.node_id)
        is_stale = known is not None and known != sender
        updates = gossip.select_updates(
            state.records, (known,) if is_stale else ()
        )
    return members.OutgoingGossip(
        sender.address, data.Ack(probe.seq, own, updates)
    )


def probe_for(
    state: members.Membership, request: data.ProbeRequest, now: float
) -> list[members.OutgoingGossip]:
    """Probes a member for another one that got no answer."""
    seq, send = _probe(state, request.target, now)
    state.relayed_probes[seq] = members.RelayedProbe(
        request.target.node_id,
        request.sender.address,
        request.seq,
        now + PROBE_TIMEOUT,
    )
    return [send]


def take_ack(
    state: members.Membership, ack: data.Ack
) -> list[members.OutgoingGossip]:
    """Takes an acknowledgement, or passes it on to who asked for it."""
    probe = state.pending_probes.get(ack.seq)
    if probe is not None and _is_answer(probe, ack.sender):
        del state.pending_probes[ack.seq]
    relay = state.relayed_probes.get(ack.seq)
    if relay is None or relay.target != ack.sender.node_id:
        return []
    del state.relayed_probes[ack.seq]
    own = gossip.get_own_member(state.records)
    updates = gossip.select_updates(state.records)
    return [
        members.OutgoingGossip(
            relay.requester, data.Ack(relay.seq, own, updates)
        )
    ]


def _is_answer(probe, sender):
    """Whether an acknowledgement speaks for the probed member.

    Another process may have taken over the member's address; its answer
    must not keep the member alive.
    """
    if sender.node_id == probe.target.node_id:
        return True
    return probe.is_indirect and sender.address != probe.target.address


def forgive(state: members.Membership, gap: float) -> None:
    """Drops what silence during a pause of this process would prove."""
    state.pending_probes.clear()
    for node_id in state.records.suspicion_deadlines:
        state.records.suspicion_deadlines[node_id] += gap


def expire_relayed_probes(state: members.Membership, now: float) -> None:
    """Forgets the indirect probes that were not acknowledged."""
    for seq, relay in list(state.relayed_probes.items()):
        if relay.expiry <= now:
            del state.relayed_probes[seq]


def _probe(state, target, now):
    state.seq += 1
    records = state.records
    if target.dc != records.dc:
        return state.seq, _make_send(
            state, target, members.sample_alive_members(state)
        )
    known = records.members.get(target.node_id, target)
    # A member must hear of its own suspicion to refute it.
    first = () if known.state is data.MemberState.ALIVE else (known,)
    updates = gossip.select_updates(records, first)
    return state.seq, _make_send(state, target, updates)


def _make_send(state, target, updates):
    own = gossip.get_own_member(state.records)
    return members.OutgoingGossip(
        target.address, data.Probe(state.seq, own, updates)
    )
