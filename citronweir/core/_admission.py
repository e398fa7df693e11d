"""Admission control for searches at the node that receives them.

A search that is expected to miss its deadline is refused before any
sub-request is sent. Each rank has its own limit on concurrent searches,
so that a flood of one rank cannot use up the capacity of another. The
limits adapt by additive increase and multiplicative decrease.
"""

import dataclasses

from citronweir.core import _data as data
from citronweir.core import _revisions as revisions

# Interval in seconds at which one search of a rank is admitted although
# its estimate exceeds the deadline. Estimates are learned from replies, so
# a wrong one that refuses every search would never be corrected.
RECHECK_INTERVAL = 0.1
# Initial concurrency limit of each rank. Until the first shortage it grows
# by about a third with each round of answers.
INITIAL_CONCURRENCY = 16.0
MIN_CONCURRENCY = 2.0
# A shortage multiplies the limit by this factor, at most once in the
# interval, since searches that were admitted together also run short of
# capacity together.
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL = 0.5  # seconds


@dataclasses.dataclass(slots=True)
class Admission:
    """Concurrent searches of a node and their limits, by rank.

    Attributes:
        max_concurrency: Upper bound of the concurrency limit of each rank.
        running: Searches that are running now.
        concurrency_limit: Adaptive limit on running searches.
        next_decrease_at: Monotonic second from which a shortage lowers
            the limit again.
        has_had_shortage: Whether a shortage has ended the fast initial
            growth of the limit.
        recheck_at: Monotonic second from which one search is admitted
            although its estimate exceeds the deadline.
    """

    max_concurrency: int
    running: dict[data.Rank, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, 0)
    )
    concurrency_limit: dict[data.Rank, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, INITIAL_CONCURRENCY)
    )
    next_decrease_at: dict[data.Rank, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, 0.0)
    )
    has_had_shortage: dict[data.Rank, bool] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, False)
    )
    recheck_at: dict[data.Rank, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, 0.0)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimated duration of a search and the time that it has.

    Attributes:
        wait: Queue delay of the slowest piece, seconds.
        service: Service time of the slowest piece, seconds.
        time_left: Seconds until the answer is due.
    """

    wait: float
    service: float
    time_left: float


def check_contract(
    contract: data.Contract | None, wall_now: float
) -> data.NotRunReason | None:
    """Checks that a contract is in force.

    Args:
        contract: Contract of the request, or None if it names no known
            contract.
        wall_now: Wall clock, seconds since the epoch.

    Returns:
        Why the request is refused, or None if the contract is in force.
    """
    if contract is None:
        return data.NotRunReason.NO_CONTRACT
    if revisions.is_in_force(contract, wall_now):
        return None
    return data.NotRunReason.NOT_IN_FORCE


def admit(
    admission: Admission, rank: data.Rank, estimate: Estimate, now: float
) -> data.NotRunReason | None:
    """Admits a search and counts it as running, or refuses it.

    Args:
        admission: Admission state of the node.
        rank: Rank of the search's contract.
        estimate: Estimated duration of the search.
        now: Monotonic clock, seconds.

    Returns:
        Why the search is refused, or None if it is admitted. Each admitted
        search must be passed to ``release`` when it ends.
    """
    if estimate.time_left <= 0:
        return data.NotRunReason.DEADLINE_TOO_SHORT
    if admission.running[rank] >= min(
        admission.max_concurrency, admission.concurrency_limit[rank]
    ):
        return data.NotRunReason.OVERLOADED
    if estimate.wait + estimate.service > estimate.time_left:
        if now < admission.recheck_at[rank]:
            if estimate.service > estimate.time_left:
                return data.NotRunReason.DEADLINE_TOO_SHORT
            return data.NotRunReason.OVERLOADED
        admission.recheck_at[rank] = now + RECHECK_INTERVAL
    admission.running[rank] += 1
    return None


def release(
    admission: Admission, rank: data.Rank, lacked_capacity: bool, now: float
) -> None:
    """Counts an admitted search as ended and adapts the limit of its rank.

    If more searches run at once than the upstreams can serve, they end as
    partial answers. The limit therefore rises with searches that were
    served, slowly after the first shortage, and falls quickly on each
    shortage of capacity. It rises only while at least half of it is in
    use.

    Args:
        admission: Admission state of the node.
        rank: Rank of the search.
        lacked_capacity: Whether the upstreams lacked capacity for it.
        now: Monotonic clock, seconds.
    """
    running, limit = (
        admission.running[rank],
        admission.concurrency_limit[rank],
    )
    admission.running[rank] = running - 1
    if not lacked_capacity:
        if 2 * running >= limit:
            step = 1.0 / limit if admission.has_had_shortage[rank] else 1.0
            limit = min(
                limit + step, max(admission.max_concurrency, MIN_CONCURRENCY)
            )
    elif now >= admission.next_decrease_at[rank]:
        admission.next_decrease_at[rank] = now + DECREASE_INTERVAL
        admission.has_had_shortage[rank] = True
        limit = max(MIN_CONCURRENCY, limit * DECREASE_FACTOR)
    admission.concurrency_limit[rank] = limit
