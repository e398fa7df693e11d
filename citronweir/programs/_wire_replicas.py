"""Wires replicas: the VM list, probes, queues and connections."""

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
from citronweir.programs import _node_context as contexts

# Share of the remaining time for which a sub-request may wait for the direct
# connection to a replica; the rest is left for another replica.
DIRECT_WAIT_SHARE = 0.5
# Average number of VM list entries that a node reads per second. Reading
# 40,000 entries takes 0.2 s of CPU time and 7.5 MB; doing so each second would
# alone exceed a watcher's budget for control traffic.
VMS_RATE = 1000.0

CANCELLED = core.SubNotRun(core.NotRunReason.CANCELLED)


def make_membership_dependencies(
    ctx: contexts.NodeContext,
) -> service.MembershipDependencies:
    """Builds the dependencies of the membership."""

    def on_member(member):
        telemetry.log(
            telemetry.Event.MEMBER_CHANGED,
            node=member.node_id,
            state=member.state.value,
        )

    return service.MembershipDependencies(
        now=time.monotonic,
        send=functools.partial(nodes.send_gossip, ctx.links),
        on_member=on_member,
        on_replica=lambda replica: core.update_replica(
            ctx.table, replica, time.monotonic()
        ),
    )


def publish_replica(
    ctx: contexts.NodeContext,
    membership_deps: service.MembershipDependencies,
    replica: core.Replica | None,
) -> None:
    """Merges a replica's record and gossips the merged record."""
    if replica is None:
        return
    core.update_replica(ctx.table, replica, time.monotonic())
    merged = ctx.table.replicas[replica.replica_id]
    service.spread_replica(membership_deps, ctx.membership, merged)


def make_probe_dependencies(
    ctx: contexts.NodeContext, membership_deps: service.MembershipDependencies
) -> service.ProbeDependencies:
    """Builds the dependencies of the probes."""

    def list_owned():
        return [
            replica
            for replica in ctx.table.replicas.values()
            if _is_owned_here(ctx, replica.replica_id)
        ]

    async def fetch(replica):
        status = await upstreams.fetch_status(ctx.pools, replica)
        if isinstance(status, upstreams.StatusError):
            telemetry.log(
                telemetry.Event.PROBE_FAILED,
                replica=replica.replica_id,
                error=status.detail,
            )
            return None
        return status

    def answered_at(replica_id):
        owned = ctx.owner.replicas.get(replica_id)
        return owned and owned.answered_at

    return service.ProbeDependencies(
        time.monotonic,
        list_owned,
        ctx.table.replicas.get,
        fetch,
        answered_at,
        functools.partial(publish_replica, ctx, membership_deps),
    )


def make_vm_list_round(
    ctx: contexts.NodeContext, membership_deps: service.MembershipDependencies
) -> abc.Callable[[], abc.Awaitable[None]]:
    """Builds the periodic task that reads the VM list.

    Only the two watchers of a data centre read it; other nodes learn of new
    replicas from them. A node that has not joined any other reads it too.
    The longer the list, the less often it is read.
    """
    entries = {}
    next_read = 0.0

    async def run_round():
        nonlocal next_read
        if time.monotonic() < next_read:
            return
        is_watcher = service.is_watcher(ctx.assignment, ctx.membership)
        if not is_watcher and ctx.membership.is_joined:
            return
        vms = await metastore.fetch_vms(ctx.kv_session, ctx.cfg.vms_url)
        failed = isinstance(vms, metastore.VmsError)
        telemetry.record_platform_call(
            ctx.metrics, 'vms', 'no_reply' if failed else 'ok'
        )
        if failed:
            telemetry.log(
                telemetry.Event.PLATFORM_UNAVAILABLE,
                call='vms',
                error=vms.detail,
            )
            return
        next_read = time.monotonic() + len(vms) / VMS_RATE
        _apply_node_entries(ctx, vms)
        for vm in vms:
            if vm.role is metastore.VmRole.UPSTREAM and vm.dc == ctx.cfg.dc:
                _apply_upstream_entry(ctx, membership_deps, entries, vm)

    return run_round


def make_owner_dependencies(
    ctx: contexts.NodeContext,
    membership_deps: service.MembershipDependencies,
    probe_deps: service.ProbeDependencies,
) -> service.OwnerDependencies:
    """Builds the dependencies of the owner's queues."""

    def send_suspicions(records):
        for member in contexts.list_peers(ctx):
            for record in records:
                nodes.send_suspect(ctx.links, member.address, record)

    def mark_draining(replica_id):
        changed = core.mark_draining(ctx.table, replica_id, time.monotonic())
        publish_replica(ctx, membership_deps, changed)

    return service.OwnerDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_replica=functools.partial(core.find_replica, ctx.table),
        limit_slots=lambda replica: upstreams.conn_limit(replica) - 1,
        select=core.select_shares,
        send=functools.partial(_send_upstream, ctx),
        check_crash=functools.partial(service.check_crash, probe_deps),
        send_suspicions=send_suspicions,
        mark_draining=mark_draining,
        record_queue_delay=functools.partial(
            telemetry.record_queue_delay, ctx.metrics
        ),
    )


def make_dispatch_dependencies(
    ctx: contexts.NodeContext, owner_deps: service.OwnerDependencies
) -> service.DispatchDependencies:
    """Builds the dependencies of sub-request dispatch."""

    def record(replica_id, answer):
        now = time.monotonic()
        core.record_outcome(
            ctx.table, replica_id, answer.outcome, answer.latency, now
        )
        observed = ctx.table.observed.get(replica_id)
        if observed is not None and answer.delays:
            core.apply_reported_delays(observed, answer.delays, now)
            core.apply_reported_latency(observed, answer.service)

    async def observe(replica_id, sub, call):
        core.record_dispatched(ctx.table, replica_id, sub.rank)
        started, answer = time.monotonic(), None
        expected_delay = _estimate_delay(ctx, replica_id, sub.rank)
        try:
            answer = await call
            return answer.outcome
        finally:
            core.record_returned(ctx.table, replica_id, sub.rank)
            elapsed = max(0.0, time.monotonic() - started - expected_delay)
            record(replica_id, answer or core.OwnerAnswer(CANCELLED, elapsed))

    async def submit(replica_id, sub):
        call = service.submit(ctx.owner, owner_deps, replica_id, sub)
        return await observe(replica_id, sub, call)

    async def call_owner(owner, replica_id, sub):
        call = _call_owner(ctx, owner, replica_id, sub)
        return await observe(replica_id, sub, call)

    async def send_direct(replica_id, sub):
        answer = _send_direct(ctx, owner_deps, replica_id, sub)
        return await observe(replica_id, sub, answer)

    return service.DispatchDependencies(
        now=time.monotonic,
        node_id=ctx.cfg.node_id,
        find_owner=functools.partial(contexts.find_owner, ctx),
        submit=submit,
        call_owner=call_owner,
        has_received=lambda member, since: nodes.has_received(
            ctx.links, member.address, since
        ),
        ping=lambda member: nodes.ping_node(ctx.links, member.address),
        send_direct=send_direct,
        record_route=lambda route: telemetry.record_route(
            ctx.metrics, route.value
        ),
    )


def _estimate_delay(ctx, replica_id, rank):
    state = ctx.table.observed.get(replica_id)
    if state is None:
        return 0.0
    return core.queue_delay(state, rank, time.monotonic())


async def _call_owner(ctx, owner, replica_id, sub):
    relay = functools.partial(nodes.call_sub, ctx.links, owner, replica_id)
    return await hops.run_hop('relay', replica_id, sub, relay)


async def _send_upstream(ctx, replica, sub, direct=False):
    is_order = isinstance(sub, core.SubOrder)
    send = upstreams.send_order if is_order else upstreams.send_search
    return await hops.run_hop(
        'upstream',
        replica.replica_id,
        sub,
        lambda sub: send(ctx.pools, replica, sub, direct),
    )


async def _send_direct(ctx, owner_deps, replica_id, sub):
    """Sends a sub-request to a replica without its owner."""
    replica = core.find_replica(ctx.table, replica_id)
    if replica is None or core.is_draining(ctx.table, replica_id):
        return core.OwnerAnswer(core.SubNotRun(core.NotRunReason.NO_REPLICA))
    check = core.check_send(
        ctx.suspects, replica_id, core.make_fingerprint(sub), time.time()
    )
    if check is not core.SendCheck.SEND:
        is_refused = check is core.SendCheck.REFUSE
        reason = (
            core.NotRunReason.QUARANTINED
            if is_refused
            else core.NotRunReason.OVERLOADED
        )
        return core.OwnerAnswer(core.SubNotRun(reason))
    lock = ctx.direct_locks[replica_id]
    # Without an owner, requests of this node take turns on one connection.
    # Refusing them immediately would exhaust the retry budget.
    remaining = max(0.0, sub.deadline - time.monotonic())
    try:
        async with asyncio.timeout(remaining * DIRECT_WAIT_SHARE):
            await lock.acquire()
    except TimeoutError:
        return core.OwnerAnswer(core.SubNotRun(core.NotRunReason.OVERLOADED))
    try:
        report = await _send_upstream(ctx, replica, sub, True)
    finally:
        lock.release()
    if report.outcome == core.SubNotRun(core.NotRunReason.DRAINING):
        owner_deps.mark_draining(replica_id)
    return core.OwnerAnswer(report.outcome, report.latency)


def _is_owned_here(ctx, replica_id):
    owner = contexts.find_owner(ctx, replica_id)
    return owner is not None and owner.node_id == ctx.cfg.node_id


def _apply_node_entries(ctx, vms):
    live = [
        vm
        for vm in vms
        if vm.role is metastore.VmRole.NODE
        and vm.state is metastore.VmState.LIVE
    ]
    seeds = {vm.address for vm in live if vm.dc == ctx.cfg.dc}
    seeds.update(ctx.cfg.seeds)
    core.set_seeds(ctx.membership, sorted(seeds, key=str), time.monotonic())
    core.add_contacts(
        ctx.membership,
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


def _make_updated_record(known, vm):
    """Makes a record if the replica is new or its address changed."""
    if known is None:
        return core.Replica(
            core.ReplicaId(vm.name), vm.address, core.ReplicaState.WARMING
        )
    if known.address == vm.address:
        return None
    return dataclasses.replace(
        known, address=vm.address, version=known.version + 1
    )


def _apply_upstream_entry(ctx, membership_deps, entries, vm):
    replica_id = core.ReplicaId(vm.name)
    known = ctx.table.replicas.get(replica_id)
    if vm.state is metastore.VmState.LIVE:
        publish_replica(ctx, membership_deps, _make_updated_record(known, vm))
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
        changed = core.mark_draining(ctx.table, replica_id, time.monotonic())
        publish_replica(ctx, membership_deps, changed)
