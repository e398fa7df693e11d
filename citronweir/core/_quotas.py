"""Limits the requests of a tenant over all nodes together.

Load: one tenant sends several times its usual through any of the nodes, while
the others stay far below their quotas. One node, the keeper, has the tenant's
token bucket. Nodes report what they admit, and ask first only while the
keeper says that the tenant is near its limit.
"""

import dataclasses
import math

from citronweir.core import _data as data

# A tenant counts as limited while its bucket holds less than this share of
# the burst, or has less than this time's worth of tokens.
LIMITED_SHARE = 0.5
LIMITED_TIME = 0.5  # seconds
# Time for which nodes ask first after a notice. It outlives a lost notice and
# is repeated while the tenant stays limited.
LIMITED_PERIOD = 2.0  # seconds
# Notices about a tenant are repeated after this time.
NOTICE_INTERVAL = 0.5  # seconds
# Share of the slack beyond the quotas that a new keeper grants, since the
# former one may have granted the whole burst.
TAKEOVER_SLACK_SHARE = 0.5
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


def make_bucket(tenant: data.Tenant, slack: float, now: float) -> TokenBucket:
    """Creates the bucket of a tenant at a node that begins to keep it.

    Args:
        tenant: The tenant.
        slack: Requests of a tenant that may run beyond its quota.
        now: Monotonic clock, seconds.
    """
    return TokenBucket(min(tenant.burst, TAKEOVER_SLACK_SHARE * slack), now)


def take_tokens(
    bucket: TokenBucket,
    tenant: data.Tenant,
    count: float,
    is_asking: bool,
    share: float,
    now: float,
) -> QuotaDecision:
    """Takes tokens from the bucket of a tenant.

    Args:
        bucket: Bucket of the tenant.
        tenant: The tenant with its limits in force.
        count: Number of tokens; negative to give some back.
        is_asking: Whether the request has not run yet. It is then refused if
            there is no token. Other tokens are taken in any case.
        share: Share of the rate that this node grants.
        now: Monotonic clock, seconds.
    """
    rate = tenant.rate * share
    capacity = max(1.0, tenant.burst)
    elapsed = max(0.0, now - bucket.filled_at)
    bucket.filled_at = now
    bucket.level = min(capacity, bucket.level + elapsed * rate)
    is_granted = not is_asking or bucket.level >= count
    if is_granted:
        level = min(capacity, bucket.level - count)
        bucket.level = max(level, -MAX_DEBT_TIME * tenant.rate - capacity)
    reserve = max(LIMITED_SHARE * capacity, LIMITED_TIME * rate)
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


def _promise_wait(bucket, rate, count, now):
    """Returns the wait for the next token that nobody was told to wait for.

    Callers that were refused together would otherwise return together.
    """
    if rate <= 0.0:
        return MAX_WAIT
    free_at = max(now - bucket.level / rate, bucket.next_free_at)
    bucket.next_free_at = min(free_at + count / rate, now + MAX_WAIT)
    return bucket.next_free_at - now
