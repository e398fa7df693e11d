"""Wires replicas: the VM list, probes, queues and the way to them."""

import asyncio
from collections import abc
import dataclasses
import functools
import time

from citronweir import core
from citronweir import metastore
from citronweir import nodes
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _hops as hops
from citronweir.programs import _parts as parts_

# Share of the remaining time in which a sub-request waits for the
# connection past the owner; the rest is for another replica.
DIRECT_WAIT_SHARE = 0.5
# Entries of the VM list that a node reads each second on average. A read
# of 40,000 entries takes 0.2 s of the processor and 7.5 MB; each second
# it would exceed the control budget of a watcher alone.
VMS_RATE = 1000.0

CANCELLED = core.SubNotRun(core.NotRunReason.CANCELLED)


def make_membership_peers(
    parts: parts_.Parts,
) -> service.MembershipDependencies:
    """Builds what the membership needs from outside."""

    def on_member(member):
        telemetry.log(
            telemetry.Event.MEMBER_CHANGED,
            node=member.node_id,
            state=member.state.value,
        )

    return service.MembershipDependencies(
        now=time.monotonic,
        send=functools.partial(nodes.send_gossip, parts.links),
        on_member=on_member,
        on_replica=lambda replica: core.update_replica(
            parts.table, replica, time.monotonic()
        ),
    )


def publish_replica(
    parts: parts_.Parts,
    gossip: service.MembershipDependencies,
    replica: core.Replica | None,
) -> None:
    """Merges a replica's record here and spreads what has changed."""
    if replica is None:
        return
    core.update_replica(parts.table, replica, time.monotonic())
    merged = parts.table.replicas[replica.replica_id]
    service.spread_replica(gossip, parts.membership, merged)


def make_probe_peers(
    parts: parts_.Parts, gossip: service.MembershipDependencies
) -> service.ProbeDependencies:
    """Builds what the probes need from outside."""

    def list_owned():
        return [
            replica
            for replica in parts.table.replicas.values()
            if _is_own(parts, replica.replica_id)
        ]

    async def fetch(replica):
        status = await upstreams.fetch_status(parts.pools, replica)
        if isinstance(status, upstreams.StatusError):
            telemetry.log(
                telemetry.Event.PROBE_FAILED,
                replica=replica.replica_id,
                error=status.detail,
            )
            return None
        return status

    def answered_at(replica_id):
        owned = parts.owner.replicas.get(replica_id)
        return owned and owned.answered_at

    return service.ProbeDependencies(
        time.monotonic,
        list_owned,
        parts.table.replicas.get,
        fetch,
        answered_at,
        functools.partial(publish_replica, parts, gossip),
    )


def make_vms_round(
    parts: parts_.Parts, gossip: service.MembershipDependencies
) -> abc.Callable[[], abc.Awaitable[None]]:
    """Builds the round that reads the VM list.

    Only the two watchers of a data centre read it; the others learn of
    new replicas from them. A node that knows no other one reads it too.
    A long list is read less often.
    """
    entries = {}
    next_read = 0.0

    async def run_round():
        nonlocal next_read
        if time.monotonic() < next_read:
            return
        is_watcher = service.is_watcher(parts.routing, parts.membership)
        if not is_watcher and parts.membership.is_joined:
            return
        vms = await metastore.fetch_vms(parts.kv_session, parts.cfg.vms_url)
        failed = isinstance(vms, metastore.VmsError)
        telemetry.record_platform_call(
            parts.metrics, 'vms', 'no_reply' if failed else 'ok'
        )
        if failed:
            telemetry.log(
                telemetry.Event.PLATFORM_UNAVAILABLE,
                call='vms',
                error=vms.detail,
            )
            return
        next_read = time.monotonic() + len(vms) / VMS_RATE
        _take_nodes(parts, vms)
        for vm in vms:
            if vm.role is metastore.VmRole.UPSTREAM and vm.dc == parts.cfg.dc:
                _take_upstream(parts, gossip, entries, vm)

    return run_round


def make_owner_peers(
    parts: parts_.Parts,
    gossip: service.MembershipDependencies,
    probes: service.ProbeDependencies,
) -> service.OwnerDependencies:
    """Builds what the owner's queues need from outside."""

    def send_suspicions(records):
        for member in parts_.list_peers(parts):
            for record in records:
                nodes.send_suspect(parts.links, member.address, record)

    def note_draining(replica_id):
        changed = core.mark_draining(parts.table, replica_id, time.monotonic())
        publish_replica(parts, gossip, changed)

    return service.OwnerDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_replica=functools.partial(core.find_replica, parts.table),
        limit_slots=lambda replica: upstreams.conn_limit(replica) - 1,
        select=core.select_shares,
        send=functools.partial(_send_upstream, parts),
        check_crash=functools.partial(service.check_crash, probes),
        send_suspicions=send_suspicions,
        note_draining=note_draining,
        note_queue_delay=functools.partial(
            telemetry.record_queue_delay, parts.metrics
        ),
    )


def make_dispatch_peers(
    parts: parts_.Parts, owner_peers: service.OwnerDependencies
) -> service.DispatchDependencies:
    """Builds what the dispatch of a sub-request needs from outside."""

    def record(replica_id, answer):
        now = time.monotonic()
        core.record_outcome(
            parts.table, replica_id, answer.outcome, answer.latency, now
        )
        observed = parts.table.observed.get(replica_id)
        if observed is not None and answer.delays:
            core.apply_reported_delays(observed, answer.delays, now)
            core.apply_reported_latency(observed, answer.service)

    async def observe(replica_id, sub, call):
        core.note_dispatched(parts.table, replica_id, sub.rank)
        started, answer = time.monotonic(), None
        waited = _expect_delay(parts, replica_id, sub.rank)
        try:
            answer = await call
            return answer.outcome
        finally:
            core.note_returned(parts.table, replica_id, sub.rank)
            elapsed = max(0.0, time.monotonic() - started - waited)
            record(replica_id, answer or core.OwnerAnswer(CANCELLED, elapsed))

    async def submit(replica_id, sub):
        call = service.submit(parts.owner, owner_peers, replica_id, sub)
        return await observe(replica_id, sub, call)

    async def call_owner(owner, replica_id, sub):
        call = _call_owner(parts, owner, replica_id, sub)
        return await observe(replica_id, sub, call)

    async def send_direct(replica_id, sub):
        answer = _send_direct(parts, owner_peers, replica_id, sub)
        return await observe(replica_id, sub, answer)

    return service.DispatchDependencies(
        now=time.monotonic,
        node_id=parts.cfg.node_id,
        find_owner=functools.partial(parts_.find_owner, parts),
        submit=submit,
        call_owner=call_owner,
        has_heard=lambda member, since: nodes.has_heard(
            parts.links, member.address, since
        ),
        ping=lambda member: nodes.ping_node(parts.links, member.address),
        send_direct=send_direct,
        record_route=lambda route: telemetry.record_route(
            parts.metrics, route.value
        ),
    )


def _expect_delay(parts, replica_id, rank):
    state = parts.table.observed.get(replica_id)
    if state is None:
        return 0.0
    return core.queue_delay(state, rank, time.monotonic())


async def _call_owner(parts, owner, replica_id, sub):
    relay = functools.partial(nodes.call_sub, parts.links, owner, replica_id)
    return await hops.run_hop('relay', replica_id, sub, relay)


async def _send_upstream(parts, replica, sub, direct=False):
    is_order = isinstance(sub, core.SubOrder)
    send = upstreams.send_order if is_order else upstreams.send_search
    return await hops.run_hop(
        'upstream',
        replica.replica_id,
        sub,
        lambda sub: send(parts.pools, replica, sub, direct),
    )


async def _send_direct(parts, owner_peers, replica_id, sub):
    replica = core.find_replica(parts.table, replica_id)
    if replica is None or core.is_draining(parts.table, replica_id):
        return core.OwnerAnswer(core.SubNotRun(core.NotRunReason.NO_REPLICA))
    check = core.check_send(
        parts.suspects, replica_id, core.make_fingerprint(sub), time.time()
    )
    if check is not core.SendCheck.SEND:
        is_refused = check is core.SendCheck.REFUSE
        reason = (
            core.NotRunReason.QUARANTINED
            if is_refused
            else core.NotRunReason.OVERLOADED
        )
        return core.OwnerAnswer(core.SubNotRun(reason))
    lock = parts.direct[replica_id]
    # Without an owner the requests of this node take turns at the single
    # connection; a refusal at once would use up the budget of retries.
    left = max(0.0, sub.deadline - time.monotonic())
    try:
        async with asyncio.timeout(left * DIRECT_WAIT_SHARE):
            await lock.acquire()
    except TimeoutError:
        return core.OwnerAnswer(core.SubNotRun(core.NotRunReason.OVERLOADED))
    try:
        report = await _send_upstream(parts, replica, sub, True)
    finally:
        lock.release()
    if report.outcome == core.SubNotRun(core.NotRunReason.DRAINING):
        owner_peers.note_draining(replica_id)
    return core.OwnerAnswer(report.outcome, report.latency)


def _is_own(parts, replica_id):
    owner = parts_.find_owner(parts, replica_id)
    return owner is not None and owner.node_id == parts.cfg.node_id


def _take_nodes(parts, vms):
    live = [
        vm
        for vm in vms
        if vm.role is metastore.VmRole.NODE
        and vm.state is metastore.VmState.LIVE
    ]
    seeds = {vm.address for vm in live if vm.dc == parts.cfg.dc}
    seeds.update(parts.cfg.seeds)
    core.set_seeds(parts.membership, sorted(seeds, key=str), time.monotonic())
    core.add_contacts(
        parts.membership,
        (
            core.Member(
                core.NodeId(vm.name),
                vm.address,
                vm.dc,
                core.MemberState.ALIVE,
                core.Incarnation(0),
            )
            for vm in live
        ),
    )


def _find_news(known, vm):
    """Returns a record for a replica that is new or has moved, or None."""
    if known is None:
        return core.Replica(
            core.ReplicaId(vm.name), vm.address, core.ReplicaState.WARMING
        )
    if known.address == vm.address:
        return None
    return dataclasses.replace(
        known, address=vm.address, version=known.version + 1
    )


def _take_upstream(parts, gossip, entries, vm):
    replica_id = core.ReplicaId(vm.name)
    known = parts.table.replicas.get(replica_id)
    if vm.state is metastore.VmState.LIVE:
        publish_replica(parts, gossip, _find_news(known, vm))
    epoch = known.epoch if known else core.Epoch(0)
    entry, is_drained = core.evaluate_vm_list_entry(
        entries.get(replica_id),
        vm.state is metastore.VmState.LEAVING,
        epoch,
        time.monotonic(),
    )
    if entry is not None:
        entries[replica_id] = entry
    if is_drained:
        changed = core.mark_draining(parts.table, replica_id, time.monotonic())
        publish_replica(parts, gossip, changed)
