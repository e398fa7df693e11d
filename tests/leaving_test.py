"""Tests of front-node processes with replicas that leave or want a pause."""

import asyncio
import signal
import time

from fakes import front_fleet as fleets
from fakes import platform_replica as replicas

# Seconds until all nodes know of a departure; the platform allows 3 or more.
SPREAD_TIME = 2.5
PAUSE = 1.5  # seconds
# A refused request must not wait for its deadline of 1 s.
REFUSAL_TIME = 0.5  # seconds
# Seconds after a refusal from which the pause counts, and how many requests
# may reach the replica in the rest of it.
PAUSE_SLACK = 0.5
MAX_REQUESTS_IN_PAUSE = 2


ROUTE = fleets.make_route(
    gather=list(fleets.SERVICES), top_k=3, min_shard_ratio=1.0
)


async def _send(fleet, node, count, prefix):
    """Sends requests one after the other and returns their responses."""
    return [
        await fleets.send_request(fleet, node, request_id=f'{prefix}{number}')
        for number in range(count)
    ]


def _count_seen(fleet, *names):
    return [len(fleet.replicas[name].state.seen) for name in names]


async def test_leaving_replica_gets_no_request_from_any_node(tmp_path):
    """Guards G6 against a replica that says only in answers that it leaves.

    The store lists it as ready all the while.
    """
    async with fleets.run(tmp_path, nodes=('n1', 'n2')) as fleet:
        fleet.replicas['i-0a'].state.is_leaving = True
        while not _count_seen(fleet, 'i-0a')[0]:
            await _send(fleet, 'n1', 1, 'first')
        await asyncio.sleep(SPREAD_TIME)
        seen = _count_seen(fleet, 'i-0a')
        for node in ('n1', 'n2'):
            answers = await _send(fleet, node, 20, node)
            assert {status for status, _, _ in answers} == {200}
        fleets.put_replica(fleet, 'i-0a')  # written again, still ready
        await asyncio.sleep(SPREAD_TIME)
        await _send(fleet, 'n2', 10, 'again')
        assert _count_seen(fleet, 'i-0a') == seen


async def test_restarted_node_learns_of_departures_from_its_peers(tmp_path):
    """Guards against a departed replica that is used after a restart."""
    async with fleets.run(tmp_path, nodes=('n1', 'n2')) as fleet:
        fleet.replicas['i-0a'].state.is_leaving = True
        while not _count_seen(fleet, 'i-0a')[0]:
            await _send(fleet, 'n1', 1, 'first')
        node = fleet.nodes['n2']
        node.proc.send_signal(signal.SIGKILL)
        await node.proc.wait()
        await fleets.start_node(fleet, 'n2')
        await fleets.wait_for(lambda: fleets.is_ready(fleet, 'n2'))
        await asyncio.sleep(SPREAD_TIME)
        seen = _count_seen(fleet, 'i-0a')
        await _send(fleet, 'n2', 20, 'r')
        assert _count_seen(fleet, 'i-0a') == seen


async def test_request_is_refused_if_all_replicas_are_leaving(tmp_path):
    """Guards against requests that wait for replicas which take none."""
    async with fleets.run(tmp_path, routes=[ROUTE]) as fleet:
        names = ('i-0a', 'i-0b')
        for name in names:
            fleet.replicas[name].state.is_leaving = True
        while not all(_count_seen(fleet, *names)):
            await _send(fleet, 'n1', 1, 'first')
        seen = _count_seen(fleet, *names)
        started = time.monotonic()
        ((status, headers, _),) = await _send(fleet, 'n1', 1, 'late')
        assert status == 503 and float(headers['Retry-After']) > 0.0
        assert time.monotonic() - started < REFUSAL_TIME
        assert _count_seen(fleet, *names) == seen


async def test_replicas_get_the_pause_that_they_ask_for(tmp_path):
    """Guards replicas that turn requests away against more of them."""
    async with fleets.run(tmp_path, routes=[ROUTE]) as fleet:
        names = ('i-0a', 'i-0b')
        for name in names:
            state = fleet.replicas[name].state
            state.faults = [replicas.Fault.SHED]
            state.retry_after = str(PAUSE)
        while any(fleet.replicas[name].state.faults for name in names):
            await _send(fleet, 'n1', 1, 'first')
        paused_at = min(
            fleet.replicas[name].state.seen_at[-1] for name in names
        )
        number = 0
        while time.monotonic() < paused_at + PAUSE - 0.1:
            number += 1
            started = time.monotonic()
            ((status, headers, _),) = await _send(
                fleet, 'n1', 1, f'p{number}-'
            )
            left = paused_at + PAUSE - time.monotonic()
            assert status == 503
            assert float(headers['Retry-After']) > left - 0.1
            assert time.monotonic() - started < REFUSAL_TIME
            await asyncio.sleep(0.02)
        for name in names:
            in_pause = [
                at
                for at in fleet.replicas[name].state.seen_at
                if paused_at + PAUSE_SLACK < at < paused_at + PAUSE
            ]
            assert len(in_pause) <= MAX_REQUESTS_IN_PAUSE
        await asyncio.sleep(0.3 + PAUSE * 0.1)
        answers = await _send(fleet, 'n1', 20, 'after')
        assert {status for status, _, _ in answers} == {200}
