"""Tests of how a front node watches the platform's store."""

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


def _make_context():
    return types.SimpleNamespace(
        session=None,
        boot=types.SimpleNamespace(store=None),
        counters=telemetry.make_counters(),
        store_lost_at=None,
        config=service.Configuration(),
        rng=random.Random(1),
    )


@pytest.mark.parametrize(
    'items, seconds, age',
    [
        ((), front_store.WATCH_TIMEOUT, 0.0),
        ((), front_store.WATCH_TIMEOUT + 0.9, 0.9),
        ((platform.KeyValue('k', 'v', core.Revision(2)),), 0.4, 0.4),
    ],
)
async def test_delayed_reply_does_not_count_as_new(
    items, seconds, age, monkeypatch
):
    """Guards drains against watchers that confirm an outdated state.

    A watcher confirmed the configuration with a delayed reply, and a node
    learned of a drain after 3,048 ms instead of at most 3,000 ms.
    """
    now = 100.0

    async def wait_changes(session, store, after, wait):
        nonlocal now
        now += seconds
        return platform.Changes(items, core.Revision(2 if items else 1))

    monkeypatch.setattr(platform, 'wait_changes', wait_changes)
    monkeypatch.setattr(service, 'read_boot_clock', lambda: now)
    batches = front_store._watch(_make_context(), core.Revision(1))
    batch = await anext(batches)
    await batches.aclose()
    assert batch.age == pytest.approx(age)


def test_changes_in_quick_succession_share_calls(monkeypatch):
    """Guards the store against a call per record when many nodes start."""
    calls = []

    async def wait_changes(session, store, after, wait):
        await asyncio.sleep(0.005)  # every call finds another record
        calls.append(after)
        revision = core.Revision(len(calls) + 1)
        item = platform.KeyValue('k', 'v', revision)
        return platform.Changes((item,), revision)

    async def watch():
        batches = front_store._watch(_make_context(), core.Revision(1))
        async for _ in batches:
            pass

    async def main():
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch(), 2.0)

    monkeypatch.setattr(platform, 'wait_changes', wait_changes)
    virtual.run(main)
    assert len(calls) <= 2.0 / front_store.BATCH_DELAY


def _make_state(*records, complete_to):
    batch = core.ConfigBatch(records, core.Revision(complete_to))
    return core.merge_batch(core.ConfigState(), batch)[0]


async def test_removal_found_in_a_listing_reaches_other_nodes(
    monkeypatch,
):
    """Guards against requests to replicas that have been removed.

    A watcher that had lost its connection read a listing without the key of a
    removed replica. Another node continued from the watcher's revision and
    missed the removal. A request arrived 3,394 ms after the replica had left.
    """

    async def read_all(session, store):
        item = platform.KeyValue('new', 'v', core.Revision(4))
        return platform.Listing((item,), core.Revision(5))

    monkeypatch.setattr(platform, 'read_all', read_all)
    left = core.ConfigRecord(core.ConfigKey('left'), 'v', core.Revision(2))
    late = core.ConfigRecord(core.ConfigKey('late'), 'v', core.Revision(6))
    ctx = _make_context()
    ctx.config.state = _make_state(left, late, complete_to=3)
    deps = front_store.make_config_dependencies(ctx, lambda: None)
    state, _ = core.merge_batch(ctx.config.state, await deps.read_all())
    other = _make_state(left, complete_to=3)
    batch = core.collect_newer_records(state, other.complete_to, 0.0)
    other, _ = core.merge_batch(other, batch)
    assert other.complete_to == 5
    values = {key: record.value for key, record in other.records.items()}
    assert values == {'left': '', 'new': 'v', 'late': 'v'}
