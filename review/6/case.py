"""A request over 40 shards that crashes each replica that runs it."""

import asyncio
import time

from review import standins_2 as standins

SHARDS = 40
COPIES = 2
NODES = 3
BAD_PATH = '/a/crashing'
# Limits of RULES.md, BUDGET, and of the site.
STABLE_WINDOW = 6.0  # seconds
MAX_RETRIES = 3
REPEAT_SECONDS = 45.0
REPEAT_PAUSE = 0.5  # seconds
BOUNDS = standins.BOUNDS | {
    'drain_ms': 5000,
    'config_apply_ms': 5000,
    'stable_window_ms': 6000,
    'ack_ms': 10000,
    'retry_slack': 218,
}


async def run(has_trouble, record):
    """Runs the case and returns its exit status."""
    crashes = []

    async def answer(replica, line, headers, body):
        request_id = headers['x-request-id']
        if has_trouble and line.split()[1] == BAD_PATH:
            crashes.append((time.monotonic(), request_id, replica.replica_id))
            standins.note(
                fleet,
                f'{replica.replica_id} crashes while it runs {request_id}',
            )
            return None
        await asyncio.sleep(0.005)
        headers = standins.signed(replica, request_id)
        return standins.render(200, headers, replica.service.encode() * 4)

    async with standins.run_fleet() as fleet:
        zones = list(standins.ZONES)
        names = [f's{number:03}' for number in range(SHARDS)]
        for name in names:
            for copy in range(COPIES):
                await standins.add_replica(
                    fleet, name, zones[copy % len(zones)], answer
                )
        routes = [
            standins.make_route(gather=names, top_k=5, min_shard_ratio=0.75),
            standins.make_route(
                name='other', path_prefix='/b/', backend=names[0]
            ),
        ]
        standins.put_config(fleet, 7, routes)
        for number in range(NODES):
            await standins.add_node(
                fleet,
                f'front-{number + 1}',
                zones[number % len(zones)],
                BOUNDS,
            )
        await standins.wait_until_ready(fleet)
        await asyncio.sleep(5.0)
        return await _repeat(fleet, crashes, record)


async def _repeat(fleet, crashes, record):
    sent, statuses, others = {}, [], []
    ends_at = time.monotonic() + REPEAT_SECONDS
    nodes = list(fleet.nodes)

    async def send_others():
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            node = nodes[number % len(nodes)]
            status, _, _ = await standins.send(
                fleet, node, '/b/x', f'other-{number}'
            )
            others.append(status)
            await asyncio.sleep(0.02)

    other = asyncio.create_task(send_others())
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        request_id = f'again-{number}'
        sent[request_id] = time.monotonic()
        node = nodes[number % len(nodes)]
        status, _, _ = await standins.send(
            fleet, node, BAD_PATH, request_id, deadline_ms=1000
        )
        statuses.append(status)
        standins.note(fleet, f'{request_id} at {node}: {status}')
        await asyncio.sleep(REPEAT_PAUSE)
    await other
    crashed = {request_id for _, request_id, _ in crashes}
    late = set()
    if len(crashes) >= MAX_RETRIES:
        third_at = sorted(crashes)[2][0]
        late = {
            item.request_id
            for item in fleet.arrivals
            if item.request_id in sent
            and sent[item.request_id] > third_at + STABLE_WINDOW
        }
    is_broken = len(late) > MAX_RETRIES
    summary = [
        f'repeats sent: {len(sent)}; answers: '
        + standins.count_statuses(statuses),
        f'crashes of replicas: {len(crashes)}, under {len(crashed)} repeats',
        f'retries that reached replicas later than {STABLE_WINDOW:.0f} s '
        f'after the third crash: {len(late)}; allowed: {MAX_RETRIES}',
        f'requests of another client: {len(others)}; answers: '
        + standins.count_statuses(others),
        'BUDGET is broken' if is_broken else 'BUDGET held',
    ]
    standins.write_record(fleet, record, summary)
    print('\n'.join(summary))
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == '__main__':
    standins.run_case(run, __file__)
