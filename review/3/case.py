"""A request that crashes replicas comes again after all nodes were killed."""

import asyncio
import os
import pathlib

from review import standins

SERVICE = 'arhiva'
DEADLINE = 6000  # milliseconds
POISON = 'poison'
ZONES = [zone for zone in standins.ZONES for _ in range(3)][:8]
# The caller sends the request again at this interval, to each node in turn.
REPEAT_INTERVAL = 0.5  # seconds
FIRST_REPEATS = 16
LATER_REPEATS = 16
KILLS = 2  # times that all nodes are killed together
STABLE_WINDOW = 5.0  # seconds, stable_window_ms
ALLOWED_RETRIES = 3


async def run(platform, has_trouble):
    record = platform.record
    for number, zone in enumerate([*standins.ZONES] * 2):
        await platform.add_replica(
            standins.Replica(
                record,
                f'i-{number}',
                SERVICE,
                lambda target: 0.09,
                zone=zone,
                crashes_on=POISON,
            )
        )
    route = standins.make_route(
        'archive', '/archive/', timeout_ms=DEADLINE, backend=SERVICE
    )
    platform.put_config(7, [route], [{'name': SERVICE, 'max_conns': 40}])
    for number, zone in enumerate(ZONES, 1):
        await platform.add_node(f'front-{number}', zone)
    await platform.wait_ready()
    await asyncio.sleep(STABLE_WINDOW)
    client = standins.Client(platform)
    names = list(platform.nodes)

    async def repeat(number):
        await client.request(
            names[number % len(names)], f'/archive/{POISON}', DEADLINE
        )

    async def send_harmless(number):
        await client.request(
            names[number % len(names)], f'/archive/{number}', DEADLINE
        )

    async def run_round(repeats):
        seconds = repeats * REPEAT_INTERVAL
        await asyncio.gather(
            standins.send_steadily(repeat, 1 / REPEAT_INTERVAL, seconds),
            standins.send_steadily(send_harmless, 5.0, seconds),
        )

    await run_round(FIRST_REPEATS)
    for _ in range(KILLS):
        if has_trouble:
            await platform.kill_nodes()
            for name in names:
                await platform.start_node(name)
        await platform.wait_ready()
        # All nodes are in touch again after this time.
        await asyncio.sleep(STABLE_WINDOW + 1.0)
        await run_round(LATER_REPEATS)
    return standins.check_crashing_request(
        platform, POISON, STABLE_WINDOW, ALLOWED_RETRIES
    )


if __name__ == '__main__':
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    standins.run_case(pathlib.Path(__file__).parent, run, has_trouble)
