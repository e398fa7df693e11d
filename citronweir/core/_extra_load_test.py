"""Tests of the bound on arrivals beyond the first of each request."""

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
    """Guards replicas against hedges and retries in any window.

    Every node spends all that it may, from full buckets on, and in half
    of the runs every node restarts within the window.
    """
    rng = random.Random(seed)
    states = [_full(nodes) for _ in range(nodes)]
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


def _full(nodes, owners=1, is_owner=False):
    """Builds a state as it is without any requests for a long time."""
    state = core.ExtraLoad(RATIO, SLACK, nodes)
    if owners > 1:
        state.owners = owners
        state.grouped = frozenset({SERVICE})
        state.owned = frozenset({SERVICE} if is_owner else ())
    state.tokens[SERVICE] = core.bucket_capacity(state, SERVICE)
    return state


@given(st.integers(0, 2**32), st.integers(10, 200), st.floats(1.0, 100.0))
def test_owners_and_the_others_stay_within_the_bound(seed, nodes, rate):
    """Guards replicas where few owners ask a shard for many nodes."""
    rng = random.Random(seed)
    owners = 9
    states = [_full(nodes, owners, number < owners) for number in range(nodes)]
    count, extras = round(rate * WINDOW), 0
    for _ in range(count):
        # Now and then another node asks, where an owner is lost.
        place = rng.randrange(owners if rng.random() < 0.9 else nodes)
        core.earn_tokens(states[place], SERVICE)
    for state in states:
        while core.take_extra(state, SERVICE, core.AttemptKind.RETRY):
            extras += 1
    assert extras <= RATIO * count + SLACK


def test_hedges_leave_the_rest_to_retries():
    """Guards answers against hedges that use up every token."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    kinds = core.AttemptKind
    while core.take_extra(extra, SERVICE, kinds.HEDGE):
        pass
    assert core.take_extra(extra, SERVICE, kinds.RETRY)


def test_part_below_one_arrival_allows_none():
    """Guards replicas of a very large fleet.

    If each of a thousand nodes kept a token, they could send a thousand
    extra requests at once where the bound is 56.
    """
    extra = core.ExtraLoad(RATIO, SLACK, 1000)
    for _ in range(1000):
        core.earn_tokens(extra, SERVICE)
    assert not core.take_extra(extra, SERVICE, core.AttemptKind.RETRY)


def test_starting_owner_may_hedge():
    """Guards the first seconds after a start against pausing replicas.

    A few of the replicas of a route with many shards pause at any time,
    so that nearly each of its requests needs a hedge. The bucket of a
    starting owner held less than what hedges had to leave.
    """
    extra = core.ExtraLoad(RATIO, 200.0, 90, 9, {SERVICE}, {SERVICE})
    core.earn_tokens(extra, SERVICE)
    assert core.take_extra(extra, SERVICE, core.AttemptKind.HEDGE)


def _note(extra, age, now):
    core.update_services(extra, [SERVICE], age, WINDOW, now)
    core.earn_tokens(extra, SERVICE)
    return extra.tokens[SERVICE]


def test_service_that_is_new_to_the_routes_has_a_full_bucket():
    """Guards routes that move to new services against a second start."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    assert _note(extra, 60.0, 100.0) == core.bucket_capacity(extra, SERVICE)


def test_starting_node_and_new_owner_do_not_have_full_buckets():
    """Guards replicas against the buckets of lost nodes and their heirs."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    assert _note(extra, 1.0, 100.0) < 0.3 * core.bucket_capacity(
        extra, SERVICE
    )
    heir = core.ExtraLoad(RATIO, 200.0, 90, 9, {SERVICE})
    _note(heir, 60.0, 100.0)
    heir.owned = {SERVICE}
    assert _note(heir, 60.2, 100.2) < 0.3 * core.bucket_capacity(heir, SERVICE)


def test_service_that_returns_within_a_window_is_not_new():
    """Guards the bound against routes that change to and fro."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    _note(extra, 60.0, 100.0)
    while core.take_extra(extra, SERVICE, core.AttemptKind.RETRY):
        pass
    core.update_services(extra, [], 65.0, WINDOW, 105.0)
    assert _note(extra, 69.0, 109.0) < 2.0
    core.update_services(extra, [], 85.0, WINDOW, 125.0)
    assert not extra.seen_at
    assert not extra.tokens
