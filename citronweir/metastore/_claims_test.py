"""Tests of the claim store against the fake key-value service."""

import asyncio
import time

import pytest

from citronweir import core
from citronweir import metastore
from citronweir.metastore import _claim_records as records
from fakes import _store as stores
from fakes import kv as fake

CLAIM = core.Claim(
    core.ClaimState.CLAIMED, core.ClaimToken('t'), core.NodeId('n')
)
CREATE = core.WriteClaim(CLAIM, core.NO_REVISION)


@pytest.fixture
async def service():
    """Yields the fake service, its URL and a client session."""
    async with fake.serve(fake.Service(stores.Store())) as served:
        yield served


def _key(number):
    return core.ClaimKey(core.ContractId('c'), core.RequestId(str(number)))


def _deadline():
    return time.monotonic() + 1


async def test_claims_within_an_hour_share_a_lease(service):
    """Guards against one lease request per order."""
    state, url, session = service
    clock = [1000.0]
    store = metastore.make_claim_store(
        session, url, None, time.monotonic, lambda: clock[0]
    )
    for number in range(5):
        await store.write(_key(number), CREATE, _deadline())
    assert state.calls['grant'] == 1
    clock[0] += core.LEASE_CLAIM_PERIOD
    await store.write(_key(5), CREATE, _deadline())
    assert state.calls['grant'] == 2


async def test_concurrent_orders_share_a_lease_request(service):
    """Guards against orders that wait one by one for a hanging request."""
    state, url, session = service
    state.faults.outage = 'hang'
    store = metastore.make_claim_store(session, url)
    began = time.monotonic()
    writes = [store.write(_key(n), CREATE, began + 0.2) for n in range(20)]
    assert set(await asyncio.gather(*writes)) == {core.ClaimUnsent()}
    assert time.monotonic() - began < 1
    assert state.calls['grant'] == 1


async def test_settled_claim_keeps_its_lease(service):
    """Guards against settled claims that are never deleted."""
    state, url, session = service
    store = metastore.make_claim_store(session, url)
    reply = await store.write(_key(1), CREATE, _deadline())
    done, _ = core.settle_claim(CLAIM, core.SubDone('ok'))
    step = core.WriteClaim(done, reply.revision)
    assert isinstance(
        await store.write(_key(1), step, _deadline()), core.ClaimWritten
    )
    found = (await store.read(_key(1), _deadline())).claim
    assert (found.state, found.result) == (core.ClaimState.DONE, 'ok')
    stores.expire_leases(state.store, float('inf'))
    found = await store.read(_key(1), _deadline())
    assert found == core.ClaimFound(None)


async def test_lost_lease_is_replaced_after_one_refused_order(service):
    """Guards against a node that refuses all orders after a lease is lost."""
    state, url, session = service
    store = metastore.make_claim_store(session, url)
    await store.write(_key(1), CREATE, _deadline())
    stores.expire_leases(state.store, float('inf'))
    reply = await store.write(_key(2), CREATE, _deadline())
    assert reply == core.ClaimUnsent()
    reply = await store.write(_key(2), CREATE, _deadline())
    assert isinstance(reply, core.ClaimWritten)


async def test_claims_over_the_limit_leave_tokens_to_settle(service):
    """Guards against losing the result of an order that has run."""
    _, url, session = service
    limits = metastore.make_limits(9, 0.01, time.monotonic())
    store = metastore.make_claim_store(session, url, limits)
    reply = await store.write(_key(1), CREATE, _deadline())
    refused = await store.write(_key(2), CREATE, _deadline())
    assert refused == core.ClaimUnsent()
    done, _ = core.settle_claim(CLAIM, core.SubDone('ok'))
    step = core.WriteClaim(done, reply.revision)
    assert isinstance(
        await store.write(_key(1), step, _deadline()), core.ClaimWritten
    )


async def test_malformed_claim_counts_as_claimed_elsewhere(service):
    """Guards against "not run" for an order that may have run."""
    _, url, session = service
    store = metastore.make_claim_store(session, url)
    await metastore.compare_and_set(
        session, url, records.claim_key(_key(1)), '{"state": "new"}', 0
    )
    reply = await store.write(_key(1), CREATE, _deadline())
    step = core.after_write(CREATE, reply)
    reason = core.UnknownReason.CLAIMED_ELSEWHERE
    assert step == core.AnswerOrder(core.Unknown(reason))


async def test_lost_reply_is_uncertain_and_failed_read_is_unread(service):
    """Guards against reporting a lost reply as a write that failed."""
    state, url, session = service
    store = metastore.make_claim_store(session, url)
    state.faults.lost_replies = 1
    reply = await store.write(_key(1), CREATE, _deadline())
    assert reply == core.ClaimUncertain()
    found = (await store.read(_key(1), _deadline())).claim
    assert found.token == CLAIM.token
    state.faults.outage = 'hang'
    began = time.monotonic()
    reply = await store.read(_key(1), began + 0.05)
    assert reply == core.ClaimUnread()
    assert time.monotonic() - began < 1
