"""Merges replies of replicas into an answer with its true coverage.

Coverage counts documents of one snapshot, not replies: a range counts
once however often it is answered, and a reply counts only the documents
that its replica searched.
"""

import bisect
import dataclasses
import heapq

from citronweir.core import _data as data


@dataclasses.dataclass(slots=True)
class Merge:
    """Replies of one search so far, by their key range.

    Attributes:
        starts: First keys of the answered ranges, ascending. The check
            for overlaps then takes two comparisons, not one for each of
            up to 490 ranges.
        ends: Ends of the answered ranges, in the same order.
    """

    plan: data.Plan
    answers: dict[data.KeyRange, data.SubAnswer] = dataclasses.field(
        default_factory=dict
    )
    starts: list[int] = dataclasses.field(default_factory=list)
    ends: list[int] = dataclasses.field(default_factory=list)


def accept_answer(
    merge: Merge, asked: data.KeyRange, answer: data.SubAnswer
) -> bool:
    """Adds a reply to the merge if it can count.

    Args:
        merge: Replies so far.
        asked: Range that the replica was asked for.
        answer: The replica's reply.

    Returns:
        Whether the reply is of the planned snapshot and range and
        overlaps no other counted range.
    """
    if answer.snapshot != merge.plan.snapshot or answer.key_range != asked:
        return False
    known = merge.answers.get(asked)
    if known is not None:
        if answer.docs_searched > known.docs_searched:
            merge.answers[asked] = answer
        return True
    place = bisect.bisect_left(merge.starts, asked.lo)
    if place and merge.ends[place - 1] > asked.lo:
        return False
    if place < len(merge.starts) and merge.starts[place] < asked.hi:
        return False
    merge.starts.insert(place, asked.lo)
    merge.ends.insert(place, asked.hi)
    merge.answers[asked] = answer
    return True


def carry_over_answers(old: Merge, new: Merge) -> None:
    """Keeps whole answers for ranges that a new plan has as well.

    Args:
        old: Merge of the plan before; answers of another snapshot are
            not accepted.
        new: Merge of the new plan, without answers.
    """
    for piece in new.plan.pieces:
        answer = old.answers.get(piece.key_range)
        if answer is not None and is_whole(answer):
            accept_answer(new, piece.key_range, answer)


def reachable_coverage(merge: Merge, open_docs: int) -> float:
    """Returns the coverage that a search can still reach.

    Args:
        merge: Replies so far.
        open_docs: Documents of the pieces that are not answered yet.
    """
    total = merge.plan.total_docs
    if not total:
        return 1.0
    searched = sum(answer.docs_searched for answer in merge.answers.values())
    return (searched + open_docs) / total


def is_whole(answer: data.SubAnswer) -> bool:
    """Returns whether a reply covers every document of its range."""
    return answer.docs_searched >= answer.docs


def build_outcome(merge: Merge, limit: int) -> data.Outcome:
    """Builds the answer from the replies that counted.

    Args:
        merge: Replies of the search.
        limit: Largest number of hits in the answer.

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
    hits = _best_hits(merge, limit)
    if searched >= total_docs:
        return data.Complete(plan.snapshot, hits, searched, total_docs)
    return data.Partial(plan.snapshot, hits, searched, total_docs)


def choose_outcome(merges: list[Merge], limit: int) -> data.Outcome:
    """Builds the answer of the merge with the largest coverage.

    Args:
        merges: Merges of one search, each of its own plan, newest last.
        limit: Largest number of hits in the answer.

    Returns:
        The answer, the newer one among equals.
    """
    outcomes = [build_outcome(merge, limit) for merge in merges]
    return max(reversed(outcomes), key=_coverage_share)


def _coverage_share(outcome):
    if isinstance(outcome, data.Failed):
        return -1.0
    if not outcome.total_docs:
        return 1.0
    return outcome.docs_searched / outcome.total_docs


def _best_hits(merge, limit):
    hits = (hit for answer in merge.answers.values() for hit in answer.hits)
    best = heapq.nsmallest(
        limit, hits, key=lambda hit: (-hit.score, hit.doc_id)
    )
    return tuple(best)
