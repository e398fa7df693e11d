"""Tests of hostile input on every port while valid callers are served."""

import asyncio
import contextlib
import random

import aiohttp
import pytest

from fakes import fleet as fleets
from tests import support

READ_SECONDS = 1.0
CONNECTIONS = 200
CONTROL_CONNECTIONS = 64  # limit of the operators' and the metrics port
SETTINGS = {
    ('limits', 'read_seconds'): str(READ_SECONDS),
    ('limits', 'connections'): '100',
}
PORTS = ('callers', 'operators', 'nodes', 'metrics')
HEAD = b'POST /v1/search HTTP/1.1\r\nhost: a\r\n'
RNG_SEED = 7
# Seconds that a connection stays open after its payload.
PAYLOAD_HOLD_TIME = 0.2
BYTE_INTERVAL = 0.1  # seconds between two bytes of a slow sender


def _make_payloads():
    rng = random.Random(RNG_SEED)
    return [
        rng.randbytes(4096),
        b'\xff' * 4096,
        b'\x00' * 4096,
        # A length of one gibibyte, of a frame and of a body.
        (1 << 30).to_bytes(4) + b'x' * 1000,
        HEAD + b'content-length: 1073741824\r\n\r\n{',
        HEAD + b'content-length: -1\r\n\r\n',
        HEAD + b'transfer-encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n',
        b'GET /' + b'a' * 100_000,
        HEAD + b'a: ' + b'b' * 100_000 + b'\r\n\r\n',
        b'',
    ]


async def _send_payload(port, payload):
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(fleets.HOST, port)
        writer.write(payload)
        await asyncio.sleep(PAYLOAD_HOLD_TIME)
        writer.transport.abort()


async def _is_slow_sender_cut(port):
    """Sends a request byte by byte; returns whether the node closes it."""
    reader, writer = await asyncio.open_connection(fleets.HOST, port)
    try:
        async with asyncio.timeout(10 * READ_SECONDS):
            for byte in HEAD * 100:
                writer.write(bytes((byte,)))
                await asyncio.sleep(BYTE_INTERVAL)
                if writer.transport.is_closing() or reader.at_eof():
                    return True
    except (OSError, TimeoutError):
        return not isinstance(reader.exception(), type(None))
    finally:
        writer.transport.abort()
    return False


async def _count_open(port):
    """Opens many connections; returns how many the node keeps open."""
    conns = await asyncio.gather(
        *(
            asyncio.open_connection(fleets.HOST, port)
            for _ in range(CONNECTIONS)
        )
    )
    ends = [asyncio.create_task(reader.read()) for reader, _ in conns]
    await asyncio.wait(ends, timeout=READ_SECONDS / 2)
    count = sum(not end.done() for end in ends)
    for end in ends:
        end.cancel()
    for _, writer in conns:
        writer.transport.abort()
    await asyncio.gather(*ends, return_exceptions=True)
    return count


@contextlib.asynccontextmanager
async def _run_node(tmp_path):
    index = fleets.IndexSpec('parts', shards=1, replicas=2)
    spec = fleets.FleetSpec(('dc1',), 2, (index,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        async with support.run_load(load, fleet.nodes, callers=2):
            await support.wait_for_replies(load, 20)
            yield fleet, session
            await support.wait_for_replies(load, 20)
        support.check_all_complete(load)
        assert all(fleet.procs[name].poll() is None for name in fleet.nodes)


async def test_valid_caller_is_served_during_hostile_input(tmp_path):
    """Guards against payloads or slow senders that block a port or node."""
    async with _run_node(tmp_path) as (fleet, session):
        ports = fleet.nodes['dc1-n0']
        numbers = [getattr(ports, name) for name in PORTS]
        await asyncio.gather(
            *(
                _send_payload(port, payload)
                for port in numbers
                for payload in _make_payloads()
                for _ in range(5)
            )
        )
        were_senders_cut = await asyncio.gather(
            *(_is_slow_sender_cut(port) for port in numbers)
        )
        assert dict(
            zip(PORTS, were_senders_cut, strict=True)
        ) == dict.fromkeys(PORTS, True)
        for port in (ports.operators, ports.metrics):
            assert await _count_open(port) <= CONTROL_CONNECTIONS
        # Both ports still serve a valid client.
        await support.list_alive(fleet, 'dc1-n0')
        url = f'http://{fleets.HOST}:{ports.metrics}/metrics'
        async with session.get(url) as resp:
            assert 'citronweir_searches' in await resp.text()


@pytest.mark.parametrize(
    'key',
    [None, '', 'wrong', 'ключ', support.CONTRACT, fleets.CLUSTER_KEY],
)
async def test_operators_calls_need_the_key(one_node, key):
    """Guards against operator access with a contract id or another secret."""
    ports = one_node.nodes['dc1-n0']
    headers = {} if key is None else {'Authorization': f'Bearer {key}'}
    path = '/citronweir.operators.v1.Operators/GetStatus'
    async with aiohttp.ClientSession() as session:
        for port, status in ((ports.operators, 401), (ports.callers, 404)):
            url = f'http://{fleets.HOST}:{port}{path}'
            async with session.post(url, json={}, headers=headers) as resp:
                assert resp.status == status


@pytest.fixture(scope='module')
def one_node(tmp_path_factory):
    """Runs one node, shared by tests that only read from it."""
    folder = tmp_path_factory.mktemp('one_node')
    index = fleets.IndexSpec('parts', shards=1, replicas=1)
    spec = fleets.FleetSpec(('dc1',), 1, (index,))
    with asyncio.Runner() as runner:
        running = fleets.run_fleet(spec, folder)
        fleet = runner.run(running.__aenter__())

        async def is_open():
            return await fleets.is_listening(fleet.nodes['dc1-n0'].operators)

        runner.run(fleets.wait_for(is_open, "the operators' port"))
        yield fleet
        runner.run(running.__aexit__(None, None, None))
