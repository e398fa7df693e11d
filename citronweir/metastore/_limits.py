"""Bounds the calls of a node to its share of the platform's rates.

The key-value service has one rate for the whole fleet, so each node
limits itself; nothing else keeps many nodes from overloading it.
"""

from collections import abc
import dataclasses
import enum

# Covers the calls of two orders, whatever the share of a node is.
MIN_BURST = 4.0  # calls
BURST_TIME = 1.0  # seconds at the full rate
MAX_WAIT = 0.25  # seconds


class CallKind(enum.Enum):
    """Calls to the key-value service."""

    RANGE = 'range'
    TXN = 'txn'
    GRANT = 'grant'
    WATCH = 'watch'


Record = abc.Callable[[CallKind, str], None]


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket; a waiting call leaves it in debt.

    Attributes:
        rate: Tokens that are added each second.
        tokens: Tokens at the moment of the last update.
        updated: Monotonic second of the last update.
    """

    rate: float
    tokens: float
    updated: float


@dataclasses.dataclass(slots=True)
class CallLimits:
    """Buckets of one node for the key-value service.

    Attributes:
        record: Takes the kind and result of each call.
    """

    reads: Bucket
    writes: Bucket
    record: Record


def make_limits(
    reads: float,
    writes: float,
    now: float,
    record: Record = lambda kind, result: None,
) -> CallLimits:
    """Builds full buckets.

    Args:
        reads: Reads a second.
        writes: Writes a second.
        now: Monotonic clock, seconds.
        record: Takes the kind of each call and its result: ``ok``,
            ``conflict`` or the fault.
    """
    return CallLimits(
        Bucket(reads, _burst(reads), now),
        Bucket(writes, _burst(writes), now),
        record,
    )


def take(bucket: Bucket, now: float, cost: float = 1.0) -> float | None:
    """Takes tokens for a call.

    Args:
        bucket: Bucket to take from.
        now: Monotonic clock, seconds.
        cost: Calls that are paid for.

    Returns:
        Seconds to wait before the call, or None if the call must not be
        made; then nothing is taken.
    """
    gained = max(0.0, now - bucket.updated) * bucket.rate
    tokens = min(_burst(bucket.rate), bucket.tokens + gained)
    bucket.tokens, bucket.updated = tokens, now
    left = tokens - cost
    if left < -MAX_WAIT * bucket.rate:
        return None
    bucket.tokens = left
    return -left / bucket.rate if left < 0 else 0.0


def _burst(rate):
    return max(MIN_BURST, rate * BURST_TIME)
