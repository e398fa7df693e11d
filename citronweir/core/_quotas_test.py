"""Tests of the token bucket that a keeper has for a tenant."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core

TENANT = core.Tenant(core.TenantName('t'), frozenset(), rate=10.0, burst=10.0)
WINDOW = 5.0  # seconds
BOUNDS = core.QuotaBounds(WINDOW, 0.1, 20.0)
TOLERANCE = 0.1 * 60.0 + 20.0  # requests


def _ask(bucket, now, share=1.0):
    return core.take_tokens(bucket, TENANT, BOUNDS, 1.0, True, share, now)


@given(gaps=st.lists(st.floats(0.0, 0.5), max_size=200))
def test_asked_requests_stay_within_the_quota(gaps):
    """Guards G16 for any arrivals while every request asks first."""
    bucket, now, granted = core.make_bucket(TENANT, BOUNDS, 1.0, 0.0), 0.0, []
    for gap in gaps:
        now += gap
        if _ask(bucket, now).is_granted:
            granted.append(now)
    for start in granted:
        count = sum(start <= at <= start + WINDOW for at in granted)
        # The rest of the tolerance is for a change of the keeper.
        limit = TENANT.rate * WINDOW + TENANT.burst + 0.5 * TOLERANCE
        assert count <= limit + 1e-6


def test_usual_load_is_never_refused():
    """Guards callers within the quota: 0.6 of the rate, with waves."""
    bucket, now = core.make_bucket(TENANT, BOUNDS, 1.0, 0.0), 0.0
    for number in range(300):
        now += 0.08 if number // 20 % 2 else 0.25
        assert _ask(bucket, now).is_granted


def test_reported_requests_are_repaid():
    """Guards against a tenant that stays over its quota between notices."""
    bucket = core.make_bucket(TENANT, BOUNDS, 1.0, 0.0)
    decision = core.take_tokens(bucket, TENANT, BOUNDS, 25.0, False, 1.0, 0.0)
    assert decision.limited_for
    assert not _ask(bucket, 1.0).is_granted
    assert _ask(bucket, 2.0).is_granted


def test_returned_token_is_granted_again():
    """Guards the quota of a tenant whose requests are refused later."""
    bucket = core.TokenBucket(1.0, 0.0)
    assert _ask(bucket, 0.0).is_granted
    assert not _ask(bucket, 0.0).is_granted
    core.take_tokens(bucket, TENANT, BOUNDS, -1.0, False, 1.0, 0.0)
    assert _ask(bucket, 0.0).is_granted


def test_refused_callers_are_told_different_times():
    """Guards against callers that return together for one token."""
    bucket = core.TokenBucket(0.0, 0.0)
    waits = [_ask(bucket, 0.0).wait for _ in range(5)]
    assert waits == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5])
    assert _ask(bucket, 9.0).is_granted


def test_lowered_limit_cuts_the_saved_tokens():
    """Guards against a burst of the former limit after it was lowered."""
    bucket = core.TokenBucket(20.0, 0.0)
    lower = core.Tenant(TENANT.name, frozenset(), rate=1.0, burst=1.0)
    decisions = [
        core.take_tokens(
            bucket, lower, core.QuotaBounds(), 1.0, True, 1.0, 0.0
        )
        for _ in range(3)
    ]
    assert [item.is_granted for item in decisions] == [True, False, False]


def test_notices_are_limited():
    """Guards the nodes against a notice for each request of a tenant."""
    bucket = core.make_bucket(TENANT, BOUNDS, 1.0, 0.0)
    sent = 0
    for number in range(100):
        decision = _ask(bucket, number / 100)
        sent += core.is_notice_due(bucket, decision, number / 100)
    assert 1 <= sent <= 2


def test_tenant_far_below_its_quota_asks_nobody():
    """Guards latency targets against a round trip for each request.

    Also right after the start, and where the quota is small.
    """
    small = core.Tenant(TENANT.name, frozenset(), rate=0.2, burst=2.0)
    for tenant in (TENANT, small):
        bucket, now = core.make_bucket(tenant, BOUNDS, 1.0, 0.0), 0.0
        for _ in range(20):
            now += 1.0 / (0.6 * tenant.rate)
            decision = core.take_tokens(
                bucket, tenant, BOUNDS, 1.0, False, 1.0, now
            )
            assert not decision.limited_for
