"""Measures the CPU time of a sub-request between two nodes.

Both nodes run in this process and are connected by one loopback stream, so
the time covers sending and receiving of both the request and the reply.
Batched writes are compared with a separate write for each frame. Prints JSON.
"""

import argparse
import asyncio
import json
import random
import statistics
import time

from citronweir import core
from citronweir import nodes
from citronweir.nodes import _streams as streams

BATCH_SIZES = (1, 8, 64, 256)
ROUNDS = 7
REQUESTS = 2048  # for each round, batch size and kind of write

_send_batched = streams.send


def _send_unbatched(stream, frame, seq=None):
    is_queued = _send_batched(stream, frame, seq)
    streams.flush(stream)
    return is_queued


async def _run_sub(replica_id, sub):
    answer = core.SubAnswer(
        sub.snapshot,
        sub.key_range,
        1000,
        1000,
        2000,
        (core.Hit('pump-1', 0.5, 'reading'),),
    )
    return core.OwnerAnswer(answer, 0.003, ((core.Rank.URGENT, 0.001),))


def _make_sub():
    return core.SubSearch(
        core.RequestId('01936d3c-7a5e-7000-8000-000000000000'),
        core.IndexName('readings'),
        core.SnapshotId(7),
        core.KeyRange(0, 1 << 20),
        'pump line pressure',
        10,
        core.Rank.URGENT,
        time.monotonic() + 10,
        '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01',
    )


async def _measure_batch(links, member, batch):
    """Returns the CPU time of a sub-request and its reply, microseconds."""
    start = time.process_time()
    for _ in range(REQUESTS // batch):
        await asyncio.gather(
            *(
                nodes.call_sub(
                    links, member, core.ReplicaId('r1'), _make_sub()
                )
                for _ in range(batch)
            )
        )
    return (time.process_time() - start) / REQUESTS * 1e6


async def _measure_row(links, member, batch, rounds):
    cpu_times = {'batched': [], 'each': []}
    for _ in range(rounds):
        for name, send in (
            ('batched', _send_batched),
            ('each', _send_unbatched),
        ):
            streams.send = send
            cpu_times[name].append(await _measure_batch(links, member, batch))
    streams.send = _send_batched
    batched, unbatched = map(statistics.median, cpu_times.values())
    return {
        'batch': batch,
        'batched_us': round(batched, 1),
        'each_us': round(unbatched, 1),
        'ratio_each_to_batched': round(unbatched / batched, 2),
    }


async def measure_batches(rounds: int = ROUNDS) -> list[dict]:
    """Measures sub-requests by the number sent in one loop iteration.

    Args:
        rounds: Number of rounds; the median is returned.

    Returns:
        Figures by name for each batch size.
    """

    def identity(name):
        node_id, dc = core.NodeId(name), core.DataCentre('d')
        return nodes.Identity(node_id, dc, core.Incarnation(1), b'key')

    def ignore(item):
        pass

    handlers = nodes.Handlers(
        _run_sub, ignore, ignore, lambda revision: core.ConfigBatch(), ignore
    )
    server = await nodes.start_server(
        core.Address('127.0.0.1', 0), identity('b'), handlers
    )
    member = core.Member(
        core.NodeId('b'),
        core.Address('127.0.0.1', nodes.get_port(server)),
        core.DataCentre('d'),
        core.MemberState.ALIVE,
        core.Incarnation(1),
    )
    links = nodes.open_links(identity('a'), random.Random(1))
    rows = [
        await _measure_row(links, member, batch, rounds)
        for batch in BATCH_SIZES
    ]
    await nodes.close_links(links)
    await nodes.close_server(server)
    return rows


def main() -> None:
    """Prints the figures for all batch sizes."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(json.dumps({'rows': asyncio.run(measure_batches())}, indent=1))


if __name__ == '__main__':
    main()
