"""Runs front nodes as processes against stand-ins of the users' platform.

The stand-ins run in the process of the test or soak. Each node reaches the
store through an application of its own, so that the store can refuse some
machines, and every connection to the store or a replica passes a proxy
that can disturb it.
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

START_TIME = 15.0  # seconds
# Ports of every node, each of which has an address of its own. They lie
# below those that the system hands out, so that no other socket has them.
CALLERS_PORT = 8201
READINESS_PORT = 8202
LINKS_PORT = 8203
SETTINGS = '''
node = "{node}"
zone = "dc1"
ip = "{host}"
internal_ports = [{port}, {port}]
[zones]
dc1 = "north"
[listen]
front = "{host}:{front}"
readiness = "{host}:{ready}"
[bounds]
grace_s = {grace}
retry_ratio = 0.2
retry_slack = 56
[platform]
address = "127.0.0.1:{store}"
'''
# Part n of an answer holds the records of service sn.
SERVICES = ('s0', 's1')


@dataclasses.dataclass(slots=True)
class Replica:
    """A replica with its listener and the proxy that nodes know it by."""

    service: str
    state: replicas.Replica
    server: asyncio.Server
    proxy: proxies.Proxy


@dataclasses.dataclass(slots=True)
class Node:
    """A front node.

    Attributes:
        host: Address of its machine.
        callers: Address for callers.
        readiness: Address for checks of readiness.
        settings: Settings file.
        proxy: Proxy on its way to the store.
        proc: Process that runs, or the last one.
    """

    host: str
    callers: str
    readiness: str
    settings: pathlib.Path
    proxy: proxies.Proxy
    proc: asyncio.subprocess.Process | None = None


@dataclasses.dataclass(slots=True)
class Fleet:
    """The stand-ins and the nodes.

    Attributes:
        is_direct: Whether nodes reach the replicas without a proxy, which
            would accept connections for one that has ended.
    """

    store: stores.Store
    stack: contextlib.AsyncExitStack
    session: aiohttp.ClientSession
    folder: pathlib.Path
    bypasses_proxies: bool = False
    replicas: dict[str, Replica] = dataclasses.field(default_factory=dict)
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)


def make_route(**fields) -> dict:
    """Returns a route of the configuration as operators write it."""
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


def put_config(store: stores.Store, version: int, *routes: dict) -> None:
    """Writes a configuration into the store."""
    config = {
        'version': version,
        'routes': list(routes),
        'backends': [{'name': name, 'max_conns': 26} for name in SERVICES],
        'limits': {'max_body_bytes': 1000, 'idle_timeout_ms': 15000},
    }
    stores.put(store, 'op/config', json.dumps(config).encode())


def put_replica(fleet: Fleet, replica_id: str, state: str = 'ready') -> None:
    """Writes the entry of a replica into the store."""
    replica = fleet.replicas[replica_id]
    proxy = replica.proxy
    port = proxy.target if fleet.bypasses_proxies else proxy.port
    entry = {
        'backend': replica.service,
        'address': f'127.0.0.1:{port}',
        'zone': 'dc1',
        'slots': 2,
        'state': state,
        'sequence': 1,
    }
    key = f'servers/{replica_id}'
    stores.put(fleet.store, key, json.dumps(entry).encode())


async def add_replica(
    fleet: Fleet, service: str, replica_id: str, records: bytes = b''
) -> None:
    """Starts the stand-in of a replica and lists it."""
    state = replicas.Replica(replica_id, records)
    server = await replicas.start(state)
    port = server.sockets[0].getsockname()[1]
    proxy = await fleet.stack.enter_async_context(proxies.run(port))
    fleet.replicas[replica_id] = Replica(service, state, server, proxy)
    put_replica(fleet, replica_id)


async def add_node(fleet: Fleet, name: str, grace: float = 2.0) -> None:
    """Starts a node.

    Args:
        fleet: The stand-ins and the nodes.
        name: Node id.
        grace: Seconds between SIGTERM and SIGKILL in its settings.
    """
    app = stores.make_app(fleet.store, name)
    server = await fleet.stack.enter_async_context(test_utils.TestServer(app))
    proxy = await fleet.stack.enter_async_context(proxies.run(server.port))
    # Each node has an address of its own, as on the platform's machines:
    # the port for metrics is the same on all of them.
    pid, number = os.getpid(), len(fleet.nodes) + 1
    host = f'127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}'
    path = fleet.folder / f'{name}.toml'
    path.write_text(
        SETTINGS.format(
            node=name,
            host=host,
            port=LINKS_PORT,
            front=CALLERS_PORT,
            ready=READINESS_PORT,
            store=proxy.port,
            grace=grace,
        )
    )
    node = Node(
        host, f'{host}:{CALLERS_PORT}', f'{host}:{READINESS_PORT}', path, proxy
    )
    fleet.nodes[name] = node
    await start_node(fleet, name)


async def start_node(fleet: Fleet, name: str) -> None:
    """Starts the process of a node, whose log is appended to a file."""
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
    """Returns the status of a node's readiness, or None without a reply."""
    url = f'http://{fleet.nodes[name].readiness}/citronweir/ready'
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with fleet.session.get(url, timeout=timeout) as resp:
            return resp.status
    except (aiohttp.ClientError, TimeoutError):
        return None


async def is_ready(fleet: Fleet, name: str) -> bool:
    """Returns whether a node takes new callers."""
    return await fetch_readiness_status(fleet, name) == 200


async def wait_for(
    check: abc.Callable[[], abc.Awaitable[bool]], seconds: float = START_TIME
) -> None:
    """Waits until a check holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(seconds):
        while not await check():
            await asyncio.sleep(0.05)


async def send_request(
    fleet: Fleet,
    name: str,
    path: str = '/a/x',
    request_id: str = 'id',
    session: aiohttp.ClientSession | None = None,
    **fields,
) -> tuple[int, abc.Mapping[str, str], bytes]:
    """Sends a request of a caller to a node.

    Args:
        fleet: The stand-ins and the nodes.
        name: Node id.
        path: Path of the request.
        request_id: Id of this attempt of the caller.
        session: Session of a caller that keeps its own connections.
        **fields: Further arguments of the client.

    Returns:
        Status, headers and body.
    """
    url = f'http://{fleet.nodes[name].callers}{path}'
    headers = {
        'Host': 'a.example',
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '1000',
    }
    method = fields.pop('method', 'GET')
    async with (session or fleet.session).request(
        method, url, headers=headers, **fields
    ) as resp:
        return resp.status, resp.headers, await resp.read()


def parse_part_headers(
    headers: abc.Mapping[str, str],
) -> tuple[list[tuple[str, str]], int]:
    """Reads which parts an answer says to hold.

    Returns:
        Replica and request id of each signature, and the number of parts
        that are missing, -1 without one.
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
) -> abc.AsyncIterator[Fleet]:
    """Runs two services of some replicas each, and nodes that are ready.

    Args:
        folder: Where settings and logs go.
        nodes: Node ids.
        routes: Routes of version 3; without any there is one, of both
            services.
        grace: Seconds between SIGTERM and SIGKILL in the settings.
        copies: A letter for each replica of a service.
        is_direct: Whether nodes reach the replicas without a proxy.
    """
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(stores.Store(), stack, session, folder, bypasses_proxies)
        for number, service in enumerate(SERVICES):
            for copy in replica_suffixes:
                records = f'{number:016d}'.encode() * 2
                await add_replica(fleet, service, f'i-{number}{copy}', records)
        routes = routes or [make_route(gather=list(SERVICES), top_k=3)]
        put_config(fleet.store, 3, *routes)
        try:
            for name in nodes:
                await add_node(fleet, name, grace)
            for name in nodes:
                await wait_for(lambda: is_ready(fleet, name))
            yield fleet
        finally:
            await _end(fleet)


async def _end(fleet):
    for node in fleet.nodes.values():
        if node.proc is not None and node.proc.returncode is None:
            node.proc.kill()
            await node.proc.wait()
    for replica in fleet.replicas.values():
        replica.state.server.close()
