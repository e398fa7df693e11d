"""Starts stand-ins and nodes as processes on the loopback range.

Process tests, the demo and the measurements share it. Every process
that it starts is ended by its own process id when the fleet closes.
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
# A bound on waits that end early; a busy machine starts a fleet slowly.
START_TIMEOUT = 60.0  # seconds
STOP_TIMEOUT = 20.0  # seconds
POLL_INTERVAL = 0.05  # seconds
PORT_RANGE = (10_000, 32_000)
PORTS_PER_BLOCK = 200
CLUSTER_KEY = 'cluster-key-of-tests'
OPERATOR_KEY = 'operator-key-of-tests'


@dataclasses.dataclass(frozen=True, slots=True)
class IndexSpec:
    """Shards and replicas of one index in each data centre."""

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
    """What to start.

    Attributes:
        settings: Settings of every node over the defaults, by
            (section, key).
        upstream_args: Further arguments of every upstream that has a
            process of its own.
        groups: Processes that share the replicas of a data centre, or 0
            for a process for each replica.
        program: Module that runs as a node.
        cuttable: Whether each data centre has its own port of the store
            and a relay stands before each node, to cut them apart.
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
    """Ports of one node."""

    callers: int
    operators: int
    nodes: int
    metrics: int


@dataclasses.dataclass(slots=True)
class Fleet:
    """Processes of a running fleet and where they listen."""

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
    """Returns TCP ports that are free now and that no other fleet takes."""
    return list(itertools.islice(_PORTS, count))


def _iterate_ports():
    """Yields free ports of blocks that this process has reserved.

    A process listens some time after its port was chosen. The blocks lie
    below the range from which the kernel takes the ports of outgoing
    connections, and a socket on the first port of a block keeps other
    fleets out of it.
    """
    guards = []
    starts = list(range(*PORT_RANGE, PORTS_PER_BLOCK))
    random.shuffle(starts)
    for start in starts:
        guards.append(socket.socket(socket.AF_INET))
        if _can_bind(guards[-1], start):
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
    """Starts a node on ports of its own, the same ones at a restart."""
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
    """Starts one replica, on the same port at a restart."""
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
    flat = [
        part
        for key, value in arguments.items()
        for part in (f'--{key}', value)
    ]
    start_process(
        fleet, name, 'fakes.upstream', *flat, *fleet.spec.upstream_args
    )


def start_groups(fleet: Fleet, dc: str) -> None:
    """Starts the replicas of a data centre in a few shared processes."""
    specs = []
    for index in fleet.spec.indexes:
        fields = dataclasses.asdict(index)
        del fields['name'], fields['replicas']
        for shard in range(index.shards):
            for number in range(index.replicas):
                name = f'{dc}-{index.name}-{shard}-{number}'
                own = {'replica': name, 'index': index.name, 'shard': shard}
                specs.append(fields | own)
    for spec, port in zip(specs, free_ports(len(specs)), strict=True):
        spec['port'] = fleet.upstreams[spec['replica']] = port
    for number in range(fleet.spec.upstream_processes):
        path = fleet.folder / f'{dc}-upstreams-{number}.json'
        own = specs[number :: fleet.spec.upstream_processes]
        path.write_text(json.dumps(own), encoding='utf-8')
        start_process(fleet, path.stem, 'fakes.upstreams', path)


def signal_process(fleet: Fleet, name: str, signum: signal.Signals) -> None:
    """Sends a signal to one process of the fleet."""
    fleet.procs[name].send_signal(signum)


def wait_process(fleet: Fleet, name: str) -> int:
    """Waits for a process of the fleet to end and returns its status."""
    return fleet.procs.pop(name).wait(STOP_TIMEOUT)


async def wait_for(
    check: abc.Callable[[], abc.Awaitable[bool]],
    what: str,
    timeout: float = START_TIMEOUT,
) -> None:
    """Polls a condition until it holds.

    Args:
        check: Condition.
        what: Description of the condition for the error.
        timeout: Seconds to wait at most.

    Raises:
        TimeoutError: The condition did not come to hold.
    """
    end = time.monotonic() + timeout
    while not await check():
        if time.monotonic() > end:
            raise TimeoutError(f'timed out waiting for {what}')
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
    """Enters a VM into the VM list or changes its entry."""
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
    """Returns whether something accepts connections on a port."""
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
    """Starts a fleet, waits until it listens and ends it afterwards.

    Args:
        spec: What to start.
        folder: Folder for settings and logs.

    Yields:
        The running fleet.
    """
    fleet = Fleet(spec, folder)
    try:
        await _start_all(fleet)
        yield fleet
    finally:
        _end_all(fleet)


async def _start_all(fleet):
    fleet.kv_port, fleet.vms_port = free_ports(2)
    fleet.kv_ports = dict.fromkeys(fleet.spec.dcs, fleet.kv_port)
    if fleet.spec.can_partition:
        _add_cuts(fleet)
    kv_ports = sorted(set(fleet.kv_ports.values()))
    kv_args = [part for port in kv_ports for part in ('--port', port)]
    start_process(fleet, 'kv', 'fakes.kv', *kv_args)
    start_process(fleet, 'vms', 'fakes.vms', '--port', fleet.vms_port)
    for dc in fleet.spec.dcs:
        if fleet.spec.upstream_processes:
            start_groups(fleet, dc)
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


def _add_cuts(fleet):
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


def _end_all(fleet):
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
