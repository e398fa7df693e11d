"""Tests of the bound on hedges and retries of all nodes together."""

import random

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core

SERVICE = core.ServiceName('s')
RATIO, SLACK, WINDOW = 0.2, 56.0, 10.0


@given(
    st.integers(0, 2**32),
    st.integers(1, 100),
    st.floats(1.0, 200.0),
    st.booleans(),
)
def test_all_nodes_together_stay_within_the_bound(seed, nodes, rate, restart):
    """Hedges and retries in a window must stay within the bound.

    Every node starts with a full bucket and spends each token at once. In
    half of the runs, all nodes restart within the window.
    """
    rng = random.Random(seed)
    states = [_make_idle_state(nodes) for _ in range(nodes)]
    count = round(rate * WINDOW)
    extras = 0
    for number in range(count):
        if restart and number == count // 2:
            states = [core.ExtraLoad(RATIO, SLACK, nodes) for _ in states]
        state = rng.choice(states)
        core.earn_tokens(state, SERVICE)
        while core.take_extra(state, SERVICE, core.AttemptKind.RETRY):
            extras += 1
    assert extras <= RATIO * count + SLACK


def _make_idle_state(nodes, owners=1, is_owner=False):
    """Builds the state of a node that has long been idle: a full bucket."""
    state = core.ExtraLoad(RATIO, SLACK, nodes)
    if owners > 1:
        state.owners = owners
        state.grouped = frozenset({SERVICE})
        state.owned = frozenset({SERVICE} if is_owner else ())
    state.tokens[SERVICE] = core.bucket_capacity(state, SERVICE)
    return state


@given(st.integers(0, 2**32), st.integers(10, 200), st.floats(1.0, 100.0))
def test_owners_and_the_others_stay_within_the_bound(seed, nodes, rate):
    """The bound must hold for a shard that few owners ask for many nodes."""
    rng = random.Random(seed)
    owners = 9
    states = [
        _make_idle_state(nodes, owners, number < owners)
        for number in range(nodes)
    ]
    count, extras = round(rate * WINDOW), 0
    for _ in range(count):
        # In one of ten requests an owner is lost, and any node may ask.
        position = rng.randrange(owners if rng.random() < 0.9 else nodes)
        core.earn_tokens(states[position], SERVICE)
    for state in states:
        while core.take_extra(state, SERVICE, core.AttemptKind.RETRY):
            extras += 1
    assert extras <= RATIO * count + SLACK


def test_hedges_leave_tokens_to_retries():
    """Guards against hedges that leave no token for a retry."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    kinds = core.AttemptKind
    while core.take_extra(extra, SERVICE, kinds.HEDGE):
        pass
    assert core.take_extra(extra, SERVICE, kinds.RETRY)


def test_bucket_below_one_token_allows_no_attempt():
    """Guards against a bound that is exceeded in a very large fleet.

    If each of 1000 nodes kept a whole token, they could send 1000 extra
    requests at once, although the slack is 56.
    """
    extra = core.ExtraLoad(RATIO, SLACK, 1000)
    for _ in range(1000):
        core.earn_tokens(extra, SERVICE)
    assert not core.take_extra(extra, SERVICE, core.AttemptKind.RETRY)


def test_starting_owner_may_hedge():
    """Guards against an owner that cannot hedge just after its start.

    On a route with many shards a few replicas pause at any time, so that
    nearly every request needs a hedge. A hedge must leave a reserve for
    retries, and the initial bucket once held less than that reserve.
    """
    extra = core.ExtraLoad(RATIO, 200.0, 90, 9, {SERVICE}, {SERVICE})
    core.earn_tokens(extra, SERVICE)
    assert core.take_extra(extra, SERVICE, core.AttemptKind.HEDGE)


def _record_request(extra, age, now):
    core.update_services(extra, [SERVICE], age, WINDOW, now)
    core.earn_tokens(extra, SERVICE)
    return extra.tokens[SERVICE]


def test_service_that_is_new_to_the_routes_has_a_full_bucket():
    """Guards against routes that cannot hedge after they change services."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    assert _record_request(extra, 60.0, 100.0) == core.bucket_capacity(
        extra, SERVICE
    )


def test_starting_node_and_new_owner_do_not_have_full_buckets():
    """Guards against slack that is spent twice in one window.

    The previous process of a restarted node, or the previous owner of a
    service, may already have spent a full bucket.
    """
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    assert _record_request(extra, 1.0, 100.0) < 0.3 * core.bucket_capacity(
        extra, SERVICE
    )
    new_owner = core.ExtraLoad(RATIO, 200.0, 90, 9, {SERVICE})
    _record_request(new_owner, 60.0, 100.0)
    new_owner.owned = {SERVICE}
    assert _record_request(
        new_owner, 60.2, 100.2
    ) < 0.3 * core.bucket_capacity(new_owner, SERVICE)


def test_service_that_returns_within_a_window_is_not_new():
    """Guards against full buckets from routes that change back and forth."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    _record_request(extra, 60.0, 100.0)
    while core.take_extra(extra, SERVICE, core.AttemptKind.RETRY):
        pass
    core.update_services(extra, [], 65.0, WINDOW, 105.0)
    assert _record_request(extra, 69.0, 109.0) < 2.0
    core.update_services(extra, [], 85.0, WINDOW, 125.0)
    assert not extra.seen_at
    assert not extra.tokens
