"""Merges the replies of replicas and computes the coverage of the answer.

Coverage is the share of a snapshot's documents that were searched. Each key
range counts once, however many replies it gets, and a reply counts only the
documents that its replica searched.
"""

import bisect
import dataclasses
import heapq

from citronweir.core import _data as data


@dataclasses.dataclass(slots=True)
class Merge:
    """Replies received so far for one plan of a search.

    Attributes:
        answers: Replies by key range.
        starts: First keys of the answered ranges, ascending. Binary search
            finds the neighbours of a range, so an overlap check compares
            two ranges instead of up to 490.
        ends: Exclusive ends of the answered ranges, in the same order.
    """

    plan: data.Plan
    answers: dict[data.KeyRange, data.SubAnswer] = dataclasses.field(
        default_factory=dict
    )
    starts: list[int] = dataclasses.field(default_factory=list)
    ends: list[int] = dataclasses.field(default_factory=list)


def accept_answer(
    merge: Merge, requested_range: data.KeyRange, answer: data.SubAnswer
) -> bool:
    """Adds a reply to the merge if it is valid.

    Among several replies for a range, the one with the most searched
    documents is kept.

    Args:
        merge: Replies received so far.
        requested_range: Range that the replica was asked to search.
        answer: Reply of the replica.

    Returns:
        Whether the reply is valid: it has the planned snapshot and the
        requested range, and overlaps no other accepted range.
    """
    if (
        answer.snapshot != merge.plan.snapshot
        or answer.key_range != requested_range
    ):
        return False
    known = merge.answers.get(requested_range)
    if known is not None:
        if answer.docs_searched > known.docs_searched:
            merge.answers[requested_range] = answer
        return True
    position = bisect.bisect_left(merge.starts, requested_range.lo)
    if position and merge.ends[position - 1] > requested_range.lo:
        return False
    if (
        position < len(merge.starts)
        and merge.starts[position] < requested_range.hi
    ):
        return False
    merge.starts.insert(position, requested_range.lo)
    merge.ends.insert(position, requested_range.hi)
    merge.answers[requested_range] = answer
    return True


def carry_over_answers(previous: Merge, current: Merge) -> None:
    """Copies complete replies for ranges that are also in a new plan.

    Args:
        previous: Merge of the previous plan; replies of another snapshot
            are not accepted.
        current: Merge of the new plan, without replies.
    """
    for piece in current.plan.pieces:
        answer = previous.answers.get(piece.key_range)
        if answer is not None and is_fully_searched(answer):
            accept_answer(current, piece.key_range, answer)


def reachable_coverage(merge: Merge, pending_docs: int) -> float:
    """Returns the highest coverage that a search can still reach.

    Args:
        merge: Replies received so far.
        pending_docs: Number of documents in the pieces without a reply.
    """
    total = merge.plan.total_docs
    if not total:
        return 1.0
    searched = sum(answer.docs_searched for answer in merge.answers.values())
    return (searched + pending_docs) / total


def is_fully_searched(answer: data.SubAnswer) -> bool:
    """Returns whether every document of a reply's range was searched."""
    return answer.docs_searched >= answer.docs


def build_outcome(merge: Merge, limit: int) -> data.Outcome:
    """Builds the outcome of a search from the accepted replies.

    Args:
        merge: Replies of the search.
        limit: Maximum number of hits in the answer.

    Returns:
        Complete if every document of the snapshot was searched, Partial
        if some were, Failed if none was.
    """
    searched = sum(
        min(answer.docs_searched, answer.docs)
        for answer in merge.answers.values()
    )
    plan = merge.plan
    total_docs = max(
        [plan.total_docs]
        + [answer.total_docs for answer in merge.answers.values()]
    )
    if not merge.answers or (total_docs and not searched):
        return data.Failed(data.FailureReason.NO_COVERAGE)
    hits = _top_hits(merge, limit)
    if searched >= total_docs:
        return data.Complete(plan.snapshot, hits, searched, total_docs)
    return data.Partial(plan.snapshot, hits, searched, total_docs)


def choose_outcome(merges: list[Merge], limit: int) -> data.Outcome:
    """Builds the outcome of the merge with the highest coverage.

    Args:
        merges: Merges of one search, one per plan, newest last.
        limit: Maximum number of hits in the answer.

    Returns:
        The outcome; among equal coverages that of the newest plan.
    """
    outcomes = [build_outcome(merge, limit) for merge in merges]
    return max(reversed(outcomes), key=_coverage)


def _coverage(outcome):
    if isinstance(outcome, data.Failed):
        return -1.0
    if not outcome.total_docs:
        return 1.0
    return outcome.docs_searched / outcome.total_docs


def _top_hits(merge, limit):
    hits = (hit for answer in merge.answers.values() for hit in answer.hits)
    best = heapq.nsmallest(
        limit, hits, key=lambda hit: (-hit.score, hit.doc_id)
    )
    return tuple(best)
