"""Runs nodes and fake external systems as processes on the loopback.

Used by the process tests, the demo and the benchmarks. Each process is
killed by its own process id when the fleet closes.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import aiohttp

ROOT = pathlib.Path(__file__).parents[1]
HOST = '127.0.0.1'
# Waits end as soon as their condition holds; starting a fleet can take
# this long on a busy machine.
START_TIMEOUT = 60.0  # seconds
STOP_TIMEOUT = 20.0  # seconds
POLL_INTERVAL = 0.05  # seconds
PORT_RANGE = (10_000, 32_000)
PORTS_PER_BLOCK = 200
CLUSTER_KEY = 'cluster-key-of-tests'
OPERATOR_KEY = 'operator-key-of-tests'


@dataclasses.dataclass(frozen=True, slots=True)
class IndexSpec:
    """Shards and replicas of one index in each data centre.

    The fields after ``replicas`` are options of ``fakes.upstream``.
    """

    name: str
    shards: int = 3
    replicas: int = 2
    slots: int = 2
    service_ms: float = 5.0
    max_conns: int = 25
    conn_ms: float = 0.0
    docs: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSpec:
    """Processes of a fleet.

    Attributes:
        settings: Settings that override the defaults of every node, by
            (section, key).
        upstream_args: Additional command-line arguments of every
            upstream; ignored if ``upstream_processes`` is set.
        upstream_processes: Number of processes that host the replicas of
            a data centre, or 0 for one process per replica.
        program: Module that runs as a node.
        can_partition: Whether each data centre reaches the key-value
            store on a port of its own and each node is behind a relay,
            so that a test can partition the network between data
            centres.
    """

    dcs: tuple[str, ...] = ('dc1', 'dc2')
    nodes: int = 2
    indexes: tuple[IndexSpec, ...] = (IndexSpec('parts'),)
    settings: abc.Mapping[tuple[str, str], str] = dataclasses.field(
        default_factory=dict
    )
    upstream_args: tuple[str, ...] = ()
    upstream_processes: int = 0
    program: str = 'citronweir.programs.node'
    can_partition: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NodePorts:
    """TCP ports of one node."""

    callers: int
    operators: int
    nodes: int
    metrics: int


@dataclasses.dataclass(slots=True)
class Fleet:
    """Processes of a running fleet and their ports.

    Attributes:
        folder: Folder for settings and logs.
        procs: Processes by name.
        nodes: Ports of each node by its name.
        kv_ports: Port of the key-value store by data centre.
        relay_port: Control port of the relay, 0 without one.
        relays: Port of the relay in front of each node.
        upstreams: Port of each replica by its name.
    """

    spec: FleetSpec
    folder: pathlib.Path
    kv_port: int = 0
    vms_port: int = 0
    procs: dict[str, subprocess.Popen] = dataclasses.field(
        default_factory=dict
    )
    nodes: dict[str, NodePorts] = dataclasses.field(default_factory=dict)
    kv_ports: dict[str, int] = dataclasses.field(default_factory=dict)
    relay_port: int = 0
    relays: dict[str, int] = dataclasses.field(default_factory=dict)
    upstreams: dict[str, int] = dataclasses.field(default_factory=dict)

    def url(self, node: str) -> str:
        """Returns the callers' base URL of a node."""
        return f'http://{HOST}:{self.nodes[node].callers}'


def free_ports(count: int) -> list[int]:
    """Returns free TCP ports that no other fleet will choose."""
    return list(itertools.islice(_PORTS, count))


def _iterate_ports():
    """Yields free ports from blocks that this process has reserved.

    A port must stay free from the time it is chosen until its process
    listens on it. The blocks are therefore below the kernel's ephemeral
    port range, and a socket bound to the first port of a block reserves
    the block against other fleets.
    """
    block_sockets = []
    starts = list(range(*PORT_RANGE, PORTS_PER_BLOCK))
    random.shuffle(starts)
    for start in starts:
        block_sockets.append(socket.socket(socket.AF_INET))
        if _can_bind(block_sockets[-1], start):
            for port in range(start + 1, start + PORTS_PER_BLOCK):
                with socket.socket(socket.AF_INET) as sock:
                    is_free = _can_bind(sock, port)
                if is_free:
                    yield port


def _can_bind(sock, port):
    try:
        sock.bind((HOST, port))
    except OSError:
        return False
    return True


_PORTS = _iterate_ports()


def start_process(fleet: Fleet, name: str, *args: object) -> None:
    """Starts a Python module as a process of the fleet.

    Its output is appended to a log file in the fleet's folder.

    Args:
        fleet: Fleet that the process belongs to.
        name: Name of the process in the fleet.
        *args: Module and its arguments.
    """
    with open(fleet.folder / f'{name}.log', 'ab') as log:
        fleet.procs[name] = subprocess.Popen(
            [sys.executable, '-m', *map(str, args)],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def start_node(fleet: Fleet, dc: str, name: str) -> None:
    """Starts a node; a restarted node keeps its ports."""
    if name not in fleet.nodes:
        fleet.nodes[name] = NodePorts(*free_ports(4))
    path = fleet.folder / f'{name}.ini'
    path.write_text(_render_settings(fleet, dc, name), encoding='utf-8')
    start_process(fleet, name, fleet.spec.program, path)


def start_upstreams(fleet: Fleet, dc: str, index: IndexSpec) -> None:
    """Starts every replica of an index in a data centre."""
    for shard in range(index.shards):
        for number in range(index.replicas):
            name = f'{dc}-{index.name}-{shard}-{number}'
            start_upstream(fleet, name, index, shard)


def start_upstream(
    fleet: Fleet, name: str, index: IndexSpec, shard: int
) -> None:
    """Starts one replica; a restarted replica keeps its port."""
    port = fleet.upstreams.setdefault(name, free_ports(1)[0])
    arguments = {
        'replica': name,
        'index': index.name,
        'shard': shard,
        'shards': index.shards,
        'slots': index.slots,
        'service-ms': index.service_ms,
        'port': port,
        'max-conns': index.max_conns,
        'conn-ms': index.conn_ms,
        'docs': index.docs,
    }
    flags = [
        part
        for key, value in arguments.items()
        for part in (f'--{key}', value)
    ]
    start_process(
        fleet, name, 'fakes.upstream', *flags, *fleet.spec.upstream_args
    )


def start_shared_upstreams(fleet: Fleet, dc: str) -> None:
    """Starts the replicas of a data centre in shared processes."""
    specs = []
    for index in fleet.spec.indexes:
        fields = dataclasses.asdict(index)
        del fields['name'], fields['replicas']
        for shard in range(index.shards):
            for number in range(index.replicas):
                name = f'{dc}-{index.name}-{shard}-{number}'
                identity = {
                    'replica': name,
                    'index': index.name,
                    'shard': shard,
                }
                specs.append(fields | identity)
    for spec, port in zip(specs, free_ports(len(specs)), strict=True):
        spec['port'] = fleet.upstreams[spec['replica']] = port
    for number in range(fleet.spec.upstream_processes):
        path = fleet.folder / f'{dc}-upstreams-{number}.json'
        hosted = specs[number :: fleet.spec.upstream_processes]
        path.write_text(json.dumps(hosted), encoding='utf-8')
        start_process(fleet, path.stem, 'fakes.upstreams', path)


def signal_process(fleet: Fleet, name: str, signum: signal.Signals) -> None:
    """Sends a signal to one process of the fleet."""
    fleet.procs[name].send_signal(signum)


def wait_process(fleet: Fleet, name: str) -> int:
    """Waits for a process of the fleet to exit; returns its exit status."""
    return fleet.procs.pop(name).wait(STOP_TIMEOUT)


async def wait_for(
    condition: abc.Callable[[], abc.Awaitable[bool]],
    description: str,
    timeout: float = START_TIMEOUT,
) -> None:
    """Polls a condition until it holds.

    Args:
        condition: Condition.
        description: What the error says was waited for.
        timeout: Seconds to wait at most.

    Raises:
        TimeoutError: The condition did not hold before the timeout.
    """
    end = time.monotonic() + timeout
    while not await condition():
        if time.monotonic() > end:
            raise TimeoutError(f'timed out waiting for {description}')
        await asyncio.sleep(POLL_INTERVAL)


async def register_vm(
    session: aiohttp.ClientSession,
    fleet: Fleet,
    dc: str,
    name: str,
    role: str,
    port: int,
    state: str = 'live',
) -> None:
    """Adds a VM to the VM list or updates its entry."""
    entry = {
        'name': name,
        'role': role,
        'state': state,
        'dc': dc,
        'target': f'{HOST}:{port}',
    }
    url = f'http://{HOST}:{fleet.vms_port}/register'
    async with session.post(url, json=entry) as resp:
        resp.raise_for_status()


async def is_listening(port: int) -> bool:
    """Returns whether a process accepts connections on a port."""
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True


@contextlib.asynccontextmanager
async def run_fleet(
    spec: FleetSpec, folder: pathlib.Path
) -> abc.AsyncIterator[Fleet]:
    """Starts a fleet, waits until it listens and kills it on exit.

    Args:
        spec: Processes of the fleet.
        folder: Folder for settings and logs.

    Yields:
        The running fleet.
    """
    fleet = Fleet(spec, folder)
    try:
        await _start_all(fleet)
        yield fleet
    finally:
        _stop_all(fleet)


async def _start_all(fleet):
    fleet.kv_port, fleet.vms_port = free_ports(2)
    fleet.kv_ports = dict.fromkeys(fleet.spec.dcs, fleet.kv_port)
    if fleet.spec.can_partition:
        _add_relays(fleet)
    kv_ports = sorted(set(fleet.kv_ports.values()))
    kv_args = [part for port in kv_ports for part in ('--port', port)]
    start_process(fleet, 'kv', 'fakes.kv', *kv_args)
    start_process(fleet, 'vms', 'fakes.vms', '--port', fleet.vms_port)
    for dc in fleet.spec.dcs:
        if fleet.spec.upstream_processes:
            start_shared_upstreams(fleet, dc)
            continue
        for index in fleet.spec.indexes:
            start_upstreams(fleet, dc, index)
    for port in (fleet.kv_port, fleet.vms_port, *fleet.upstreams.values()):
        await wait_for(lambda: is_listening(port), f'port {port}')
    async with aiohttp.ClientSession() as session:
        for name, port in fleet.upstreams.items():
            dc = name.partition('-')[0]
            await register_vm(session, fleet, dc, name, 'upstream', port)
        for dc in fleet.spec.dcs:
            for number in range(fleet.spec.nodes):
                name = f'{dc}-n{number}'
                start_node(fleet, dc, name)
                port = fleet.relays.get(name, fleet.nodes[name].nodes)
                await register_vm(session, fleet, dc, name, 'node', port)
    for ports in fleet.nodes.values():
        await wait_for(lambda: is_listening(ports.callers), 'a node')


def _add_relays(fleet):
    for dc in fleet.spec.dcs[1:]:
        fleet.kv_ports[dc] = free_ports(1)[0]
    routes = []
    for dc in fleet.spec.dcs:
        for number in range(fleet.spec.nodes):
            name = f'{dc}-n{number}'
            fleet.nodes[name] = NodePorts(*free_ports(4))
            fleet.relays[name] = free_ports(1)[0]
            route = f'{fleet.relays[name]},{dc},{fleet.nodes[name].nodes}'
            routes += ['--route', route]
    fleet.relay_port = free_ports(1)[0]
    start_process(
        fleet, 'relay', 'fakes.relay', '--control', fleet.relay_port, *routes
    )


def _stop_all(fleet):
    for proc in fleet.procs.values():
        proc.send_signal(signal.SIGCONT)
        proc.kill()
    for proc in fleet.procs.values():
        proc.wait(STOP_TIMEOUT)


def _render_settings(fleet, dc, name):
    ports = fleet.nodes[name]
    values = {
        ('node', 'id'): name,
        ('node', 'data_centre'): dc,
        ('node', 'address'): HOST,
        ('node', 'callers_port'): ports.callers,
        ('node', 'operators_port'): ports.operators,
        ('node', 'nodes_port'): ports.nodes,
        ('node', 'metrics_port'): ports.metrics,
        ('node', 'stop_grace'): 0.5,
        ('keys', 'cluster'): CLUSTER_KEY,
        ('keys', 'operator'): OPERATOR_KEY,
        ('platform', 'kv'): f'http://{HOST}:{fleet.kv_ports[dc]}',
        ('platform', 'vms'): f'http://{HOST}:{fleet.vms_port}',
        **fleet.spec.settings,
    }
    if name in fleet.relays:
        values['node', 'advertised'] = f'{HOST}:{fleet.relays[name]}'
    lines = []
    for section in sorted({section for section, _ in values}):
        lines.append(f'[{section}]')
        lines += [
            f'{key} = {value}'
            for (owner, key), value in values.items()
            if owner == section
        ]
    return '\n'.join(lines) + '\n'
