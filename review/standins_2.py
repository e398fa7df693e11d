"""Stand-ins of the users' platform for the scripts of the second review.

The store is the project's own fake, with leases that expire. Replicas and the
fleet of front nodes are small and follow PROTOCOL.md: replicas register
themselves, send heartbeats, answer 421 to a request for another instance and
keep their connections open.
"""

import asyncio
import base64
import collections
from collections import abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from fakes import platform_store as stores

CALLERS_PORT = 8301
READINESS_PORT = 8302
NODES_PORT = 8303
ENTRY_LIFETIME = 3 * 1.2  # seconds, three heartbeats
START_TIMEOUT = 20.0  # seconds
HOST = 'a.example'
NODE_KEYS = 'citronweir/nodes/'
BROKEN, HELD, NOT_RUN = 1, 0, 2

# The bounds of sites/koreledning-search.toml.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'downgrade_slack_ms': 250,
    'max_skew_ms': 12000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'recovery_s': 12,
}
ZONES = {'kbh-depot': 'sjaelland', 'aarhus-depot': 'jylland'}


@dataclasses.dataclass(slots=True)
class Arrival:
    """Request that reached a replica."""

    at: float
    replica: str
    request_id: str
    has_run: bool


@dataclasses.dataclass(slots=True, eq=False)
class Replica:
    """A replica of one service.

    Attributes:
        answer: Called with the replica, the request line, the headers and
            the body; returns the bytes of the answer, or None to crash.
        restart_delay: Seconds from a crash until the replica is back.
    """

    replica_id: str
    service: str
    zone: str
    answer: abc.Callable[..., abc.Awaitable[bytes | None]]
    restart_delay: float = 2.0
    port: int = 0
    born: int = 0
    sequence: int = 0
    state: str = 'ready'
    crashes: list[float] = dataclasses.field(default_factory=list)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Node:
    """A front node."""

    name: str
    host: str
    settings: pathlib.Path
    log: pathlib.Path
    proc: asyncio.subprocess.Process | None = None


@dataclasses.dataclass(slots=True)
class Fleet:
    """The platform and the front nodes."""

    store: stores.Store
    folder: pathlib.Path
    session: aiohttp.ClientSession
    exit_stack: contextlib.AsyncExitStack
    replicas: list[Replica] = dataclasses.field(default_factory=list)
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    renewed_at: dict[int, float] = dataclasses.field(default_factory=dict)
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    record: list[str] = dataclasses.field(default_factory=list)
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    network: 'Network | None' = None


def note(fleet: Fleet, text: str) -> None:
    """Adds a line to the record."""
    seconds = time.monotonic() - fleet.started_at
    fleet.record.append(f'{seconds:8.3f} {text}')


def render(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Returns the bytes of an answer."""
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def signed(replica: Replica, request_id: str) -> dict[str, str]:
    """Returns the headers of an answer by a replica that ran the request."""
    return {
        'X-Request-Id': request_id,
        'X-Server-Stamp': f'{replica.replica_id}.{request_id}',
        'X-Server-Load': '1,0,2',
    }


def make_route(**fields: object) -> dict:
    """Returns a route in the form of the operator's configuration."""
    return {
        'name': 'r',
        'host': HOST,
        'path_prefix': '/a/',
        'kind': 'idempotent',
        'timeout_ms': 1500,
        'goal_ms': 600,
        'priority': 1,
        'max_attempts': 2,
    } | fields


def put_config(fleet: Fleet, version: int, routes: list, **fields) -> None:
    """Writes a configuration as the operator."""
    services = sorted({replica.service for replica in fleet.replicas})
    config = {
        'version': version,
        'routes': routes,
        'backends': [
            {'name': name, 'health_path': '/health', 'max_conns': 26}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    } | fields
    stores.put(fleet.store, 'op/config', json.dumps(config).encode())
    note(fleet, f'operator: version {version} is acknowledged')


async def add_replica(
    fleet: Fleet,
    service: str,
    zone: str,
    answer: abc.Callable[..., abc.Awaitable[bytes | None]],
) -> Replica:
    """Starts a replica and registers it."""
    name = f'i-{len(fleet.replicas):04x}'
    replica = Replica(name, service, zone, answer)
    fleet.replicas.append(replica)
    await _start_replica(fleet, replica)
    return replica


async def _start_replica(fleet, replica):
    async def accept(reader, writer):
        await serve(fleet, replica, reader, writer)

    replica.server = await asyncio.start_server(
        accept, '127.0.0.1', replica.port, backlog=512
    )
    replica.port = replica.server.sockets[0].getsockname()[1]
    replica.born = round(time.time() * 1000)
    replica.sequence = 0
    register(fleet, replica)


def register(fleet: Fleet, replica: Replica) -> None:
    """Writes the entry of a replica."""
    replica.sequence += 1
    entry = {
        'backend': replica.service,
        'address': f'127.0.0.1:{replica.port}',
        'zone': replica.zone,
        'version': 'v1',
        'slots': 4,
        'state': replica.state,
        'warmup_left_ms': 0,
        'sequence': replica.sequence,
        'born': replica.born,
    }
    key = f'servers/{replica.replica_id}'
    stores.put(fleet.store, key, json.dumps(entry).encode())


def crash(fleet: Fleet, replica: Replica) -> None:
    """Ends the process of a replica; it is back some seconds later."""
    if replica.server is None:
        return
    replica.server.close()
    replica.server = None
    replica.crashes.append(time.monotonic())
    for writer in list(replica.writers):
        writer.transport.abort()
    loop = asyncio.get_running_loop()
    loop.call_later(
        replica.restart_delay,
        lambda: fleet.tasks.append(
            loop.create_task(_start_replica(fleet, replica))
        ),
    )


async def serve(
    fleet: Fleet,
    replica: Replica,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serves a connection to a replica until it ends."""
    replica.writers.add(writer)
    try:
        while await _serve_request(fleet, replica, reader, writer):
            pass
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        replica.writers.discard(writer)
        writer.close()


async def _serve_request(fleet, replica, reader, writer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *rest = head.strip().split('\r\n')
    headers = {}
    for item in rest:
        name, _, value = item.partition(':')
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    if line.split()[1] == '/health':
        writer.write(render(200, {'X-Instance-Id': replica.replica_id}))
        return True
    request_id = headers.get('x-request-id', '')
    if headers.get('x-expect-instance') != replica.replica_id:
        writer.write(render(421, {'X-Instance-Id': replica.replica_id}))
        return True
    arrival = Arrival(time.monotonic(), replica.replica_id, request_id, True)
    fleet.arrivals.append(arrival)
    reply = await replica.answer(replica, line, headers, body)
    if reply is None:
        crash(fleet, replica)
        return False
    arrival.has_run = b'X-Not-Executed' not in reply
    writer.write(reply)
    return True


async def add_node(
    fleet: Fleet, name: str, zone: str, bounds: dict, memory_mb: int = 300
) -> Node:
    """Starts a front node with the command of the deploy file."""
    app = stores.make_app(fleet.store, name)
    app.middlewares.append(_make_lease_clock(fleet))
    if fleet.network is not None:
        await fleet.network.add(name)
        app.middlewares.append(_make_rewriter(fleet))
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    fleet.exit_stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, '127.0.0.1', 0, shutdown_timeout=0.2)
    await site.start()
    store_port = runner.addresses[0][1]
    pid, number = os.getpid(), len(fleet.nodes) + 1
    host = f'127.{100 + pid // 250 % 100}.{1 + pid % 250}.{number}'
    settings = fleet.folder / f'{name}.toml'
    lines = [
        f'node = "{name}"',
        f'zone = "{zone}"',
        f'ip = "{host}"',
        f'internal_ports = [{NODES_PORT}, {NODES_PORT + 15}]',
        '[zones]',
        *(f'{key} = "{value}"' for key, value in ZONES.items()),
        '[listen]',
        f'front = "{host}:{CALLERS_PORT}"',
        f'readiness = "{host}:{READINESS_PORT}"',
        '[limits]',
        f'memory_mb = {memory_mb}',
        'max_fds = 4100',
        '[bounds]',
        *(f'{key} = {json.dumps(value)}' for key, value in bounds.items()),
        '[platform]',
        f'address = "127.0.0.1:{store_port}"',
        'form = "kv"',
    ]
    settings.write_text('\n'.join(lines) + '\n')
    node = Node(name, host, settings, fleet.folder / f'{name}.log')
    fleet.nodes[name] = node
    await start_node(fleet, node)
    return node


async def start_node(fleet: Fleet, node: Node) -> None:
    """Starts the process of a node."""
    with open(node.log, 'ab') as log:
        node.proc = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'citronweir.programs.front',
            env=os.environ | {'CITRONWEIR_BOOT': str(node.settings)},
            stdout=log,
            stderr=log,
        )


def _make_lease_clock(fleet):
    @web.middleware
    async def watch_leases(request, handler):
        response = await handler(request)
        if response.status == 200 and '/kv-lease' in request.path:
            if request.method == 'POST':
                lease = json.loads(response.body)['lease']
                fleet.renewed_at[lease] = time.monotonic()
        elif response.status == 200 and '/kv-keep/' in request.path:
            lease = int(request.path.rpartition('/')[2])
            fleet.renewed_at[lease] = time.monotonic()
        return response

    return watch_leases


def _make_rewriter(fleet):
    @web.middleware
    async def rewrite(request, handler):
        response = await handler(request)
        is_read = request.method == 'GET' and response.status == 200
        if not is_read:
            return response
        fields = json.loads(response.body)
        for item in fields.get('items', fields.get('events', [])):
            fleet.network.rewrite(item)
        return web.json_response(fields)

    return rewrite


async def _run_platform(fleet):
    """Expires leases and the entries of replicas that are silent."""
    while True:
        await asyncio.sleep(0.2)
        now = time.monotonic()
        for lease, ttl in list(fleet.store.leases.items()):
            if now - fleet.renewed_at.get(lease, now) > ttl / 1000:
                stores.end_lease(fleet.store, lease)
        for replica in fleet.replicas:
            # A heartbeat changes only the sequence, which changes no entry.
            is_silent = replica.server is None
            if is_silent and now - replica.crashes[-1] > ENTRY_LIFETIME:
                stores.remove(fleet.store, f'servers/{replica.replica_id}')


async def send(
    fleet: Fleet,
    node: str,
    path: str,
    request_id: str,
    method: str = 'GET',
    deadline_ms: int = 1500,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    session: aiohttp.ClientSession | None = None,
) -> tuple[int | str, dict[str, str], bytes]:
    """Sends a client's request; the status is a text without an answer."""
    url = f'http://{fleet.nodes[node].host}:{CALLERS_PORT}{path}'
    fields = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
    } | (headers or {})
    timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 0.5)
    try:
        async with (session or fleet.session).request(
            method, url, headers=fields, data=body, timeout=timeout
        ) as resp:
            return resp.status, dict(resp.headers), await resp.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        return type(exc).__name__, {}, b''


async def wait_until_ready(fleet: Fleet) -> None:
    """Waits until all nodes report that they are ready."""
    async with asyncio.timeout(START_TIMEOUT):
        for node in fleet.nodes.values():
            url = f'http://{node.host}:{READINESS_PORT}/citronweir/ready'
            while True:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with fleet.session.get(url) as resp:
                        if resp.status == 200:
                            break
                await asyncio.sleep(0.1)


class Network:
    """Network between the machines, which can cut some of them off.

    The store names an address of this network for each node. A connection is
    passed on to the node; the sender is read from its first message. Bytes
    between a node that is cut off and others are held up, as by a partition.

    Attributes:
        cut: Nodes that are cut off from all others.
        passed_on: Connections passed on, by sender and receiver.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Begins without any cut."""
        self.fleet = fleet
        self.cut: set[str] = set()
        self.ports: dict[str, int] = {}
        self.passed_on: collections.Counter = collections.Counter()
        self._healed = asyncio.Event()

    async def add(self, name: str) -> None:
        """Opens the address of a node."""

        async def accept(reader, writer):
            await self._pass_on(name, reader, writer)

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.ports[name] = server.sockets[0].getsockname()[1]
        self.fleet.exit_stack.callback(server.close)

    def heal(self) -> None:
        """Ends all cuts."""
        self.cut.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    def rewrite(self, item: dict) -> None:
        """Replaces the address in the record of a node."""
        name = item['key'].rpartition('/')[2]
        if not item['key'].startswith(NODE_KEYS) or 'value' not in item:
            return
        fields = json.loads(base64.b64decode(item['value']))
        fields['address'] = f'127.0.0.1:{self.ports[name]}'
        raw = json.dumps(fields).encode()
        item['value'] = base64.b64encode(raw).decode()

    async def _pass_on(self, target, reader, writer):
        host = self.fleet.nodes[target].host
        try:
            to_reader, to_writer = await asyncio.open_connection(
                host, NODES_PORT
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {target}

        async def copy(source, sink, is_from_sender):
            with contextlib.suppress(ConnectionError, OSError):
                while chunk := await source.read(1 << 16):
                    if is_from_sender and len(ends) == 1:
                        for name in self.fleet.nodes:
                            if name.encode() in chunk:
                                ends.add(name)
                                self.passed_on[name, target] += 1
                    while ends & self.cut:
                        await self._healed.wait()
                    sink.write(chunk)
                    await sink.drain()

        tasks = [
            asyncio.create_task(copy(reader, to_writer, True)),
            asyncio.create_task(copy(to_reader, writer, False)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            writer.close()
            to_writer.close()


@contextlib.asynccontextmanager
async def run_fleet() -> abc.AsyncIterator[Fleet]:
    """Runs a platform without nodes; ends all processes on exit."""
    async with contextlib.AsyncExitStack() as exit_stack:
        folder = pathlib.Path(
            exit_stack.enter_context(
                tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
            )
        )
        session = await exit_stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        )
        fleet = Fleet(stores.Store(), folder, session, exit_stack)
        platform = asyncio.create_task(_run_platform(fleet))
        try:
            yield fleet
        finally:
            platform.cancel()
            for node in fleet.nodes.values():
                if node.proc is not None and node.proc.returncode is None:
                    node.proc.kill()
                    await node.proc.wait()
            for replica in fleet.replicas:
                if replica.server is not None:
                    replica.server.close()
                for writer in list(replica.writers):
                    writer.transport.abort()


def write_record(fleet: Fleet, path: pathlib.Path, summary: list[str]) -> None:
    """Writes what was sent, answered and run, and the result."""
    lines = [*fleet.record, '', *summary, '']
    path.write_text('\n'.join(lines))


def count_statuses(statuses: abc.Iterable[object]) -> str:
    """Returns the number of answers of each status."""
    counts = collections.Counter(map(str, statuses))
    return ', '.join(f'{key}: {counts[key]}' for key in sorted(counts))


def run_case(
    run: abc.Callable[[bool, pathlib.Path], abc.Awaitable[int]], case: str
) -> None:
    """Runs a case and exits with its result; with 2 if it could not run."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = pathlib.Path(case).parent / 'record.txt'

    async def run_until_stopped():
        task = asyncio.ensure_future(run(has_trouble, record))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await task

    try:
        status = asyncio.run(run_until_stopped())
    except asyncio.CancelledError:
        status = NOT_RUN
    except Exception as exc:  # the case could not run
        print(f'could not run: {exc!r}', file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)
