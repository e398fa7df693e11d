"""Tests of the client against the fake service over real sockets."""

import contextlib
import time

from aiohttp import test_utils
import pytest

from citronweir import metastore
from citronweir.metastore import _limits as call_limits
from fakes import _store as stores
from fakes import kv as fake

KEY = '/citronweir/config/contracts/a'
PREFIX = '/citronweir/config/'


@pytest.fixture
async def service():
    """Yields the fake service, its URL and a client session."""
    async with fake.serve(
        fake.Service(stores.Store(), progress=0.1)
    ) as served:
        yield served


async def _put(service, value, expected, **options):
    _, url, session = service
    return await metastore.compare_and_set(
        session, url, KEY, value, expected, **options
    )


async def _read(service, **options):
    _, url, session = service
    return await metastore.read_key(session, url, KEY, **options)


async def test_conflict_returns_the_current_record(service):
    """Guards against a lost update and a conflict without the winning pair."""
    first = await _put(service, 'one', 0)
    assert isinstance(first, metastore.Applied)
    pair = metastore.KvPair(KEY, 'one', first.revision)
    assert await _put(service, 'two', 0) == metastore.Conflict(pair)
    assert isinstance(
        await _put(service, 'two', first.revision), metastore.Applied
    )
    assert (await _read(service))[0].value == 'two'


async def test_write_with_a_lost_reply_may_be_applied(service):
    """Guards against reporting a lost reply as a write that failed."""
    service[0].faults.lost_replies = 1
    reply = await _put(service, 'one', 0)
    assert reply.fault is metastore.KvFault.NO_REPLY
    assert not metastore.is_not_applied(reply)
    assert (await _read(service))[0].value == 'one'


async def test_delayed_write_fails_after_a_newer_write_of_its_key(service):
    """Guards against a delayed write that overwrites a newer one."""
    service[0].faults.delayed_writes = 1
    reply = await _put(service, 'late', 0)
    assert not metastore.is_not_applied(reply)
    assert (await _read(service))[0] is None
    assert isinstance(await _put(service, 'newer', 0), metastore.Applied)
    end = time.monotonic() + 5 * service[0].faults.write_delay
    while time.monotonic() < end:
        assert (await _read(service))[0].value == 'newer'


@pytest.mark.parametrize(
    ('fault', 'value'), [('outage', 'refuse'), ('outage', 'hang'), ('slow', 9)]
)
async def test_outage_returns_an_error_within_the_timeout(
    service, fault, value
):
    """Guards against a call that hangs or raises."""
    setattr(service[0].faults, fault, value)
    replies = [
        await _read(service, timeout=0.2),
        await _put(service, 'one', 0, timeout=0.2),
    ]
    for reply in replies:
        assert reply.fault is metastore.KvFault.NO_REPLY
    setattr(service[0].faults, fault, type(value)())
    assert isinstance(await _put(service, 'one', 0), metastore.Applied)


async def test_write_to_unreachable_service_is_not_applied(service):
    """Guards against an unknown outcome for a write that was never sent."""
    _, _, session = service
    port = test_utils.unused_port()
    reply = await metastore.compare_and_set(
        session, f'http://127.0.0.1:{port}', KEY, 'one', 0
    )
    assert metastore.is_not_applied(reply)


async def test_stale_read_is_older_than_the_write(service):
    """Guards against a fake service that does not serve stale reads."""
    first = await _put(service, 'one', 0)
    await _put(service, 'two', first.revision)
    service[0].faults.stale_reads = 1
    assert (await _read(service))[0].value == 'one'
    assert (await _read(service))[0].value == 'two'


async def test_expired_lease_deletes_its_pairs_and_rejects_new_ones(service):
    """Guards against an unknown outcome for a write on an expired lease."""
    _, url, session = service
    lease = await metastore.grant_lease(session, url, 60)
    first = await _put(service, 'one', 0, lease=lease.lease_id)
    await _put(service, 'two', first.revision, keep_lease=True)
    async with session.post(f'{url}/faults', json={'lapse_leases': True}):
        pass
    assert (await _read(service))[0] is None
    reply = await _put(service, 'three', 0, lease=lease.lease_id)
    assert reply.fault is metastore.KvFault.LEASE_GONE
    assert metastore.is_not_applied(reply)


async def test_calls_over_the_rate_limit_are_not_sent(service):
    """Guards against a node that exceeds its share of the rate limit."""
    _, url, session = service
    limits = metastore.make_limits(0.1, 0.1, time.monotonic())
    replies = [await _read(service, limits=limits) for _ in range(9)]
    refused = [item for item in replies if isinstance(item, metastore.KvError)]
    assert len(refused) == 9 - call_limits.MIN_BURST
    assert refused[0].fault is metastore.KvFault.OVER_LIMIT
    async with session.get(f'{url}/calls') as resp:
        assert (await resp.json())['range'] == call_limits.MIN_BURST


def test_token_bucket_limits_the_rate():
    """Guards against repeated bursts and an ever more negative balance."""
    bucket = metastore.make_limits(10.0, 10.0, 0.0).writes
    waits = [
        call_limits.take_tokens(bucket, step / 1000) for step in range(10_000)
    ]
    allowed = sum(wait is not None for wait in waits)
    assert 100 <= allowed <= 10 * 10 + 10 + 10 * call_limits.MAX_WAIT + 1
    assert max(wait or 0 for wait in waits) <= call_limits.MAX_WAIT


@contextlib.asynccontextmanager
async def _watch(service, start, idle_timeout=1.0):
    _, url, session = service
    batches = metastore.watch_prefix(
        session, url, PREFIX, start, idle_timeout=idle_timeout
    )
    async with contextlib.aclosing(batches):
        yield batches


async def test_watch_delivers_each_change_with_its_revision(service):
    """Guards against a change or deletion that a watch skips."""
    _, url, session = service
    lease = await metastore.grant_lease(session, url, 60)
    first = await _put(service, 'one', 0, lease=lease.lease_id)
    async with _watch(service, first.revision) as batches:
        batch = await anext(batches)
        assert [pair.value for pair in batch.pairs] == ['one']
        second = await _put(service, 'two', first.revision, keep_lease=True)
        while not (batch := await anext(batches)).pairs:
            pass
        assert batch.revision == second.revision
        async with session.post(f'{url}/faults', json={'lapse_leases': True}):
            pass
        while not (batch := await anext(batches)).deletions:
            pass
        deletion = metastore.Deletion(KEY, second.revision + 1)
        assert batch.deletions == (deletion,)
        progress = await anext(batches)
        assert progress == metastore.WatchBatch(second.revision + 1)


@pytest.mark.parametrize(
    ('faults', 'fault'),
    [
        ({'mute_watches': True}, metastore.KvFault.WATCH_SILENT),
        ({'outage': 'hang'}, metastore.KvFault.WATCH_SILENT),
        ({'break_watches': True}, metastore.KvFault.WATCH_ENDED),
    ],
)
async def test_stalled_or_closed_watch_returns_an_error(
    service, faults, fault
):
    """Guards against a watch that hangs without progress."""
    _, url, session = service
    async with _watch(service, 0) as batches:
        assert not (await anext(batches)).pairs
        async with session.post(f'{url}/faults', json=faults):
            pass
        items = [item async for item in batches]
    assert items[-1].fault is fault


async def test_watch_of_compacted_revision_returns_an_error(service):
    """Guards against a watch that silently skips compacted changes."""
    first = await _put(service, 'one', 0)
    service[0].store.compacted = first.revision
    async with _watch(service, first.revision) as batches:
        items = [item async for item in batches]
    assert items[-1].fault is metastore.KvFault.WATCH_COMPACTED


async def test_progress_does_not_overtake_delayed_events(service):
    """Guards against a progress revision ahead of a delayed event."""
    service[0].faults.watch_delay = 0.3
    async with _watch(service, 0) as batches:
        assert isinstance(await anext(batches), metastore.WatchBatch)
        put = await _put(service, 'one', 0)
        while not (batch := await anext(batches)).pairs:
            assert batch.revision < put.revision
        assert batch.revision == put.revision
