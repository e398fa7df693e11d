"""Tests that requests which wait for a connection are not sent too late."""

import asyncio
import time

import aiohttp
import pytest

from fakes import front_fleet as fleets
from fakes import platform_replica as replicas
from fakes import platform_store as stores

# Seconds after a drain in which a request may still reach the replica; the
# platform's `drain_ms` is at least 3 s.
DRAIN_BOUND = 3.0
# Seconds after a caller has closed in which its request may reach a replica.
GONE_BOUND = 0.5
# Orders in progress hold the connections until this deadline, which is later
# than DRAIN_BOUND after the drain.
FIRST_DEADLINE = 5000  # milliseconds
LATER_DEADLINE = 9000  # milliseconds
CHANGE_TIME = 1.0  # seconds until a change is in force on the only node
REPLICAS = ('i-0a', 'i-0b')


@pytest.fixture(name='route')
def _route():
    return fleets.make_route(
        backend='s0', kind='non_idempotent', timeout_ms=LATER_DEADLINE
    )


async def _put_limit(fleet, route):
    """Leaves the node one connection to each replica."""
    fleets.put_config(fleet.store, 4, route, max_conns=1)
    await asyncio.sleep(CHANGE_TIME)


def _drain(fleet):
    fleets.put_replica(fleet, 'i-0a', state='draining')


def _remove(fleet):
    stores.remove(fleet.store, 'servers/i-0a')


def _move(fleet):
    """Registers the replica at an address where no process listens."""
    fleet.replicas['i-0a'].proxy.port = 1
    fleets.put_replica(fleet, 'i-0a')


@pytest.mark.parametrize('leave', [_drain, _remove, _move])
async def test_waiting_order_does_not_reach_a_replica_that_left(
    tmp_path, route, leave
):
    """Guards G6: orders were sent to a replica long after its drain.

    They waited for a connection when it drained.
    """
    async with fleets.run(tmp_path, routes=[route]) as fleet:
        fleets.put_replica(fleet, 'i-0b', state='draining')
        await _put_limit(fleet, route)
        state = fleet.replicas['i-0a'].state
        state.faults = [replicas.Fault.SILENT]

        async def order(number, deadline):
            status, _, _ = await fleets.send_request(
                fleet,
                'n1',
                request_id=f'o{number}',
                deadline=deadline,
                method='POST',
            )
            return status

        first = asyncio.create_task(order(0, FIRST_DEADLINE))
        async with asyncio.timeout(fleets.START_TIMEOUT):
            while not state.ran:
                await asyncio.sleep(0.02)
        waiting = [
            asyncio.create_task(order(number, LATER_DEADLINE))
            for number in range(1, 9)
        ]
        await asyncio.sleep(0.5)  # they wait for the connection to i-0a
        fleets.put_replica(fleet, 'i-0b')
        await asyncio.sleep(CHANGE_TIME)
        left_at = time.monotonic()
        leave(fleet)
        statuses = await asyncio.gather(*waiting)
        await first
        late = [at for at in state.seen_at if at > left_at + DRAIN_BOUND]
    assert not late
    assert statuses == [200] * 8


async def test_waiting_request_is_dropped_once_its_caller_has_an_answer(
    tmp_path,
):
    """Guards replicas against requests whose answer has been delivered.

    Callers got an answer without the shard that hung, and closed. Their
    requests were sent to the shard when a connection came free.
    """
    route = fleets.make_route(
        gather=list(fleets.SERVICES),
        top_k=3,
        min_shard_ratio=0.5,
        timeout_ms=3000,
        goal_ms=200,
    )
    async with fleets.run(tmp_path, routes=[route]) as fleet:
        await _put_limit(fleet, route)
        states = [fleet.replicas[name].state for name in REPLICAS]
        for state in states:
            state.faults = [replicas.Fault.SILENT] * 2
        closed_at = {}

        async def send(number):
            request_id = f'r{number}'
            async with aiohttp.ClientSession() as session:
                status, _, _ = await fleets.send_request(
                    fleet, 'n1', '/a/x', request_id, session, 3000
                )
            closed_at[request_id] = time.monotonic()
            return status

        tasks = []
        for number in range(16):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.15)
        assert await asyncio.gather(*tasks) == [200] * len(tasks)
        await asyncio.sleep(3.5)  # beyond the deadlines of all requests
        late = [
            headers['X-Request-Id']
            for state in states
            for at, (_, headers, _) in zip(
                state.seen_at, state.seen, strict=True
            )
            if at > closed_at[headers['X-Request-Id']] + GONE_BOUND
        ]
    assert not late
