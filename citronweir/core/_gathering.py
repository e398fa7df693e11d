"""Merges the parts of shards and decides when to answer.

The value of an answer falls with the square of the number of missing
shards, and drops to a small remainder once the latency target has passed.
An answer with sufficient coverage is therefore sent at the target without
waiting for more parts.
"""

from collections import abc
import enum
import math

from citronweir.core import _data as data

RECORD_BYTES = 16  # size of one record of a part
# An answer has to leave this long before its caller needs it. It covers the
# merge and the wait for the event loop before the request was read.
LOCAL_MARGIN = 0.004  # seconds


class GatherDecision(enum.Enum):
    """What to do with the parts that have been received."""

    WAIT = 'wait'
    ANSWER = 'answer'
    GIVE_UP = 'give_up'


def min_parts(route: data.Route) -> int:
    """Returns the minimum number of parts of an answer."""
    needed = math.ceil(route.min_coverage * len(route.shards) - 1e-9)
    return max(1, needed)


def decide_gather(
    route: data.Route,
    part_count: int,
    pending_shards: int,
    target_reached: bool,
) -> GatherDecision:
    """Decides whether to answer with the parts that have been received.

    Args:
        route: Route of the request.
        part_count: Number of shards whose parts have been received.
        pending_shards: Number of shards that may still answer.
        target_reached: Whether the latency target has been reached.
    """
    needed = min_parts(route)
    if part_count + pending_shards < needed:
        return GatherDecision.GIVE_UP
    if not pending_shards or (target_reached and part_count >= needed):
        return GatherDecision.ANSWER
    return GatherDecision.WAIT


def merge_parts(
    route: data.Route,
    replies: abc.Collection[data.Reply],
    merged: abc.Collection[data.Gathered] = (),
) -> data.Gathered:
    """Merges parts into the top records, sorted in descending order.

    Args:
        route: Route of the request.
        replies: Parts of shards.
        merged: Merged parts of other shards from other nodes. The top
            records overall are among the top records of each merge.
    """
    records = []
    for body in (
        *(reply.body for reply in replies),
        *(item.body for item in merged),
    ):
        records += _split_records(body)
    records.sort(reverse=True)
    signatures = [reply.signature for reply in replies]
    for item in merged:
        signatures += item.signatures
    return data.Gathered(
        b''.join(records[: route.top_k]),
        tuple(signatures),
        len(route.shards) - len(signatures),
    )


def _split_records(body):
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]
