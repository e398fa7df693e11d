"""Composition root of a front node on the users' platform."""

import asyncio
import contextlib
import functools
import math
import random
import signal
import time

from citronweir import core
from citronweir import listeners
from citronweir import nodes
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _front_context as contexts
from citronweir.programs import _front_convictions as convictions
from citronweir.programs import _front_crash_reports as crash_reports
from citronweir.programs import _front_nodes as front_nodes
from citronweir.programs import _front_notices as notices
from citronweir.programs import _front_requests as requests
from citronweir.programs import _front_store as store
from citronweir.programs import _front_tenants as tenants

UPKEEP_INTERVAL = 0.25  # seconds
# Shares of the time between SIGTERM and SIGKILL after which a node starts to
# close its ingress, ends the requests in progress and must have closed the
# ingress. The balancer needs up to two seconds to notice, and requests
# admitted until then are still finished. Replicas may work on them until the
# last sixth of the time.
STOP_SERVE_SHARE = 0.6
STOP_END_SHARE = 0.84
STOP_CLOSE_SHARE = 0.9
SYNC_INTERVAL = 1.0  # seconds
# Delay between reading the store and watching it. Nodes that start together
# know too few others at first, and most of them would act as watchers.
WATCH_START_DELAY = 0.5  # seconds
# Time for answers to other nodes to be sent when a node stops.
LINKS_CLOSE_TIMEOUT = 0.2  # seconds


async def run_front(boot: platform.BootSettings) -> None:
    """Runs a front node until SIGTERM.

    Args:
        boot: Settings from the platform.

    Raises:
        OSError: A port cannot be opened.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        ctx = await _build_context(boot, stack)
        loop.add_signal_handler(signal.SIGHUP, _log_reload, ctx)
        await _serve(ctx, stopped)
    telemetry.log(telemetry.Event.NODE_STOPPED, node=boot.node_id)


async def _build_context(boot, stack):
    session = await stack.enter_async_context(platform.make_store_session())
    rng = random.Random()
    own = core.ListedNode(
        boot.node_id,
        core.Address(boot.host, boot.node_ports[0]),
        boot.dc,
        core.Incarnation(time.time_ns() // 1_000_000),
    )
    identity = nodes.Identity(
        own.node_id, own.dc, own.incarnation, cluster_key=b''
    )
    ctx = contexts.FrontContext(
        boot=boot,
        own=own,
        identity=identity,
        rng=rng,
        session=session,
        links=nodes.open_links(identity, rng),
        channels=upstreams.Channels(time.monotonic),
        extra=core.ExtraLoad(
            boot.extra_attempt_ratio,
            boot.extra_attempt_slack,
            core.ASSUMED_NODES_PER_DC * max(1, len(boot.regions)),
        ),
        started_at=time.monotonic(),
        locality=core.Locality(boot.dc, boot.regions),
        intake=core.make_intake(boot.memory_bytes),
        log_limits=telemetry.make_log_limits(),
    )
    ctx.catalogue.directory.on_excluded = functools.partial(
        notices.move_waiting_requests, ctx
    )
    return ctx


async def _serve(ctx, stopped):
    boot = ctx.boot
    readiness = None
    if boot.readiness is not None:
        readiness = await platform.start_readiness(
            boot.readiness, lambda: _is_ready(ctx)
        )
    metrics = await listeners.start_text_server(
        core.Address(boot.host, platform.METRICS_PORT),
        {'/metrics': lambda: (200, _render_metrics(ctx))},
        {'/explain': functools.partial(_answer_query, ctx)},
    )
    quota_deps = tenants.make_quota_dependencies(ctx)
    request_deps = requests.make_request_dependencies(ctx, quota_deps)

    async def handle(req):
        return await service.run_request(request_deps, req)

    ingress = await platform.start_ingress(
        boot.callers,
        handle,
        lambda: _caller_limits(ctx),
        ctx.rng,
        ctx.intake,
        core.find_max_conns(boot.memory_bytes, boot.max_fds),
    )
    config_deps = store.make_config_dependencies(ctx, lambda: _run_upkeep(ctx))
    node_server = await nodes.start_server(
        ctx.own.address,
        ctx.identity,
        front_nodes.make_node_handlers(
            ctx, request_deps, config_deps, quota_deps
        ),
    )
    tasks = _start_tasks(ctx, config_deps)
    registration = asyncio.create_task(
        service.run_registration(
            front_nodes.make_registry_dependencies(ctx), ctx.registration
        )
    )
    await stopped.wait()
    registration.cancel()
    await _stop(ctx, ingress, request_deps)
    for task in tasks:
        task.cancel()
    await nodes.close_server(node_server, LINKS_CLOSE_TIMEOUT)
    await nodes.close_links(ctx.links)
    upstreams.close_all(ctx.channels)
    await metrics.cleanup()
    if readiness is not None:
        await readiness.cleanup()


def _start_tasks(ctx, config_deps):
    async def push():
        crash_reports.push_reports(ctx)
        notices.push_departures(ctx)

    async def sync():
        if ctx.config.ready:
            await service.sync_config(config_deps, ctx.config)

    coros = (
        _run_config(ctx, config_deps),
        service.run_periodically('sync', SYNC_INTERVAL, sync, ctx.rng),
        service.run_periodically('reports', SYNC_INTERVAL, push, ctx.rng),
        service.run_periodically(
            'convictions',
            convictions.CHECK_INTERVAL,
            lambda: convictions.write_due(ctx),
            ctx.rng,
        ),
        service.run_periodically(
            'upkeep', UPKEEP_INTERVAL, lambda: _run_upkeep_round(ctx), ctx.rng
        ),
    )
    return [asyncio.create_task(coro) for coro in coros]


async def _stop(ctx, ingress, request_deps):
    """Serves until the balancer has noticed, then closes the ingress."""
    boot = ctx.boot
    telemetry.log(telemetry.Event.NODE_STOPPING, node=boot.node_id)
    ctx.is_stopping = ingress.is_stopping = True
    started = time.monotonic()
    ctx.stop_at = started + boot.termination_grace * STOP_END_SHARE
    asyncio.get_running_loop().call_at(
        ctx.stop_at, service.end_requests, request_deps
    )
    lease = ctx.registration.lease
    if lease is not None:
        # Other nodes stop asking this one once its record is removed.
        await platform.end_lease(ctx.session, boot.store, lease)
    close_at = started + boot.termination_grace * STOP_SERVE_SHARE
    await asyncio.sleep(max(0.0, close_at - time.monotonic()))
    deadline = started + boot.termination_grace * STOP_CLOSE_SHARE
    await platform.close_ingress(
        ingress, max(0.0, deadline - time.monotonic())
    )


async def _run_config(ctx, config_deps):
    await service.load_config(config_deps, ctx.config)
    telemetry.log(
        telemetry.Event.NODE_READY, node=ctx.boot.node_id, dc=ctx.boot.dc
    )
    # Opens connections before the first requests need them.
    _run_upkeep(ctx)
    await asyncio.sleep(WATCH_START_DELAY)
    await service.run_watch(config_deps, ctx.config)


def _answer_query(ctx, query, headers):
    # Operators ask rarely, and a front node is spared the import until then.
    from citronweir.programs import _front_explain as explaining

    return explaining.answer_query(ctx, query, headers)


def _is_ready(ctx):
    return (
        ctx.catalogue.index is not None
        and not ctx.is_stopping
        and tenants.serves_tenants(ctx)
    )


def _render_metrics(ctx):
    catalogue, state = ctx.catalogue, ctx.config.state
    index = catalogue.index
    now = time.monotonic()
    age = max(0.0, service.read_boot_clock() - ctx.config.confirmed_boot)
    suspect_counts = core.count_states(ctx.crash_reports, now)
    return telemetry.render(
        ctx.counters,
        {
            'configuration_version': index.table.version if index else 0,
            'configuration_revision': state.complete_to,
            'configuration_age_seconds': age,
            'nodes': ctx.extra.nodes,
            'replicas': len(catalogue.directory.replicas),
            'replicas_avoided': sum(
                core.is_avoided(load, now) for load in ctx.loads.values()
            ),
            'replicas_limited': sum(
                not math.isinf(load.capacity.limit)
                for load in ctx.loads.values()
            ),
            'replicas_departed': len(catalogue.directory.departures.epochs),
            'replicas_paused': len(ctx.pauses),
            'data_centres_evacuated': len(catalogue.directory.evacuated),
            'uploads': len(ctx.intake.uploads),
            'upload_bytes': ctx.intake.total,
            'quotas_kept': len(ctx.quotas.buckets),
            'tenants_limited_now': len(ctx.quotas.limited_until),
            'connections': upstreams.count_conns(ctx.channels),
            'connections_opened': ctx.channels.opened_total,
            'requests_suspected': suspect_counts[core.SuspectState.SUSPECT],
            'requests_convicted': suspect_counts[core.SuspectState.CONVICTED],
            'streams': nodes.count_open(ctx.links),
        },
    )


def _caller_limits(ctx):
    index = ctx.catalogue.index
    return core.CallerLimits() if index is None else index.table.limits


async def _run_upkeep_round(ctx):
    _run_upkeep(ctx)


def _run_upkeep(ctx):
    """Drops expired state and opens streams and connections.

    It also runs immediately when routes change: the first requests of new
    routes need streams and connections, and token buckets for their services.
    """
    now = time.monotonic()
    directory, channels = ctx.catalogue.directory, ctx.channels
    core.expire_entries(directory, now)
    core.expire_departures(directory.departures, directory.replicas, now)
    core.expire_pauses(ctx.pauses, now)
    service.expire_quotas(ctx.quotas, now)
    core.expire_nodes(ctx.catalogue.nodes, now)
    ctx.extra.nodes = core.count_nodes(
        ctx.catalogue.nodes,
        ctx.own.node_id,
        len(ctx.boot.regions),
        now - ctx.started_at,
        now,
    )
    front_nodes.open_owner_streams(ctx)
    upstreams.close_unlisted(channels, directory.replicas)
    for replica_id in ctx.loads.keys() - directory.replicas.keys():
        del ctx.loads[replica_id]
    for event, count in telemetry.take_dropped(ctx.log_limits).items():
        telemetry.log(
            telemetry.Event.LINES_DROPPED,
            count=count,
            number=event.value.number,
        )
    if ctx.catalogue.index is None or ctx.is_stopping:
        return
    requests.update_owned_shards(ctx)
    _warm_connections(ctx)


def _warm_connections(ctx):
    """Keeps an idle connection open to each replica that this node uses."""
    directory, table = ctx.catalogue.directory, ctx.catalogue.index.table
    owned = ctx.extra.owned
    for name in core.list_services(table):
        if not requests.is_kept_warm(ctx, name, owned):
            continue
        for replica in core.list_usable(directory, name):
            limit = requests.conn_limit(ctx, name)
            upstreams.warm(ctx.channels, replica, limit)


def _log_reload(ctx):
    """Logs SIGHUP; changed settings take effect only after a restart."""
    boot = platform.read_boot()
    detail = 'no change that applies while running'
    if isinstance(boot, platform.BootSettingsError):
        detail = str(boot)
    telemetry.log(telemetry.Event.SETTINGS_RELOADED, detail=detail)
