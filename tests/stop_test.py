"""Tests of graceful shutdown under load (guarantee G7)."""

import asyncio
import signal
import time

import aiohttp

from fakes import fleet as fleets
from tests import support

# The simulated load balancer stops using a node this long after its 503,
# well within the grace period.
STOP_GRACE = 1.2  # seconds
REMOVAL_DELAY = 0.4  # seconds
# Without hedges and retries, an interrupted sub-request causes a partial
# answer; without hedges, replicas see no cancelled requests.
SETTINGS = {
    ('node', 'stop_grace'): str(STOP_GRACE),
    ('limits', 'hedges'): '0',
    ('limits', 'retries'): '0',
}
# Two slots of 20 ms and several callers keep sub-requests in the queues.
INDEX = fleets.IndexSpec('parts', shards=3, replicas=2, service_ms=20.0)


async def test_stop_under_load_interrupts_no_request(tmp_path):
    """Guards against a stop that drops queued, relayed or late requests."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet, REMOVAL_DELAY)
        async with (
            aiohttp.ClientSession() as idle_session,
            support.run_load(load, fleet.nodes, callers=6),
        ):
            await support.wait_for_replies(load, 100)
            url = fleet.url('dc1-n0')
            await support.search(
                idle_session, url, support.make_search_fields()
            )
            started = time.monotonic()
            fleets.signal_process(fleet, 'dc1-n0', signal.SIGTERM)

            async def is_unready():
                return await support.read_health(session, url) == 503

            await fleets.wait_for(is_unready, 'a 503 from the stopping node')
            # A connection that was idle when the stop began is served one
            # more request, whose reply announces the close.
            async with idle_session.post(
                f'{url}/v1/search', json=support.make_search_fields()
            ) as resp:
                assert resp.headers['connection'] == 'close'
                assert (await resp.json())['outcome'] == 'complete'
            port = fleet.nodes['dc1-n0'].callers
            while time.monotonic() < started + 0.8 * STOP_GRACE:
                assert await fleets.is_listening(port)
                await asyncio.sleep(fleets.POLL_INTERVAL)
            assert await support.wait_for_exit(fleet, 'dc1-n0') == 0
            await support.wait_for_replies(load, 100)
        support.check_all_complete(load)


async def test_two_nodes_stop_together_in_both_orders(tmp_path):
    """Guards against nodes that wait for each other or drop work."""
    spec = fleets.FleetSpec(('dc1',), 5, (INDEX,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, _):
        load = support.Load(fleet, REMOVAL_DELAY)
        async with support.run_load(load, fleet.nodes, callers=3):
            for names in (('dc1-n0', 'dc1-n1'), ('dc1-n3', 'dc1-n2')):
                await support.wait_for_replies(load, 60)
                for name in names:
                    fleets.signal_process(fleet, name, signal.SIGTERM)
                for name in names:
                    assert await support.wait_for_exit(fleet, name) == 0
            await support.wait_for_replies(load, 60)
        support.check_all_complete(load)
