"""Injects the faults of the scenarios into a running fleet.

Each fault is a coroutine that runs concurrently with the load of the main
phase and is cancelled at the end of the phase.
"""

import asyncio
import signal

import aiohttp

from bench import _load as load
from fakes import fleet as fleets

SLOW_FACTOR = 10.0
HEALTHY_PER_FAULTY = 20  # replicas, for faults that affect a part of the fleet
SILENCE_INTERVAL = 2.0  # seconds between two silenced sets of replicas
SILENCE_STRIDE = 5
REPLACE_INTERVAL = 1.0  # seconds between the replacements of two nodes
LOSS_DURATION = 60.0  # seconds; longer than a main phase
CRASH_DOWN_TIME = 2.0  # seconds until a crashed upstream restarts


async def run_none(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Injects no fault."""


async def slow_some(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Slows one replica for every 20 healthy ones."""
    await _post_control(
        fleet, _pick_faulty(fleet), {'set': {'slow': SLOW_FACTOR}}
    )


async def lose_some(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Crashes one replica for every 20 healthy ones, without a restart."""
    down = {'set': {'down_s': LOSS_DURATION}, 'crash': True}
    await _post_control(fleet, _pick_faulty(fleet), down)


async def fail_all(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Makes every upstream fail every request."""
    await _post_control(fleet, list(fleet.upstreams), {'set': {'fail': 1.0}})


async def arm_poison(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Makes every upstream crash at a query that holds the poison word."""
    faults = {'poison': load.POISON, 'down_s': CRASH_DOWN_TIME}
    await _post_control(fleet, list(fleet.upstreams), {'set': faults})


async def silence_some(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Silences the open connections of a fifth of the replicas in turn."""
    round_number = 0
    while True:
        names = list(fleet.upstreams)[
            round_number % SILENCE_STRIDE :: SILENCE_STRIDE
        ]
        await _post_control(fleet, names, {'silence': True})
        round_number += 1
        await asyncio.sleep(SILENCE_INTERVAL)


async def stop_platform(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Suspends the key-value service and the VM list with SIGSTOP."""
    for name in ('kv', 'vms'):
        fleets.signal_process(fleet, name, signal.SIGSTOP)


async def repartition(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Publishes a snapshot on each replica, then splits every shard."""
    names = list(fleet.upstreams)
    for name in names:
        await _post_control(fleet, [name], {'publish': [2, index.docs]})
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    await _post_control(fleet, names, {'retire': 1})
    for name in names:
        shard = int(name.split('-')[-2])
        key_start = (1 << 32) * shard // index.shards
        key_end = (1 << 32) * (shard + 1) // index.shards
        await _post_control(fleet, [name], {'split': [2, key_start, key_end]})
        await asyncio.sleep(0.05)


async def replace_nodes(fleet: fleets.Fleet, index: fleets.IndexSpec) -> None:
    """Replaces the nodes one by one with new ones on other ports."""
    async with aiohttp.ClientSession() as session:
        for name in list(fleet.nodes):
            dc = name.partition('-')[0]
            new_name = f'{name}-b'
            fleets.start_node(fleet, dc, new_name)
            ports = fleet.nodes[new_name]
            await fleets.register_vm(
                session, fleet, dc, new_name, 'node', ports.nodes
            )
            await fleets.wait_for(
                lambda: fleets.is_listening(ports.callers), new_name
            )
            await fleets.register_vm(
                session,
                fleet,
                dc,
                name,
                'node',
                fleet.nodes[name].nodes,
                'leaving',
            )
            fleets.signal_process(fleet, name, signal.SIGTERM)
            await asyncio.sleep(REPLACE_INTERVAL)


def _pick_faulty(fleet):
    names = sorted(fleet.upstreams)
    return names[:: HEALTHY_PER_FAULTY + 1]


async def _post_control(fleet, names, fields):
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(_post_control_to(session, fleet, name, fields) for name in names)
        )


async def _post_control_to(session, fleet, name, fields):
    url = f'http://{fleets.HOST}:{fleet.upstreams[name]}/control'
    async with session.post(url, json=fields) as resp:
        resp.raise_for_status()
