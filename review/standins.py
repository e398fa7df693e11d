"""Stand-ins of clients, replicas and the platform for the review's cases.

They speak the published protocol of the platform. The store is the project's
own fake, and the front nodes are the project's program, started with the
command of the deploy file. Everything listens on loopback addresses.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time
import tomllib

from aiohttp import web

from fakes import platform_store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'bapu.example'
START_TIMEOUT = 20.0  # seconds
# Ports below the range from which outgoing connections take theirs.
PORTS = (20000, 29999)
START_TRIES = 50
MAX_CASE_TIME = 118.0  # seconds
# Limits of a small deployment, as its page states them.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_window_ms': 5000,
    'ack_ms': 6000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'downgrade_slack_ms': 250,
    'max_skew_ms': 15000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'recovery_s': 12,
}
ZONES = {
    'cluj-est': 'transilvania',
    'bucuresti-nord': 'muntenia',
    'iasi-centru': 'moldova',
}


class Record:
    """Writes what was sent, answered and run to a file, with seconds."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def add(self, text):
        self._file.write(f'{self.now():9.3f} s  {text}\n')
        self._file.flush()


@dataclasses.dataclass(eq=False)
class Replica:
    """A replica of the platform: slots, a bounded queue, signed answers.

    Attributes:
        work: Returns the seconds that a request takes, given its target.
            Infinity means that it hangs until its deadline.
        crashes_on: Text in a target that crashes the replica.
        crash_delay: Seconds from the start of such a run to the crash.
        drops_closed: Whether it drops a request whose connection closes.
        arrivals: Second, request id and target of each request received.
        runs: The same of each request that it began to work on.
        closed: Second at which a client connection closed, by request id.
    """

    record: Record
    replica_id: str
    service: str
    work: object
    zone: str = 'cluj-est'
    slots: int = 3
    queue: int = 12
    max_conns: int = 40
    crashes_on: str = ''
    crash_delay: float = 0.0
    drops_closed: bool = True
    restart_after: float = 2.0
    arrivals: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    crashes: list = dataclasses.field(default_factory=list)
    state: str = 'ready'
    born: int = dataclasses.field(
        default_factory=lambda: time.time_ns() // 1_000_000
    )
    sequence: int = 1
    port: int = 0
    server: object = None
    waiting: int = 0
    incarnation: int = 0
    writers: set = dataclasses.field(default_factory=set)
    _slots: object = None

    async def start(self):
        self._slots = asyncio.Semaphore(self.slots)
        self.waiting = 0
        for _ in range(START_TRIES):
            port = self.port or random.randint(*PORTS)
            try:
                self.server = await asyncio.start_server(
                    self._serve, '127.0.0.1', port
                )
            except OSError:
                await asyncio.sleep(0.1)
            else:
                self.port = port
                return
        raise OSError(f'{self.replica_id} found no free port')

    def end(self):
        """Ends the process: resets connections and closes the port."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        return {
            'backend': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': '1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        if len(self.writers) >= self.max_conns:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        line, *fields = head.strip().split('\r\n')
        headers = {
            name.lower(): value
            for name, value in (field.split(': ', 1) for field in fields)
        }
        await reader.readexactly(int(headers.get('content-length', 0)))
        target = line.split(' ')[1]
        request_id = headers.get('x-request-id', '')
        if not request_id:
            self._answer(writer, 400, request_id, {'X-Not-Executed': '1'})
            return True
        if headers.get('x-expect-instance', self.replica_id) != (
            self.replica_id
        ):
            self._answer(writer, 421, request_id, {})
            return True
        now = self.record.now()
        self.arrivals.append((now, request_id, target))
        self.record.add(f'{self.replica_id} receives {request_id}')
        left = int(headers.get('x-deadline-ms', '30000')) / 1000
        deadline = time.monotonic() + left
        if self._slots.locked() and self.waiting >= self.queue:
            self._shed(writer, request_id)
            return True
        return await self._run(reader, writer, request_id, target, deadline)

    async def _run(self, reader, writer, request_id, target, deadline):
        # A connection that closes ends the request.
        gone = asyncio.ensure_future(reader.read(1))
        try:
            self.waiting += 1
            try:
                got_slot = await self._wait_for_slot(gone, deadline)
            finally:
                self.waiting -= 1
            if not got_slot:
                if gone.done():
                    return False
                self._shed(writer, request_id)
                return True
            try:
                return await self._work(
                    gone, writer, request_id, target, deadline
                )
            finally:
                self._slots.release()
        finally:
            if not gone.done():
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError, OSError):
                    await gone

    async def _wait_for_slot(self, gone, deadline):
        slot = asyncio.ensure_future(self._slots.acquire())
        left = max(0.0, deadline - time.monotonic())
        await asyncio.wait(
            (slot, gone), timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        if slot.done() and not gone.done():
            return True
        if slot.done():
            self._slots.release()
        slot.cancel()
        return False

    async def _work(self, gone, writer, request_id, target, deadline):
        self.runs.append((self.record.now(), request_id, target))
        self.record.add(f'{self.replica_id} runs {request_id}')
        if self.crashes_on and self.crashes_on in target:
            await self._run_to_crash(gone, request_id)
            return False
        left = max(0.0, deadline - time.monotonic())
        seconds = self.work(target)
        await asyncio.wait((gone,), timeout=min(left, seconds))
        if gone.done():
            self.record.add(f'{self.replica_id} drops {request_id}: closed')
            return False
        if seconds >= left:
            stamp = {'X-Server-Stamp': f'{self.replica_id}.{request_id}'}
            self._answer(writer, 504, request_id, stamp)
            return True
        stamp = {'X-Server-Stamp': f'{self.replica_id}.{request_id}'}
        self._answer(writer, 200, request_id, stamp, os.urandom(16) * 4)
        return True

    async def _run_to_crash(self, gone, request_id):
        incarnation = self.incarnation
        if self.drops_closed:
            await asyncio.wait((gone,), timeout=self.crash_delay)
        else:
            await asyncio.sleep(self.crash_delay)
        if incarnation != self.incarnation:
            return  # another request has crashed the process meanwhile
        if gone.done() and self.drops_closed:
            self.record.add(f'{self.replica_id} drops {request_id}')
            return
        self._crash(request_id)

    def _crash(self, request_id):
        self.incarnation += 1
        self.crashes.append((self.record.now(), request_id))
        self.record.add(f'{self.replica_id} crashes on {request_id}')
        self.end()
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.restart_after, lambda: loop.create_task(self._restart())
        )

    async def _restart(self):
        # The replica starts again under its id.
        self.born, self.sequence = time.time_ns() // 1_000_000, 1
        await self.start()
        self.record.add(f'{self.replica_id} is back')

    def _shed(self, writer, request_id):
        self.record.add(f'{self.replica_id} turns {request_id} away: full')
        self._answer(writer, 503, request_id, {'X-Not-Executed': '1'})

    def _answer(self, writer, status, request_id, headers, body=b''):
        fields = {
            'X-Request-Id': request_id,
            'X-Server-Load': f'{self.slots - self._slots._value},'
            f'{self.waiting},{self.slots}',
            'Content-Length': str(len(body)),
        } | headers
        lines = ''.join(
            f'{name}: {value}\r\n' for name, value in fields.items()
        )
        self.record.add(f'{self.replica_id} answers {request_id}: {status}')
        if not writer.transport.is_closing():
            writer.write(f'HTTP/1.1 {status} X\r\n{lines}\r\n'.encode() + body)


@dataclasses.dataclass(eq=False)
class Node:
    """A front node: the project's program as a process."""

    name: str
    host: str
    ports: dict
    settings: pathlib.Path
    proc: object = None


class Platform:
    """The store, the replicas and the nodes of one case."""

    def __init__(self, record):
        self.record = record
        self.store = stores.Store()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.nodes, self.replicas = {}, {}
        self._runner = self._store_port = None
        self._beats = None

    async def start_store(self):
        self._runner = web.AppRunner(
            stores.make_app(self.store), access_log=None
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self._store_port = site._server.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        """Lets the replicas write their entries about each 1.2 s."""
        while True:
            await asyncio.sleep(1.2)
            for replica in self.replicas.values():
                if replica.server.is_serving():
                    replica.sequence += 1
                    self.put_replica(replica)

    def put_replica(self, replica):
        stores.put(
            self.store,
            f'servers/{replica.replica_id}',
            json.dumps(replica.entry()).encode(),
        )

    def remove_replica(self, replica):
        """Ends a replica and removes its entry."""
        del self.replicas[replica.replica_id]
        replica.end()
        stores.remove(self.store, f'servers/{replica.replica_id}')

    async def add_replica(self, replica):
        await replica.start()
        self.replicas[replica.replica_id] = replica
        self.put_replica(replica)

    def put_config(self, version, routes, backends):
        config = {
            'version': version,
            'routes': routes,
            'backends': backends,
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        stores.put(self.store, 'op/config', json.dumps(config).encode())
        self.record.add(f'the store acknowledges configuration {version}')

    async def add_node(self, name, zone):
        number = len(self.nodes) + 1
        host, ports = _find_address(number)
        path = self.folder / f'{name}.toml'
        path.write_text(self._render_settings(name, zone, host, ports))
        self.nodes[name] = Node(name, host, ports, path)
        await self.start_node(name)

    async def start_node(self, name):
        node = self.nodes[name]
        command = _read_command()
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env |= {
            'CITRONWEIR_BOOT': str(node.settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with open(self.folder / f'{name}.log', 'ab') as log:
            node.proc = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.add(f'{name} starts')

    async def wait_ready(self, names=None):
        async with asyncio.timeout(START_TIMEOUT):
            for name in names or self.nodes:
                while not await self._is_ready(name):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, name):
        node = self.nodes[name]
        try:
            answer = await send(
                (node.host, node.ports['readiness']),
                b'GET /citronweir/ready HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\n\r\n',
                1.0,
            )
        except OSError:
            return False
        return answer.status == 200

    async def kill_nodes(self, names=None):
        """Sends SIGKILL to nodes of this case, at the same moment."""
        names = list(names or self.nodes)
        for name in names:
            self.nodes[name].proc.kill()
            self.record.add(f'{name} is killed')
        for name in names:
            await self.nodes[name].proc.wait()

    async def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        for node in self.nodes.values():
            if node.proc is not None and node.proc.returncode is None:
                node.proc.kill()
                await node.proc.wait()
        for replica in self.replicas.values():
            replica.end()
        if self._runner is not None:
            await self._runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _render_settings(self, name, zone, host, ports):
        zones = ''.join(
            f'{key} = "{region}"\n' for key, region in ZONES.items()
        )
        bounds = ''.join(f'{key} = {value}\n' for key, value in BOUNDS.items())
        front, readiness = ports['front'], ports['readiness']
        control, internal = ports['control'], ports['internal']
        return (
            f'node = "{name}"\nrole = "query"\nclass = "front"\n'
            f'serves = ["front"]\nip = "{host}"\nzone = "{zone}"\n'
            f'region = "{ZONES[zone]}"\n'
            f'internal_ports = [{internal}, {internal}]\nseeds = []\n'
            'bootstrap = true\nfault_counted = false\n'
            'discovery = "platform"\nentry = "vip"\nheartbeat_ms = 1200\n'
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"scatter","platform"]\n'
            f'[zones]\n{zones}'
            f'[listen]\nfront = "{host}:{front}"\n'
            f'readiness = "{host}:{readiness}"\n'
            f'control = "{host}:{control}"\n'
            '[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\n'
            'max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n'
            '[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n'
            f'[bounds]\n{bounds}'
            f'[platform]\naddress = "127.0.0.1:{self._store_port}"\n'
            'form = "kv"\nwrites_per_s = 400\nreads_per_s = 2000\n'
            'history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n'
        )


def make_route(name, prefix, **fields):
    """Returns a route in the form of the operator's configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': 'idempotent',
        'goal_ms': 858,
        'priority': 2,
        'max_attempts': 2,
    } | fields


def _read_command():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deploy['roles']['query']['run'].split()


def _find_address(number):
    """Finds a loopback address with free ports, the metrics port among them.

    Every node has an address of its own, since the metrics port is fixed.
    """
    for _ in range(100):
        host = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        host = f'{host}.{number}'
        sockets = [socket.socket() for _ in range(5)]
        try:
            sockets[0].bind((host, 9464))
            for sock in sockets[1:]:
                sock.bind((host, random.randint(*PORTS)))
            ports = [sock.getsockname()[1] for sock in sockets[1:]]
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
        names = ('front', 'readiness', 'control', 'internal')
        return host, dict(zip(names, ports, strict=True))
    raise OSError('no free loopback address')


@dataclasses.dataclass
class Answer:
    """Answer to a client; status 0 if none came in time."""

    status: int
    headers: dict
    body: bytes


NO_ANSWER = Answer(0, {}, b'')


async def send(address, payload, timeout):
    """Sends a request on a new connection and closes it after the answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(payload)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            line, *fields = head.strip().split('\r\n')
            headers = {
                name.lower(): value
                for name, value in (item.split(': ', 1) for item in fields)
            }
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length)
            return Answer(int(line.split(' ')[1]), headers, body)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return NO_ANSWER
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Sends requests to a node, each on a connection of its own.

    Attributes:
        ids: Ids of all requests sent.
        closed_at: Second at which the connection of a request was closed.
        statuses: Status of the answer, 0 if there was none.
    """

    def __init__(self, platform):
        self.platform, self.record = platform, platform.record
        self.ids, self.closed_at, self.statuses = [], {}, {}
        self.sent_at = {}

    async def request(
        self,
        node_name,
        target,
        deadline_ms,
        method='GET',
        body=b'',
        leaves_after=None,
    ):
        node = self.platform.nodes[node_name]
        request_id = os.urandom(8).hex()
        self.ids.append(request_id)
        length = f'Content-Length: {len(body)}\r\n' if body else ''
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n'
        )
        self.record.add(f'client sends {request_id} {target} to {node_name}')
        self.sent_at[request_id] = self.record.now()
        answer = await send(
            (node.host, node.ports['front']),
            head.encode() + body,
            deadline_ms / 1000 if leaves_after is None else leaves_after,
        )
        self.closed_at[request_id] = self.record.now()
        self.statuses[request_id] = answer.status
        self.record.add(
            f'client gets {answer.status or "no answer"} for {request_id}'
            ' and closes the connection'
        )
        return answer


async def send_steadily(make_request, per_second, seconds):
    """Starts requests at an even rate and waits until all have ended."""
    tasks, started = [], time.monotonic()
    for number in range(int(per_second * seconds)):
        wait = started + number / per_second - time.monotonic()
        await asyncio.sleep(max(0.0, wait))
        tasks.append(asyncio.create_task(make_request(number)))
    await asyncio.gather(*tasks)


def check_crashing_request(platform, text, stable_window, allowed_retries):
    """Returns whether a crashing request reached replicas too often.

    Retries count that a replica begins to run later than the stable window
    after the third crash.

    Args:
        platform: The platform of the case.
        text: Part of the target of the crashing request.
        stable_window: Seconds.
        allowed_retries: Number that the rule allows.
    """
    replicas = platform.replicas.values()
    crashes = sorted(at for replica in replicas for at, _ in replica.crashes)
    counted_from = float('inf')
    if len(crashes) >= 3:
        counted_from = crashes[2] + stable_window
    late = {
        request_id
        for replica in replicas
        for at, request_id, target in replica.runs
        if text in target and at > counted_from
    }
    late_crashes = sum(at > counted_from for at in crashes)
    result = (
        f'{len(crashes)} crashes; retries that reached replicas later than'
        f' stable_window_ms after the third: {len(late)}, with'
        f' {late_crashes} crashes'
    )
    platform.record.add(result)
    print(result)
    return len(late) > allowed_retries


def run_case(folder, case, has_trouble):
    """Runs a case and exits with its code.

    Args:
        folder: Folder of the case, in which record.txt is written.
        case: Coroutine function of the platform and of whether there is
            trouble; returns whether the rule was broken.
        has_trouble: Whether the case disrupts anything.
    """

    async def main():
        record = Record(folder / 'record.txt')
        platform = Platform(record)
        try:
            async with asyncio.timeout(MAX_CASE_TIME - 5.0):
                await platform.start_store()
                return await case(platform, has_trouble)
        finally:
            await platform.stop()

    try:
        is_broken = asyncio.run(main())
    except Exception as exc:
        print(f'the case could not run: {exc!r}')
        sys.exit(NOT_RUN)
    print('the rule was BROKEN' if is_broken else 'the rule held')
    sys.exit(BROKEN if is_broken else HELD)
