"""A replica drains while requests wait at the node for a connection to it."""

import asyncio
import os
import pathlib
import random

from review import standins

SERVICE = 'arhiva'
DEADLINE = 6000  # milliseconds
MEAN_WORK = 0.09  # seconds
# Disruption: the replicas hang a share of their requests for some seconds.
HANG_SHARE, HANG_SECONDS = 0.6, 9.0
HANG_AT, DRAIN_AT = 4.0, 8.5  # seconds from the first request
PER_SECOND, SECONDS = 16.0, 16.0
DRAIN_BOUND = 3.0  # seconds, drain_ms
# The replica serves a little longer than the bound and then exits.
EXIT_DELAY = 5.0  # seconds after its drain
BODY = b'replace dropper 7' * 20


async def run(platform, has_trouble):
    record, rng = platform.record, random.Random(1)
    is_hanging = False

    def work(target):
        number = int(target.rpartition('/')[2])
        if is_hanging and number % 10 < 10 * HANG_SHARE:
            return float('inf')
        return MEAN_WORK * rng.uniform(0.5, 1.5)

    for number, zone in enumerate(standins.ZONES):
        await platform.add_replica(
            standins.Replica(record, f'i-{number}', SERVICE, work, zone=zone)
        )
    route = standins.make_route(
        'archive',
        '/archive/',
        kind='non_idempotent',
        timeout_ms=DEADLINE,
        backend=SERVICE,
    )
    platform.put_config(7, [route], [{'name': SERVICE, 'max_conns': 40}])
    await platform.add_node('front-1', 'cluj-est')
    await platform.wait_ready()
    client = standins.Client(platform)
    leaving = platform.replicas['i-0']
    acked_at = None

    async def disrupt():
        nonlocal is_hanging, acked_at
        await asyncio.sleep(HANG_AT)
        is_hanging = has_trouble
        record.add(f'the replicas hang: {is_hanging}')
        await asyncio.sleep(DRAIN_AT - HANG_AT)
        leaving.state = 'draining'
        platform.put_replica(leaving)
        acked_at = record.now()
        record.add('the store acknowledges that i-0 is draining')
        await asyncio.sleep(HANG_AT + HANG_SECONDS - DRAIN_AT)
        is_hanging = False
        record.add('the replicas hang: False')
        await asyncio.sleep(max(0.0, acked_at + EXIT_DELAY - record.now()))
        record.add('i-0 exits and its entry is removed')
        platform.remove_replica(leaving)

    async def request(number):
        await client.request(
            'front-1', f'/archive/{number}', DEADLINE, 'POST', BODY
        )

    disruption = asyncio.create_task(disrupt())
    await standins.send_steadily(request, PER_SECOND, SECONDS)
    await disruption
    late = [
        (at, request_id)
        for at, request_id, _ in leaving.arrivals
        if at > acked_at + DRAIN_BOUND
    ]
    for at, request_id in late:
        waited = at - client.sent_at[request_id]
        record.add(
            f'BROKEN: {request_id} reached i-0 {at - acked_at:.3f} s after the'
            f' acknowledgement, {waited:.3f} s after the client had sent it;'
            f' the client got {client.statuses[request_id] or "no answer"}'
        )
    lost = [item for _, item in late if client.statuses[item] != 200]
    text = (
        f'requests that reached the replica after the bound: {len(late)};'
        f' of these orders {len(lost)} were cut off when it exited'
    )
    record.add(text)
    print(text)
    return bool(late)


if __name__ == '__main__':
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    standins.run_case(pathlib.Path(__file__).parent, run, has_trouble)
