"""Runs front nodes as processes against a fake of the users' platform.

The fakes run in the process of the test or soak test. Each node reaches
the store through a separate application, so that the store can fail for
some nodes only. Connections to the store and to replicas pass through
proxies that inject network faults.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import os
import pathlib
import sys

import aiohttp
from aiohttp import test_utils

from fakes import platform_replica as replicas
from fakes import platform_store as stores
from fakes import proxy as proxies

START_TIMEOUT = 15.0  # seconds
# Every node listens on these ports at its own IP address. They are below
# the ephemeral port range, so no outgoing connection can occupy them.
CALLERS_PORT = 8201
READINESS_PORT = 8202
INTERNAL_PORT = 8203
SETTINGS = '''
node = "{node}"
zone = "dc1"
ip = "{host}"
internal_ports = [{port}, {port}]
[zones]
dc1 = "north"
dc2 = "south"
[listen]
front = "{host}:{front}"
readiness = "{host}:{ready}"
[bounds]
grace_s = {grace}
retry_ratio = 0.2
retry_slack = 56
{bounds}
[platform]
address = "127.0.0.1:{store}"
'''
# Part n of a response contains the records of service sn.
SERVICES = ('s0', 's1')


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica, its listener and the proxy in front of it.

    Attributes:
        born: Wall-clock millisecond of its start.
        dc: Data centre in its entry.
    """

    service: str
    state: replicas.Replica
    server: asyncio.Server
    proxy: proxies.Proxy
    born: int = 1
    dc: str = 'dc1'


@dataclasses.dataclass(slots=True)
class Node:
    """A front node.

    Attributes:
        host: IP address that the node listens on.
        callers: Host and port for callers.
        readiness: Host and port for readiness checks.
        settings: Path of the settings file.
        proxy: Proxy between the node and the store.
        proc: Latest process of the node, which may have exited.
    """

    host: str
    callers: str
    readiness: str
    settings: pathlib.Path
    proxy: proxies.Proxy
    proc: asyncio.subprocess.Process | None = None


@dataclasses.dataclass(slots=True)
class Fleet:
    """The fake platform and the nodes.

    Attributes:
        exit_stack: Closes the servers and proxies when the fleet stops.
        bypasses_proxies: Whether nodes connect to the replicas directly.
            A proxy would accept connections for a crashed replica, whose
            own port refuses them.
        bounds: Further lines of the bounds in the settings of the nodes.
    """

    store: stores.Store
    exit_stack: contextlib.AsyncExitStack
    session: aiohttp.ClientSession
    folder: pathlib.Path
    bypasses_proxies: bool = False
    bounds: str = ''
    replicas: dict[str, Replica] = dataclasses.field(default_factory=dict)
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)


def make_route(**fields) -> dict:
    """Returns a route in the form of the stored configuration."""
    return {
        'name': 'r',
        'host': 'a.example',
        'path_prefix': '/a/',
        'kind': 'idempotent',
        'timeout_ms': 1000,
        'goal_ms': 500,
        'priority': 0,
        'max_attempts': 2,
    } | fields


def put_config(
    store: stores.Store,
    version: int,
    *routes: dict,
    max_conns: int = 26,
    services: abc.Sequence[str] = SERVICES,
    **fields: object,
) -> None:
    """Writes a configuration into the store.

    Args:
        store: State of the store.
        version: Version of the configuration.
        *routes: Routes in the form of ``make_route``.
        max_conns: Connections that each replica accepts.
        services: Services that the routes name.
        **fields: Further fields of the configuration.
    """
    config = {
        'version': version,
        'routes': list(routes),
        'backends': [
            {'name': name, 'max_conns': max_conns} for name in services
        ],
        'limits': {'max_body_bytes': 1000, 'idle_timeout_ms': 15000},
    } | fields
    stores.put(store, 'op/config', json.dumps(config).encode())


def put_replica(fleet: Fleet, replica_id: str, state: str = 'ready') -> None:
    """Writes the entry of a replica into the store."""
    replica = fleet.replicas[replica_id]
    proxy = replica.proxy
    port = proxy.target if fleet.bypasses_proxies else proxy.port
    entry = {
        'backend': replica.service,
        'address': f'127.0.0.1:{port}',
        'zone': replica.dc,
        'slots': 2,
        'state': state,
        'sequence': 1,
        'born': replica.born,
    }
    key = f'servers/{replica_id}'
    stores.put(fleet.store, key, json.dumps(entry).encode())


async def add_replica(
    fleet: Fleet, service: str, replica_id: str, records: bytes = b''
) -> None:
    """Starts a fake replica and writes its entry into the store."""
    state = replicas.Replica(replica_id, records)
    server = await replicas.start(state)
    port = server.sockets[0].getsockname()[1]
    proxy = await fleet.exit_stack.enter_async_context(proxies.run(port))
    fleet.replicas[replica_id] = Replica(service, state, server, proxy)
    put_replica(fleet, replica_id)


async def add_node(fleet: Fleet, name: str, grace: float = 2.0) -> None:
    """Adds a node to the fleet and starts it.

    Args:
        fleet: Fleet that the node belongs to.
        name: Node id.
        grace: Seconds between SIGTERM and SIGKILL in its settings.
    """
    app = stores.make_app(fleet.store, name)
    server = await fleet.exit_stack.enter_async_context(
        test_utils.TestServer(app)
    )
    proxy = await fleet.exit_stack.enter_async_context(
        proxies.run(server.port)
    )
    # Each node has its own IP address, as on the platform: the metrics port
    # is the same for all nodes. The process id in the address separates
    # fleets that run at the same time.
    pid, number = os.getpid(), len(fleet.nodes) + 1
    host = f'127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}'
    path = fleet.folder / f'{name}.toml'
    path.write_text(
        SETTINGS.format(
            node=name,
            host=host,
            port=INTERNAL_PORT,
            front=CALLERS_PORT,
            ready=READINESS_PORT,
            store=proxy.port,
            grace=grace,
            bounds=fleet.bounds,
        )
    )
    node = Node(
        host, f'{host}:{CALLERS_PORT}', f'{host}:{READINESS_PORT}', path, proxy
    )
    fleet.nodes[name] = node
    await start_node(fleet, name)


async def start_node(fleet: Fleet, name: str) -> None:
    """Starts the process of a node; its output is appended to a log file."""
    node = fleet.nodes[name]
    with open(fleet.folder / f'{name}.log', 'ab') as log:
        node.proc = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'citronweir.programs.front',
            env=os.environ | {'CITRONWEIR_BOOT': str(node.settings)},
            stdout=log,
            stderr=log,
        )


async def fetch_readiness_status(fleet: Fleet, name: str) -> int | None:
    """Returns the HTTP status of the readiness check, None if it fails."""
    url = f'http://{fleet.nodes[name].readiness}/citronweir/ready'
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with fleet.session.get(url, timeout=timeout) as resp:
            return resp.status
    except (aiohttp.ClientError, TimeoutError):
        return None


async def is_ready(fleet: Fleet, name: str) -> bool:
    """Returns whether a node reports that it is ready."""
    return await fetch_readiness_status(fleet, name) == 200


async def wait_for(
    condition: abc.Callable[[], abc.Awaitable[bool]],
    seconds: float = START_TIMEOUT,
) -> None:
    """Polls a condition until it holds.

    Raises:
        TimeoutError: The condition did not hold before the timeout.
    """
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.05)


async def send_request(
    fleet: Fleet,
    name: str,
    path: str = '/a/x',
    request_id: str = 'id',
    session: aiohttp.ClientSession | None = None,
    deadline: int = 1000,
    headers: abc.Mapping[str, str] | None = None,
    **fields,
) -> tuple[int, abc.Mapping[str, str], bytes]:
    """Sends a caller's request to a node.

    Args:
        fleet: Fleet that the node belongs to.
        name: Node id.
        path: Path of the request.
        request_id: Id of this attempt of the caller.
        session: Client session with separate connections; the fleet's
            session if None.
        deadline: Milliseconds that the caller waits.
        headers: Further headers of the request.
        **fields: Additional arguments of the client's ``request``.

    Returns:
        Status, headers and body of the response.
    """
    url = f'http://{fleet.nodes[name].callers}{path}'
    headers = {
        'Host': 'a.example',
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline),
    } | dict(headers or {})
    method = fields.pop('method', 'GET')
    async with (session or fleet.session).request(
        method, url, headers=headers, **fields
    ) as resp:
        return resp.status, resp.headers, await resp.read()


def parse_part_headers(
    headers: abc.Mapping[str, str],
) -> tuple[list[tuple[str, str]], int]:
    """Parses the headers that list the parts of a response.

    Returns:
        Replica id and request id of each part, and the number of missing
        parts, -1 if the header is absent.
    """
    text = headers.get('X-Part-Stamps', '')
    parts = [item.rpartition('.') for item in text.split(', ')]
    missing = int(headers.get('X-Parts-Missing', '-1'))
    return [(part[0], part[2]) for part in parts], missing


@contextlib.asynccontextmanager
async def run(
    folder: pathlib.Path,
    nodes: abc.Iterable[str] = ('n1',),
    routes: abc.Iterable[dict] = (),
    grace: float = 2.0,
    replica_suffixes: str = 'ab',
    bypasses_proxies: bool = False,
    bounds: str = '',
    services: abc.Sequence[str] = SERVICES,
) -> abc.AsyncIterator[Fleet]:
    """Runs services and some nodes, and waits until they are ready.

    Args:
        folder: Folder for settings and logs.
        nodes: Node ids.
        routes: Routes of version 3 of the configuration; by default one
            route that gathers from both services.
        grace: Seconds between SIGTERM and SIGKILL in the settings.
        replica_suffixes: One letter for each replica of a service, the
            last letter of its id.
        bypasses_proxies: Whether nodes connect to the replicas directly.
        bounds: Further lines of the bounds in the settings.
        services: Names of the services.

    Yields:
        The running fleet.
    """
    async with contextlib.AsyncExitStack() as exit_stack:
        session = await exit_stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(
            stores.Store(),
            exit_stack,
            session,
            folder,
            bypasses_proxies,
            bounds,
        )
        for number, service in enumerate(services):
            for suffix in replica_suffixes:
                records = f'{number:016d}'.encode() * 2
                await add_replica(
                    fleet, service, f'i-{number}{suffix}', records
                )
        routes = routes or [make_route(gather=list(services), top_k=3)]
        put_config(fleet.store, 3, *routes, services=services)
        try:
            for name in nodes:
                await add_node(fleet, name, grace)
            for name in nodes:
                await wait_for(lambda: is_ready(fleet, name))
            yield fleet
        finally:
            await _stop_all(fleet)


async def _stop_all(fleet):
    for node in fleet.nodes.values():
        if node.proc is not None and node.proc.returncode is None:
            node.proc.kill()
            await node.proc.wait()
    for replica in fleet.replicas.values():
        replica.state.server.close()
