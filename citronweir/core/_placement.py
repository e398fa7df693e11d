"""Chooses the replica of a service with the shortest expected latency.

A replica counts as stalled while its oldest request in flight takes much
longer than its recent latency; new requests avoid it meanwhile.
"""

from collections import abc
import dataclasses

from citronweir.core import _capacity as capacities
from citronweir.core import _data as data

# Latency, in seconds, assumed for a replica before its first answer.
INITIAL_LATENCY_SAME_DC = 0.008
INITIAL_LATENCY_SAME_REGION = 0.010
INITIAL_LATENCY_OTHER_REGION = 0.030
# Weight of the newest sample in the moving average of the latency.
SMOOTHING_FACTOR = 0.25
# Latency samples are capped at this multiple of the average. A single pause
# of 120 ms must not make a near replica look slower than one in another
# region; three slow answers in a row must.
CLIP_FACTOR = 3.0
# A slow or failed replica gets a trial request after this time without
# requests. The trial duplicates a request that another replica answers.
TRIAL_INTERVAL = 1.0  # seconds
# Consecutive failures after which only a trial can show a recovery.
MIN_FAILURES_FOR_TRIAL = 2
# Failures are forgotten after this time without requests. Services that only
# have non-idempotent requests have no trials.
FORGET_TIME = 10.0  # seconds
# A replica counts as slow above this multiple of its initial latency.
SLOW_FACTOR = 2.0
# A replica counts as stalled when its oldest request in flight takes longer
# than this multiple of its average latency.
STALL_FACTOR = 3.0
MIN_STALL_TIME = 0.025  # seconds
# Time for which a replica is avoided after a failure; doubles with each
# consecutive failure.
INITIAL_BACKOFF = 0.25  # seconds
MAX_BACKOFF = 4.0  # seconds
# Added to the expected time of a replica that is avoided.
AVOID_PENALTY = 10.0  # seconds
# A queue length that a replica reported is ignored after this time.
QUEUE_REPORT_TTL = 0.5  # seconds
# Multiplies the expected time of a replica that is warming up.
WARMUP_FACTOR = 1.6


@dataclasses.dataclass(slots=True)
class ReplicaLoad:
    """Load and latency of one replica as observed by one node.

    Attributes:
        initial_latency: Latency assumed before the first answer, seconds.
        latency: Moving average of the latency, seconds.
        last_sent_at: Monotonic time of the last request.
        in_flight: Monotonic send time of each request in flight, by
            number, oldest first.
        failures: Consecutive failures.
        backoff_until: Monotonic time until which the replica is avoided.
        warmup_until: Monotonic time at which its warm-up ends.
        queued: Queue length that the replica last reported.
        queued_at: Monotonic time of that report.
        running: Number of requests that it last reported to run.
        capacity: How many requests it takes well at once.
    """

    initial_latency: float
    latency: float
    last_sent_at: float
    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    failures: int = 0
    backoff_until: float = 0.0
    warmup_until: float = 0.0
    queued: int = 0
    queued_at: float = -QUEUE_REPORT_TTL
    running: int = 0
    capacity: capacities.Capacity = dataclasses.field(
        default_factory=capacities.Capacity
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Data centre of this node, and the region of each data centre."""

    dc: data.DataCentre
    regions: abc.Mapping[data.DataCentre, str]


def make_load(
    locality: Locality, replica: data.ListedReplica, now: float
) -> ReplicaLoad:
    """Builds the load of a replica that has not answered yet."""
    initial_latency = estimate_initial_latency(locality, replica.dc)
    return ReplicaLoad(
        initial_latency,
        initial_latency,
        now,
        warmup_until=now + replica.warmup,
    )


def estimate_initial_latency(locality: Locality, dc: data.DataCentre) -> float:
    """Returns the latency assumed for a data centre before any answer."""
    if dc == locality.dc:
        return INITIAL_LATENCY_SAME_DC
    own, other = locality.regions.get(locality.dc), locality.regions.get(dc)
    if own is not None and own == other:
        return INITIAL_LATENCY_SAME_REGION
    return INITIAL_LATENCY_OTHER_REGION


def expected_time(load: ReplicaLoad, slots: int, now: float) -> float:
    """Estimates the time in seconds until a new request is answered.

    Args:
        load: Load of the replica.
        slots: Number of requests that the replica runs concurrently.
        now: Monotonic clock, seconds.
    """
    limit = capacities.find_limit(load.capacity, slots, now)
    latency = load.latency
    queue_length = len(load.in_flight)
    if now - load.queued_at < QUEUE_REPORT_TTL:
        queue_length += load.queued
    expected = latency * (
        1.0 + max(0.0, queue_length + 1 - limit) / max(1.0, limit)
    )
    if now < load.warmup_until:
        expected *= WARMUP_FACTOR
    if is_stalled(load, now):
        expected += now - next(iter(load.in_flight.values()))
    if is_avoided(load, now):
        expected += AVOID_PENALTY
    return expected


def is_avoided(load: ReplicaLoad, now: float) -> bool:
    """Returns whether other replicas are preferred after failures."""
    if now < load.backoff_until:
        return True
    is_forgotten = now - load.last_sent_at >= FORGET_TIME
    return load.failures >= MIN_FAILURES_FOR_TRIAL and not is_forgotten


def is_stalled(load: ReplicaLoad, now: float) -> bool:
    """Returns whether the oldest request in flight is overdue."""
    if not load.in_flight:
        return False
    return is_late(load, now - next(iter(load.in_flight.values())))


def is_late(load: ReplicaLoad, duration: float) -> bool:
    """Returns whether a duration far exceeds the average latency."""
    return duration > max(MIN_STALL_TIME, STALL_FACTOR * load.latency)


def choose_listed_replica(
    loads: abc.MutableMapping[data.ReplicaId, ReplicaLoad],
    locality: Locality,
    replicas: abc.Iterable[data.ListedReplica],
    tried: abc.Container[data.ReplicaId],
    now: float,
    jitter: abc.Callable[[], float],
) -> tuple[data.ListedReplica, float] | None:
    """Chooses the replica with the shortest expected time.

    Args:
        loads: Loads by replica; an entry is added for each new replica.
        locality: Location of this node.
        replicas: Replicas to choose from.
        tried: Replicas to leave out.
        now: Monotonic clock, seconds.
        jitter: Returns a random factor near 1 for each candidate, which
            spreads the requests of many nodes over similar replicas.

    Returns:
        The replica and its expected time in seconds, or None if there is
        no candidate.
    """
    best, best_score, best_time = None, 0.0, 0.0
    for replica in replicas:
        if replica.replica_id in tried:
            continue
        load = loads.get(replica.replica_id)
        if load is None:
            load = make_load(locality, replica, now)
            loads[replica.replica_id] = load
        expected = expected_time(load, replica.slots, now)
        score = expected * jitter()
        if best is None or score < best_score:
            best, best_score, best_time = replica, score, expected
    return None if best is None else (best, best_time)


def choose_trial(
    loads: abc.Mapping[data.ReplicaId, ReplicaLoad],
    replicas: abc.Iterable[data.ListedReplica],
    tried: abc.Container[data.ReplicaId],
    now: float,
) -> data.ListedReplica | None:
    """Finds a slow or failed replica that is due for a trial request.

    Without trials, a replica that is avoided could never show that it has
    recovered.

    Args:
        loads: Loads by replica.
        replicas: Replicas to choose from.
        tried: Replicas to leave out.
        now: Monotonic clock, seconds.
    """
    for replica in replicas:
        load = loads.get(replica.replica_id)
        if load is None or replica.replica_id in tried:
            continue
        if is_due_for_trial(load, now):
            return replica
    return None


def is_due_for_trial(load: ReplicaLoad, now: float) -> bool:
    """Returns whether a slow or failed replica is due for a trial."""
    is_slow = load.latency > SLOW_FACTOR * load.initial_latency
    is_due = (
        now - load.last_sent_at >= TRIAL_INTERVAL and now >= load.backoff_until
    )
    return (
        is_due
        and not load.in_flight
        and (is_slow or load.failures >= MIN_FAILURES_FOR_TRIAL)
    )


def record_request_sent(load: ReplicaLoad, number: int, now: float) -> None:
    """Records that a request was sent; numbers must ascend."""
    load.in_flight[number] = now
    load.last_sent_at = now


def record_request_answered(
    load: ReplicaLoad, number: int, now: float
) -> None:
    """Records the answer to a request and updates the latency."""
    sent_at = load.in_flight.pop(number, None)
    if sent_at is None:
        return
    duration = min(now - sent_at, CLIP_FACTOR * load.latency)
    if load.failures or duration * SLOW_FACTOR < load.latency:
        load.latency = max(duration, load.initial_latency)  # recovered
    else:
        load.latency += SMOOTHING_FACTOR * (duration - load.latency)
    load.failures = 0
    load.backoff_until = 0.0


def record_request_failed(load: ReplicaLoad, number: int, now: float) -> None:
    """Records that a request ended without a usable answer."""
    load.in_flight.pop(number, None)
    backoff = min(MAX_BACKOFF, INITIAL_BACKOFF * 2.0**load.failures)
    load.failures += 1
    load.backoff_until = now + backoff


def record_request_abandoned(load: ReplicaLoad, number: int) -> None:
    """Records that a request was abandoned; its duration is ignored."""
    load.in_flight.pop(number, None)


def record_reported_load(
    load: ReplicaLoad, reported: data.ReportedLoad, now: float
) -> None:
    """Records the queue length that a replica reported with an answer."""
    load.queued, load.queued_at = reported.waiting, now
    load.running = reported.running


def find_concurrency(load: ReplicaLoad, now: float) -> int:
    """Returns the requests at a replica, of all nodes as far as known."""
    own = len(load.in_flight)
    if now - load.queued_at >= QUEUE_REPORT_TTL:
        return own
    return max(own, load.running + load.queued)


def record_capacity(
    load: ReplicaLoad,
    slots: int,
    concurrency: int,
    relative: float,
    now: float,
) -> None:
    """Records the time of an answer for the limit of a replica.

    See ``capacities.record_time`` for the arguments.
    """
    capacities.record_time(load.capacity, slots, concurrency, relative, now)
