"""Chooses among the replicas of a service by the expected time to answer.

A replica that pauses or hangs is recognised by a request that is out for
longer than its answers explain; later requests avoid it meanwhile.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data

# Seconds to an answer that are assumed before there is one.
START_SAME_DC = 0.008
START_SAME_REGION = 0.010
START_OTHER_REGION = 0.030
SMOOTHING = 0.25  # weight of the newest answer
# A longer answer counts as so many times the estimate: a pause of 120 ms
# must not make a near replica look slower than one in another region,
# while three slow answers in a row do.
CLIP_FACTOR = 3.0
# A replica that is slow or failed is tried again after this time, beside
# a request that does not depend on it.
TRIAL_TIME = 1.0  # seconds
# Failures in succession after which only a trial shows a recovery.
TRIAL_FAILURES = 2
# Times the start estimate from which a replica counts as slow.
SLOW_FACTOR = 2.0
# A request that is out for this many times the expected seconds shows
# that its replica is stalled.
STALL_FACTOR = 3.0
STALL_MIN = 0.025  # seconds
# Seconds without new requests after a failure; doubles with each failure
# in succession.
AVOID_FIRST = 0.25
AVOID_LIMIT = 4.0
AVOID_PENALTY = 10.0  # seconds added to the estimate of such a replica
# A reported queue says little after this time.
LOAD_TIME = 0.5  # seconds
WARMUP_FACTOR = 1.6


@dataclasses.dataclass(slots=True)
class ReplicaLoad:
    """What one node observed of one replica.

    Attributes:
        start: Seconds to an answer that were assumed at first.
        latency: Smoothed seconds to an answer.
        tried_at: Monotonic second of the last request.
        out: Requests that are out, with the monotonic second of each.
        failures: Failures in succession.
        avoid_until: Monotonic second until which others are preferred.
        warm_at: Monotonic second at which its cold start ends.
        queued: Requests that wait at the replica, as it reported.
        queued_at: Monotonic second of that report.
    """

    start: float
    latency: float
    tried_at: float
    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    failures: int = 0
    avoid_until: float = 0.0
    warm_at: float = 0.0
    queued: int = 0
    queued_at: float = -LOAD_TIME


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Where a node stands: its data centre and the region of each."""

    dc: data.DataCentre
    regions: abc.Mapping[data.DataCentre, str]


def make_load(
    locality: Locality, replica: data.ListedReplica, now: float
) -> ReplicaLoad:
    """Builds the state of a replica that has not answered yet."""
    start = estimate_initial_latency(locality, replica.dc)
    return ReplicaLoad(start, start, now, warm_at=now + replica.warmup)


def estimate_initial_latency(locality: Locality, dc: data.DataCentre) -> float:
    """Returns the seconds to an answer from a data centre, unobserved."""
    if dc == locality.dc:
        return START_SAME_DC
    here, there = locality.regions.get(locality.dc), locality.regions.get(dc)
    if here is not None and here == there:
        return START_SAME_REGION
    return START_OTHER_REGION


def expected_time(load: ReplicaLoad, slots: int, now: float) -> float:
    """Estimates the seconds to the answer of a new request.

    Args:
        load: What was observed of the replica.
        slots: Requests that it runs at the same time.
        now: Monotonic clock, seconds.
    """
    latency = load.latency
    waiting = len(load.in_flight)
    if now - load.queued_at < LOAD_TIME:
        waiting += load.queued
    expected = latency * (1.0 + max(0, waiting + 1 - slots) / max(1, slots))
    if now < load.warm_at:
        expected *= WARMUP_FACTOR
    if is_stalled(load, now):
        expected += now - next(iter(load.in_flight.values()))
    if is_avoided(load, now):
        expected += AVOID_PENALTY
    return expected


def is_avoided(load: ReplicaLoad, now: float) -> bool:
    """Returns whether a replica failed too lately to be preferred."""
    return now < load.avoid_until or load.failures >= TRIAL_FAILURES


def is_stalled(load: ReplicaLoad, now: float) -> bool:
    """Returns whether a request is out for longer than it explains."""
    if not load.in_flight:
        return False
    return is_late(load, now - next(iter(load.in_flight.values())))


def is_late(load: ReplicaLoad, seconds: float) -> bool:
    """Returns whether an answer takes longer than the ones before it."""
    return seconds > max(STALL_MIN, STALL_FACTOR * load.latency)


def choose_listed_replica(
    loads: abc.MutableMapping[data.ReplicaId, ReplicaLoad],
    locality: Locality,
    replicas: abc.Iterable[data.ListedReplica],
    tried: abc.Container[data.ReplicaId],
    now: float,
    jitter: abc.Callable[[], float],
) -> tuple[data.ListedReplica, float] | None:
    """Chooses the replica with the shortest expected time to answer.

    Args:
        loads: What was observed; grows by replicas that are new.
        vantage: Where this node stands.
        replicas: Replicas to choose from.
        tried: Replicas to leave out.
        now: Monotonic clock, seconds.
        jitter: Draws a factor about 1 for each candidate, which spreads
            the requests of many nodes over replicas that look alike.

    Returns:
        The replica and its expected seconds, or None without one.
    """
    best, best_score, best_time = None, 0.0, 0.0
    for replica in replicas:
        if replica.replica_id in tried:
            continue
        load = loads.get(replica.replica_id)
        if load is None:
            load = make_load(locality, replica, now)
            loads[replica.replica_id] = load
        seconds = expected_time(load, replica.slots, now)
        score = seconds * jitter()
        if best is None or score < best_score:
            best, best_score, best_time = replica, score, seconds
    return None if best is None else (best, best_time)


def choose_trial(
    loads: abc.Mapping[data.ReplicaId, ReplicaLoad],
    replicas: abc.Iterable[data.ListedReplica],
    tried: abc.Container[data.ReplicaId],
    now: float,
) -> data.ListedReplica | None:
    """Finds a replica that was slow or failed and is due for a trial.

    Without trials a replica that is avoided would never show that it has
    recovered.

    Args:
        loads: What was observed.
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
    """Tells whether one that was slow or failed should be tried again."""
    is_slow = load.latency > SLOW_FACTOR * load.start
    is_due = now - load.tried_at >= TRIAL_TIME and now >= load.avoid_until
    return (
        is_due
        and not load.in_flight
        and (is_slow or load.failures >= TRIAL_FAILURES)
    )


def record_request_sent(load: ReplicaLoad, number: int, now: float) -> None:
    """Notes that a request went out; numbers grow."""
    load.in_flight[number] = now
    load.tried_at = now


def record_request_answered(
    load: ReplicaLoad, number: int, now: float
) -> None:
    """Notes the answer to a request."""
    sent_at = load.in_flight.pop(number, None)
    if sent_at is None:
        return
    seconds = min(now - sent_at, CLIP_FACTOR * load.latency)
    if load.failures or seconds * SLOW_FACTOR < load.latency:
        load.latency = max(seconds, load.start)  # it has recovered
    else:
        load.latency += SMOOTHING * (seconds - load.latency)
    load.failures = 0
    load.avoid_until = 0.0


def record_request_failed(load: ReplicaLoad, number: int, now: float) -> None:
    """Notes that a request ended without a usable answer."""
    load.in_flight.pop(number, None)
    pause = min(AVOID_LIMIT, AVOID_FIRST * 2.0**load.failures)
    load.failures += 1
    load.avoid_until = now + pause


def record_request_abandoned(load: ReplicaLoad, number: int) -> None:
    """Notes that nobody waits for a request any more."""
    load.in_flight.pop(number, None)


def record_reported_queue(load: ReplicaLoad, queued: int, now: float) -> None:
    """Notes the queue that a replica reported with an answer."""
    load.queued, load.queued_at = queued, now
