"""Tests of what nodes believe after the store returned from a copy."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core

ERAS = st.integers(0, 1000)
REVISIONS = st.integers(0, 1 << 39)


@given(first=st.tuples(ERAS, REVISIONS), second=st.tuples(ERAS, REVISIONS))
def test_order_is_that_of_era_and_revision(first, second):
    """Guards against a lost record that beats one of the present store."""
    one, two = core.join_revision(*first), core.join_revision(*second)
    assert (one < two) == (first < second)
    assert (core.find_era(one), core.find_store_revision(one)) == first


def test_revision_without_an_era_is_unchanged():
    """Guards stores that state no era."""
    assert core.join_revision(0, 530) == 530
    with pytest.raises(ValueError):
        core.join_revision(1 << 23, 1)


def _record(key, body, era, revision, value='x'):
    return core.ConfigRecord(
        core.ConfigKey(key),
        value,
        core.join_revision(era, revision),
        body=body,
    )


def _replica(state, epoch=5):
    return core.ListedReplica(
        core.ReplicaId('i'),
        core.ServiceName('s'),
        core.Address('10.0.0.1', 80),
        core.DataCentre('a'),
        state,
        2,
        0.0,
        core.Epoch(epoch),
    )


def _carry_over(known, *found):
    listing = core.ConfigBatch(found, core.join_revision(1, 100))
    batch = core.carry_over({known.key: known}, listing)
    (record,) = batch.records or (None,)
    if record is not None:
        assert core.find_era(record.revision) == 1
    return record


def test_lost_evacuation_is_kept():
    """Guards what the operator has not written again yet."""
    evacuation = core.Evacuation(core.DataCentre('a'))
    assert _carry_over(_record('e', evacuation, 0, 120)).body == evacuation
    assert _carry_over(_record('i', _replica('ready'), 0, 120)) is None


def test_draining_replica_does_not_become_ready():
    """Guards G6 against an entry from before the drain."""
    draining = _record('i', _replica(core.ListedState.DRAINING), 0, 120)
    ready = _record('i', _replica(core.ListedState.READY), 1, 90)
    kept = _carry_over(draining, ready)
    assert kept.body.state is core.ListedState.DRAINING
    restarted = dataclasses.replace(
        ready, body=_replica(core.ListedState.READY, epoch=6)
    )
    assert _carry_over(draining, restarted).body.epoch == 6


def test_removed_record_stays_removed():
    """Guards against replicas and evacuations that come back."""
    removed = _record('i', None, 0, 120, value='')
    old = _record('i', _replica(core.ListedState.READY), 1, 90)
    assert _carry_over(removed, old).value == ''
    new = dataclasses.replace(old, revision=core.join_revision(1, 130))
    assert _carry_over(removed, new).value == 'x'


@given(
    writes=st.lists(st.integers(1, 6), min_size=1, max_size=8),
    is_first_late=st.booleans(),
)
def test_nodes_that_learn_of_an_era_at_different_times_agree(
    writes, is_first_late
):
    """Guards two nodes against different views, in either order of news."""
    state = core.ConfigState()
    old = tuple(
        _record(f'k{key}', None, 0, 10 + number)
        for number, key in enumerate(writes)
    )
    state, _ = core.merge_batch(
        state, core.ConfigBatch(old, core.join_revision(0, 30))
    )
    # The copy lost the last writes; their revisions are given out again.
    new = tuple(
        _record(f'k{key}', None, 1, 10 + number, 'y')
        for number, key in enumerate(reversed(writes))
    )
    listing = core.ConfigBatch(new, core.join_revision(1, 25))
    batches = [listing, core.ConfigBatch(old)]
    merged = state
    for batch in batches if is_first_late else reversed(batches):
        merged, _ = core.merge_batch(merged, batch)
    assert {item.value for item in merged.records.values()} == {'y'}
    assert merged.complete_to == listing.complete_to
