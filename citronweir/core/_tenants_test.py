"""Tests of which requests a node identifies, and until when."""

import dataclasses
import math

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core

ROUTE = core.Route(
    core.RouteName('r'),
    'a.example',
    '/a/',
    core.Idempotency.IDEMPOTENT,
    core.Rank.DEFERRABLE,
    0.5,
    1.0,
    2,
    ((core.ServiceName('s'), 1.0),),
)
KEY, OTHER_KEY = core.KeyDigest('d1'), core.KeyDigest('d2')
TENANT = core.Tenant(
    core.TenantName('t1'),
    frozenset({KEY}),
    core.Rank.URGENT,
    homes=frozenset({core.Region('north')}),
)
IDENTITY = core.Identity(TENANT.name, KEY)
HEADERS = (('Authorization', 'Bearer secret'), ('X-Tenant', 'forged'))
FRESH = core.KeyListState(0.5, 4.9)
STALE = core.KeyListState(5.0, 4.9)
AGES = st.floats(0.0, 20.0)


def _index(*tenants):
    return core.index_routes(core.RouteTable(1, (ROUTE,), {}, tenants=tenants))


def _request(credential):
    return core.HttpRequest(
        core.RequestId('id'),
        'GET',
        'a.example',
        '/a/x',
        (('Accept', '*/*'),),
        b'',
        1.0,
        identity_headers=HEADERS,
        credential=credential,
    )


def _identify(credential, state=FRESH, route=ROUTE, tenants=(TENANT,)):
    return core.identify_request(
        _index(*tenants), route, _request(credential), state
    )


def test_key_is_replaced_by_its_tenant():
    """Guards against a key or a forged tenant that reaches a replica."""
    req = _identify(KEY)
    assert req.identity == IDENTITY
    assert (req.headers, req.identity_headers) == ((('Accept', '*/*'),), ())
    assert req.credential is None


def test_headers_are_forwarded_where_there_are_no_tenants():
    """Guards deployments without tenants, which forward these headers."""
    req = _identify(KEY, STALE, tenants=())
    assert req.headers == (('Accept', '*/*'), *HEADERS)
    assert req.identity is None


def test_requests_without_a_valid_key_are_refused():
    """Guards against requests of unknown, missing or repeated keys."""
    for credential in (OTHER_KEY, None, core.InvalidKey()):
        assert _identify(credential) == core.Unauthorised()


def test_public_route_needs_no_key():
    """Guards against a forged tenant on a public route."""
    public = dataclasses.replace(ROUTE, is_public=True)
    req = _identify(None, STALE, public)
    assert (req.identity, req.identity_headers) == (None, ())
    assert _identify(OTHER_KEY, FRESH, public) == core.Unauthorised()


@given(age=AGES, max_age=AGES | st.just(math.inf), is_known=st.booleans())
def test_outdated_list_refuses_without_a_verdict(age, max_age, is_known):
    """Guards G14: a node that can't know must not serve, nor answer 401."""
    state = core.KeyListState(age, max_age)
    outcome = _identify(KEY if is_known else OTHER_KEY, state)
    if age >= max_age:
        assert outcome.reason is core.NotRunReason.UNCONFIRMED
    elif is_known:
        assert outcome.identity == IDENTITY
    else:
        is_verdict = isinstance(outcome, core.Unauthorised)
        assert is_verdict == (age <= 5.0)


@given(age=AGES, is_withdrawn=st.booleans())
def test_key_is_checked_again_when_a_request_is_sent(age, is_withdrawn):
    """Guards against a permission that ended while a request waited."""
    index = _index() if is_withdrawn else _index(TENANT)
    reason = core.check_identity(index, IDENTITY, core.KeyListState(age, 4.9))
    if age >= 4.9:
        assert reason is core.NotRunReason.UNCONFIRMED
    elif is_withdrawn:
        assert reason is core.NotRunReason.KEY_WITHDRAWN
    else:
        assert reason is None


def test_key_that_moved_to_another_tenant_is_withdrawn():
    """Guards against requests that run under a former tenant."""
    moved = core.Tenant(core.TenantName('t2'), frozenset({KEY}))
    reason = core.check_identity(_index(moved), IDENTITY, FRESH)
    assert reason is core.NotRunReason.KEY_WITHDRAWN


@given(
    route_homes=st.frozensets(st.sampled_from('abc')),
    tenant_homes=st.frozensets(st.sampled_from('abc')),
)
def test_homes_of_route_and_tenant_both_bind(route_homes, tenant_homes):
    """Guards G15: an empty intersection must not allow every region."""
    route = dataclasses.replace(ROUTE, homes=route_homes)
    tenant = dataclasses.replace(TENANT, homes=tenant_homes)
    homes = core.apply_tenant(_index(tenant), route, IDENTITY).homes
    allowed = {
        region
        for region in 'abc'
        if region in (route_homes or 'abc')
        and region in (tenant_homes or 'abc')
    }
    assert {item for item in 'abc' if not homes or item in homes} == allowed


def test_rank_of_the_tenant_replaces_the_one_of_the_route():
    """Guards the priority of tenants on every path that uses the route."""
    index = _index(TENANT)
    assert core.apply_tenant(index, ROUTE, IDENTITY).rank is core.Rank.URGENT
    assert core.apply_tenant(index, ROUTE, None) is ROUTE
