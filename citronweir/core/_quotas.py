"""Limits the requests of a tenant over all nodes together.

Load: one tenant sends several times its usual through any of the nodes, while
the others stay far below their quotas. One node, the keeper, has the tenant's
token bucket. Nodes report what they admit, and ask first only while the
keeper says that the tenant is near its limit.
"""

import dataclasses
import math

from citronweir.core import _data as data

# A tenant counts as limited while its bucket holds fewer tokens than nodes may
# spend before they learn of it: some requests, or this time's worth of them.
# Asking first costs a round trip, so a tenant far below its quota must not.
LIMITED_TOKENS = 3.0
LIMITED_TIME = 0.5  # seconds
# Time for which nodes ask first after a notice. It outlives a lost notice and
# is repeated while the tenant stays limited.
LIMITED_PERIOD = 2.0  # seconds
# Notices about a tenant are repeated after this time.
NOTICE_INTERVAL = 0.5  # seconds
# Shares of the tolerance beyond a quota. A keeper grants one, so that nothing
# below the quota is refused because a report is late or counted twice. A new
# keeper begins with the other one, since the former may have granted all.
# The rest covers what nodes admit before they learn that a tenant is limited.
GRANTED_TOLERANCE_SHARE = 0.5
TAKEOVER_TOLERANCE_SHARE = 0.25
# Share of the rate at a keeper that isn't the first in order, which the first
# may still grant to other nodes. It is multiplied by the share of the data
# centres that use this keeper, so that a lost region adds 10%.
SECOND_KEEPER_SHARE = 0.3
MAX_WAIT = 10.0  # seconds that a refused request is told to wait
# A debt beyond this many seconds of the rate is forgotten, so that an error in
# a report can't lock a tenant out.
MAX_DEBT_TIME = 2.0  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaDecision:
    """Decision of a node about the tokens of a tenant.

    Attributes:
        is_keeper: Whether the node keeps the quota; otherwise it has not
            counted the tokens.
        is_granted: Whether the request may run.
        wait: Seconds until a token is free.
        limited_for: Seconds for which nodes ask before each request.
    """

    is_keeper: bool = True
    is_granted: bool = False
    wait: float = 0.0
    limited_for: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far requests that run may exceed the quota of a tenant.

    Attributes:
        window: Seconds in which the requests are counted.
        excess: Share of the quota of a window that may run beyond it.
        slack: Requests that may run beyond that.
    """

    window: float = 1.0
    excess: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens of one tenant at its keeper.

    Attributes:
        level: Free tokens; negative after admissions beyond the quota.
        filled_at: Monotonic second of the last refill.
        notified_at: Monotonic second of the last notice to all nodes.
        next_free_at: Monotonic second at which the token is free that the
            last refused request was told to wait for.
    """

    level: float
    filled_at: float
    next_free_at: float = -math.inf
    notified_at: float = -math.inf


def make_bucket(
    tenant: data.Tenant, bounds: QuotaBounds, share: float, now: float
) -> TokenBucket:
    """Creates the bucket of a tenant at a node that begins to keep it.

    Args:
        tenant: The tenant.
        bounds: How far the quota may be exceeded.
        share: Share of the quota that this node grants.
        now: Monotonic clock, seconds.
    """
    tolerance = _find_tolerance(tenant, bounds)
    return TokenBucket(share * TAKEOVER_TOLERANCE_SHARE * tolerance, now)


def take_tokens(
    bucket: TokenBucket,
    tenant: data.Tenant,
    bounds: QuotaBounds,
    count: float,
    is_asking: bool,
    share: float,
    now: float,
) -> QuotaDecision:
    """Takes tokens from the bucket of a tenant.

    Args:
        bucket: Bucket of the tenant.
        tenant: The tenant with its limits in force.
        bounds: How far the quota may be exceeded.
        count: Number of tokens; negative to give some back.
        is_asking: Whether the request has not run yet. It is then refused if
            there is no token. Other tokens are taken in any case.
        share: Share of the quota that this node grants.
        now: Monotonic clock, seconds.
    """
    rate = tenant.rate * share
    tolerance = _find_tolerance(tenant, bounds)
    capacity = max(
        1.0, share * (tenant.burst + GRANTED_TOLERANCE_SHARE * tolerance)
    )
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    bucket.level = min(capacity, bucket.level + elapsed * rate)
    is_granted = not is_asking or bucket.level >= count
    if is_granted:
        level = min(capacity, bucket.level - count)
        bucket.level = max(level, -MAX_DEBT_TIME * tenant.rate - capacity)
    reserve = max(LIMITED_TOKENS, LIMITED_TIME * rate)
    is_limited = bucket.level < min(reserve, capacity)
    return QuotaDecision(
        is_granted=is_granted,
        wait=0.0 if is_granted else _promise_wait(bucket, rate, count, now),
        limited_for=LIMITED_PERIOD if is_limited else 0.0,
    )


def is_notice_due(
    bucket: TokenBucket, decision: QuotaDecision, now: float
) -> bool:
    """Returns whether all nodes are to be told that a tenant is limited."""
    if not decision.limited_for or now - bucket.notified_at < NOTICE_INTERVAL:
        return False
    bucket.notified_at = now
    return True


def _find_tolerance(tenant, bounds):
    quota = tenant.rate * bounds.window + tenant.burst
    return bounds.excess * quota + bounds.slack


def _promise_wait(bucket, rate, count, now):
    """Returns the wait for the next token that nobody was told to wait for.

    Callers that were refused together would otherwise return together.
    """
    if rate <= 0.0:
        return MAX_WAIT
    free_at = max(now - bucket.level / rate, bucket.next_free_at)
    bucket.next_free_at = min(free_at + count / rate, now + MAX_WAIT)
    return bucket.next_free_at - now
