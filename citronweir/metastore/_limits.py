"""Limits the calls of a node to its share of the platform's rate limits.

The rate limit of the key-value service is for the whole fleet. Each node
limits its own calls, since nothing else keeps a large fleet from
overloading the service.
"""

from collections import abc
import dataclasses
import enum

# Enough for the calls of two orders, however small the node's share is.
MIN_BURST = 4.0  # calls
BURST_TIME = 1.0  # seconds of the full rate that a full bucket holds
MAX_WAIT = 0.25  # seconds


class CallKind(enum.Enum):
    """Kinds of calls to the key-value service."""

    RANGE = 'range'
    TXN = 'txn'
    GRANT = 'grant'
    WATCH = 'watch'


RecordCall = abc.Callable[[CallKind, str], None]


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket; its balance is negative while calls wait for tokens.

    Attributes:
        rate: Tokens added per second.
        tokens: Balance at the last update.
        updated: Monotonic time of the last update, seconds.
    """

    rate: float
    tokens: float
    updated: float


@dataclasses.dataclass(slots=True)
class CallLimits:
    """Token buckets of one node for the key-value service.

    Attributes:
        record: Called with the kind and the result of each call.
    """

    reads: TokenBucket
    writes: TokenBucket
    record: RecordCall


def make_limits(
    reads: float,
    writes: float,
    now: float,
    record: RecordCall = lambda kind, result: None,
) -> CallLimits:
    """Builds limits with full buckets.

    Args:
        reads: Reads per second.
        writes: Writes per second.
        now: Monotonic clock, seconds.
        record: Called with the kind of each call and its result: ``ok``,
            ``conflict`` or the fault.
    """
    return CallLimits(
        TokenBucket(reads, _capacity(reads), now),
        TokenBucket(writes, _capacity(writes), now),
        record,
    )


def take_tokens(
    bucket: TokenBucket, now: float, cost: float = 1.0
) -> float | None:
    """Takes tokens for a call.

    Args:
        bucket: TokenBucket to take from.
        now: Monotonic clock, seconds.
        cost: Tokens to take.

    Returns:
        Seconds to wait before the call, or None if the wait would exceed
        ``MAX_WAIT``. In that case no token is taken and the call must not
        be made.
    """
    refilled = max(0.0, now - bucket.updated) * bucket.rate
    tokens = min(_capacity(bucket.rate), bucket.tokens + refilled)
    bucket.tokens, bucket.updated = tokens, now
    remaining = tokens - cost
    if remaining < -MAX_WAIT * bucket.rate:
        return None
    bucket.tokens = remaining
    return -remaining / bucket.rate if remaining < 0 else 0.0


def _capacity(rate):
    return max(MIN_BURST, rate * BURST_TIME)
