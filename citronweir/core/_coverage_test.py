"""Tests of merging replies and of computing coverage."""

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _coverage as coverage
from citronweir.core import _data as data

INDEX = data.IndexName('parts')
SNAPSHOT = data.SnapshotId(3)


def _answer(lo, hi, searched=None, snapshot=SNAPSHOT):
    docs = hi - lo
    return data.SubAnswer(
        snapshot,
        data.KeyRange(lo, hi),
        docs if searched is None else searched,
        docs,
        100,
        (data.Hit(f'd{lo}', float(lo), ''),),
    )


def _merge():
    return coverage.Merge(data.Plan(INDEX, SNAPSHOT, 100, ()))


def test_reply_of_another_snapshot_never_counts():
    """A hedge that a newer snapshot answers must not be counted."""
    merge = _merge()
    answer = _answer(0, 50, snapshot=data.SnapshotId(4))
    assert not coverage.accept_answer(merge, answer.key_range, answer)
    assert isinstance(coverage.build_outcome(merge, 10), data.Failed)


def test_cold_and_truncated_replies_are_not_full_coverage():
    """Documents that a replica did not search must not count as covered."""
    merge = _merge()
    for answer in (_answer(0, 50, 0), _answer(50, 100, 20)):
        assert coverage.accept_answer(merge, answer.key_range, answer)
    outcome = coverage.build_outcome(merge, 10)
    assert outcome == data.Partial(SNAPSHOT, outcome.hits, 20, 100)


RANGES = st.tuples(
    st.integers(0, 9), st.integers(1, 10), st.integers(0, 100)
).filter(lambda item: item[0] < item[1])


@hypothesis.given(st.lists(RANGES, max_size=12))
def test_coverage_equals_the_documents_counted_by_an_oracle(items):
    """No range may be counted twice or lost."""
    merge = _merge()
    best = {}
    for lo, hi, percent in items:
        docs = (hi - lo) * 10
        answer = _answer(lo * 10, hi * 10, docs * percent // 100)
        if coverage.accept_answer(merge, answer.key_range, answer):
            known = best.get((lo, hi), 0)
            best[lo, hi] = max(known, answer.docs_searched)
    tenths = [tenth for lo, hi in best for tenth in range(lo, hi)]
    assert len(tenths) == len(set(tenths))
    outcome = coverage.build_outcome(merge, 10)
    if isinstance(outcome, data.Failed):
        assert sum(best.values()) == 0
    else:
        assert outcome.docs_searched == sum(best.values())
        whole = outcome.docs_searched == 100
        assert isinstance(outcome, data.Complete) == whole
