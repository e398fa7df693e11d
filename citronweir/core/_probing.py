"""Failure detection by direct and indirect probes, as in SWIM."""

from citronweir.core import _data as data
from citronweir.core import _gossip as gossip
from citronweir.core import _members as members

PROBE_TIMEOUT = 0.5  # seconds, for direct and indirect probes each
# Members that are asked to probe a member that did not acknowledge.
INDIRECT_PROBE_COUNT = 3


def probe_next(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Probes the next member of the current round.

    A round visits all members that are not dead, in random order.
    """
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
        seq, send = _make_probe(state, target, now)
        state.pending_probes[seq] = members.PendingProbe(
            target, now + PROBE_TIMEOUT
        )
        return [send]


def handle_probe_timeout(
    state: members.Membership, seq: int, now: float
) -> list[members.OutgoingGossip]:
    """Handles a probe that was not acknowledged in time.

    A contact in another data centre counts as silent at once. A member of
    this data centre is first probed indirectly, and counts as
    unresponsive if that times out as well.
    """
    pending = state.pending_probes[seq]
    target = pending.target
    if target.dc != state.records.dc:
        del state.pending_probes[seq]
        members.mark_unresponsive(state, target)
        return []
    if pending.is_indirect:
        del state.pending_probes[seq]
        _mark_unresponsive(state, target, now)
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
            helpers, min(len(helpers), INDIRECT_PROBE_COUNT)
        )
    ]


def _mark_unresponsive(state, target, now):
    known = state.records.members.get(target.node_id)
    if known is None or known.incarnation != target.incarnation:
        return
    match known.state:
        case data.MemberState.ALIVE:
            suspect = data.MemberState.SUSPECT
            gossip.set_state(state.records, known.node_id, suspect, now)
        case data.MemberState.LEAVING:
            # It receives no work any more, so it needs no time to refute
            # a suspicion.
            dead = data.MemberState.DEAD
            gossip.set_state(state.records, known.node_id, dead, now)


def probe_dead(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Probes a random dead member, which may have recovered."""
    dead = members.list_others(state, data.MemberState.DEAD)
    if not dead:
        return []
    return [_make_probe(state, state.rng.choice(dead), now)[1]]


def probe_contact(
    state: members.Membership, now: float
) -> list[members.OutgoingGossip]:
    """Probes a random contact in another data centre."""
    contacts = [
        contact
        for dc in state.contacts
        for contact in members.list_contacts(state, dc)
    ]
    if not contacts:
        return []
    target = state.rng.choice(contacts)
    seq, send = _make_probe(state, target, now)
    state.pending_probes[seq] = members.PendingProbe(
        target, now + 2 * PROBE_TIMEOUT
    )
    return [send]


def acknowledge(
    state: members.Membership, probe: data.Probe
) -> members.OutgoingGossip:
    """Builds the acknowledgement of a probe.

    If the record known here differs from the sender's own, it is
    included, so that the sender can refute it.
    """
    own = gossip.get_own_member(state.records)
    sender = probe.sender
    if sender.dc != state.records.dc:
        updates = members.sample_alive_members(state)
    else:
        known = state.records.members.get(sender.node_id)
        is_different = known is not None and known != sender
        updates = gossip.select_updates(
            state.records, (known,) if is_different else ()
        )
    return members.OutgoingGossip(
        sender.address, data.Ack(probe.seq, own, updates)
    )


def relay_probe(
    state: members.Membership, request: data.ProbeRequest, now: float
) -> list[members.OutgoingGossip]:
    """Probes a member on behalf of another one without an answer."""
    seq, send = _make_probe(state, request.target, now)
    state.relayed_probes[seq] = members.RelayedProbe(
        request.target.node_id,
        request.sender.address,
        request.seq,
        now + PROBE_TIMEOUT,
    )
    return [send]


def handle_ack(
    state: members.Membership, ack: data.Ack
) -> list[members.OutgoingGossip]:
    """Handles an acknowledgement and forwards it if it was requested."""
    probe = state.pending_probes.get(ack.seq)
    if probe is not None and _is_valid_ack(probe, ack.sender):
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


def _is_valid_ack(probe, sender):
    """Returns whether an acknowledgement proves the member alive.

    Another process may use the member's former address; its
    acknowledgement must not keep the member alive. Acknowledgements of
    indirect probes come from the member that relayed them.
    """
    if sender.node_id == probe.target.node_id:
        return True
    return probe.is_indirect and sender.address != probe.target.address


def adjust_for_pause(state: members.Membership, pause: float) -> None:
    """Discounts a pause of this process.

    Silence during the pause is no evidence against other members, so
    pending probes are dropped and suspicions are extended by the pause.

    Args:
        state: State of the membership.
        pause: Length of the pause, seconds.
    """
    state.pending_probes.clear()
    for node_id in state.records.suspicion_deadlines:
        state.records.suspicion_deadlines[node_id] += pause


def expire_relayed_probes(state: members.Membership, now: float) -> None:
    """Removes relayed probes that were not acknowledged in time."""
    for seq, relay in list(state.relayed_probes.items()):
        if relay.expiry <= now:
            del state.relayed_probes[seq]


def _make_probe(state, target, now):
    state.seq += 1
    records = state.records
    if target.dc != records.dc:
        return state.seq, _make_send(
            state, target, members.sample_alive_members(state)
        )
    known = records.members.get(target.node_id, target)
    # A suspected member must learn of the suspicion to refute it.
    priority_updates = (
        () if known.state is data.MemberState.ALIVE else (known,)
    )
    updates = gossip.select_updates(records, priority_updates)
    return state.seq, _make_send(state, target, updates)


def _make_send(state, target, updates):
    own = gossip.get_own_member(state.records)
    return members.OutgoingGossip(
        target.address, data.Probe(state.seq, own, updates)
    )
