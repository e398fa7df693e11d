"""Tests of the admission control for searches."""

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _admission as admission
from citronweir.core import _data as data

REASONS = data.NotRunReason
FITS = admission.Estimate(0.0, 0.0, 1.0)
LATE = admission.Estimate(2.0, 0.0, 1.0)


@hypothesis.given(
    st.lists(st.sampled_from([*data.Rank]), max_size=40), st.integers(1, 5)
)
def test_each_rank_has_its_own_limit(ranks, limit):
    """A flood of one rank must not keep out searches of another rank."""
    state = admission.Admission(limit)
    counts = dict.fromkeys(data.Rank, 0)
    for rank in ranks:
        reason = admission.admit(state, rank, FITS, 0.0)
        assert (reason is None) == (counts[rank] < limit)
        counts[rank] += reason is None


def test_estimate_past_the_deadline_is_refused_but_rechecked():
    """Guards against work that is late anyway and against stale estimates.

    Estimates come from replies. If an estimate that is too high refused
    every search, no reply would ever correct it.
    """
    state = admission.Admission(100)
    seen = [
        admission.admit(state, data.Rank.ORDINARY, LATE, 1.0 + step / 100)
        for step in range(100)
    ]
    assert 9 <= seen.count(None) <= 11
    assert seen.count(REASONS.OVERLOADED) == 100 - seen.count(None)


def test_contract_is_in_force_from_start_to_expiry_exactly():
    """Guards against a contract that is served at or after its expiry."""
    contract = data.Contract(
        data.ContractId('c'), data.Rank.URGENT, 1.0, 10.0, 20.0
    )
    seen = {
        now: admission.check_contract(contract, now)
        for now in (9.999, 10.0, 19.999, 20.0)
    }
    refused = REASONS.NOT_IN_FORCE
    assert list(seen.values()) == [refused, None, None, refused]
    assert admission.check_contract(None, 0.0) is REASONS.NO_CONTRACT


def test_shortage_lowers_the_concurrency_limit_and_success_raises_it():
    """Guards against overload in which every search ends as partial.

    This happens if a node keeps admitting more searches at once than the
    upstreams can serve.
    """
    state = admission.Admission(100)
    rank = data.Rank.DEFERRABLE

    def run_round(lacked_capacity, now):
        count = 0
        while admission.admit(state, rank, FITS, now) is None:
            count += 1
        for _ in range(count):
            admission.release(state, rank, lacked_capacity, now)
        return count

    counts = [run_round(False, now) for now in range(12)]
    assert counts[0] == admission.INITIAL_CONCURRENCY
    assert counts[1] > counts[0] and counts[-1] == 100
    shortage = [run_round(True, 10.0 + now) for now in range(40)]
    assert shortage[1] == 80
    assert shortage[-1] >= admission.MIN_CONCURRENCY
    before = run_round(False, 60.0)
    assert before < run_round(False, 61.0) <= before + 2
    assert (
        state.concurrency_limit[data.Rank.URGENT]
        == admission.INITIAL_CONCURRENCY
    )
