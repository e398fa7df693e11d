"""Tests of pauses that replicas ask for."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir.core import _pauses as pauses

REPLICA = core.ReplicaId('r')
# Requests that may reach a replica inside a pause; the rule allows two.
MAX_IN_PAUSE = 0


def _accepts(table, now, in_flight=0):
    return core.accepts_request(table, REPLICA, in_flight, now)


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 2.0),
            st.sampled_from(['pause', 'answer', 'lost', 'send', 'expire']),
            st.floats(0.001, 1000.0),
        ),
        max_size=60,
    )
)
def test_no_request_is_sent_during_a_pause(steps):
    """Guards a replica that asked for a pause, in any order of answers."""
    table, now, until, in_flight, sent_in_pause = {}, 0.0, 0.0, 0, 0
    for delay, step, seconds in steps:
        now += delay
        match step:
            case 'pause':
                core.start_pause(table, REPLICA, seconds, now, 0.5)
                until = max(until, now + min(seconds, pauses.MAX_PAUSE))
                in_flight = max(0, in_flight - 1)
            case 'answer':
                core.record_answer_after_pause(table, REPLICA, now)
                in_flight = max(0, in_flight - 1)
            case 'lost':
                in_flight = max(0, in_flight - 1)
            case 'send' if _accepts(table, now, in_flight):
                sent_in_pause += now < until
                in_flight += 1
            case 'expire':
                core.expire_pauses(table, now)
    assert sent_in_pause <= MAX_IN_PAUSE


def test_load_comes_back_gradually_after_a_pause():
    """Guards a replica against all waiting requests at once."""
    table = {}
    core.start_pause(table, REPLICA, 1.0, 0.0, 0.0)
    limits = []
    while table:
        accepted = [n for n in range(100) if _accepts(table, 1.0, n)]
        limits.append(len(accepted))
        core.record_answer_after_pause(table, REPLICA, 1.0)
    assert limits == [1, 2, 4, 8, 16]
    assert _accepts(table, 1.0, 100)


def test_answer_sent_before_the_pause_does_not_end_it():
    """Guards a pause against the late answer of an earlier request."""
    table = {}
    core.start_pause(table, REPLICA, 1.0, 0.0, 0.0)
    core.record_answer_after_pause(table, REPLICA, 0.5)
    assert not _accepts(table, 0.9)
    core.start_pause(table, REPLICA, 0.1, 0.5, 0.0)
    assert not _accepts(table, 0.9)
    assert _accepts(table, 1.0)


def test_absurd_pause_is_cut():
    """Guards against a replica that is never used again."""
    table = {}
    assert not core.start_pause(table, REPLICA, 1e9, 0.0, 1.0)
    assert not _accepts(table, pauses.MAX_PAUSE)
    assert _accepts(table, pauses.MAX_PAUSE * (1.0 + pauses.RESUME_SPREAD))
    core.expire_pauses(table, 2 * pauses.MAX_PAUSE)
    assert not table


def test_pause_of_a_service_ends_with_the_first_of_its_replicas():
    """Guards the retry delay that a refused caller is told."""
    table = {}
    other = core.ReplicaId('other')
    core.start_pause(table, REPLICA, 3.0, 0.0, 0.0)
    assert core.find_pause(table, (REPLICA, other), 0.0) == 0.0
    core.start_pause(table, other, 2.0, 0.0, 0.0)
    assert core.find_pause(table, (REPLICA, other), 0.5) == pytest.approx(1.5)
    assert core.find_pause(table, (), 0.5) == 0.0
