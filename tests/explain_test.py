"""Tests of the command that explains where a request would go."""

import asyncio
import json
import os
import re
import sys

from fakes import front_fleet as fleets
from fakes import platform_store as stores

KEY = 'explained-key-1'
# Metrics that change by themselves or count calls of the store.
_VOLATILE = re.compile(
    r'^citronweir_(configuration_age|store_calls|connections|streams).*\n',
    re.M,
)


async def _explain(fleet, path, *args, key=KEY):
    node = f'{fleet.nodes["n1"].host}:9464'
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'citronweir.programs.explain',
        node,
        'a.example',
        path,
        '--as-json',
        *args,
        env=os.environ | {'CITRONWEIR_API_KEY': key},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await proc.communicate()
    if proc.returncode:
        return proc.returncode, err.decode()
    steps = json.loads(out)['steps']
    return 0, {step['name']: step for step in steps}


async def _read_metrics(fleet):
    url = f'http://{fleet.nodes["n1"].host}:9464/metrics'
    async with fleet.session.get(url) as resp:
        return _VOLATILE.sub('', await resp.text())


async def _send(fleet, path, key=KEY):
    headers = {'Authorization': f'Bearer {key}'}
    status, _, _ = await fleets.send_request(
        fleet, 'n1', path, 'real', headers=headers
    )
    return status


async def test_explained_decisions_are_those_of_requests(tmp_path):
    """Guards operators against an explanation that no request meets."""
    async with fleets.run(tmp_path) as fleet:
        fleets.put_config(
            fleet.store,
            4,
            fleets.make_route(
                gather=list(fleets.SERVICES), top_k=3, min_shard_ratio=1.0
            ),
            tenants=[{'name': 't1', 'api_keys': [KEY], 'rate_per_s': 50}],
        )

        async def is_in_force():
            return await _send(fleet, '/a/x', 'unknown') == 401

        await fleets.wait_for(is_in_force)
        fleets.put_replica(fleet, 'i-0b', 'draining')
        assert await _send(fleet, '/a/x') == 200
        await asyncio.sleep(2.5)
        before = await _read_metrics(fleet)
        seen = [len(item.state.seen) for item in fleet.replicas.values()]
        _, steps = await _explain(fleet, '/a/x')
        assert steps['tenant']['result'] == 't1'
        assert steps['admission']['result'] == 'admitted'
        assert steps['quota']['values']['keeper'] == 'n1'
        assert steps['service s0']['result'] == 'i-0a'
        candidates = steps['service s0']['values']['candidates']
        assert candidates['i-0b'].startswith('not usable: draining')
        _, steps = await _explain(fleet, '/none')
        assert steps['route']['result'] == 'refused: 404'
        _, steps = await _explain(fleet, '/a/x', key='unknown')
        assert steps['key']['result'] == 'refused: 401'
        assert await _read_metrics(fleet) == before
        assert seen == [
            len(item.state.seen) for item in fleet.replicas.values()
        ]
        stores.put(fleet.store, 'op/evacuate/dc1', b'{}')
        await asyncio.sleep(2.5)
        _, steps = await _explain(fleet, '/a/x')
        assert steps['admission']['result'] == 'declined: no_replica'
        assert await _send(fleet, '/a/x') == 503
        assert KEY not in json.dumps(steps)


async def test_node_that_cannot_answer_is_an_error(tmp_path):
    """Guards scripts against an empty explanation."""
    async with fleets.run(tmp_path) as fleet:
        status, text = await _explain(fleet, '/a/x', '--body-bytes=-1')
        assert status == 2
        assert 'not from 0' in text
        fleet.nodes['n1'].proc.kill()
        await fleet.nodes['n1'].proc.wait()
        status, _ = await _explain(fleet, '/a/x')
        assert status == 5
