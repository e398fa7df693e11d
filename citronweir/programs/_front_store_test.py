"""Tests of the watch of a front node on the platform's store."""

import asyncio
import contextlib
import random
import types

import pytest

from citronweir import core
from citronweir import platform
from citronweir import telemetry
from citronweir.programs import _front_store as front_store
from fakes import virtual


def _make_parts():
    return types.SimpleNamespace(
        session=None,
        boot=types.SimpleNamespace(store=None),
        counters=telemetry.make_counters(),
        lost_at=None,
        rng=random.Random(1),
    )


@pytest.mark.parametrize(
    'items, seconds, age',
    [
        ((), front_store.WATCH_TIME, 0.0),
        ((), front_store.WATCH_TIME + 0.9, 0.9),
        ((platform.Item('k', 'v', core.Revision(2)),), 0.4, 0.4),
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
        item = platform.Item('k', 'v', revision)
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
