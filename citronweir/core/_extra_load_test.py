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
        core.note_request(state, SERVICE)
        while core.take_extra(state, SERVICE, core.AttemptKind.RETRY):
            extras += 1
    assert extras <= RATIO * count + SLACK


def _full(nodes):
    state = core.ExtraLoad(RATIO, SLACK, nodes)
    for _ in range(1000):
        core.note_request(state, SERVICE)
    return state


def test_hedges_leave_the_rest_to_retries():
    """Guards answers against hedges that use up every token."""
    extra = core.ExtraLoad(RATIO, SLACK, 2)
    kinds = core.AttemptKind
    while core.take_extra(extra, SERVICE, kinds.HEDGE):
        pass
    assert core.take_extra(extra, SERVICE, kinds.RETRY)


def test_node_among_very_many_can_still_earn_a_token():
    """Guards a large fleet against a bucket that never holds a token."""
    extra = core.ExtraLoad(RATIO, SLACK, 1000)
    for _ in range(10):
        core.note_request(extra, SERVICE)
    assert core.take_extra(extra, SERVICE, core.AttemptKind.RETRY)
