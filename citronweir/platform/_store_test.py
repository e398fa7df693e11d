"""Tests of the client of the platform's store against its stand-in."""

import contextlib

from aiohttp import test_utils
import pytest

from citronweir import core
from citronweir import platform
from fakes import platform_store as stores


@contextlib.asynccontextmanager
async def _run(store):
    async with test_utils.TestServer(stores.make_app(store)) as server:
        async with platform.make_store_session() as session:
            yield session, core.Address('127.0.0.1', server.port)


async def test_all_pages_are_read():
    """Guards against replicas that are unknown beyond the first page."""
    store = stores.Store(page=3)
    for number in range(10):
        stores.put(store, f'servers/{number}', b'x')
    async with _run(store) as where:
        listing = await platform.read_all(*where)
    assert [item.key for item in listing.items] == sorted(store.items)
    assert listing.revision == store.revision


async def test_changes_and_removals_come_in_order():
    """Guards against a removal that is taken for an empty value."""
    store = stores.Store()
    async with _run(store) as where:
        after = core.Revision(store.revision)
        stores.put(store, 'op/config', b'one')
        stores.put(store, 'op/config', b'')
        stores.remove(store, 'op/config')
        changes = await platform.wait_changes(*where, after, 1.0)
    assert [item.value for item in changes.items] == ['one', '\ufffd', '']
    assert changes.revision == store.revision


async def test_wait_without_a_change_ends_empty():
    """Guards against a watch that is taken for lost when nothing happens."""
    store = stores.Store()
    async with _run(store) as where:
        changes = await platform.wait_changes(
            *where, core.Revision(store.revision), 0.05
        )
    assert changes.items == ()


async def test_dropped_history_is_told_apart():
    """Guards against a watch that goes on after changes were dropped."""
    store = stores.Store()
    stores.put(store, 'op/config', b'one')
    stores.compact(store)
    async with _run(store) as where:
        reply = await platform.wait_changes(*where, core.Revision(1), 0.05)
    assert reply.fault is platform.StoreFault.COMPACTED


@pytest.mark.parametrize(
    'outage, fault',
    [
        (stores.Outage.BUSY, platform.StoreFault.REFUSED),
        (stores.Outage.MANY, platform.StoreFault.REFUSED),
        (stores.Outage.RESET, platform.StoreFault.NO_REPLY),
        (stores.Outage.SILENT, platform.StoreFault.NO_REPLY),
    ],
)
async def test_outage_ends_each_call_in_its_time(outage, fault):
    """Guards against a call that waits for a store which is silent."""
    store = stores.Store(outage=outage)
    async with _run(store) as where:
        reply = await platform.wait_changes(*where, core.Revision(1), 0.01)
    assert reply.fault is fault
