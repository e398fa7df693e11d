"""Tests of silent connections to upstreams and between nodes."""

import asyncio
import signal

from fakes import fleet as fleets
from tests import support

INDEX = fleets.IndexSpec('parts', shards=2, replicas=2, service_ms=5.0)
DEADLINE_MS = 2000
STOP_TIME = 3.0  # seconds for which a node is paused


def _make_fields():
    return support.make_search_fields(deadline_ms=DEADLINE_MS)


async def test_searches_complete_despite_silent_connections(tmp_path):
    """Guards against silent pooled connections that delay every search."""
    spec = fleets.FleetSpec(('dc1',), 2, (INDEX,))
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        silent_replica = 'dc1-parts-0-0'
        async with support.run_load(
            load, fleet.nodes, callers=4, make_fields=_make_fields
        ):
            await support.wait_for_replies(load, 100)
            for _ in range(2):
                before = await support.read_counters(
                    session, fleet, silent_replica
                )
                await support.control_upstream(
                    session, fleet, silent_replica, silence=True
                )

                async def is_used_again():
                    now = await support.read_counters(
                        session, fleet, silent_replica
                    )
                    return (
                        now['conns_accepted'] > before['conns_accepted']
                        and now['finished'] > before['finished']
                    )

                await fleets.wait_for(is_used_again, 'new connections')
                await support.wait_for_replies(load, 100)
        support.check_all_complete(load)


async def test_searches_complete_while_a_node_is_paused(tmp_path):
    """Guards against lost answers when an owner pauses or resumes."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,))
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, _):
        load = support.Load(fleet)
        others = ('dc1-n0', 'dc1-n2')
        async with support.run_load(
            load, others, callers=3, make_fields=_make_fields
        ):
            await support.wait_for_replies(load, 100)
            fleets.signal_process(fleet, 'dc1-n1', signal.SIGSTOP)
            before = load.outcomes.total()
            await asyncio.sleep(STOP_TIME)
            assert load.outcomes.total() > before
            fleets.signal_process(fleet, 'dc1-n1', signal.SIGCONT)
            for node in fleet.nodes:
                await support.wait_until_members_known(fleet, node)
            await support.wait_for_replies(load, 100)
        support.check_all_complete(load)
