"""Composition root of a node: builds, wires and runs its components."""

import asyncio
import contextlib
import functools
import random
import signal
import time

from citronweir import callers
from citronweir import core
from citronweir import listeners
from citronweir import metastore
from citronweir import nodes
from citronweir import operators
from citronweir import service
from citronweir import settings
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _gauges as gauges
from citronweir.programs import _node_context as contexts
from citronweir.programs import _wire_config as wire_config
from citronweir.programs import _wire_front as wire_front
from citronweir.programs import _wire_replicas as wire_replicas

SYNC_INTERVAL = 1.0  # seconds
PROBE_INTERVAL = 1.0  # seconds
VMS_INTERVAL = 1.0  # seconds
EXPORT_INTERVAL = 1.0  # seconds
UPKEEP_INTERVAL = 5.0  # seconds
COMPACT_INTERVAL = 3600.0  # seconds
# Maximum number of connections to the operators' port and to the metrics port,
# each.
MAX_CONTROL_CONNS = 64
# Maximum time that an admitted request may take.
MAX_REQUEST_TIME = callers.MAX_BUDGET + 1.0  # seconds


async def run_node(cfg: settings.Settings) -> None:
    """Runs a node until SIGTERM or SIGINT.

    Args:
        cfg: Checked settings.

    Raises:
        OSError: A port cannot be opened.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        ctx = await _build_context(cfg, stack)
        await _serve(ctx, stack, stopped)
    telemetry.log(telemetry.Event.NODE_STOPPED, node=cfg.node_id)


async def _build_context(cfg, stack):
    kv_session = await stack.enter_async_context(metastore.make_session())
    pools = await stack.enter_async_context(upstreams.open_pools())
    rng = random.Random()
    now = time.monotonic()
    incarnation = core.Incarnation(time.time_ns() // 1_000_000)
    identity = nodes.Identity(
        cfg.node_id, cfg.dc, incarnation, cfg.cluster_key.encode()
    )
    own = core.Member(
        cfg.node_id,
        cfg.advertised or core.Address(cfg.host, cfg.nodes_port),
        cfg.dc,
        core.MemberState.ALIVE,
        incarnation,
    )
    suspects, metrics = core.SuspectTable(), telemetry.make_metrics()
    budgets = {
        rank: core.make_budgets(cfg.hedge_budget, cfg.retry_budget)
        for rank in core.Rank
    }
    return contexts.NodeContext(
        cfg=cfg,
        rng=rng,
        identity=identity,
        kv_session=kv_session,
        call_limits=metastore.make_limits(
            cfg.kv_reads,
            cfg.kv_writes,
            now,
            lambda kind, result: telemetry.record_platform_call(
                metrics, kind.value, result
            ),
        ),
        pools=pools,
        links=nodes.open_links(identity, rng),
        membership=core.make_membership(
            own, cfg.seeds, core.merge_replica, rng, now
        ),
        assignment=core.Assignment(),
        table=core.ReplicaTable(),
        owner=service.Owner(cfg.shares, cfg.queue_limit, suspects),
        suspects=suspects,
        config=service.Configuration(),
        budgets=budgets,
        admission=core.Admission(cfg.max_searches),
        stop=service.make_stop_state(),
        metrics=metrics,
    )


async def _serve(ctx, stack, stopped):
    cfg = ctx.cfg
    membership_deps = wire_replicas.make_membership_dependencies(ctx)
    probe_deps = wire_replicas.make_probe_dependencies(ctx, membership_deps)
    owner_deps = wire_replicas.make_owner_dependencies(
        ctx, membership_deps, probe_deps
    )
    dispatch_deps = wire_replicas.make_dispatch_dependencies(ctx, owner_deps)
    config_deps = wire_config.make_config_dependencies(ctx)
    handlers = wire_front.make_caller_handlers(
        ctx,
        wire_front.make_search_dependencies(ctx, dispatch_deps),
        wire_front.make_order_dependencies(ctx, dispatch_deps),
        config_deps,
    )
    node_server = await nodes.start_server(
        core.Address(cfg.host, cfg.nodes_port),
        ctx.identity,
        wire_front.make_node_handlers(
            ctx, membership_deps, owner_deps, config_deps
        ),
    )
    caller_server = await callers.start_server(
        handlers,
        listeners.Limits(cfg.max_body_bytes, cfg.max_conns, cfg.read_timeout),
        cfg.host,
        cfg.callers_port,
    )
    tracing = _start_telemetry(ctx, config_deps, node_server)
    tasks = _start_loops(
        ctx, membership_deps, probe_deps, config_deps, tracing
    )
    await _serve_operators(ctx, stack, config_deps)
    await stopped.wait()
    telemetry.log(telemetry.Event.NODE_STOPPING, node=cfg.node_id)
    await service.stop_node(
        ctx.stop,
        service.StopDependencies(
            announce=functools.partial(
                service.broadcast_leave, membership_deps, ctx.membership
            ),
            close_callers=functools.partial(
                callers.stop_server, caller_server, MAX_REQUEST_TIME
            ),
            close_links=functools.partial(nodes.close_links, ctx.links),
            close_server=functools.partial(nodes.close_server, node_server),
        ),
        cfg.stop_grace,
        MAX_REQUEST_TIME,
    )
    for task in tasks:
        task.cancel()


def _start_telemetry(ctx, config_deps, node_server):
    cfg = ctx.cfg
    tracing = telemetry.start_tracing(
        cfg.trace_ratio, {'node': cfg.node_id, 'dc': cfg.dc}
    )
    telemetry.watch_values(
        ctx.metrics,
        lambda: gauges.list_gauges(ctx, config_deps, node_server, tracing),
    )
    return tracing


async def _serve_operators(ctx, stack, config_deps):
    cfg = ctx.cfg
    apps = {
        cfg.operators_port: operators.make_app(
            wire_front.make_operator_handlers(ctx, config_deps),
            cfg.operator_key,
        ),
        cfg.metrics_port: telemetry.make_metrics_app(ctx.metrics),
    }
    for port, app in apps.items():
        limits = listeners.Limits(
            cfg.max_body_bytes, MAX_CONTROL_CONNS, cfg.read_timeout
        )
        listener = await listeners.start_listener(app, limits, cfg.host, port)
        stack.push_async_callback(listeners.stop_listener, listener)


def _start_loops(ctx, membership_deps, probe_deps, config_deps, tracing):
    cfg = ctx.cfg
    probe_state = service.Probes()

    async def sync():
        await service.sync_config(config_deps, ctx.config)
        wire_config.apply_config(ctx)

    async def export():
        await telemetry.export_spans(tracing, ctx.kv_session, cfg.otlp_url)

    async def compact():
        await service.compact_config(config_deps, ctx.config)

    rounds = (
        ('sync', SYNC_INTERVAL, sync),
        (
            'probes',
            PROBE_INTERVAL,
            lambda: service.probe_owned(probe_state, probe_deps, ctx.rng),
        ),
        (
            'vms',
            VMS_INTERVAL,
            wire_replicas.make_vm_list_round(ctx, membership_deps),
        ),
        ('export', EXPORT_INTERVAL, export),
        ('upkeep', UPKEEP_INTERVAL, functools.partial(_upkeep, ctx)),
        ('compact', COMPACT_INTERVAL, compact),
    )
    coros = [
        service.run_periodically(name, interval, work, ctx.rng)
        for name, interval, work in rounds
    ]
    coros.append(service.run_membership(membership_deps, ctx.membership))
    coros.append(_run_config(ctx, config_deps))
    return [asyncio.create_task(coro) for coro in coros]


async def _run_config(ctx, config_deps):
    await service.load_config(config_deps, ctx.config)
    wire_config.apply_config(ctx)
    telemetry.log(
        telemetry.Event.NODE_READY, node=ctx.cfg.node_id, dc=ctx.cfg.dc
    )
    await service.run_watch(config_deps, ctx.config)


async def _upkeep(ctx):
    core.expire_records(ctx.suspects, time.time())
    # The membership drops failed and drained replicas after some time.
    known = ctx.membership.records.replicas
    for replica_id in core.prune_replicas(ctx.table, known, time.monotonic()):
        await upstreams.drop_replica(ctx.pools, replica_id)
    for replica_id in list(ctx.owner.replicas):
        owner = contexts.find_owner(ctx, replica_id)
        if owner is not None and owner.node_id != ctx.cfg.node_id:
            if service.drop_replica(ctx.owner, replica_id):
                await upstreams.drop_replica(ctx.pools, replica_id)
