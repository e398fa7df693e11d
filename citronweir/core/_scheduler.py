"""Priority queue of a replica with a guaranteed share for each rank.

Strict priority starves the lower ranks during a flood of urgent work, and
weighted sharing alone makes urgent work wait behind the other ranks. The
default policy therefore gives each lower rank with waiting work its
configured share by stride scheduling, and serves all other turns in rank
order.
"""

import collections
from collections import abc
import dataclasses
import math
import typing

from citronweir.core import _data as data

RANK_ORDER = tuple(data.Rank)


@dataclasses.dataclass(slots=True, eq=False)
class QueueEntry:
    """One sub-request in a queue.

    Attributes:
        deadline: Monotonic second from which it must not run.
        item: Data of the code that enqueues the entry.
        number: Sequence number of its arrival, over all ranks.
    """

    rank: data.Rank
    deadline: float
    item: typing.Any = None
    number: int = 0
    state: data.EntryState = data.EntryState.WAITING


@dataclasses.dataclass(slots=True)
class RankQueue:
    """Queue of one replica.

    Attributes:
        limit: Largest number of waiting entries of each rank.
        shares: Guaranteed share of the served entries, by rank.
        waiting: Waiting entries by rank, in order of arrival.
        served: Entries served so far; the virtual time of the stride
            scheduler.
        arrivals: Entries added so far.
        pass_values: Virtual time at which each rank is due for its next
            guaranteed turn.
    """

    limit: int
    shares: abc.Mapping[data.Rank, float]
    waiting: dict[data.Rank, collections.OrderedDict[int, QueueEntry]]
    served: int = 0
    arrivals: int = 0
    pass_values: dict[data.Rank, float] = dataclasses.field(
        default_factory=dict
    )


Select = abc.Callable[[RankQueue], data.Rank | None]


def make_queue(shares: abc.Mapping[data.Rank, float], limit: int) -> RankQueue:
    """Builds an empty queue.

    Args:
        shares: Guaranteed share of each rank; the shares sum to 1.
        limit: Largest number of waiting entries of each rank.
    """
    waiting = {rank: collections.OrderedDict() for rank in RANK_ORDER}
    return RankQueue(limit, shares, waiting)


def enqueue(
    queue: RankQueue, entry: QueueEntry, now: float
) -> list[QueueEntry] | None:
    """Adds an entry at the end of its rank.

    Args:
        queue: Queue of the replica.
        entry: New entry.
        now: Monotonic clock, seconds.

    Returns:
        Expired entries that were removed to make room, or None if the
        rank is full and the entry was not added.
    """
    waiting = queue.waiting[entry.rank]
    expired = []
    if len(waiting) >= queue.limit:
        expired = [item for item in waiting.values() if item.deadline <= now]
        for item in expired:
            _remove(queue, item, data.EntryState.EXPIRED)
        if not expired:
            return None
    if not waiting:
        # A rank that was idle waits at least one stride. Otherwise the
        # turns that it left unused would displace urgent work in a burst.
        queue.pass_values[entry.rank] = max(
            queue.pass_values.get(entry.rank, 0.0),
            queue.served + _stride(queue, entry.rank),
        )
    queue.arrivals += 1
    entry.number = queue.arrivals
    waiting[entry.number] = entry
    return expired


def cancel_all(queue: RankQueue) -> list[QueueEntry]:
    """Removes all waiting entries and returns them, in rank order."""
    entries = [
        entry for rank in RANK_ORDER for entry in queue.waiting[rank].values()
    ]
    for entry in entries:
        cancel(queue, entry)
    return entries


def cancel(queue: RankQueue, entry: QueueEntry) -> bool:
    """Removes an entry in constant time.

    Returns:
        Whether the entry was still waiting.
    """
    if entry.state is not data.EntryState.WAITING:
        return False
    _remove(queue, entry, data.EntryState.CANCELLED)
    return True


def dequeue(
    queue: RankQueue, now: float, select: Select
) -> tuple[QueueEntry | None, list[QueueEntry]]:
    """Removes the entry that runs next.

    Args:
        queue: Queue of the replica.
        now: Monotonic clock, seconds.
        select: Policy that selects the rank to serve.

    Returns:
        The entry, or None if none is waiting, and the expired entries that
        were removed.
    """
    expired = []
    while (rank := select(queue)) is not None:
        entry = next(iter(queue.waiting[rank].values()))
        if entry.deadline > now:
            _remove(queue, entry, data.EntryState.TAKEN)
            _advance_pass(queue, rank)
            return entry, expired
        _remove(queue, entry, data.EntryState.EXPIRED)
        expired.append(entry)
    return None, expired


def select_shares(queue: RankQueue) -> data.Rank | None:
    """Selects the most overdue lower rank, or else the highest rank."""
    overdue = [
        rank
        for rank in RANK_ORDER[1:]
        if queue.waiting[rank] and queue.pass_values[rank] <= queue.served + 1
    ]
    if overdue:
        return min(overdue, key=queue.pass_values.__getitem__)
    return select_strict(queue)


def select_strict(queue: RankQueue) -> data.Rank | None:
    """Selects the highest rank with waiting entries."""
    for rank in RANK_ORDER:
        if queue.waiting[rank]:
            return rank
    return None


def select_weighted(queue: RankQueue) -> data.Rank | None:
    """Selects by share alone, without precedence for urgent work."""
    ranks = [rank for rank in RANK_ORDER if queue.waiting[rank]]
    return min(ranks, key=queue.pass_values.__getitem__, default=None)


def select_first_come(queue: RankQueue) -> data.Rank | None:
    """Selects the rank of the entry that arrived first."""
    ranks = [rank for rank in RANK_ORDER if queue.waiting[rank]]
    return min(
        ranks, key=lambda rank: next(iter(queue.waiting[rank])), default=None
    )


def estimate_delay(
    queue: RankQueue,
    rank: data.Rank,
    service_time: float,
    slots: int,
    free_slots: int = 0,
) -> float:
    """Estimates how long a new entry would wait.

    Args:
        queue: Queue of the replica.
        rank: Rank of the new entry.
        service_time: Mean seconds of one entry at the replica.
        slots: Entries that run at the same time.
        free_slots: Slots that are idle now.

    Returns:
        Seconds until the entry runs if no higher rank receives further
        work: the shorter of the delays by its guaranteed share and by its
        turn in rank order.
    """
    lengths = {item: len(queue.waiting[item]) for item in RANK_ORDER}
    if free_slots > sum(lengths.values()):
        return 0.0
    position = RANK_ORDER.index(rank)
    turns_in_order = (
        sum(lengths[item] for item in RANK_ORDER[: position + 1]) + 1
    )
    reserved_share = sum(
        queue.shares[item]
        for item in RANK_ORDER[position + 1 :]
        if lengths[item]
    )
    turns = turns_in_order / max(
        1.0 - reserved_share, queue.shares[rank], 0.01
    )
    if position and queue.shares[rank] > 0:
        turns = min(turns, (lengths[rank] + 1) / queue.shares[rank])
    return turns * service_time / max(1, slots)


def count_waiting(queue: RankQueue) -> int:
    """Returns the number of waiting entries of all ranks."""
    return sum(len(waiting) for waiting in queue.waiting.values())


def _remove(queue, entry, state):
    del queue.waiting[entry.rank][entry.number]
    entry.state = state


def _advance_pass(queue, rank):
    """Advances the pass value of a rank by one stride.

    Turns beyond the share do not count against the rank: it may have been
    the only one with work for hours and must still get its share when
    other ranks have work again.
    """
    queue.served += 1
    stride = _stride(queue, rank)
    queue.pass_values[rank] = (
        min(queue.pass_values[rank], queue.served) + stride
    )


def _stride(queue, rank):
    share = queue.shares[rank]
    return 1.0 / share if share > 0 else math.inf
