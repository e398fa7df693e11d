"""Faults of a soak, drawn from a seed and injected from outside.

Each fault is a coroutine that starts, waits and clears itself; several
run at the same time. What they disturb is noted, since some promises hold
only for nodes that run and reach the store.
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

LINKS = tuple(proxies.LinkMode)[1:]
OUTAGES = tuple(stores.Outage)[1:]
REPLICA_FAULTS = tuple(replicas.Fault)[1:]
MAX_ACTIVE = 3  # faults at the same time
MAX_GAP = 0.8  # seconds between the starts of two faults
# A stopping node ends within its time between SIGTERM and SIGKILL.
GRACE = 2.0  # seconds
EXIT_SLACK = 1.0  # seconds; a busy machine starts and ends late


@dataclasses.dataclass(slots=True)
class World:
    """State of a soak.

    Attributes:
        version: Version of the configuration that was written last.
        spans: Disturbances that are over.
        drains: Drains that are over.
        errors: What the faults themselves found.
        busy: Nodes that a signal is ending or pausing, and replicas that
            drain.
        is_crashing: Whether replicas end by themselves as well.
    """

    fleet: fleets.Fleet
    rng: random.Random
    version: int = 3
    spans: list[checks.Span] = dataclasses.field(default_factory=list)
    drains: list[checks.Drain] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)
    busy: set[str] = dataclasses.field(default_factory=set)
    is_crashing: bool = False


def make_routes(version: int) -> list[dict]:
    """Returns the routes of a version; one of them names it."""
    gather = {'gather': list(fleets.SERVICES), 'top_k': 4}
    order = {'kind': 'non_idempotent', 'backend': 's0', 'name': 'order'}
    return [
        fleets.make_route(**gather),
        fleets.make_route(path_prefix='/p/', backend='s1', name='plain'),
        fleets.make_route(path_prefix='/order/', **order),
        fleets.make_route(
            path_prefix=f'/v{version}/', backend='s1', name=f'v{version}'
        ),
    ]


async def run_faults(world: World, seconds: float) -> None:
    """Injects faults for a time and returns when all are cleared.

    Each run draws the kinds that it uses, so that some runs repeat a few
    kinds often.
    """
    kinds = world.rng.sample(FAULTS, world.rng.randint(2, len(FAULTS)))
    end = time.monotonic() + seconds
    async with asyncio.TaskGroup() as group:
        active = set()
        if world.is_crashing:
            group.create_task(_end_replicas(world, end))
        while time.monotonic() < end:
            await asyncio.sleep(world.rng.uniform(0.1, MAX_GAP))
            if len(active) >= MAX_ACTIVE:
                continue
            task = group.create_task(world.rng.choice(kinds)(world))
            active.add(task)
            task.add_done_callback(active.discard)


async def _end_replicas(world, end):
    """Ends one replica after the other, as their processes crash."""
    while time.monotonic() < end:
        await asyncio.sleep(world.rng.uniform(0.2, 1.5))
        name = world.rng.choice(sorted(world.fleet.replicas))
        replicas.end(world.fleet.replicas[name].state)


@contextlib.asynccontextmanager
async def _take_node(world):
    """Gives a node that no other fault signals, or None."""
    free = sorted(world.fleet.nodes.keys() - world.busy)
    name = world.rng.choice(free) if free else None
    world.busy.add(name)
    try:
        yield name
    finally:
        world.busy.discard(name)


@contextlib.contextmanager
def _note_span(world, subject, is_cut=False):
    start = time.monotonic()
    try:
        yield
    finally:
        end = time.monotonic()
        world.spans.append(checks.Span(subject, start, end, is_cut))


async def _pause(world):
    async with _take_node(world) as name:
        if name is None:
            return
        proc = world.fleet.nodes[name].proc
        with _note_span(world, name, is_cut=True):
            proc.send_signal(signal.SIGSTOP)
            await asyncio.sleep(world.rng.uniform(0.1, 2.5))
            proc.send_signal(signal.SIGCONT)


async def _kill(world):
    async with _take_node(world) as name:
        if name is None:
            return
        with _note_span(world, name, is_cut=True):
            proc = world.fleet.nodes[name].proc
            proc.kill()
            await proc.wait()
            await asyncio.sleep(world.rng.uniform(0.0, 1.0))
            await _start(world, name)


async def _stop(world):
    async with _take_node(world) as name:
        if name is None:
            return
        with _note_span(world, name):
            proc = world.fleet.nodes[name].proc
            if world.rng.random() < 0.5:
                proc.send_signal(signal.SIGHUP)
            proc.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(GRACE + EXIT_SLACK):
                    status = await proc.wait()
            except TimeoutError:
                state = _read_state(proc.pid)
                world.errors.append(
                    f'{name} did not end in its time, in state {state}'
                )
                proc.kill()
                status = await proc.wait()
            if status:
                world.errors.append(f'{name} ended with status {status}')
            await _start(world, name)


def _read_state(pid):
    """Reads whether a process runs, waits or has ended, and in which call."""
    folder = pathlib.Path('/proc', str(pid))
    try:
        state = (folder / 'stat').read_text().rpartition(')')[2].split()[0]
        return f'{state} {(folder / "wchan").read_text()}'
    except OSError as exc:
        return repr(exc)


async def _start(world, name):
    await fleets.start_node(world.fleet, name)
    with contextlib.suppress(TimeoutError):
        await fleets.wait_for(lambda: fleets.is_ready(world.fleet, name), 3.0)


async def _reload(world):
    async with _take_node(world) as name:
        if name is not None:
            world.fleet.nodes[name].proc.send_signal(signal.SIGHUP)


async def _fail_store(world):
    with _note_span(world, ''):
        world.fleet.store.outage = world.rng.choice(OUTAGES)
        await asyncio.sleep(world.rng.uniform(0.2, 3.0))
        world.fleet.store.outage = stores.Outage.NONE


async def _refuse_node(world):
    name = world.rng.choice(sorted(world.fleet.nodes))
    with _note_span(world, name):
        world.fleet.store.machine_outages[name] = world.rng.choice(OUTAGES)
        await asyncio.sleep(world.rng.uniform(0.2, 4.0))
        world.fleet.store.machine_outages.pop(name, None)


async def _cut_node(world):
    name = world.rng.choice(sorted(world.fleet.nodes))
    proxy = world.fleet.nodes[name].proxy
    with _note_span(world, name):
        await _disturb(world, proxy)


async def _cut_replica(world):
    name = world.rng.choice(sorted(world.fleet.replicas))
    await _disturb(world, world.fleet.replicas[name].proxy)


async def _disturb(world, proxy):
    proxies.set_link_mode(proxy, world.rng.choice(LINKS))
    await asyncio.sleep(world.rng.uniform(0.1, 2.0))
    # What lost bytes stays silent for good; a reset shows that at once.
    proxies.set_link_mode(proxy, proxies.LinkMode.PASS)


async def _confuse_store(world):
    store = world.fleet.store
    with _note_span(world, ''):
        store.are_watches_silent = world.rng.random() < 0.5
        store.lost_reply_count = world.rng.randint(0, 2)
        store.delayed_write_count = world.rng.randint(0, 2)
        if store.leases and world.rng.random() < 0.5:
            stores.end_lease(store, world.rng.choice(sorted(store.leases)))
        await asyncio.sleep(world.rng.uniform(0.1, 1.5))
        stores.drop_history(store)
        stores.apply_delayed_writes(store)
        store.lost_reply_count = store.delayed_write_count = 0
        store.are_watches_silent = False


async def _drain_replica(world):
    name = world.rng.choice(sorted(world.fleet.replicas))
    if name in world.busy:
        return
    world.busy.add(name)
    fleets.put_replica(world.fleet, name, 'draining')
    start = time.monotonic()
    await asyncio.sleep(world.rng.uniform(0.5, 6.0))
    world.drains.append(checks.Drain(name, start, time.monotonic()))
    fleets.put_replica(world.fleet, name)
    world.busy.discard(name)


async def _fail_replica(world):
    name = world.rng.choice(sorted(world.fleet.replicas))
    state = world.fleet.replicas[name].state
    state.faults += world.rng.choices(REPLICA_FAULTS, k=5)
    state.delay = world.rng.choice((0.0, 0.01, 0.2))
    await asyncio.sleep(world.rng.uniform(0.2, 2.0))
    state.faults.clear()
    state.delay = 0.0


async def _change_config(world):
    for _ in range(world.rng.randint(1, 4)):
        world.version += world.rng.randint(1, 5)
        routes = make_routes(world.version)
        fleets.put_config(world.fleet.store, world.version, *routes)
        await asyncio.sleep(world.rng.uniform(0.0, 0.5))


FAULTS = (
    _pause,
    _kill,
    _stop,
    _reload,
    _fail_store,
    _refuse_node,
    _cut_node,
    _cut_replica,
    _confuse_store,
    _drain_replica,
    _fail_replica,
    _change_config,
)
