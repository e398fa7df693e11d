"""Judges replicas by what this node observes and chooses among them.

Status endpoints can be stale or misleading, so latency, errors and
shedding seen by the node take precedence. Ejection is bounded: it must
never turn a slow or failing group into a missing one.
"""

from collections import abc
import dataclasses
import random
import statistics

from citronweir.core import _data as data

FAILURES_TO_EJECT = 5
# Times the median latency of the group.
SLOW_FACTOR = 5.0
# Answers before the latency of a replica is compared.
SAMPLES_TO_COMPARE = 10
EJECT_TIME = 5.0  # seconds
EJECT_TIME_MAX = 60.0  # seconds
EJECT_SHARE = 3  # at most one in so many replicas of a group
WARM_TIME = 10.0  # seconds
WARM_START = 0.1  # weight of a cold replica
SMOOTHING = 0.1  # weight of the newest latency
# Seconds after which a reported queue delay no longer counts.
DELAY_TIME = 1.0
# Seconds between two comparisons of a replica with its group, since a
# comparison costs more than an answer.
COMPARE_INTERVAL = 0.25
# Seconds added to the expected wait after the replica refused work.
SHED_PENALTY = 0.05
# The ranks that go first, and the rank itself.
_AHEAD = {
    rank: tuple(data.Rank)[: place + 1] for place, rank in enumerate(data.Rank)
}


@dataclasses.dataclass(slots=True)
class Health:
    """What one node observed of one replica.

    Attributes:
        latency: Smoothed seconds of an answer.
        running: Sub-requests of this node that are on their way, by
            rank.
        failures: Consecutive failures.
        warm_since: Monotonic second of the first answer, or None.
        ejected_until: Monotonic second at which an ejection ends.
        ejections: Ejections in succession; each doubles the next time.
        on_trial: Whether it returned from an ejection and has not
            answered since.
        delays: Queue delay that its owner reported, by rank.
    """

    latency: float = 0.0
    samples: int = 0
    running: dict[data.Rank, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Rank, 0)
    )
    failures: int = 0
    warm_since: float | None = None
    ejected_until: float = 0.0
    ejections: int = 0
    on_trial: bool = False
    delays: dict[data.Rank, float] = dataclasses.field(default_factory=dict)
    delays_at: float = 0.0
    shed_at: float = -DELAY_TIME
    compared_at: float = -COMPARE_INTERVAL


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Replicas to compare one with.

    Attributes:
        size: Usable replicas of the same index, itself included.
        ejected: Those of them that are ejected now.
        sharers: For each range that it holds, who holds it as well.
        median: Median of their latencies, 0 if too few answered.
    """

    size: int
    ejected: frozenset[data.ReplicaId]
    sharers: tuple[frozenset[data.ReplicaId], ...]
    median: float


HealthMap = abc.Mapping[data.ReplicaId, Health]


def choose_replica(
    states: HealthMap,
    candidates: abc.Iterable[data.ReplicaId],
    rank: data.Rank,
    now: float,
    rng: random.Random,
) -> data.ReplicaId | None:
    """Chooses by power of two choices on the expected wait.

    Ejected candidates are used only if there is no other. A candidate
    that warms up takes part in a share of the choices that grows.

    Args:
        states: What was observed of each replica.
        candidates: Replicas to choose from.
        rank: Rank of the sub-request.
        now: Monotonic clock, seconds.
        rng: Source of the choice.

    Returns:
        A candidate, or None if there is none.
    """
    known = [item for item in candidates if item in states]
    usable = [item for item in known if not is_ejected(states[item], now)]
    usable = usable or known
    warm = [
        item
        for item in usable
        if rng.random() < warm_weight(states[item], now)
    ]
    usable = warm or usable
    if not usable:
        return None
    pair = rng.sample(usable, min(2, len(usable)))
    return min(pair, key=lambda item: expected_wait(states[item], rank, now))


def expected_wait(state: Health, rank: data.Rank, now: float) -> float:
    """Estimates seconds from sending a sub-request to its answer.

    What runs at lower ranks does not count: a flood of it waits at the
    owner behind the new sub-request.
    """
    ahead = sum(state.running[item] for item in _AHEAD[rank])
    wait = state.latency * (1 + ahead)
    if now - state.shed_at < DELAY_TIME:
        wait += SHED_PENALTY
    return wait + queue_delay(state, rank, now)


def queue_delay(state: Health, rank: data.Rank, now: float) -> float:
    """Returns the queue delay that the owner last reported, seconds."""
    if now - state.delays_at < DELAY_TIME:
        return state.delays.get(rank, 0.0)
    return 0.0


def warm_weight(state: Health, now: float) -> float:
    """Returns the share of choices in which a replica takes part."""
    if state.on_trial or state.warm_since is None:
        return WARM_START
    warmth = min(1.0, (now - state.warm_since) / WARM_TIME)
    return WARM_START + (1.0 - WARM_START) * warmth


def is_ejected(state: Health, now: float) -> bool:
    """Returns whether a replica is ejected now."""
    return now < state.ejected_until


def apply_reported_delays(
    state: Health,
    delays: abc.Iterable[tuple[data.Rank, float]],
    now: float,
) -> None:
    """Notes the queue delays that the replica's owner reported."""
    delays = dict(delays)
    if delays:
        state.delays, state.delays_at = delays, now


def apply_reported_latency(state: Health, service: float) -> None:
    """Adopts the latency that the owner reported.

    The owner sees the replies to all nodes and learns of a slow replica
    as many times faster as there are nodes.
    """
    if service > 0 and state.samples:
        state.latency = service


def record(
    state: Health, outcome: data.SubOutcome, latency: float, now: float
) -> bool:
    """Notes how a sub-request went.

    Returns:
        Whether the replica should be compared with its group.
    """
    match outcome:
        case data.SubAnswer(docs_searched=0) if outcome.docs:
            # A cold replica answers at once with nothing; that is
            # neither a success nor a useful latency.
            return False
        case data.SubAnswer() | data.SubDone():
            _note_latency(state, latency)
            _note_success(state, now)
            return state.samples >= SAMPLES_TO_COMPARE and _is_due(state, now)
        case data.SubNotRun(reason=data.NotRunReason.CANCELLED):
            # A hedge or the deadline came first. The time so far bounds
            # the latency from below; without it a slow replica that
            # always loses would never be seen as slow.
            if latency <= state.latency or state.samples == 0:
                return False
            _note_latency(state, latency)
            return state.samples >= SAMPLES_TO_COMPARE and _is_due(state, now)
        case data.SubNotRun(reason=data.NotRunReason.UNREACHABLE):
            state.failures += 1
        case data.SubUnknown() | data.SubFailed():
            if outcome == data.SubUnknown(data.UnknownReason.TIMEOUT):
                _note_latency(state, latency)
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
        state.on_trial
        or state.failures == FAILURES_TO_EJECT
        or _is_due(state, now)
    )


def is_outlier(state: Health, median: float) -> bool:
    """Returns whether a replica fails, or is slow beside its group."""
    if state.failures >= (1 if state.on_trial else FAILURES_TO_EJECT):
        return True
    compared = median > 0 and state.samples >= SAMPLES_TO_COMPARE
    return compared and state.latency > SLOW_FACTOR * median


def eject(
    state: Health, group: Group, replica_id: data.ReplicaId, now: float
) -> bool:
    """Ejects an outlier within the bounds.

    Args:
        state: What was observed of the replica.
        group: Replicas to compare it with.
        replica_id: The replica.
        now: Monotonic clock, seconds.

    Returns:
        Whether it was ejected; never if a range would be left without a
        replica or more than one third of the group would be ejected.
    """
    ejected = group.ejected | {replica_id}
    if len(ejected) * EJECT_SHARE > group.size:
        return False
    if any(sharers <= ejected for sharers in group.sharers):
        return False
    state.ejected_until = now + min(
        EJECT_TIME * 2**state.ejections, EJECT_TIME_MAX
    )
    state.ejections += 1
    state.on_trial = True
    state.failures = 0
    state.latency, state.samples, state.warm_since = 0.0, 0, None
    return True


def find_median(states: abc.Iterable[Health]) -> float:
    """Returns the median latency of those that answered, or 0."""
    latencies = [
        state.latency
        for state in states
        if state.samples >= SAMPLES_TO_COMPARE
    ]
    return statistics.median_low(latencies) if len(latencies) > 1 else 0.0


def _is_due(state, now):
    if now - state.compared_at < COMPARE_INTERVAL:
        return False
    state.compared_at = now
    return True


def _note_latency(state, latency):
    if state.samples == 0:
        state.latency = latency
    else:
        state.latency += SMOOTHING * (latency - state.latency)
    state.samples += 1


def _note_success(state, now):
    state.failures = 0
    if state.on_trial and state.samples >= SAMPLES_TO_COMPARE:
        state.on_trial = False
    if state.warm_since is None:
        state.warm_since = now
    elif not state.on_trial and now - state.warm_since >= EJECT_TIME_MAX:
        state.ejections = 0
