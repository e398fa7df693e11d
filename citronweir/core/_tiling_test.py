"""Tests of the choice of the snapshot and key ranges of a search."""

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _data as data
from citronweir.core import _tiling as tiling

INDEX = data.IndexName('parts')
QUARTER = data.KEY_SPACE_END // 4


def _holding(snapshot, lo, hi, docs_per_quarter=10):
    docs = (hi - lo) * docs_per_quarter
    key_range = data.KeyRange(lo * QUARTER, hi * QUARTER)
    return data.Holding(
        INDEX,
        data.SnapshotId(snapshot),
        key_range,
        docs,
        4 * docs_per_quarter,
    )


def _held(*holdings):
    return [
        (data.ReplicaId(f'r{number}'), holding)
        for number, holding in enumerate(holdings)
    ]


def test_newest_whole_snapshot_wins_over_newer_part():
    """A snapshot that is still being published must not be chosen."""
    held = _held(_holding(1, 0, 4), _holding(2, 0, 2))
    assert tiling.choose_plan(INDEX, held).snapshot == 1


def test_split_and_unsplit_shards_cover_once():
    """Documents of a repartitioned range must not be counted twice."""
    held = _held(_holding(1, 0, 4), _holding(1, 0, 2), _holding(1, 2, 4))
    plan = tiling.choose_plan(INDEX, held)
    assert sum(piece.docs for piece in plan.pieces) == plan.total_docs


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 4)).filter(
            lambda pair: pair[0] < pair[1]
        ),
        min_size=1,
        max_size=8,
    )
)
def test_pieces_are_disjoint_and_hold_the_most_documents(pairs):
    """Pieces must not overlap or leave avoidable gaps."""
    held = _held(*(_holding(1, lo, hi) for lo, hi in pairs))
    pieces = tiling.cover_range(
        INDEX, data.SnapshotId(1), data.WHOLE_KEY_SPACE, held
    )
    for one, other in zip(pieces, pieces[1:], strict=False):
        assert one.key_range.hi <= other.key_range.lo
    assert sum(piece.docs for piece in pieces) == 10 * _max_covered_quarters(
        pairs
    )


def _max_covered_quarters(pairs):
    best = {0: 0}
    for position in range(1, 5):
        options = [best[position - 1]]
        options += [best[lo] + hi - lo for lo, hi in pairs if hi == position]
        best[position] = max(options)
    return best[4]
