"""Measures CPU time and memory of streams and upstream connections."""

import asyncio
from collections import abc
import contextlib
import json
import random
import subprocess
import sys
import time
import tracemalloc

import aiohttp

from bench import _fleet_data as fleet_data
from bench import _http_standin as http_standin
from bench import _slopes as slopes
from bench import streams
from citronweir import core
from citronweir import nodes
from citronweir import service
from citronweir import upstreams
from citronweir.upstreams import _codec as codec
from fakes import fleet

HIT_COUNTS = (1, 5, 10, 20, 40)
HTTP_BATCH_SIZES = (1, 4, 16, 64)
OWNED_COUNTS = (1, 2, 4, 8)
CONN_COUNTS = (2, 4, 8, 16)
STREAM_COUNTS = (8, 16, 32, 64)
STREAM_ROUNDS = 3
_HEADERS = {'content-type': 'application/json'}


def measure_all() -> list[slopes.Slope]:
    """Measures the slopes of streams and upstream connections."""
    with _run_stub_server() as port:
        measured = [
            _measure_stream_batches(),
            asyncio.run(_measure_upstream_requests(port)),
            asyncio.run(_measure_http_batches(port)),
            asyncio.run(_measure_probes(port)),
            asyncio.run(_measure_conn_memory(port)),
        ]
    return measured + asyncio.run(_measure_open_streams())


@contextlib.contextmanager
def _run_stub_server() -> abc.Iterator[int]:
    port = fleet.free_ports(1)[0]
    proc = subprocess.Popen(
        [sys.executable, '-m', http_standin.__name__, str(port)],
        cwd=fleet.ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        proc.stdout.readline()
        yield port
    finally:
        proc.stdin.close()
        proc.wait(10)


def _measure_stream_batches():
    rows = asyncio.run(streams.measure_batches(STREAM_ROUNDS))
    return slopes.make_slope(
        'stream',
        'sub-requests and replies over a node stream, both ends',
        'sub-requests in one turn',
        'us',
        [(row['batch'], row['batched_us'] * row['batch']) for row in rows],
    )


async def _measure_upstream_requests(port):
    """Measures upstreams.send_search by the number of hits in the reply.

    The stub server reads the number of hits from the traceparent header,
    which the client forwards unchanged.
    """
    replica = fleet_data.make_replica(0, http_standin.PIECES, port=port)
    key_range = replica.holdings[0].key_range
    points = []
    async with upstreams.open_pools() as pools:
        for hits in HIT_COUNTS:
            sub = core.SubSearch(
                fleet_data.REQUEST_ID,
                fleet_data.INDEX,
                fleet_data.SNAPSHOT,
                key_range,
                'pump line pressure',
                hits,
                core.Rank.URGENT,
                time.monotonic() + 60.0,
                str(hits),
            )

            async def search(sub=sub):
                report = await upstreams.send_search(pools, replica, sub)
                if not isinstance(report.outcome, core.SubAnswer):
                    raise RuntimeError(f'not answered: {report}')

            points.append((hits, await slopes.time_async(search, 400)))
    return slopes.make_slope(
        'upstream',
        'one request to an upstream, client end',
        'hits of the reply',
        'us',
        points,
    )


async def _measure_http_batches(port):
    """Measures a trial: several sub-requests in one HTTP request.

    The time includes encoding the sub-requests and decoding the replies.
    """
    sub = fleet_data.make_sub_search(
        fleet_data.make_range(0, http_standin.PIECES), 60.0
    )
    url = f'http://127.0.0.1:{port}/search'
    points = []
    async with aiohttp.ClientSession(
        cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        for batch in HTTP_BATCH_SIZES:

            async def send(batch=batch):
                bodies = [codec.encode_sub(sub) for _ in range(batch)]
                body = b'[' + b','.join(bodies) + b']'
                headers = {**_HEADERS, 'x-batch': str(batch)}
                async with session.post(
                    url, data=body, headers=headers
                ) as resp:
                    replies = json.loads(await resp.read())
                for fields in replies:
                    raw = json.dumps(fields).encode()
                    answer = codec.decode_search_reply(sub, 200, {}, raw)
                    if not isinstance(answer, core.SubAnswer):
                        raise RuntimeError(f'not answered: {answer}')

            count = max(10, 400 // batch)
            points.append((batch, await slopes.time_async(send, count)))
    return slopes.make_slope(
        'http_batch',
        'trial: sub-requests in one HTTP request, client end',
        'sub-requests in it',
        'us',
        points,
    )


async def _measure_probes(port):
    points = []
    rng = random.Random(1)
    async with upstreams.open_pools() as pools:
        for owned in OWNED_COUNTS:
            replicas = {}
            for host in http_standin.HOSTS[:owned]:
                replica = core.Replica(
                    core.ReplicaId(host),
                    core.Address(host, port),
                    core.ReplicaState.READY,
                    max_conns=25,
                )
                replicas[replica.replica_id] = replica
            points.append((owned, await _time_probes(pools, replicas, rng)))
    return slopes.make_slope(
        'probes',
        'one round of probes',
        'owned replicas',
        'us',
        points,
    )


async def _time_probes(pools, replicas, rng):
    def publish(replica):
        replicas[replica.replica_id] = replica

    async def fetch(replica):
        status = await upstreams.fetch_status(pools, replica)
        if isinstance(status, upstreams.StatusError):
            raise RuntimeError(status.detail)
        return status

    deps = service.ProbeDependencies(
        time.monotonic,
        lambda: list(replicas.values()),
        replicas.get,
        fetch,
        lambda replica_id: None,
        publish,
    )
    probes = service.Probes()

    async def probe():
        await service.probe_owned(probes, deps, rng)

    return await slopes.time_async(probe, 2)


async def _measure_conn_memory(port):
    points = []
    replica = fleet_data.make_replica(0, http_standin.PIECES, port=port)
    sub = fleet_data.make_sub_search(replica.holdings[0].key_range, 120.0)
    for conns in CONN_COUNTS:
        async with upstreams.open_pools() as pools:
            await _open_connections(pools, replica, sub, conns)
        tracemalloc.start()
        async with upstreams.open_pools() as pools:
            before = tracemalloc.get_traced_memory()[0]
            await _open_connections(pools, replica, sub, conns)
            memory_bytes = tracemalloc.get_traced_memory()[0] - before
            points.append((conns, memory_bytes / 1024))
        tracemalloc.stop()
    return slopes.make_slope(
        'conn_memory',
        'memory of open connections to an upstream',
        'connections',
        'KB',
        points,
    )


async def _open_connections(pools, replica, sub, count):
    sub = core.SubSearch(
        sub.request_id,
        sub.index,
        sub.snapshot,
        sub.key_range,
        sub.query,
        sub.limit,
        sub.rank,
        sub.deadline,
        str(fleet_data.HITS),
    )
    await asyncio.gather(
        *(upstreams.send_search(pools, replica, sub) for _ in range(count))
    )


async def _measure_open_streams():
    """Measures memory and opening of streams, and a push over them."""
    memory_points, push_points, opening_points = [], [], []
    for count in STREAM_COUNTS:
        memory_bytes, opening_us, push_us = await _measure_streams_to_peers(
            count
        )
        memory_points.append((count, memory_bytes / 1024))
        opening_points.append((count, opening_us))
        push_points.append((count, push_us))
    return [
        slopes.make_slope(
            'stream_memory',
            'memory of open streams, both ends',
            'streams',
            'KB',
            memory_points,
        ),
        slopes.make_slope(
            'stream_open',
            'opening of streams with their handshake, both ends',
            'streams',
            'us',
            opening_points,
        ),
        slopes.make_slope(
            'push',
            'push of one changed record to peers, both ends',
            'peers',
            'us',
            push_points,
        ),
    ]


async def _measure_streams_to_peers(count):
    """Returns memory in bytes, and CPU time of opening and of a push."""
    received = []
    identity = nodes.Identity(
        core.NodeId('a'), fleet_data.DC, core.Incarnation(1), b'key'
    )

    async def refuse(replica_id, sub):
        return core.OwnerAnswer(core.SubNotRun(core.NotRunReason.NO_REPLICA))

    def ignore(item):
        pass

    handlers = nodes.Handlers(
        refuse,
        ignore,
        lambda dc, batch: received.append(batch),
        lambda revision: core.ConfigBatch(),
        ignore,
    )
    listen = core.Address('127.0.0.1', 0)
    servers = [
        await nodes.start_server(listen, identity, handlers)
        for _ in range(count)
    ]
    addresses = [
        core.Address('127.0.0.1', nodes.get_port(server)) for server in servers
    ]
    batch = core.ConfigBatch((_make_record(),))
    # The first push over new links opens their streams.
    tracemalloc.start()
    links = nodes.open_links(identity, random.Random(1))
    before = tracemalloc.get_traced_memory()[0]
    await _push_and_wait(links, addresses, batch, received)
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    await nodes.close_links(links)
    links = nodes.open_links(identity, random.Random(1))
    start = time.process_time()
    await _push_and_wait(links, addresses, batch, received)
    opening_us = (time.process_time() - start) * 1e6

    async def push():
        await _push_and_wait(links, addresses, batch, received)

    push_us = await slopes.time_async(push, 20)
    await nodes.close_links(links)
    for server in servers:
        await nodes.close_server(server)
    return memory_bytes, opening_us, push_us


async def _push_and_wait(links, addresses, batch, received):
    received.clear()
    for address in addresses:
        nodes.send_config(links, address, batch)
    for _ in range(1000):
        if len(received) == len(addresses):
            return
        await asyncio.sleep(0.001)
    raise RuntimeError(
        f'only {len(received)} of {len(addresses)} pushed records arrived'
    )


def _make_record():
    contract = fleet_data.make_contract(7, 1_796_380_000.0)
    return fleet_data.make_contract_record(contract, core.Revision(7))
