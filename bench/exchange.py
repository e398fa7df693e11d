"""Compares the CPU time of two HTTP clients for one exchange with a replica.

One client is the product's own, which uses the parser httptools. The other is
aiohttp. The fake replica runs in another process, so that only the CPU time
of the client is measured.
"""

import asyncio
import dataclasses
import multiprocessing
import statistics
import time

import aiohttp

from citronweir import core
from citronweir import platform
from citronweir import upstreams
from fakes import platform_replica

REQUESTS = 3000
ROUNDS = 5
CONCURRENCY = 20  # exchanges at once, the shards of one request
BODY_BYTES = 1000


def _run_replica(ready):
    async def main():
        replica = platform_replica.Replica('i-1', b'x' * BODY_BYTES)
        server = await platform_replica.start(replica)
        ready.send(server.sockets[0].getsockname()[1])
        while True:
            await asyncio.sleep(1.0)
            replica.seen.clear()

    asyncio.run(main())


def _make_request(number):
    return core.HttpRequest(
        core.RequestId(f'id-{number}'), 'GET', 'a.example', '/a/', (), b'', 9.0
    )


async def _start_channels(port):
    channels = upstreams.Channels(time.monotonic)
    replica = core.ListedReplica(
        core.ReplicaId('i-1'),
        core.ServiceName('s'),
        core.Address('127.0.0.1', port),
        core.DataCentre('dc'),
        core.ListedState.READY,
    )

    def send(number):
        future = asyncio.get_running_loop().create_future()
        req = _make_request(number)
        encode = platform.make_encoder(req)
        upstreams.submit(
            channels,
            replica,
            CONCURRENCY,
            upstreams.Exchange(
                core.Rank.URGENT,
                time.monotonic() + 9.0,
                lambda left: encode(replica.replica_id, left),
                platform.decode_reply,
                platform.make_reply_matcher(req.request_id),
                future.set_result,
            ),
        )
        return future

    return send, lambda: upstreams.close_all(channels)


async def _start_aiohttp(port):
    connector = aiohttp.TCPConnector(limit=CONCURRENCY)
    session = aiohttp.ClientSession(connector=connector)
    url = f'http://127.0.0.1:{port}/a/'

    # The product's encoder supplies the header fields of the platform.
    encode = platform.make_encoder(_make_request(0))
    encoded_request = encode(core.ReplicaId('i-1'), 9.0).decode().strip()
    platform_headers = dict(
        line.split(': ') for line in encoded_request.split('\r\n')[1:]
    )
    (id_header,) = (
        name for name in platform_headers if platform_headers[name] == 'id-0'
    )

    async def send(number):
        headers = platform_headers | {id_header: f'id-{number}'}
        async with session.get(url, headers=headers) as resp:
            return await resp.read()

    return send, session.close


async def _measure_client(start, port):
    send, close = await start(port)
    await asyncio.gather(*(send(number) for number in range(CONCURRENCY)))
    start_time = time.process_time()
    for batch_start in range(0, REQUESTS, CONCURRENCY):
        await asyncio.gather(
            *(
                send(number)
                for number in range(batch_start, batch_start + CONCURRENCY)
            )
        )
    cpu_time = time.process_time() - start_time
    pending_close = close()
    if pending_close is not None:
        await pending_close
    return cpu_time / REQUESTS


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """HTTP client to measure.

    Attributes:
        name: Name in the output.
        start: Coroutine function that takes the port of the replica and
            returns a function that sends a request and one that closes the
            client.
    """

    name: str
    start: object


CLIENTS = (
    Client('httptools', _start_channels),
    Client('aiohttp', _start_aiohttp),
)


def main() -> None:
    """Prints the median CPU time of an exchange for each client."""
    parent_conn, child_conn = multiprocessing.Pipe()
    server = multiprocessing.Process(
        target=_run_replica, args=(child_conn,), daemon=True
    )
    server.start()
    port = parent_conn.recv()
    cpu_times = {client.name: [] for client in CLIENTS}
    for _ in range(ROUNDS):
        for client in CLIENTS:
            cpu_times[client.name].append(
                asyncio.run(_measure_client(client.start, port))
            )
    for name, values in cpu_times.items():
        print(f'{name}: {statistics.median(values) * 1e6:.0f} us')
    server.terminate()


if __name__ == '__main__':
    main()
