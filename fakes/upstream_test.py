"""Tests of the parts of the fake upstream that other tests depend on."""

import subprocess
import sys

import aiohttp
import pytest

from fakes import fleet as fleets
from fakes import replica as replica_state


def test_split_merge_and_publish_keep_every_document():
    """Guards against a fake that loses documents without a fault."""
    upstream = replica_state.make_upstream('r0', 'parts', 0, 1, 2, 1.0, 100)
    end = 1 << 32
    replica_state.apply_control(upstream, {'split': [1, 0, end]})
    assert {key[1:] for key in upstream.shards} == {
        (0, end // 2),
        (end // 2, end),
    }
    assert sum(len(shard.docs) for shard in upstream.shards.values()) == 100
    replica_state.apply_control(upstream, {'publish': [2, 120]})
    assert sum(len(shard.docs) for shard in upstream.shards.values()) == 220
    replica_state.apply_control(upstream, {'merge': [1, 0, end], 'retire': 2})
    assert list(upstream.shards) == [(1, 0, end)]
    assert len(upstream.shards[1, 0, end].docs) == 100


def test_status_faults_apply_and_control_rejects_unknown_faults():
    """Guards against faults that are set but have no effect."""
    upstream = replica_state.make_upstream('r0', 'parts', 0, 1, 2, 1.0, 10)
    assert replica_state.read_status(upstream)['state'] == 'ready'
    for faults, state in (
        ({'lag_s': 60, 'state': 'draining'}, 'ready'),
        ({'lag_s': 0}, 'draining'),
        ({'claimed_state': 'ready'}, 'ready'),
    ):
        replica_state.apply_control(upstream, {'set': faults})
        assert replica_state.read_status(upstream)['state'] == state
    with pytest.raises(KeyError):
        replica_state.apply_control(upstream, {'set': {'unknown': 1}})


async def test_poisoned_query_crashes_the_process(tmp_path):
    """Guards against a crash that leaves the process running."""
    (port,) = fleets.free_ports(1)
    arguments = f'--replica r --index wire --poison boom --port {port}'
    proc = subprocess.Popen(
        [sys.executable, '-m', 'fakes.upstream', *arguments.split()],
        cwd=fleets.ROOT,
    )
    try:
        await fleets.wait_for(lambda: fleets.is_listening(port), 'upstream')
        body = {'index': 'parts', 'snapshot': 1, 'lo': 0, 'hi': 1 << 32}
        body |= {'query': 'worn boom', 'limit': 1}
        async with aiohttp.ClientSession() as session:
            url = f'http://{fleets.HOST}:{port}/search'
            try:
                await session.post(url, json=body)
            except aiohttp.ClientError:
                pass

        async def has_ended():
            return proc.poll() is not None

        await fleets.wait_for(has_ended, 'the crash')
        assert proc.returncode == replica_state.CRASH_STATUS
    finally:
        proc.kill()
        proc.wait()
