"""Tests the shutdown of a node that owns long sub-requests (G7)."""

import asyncio
import signal

from citronweir import core
from fakes import fleet as fleets
from tests import support

REPLICA = 'dc1-parts-0-0'
SEARCHES = 10
# Four slots of half a second keep most searches queued when the stop begins,
# and some still running when the grace period has passed.
INDEX = fleets.IndexSpec(
    'parts', shards=1, replicas=1, slots=4, service_ms=500.0
)
# A hedge would hide an interrupted sub-request.
SETTINGS = {
    ('limits', 'hedges'): '0',
    ('limits', 'retries'): '0',
    ('node', 'stop_grace'): '0.5',
}


async def test_owner_that_stops_finishes_its_queue(tmp_path):
    """Guards against a stop that drops sub-requests relayed by peers."""
    spec = fleets.FleetSpec(('dc1',), 2, (INDEX,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        nodes = map(core.NodeId, fleet.nodes)
        owner, other = core.rank_nodes(nodes, core.ReplicaId(REPLICA))
        before = await support.read_counters(session, fleet, REPLICA)
        tasks = [
            asyncio.create_task(
                support.search(session, fleet.url(other), fields)
            )
            for fields in [support.make_search_fields()] * SEARCHES
        ]

        async def is_queued():
            now = await support.read_counters(session, fleet, REPLICA)
            return now['begun'] - before['begun'] >= INDEX.slots

        await fleets.wait_for(is_queued, 'searches in all slots')
        fleets.signal_process(fleet, owner, signal.SIGTERM)
        assert await support.wait_for_exit(fleet, owner) == 0
        replies = await asyncio.gather(*tasks)
        assert {reply['outcome'] for reply in replies} == {'complete'}
        after = await support.read_counters(session, fleet, REPLICA)
        assert after['begun'] - before['begun'] == SEARCHES
        assert after['cancelled'] == 0
