"""Tests of the calls for claims against the stand-in."""

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
    """Yields the stand-in, its URL and a client session."""
    async with fake.serve(fake.Service(stores.Store())) as served:
        yield served


def _key(number):
    return core.ClaimKey(core.ContractId('c'), core.RequestId(str(number)))


def _deadline():
    return time.monotonic() + 1


async def test_claims_of_an_hour_share_a_lease(service):
    """Guards against a lease for each order."""
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


async def test_orders_without_a_lease_wait_together(service):
    """Guards against orders that wait in a row for a grant that hangs."""
    state, url, session = service
    state.faults.outage = 'hang'
    store = metastore.make_claim_store(session, url)
    began = time.monotonic()
    writes = [store.write(_key(n), CREATE, began + 0.2) for n in range(20)]
    assert set(await asyncio.gather(*writes)) == {core.ClaimUnsent()}
    assert time.monotonic() - began < 1
    assert state.calls['grant'] == 1


async def test_settled_claim_stays_with_its_lease(service):
    """Guards against records that nothing ever deletes."""
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


async def test_lost_lease_costs_one_order(service):
    """Guards against a node that refuses every order after a lapse."""
    state, url, session = service
    store = metastore.make_claim_store(session, url)
    await store.write(_key(1), CREATE, _deadline())
    stores.expire_leases(state.store, float('inf'))
    reply = await store.write(_key(2), CREATE, _deadline())
    assert reply == core.ClaimUnsent()
    reply = await store.write(_key(2), CREATE, _deadline())
    assert isinstance(reply, core.ClaimWritten)


async def test_results_are_kept_when_new_claims_are_over_the_limit(service):
    """Guards against orders that run and whose results are then lost."""
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


async def test_unreadable_claim_is_the_claim_of_another(service):
    """Guards against "not run" next to a record that may mean a run."""
    _, url, session = service
    store = metastore.make_claim_store(session, url)
    await metastore.compare_and_set(
        session, url, records.claim_key(_key(1)), '{"state": "new"}', 0
    )
    reply = await store.write(_key(1), CREATE, _deadline())
    step = core.after_write(CREATE, reply)
    reason = core.UnknownReason.CLAIMED_ELSEWHERE
    assert step == core.AnswerOrder(core.Unknown(reason))


async def test_lost_reply_is_uncertain_and_outage_unread(service):
    """Guards against a lost reply that passes for a refusal."""
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
