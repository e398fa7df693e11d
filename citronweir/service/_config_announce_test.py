"""Tests of what a watcher announces after it has read the store in full."""

import asyncio
import random

from citronweir import core
from citronweir.service import _config as configs


def _record(key, revision):
    return core.ConfigRecord(
        core.ConfigKey(key), 'x' * 200, core.Revision(revision)
    )


def _make_dependencies(listing, announced, boot_now=lambda: 100.0):
    async def read_all():
        return core.ConfigBatch(listing, core.Revision(len(listing)))

    async def watch(position):
        yield core.StoreError('compacted')

    return configs.ConfigDependencies(
        now=lambda: 0.0,
        wall_now=lambda: 0.0,
        sleep=asyncio.sleep,
        rng=random.Random(1),
        decode=lambda record: (record, []),
        encode=lambda record: record.value,
        read_all=read_all,
        read_one=None,
        write=None,
        watch=watch,
        pick_peer=lambda: None,
        push_local=lambda batch: None,
        push_remote=lambda batch: None,
        is_watcher=lambda: True,
        announce=announced.append,
        boot_now=boot_now,
    )


def test_nodes_follow_a_watcher_that_has_lost_its_history():
    """Guards keys and changes after the store has dropped its history.

    The listing reached other nodes through random peers only. They could not
    follow the watch meanwhile, and refused all requests with keys for 4 s.
    """
    listing = tuple(_record(f'k{item}', item + 1) for item in range(3000))
    announced = []
    deps = _make_dependencies(listing, announced)
    watcher, other = configs.Configuration(), configs.Configuration()
    for config in (watcher, other):
        batch = core.ConfigBatch(listing[:10], core.Revision(10))
        configs.receive_records(deps, config, batch, configs.RecordSource.SYNC)
        config.ready = True
    asyncio.run(configs.watch_once(deps, watcher))
    assert len(announced) > 1  # more than fits a message
    for batch in announced:
        configs.receive_announced(
            _make_dependencies((), [], lambda: 101.0), other, batch
        )
    assert other.state.records == watcher.state.records
    assert other.state.complete_to == 3000
    assert other.confirmed_boot == 100.0


def test_start_announces_nothing():
    """Guards a start of many nodes against a message of all to all."""
    announced = []
    deps = _make_dependencies((_record('k', 1),), announced)
    asyncio.run(configs.watch_once(deps, configs.Configuration()))
    assert not announced
