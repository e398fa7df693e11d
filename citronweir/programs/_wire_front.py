"""Wires the ports for callers, operators and other nodes."""

import functools
import time
import uuid

from citronweir import callers
from citronweir import core
from citronweir import metastore
from citronweir import nodes
from citronweir import operators
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _hops as hops
from citronweir.programs import _node_context as contexts
from citronweir.programs import _wire_config as wire_config

# Lifetime of the cached expected wait of a plan. Computing it visits all
# candidates of all pieces, up to 490 for each search.
WAIT_CACHE_TTL = 0.02  # seconds
NO_CONFIGURATION = core.Refused(core.NotRunReason.NO_CONFIGURATION)
# A node serves without the replica table of another node after this time: all
# nodes in the VM list may be gone.
JOIN_TIMEOUT = 3.0  # seconds
_USABLE = (core.ReplicaState.READY, core.ReplicaState.WARMING)


def make_search_dependencies(
    ctx: contexts.NodeContext, dispatch_deps: service.DispatchDependencies
) -> service.SearchDependencies:
    """Builds the dependencies of searches."""
    table, suspects = ctx.table, ctx.suspects

    def retile(index, snapshot, within):
        held = core.list_holdings(table, index, _USABLE)
        return core.cover_range(index, snapshot, within, held)

    def choose(piece, tried, rank):
        return core.choose_replica(
            table,
            piece.candidates,
            tried,
            rank,
            time.monotonic(),
            ctx.rng,
        )

    def is_quarantined(req):
        state = core.find_state(suspects, _fingerprint(req), time.time())
        return state is core.SuspectState.CONVICTED

    def needs_canary(req):
        return core.needs_canary(
            suspects, _fingerprint(req), time.time(), ctx.cfg.canary
        )

    return service.SearchDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_contract=functools.partial(_find_contract, ctx),
        plan=functools.partial(core.plan_index, table),
        retile=retile,
        choose_replica=choose,
        send=functools.partial(service.dispatch_sub, dispatch_deps),
        expected_wait=_make_expected_wait(ctx),
        needs_canary=needs_canary,
        is_quarantined=is_quarantined,
        record=functools.partial(telemetry.record_search, ctx.metrics),
        budgets=ctx.budgets,
        admission=ctx.admission,
    )


def make_order_dependencies(
    ctx: contexts.NodeContext, dispatch_deps: service.DispatchDependencies
) -> service.OrderDependencies:
    """Builds the dependencies of orders."""
    claims = metastore.make_claim_store(
        ctx.kv_session, ctx.cfg.kv_url, ctx.call_limits
    )

    async def write_claim(key, step, deadline):
        reply = await claims.write(key, step, deadline)
        telemetry.record_claim(ctx.metrics, step.claim.state, reply)
        return reply

    def choose(index):
        held = core.list_holdings(ctx.table, index, (core.ReplicaState.READY,))
        return core.choose_replica(
            ctx.table,
            {replica_id for replica_id, _ in held},
            (),
            core.Rank.URGENT,
            time.monotonic(),
            ctx.rng,
        )

    return service.OrderDependencies(
        ctx.cfg.node_id,
        time.monotonic,
        time.time,
        lambda: core.ClaimToken(uuid.uuid4().hex),
        functools.partial(_find_contract, ctx),
        choose,
        claims.read,
        write_claim,
        functools.partial(service.dispatch_sub, dispatch_deps),
    )


def make_caller_handlers(
    ctx: contexts.NodeContext,
    search_deps: service.SearchDependencies,
    order_deps: service.OrderDependencies,
    config_deps: service.ConfigDependencies,
) -> callers.Handlers:
    """Builds the handlers of the callers' port."""

    async def search(req, trace):
        if not ctx.config.ready:
            return NO_CONFIGURATION
        with service.count_work(ctx.stop, service.WorkKind.REQUEST):
            outcome = await service.run_search(search_deps, req, trace)
        if isinstance(outcome, core.Complete):
            _clear_suspect(ctx, req)
        return outcome

    async def order(req, trace):
        if not ctx.config.ready:
            return core.answer_unchecked(req, NO_CONFIGURATION)
        with service.count_work(ctx.stop, service.WorkKind.REQUEST):
            outcome = await service.run_order(order_deps, req, trace)
        telemetry.record_order(ctx.metrics, outcome)
        return outcome

    return callers.Handlers(
        search=search,
        order=order,
        is_ready=_make_is_ready(ctx),
        is_stopping=functools.partial(service.is_stopping, ctx.stop),
        config_age=lambda: service.config_age(config_deps, ctx.config),
    )


def _make_is_ready(ctx):
    """Builds the check of ``/healthz``.

    A starting node is not ready until it has a configuration, the replica
    table of another node and a ready replica; its answers would otherwise
    cover only the few replicas that it knows. Losing all replicas later does
    not make a node unready: the balancer would remove all nodes at once.
    """
    join_deadline = time.monotonic() + JOIN_TIMEOUT
    has_started = False

    def is_started():
        is_joined = ctx.membership.is_joined
        return (
            ctx.config.ready
            and (is_joined or time.monotonic() >= join_deadline)
            and any(
                replica.state is core.ReplicaState.READY
                for replica in ctx.table.replicas.values()
            )
        )

    def is_ready():
        nonlocal has_started
        has_started = has_started or is_started()
        return has_started and not service.is_stopping(ctx.stop)

    return is_ready


def make_operator_handlers(
    ctx: contexts.NodeContext, config_deps: service.ConfigDependencies
) -> operators.Handlers:
    """Builds the handlers of the operators' port."""

    async def change(operator_change):
        outcome = await service.run_change(
            config_deps, ctx.config, operator_change
        )
        wire_config.apply_config(ctx)
        return outcome

    def settings():
        defaults = wire_config.default_settings(ctx)
        return core.fleet_settings(ctx.config.state, defaults)

    def status():
        return core.NodeStatus(
            ctx.cfg.node_id,
            ctx.cfg.dc,
            ctx.identity.incarnation,
            ctx.config.state.complete_to,
            service.config_age(config_deps, ctx.config),
            tuple(core.list_members(ctx.membership, *core.MemberState)),
            tuple(ctx.table.replicas.values()),
            service.is_stopping(ctx.stop),
        )

    return operators.Handlers(
        change, lambda: ctx.config.state.records, settings, status
    )


def make_node_handlers(
    ctx: contexts.NodeContext,
    membership_deps: service.MembershipDependencies,
    owner_deps: service.OwnerDependencies,
    config_deps: service.ConfigDependencies,
) -> nodes.Handlers:
    """Builds the handlers of messages from other nodes."""

    async def run_sub(replica_id, sub):
        submit = functools.partial(
            service.submit, ctx.owner, owner_deps, replica_id
        )
        with service.count_work(ctx.stop, service.WorkKind.RELAY):
            return await hops.run_hop('owner', replica_id, sub, submit)

    def on_config(dc, batch):
        is_local = dc == ctx.cfg.dc
        source = (
            service.RecordSource.LOCAL_PEER
            if is_local
            else service.RecordSource.REMOTE_PEER
        )
        if service.receive_records(config_deps, ctx.config, batch, source):
            wire_config.apply_config(ctx)

    def on_suspect(record):
        core.merge_record(ctx.suspects, record, time.time())

    def on_gossip(message):
        if not isinstance(message, core.Leave):
            nodes.reset_backoff(ctx.links, message.sender.address)
        service.handle_gossip(membership_deps, ctx.membership, message)

    return nodes.Handlers(
        run_sub=run_sub,
        on_gossip=on_gossip,
        on_config=on_config,
        read_config=functools.partial(
            service.answer_sync, config_deps, ctx.config
        ),
        on_suspect=on_suspect,
    )


def _find_contract(ctx, contract_id):
    return core.find_contract(ctx.config.state, contract_id)


def _fingerprint(req):
    return core.fingerprint_text(req.index, req.query)


def _clear_suspect(ctx, req):
    cleared = core.clear_request(ctx.suspects, _fingerprint(req), time.time())
    if cleared is not None:
        for member in contexts.list_peers(ctx):
            nodes.send_suspect(ctx.links, member.address, cleared)


def _make_expected_wait(ctx):
    cache = {}

    def expected_wait(plan, rank):
        now = time.monotonic()
        key = (plan.index, plan.snapshot, rank)
        wait, expires_at = cache.get(key, (0.0, 0.0))
        if now >= expires_at:
            wait = _find_worst_wait(ctx.table, plan, rank, now)
            cache[key] = (wait, now + WAIT_CACHE_TTL)
        return wait

    return expected_wait


def _find_worst_wait(table, plan, rank, now):
    observed = table.observed
    worst = 0.0
    for piece in plan.pieces:
        waits = [
            core.queue_delay(observed[replica_id], rank, now)
            for replica_id in piece.candidates
            if replica_id in observed
        ]
        worst = max(worst, min(waits, default=0.0))
    return worst
