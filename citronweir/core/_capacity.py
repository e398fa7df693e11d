"""Learns how many requests a replica runs at once without slowing down.

Load: replicas of one service differ in speed, and some slow down long before
their slots are full, for good or while a neighbour is busy. The number of
slots then promises more than a replica takes well, and requests wait there
although another replica would answer sooner.

The limit follows an additive increase and a multiplicative decrease. It is
compared with times of the same replica at rest, so that a replica which is
always slow isn't taken for one that is overloaded.
"""

import dataclasses
import math

# Weight of the newest sample. Single requests take up to ten times the usual
# time, so one of them must not decide.
SMOOTHING = 0.1
# Samples are cut to this multiple of the time at rest, for the same reason.
MAX_RATIO = 4.0
# Multiples of the time at rest, near the limit: above the first, the limit is
# lowered, below the second it is raised.
SLOW_RATIO = 1.5
GOOD_RATIO = 1.2
DECREASE = 0.8
INCREASE = 0.1  # requests, for each good sample near the limit
MIN_SAMPLES = 8  # near the limit, before it is lowered
# A limit that is no longer reached rises by itself, so that the replica is
# tried again after its neighbour has left.
RECOVERY = 0.02  # requests a second
MIN_LIMIT = 1.0


@dataclasses.dataclass(slots=True)
class Capacity:
    """What one node has learned of one replica.

    Attributes:
        limit: Requests that it runs at once without slowing down; its slots
            until it was seen to slow down before.
        rest: Moving average of its relative times at rest, None before one.
        loaded: The same near the limit, as a multiple of ``rest``.
        samples: Number of samples near the limit since it was lowered.
        updated_at: Monotonic second of the last sample.
    """

    limit: float = math.inf
    rest: float | None = None
    loaded: float = 1.0
    samples: int = 0
    updated_at: float = 0.0


def find_limit(capacity: Capacity, slots: int, now: float) -> float:
    """Returns how many requests a replica takes well.

    Args:
        capacity: What is known of the replica.
        slots: Number of requests that it runs at once.
        now: Monotonic clock, seconds.
    """
    if math.isinf(capacity.limit):
        return float(slots)
    recovered = RECOVERY * max(0.0, now - capacity.updated_at)
    return min(float(slots), capacity.limit + recovered)


def record_time(
    capacity: Capacity,
    slots: int,
    concurrency: int,
    relative: float,
    now: float,
) -> None:
    """Records the time of an answer.

    Args:
        capacity: What is known of the replica.
        slots: Number of requests that it runs at once.
        concurrency: Requests at the replica when this one was sent, counting
            it and those of other nodes, as far as known.
        relative: Time of the answer as a multiple of the usual time of such
            requests, so that cheap and expensive ones can be compared.
        now: Monotonic clock, seconds.
    """
    limit = find_limit(capacity, slots, now)
    if concurrency <= max(1.0, limit / 2):
        known = relative if capacity.rest is None else capacity.rest
        sample = min(relative, MAX_RATIO * known)
        capacity.rest = known + SMOOTHING * (sample - known)
        return
    # Beyond its slots a replica queues, which says nothing about the rest.
    if capacity.rest is None or not limit - 0.5 <= concurrency <= slots:
        return
    ratio = min(MAX_RATIO, relative / max(1e-9, capacity.rest))
    capacity.loaded += SMOOTHING * (ratio - capacity.loaded)
    capacity.samples += 1
    capacity.updated_at = now
    if capacity.loaded > SLOW_RATIO and capacity.samples >= MIN_SAMPLES:
        capacity.limit = max(MIN_LIMIT, limit * DECREASE)
        capacity.loaded, capacity.samples = 1.0, 0
    elif capacity.loaded < GOOD_RATIO and limit < slots:
        capacity.limit = min(float(slots), limit + INCREASE)
    elif limit < slots:
        capacity.limit = limit
