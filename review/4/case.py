"""Requests reach a replica long after their clients have left."""

import asyncio
import os
import pathlib
import random

from review import standins

SHARDS = 20
DEADLINE = 2500  # milliseconds
MEAN_WORK = 0.0165  # seconds
# Disruption: the replicas of one shard hang a share of their requests.
HANG_SHARE, HANG_AT, HANG_SECONDS = 0.6, 3.0, 9.0
PER_SECOND, SECONDS = 8.0, 15.0
GONE_BOUND = 0.5  # seconds
A_FEW = 5


async def run(platform, has_trouble):
    record, rng = platform.record, random.Random(1)
    is_hanging = False

    def work_in_hung_shard(target):
        if is_hanging and rng.random() < HANG_SHARE:
            return float('inf')
        return MEAN_WORK

    zones = ('cluj-est', 'bucuresti-nord')
    services = [f'registru-{number}' for number in range(SHARDS)]
    for number, service in enumerate(services):
        work = work_in_hung_shard if number == 2 else lambda target: MEAN_WORK
        for zone in zones:
            await platform.add_replica(
                standins.Replica(
                    record,
                    f'i-{number}-{zone}',
                    service,
                    work,
                    zone=zone,
                    slots=2,
                    max_conns=26,
                )
            )
    route = standins.make_route(
        'batch',
        '/batch/',
        timeout_ms=DEADLINE,
        goal_ms=168,
        priority=1,
        gather=services,
        top_k=50,
        min_shard_ratio=0.89,
    )
    backends = [{'name': name, 'max_conns': 26} for name in services]
    platform.put_config(7, [route], backends)
    await platform.add_node('front-1', 'cluj-est')
    await platform.wait_ready()
    client = standins.Client(platform)

    async def disrupt():
        nonlocal is_hanging
        await asyncio.sleep(HANG_AT)
        is_hanging = has_trouble
        record.add(f'the replicas of shard 2 hang: {is_hanging}')
        await asyncio.sleep(HANG_SECONDS)
        is_hanging = False
        record.add('the replicas of shard 2 hang: False')

    async def request(number):
        await client.request('front-1', f'/batch/{number}', DEADLINE)

    disruption = asyncio.create_task(disrupt())
    await standins.send_steadily(request, PER_SECOND, SECONDS)
    await disruption
    await asyncio.sleep(3.0)
    late = [
        (at, request_id, replica.replica_id)
        for replica in platform.replicas.values()
        for at, request_id, _ in replica.arrivals
        if at > client.closed_at[request_id] + GONE_BOUND
    ]
    for at, request_id, replica_id in late:
        seconds = at - client.closed_at[request_id]
        record.add(
            f'LATE: {request_id} reached {replica_id} {seconds:.3f} s after'
            f' its client had closed (status {client.statuses[request_id]})'
        )
    print(f'requests that reached a replica too late: {len(late)}')
    return len(late) > A_FEW


if __name__ == '__main__':
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    standins.run_case(pathlib.Path(__file__).parent, run, has_trouble)
