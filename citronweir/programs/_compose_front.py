"""Composition root of a front node on the users' platform."""

import asyncio
import contextlib
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
from citronweir.programs import _front_crash_reports as crash_reports
from citronweir.programs import _front_nodes as wiring
from citronweir.programs import _front_parts as parts_
from citronweir.programs import _front_requests as requests
from citronweir.programs import _front_store as store

UPKEEP_INTERVAL = 0.25  # seconds
# Parts of the time between SIGTERM and SIGKILL. The balancer needs up to
# two seconds to notice, and what is admitted until then still finishes.
STOP_SERVE_SHARE = 0.6
STOP_END_SHARE = 0.8
SYNC_INTERVAL = 1.0  # seconds
# Seconds for which a node that has read the store does not watch it yet.
# Nodes that start together know too few others at first, and most of them
# would take themselves for watchers.
WATCH_DELAY = 0.5
# Seconds to wait for answers to other nodes when the streams close.
LINKS_END_TIME = 0.2


async def run_front(boot: platform.BootSettings) -> None:
    """Runs a front node until SIGTERM.

    Args:
        boot: Settings that the platform gave.

    Raises:
        OSError: A port cannot be opened.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        parts = await _build_parts(boot, stack)
        loop.add_signal_handler(signal.SIGHUP, _note_reload, parts)
        await _serve(parts, stopped)
    telemetry.log(telemetry.Event.NODE_STOPPED, node=boot.node_id)


async def _build_parts(boot, stack):
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
    return parts_.FrontParts(
        boot=boot,
        own=own,
        identity=identity,
        rng=rng,
        session=session,
        links=nodes.open_links(identity, rng),
        lanes=upstreams.Lanes(time.monotonic),
        extra=core.ExtraLoad(
            boot.extra_attempt_ratio,
            boot.extra_attempt_slack,
            core.ASSUMED_NODES_PER_DC * max(1, len(boot.regions)),
        ),
        started=time.monotonic(),
        locality=core.Locality(boot.dc, boot.regions),
        log_limits=telemetry.make_log_limits(),
    )


async def _serve(parts, stopped):
    boot = parts.boot
    readiness = None
    if boot.readiness is not None:
        readiness = await platform.start_readiness(
            boot.readiness, lambda: _is_ready(parts)
        )
    metrics = await listeners.start_texts(
        core.Address(boot.host, platform.METRICS_PORT),
        {'/metrics': lambda: (200, _render_metrics(parts))},
    )
    peers = requests.make_request_peers(parts)

    async def handle(req):
        return await service.run_request(peers, req)

    ingress = await platform.start_ingress(
        boot.callers, handle, lambda: _caller_limits(parts), parts.rng
    )
    config_peers = store.make_config_peers(parts, lambda: _keep_up(parts))
    node_server = await nodes.start_server(
        parts.own.address,
        parts.identity,
        wiring.make_node_handlers(parts, peers, config_peers),
    )
    tasks = _start_tasks(parts, config_peers)
    registration = asyncio.create_task(
        service.run_registration(
            wiring.make_registry_peers(parts), parts.registration
        )
    )
    await stopped.wait()
    registration.cancel()
    await _stop(parts, ingress)
    for task in tasks:
        task.cancel()
    await nodes.close_server(node_server, LINKS_END_TIME)
    await nodes.close_links(parts.links)
    upstreams.close_all(parts.lanes)
    await metrics.cleanup()
    if readiness is not None:
        await readiness.cleanup()


def _start_tasks(parts, config_peers):
    async def push():
        crash_reports.push_reports(parts)

    async def sync():
        if parts.config.ready:
            await service.sync_config(config_peers, parts.config)

    coros = (
        _run_config(parts, config_peers),
        service.run_periodically('sync', SYNC_INTERVAL, sync, parts.rng),
        service.run_periodically('reports', SYNC_INTERVAL, push, parts.rng),
        service.run_periodically(
            'upkeep', UPKEEP_INTERVAL, lambda: _upkeep(parts), parts.rng
        ),
    )
    return [asyncio.create_task(coro) for coro in coros]


async def _stop(parts, ingress):
    """Serves on until the balancer has noticed, then ends what is left."""
    boot = parts.boot
    telemetry.log(telemetry.Event.NODE_STOPPING, node=boot.node_id)
    parts.is_stopping = ingress.is_stopping = True
    started = time.monotonic()
    lease = parts.registration.lease
    if lease is not None:
        # Other nodes stop asking this one as soon as its record is gone.
        await platform.end_lease(parts.session, boot.store, lease)
    served = started + boot.termination_grace * STOP_SERVE_SHARE
    await asyncio.sleep(max(0.0, served - time.monotonic()))
    end = started + boot.termination_grace * STOP_END_SHARE
    await platform.close_ingress(ingress, max(0.0, end - time.monotonic()))


async def _run_config(parts, peers):
    await service.load_config(peers, parts.config)
    telemetry.log(
        telemetry.Event.NODE_READY, node=parts.boot.node_id, dc=parts.boot.dc
    )
    # Connections are opened before the first requests need them.
    _keep_up(parts)
    await asyncio.sleep(WATCH_DELAY)
    await service.run_watch(peers, parts.config)


def _is_ready(parts):
    return parts.catalogue.index is not None and not parts.is_stopping


def _render_metrics(parts):
    catalogue, state = parts.catalogue, parts.config.state
    index = catalogue.index
    now = time.monotonic()
    age = max(0.0, now - parts.config.confirmed_at)
    blamed = core.count_states(parts.crash_reports, now)
    return telemetry.render(
        parts.counters,
        {
            'configuration_version': index.table.version if index else 0,
            'configuration_revision': state.complete_to,
            'configuration_age_seconds': age,
            'nodes': parts.extra.nodes,
            'replicas': len(catalogue.directory.replicas),
            'replicas_avoided': sum(
                core.is_avoided(load, now) for load in parts.loads.values()
            ),
            'connections': upstreams.count_conns(parts.lanes),
            'connections_opened': parts.lanes.opened_total,
            'requests_suspected': blamed[core.SuspectState.SUSPECT],
            'requests_convicted': blamed[core.SuspectState.CONVICTED],
            'streams': nodes.count_open(parts.links),
        },
    )


def _caller_limits(parts):
    index = parts.catalogue.index
    return core.CallerLimits() if index is None else index.table.limits


async def _upkeep(parts):
    _keep_up(parts)


def _keep_up(parts):
    """Drops what is gone and keeps a connection to each replica open.

    It also runs at once when routes change, since their first requests
    need the streams and connections, and fill the buckets of their
    services.
    """
    now = time.monotonic()
    directory, lanes = parts.catalogue.directory, parts.lanes
    core.expire_entries(directory, now)
    core.expire_nodes(parts.catalogue.nodes, now)
    parts.extra.nodes = core.count_nodes(
        parts.catalogue.nodes,
        parts.own.node_id,
        len(parts.boot.regions),
        now - parts.started,
        now,
    )
    wiring.keep_streams(parts)
    upstreams.keep_only(lanes, directory.replicas)
    for replica_id in parts.loads.keys() - directory.replicas.keys():
        del parts.loads[replica_id]
    for event, count in telemetry.take_dropped(parts.log_limits).items():
        telemetry.log(
            telemetry.Event.LINES_DROPPED,
            count=count,
            number=event.value.number,
        )
    if parts.catalogue.index is None or parts.is_stopping:
        return
    requests.note_owned(parts)
    _warm(parts)


def _warm(parts):
    """Keeps a connection open to each replica that this node uses."""
    directory, table = parts.catalogue.directory, parts.catalogue.index.table
    owned = parts.extra.owned
    for name in core.list_services(table):
        if not requests.is_kept_warm(parts, name, owned):
            continue
        for replica in core.list_usable(directory, name):
            limit = requests.conn_limit(parts, name)
            upstreams.warm(parts.lanes, replica, limit)


def _note_reload(parts):
    """Logs SIGHUP; the settings that matter here need a restart."""
    boot = platform.read_boot()
    detail = 'no change that applies while running'
    if isinstance(boot, platform.BootSettingsError):
        detail = str(boot)
    telemetry.log(telemetry.Event.SETTINGS_RELOADED, detail=detail)
