"""Tests of requests that crash every upstream that runs them."""

import asyncio
import itertools

from fakes import fleet as fleets
from tests import support

INDEX = fleets.IndexSpec('parts', shards=2, replicas=6, service_ms=5.0)
POISON = 'poison'
REPEATS = 30
# Two replicas, and one more for each other node that had the request in
# flight before the suspicion reached it.
NODES = 3
MAX_CRASHES = 2 + (NODES - 1)
# A crash fails all requests that run or wait at the replica at once. The
# retry budget, which limits the load on a failing fleet, is raised because
# it is not under test.
SETTINGS = {('limits', 'hedges'): '0', ('limits', 'retries'): '0.5'}


async def test_crashing_request_is_refused_beside_harmless_ones(tmp_path):
    """Guards against a repeated request that crashes all upstreams.

    It goes through the nodes in turn, while harmless searches run at the
    same replicas; these must neither fail nor be quarantined.
    """
    spec = fleets.FleetSpec(
        ('dc1',), NODES, (INDEX,), SETTINGS, ('--poison', POISON)
    )
    numbers = itertools.count()

    def make_harmless_fields():
        return support.make_search_fields(f'worn i{next(numbers) % 50}')

    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        async with support.run_load(
            load, fleet.nodes, callers=3, make_fields=make_harmless_fields
        ):
            await support.wait_for_replies(load, 100)
            nodes = itertools.cycle(fleet.nodes)
            for _ in range(REPEATS):
                fields = support.make_search_fields(POISON)
                reply = await support.search(
                    session, fleet.url(next(nodes)), fields
                )
                assert reply['outcome'] != 'complete'
            assert reply['outcome'] == 'refused'
            assert reply['reason'] == 'quarantined'
            await support.wait_for_replies(load, 100)
        crashed = [
            name
            for name in fleet.upstreams
            if fleet.procs[name].poll() is not None
        ]
        assert 1 <= len(crashed) <= MAX_CRASHES, crashed
        assert not load.errors
        assert not any(
            'quarantined' in reason for reason in load.incomplete_replies
        )
        support.check_all_complete(load)


async def test_crashing_request_sent_through_all_nodes_at_once(tmp_path):
    """Guards against repeats that outpace the spread of suspicions."""
    spec = fleets.FleetSpec(
        ('dc1',), NODES, (INDEX,), SETTINGS, ('--poison', POISON)
    )
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        for _ in range(5):
            await asyncio.gather(
                *(
                    support.search(
                        session,
                        fleet.url(node),
                        support.make_search_fields(POISON),
                    )
                    for node in fleet.nodes
                )
            )
        crashed = [
            name
            for name in fleet.upstreams
            if fleet.procs[name].poll() is not None
        ]
        assert 1 <= len(crashed) <= MAX_CRASHES, crashed
        await support.wait_until_serving(session, fleet, 'dc1-n0')
