"""Chooses the snapshot of a search and disjoint key ranges that cover it.

Shards are split and merged while searches run, so replicas may hold
overlapping ranges of a snapshot. A plan uses disjoint ranges of exactly one
snapshot, so that every document counts at most once.
"""

import bisect
import collections
from collections import abc

from citronweir.core import _data as data

HeldRange = tuple[data.ReplicaId, data.Holding]


def choose_plan(
    index: data.IndexName, held_ranges: abc.Iterable[HeldRange]
) -> data.Plan | None:
    """Plans a search of the newest snapshot that is fully covered.

    If none is, the snapshot with the highest coverage is used; among equal
    coverages the newest.

    Args:
        index: Index to search.
        held_ranges: Ranges held by usable replicas, of any index and
            snapshot.

    Returns:
        The plan, or None if no usable replica holds the index.
    """
    ranges_by_snapshot = collections.defaultdict(list)
    for replica_id, holding in held_ranges:
        if holding.index == index:
            ranges_by_snapshot[holding.snapshot].append((replica_id, holding))
    best, best_share = None, -1.0
    for snapshot in sorted(ranges_by_snapshot, reverse=True):
        plan = _plan_snapshot(index, snapshot, ranges_by_snapshot[snapshot])
        share = planned_coverage(plan)
        if share >= 1.0:
            return plan
        if share > best_share:
            best, best_share = plan, share
    return best


def planned_coverage(plan: data.Plan) -> float:
    """Returns the share of the snapshot's documents in a plan."""
    if not plan.total_docs:
        return 1.0
    return sum(piece.docs for piece in plan.pieces) / plan.total_docs


def cover_range(
    index: data.IndexName,
    snapshot: data.SnapshotId,
    within: data.KeyRange,
    held_ranges: abc.Iterable[HeldRange],
) -> tuple[data.Piece, ...]:
    """Covers a key range with disjoint pieces that maximise the documents.

    Args:
        index: Index to search.
        snapshot: Snapshot of the pieces.
        within: Range to cover.
        held_ranges: Ranges held by usable replicas.

    Returns:
        Pieces in ascending order of their ranges.
    """
    pieces = [
        piece
        for piece in _make_pieces(index, snapshot, held_ranges)
        if within.lo <= piece.key_range.lo and piece.key_range.hi <= within.hi
    ]
    return _select_disjoint(pieces)


def _plan_snapshot(index, snapshot, held_ranges):
    total_docs = max(holding.total_docs for _, holding in held_ranges)
    pieces = cover_range(index, snapshot, data.WHOLE_KEY_SPACE, held_ranges)
    return data.Plan(index, snapshot, total_docs, pieces)


def _make_pieces(index, snapshot, held_ranges):
    replica_ids = collections.defaultdict(list)
    docs = collections.defaultdict(int)
    for replica_id, holding in held_ranges:
        if holding.index == index and holding.snapshot == snapshot:
            replica_ids[holding.key_range].append(replica_id)
            docs[holding.key_range] = max(
                docs[holding.key_range], holding.docs
            )
    return [
        data.Piece(index, snapshot, key_range, docs[key_range], tuple(ids))
        for key_range, ids in replica_ids.items()
    ]


def _select_disjoint(pieces):
    """Selects disjoint pieces by weighted interval scheduling.

    Maximises the number of documents; among equal totals, fewer pieces are
    preferred.
    """
    pieces = sorted(pieces, key=lambda piece: piece.key_range.hi)
    ends = [piece.key_range.hi for piece in pieces]
    best = [(0, 0)]
    previous = []
    for number, piece in enumerate(pieces):
        before = bisect.bisect_right(ends, piece.key_range.lo, 0, number)
        previous.append(before)
        docs, count = best[before]
        best.append(max(best[-1], (docs + piece.docs, count - 1)))
    chosen, number = [], len(pieces)
    while number:
        if best[number] == best[number - 1]:
            number -= 1
        else:
            chosen.append(pieces[number - 1])
            number = previous[number - 1]
    return tuple(reversed(chosen))
