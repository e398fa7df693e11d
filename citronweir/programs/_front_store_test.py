"""Tests of the watch of a front node on the platform's store."""

import asyncio
import contextlib
import random
import types

import pytest

from citronweir import core
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _front_store as front_store
from fakes import virtual


def _make_parts():
    return types.SimpleNamespace(
        session=None,
        boot=types.SimpleNamespace(store=None),
        counters=telemetry.make_counters(),
        lost_at=None,
        config=service.Configuration(),
        rng=random.Random(1),
    )


@pytest.mark.parametrize(
    'items, seconds, age',
    [
        ((), front_store.WATCH_TIME, 0.0),
        ((), front_store.WATCH_TIME + 0.9, 0.9),
        ((platform.KeyValue('k', 'v', core.Revision(2)),), 0.4, 0.4),
    ],
)
async def test_reply_that_was_held_up_is_not_taken_for_new(
    items, seconds, age, monkeypatch
):
    """Guards drains against a confirmation of what the store said before.

    A node learned of a drain after 3,048 ms, where 3,000 are allowed: a
    watcher had confirmed its configuration with an old reply.
    """
    now = 100.0

    async def wait_changes(session, store, after, wait):
        nonlocal now
        now += seconds
        return platform.Changes(items, core.Revision(2 if items else 1))

    monkeypatch.setattr(platform, 'wait_changes', wait_changes)
    monkeypatch.setattr(
        front_store, 'time', types.SimpleNamespace(monotonic=lambda: now)
    )
    batches = front_store._watch(_make_parts(), core.Revision(1))
    batch = await anext(batches)
    await batches.aclose()
    assert batch.age == pytest.approx(age)


def test_changes_in_quick_succession_share_calls(monkeypatch):
    """Guards the store against a call for each record of a mass start."""
    calls = []

    async def wait_changes(session, store, after, wait):
        await asyncio.sleep(0.005)  # another record is always there
        calls.append(after)
        revision = core.Revision(len(calls) + 1)
        item = platform.KeyValue('k', 'v', revision)
        return platform.Changes((item,), revision)

    async def watch():
        batches = front_store._watch(_make_parts(), core.Revision(1))
        async for _ in batches:
            pass

    async def main():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch(), 2.0)

    monkeypatch.setattr(platform, 'wait_changes', wait_changes)
    virtual.run(main)
    assert len(calls) <= 2.0 / front_store.GATHER_TIME


def _hold(*records, complete_to):
    batch = core.ConfigBatch(records, core.Revision(complete_to))
    return core.merge_batch(core.ConfigState(), batch)[0]


async def test_removal_that_a_listing_shows_reaches_the_other_nodes(
    monkeypatch,
):
    """Guards drains: a request came 3,394 ms after its replica had left.

    A watcher that was cut off read the whole listing and lacked the key.
    Another node went on from the watcher's revision without the removal.
    """

    async def read_all(session, store):
        item = platform.KeyValue('new', 'v', core.Revision(4))
        return platform.Listing((item,), core.Revision(5))

    monkeypatch.setattr(platform, 'read_all', read_all)
    left = core.ConfigRecord(core.ConfigKey('left'), 'v', core.Revision(2))
    late = core.ConfigRecord(core.ConfigKey('late'), 'v', core.Revision(6))
    parts = _make_parts()
    parts.config.state = _hold(left, late, complete_to=3)
    peers = front_store.make_config_peers(parts, lambda: None)
    state, _ = core.merge_batch(parts.config.state, await peers.read_all())
    other = _hold(left, complete_to=3)
    batch = core.collect_newer_records(state, other.complete_to, 0.0)
    other, _ = core.merge_batch(other, batch)
    assert other.complete_to == 5
    values = {key: record.value for key, record in other.records.items()}
    assert values == {'left': '', 'new': 'v', 'late': 'v'}
