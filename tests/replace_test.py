"""Tests of a rolling restart of all nodes of a data centre (G7)."""

import signal

from fakes import fleet as fleets
from tests import support

SETTINGS = {('node', 'stop_grace'): '1.0'}
# Two slots of 20 ms and several callers keep sub-requests in the queues.
INDEX = fleets.IndexSpec('parts', shards=3, replicas=2, service_ms=20.0)


async def test_all_nodes_are_replaced_under_load(tmp_path):
    """Guards against restarts that interrupt requests or lose coverage.

    A node that serves callers or owns replicas before it knows all replicas
    of its data centre returns partial answers.
    """
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet, removal_delay=0.3)
        async with support.run_load(load, fleet.nodes, callers=3):
            for name in list(fleet.nodes):
                await support.wait_for_replies(load, 30)
                fleets.signal_process(fleet, name, signal.SIGTERM)
                assert await support.wait_for_exit(fleet, name) == 0
                fleets.start_node(fleet, 'dc1', name)
                await support.wait_until_serving(session, fleet, name)
                await support.wait_until_members_known(fleet, name)
            await support.wait_for_replies(load, 30)
        support.check_all_complete(load)
