"""Tests of the client of the platform's store against a fake store."""

import contextlib
import json

from aiohttp import test_utils
from aiohttp import web
import hypothesis
from hypothesis import strategies as st
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
    """Guards against missing the replicas after the first page."""
    store = stores.Store(page=3)
    for number in range(10):
        stores.put(store, f'servers/{number}', b'x')
    async with _run(store) as store_args:
        listing = await platform.read_all(*store_args)
    assert [item.key for item in listing.items] == sorted(store.items)
    assert listing.revision == store.revision


async def test_changes_and_deletions_come_in_order():
    """Guards against confusing a deletion with an empty value."""
    store = stores.Store()
    async with _run(store) as store_args:
        after = core.Revision(store.revision)
        stores.put(store, 'op/config', b'{}')
        stores.put(store, 'op/config', b'')
        stores.remove(store, 'op/config')
        changes = await platform.wait_changes(*store_args, after, 1.0)
    assert [item.value for item in changes.items] == ['{}', '\ufffd', '']
    assert changes.revision == store.revision


async def test_wait_without_a_change_returns_no_changes():
    """Guards against reporting an idle watch as lost."""
    store = stores.Store()
    async with _run(store) as store_args:
        changes = await platform.wait_changes(
            *store_args, core.Revision(store.revision), 0.05
        )
    assert changes.items == ()


async def test_compacted_history_is_reported():
    """Guards against a watch that continues after missed changes."""
    store = stores.Store()
    stores.put(store, 'op/config', b'one')
    stores.drop_history(store)
    async with _run(store) as store_args:
        reply = await platform.wait_changes(
            *store_args, core.Revision(1), 0.05
        )
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
async def test_call_returns_within_its_timeout_in_an_outage(outage, fault):
    """Guards against a call that waits forever for a silent store."""
    store = stores.Store(outage=outage)
    async with _run(store) as store_args:
        reply = await platform.wait_changes(
            *store_args, core.Revision(1), 0.01
        )
    assert reply.fault is fault


async def test_read_is_never_stale():
    """Guards against a node that starts with an outdated configuration."""
    store = stores.Store()
    stores.put(store, 'op/config', b'{"version": 1}')
    stores.freeze_stale_reads(store)
    stores.put(store, 'op/config', b'{"version": 2}')
    async with _run(store) as store_args:
        listing = await platform.read_all(*store_args)
    assert [item.value for item in listing.items] == ['{"version": 2}']
    assert listing.revision == store.revision


async def test_late_write_of_a_stopped_node_adds_no_record():
    """Guards against requests to a node that has stopped.

    The write of its record times out, and the store processes it only after
    the node has ended its lease.
    """
    store = stores.Store(delayed_write_count=1)
    node = core.ListedNode(
        core.NodeId('n1'),
        core.Address('127.0.0.1', 1),
        core.DataCentre('a'),
        core.Incarnation(1),
    )
    async with _run(store) as store_args:
        lease = await platform.grant_lease(*store_args, 15.0)
        reply = await platform.write_node(*store_args, node, lease)
        assert reply.fault is platform.StoreFault.NO_REPLY
        await platform.end_lease(*store_args, lease)
    assert stores.apply_delayed_writes(store) == [404]
    assert not store.items


async def test_fake_store_refuses_only_the_selected_node():
    """Guards the node tests against a fake store that refuses every node."""
    store = stores.Store(machine_outages={'n1': stores.Outage.BUSY})
    for node_id, is_refused in (('n1', True), ('n2', False)):
        app = stores.make_app(store, node_id)
        async with test_utils.TestServer(app) as server:
            async with platform.make_store_session() as session:
                address = core.Address('127.0.0.1', server.port)
                reply = await platform.read_all(session, address)
        assert isinstance(reply, platform.StoreCallError) == is_refused


SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['eA==', 'op/config'])
)
REPLY_FIELDS = (
    'items',
    'events',
    'has_more',
    'current_rev',
    'key',
    'value',
    'revision',
    'removed',
    'lease',
    'ttl_ms',
)
REPLIES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(REPLY_FIELDS), inner)
    ),
    max_leaves=10,
)


@hypothesis.given(replies=st.lists(REPLIES, min_size=8, max_size=8))
@hypothesis.settings(max_examples=40, deadline=None)
async def test_any_reply_becomes_a_result(replies):
    """Guards the watch of a node against replies of an unexpected form."""
    texts = [json.dumps(reply) for reply in replies]

    async def answer(request):
        return web.Response(text=texts.pop() if texts else '{}')

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', answer)
    async with test_utils.TestServer(app) as server:
        async with platform.make_store_session() as session:
            store_args = session, core.Address('127.0.0.1', server.port)
            listing = await platform.read_all(*store_args)
            changes = await platform.wait_changes(*store_args, 1, 0.01)
            lease = await platform.grant_lease(*store_args, 15.0)
    for reply, expected_type in (
        (listing, platform.Listing),
        (changes, platform.Changes),
        (lease, platform.Lease),
    ):
        assert isinstance(reply, expected_type | platform.StoreCallError)


async def test_conviction_replaces_only_the_revision_that_was_read():
    """Guards a record against the write of a node with older knowledge."""
    store = stores.Store()
    fingerprint = core.Fingerprint('ab' * 12)
    report = core.ReplicaReport(
        core.ReportKind.ENDED,
        fingerprint,
        core.CallerId('c'),
        core.ServiceName('s'),
        core.RequestId('r'),
        core.ReplicaId('i'),
    )
    conviction = core.Conviction(fingerprint, ((report, 1.0),))
    put = core.ConvictionWrite(fingerprint, conviction)
    remove = core.ConvictionWrite(fingerprint, None)
    key = platform.conviction_key(fingerprint)
    async with _run(store) as store_args:
        assert await platform.write_conviction(*store_args, put, 0) is None
        revision = store.items[key].revision
        for write in (put, remove):
            error = await platform.write_conviction(*store_args, write, 1)
            assert error.fault is platform.StoreFault.CONFLICT
        listing = await platform.read_all(*store_args)
        (record,) = listing.items
        assert record.key == key and record.revision == revision
        assert (
            await platform.write_conviction(*store_args, remove, revision)
            is None
        )
    assert not store.items
