"""Graceful shutdown of real nodes under load (guarantee G7)."""

import asyncio
import signal
import time

import aiohttp

from fakes import fleet as fleets
from tests import support

# The balancer of these tests stops using a node 0.4 s after its 503,
# well within the grace.
GRACE = 1.2  # seconds
LAG = 0.4  # seconds
# Without hedges and retries a sub-request that is cut shows as a partial
# answer, and without hedges a replica sees no cancelled request.
SETTINGS = {
    ('node', 'stop_grace'): str(GRACE),
    ('limits', 'hedges'): '0',
    ('limits', 'retries'): '0',
}
# Two slots of 20 ms and several callers keep sub-requests in the queues.
INDEX = fleets.IndexSpec('parts', shards=3, replicas=2, service_ms=20.0)


async def test_stop_under_load_cuts_no_request_off(tmp_path):
    """Guards against a stop that drops queued, relayed or late requests."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_served_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet, LAG)
        async with (
            aiohttp.ClientSession() as kept,
            support.run_load(load, fleet.nodes, callers=6),
        ):
            await support.wait_for_replies(load, 100)
            url = fleet.url('dc1-n0')
            await support.search(kept, url, support.make_search())
            started = time.monotonic()
            fleets.signal_process(fleet, 'dc1-n0', signal.SIGTERM)

            async def is_leaving():
                return await support.read_health(session, url) == 503

            await fleets.wait_for(is_leaving, '503 of the stopping node')
            # A connection that was idle when the stop began is served
            # once more and then closed by the reply.
            async with kept.post(
                f'{url}/v1/search', json=support.make_search()
            ) as resp:
                assert resp.headers['connection'] == 'close'
                assert (await resp.json())['outcome'] == 'complete'
            port = fleet.nodes['dc1-n0'].callers
            while time.monotonic() < started + 0.8 * GRACE:
                assert await fleets.is_listening(port)
                await asyncio.sleep(fleets.POLL_INTERVAL)
            assert await support.wait_for_end(fleet, 'dc1-n0') == 0
            await support.wait_for_replies(load, 100)
        support.check_uncut(load)


async def test_two_nodes_stop_together_in_both_orders(tmp_path):
    """Guards against nodes that each wait for or drop the other's work."""
    spec = fleets.FleetSpec(('dc1',), 5, (INDEX,), SETTINGS)
    async with support.run_served_fleet(spec, tmp_path) as (fleet, _):
        load = support.Load(fleet, LAG)
        async with support.run_load(load, fleet.nodes, callers=3):
            for names in (('dc1-n0', 'dc1-n1'), ('dc1-n3', 'dc1-n2')):
                await support.wait_for_replies(load, 60)
                for name in names:
                    fleets.signal_process(fleet, name, signal.SIGTERM)
                for name in names:
                    assert await support.wait_for_end(fleet, name) == 0
            await support.wait_for_replies(load, 60)
        support.check_uncut(load)
