"""Passive health checks, outlier ejection and replica selection.

Status endpoints can be stale or misleading, so the latency, errors and
load shedding that this node observes take precedence. The number of
ejections is limited, so that a group whose replicas are all slow or
failing keeps enough of them.
"""

from collections import abc
import dataclasses
import random
import statistics

from citronweir.core import _data as data

FAILURES_BEFORE_EJECTION = 5  # consecutive
# A replica is slow if its latency exceeds this multiple of the median of
# its group.
SLOW_FACTOR = 5.0
# Latency samples that a replica needs before it is compared with its group.
MIN_LATENCY_SAMPLES = 10
# The ejection time doubles with each successive ejection.
BASE_EJECTION_TIME = 5.0  # seconds
MAX_EJECTION_TIME = 60.0  # seconds
# At most one replica in this many of a group is ejected.
REPLICAS_PER_EJECTION = 3
WARMUP_TIME = 10.0  # seconds
# Selection weight of a replica at the start of its warm-up.
WARMUP_START_WEIGHT = 0.1
# Weight of the newest sample in the moving average of the latency.
LATENCY_SMOOTHING = 0.1
# Seconds for which a reported queue delay or a rejection by load shedding
# affects the expected wait.
REPORT_LIFETIME = 1.0
# Minimum seconds between two comparisons of a replica with its group; a
# comparison takes longer than processing an answer.
COMPARISON_INTERVAL = 0.25
# Seconds added to the expected wait after the replica rejected work.
SHED_PENALTY = 0.05
# For each rank, the ranks that are served no later than it, itself included.
_RANKS_AHEAD = {
    rank: tuple(data.Rank)[: position + 1]
    for position, rank in enumerate(data.Rank)
}


@dataclasses.dataclass(slots=True)
class Health:
    """Observations of one replica by this node.

    Attributes:
        latency: Moving average of the latency, seconds.
        samples: Latency samples since the last ejection.
        in_flight: Sub-requests of this node without an outcome, by rank.
        failures: Consecutive failures.
        warm_since: Monotonic second of the first answer, or None.
        ejected_until: Monotonic second at which the ejection ends.
        ejections: Successive ejections; each doubles the ejection time.
        is_recovering: Whether the replica has been ejected and has not
            answered often enough since.
        queue_delays: Queue delays that the replica's owner reported, by
            rank, seconds.
        queue_delays_at: Monotonic second of that report.
        shed_at: Monotonic second of the last rejection of work.
        compared_at: Monotonic second of the last comparison with the
            group.
    """

    latency: float = 0.0
    samples: int = 0
    in_flight: dict[data.Rank, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, 0)
    )
    failures: int = 0
    warm_since: float | None = None
    ejected_until: float = 0.0
    ejections: int = 0
    is_recovering: bool = False
    queue_delays: dict[data.Rank, float] = dataclasses.field(
        default_factory=dict
    )
    queue_delays_at: float = 0.0
    shed_at: float = -REPORT_LIFETIME
    compared_at: float = -COMPARISON_INTERVAL


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGroup:
    """Group of replicas that one replica is compared with.

    Attributes:
        size: Number of usable replicas of the same index, including the
            compared one.
        ejected: Replicas of the group that are currently ejected.
        range_holders: For each range of the compared replica, all usable
            replicas that hold it.
        median: Median latency in seconds, 0 if fewer than two replicas
            have enough samples.
    """

    size: int
    ejected: frozenset[data.ReplicaId]
    range_holders: tuple[frozenset[data.ReplicaId], ...]
    median: float


HealthMap = abc.Mapping[data.ReplicaId, Health]


def choose_replica(
    states: HealthMap,
    candidates: abc.Iterable[data.ReplicaId],
    rank: data.Rank,
    now: float,
    rng: random.Random,
) -> data.ReplicaId | None:
    """Chooses a replica by power of two choices on the expected wait.

    Ejected candidates are used only if there are no others. A candidate
    that is warming up is considered with a probability that grows over
    time.

    Args:
        states: Observations of each replica.
        candidates: Replicas to choose from.
        rank: Rank of the sub-request.
        now: Monotonic clock, seconds.
        rng: Random number generator.

    Returns:
        A candidate, or None if no candidate is known.
    """
    known = [item for item in candidates if item in states]
    usable = [item for item in known if not is_ejected(states[item], now)]
    usable = usable or known
    warm = [
        item
        for item in usable
        if rng.random() < warmup_weight(states[item], now)
    ]
    usable = warm or usable
    if not usable:
        return None
    pair = rng.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda item: expected_wait(states[item], rank, now))


def expected_wait(state: Health, rank: data.Rank, now: float) -> float:
    """Estimates the seconds from sending a sub-request to its answer.

    Sub-requests of lower ranks are ignored, since the owner queues them
    behind the new one.
    """
    ahead = sum(state.in_flight[item] for item in _RANKS_AHEAD[rank])
    wait = state.latency * (1 + ahead)
    if now - state.shed_at < REPORT_LIFETIME:
        wait += SHED_PENALTY
    return wait + queue_delay(state, rank, now)


def queue_delay(state: Health, rank: data.Rank, now: float) -> float:
    """Returns the last queue delay reported by the owner, in seconds.

    A report older than REPORT_LIFETIME counts as no delay.
    """
    if now - state.queue_delays_at < REPORT_LIFETIME:
        return state.queue_delays.get(rank, 0.0)
    return 0.0


def warmup_weight(state: Health, now: float) -> float:
    """Returns the probability with which a replica is considered."""
    if state.is_recovering or state.warm_since is None:
        return WARMUP_START_WEIGHT
    progress = min(1.0, (now - state.warm_since) / WARMUP_TIME)
    return WARMUP_START_WEIGHT + (1.0 - WARMUP_START_WEIGHT) * progress


def is_ejected(state: Health, now: float) -> bool:
    """Returns whether a replica is currently ejected."""
    return now < state.ejected_until


def apply_reported_delays(
    state: Health,
    queue_delays: abc.Iterable[tuple[data.Rank, float]],
    now: float,
) -> None:
    """Stores the queue delays that the replica's owner reported."""
    queue_delays = dict(queue_delays)
    if queue_delays:
        state.queue_delays, state.queue_delays_at = queue_delays, now


def apply_reported_latency(state: Health, reported: float) -> None:
    """Replaces the latency by the one that the owner reported.

    The owner sees the replies to all nodes, so it detects a slow replica
    faster by a factor of the number of nodes.
    """
    if reported > 0 and state.samples:
        state.latency = reported


def observe_outcome(
    state: Health, outcome: data.SubOutcome, latency: float, now: float
) -> bool:
    """Updates the observations with the outcome of a sub-request.

    Returns:
        Whether the replica should be compared with its group now.
    """
    match outcome:
        case data.SubAnswer(docs_searched=0) if outcome.docs:
            # A cold replica answers at once without searching any
            # document. That is no success, and its latency means nothing.
            return False
        case data.SubAnswer() | data.SubDone():
            _add_latency(state, latency)
            _record_success(state, now)
            return state.samples >= MIN_LATENCY_SAMPLES and _is_comparison_due(
                state, now
            )
        case data.SubNotRun(reason=data.NotRunReason.CANCELLED):
            # A hedge answered first or the deadline passed. The elapsed
            # time is a lower bound of the latency. Without this sample,
            # a replica that always loses to its hedges would never be
            # detected as slow.
            if latency <= state.latency or state.samples == 0:
                return False
            _add_latency(state, latency)
            return state.samples >= MIN_LATENCY_SAMPLES and _is_comparison_due(
                state, now
            )
        case data.SubNotRun(reason=data.NotRunReason.UNREACHABLE):
            state.failures += 1
        case data.SubUnknown() | data.SubFailed():
            if outcome == data.SubUnknown(data.UnknownReason.TIMEOUT):
                _add_latency(state, latency)
            state.failures += 1
        case data.SubNotRun(
            reason=data.NotRunReason.SHED
            | data.NotRunReason.QUEUE_FULL
            | data.NotRunReason.DRAINING
        ):
            state.shed_at = now
            return False
        case _:
            return False
    return (
        state.is_recovering
        or state.failures == FAILURES_BEFORE_EJECTION
        or _is_comparison_due(state, now)
    )


def is_outlier(state: Health, median: float) -> bool:
    """Returns whether a replica fails or is much slower than its group."""
    if state.failures >= (
        1 if state.is_recovering else FAILURES_BEFORE_EJECTION
    ):
        return True
    compared = median > 0 and state.samples >= MIN_LATENCY_SAMPLES
    return compared and state.latency > SLOW_FACTOR * median


def try_eject(
    state: Health, group: PeerGroup, replica_id: data.ReplicaId, now: float
) -> bool:
    """Ejects an outlier unless that exceeds the limits.

    No replica is ejected if a range would have no other usable replica
    or if more than a third of the group would be ejected.

    Args:
        state: Observations of the replica.
        group: Group of the replica.
        replica_id: The replica.
        now: Monotonic clock, seconds.

    Returns:
        Whether the replica was ejected.
    """
    ejected = group.ejected | {replica_id}
    if len(ejected) * REPLICAS_PER_EJECTION > group.size:
        return False
    if any(holders <= ejected for holders in group.range_holders):
        return False
    state.ejected_until = now + min(
        BASE_EJECTION_TIME * 2**state.ejections, MAX_EJECTION_TIME
    )
    state.ejections += 1
    state.is_recovering = True
    state.failures = 0
    state.latency, state.samples, state.warm_since = 0.0, 0, None
    return True


def median_latency(states: abc.Iterable[Health]) -> float:
    """Returns the lower median of the known latencies.

    Returns:
        Seconds, or 0 if fewer than two replicas have enough samples.
    """
    latencies = [
        state.latency
        for state in states
        if state.samples >= MIN_LATENCY_SAMPLES
    ]
    return statistics.median_low(latencies) if len(latencies) > 1 else 0.0


def _is_comparison_due(state, now):
    """Returns whether a comparison is due, and records it if so."""
    if now - state.compared_at < COMPARISON_INTERVAL:
        return False
    state.compared_at = now
    return True


def _add_latency(state, latency):
    if state.samples == 0:
        state.latency = latency
    else:
        state.latency += LATENCY_SMOOTHING * (latency - state.latency)
    state.samples += 1


def _record_success(state, now):
    state.failures = 0
    if state.is_recovering and state.samples >= MIN_LATENCY_SAMPLES:
        state.is_recovering = False
    if state.warm_since is None:
        state.warm_since = now
    elif (
        not state.is_recovering and now - state.warm_since >= MAX_EJECTION_TIME
    ):
        state.ejections = 0
