"""Faults of the soak test, drawn from a seed and injected from outside.

Each fault is a coroutine that injects the fault, waits and clears it; several
run concurrently. The disturbances are recorded, since some guarantees apply
only to nodes that are running and reach the store.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import time

from bench import _soak_checks as checks
from fakes import front_fleet as fleets
from fakes import platform_replica as replicas
from fakes import platform_store as stores
from fakes import proxy as proxies

LINK_FAULTS = tuple(proxies.LinkMode)[1:]
OUTAGES = tuple(stores.Outage)[1:]
REPLICA_FAULTS = tuple(
    fault for fault in replicas.Fault if fault not in replicas.ENDLESS
)[1:]
MAX_ACTIVE = 3  # faults at the same time
MAX_GAP = 0.8  # seconds between the starts of two faults
# Time between SIGTERM and SIGKILL, within which a node must exit.
GRACE_PERIOD = 2.0  # seconds
EXIT_SLACK = 1.0  # seconds; processes start and exit late on a busy machine


@dataclasses.dataclass(slots=True)
class SoakRun:
    """State of a soak run.

    Attributes:
        version: Configuration version that was written last.
        disturbances: Disturbances that have ended.
        drains: Drains that have ended.
        departures: Times in which a replica said in answers that it leaves.
        link_faults: Faults of connections to replicas that have ended.
        errors: Errors that the fault injection itself found.
        busy: Nodes being stopped or paused by a signal, and draining
            replicas.
        is_crashing: Whether replicas also crash at random times.
        has_notices: Whether replicas also leave or ask for a pause, which
            only their answers say.
        keys: API keys of the tenant, the newest last; empty without tenants.
        withdrawn: Monotonic time at which each further key was withdrawn.
    """

    fleet: fleets.Fleet
    rng: random.Random
    version: int = 3
    disturbances: list[checks.Disturbance] = dataclasses.field(
        default_factory=list
    )
    drains: list[checks.Drain] = dataclasses.field(default_factory=list)
    departures: list[checks.Drain] = dataclasses.field(default_factory=list)
    link_faults: list[checks.Disturbance] = dataclasses.field(
        default_factory=list
    )
    errors: list[str] = dataclasses.field(default_factory=list)
    busy: set[str] = dataclasses.field(default_factory=set)
    is_crashing: bool = False
    has_notices: bool = False
    keys: list[str] = dataclasses.field(default_factory=list)
    withdrawn: dict[str, float] = dataclasses.field(default_factory=dict)


def put_config(soak_run: SoakRun) -> None:
    """Writes the configuration of the current version and keys."""
    valid = [key for key in soak_run.keys if key not in soak_run.withdrawn]
    tenant = {'name': checks.TENANT, 'api_keys': valid, 'priority': 1}
    fleets.put_config(
        soak_run.fleet.store,
        soak_run.version,
        *make_routes(soak_run.version),
        tenants=[tenant] if soak_run.keys else [],
    )


def make_routes(version: int) -> list[dict]:
    """Returns the routes of a version; one path contains the version."""
    gather = {'gather': list(fleets.SERVICES), 'top_k': 4}
    order = {'kind': 'non_idempotent', 'backend': 's0', 'name': 'order'}
    return [
        fleets.make_route(**gather),
        fleets.make_route(path_prefix='/p/', backend='s1', name='plain'),
        fleets.make_route(path_prefix='/order/', **order),
        fleets.make_route(
            path_prefix=f'/v{version}/',
            backend='s1',
            name=f'v{version}',
            public=True,
        ),
    ]


async def run_faults(soak_run: SoakRun, seconds: float) -> None:
    """Injects faults for some seconds and returns when all are cleared.

    Each run uses a random subset of the kinds of faults, so that some runs
    repeat a few kinds often.
    """
    kinds = soak_run.rng.sample(FAULTS, soak_run.rng.randint(2, len(FAULTS)))
    if soak_run.has_notices:
        kinds += NOTICE_FAULTS
    if soak_run.keys:
        kinds += TENANT_FAULTS
    end = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        active = set()
        if soak_run.is_crashing:
            group.create_task(_crash_replicas(soak_run, end))
        while time.monotonic() < end:
            await asyncio.sleep(soak_run.rng.uniform(0.1, MAX_GAP))
            if len(active) >= MAX_ACTIVE:
                continue
            task = group.create_task(soak_run.rng.choice(kinds)(soak_run))
            active.add(task)
            task.add_done_callback(active.discard)


async def _crash_replicas(soak_run, end):
    """Crashes one random replica after another."""
    while time.monotonic() < end:
        await asyncio.sleep(soak_run.rng.uniform(0.2, 1.5))
        name = soak_run.rng.choice(sorted(soak_run.fleet.replicas))
        replicas.end(soak_run.fleet.replicas[name].state)


@contextlib.asynccontextmanager
async def _reserve_node(soak_run):
    """Reserves a node that no other fault is signalling, None without one."""
    free = sorted(soak_run.fleet.nodes.keys() - soak_run.busy)
    name = soak_run.rng.choice(free) if free else None
    soak_run.busy.add(name)
    try:
        yield name
    finally:
        soak_run.busy.discard(name)


@contextlib.contextmanager
def _record_disturbance(soak_run, subject, loses_replies=False):
    start = time.monotonic()
    try:
        yield
    finally:
        end = time.monotonic()
        soak_run.disturbances.append(
            checks.Disturbance(subject, start, end, loses_replies)
        )


async def _pause_node(soak_run):
    async with _reserve_node(soak_run) as name:
        if name is None:
            return
        proc = soak_run.fleet.nodes[name].proc
        with _record_disturbance(soak_run, name, loses_replies=True):
            proc.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak_run.rng.uniform(0.1, 2.5))
            proc.send_signal(signal.SIGCONT)


async def _kill_node(soak_run):
    async with _reserve_node(soak_run) as name:
        if name is None:
            return
        with _record_disturbance(soak_run, name, loses_replies=True):
            proc = soak_run.fleet.nodes[name].proc
            proc.kill()
            await proc.wait()
            await asyncio.sleep(soak_run.rng.uniform(0.0, 1.0))
            await _restart_node(soak_run, name)


async def _stop_node(soak_run):
    async with _reserve_node(soak_run) as name:
        if name is None:
            return
        with _record_disturbance(soak_run, name):
            proc = soak_run.fleet.nodes[name].proc
            if soak_run.rng.random() < 0.5:
                proc.send_signal(signal.SIGHUP)
            proc.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE_PERIOD + EXIT_SLACK):
                    status = await proc.wait()
            except TimeoutError:
                state = _read_process_state(proc.pid)
                soak_run.errors.append(
                    f'{name} did not exit in time, process state {state}'
                )
                proc.kill()
                status = await proc.wait()
            if status:
                soak_run.errors.append(f'{name} exited with status {status}')
            await _restart_node(soak_run, name)


def _read_process_state(pid):
    """Reads the state of a process and the kernel function it waits in."""
    folder = pathlib.Path('/proc', str(pid))
    try:
        state = (folder / 'stat').read_text().rpartition(')')[2].split()[0]
        return f'{state} {(folder / "wchan").read_text()}'
    except OSError as exc:
        return repr(exc)


async def _restart_node(soak_run, name):
    await fleets.start_node(soak_run.fleet, name)
    with contextlib.suppress(TimeoutError):
        await fleets.wait_for(
            lambda: fleets.is_ready(soak_run.fleet, name), 3.0
        )


async def _reload_node(soak_run):
    async with _reserve_node(soak_run) as name:
        if name is not None:
            soak_run.fleet.nodes[name].proc.send_signal(signal.SIGHUP)


async def _fail_store(soak_run):
    with _record_disturbance(soak_run, ''):
        soak_run.fleet.store.outage = soak_run.rng.choice(OUTAGES)
        await asyncio.sleep(soak_run.rng.uniform(0.2, 3.0))
        soak_run.fleet.store.outage = stores.Outage.NONE


async def _fail_store_for_node(soak_run):
    name = soak_run.rng.choice(sorted(soak_run.fleet.nodes))
    with _record_disturbance(soak_run, name):
        soak_run.fleet.store.machine_outages[name] = soak_run.rng.choice(
            OUTAGES
        )
        await asyncio.sleep(soak_run.rng.uniform(0.2, 4.0))
        soak_run.fleet.store.machine_outages.pop(name, None)


async def _disturb_node_link(soak_run):
    name = soak_run.rng.choice(sorted(soak_run.fleet.nodes))
    proxy = soak_run.fleet.nodes[name].proxy
    with _record_disturbance(soak_run, name):
        await _disturb_link(soak_run, proxy)


async def _disturb_replica_link(soak_run):
    name = soak_run.rng.choice(sorted(soak_run.fleet.replicas))
    start = time.monotonic()
    await _disturb_link(soak_run, soak_run.fleet.replicas[name].proxy)
    soak_run.link_faults.append(
        checks.Disturbance(name, start, time.monotonic())
    )


async def _disturb_link(soak_run, proxy):
    proxies.set_link_mode(proxy, soak_run.rng.choice(LINK_FAULTS))
    await asyncio.sleep(soak_run.rng.uniform(0.1, 2.0))
    # New connections pass again. One that lost bytes stays silent, while one
    # that was reset has failed at once.
    proxies.set_link_mode(proxy, proxies.LinkMode.PASS)


async def _disrupt_store(soak_run):
    store = soak_run.fleet.store
    with _record_disturbance(soak_run, ''):
        store.are_watches_silent = soak_run.rng.random() < 0.5
        store.lost_reply_count = soak_run.rng.randint(0, 2)
        store.delayed_write_count = soak_run.rng.randint(0, 2)
        if store.leases and soak_run.rng.random() < 0.5:
            stores.end_lease(store, soak_run.rng.choice(sorted(store.leases)))
        await asyncio.sleep(soak_run.rng.uniform(0.1, 1.5))
        stores.drop_history(store)
        stores.apply_delayed_writes(store)
        store.lost_reply_count = store.delayed_write_count = 0
        store.are_watches_silent = False


async def _drain_replica(soak_run):
    name = soak_run.rng.choice(sorted(soak_run.fleet.replicas))
    if name in soak_run.busy:
        return
    soak_run.busy.add(name)
    fleets.put_replica(soak_run.fleet, name, 'draining')
    start = time.monotonic()
    await asyncio.sleep(soak_run.rng.uniform(0.5, 6.0))
    soak_run.drains.append(checks.Drain(name, start, time.monotonic()))
    fleets.put_replica(soak_run.fleet, name)
    soak_run.busy.discard(name)


async def _leave_replica(soak_run):
    """Lets a replica say in answers that it leaves, then start again.

    The store lists it as ready all the while.
    """
    name = soak_run.rng.choice(sorted(soak_run.fleet.replicas))
    if name in soak_run.busy:
        return
    soak_run.busy.add(name)
    replica = soak_run.fleet.replicas[name]
    replica.state.is_leaving = True
    await asyncio.sleep(soak_run.rng.uniform(2.0, 7.0))
    if replica.state.left_at is not None:
        soak_run.departures.append(
            checks.Drain(name, replica.state.left_at, time.monotonic())
        )
    replica.state.is_leaving, replica.state.left_at = False, None
    replica.born += 1
    fleets.put_replica(soak_run.fleet, name)
    soak_run.busy.discard(name)


async def _pause_replicas(soak_run):
    """Lets the replicas of a service refuse requests and ask for a pause."""
    service = soak_run.rng.choice(fleets.SERVICES)
    states = [
        replica.state
        for replica in soak_run.fleet.replicas.values()
        if replica.service == service
    ]
    for state in soak_run.rng.sample(
        states, soak_run.rng.randint(1, len(states))
    ):
        state.retry_after = f'{soak_run.rng.uniform(0.6, 3.0):.2f}'
        state.faults += [replicas.Fault.SHED] * 3
    await asyncio.sleep(soak_run.rng.uniform(1.0, 3.0))
    for state in states:
        state.retry_after = ''


async def _fail_replica(soak_run):
    name = soak_run.rng.choice(sorted(soak_run.fleet.replicas))
    state = soak_run.fleet.replicas[name].state
    state.faults += soak_run.rng.choices(REPLICA_FAULTS, k=5)
    state.delay = soak_run.rng.choice((0.0, 0.01, 0.2))
    await asyncio.sleep(soak_run.rng.uniform(0.2, 2.0))
    state.faults.clear()
    state.delay = 0.0


async def _change_config(soak_run):
    for _ in range(soak_run.rng.randint(1, 4)):
        soak_run.version += soak_run.rng.randint(1, 5)
        put_config(soak_run)
        await asyncio.sleep(soak_run.rng.uniform(0.0, 0.5))


async def _replace_key(soak_run):
    """Withdraws the newest key, unless it is the only one, and adds one."""
    if len(soak_run.keys) > 1:
        soak_run.withdrawn[soak_run.keys[-1]] = time.monotonic()
    soak_run.keys.append(f'key{len(soak_run.keys)}')
    soak_run.version += 1
    put_config(soak_run)


FAULTS = (
    _pause_node,
    _kill_node,
    _stop_node,
    _reload_node,
    _fail_store,
    _fail_store_for_node,
    _disturb_node_link,
    _disturb_replica_link,
    _disrupt_store,
    _drain_replica,
    _fail_replica,
    _change_config,
)
# Kept apart, so that a seed without them draws the same faults as before.
TENANT_FAULTS = (_replace_key, _replace_key)
NOTICE_FAULTS = (_leave_replica, _pause_replicas)
