"""Compares the processor time of one exchange with a replica.

The product's own connections use the parser httptools; the rest uses
aiohttp. The stand-in of the replica runs in another process, so that only
the client's time counts.
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
PARALLEL = 20  # exchanges at once, the shards of one request
PART_BYTES = 1000


def _serve(ready):
    async def main():
        replica = platform_replica.Replica('i-1', b'x' * PART_BYTES)
        server = await platform_replica.start(replica)
        ready.send(server.sockets[0].getsockname()[1])
        while True:
            await asyncio.sleep(1.0)
            replica.seen.clear()

    asyncio.run(main())


def _request(number):
    return core.HttpRequest(
        core.RequestId(f'id-{number}'), 'GET', 'a.example', '/a/', (), b'', 9.0
    )


async def _run_lanes(port):
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
        req = _request(number)
        encode = platform.make_encoder(req)
        upstreams.submit(
            channels,
            replica,
            PARALLEL,
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


async def _run_aiohttp(port):
    connector = aiohttp.TCPConnector(limit=PARALLEL)
    session = aiohttp.ClientSession(connector=connector)
    url = f'http://127.0.0.1:{port}/a/'

    # The fields of the platform come from the product's own encoder.
    encode = platform.make_encoder(_request(0))
    head = encode(core.ReplicaId('i-1'), 9.0).decode().strip()
    fields = dict(line.split(': ') for line in head.split('\r\n')[1:])
    (id_field,) = (name for name in fields if fields[name] == 'id-0')

    async def send(number):
        headers = fields | {id_field: f'id-{number}'}
        async with session.get(url, headers=headers) as resp:
            return await resp.read()

    return send, session.close


async def _measure(start, port):
    send, close = await start(port)
    await asyncio.gather(*(send(number) for number in range(PARALLEL)))
    started = time.process_time()
    for first in range(0, REQUESTS, PARALLEL):
        await asyncio.gather(
            *(send(number) for number in range(first, first + PARALLEL))
        )
    spent = time.process_time() - started
    closing = close()
    if closing is not None:
        await closing
    return spent / REQUESTS


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """One way of an exchange."""

    name: str
    start: object


WAYS = (Way('httptools', _run_lanes), Way('aiohttp', _run_aiohttp))


def main() -> None:
    """Prints the median processor time of an exchange for each way."""
    ours, theirs = multiprocessing.Pipe()
    server = multiprocessing.Process(
        target=_serve, args=(theirs,), daemon=True
    )
    server.start()
    port = ours.recv()
    spent = {way.name: [] for way in WAYS}
    for _ in range(ROUNDS):
        for way in WAYS:
            spent[way.name].append(asyncio.run(_measure(way.start, port)))
    for name, values in spent.items():
        print(f'{name}: {statistics.median(values) * 1e6:.0f} us')
    server.terminate()


if __name__ == '__main__':
    main()
