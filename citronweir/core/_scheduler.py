"""Queues the work of a replica by rank and selects what runs next.

Strict priority starves the lower ranks during an urgent flood, and plain
weighted shares make urgent work wait behind the rest. The owner's queue
therefore gives each lower rank with waiting work its stated share, by
stride accounting, and everything else goes in rank order.
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
        deadline: Monotonic second after which it must not run.
        number: Order of arrival over all ranks.
        item: What the owner attaches to it.
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
        shares: Share of the served entries that each rank keeps.
        waiting: Waiting entries by rank, in order of arrival.
        served: Entries taken so far; the virtual time of the strides.
        due: Virtual time at which each rank's share falls due.
    """

    limit: int
    shares: abc.Mapping[data.Rank, float]
    waiting: dict[data.Rank, collections.OrderedDict[int, QueueEntry]]
    served: int = 0
    arrived: int = 0
    due: dict[data.Rank, float] = dataclasses.field(default_factory=dict)


Select = abc.Callable[[RankQueue], data.Rank | None]


def make_queue(shares: abc.Mapping[data.Rank, float], limit: int) -> RankQueue:
    """Builds an empty queue.

    Args:
        shares: Share of each rank; they sum to 1.
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
        Entries that expired to make room, or None if the rank is full
        and the entry was not added.
    """
    waiting = queue.waiting[entry.rank]
    expired = []
    if len(waiting) >= queue.limit:
        expired = [item for item in waiting.values() if item.deadline <= now]
        for item in expired:
            _leave(queue, item, data.EntryState.EXPIRED)
        if not expired:
            return None
    if not waiting:
        # A rank that was idle starts one stride ahead: saved-up turns of
        # an idle rank would otherwise displace urgent work in a burst.
        queue.due[entry.rank] = max(
            queue.due.get(entry.rank, 0.0),
            queue.served + _stride(queue, entry.rank),
        )
    queue.arrived += 1
    entry.number = queue.arrived
    waiting[entry.number] = entry
    return expired


def cancel(queue: RankQueue, entry: QueueEntry) -> bool:
    """Removes an entry in constant time.

    Returns:
        Whether the entry was still waiting.
    """
    if entry.state is not data.EntryState.WAITING:
        return False
    _leave(queue, entry, data.EntryState.CANCELLED)
    return True


def dequeue(
    queue: RankQueue, now: float, select: Select
) -> tuple[QueueEntry | None, list[QueueEntry]]:
    """Takes the entry that runs next.

    Args:
        queue: Queue of the replica.
        now: Monotonic clock, seconds.
        select: Which rank is next.

    Returns:
        The entry, or None if none waits, and the entries that expired.
    """
    expired = []
    while (rank := select(queue)) is not None:
        entry = next(iter(queue.waiting[rank].values()))
        if entry.deadline > now:
            _leave(queue, entry, data.EntryState.TAKEN)
            _charge(queue, rank)
            return entry, expired
        _leave(queue, entry, data.EntryState.EXPIRED)
        expired.append(entry)
    return None, expired


def select_shares(queue: RankQueue) -> data.Rank | None:
    """Selects the lower rank whose share is most overdue, else by rank."""
    overdue = [
        rank
        for rank in RANK_ORDER[1:]
        if queue.waiting[rank] and queue.due[rank] <= queue.served + 1
    ]
    if overdue:
        return min(overdue, key=queue.due.__getitem__)
    return select_strict(queue)


def select_strict(queue: RankQueue) -> data.Rank | None:
    """Selects the highest rank that waits."""
    for rank in RANK_ORDER:
        if queue.waiting[rank]:
            return rank
    return None


def select_weighted(queue: RankQueue) -> data.Rank | None:
    """Selects by weight alone, so that urgent work has no precedence."""
    ranks = [rank for rank in RANK_ORDER if queue.waiting[rank]]
    return min(ranks, key=queue.due.__getitem__, default=None)


def select_first_come(queue: RankQueue) -> data.Rank | None:
    """Selects the rank of the entry that has waited longest."""
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
        Seconds, if no higher rank receives further work: the sooner of
        its guaranteed share and its turn in rank order.
    """
    lengths = {item: len(queue.waiting[item]) for item in RANK_ORDER}
    if free_slots > sum(lengths.values()):
        return 0.0
    place = RANK_ORDER.index(rank)
    ahead = sum(lengths[item] for item in RANK_ORDER[: place + 1]) + 1
    taken = sum(
        queue.shares[item] for item in RANK_ORDER[place + 1 :] if lengths[item]
    )
    turns = ahead / max(1.0 - taken, queue.shares[rank], 0.01)
    if place and queue.shares[rank] > 0:
        turns = min(turns, (lengths[rank] + 1) / queue.shares[rank])
    return turns * service_time / max(1, slots)


def count_waiting(queue: RankQueue) -> int:
    """Returns the number of waiting entries of all ranks."""
    return sum(len(waiting) for waiting in queue.waiting.values())


def _leave(queue, entry, state):
    del queue.waiting[entry.rank][entry.number]
    entry.state = state


def _charge(queue, rank):
    """Moves the rank's due time on by one stride.

    Turns beyond the share are not held against the rank: it may have run
    alone for hours, and must still get its share when others return.
    """
    queue.served += 1
    stride = _stride(queue, rank)
    queue.due[rank] = min(queue.due[rank], queue.served) + stride


def _stride(queue, rank):
    share = queue.shares[rank]
    return 1.0 / share if share > 0 else math.inf
