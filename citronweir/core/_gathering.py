"""Merges the parts of shards and decides when an answer is good enough.

An answer's worth falls with the square of the shards that it leaves out,
and to a small rest once the latency target has passed. At the target a
sufficient answer therefore goes out as it is.
"""

from collections import abc
import enum
import math

from citronweir.core import _data as data

RECORD_BYTES = 16  # bytes of one record of a part
# What an answer needs beside the time that this node sees: the caller's
# way here and back, up to 3 ms each, the merge, and the wait for a turn of
# the loop before the request was read.
ANSWER_MARGIN = 0.010  # seconds


class GatherDecision(enum.Enum):
    """What to do with the parts that are in."""

    WAIT = 'wait'
    ANSWER = 'answer'
    GIVE_UP = 'give_up'


def min_parts(route: data.Route) -> int:
    """Returns the parts that an answer needs at least."""
    needed = math.ceil(route.min_coverage * len(route.shards) - 1e-9)
    return max(1, needed)


def decide_gather(
    route: data.Route, parts: int, open_shards: int, is_due: bool
) -> GatherDecision:
    """Decides whether to answer with the parts that are in.

    Args:
        route: Route of the request.
        parts: Shards that are in.
        open_shards: Shards that may still come in.
        is_due: Whether the latency target is reached.
    """
    needed = min_parts(route)
    if parts + open_shards < needed:
        return GatherDecision.GIVE_UP
    if not open_shards or (is_due and parts >= needed):
        return GatherDecision.ANSWER
    return GatherDecision.WAIT


def merge_parts(
    route: data.Route,
    replies: abc.Collection[data.Reply],
    merged: abc.Collection[data.Gathered] = (),
) -> data.Gathered:
    """Merges parts into the greatest records, greatest first.

    Args:
        route: Route of the request.
        replies: Parts of shards.
        merged: What other nodes merged of other shards; the greatest
            records of all are among the greatest of each.
    """
    records = []
    for body in (
        *(reply.body for reply in replies),
        *(item.body for item in merged),
    ):
        records += _split(body)
    records.sort(reverse=True)
    signatures = [reply.signature for reply in replies]
    for item in merged:
        signatures += item.signatures
    return data.Gathered(
        b''.join(records[: route.top_k]),
        tuple(signatures),
        len(route.shards) - len(signatures),
    )


def _split(body):
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]
