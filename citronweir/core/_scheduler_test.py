"""Tests of the rank queue and its selection policies."""

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _data as data
from citronweir.core import _scheduler as scheduler

URGENT, ORDINARY, DEFERRABLE = scheduler.RANK_ORDER
SHARES = {URGENT: 0.7, ORDINARY: 0.2, DEFERRABLE: 0.1}
# Urgent work gets most turns here, although its own share is small.
SMALL_URGENT = {URGENT: 0.2, ORDINARY: 0.3, DEFERRABLE: 0.5}
NO_DEADLINE = 1e9

ARRIVALS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 3)),
    min_size=20,
    max_size=150,
)


def _enqueue_many(queue, counts):
    for rank, count in zip(scheduler.RANK_ORDER, counts, strict=True):
        for _ in range(count):
            scheduler.enqueue(
                queue, scheduler.QueueEntry(rank, NO_DEADLINE), 0.0
            )


@hypothesis.given(
    ARRIVALS,
    st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 3)),
    st.sampled_from((SHARES, SMALL_URGENT)),
)
def test_backlogged_ranks_get_their_share_and_urgent_goes_first(
    arrivals, max_counts, shares
):
    """Guards against starvation of low ranks and delay of urgent work.

    A lower rank with a backlog gets its share of the turns, and it
    displaces waiting urgent work in no more turns than that share.
    """
    queue = scheduler.make_queue(shares, 1000)
    backlog = dict.fromkeys(shares, 0)
    served = dict.fromkeys(shares, 0)
    displaced = dict.fromkeys(shares, 0)
    for turn, counts in enumerate(arrivals, 1):
        _enqueue_many(queue, map(min, counts, max_counts))
        waiting = {rank: bool(queue.waiting[rank]) for rank in shares}
        entry, _ = scheduler.dequeue(queue, 0.0, scheduler.select_shares)
        if entry is None:
            continue
        for rank in shares:
            if not waiting[rank]:
                backlog[rank] = served[rank] = 0
                continue
            backlog[rank] += 1
            served[rank] += rank is entry.rank
            assert served[rank] > backlog[rank] * shares[rank] - 2
        if waiting[URGENT] and entry.rank is not URGENT:
            displaced[entry.rank] += 1
            limit = turn * shares[entry.rank] + 1
            assert displaced[entry.rank] <= limit


def test_idle_time_gives_no_credit_and_extra_turns_no_debt():
    """Guards against credit from idle time and debt from extra turns.

    With credit, a rank that was idle would run in a burst before urgent
    work. With debt, a rank that used the idle capacity of the others would
    be starved when they return.
    """
    queue = scheduler.make_queue(SHARES, 1000)
    _enqueue_many(queue, (0, 500, 0))
    for _ in range(400):
        scheduler.dequeue(queue, 0.0, scheduler.select_shares)
    _enqueue_many(queue, (100, 0, 100))
    ranks = [
        scheduler.dequeue(queue, 0.0, scheduler.select_shares)[0].rank
        for _ in range(100)
    ]
    assert abs(ranks.count(ORDINARY) - 20) <= 1
    assert abs(ranks.count(DEFERRABLE) - 10) <= 1
    assert ranks[:3] == [URGENT] * 3


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('add'),
            st.sampled_from(scheduler.RANK_ORDER),
            st.integers(1, 20),
        ),
        st.tuples(st.just('cancel'), st.integers(0, 30), st.just(0)),
        st.tuples(st.just('take'), st.just(0), st.integers(0, 5)),
    ),
    max_size=80,
)


@hypothesis.given(STEPS)
def test_each_entry_leaves_the_queue_exactly_once(steps):
    """Guards against lost and duplicated entries, also after a cancel.

    Expired and cancelled entries must not run.
    """
    queue = scheduler.make_queue(SHARES, 4)
    added, removed, now = [], [], 0.0
    for kind, value, number in steps:
        if kind == 'add':
            entry = scheduler.QueueEntry(value, now + number)
            expired = scheduler.enqueue(queue, entry, now)
            if expired is not None:
                added.append(entry)
                removed += expired
        elif kind == 'cancel' and value < len(added):
            if scheduler.cancel(queue, added[value]):
                removed.append(added[value])
        elif kind == 'take':
            now += number
            entry, expired = scheduler.dequeue(
                queue, now, scheduler.select_shares
            )
            assert all(item.deadline <= now for item in expired)
            removed += expired
            if entry is not None:
                assert entry.deadline > now
                removed.append(entry)
        assert all(len(item) <= 4 for item in queue.waiting.values())
    while (taken := scheduler.dequeue(queue, 0.0, scheduler.select_strict))[0]:
        removed.append(taken[0])
    assert sorted(map(id, removed)) == sorted(map(id, added))


def test_full_rank_refuses_without_affecting_other_ranks():
    """A flood of one rank must not use up the queue space of the others."""
    queue = scheduler.make_queue(SHARES, 2)
    _enqueue_many(queue, (0, 0, 5))
    late = scheduler.QueueEntry(DEFERRABLE, NO_DEADLINE)
    assert scheduler.enqueue(queue, late, 0.0) is None
    entry = scheduler.QueueEntry(URGENT, NO_DEADLINE)
    assert scheduler.enqueue(queue, entry, 0.0) == []
    assert scheduler.count_waiting(queue) == 3


@hypothesis.given(
    st.tuples(st.integers(0, 40), st.integers(0, 40), st.integers(0, 40)),
    st.sampled_from(scheduler.RANK_ORDER),
)
def test_estimated_delay_is_near_the_actual_delay(counts, rank):
    """Guards against delay estimates that ignore the other ranks.

    Admission control would then admit searches that miss their deadline
    or refuse searches that meet it.
    """
    queue = scheduler.make_queue(SHARES, 1000)
    _enqueue_many(queue, counts)
    estimate = scheduler.estimate_delay(queue, rank, 1.0, 1)
    entry = scheduler.QueueEntry(rank, NO_DEADLINE)
    scheduler.enqueue(queue, entry, 0.0)
    turns = 0
    while entry.state is data.EntryState.WAITING:
        scheduler.dequeue(queue, 0.0, scheduler.select_shares)
        turns += 1
    assert turns * 0.6 - 6 <= estimate <= turns * 1.7 + 6


def test_policies_divide_a_backlog_as_specified():
    """Guards against comparisons with a baseline of the wrong policy."""
    for select, want in (
        (scheduler.select_strict, (100, 0, 0)),
        (scheduler.select_weighted, (70, 20, 10)),
        (scheduler.select_first_come, (100, 0, 0)),
        (scheduler.select_shares, (70, 20, 10)),
    ):
        queue = scheduler.make_queue(SHARES, 1000)
        _enqueue_many(queue, (200, 200, 200))
        ranks = [
            scheduler.dequeue(queue, 0.0, select)[0].rank for _ in range(100)
        ]
        for rank, count in zip(SHARES, want, strict=True):
            assert abs(ranks.count(rank) - count) <= (2 if count < 100 else 0)
