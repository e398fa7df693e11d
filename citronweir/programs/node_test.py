"""Tests of a node that runs as a process."""

import os
import pathlib
import signal

import aiohttp

from citronweir import core
from fakes import fleet as fleets


async def test_node_runs_on_one_thread_and_stops_cleanly(tmp_path):
    """Guards the single-threaded design against threads from libraries."""
    spec = fleets.FleetSpec(dcs=('dc1',), nodes=1)
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        (node,) = fleet.nodes
        url = f'http://{fleets.HOST}:{fleet.nodes[node].metrics}/metrics'
        fields = {
            'contract': 'none',
            'request_id': 'r',
            'index': 'parts',
            'query': 'q',
        }
        reasons = []

        async def is_configured():
            async with session.post(
                f'{fleet.url(node)}/v1/search', json=fields
            ) as resp:
                reasons.append((await resp.json())['reason'])
            return reasons[-1] == core.NotRunReason.NO_CONTRACT.value

        await fleets.wait_for(is_configured, 'a configuration')
        assert set(reasons[:-1]) <= {core.NotRunReason.NO_CONFIGURATION.value}
        async with session.get(url) as resp:
            assert 'citronweir_refusals_total' in await resp.text()
        tasks = pathlib.Path(f'/proc/{fleet.procs[node].pid}/task')
        assert len(os.listdir(tasks)) == 1
        fleets.signal_process(fleet, node, signal.SIGTERM)
        assert fleets.wait_process(fleet, node) == 0
