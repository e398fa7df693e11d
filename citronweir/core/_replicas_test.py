"""Tests of the replica table, outlier ejection and replica selection."""

import dataclasses
import functools
import random

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _data as data
from citronweir.core import _health as health
from citronweir.core import _replica_merge as merging
from citronweir.core import _replicas as replicas

INDEX = data.IndexName('parts')
READY, DRAINING = data.ReplicaState.READY, data.ReplicaState.DRAINING
DONE = data.SubDone('')
LOST = data.SubUnknown(data.UnknownReason.REPLY_LOST)


def _make_holding(snapshot=1, lo=0, hi=data.KEY_SPACE_END):
    return data.Holding(
        INDEX, data.SnapshotId(snapshot), data.KeyRange(lo, hi), 10, 10
    )


def _make_replica(name='r0', state=READY, epoch=1, version=0, snapshot=1):
    return data.Replica(
        data.ReplicaId(name),
        data.Address('127.0.0.1', 1),
        state,
        (_make_holding(snapshot),),
        data.Epoch(epoch),
        version,
    )


def _make_table(*records):
    table = replicas.ReplicaTable()
    for record in records:
        replicas.update_replica(table, record, 0.0)
    return table


RECORDS = st.builds(
    _make_replica,
    state=st.sampled_from(data.ReplicaState),
    epoch=st.integers(1, 3),
    version=st.integers(0, 2),
    snapshot=st.integers(1, 2),
)


@hypothesis.given(st.lists(RECORDS, min_size=1, max_size=6), st.randoms())
def test_merge_is_order_independent_and_draining_is_final(records, rng):
    """Guards against nodes that diverge and against drains that are undone.

    A record of a higher epoch replaces a drain, so that a restarted
    replica is not taken for a draining one.
    """
    merged = functools.reduce(merging.merge_replica, records)
    shuffled = records + rng.sample(records, len(records))
    rng.shuffle(shuffled)
    assert functools.reduce(merging.merge_replica, shuffled) == merged
    half = len(records) // 2
    if half:
        parts = records[:half], records[half:]
        one, other = (
            functools.reduce(merging.merge_replica, part) for part in parts
        )
        assert merging.merge_replica(other, one) == merged
    latest = [item for item in records if item.epoch == merged.epoch]
    assert merged.epoch == max(item.epoch for item in records)
    drained = any(item.state is DRAINING for item in latest)
    assert (merged.state is DRAINING) == drained


def test_rejection_for_an_operator_drain_does_not_mark_the_replica():
    """Guards against a replica that stays draining after the drain ended.

    The owner may learn of a drain before the node that sends to it, and
    then rejects a sub-request as draining.
    """
    table = _make_table(_make_replica('r0'))
    refusal = data.SubNotRun(data.NotRunReason.DRAINING)
    replicas.record_outcome(table, 'r0', refusal, 0.0, 1.0)
    assert replicas.find_replica(table, 'r0').state is READY


def test_every_drain_signal_stops_new_work_and_invalidates_the_plan():
    """Guards against a cached plan that contains a draining replica."""
    for signal in ('status', 'operator', 'list', 'reply'):
        table = _make_table(_make_replica('r0'), _make_replica('r1'))
        assert len(replicas.plan_index(table, INDEX).pieces[0].candidates) == 2
        if signal == 'status':
            replicas.update_replica(table, _make_replica('r0', DRAINING), 1.0)
        elif signal == 'operator':
            replicas.set_drains(table, ['r0'])
        elif signal == 'list':
            replicas.set_leaving(table, ['r0'])
        else:
            replicas.mark_draining(table, 'r0', 1.0)
        candidates = replicas.plan_index(table, INDEX).pieces[0].candidates
        assert candidates == ('r1',), signal
        assert replicas.find_replica(table, 'r0').state is DRAINING
        rng = random.Random(1)
        chosen = replicas.choose_replica(
            table, ('r0',), (), data.Rank.URGENT, 2.0, rng
        )
        assert chosen is None


def test_failed_replicas_are_used_only_without_others():
    """Guards against lost coverage when a status endpoint is wrong."""
    failed = _make_replica('r0', data.ReplicaState.FAILED, snapshot=2)
    table = _make_table(failed)
    assert replicas.plan_index(table, INDEX).snapshot == 2
    replicas.update_replica(table, _make_replica('r1'), 1.0)
    assert replicas.plan_index(table, INDEX).snapshot == 1


def test_only_unlisted_inactive_replicas_are_removed():
    """Guards against the removal of live replicas by a lagging VM list."""
    table = _make_table(
        _make_replica('r0'),
        _make_replica('r1', DRAINING),
        _make_replica('r2', DRAINING),
    )
    assert replicas.prune_replicas(table, {'r2'}, 59.0) == []
    assert replicas.prune_replicas(table, {'r2'}, 60.0) == ['r1']
    assert set(table.replicas) == {'r0', 'r2'}


OUTCOMES = st.lists(
    st.tuples(
        st.integers(0, 8),
        st.sampled_from((DONE, LOST, LOST, LOST)),
        st.integers(0, 4),
    ),
    min_size=10,
    max_size=100,
)


@hypothesis.given(OUTCOMES, st.integers(1, 3))
def test_ejection_keeps_two_thirds_and_one_replica_of_each_range(
    outcomes, holders_per_range
):
    """Guards against ejections that leave a shard without any replica."""
    parts = 9 // holders_per_range
    part = data.KEY_SPACE_END // parts
    records = []
    for number in range(9):
        lo = number % parts * part
        record = _make_replica(f'r{number}')
        record = dataclasses.replace(
            record, holdings=(_make_holding(1, lo, lo + part),)
        )
        records.append(record)
    table = _make_table(*records)
    now = 0.0
    for number, outcome, pause in outcomes:
        # Repeating an outcome reaches the limit of consecutive failures.
        for _ in range(6):
            now += 0.02 * pause
            latency = 1.0 if number < 4 else 0.01
            replicas.record_outcome(table, f'r{number}', outcome, latency, now)
        ejected = {
            name
            for name, state in table.observed.items()
            if health.is_ejected(state, now)
        }
        assert len(ejected) <= 3
        for record in records:
            range_holders = {
                item.replica_id
                for item in records
                if item.holdings == record.holdings
            }
            assert range_holders - ejected


def _record_failures(table, name, now, count=5):
    for _ in range(count):
        replicas.record_outcome(table, name, LOST, 0.1, now)


def test_ejection_time_doubles_and_answers_restore_the_weight():
    """Guards against a failing replica that returns at full weight.

    Each ejection in succession lasts twice as long, up to the maximum.
    """
    table = _make_table(*(_make_replica(f'r{number}') for number in range(3)))
    state = table.observed['r0']
    now, ejection_times = 10.0, []
    for _ in range(6):
        _record_failures(table, 'r0', now)
        assert health.is_ejected(state, now)
        ejection_times.append(state.ejected_until - now)
        now = state.ejected_until
        assert health.warmup_weight(state, now) == health.WARMUP_START_WEIGHT
    assert ejection_times == [5.0, 10.0, 20.0, 40.0, 60.0, 60.0]
    for step in range(20):
        replicas.record_outcome(table, 'r0', DONE, 0.01, now + step)
    assert health.warmup_weight(state, now + 20) == 1.0


def test_slow_replica_gets_less_work_and_is_ejected():
    """Guards against a slow replica that determines the tail latency."""
    table = _make_table(*(_make_replica(f'r{number}') for number in range(3)))
    rng, now, sent_counts = random.Random(5), 0.0, {'r0': 0, 'r1': 0, 'r2': 0}
    for step in range(600):
        now = step * 0.05
        name = replicas.choose_replica(
            table, sorted(sent_counts), (), data.Rank.URGENT, now, rng
        )
        sent_counts[name] += 1
        latency = 0.1 if name == 'r0' else 0.01
        replicas.record_outcome(table, name, DONE, latency, now)
    assert sent_counts['r0'] < 60
    assert min(sent_counts['r1'], sent_counts['r2']) > 200
    # A replica is compared with its group only after outcomes of its own.
    for _ in range(10):
        now += 0.1
        replicas.record_outcome(table, 'r0', DONE, 0.1, now)
    assert health.is_ejected(table.observed['r0'], now)


def test_warm_up_starts_with_the_first_useful_answer():
    """Guards against full load on a replica that has just joined.

    Answers without searched documents must not start the warm-up.
    """
    table = _make_table(_make_replica('r0'), _make_replica('r1'))
    for step in range(21):
        replicas.record_outcome(table, 'r1', DONE, 0.01, step)
    cold = data.SubAnswer(1, data.WHOLE_KEY_SPACE, 0, 10, 10, ())
    rng, chosen_counts = random.Random(3), {'r0': 0, 'r1': 0}
    for _ in range(1000):
        replicas.record_outcome(table, 'r0', cold, 0.001, 30.0)
        chosen_counts[
            replicas.choose_replica(
                table, ('r0', 'r1'), (), data.Rank.URGENT, 30.0, rng
            )
        ] += 1
    assert 50 < chosen_counts['r0'] < 150


def test_cancelled_hedges_raise_the_latency_of_a_slow_replica():
    """Guards against a slow replica whose latency is never sampled.

    Its sub-requests are always cancelled because a hedge answers first.
    """
    table = _make_table(_make_replica('r0'), _make_replica('r1'))
    for step in range(12):
        for name in ('r0', 'r1'):
            replicas.record_outcome(table, name, DONE, 0.01, step)
    cancelled = data.SubNotRun(data.NotRunReason.CANCELLED)
    before = table.observed['r0'].latency
    replicas.record_outcome(table, 'r0', cancelled, before / 2, 20.0)
    assert table.observed['r0'].latency == before
    for step in range(10):
        replicas.record_outcome(table, 'r0', cancelled, 0.03, 20.0 + step)
    assert table.observed['r0'].latency > 2 * before


def test_lower_ranks_do_not_increase_the_expected_wait():
    """Guards against urgent work rejected or misrouted during a flood.

    A flood of deferrable sub-requests must not raise the expected wait of
    urgent ones, which are served first.
    """
    table = _make_table(_make_replica('r0'))
    replicas.record_outcome(table, 'r0', DONE, 0.01, 0.0)
    state = table.observed['r0']
    for _ in range(100):
        replicas.record_dispatched(table, 'r0', data.Rank.DEFERRABLE)
    urgent, deferrable = (
        health.expected_wait(state, rank, 0.0)
        for rank in (data.Rank.URGENT, data.Rank.DEFERRABLE)
    )
    assert urgent == state.latency
    assert deferrable > 100 * state.latency
    for _ in range(101):
        replicas.record_returned(table, 'r0', data.Rank.DEFERRABLE)
    assert health.expected_wait(state, data.Rank.DEFERRABLE, 0.0) == urgent
