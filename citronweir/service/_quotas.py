"""Applies the quotas of tenants: admits, reports and asks the keeper.

The keeper of a tenant is the first reachable node in an order that all nodes
compute alike. Reports are sent in batches and wait for nothing; a request
waits for the keeper only while the tenant is near its limit.
"""

import asyncio
from collections import abc
import dataclasses
import random

from citronweir import core

FLUSH_INTERVAL = 0.05  # seconds between two reports of a tenant
ASK_TIMEOUT = 0.15  # seconds; a keeper in another region answers in 20 ms
# A node that didn't answer as a keeper is not asked again for this time.
SKIP_TIME = 1.0  # seconds
MAX_KEEPERS = 3  # nodes that are tried one after the other
# Buckets that were not used for this time are full again.
BUCKET_LIFETIME = 60.0  # seconds
# A data centre counts as dependent on a second keeper for this time after it
# was last heard.
SENDER_TIME = 2.0  # seconds
# Admitted requests of a tenant that no keeper has counted yet. Beyond them a
# node asks first, so that a node which is cut off spends little unseen.
MAX_UNCOUNTED = 3.0  # requests
RETRY_JITTER = 0.25  # largest share by which returns are delayed


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaDependencies:
    """Dependencies of the quotas.

    Attributes:
        now: Returns the monotonic time, seconds.
        rng: Source of jitter.
        own: This node.
        find_tenant: Finds a tenant of the configuration in force, with the
            limits that hold now.
        list_keepers: Lists the nodes that may keep the quota of a tenant,
            the preferred one first.
        count_dcs: Returns the number of data centres with nodes.
        count_nodes: Returns the number of nodes.
        is_confirmed: Returns whether the configuration was confirmed lately.
        spend: Takes tokens at another node; None if it didn't answer.
        notify: Tells all nodes that a tenant is near its limit, given the
            seconds for which this holds.
        bounds: How far the quotas may be exceeded.
    """

    now: abc.Callable[[], float]
    rng: random.Random
    own: core.ListedNode
    find_tenant: abc.Callable[[core.TenantName], core.Tenant | None]
    list_keepers: abc.Callable[
        [core.TenantName], abc.Sequence[core.ListedNode]
    ]
    count_dcs: abc.Callable[[], int]
    count_nodes: abc.Callable[[], int]
    is_confirmed: abc.Callable[[], bool]
    spend: abc.Callable[
        [core.ListedNode, core.TenantName, float, bool, float],
        abc.Awaitable[core.QuotaDecision | None],
    ]
    notify: abc.Callable[[core.TenantName, float], None]
    bounds: core.QuotaBounds


@dataclasses.dataclass(slots=True)
class Quotas:
    """State of the quotas at one node.

    Attributes:
        buckets: Buckets of the tenants that this node keeps.
        own_shares: Buckets that are used while no keeper answers.
        limited_until: Monotonic second until which requests of a tenant ask
            first.
        unreported: Tokens that were used and not reported yet.
        uncounted: Tokens that were used and that no keeper has counted yet.
        skipped_until: Monotonic second until which a node is not asked.
        senders: Monotonic second at which each data centre last reported to
            this node.
        flush: Sends the reports.
    """

    buckets: dict[core.TenantName, core.TokenBucket] = dataclasses.field(
        default_factory=dict
    )
    own_shares: dict[core.TenantName, core.TokenBucket] = dataclasses.field(
        default_factory=dict
    )
    limited_until: dict[core.TenantName, float] = dataclasses.field(
        default_factory=dict
    )
    unreported: dict[core.TenantName, float] = dataclasses.field(
        default_factory=dict
    )
    uncounted: dict[core.TenantName, float] = dataclasses.field(
        default_factory=dict
    )
    skipped_until: dict[core.NodeId, float] = dataclasses.field(
        default_factory=dict
    )
    senders: dict[core.DataCentre, float] = dataclasses.field(
        default_factory=dict
    )
    flush: asyncio.Task | None = None


async def admit_tenant(
    deps: QuotaDependencies, quotas: Quotas, name: core.TenantName
) -> core.Declined | None:
    """Takes a token for a request of a tenant.

    Args:
        deps: Dependencies of the quotas.
        quotas: State of the quotas.
        name: The tenant.

    Returns:
        None if the request may run.
    """
    tenant = deps.find_tenant(name)
    if tenant is None or not tenant.rate:
        return None
    is_limited = deps.now() < quotas.limited_until.get(name, 0.0)
    if not is_limited and quotas.uncounted.get(name, 0.0) < MAX_UNCOUNTED:
        report_tokens(deps, quotas, name, 1.0)
        return None
    decision = await _spend_anywhere(deps, quotas, tenant, 1.0, True)
    if decision is None:
        decision = _take_own_share(deps, quotas, tenant)
    if decision.is_granted:
        return None
    wait = decision.wait * (1.0 + RETRY_JITTER * deps.rng.random())
    return core.Declined(core.NotRunReason.OVER_QUOTA, wait)


def report_tokens(
    deps: QuotaDependencies,
    quotas: Quotas,
    name: core.TenantName,
    count: float,
) -> None:
    """Reports tokens that were used, or that are given back if negative."""
    tenant = deps.find_tenant(name)
    if tenant is None or not tenant.rate:
        return
    for counts in (quotas.unreported, quotas.uncounted):
        counts[name] = counts.get(name, 0.0) + count
    if quotas.flush is None:
        quotas.flush = asyncio.create_task(_flush(deps, quotas))


def spend_tokens(
    deps: QuotaDependencies,
    quotas: Quotas,
    name: core.TenantName,
    count: float,
    is_asking: bool,
    dc: core.DataCentre,
) -> core.QuotaDecision:
    """Takes tokens from a bucket that this node keeps.

    Args:
        deps: Dependencies of the quotas.
        quotas: State of the quotas.
        name: The tenant.
        count: Number of tokens; negative to give some back.
        is_asking: Whether the request waits for the decision.
        dc: Data centre of the node that asks.
    """
    tenant, now = deps.find_tenant(name), deps.now()
    keepers = [node.node_id for node in deps.list_keepers(name)]
    if (
        tenant is None
        or deps.own.node_id not in keepers
        or not deps.is_confirmed()
    ):
        return core.QuotaDecision(is_keeper=False)
    quotas.senders[dc] = now
    share = 1.0
    if keepers[0] != deps.own.node_id:
        heard = sum(now - at < SENDER_TIME for at in quotas.senders.values())
        share = core.SECOND_KEEPER_SHARE * heard / max(1, deps.count_dcs())
    bucket = quotas.buckets.get(name)
    if bucket is None:
        bucket = core.make_bucket(tenant, deps.bounds, share, now)
        quotas.buckets[name] = bucket
    decision = core.take_tokens(
        bucket, tenant, deps.bounds, count, is_asking, share, now
    )
    if core.is_notice_due(bucket, decision, now):
        receive_limited(deps, quotas, name, decision.limited_for)
        deps.notify(name, decision.limited_for)
    return decision


def receive_limited(
    deps: QuotaDependencies,
    quotas: Quotas,
    name: core.TenantName,
    seconds: float,
) -> None:
    """Lets requests of a tenant ask first for some time."""
    until = deps.now() + min(seconds, core.LIMITED_PERIOD)
    quotas.limited_until[name] = max(
        until, quotas.limited_until.get(name, 0.0)
    )


def expire_quotas(quotas: Quotas, now: float) -> None:
    """Drops buckets and notices that no longer matter."""
    for buckets in (quotas.buckets, quotas.own_shares):
        for name in [
            name
            for name, bucket in buckets.items()
            if now - bucket.filled_at > BUCKET_LIFETIME
        ]:
            del buckets[name]
    for expiries in (quotas.limited_until, quotas.skipped_until):
        for key in [key for key, at in expiries.items() if at <= now]:
            del expiries[key]


async def _flush(deps, quotas):
    await asyncio.sleep(FLUSH_INTERVAL)
    quotas.flush = None
    unreported, quotas.unreported = quotas.unreported, {}
    reports = [
        _report(deps, quotas, name, count)
        for name, count in unreported.items()
        if count
    ]
    await asyncio.gather(*reports)


async def _report(deps, quotas, name, count):
    tenant, decision = deps.find_tenant(name), None
    if tenant is not None:
        decision = await _spend_anywhere(deps, quotas, tenant, count, False)
    left = quotas.uncounted.pop(name, 0.0) - count
    if left:
        quotas.uncounted[name] = left
    if decision is None:
        # Nobody counts these requests, so the next ones use the own share.
        receive_limited(deps, quotas, name, core.LIMITED_PERIOD)


async def _spend_anywhere(deps, quotas, tenant, count, is_asking):
    """Takes tokens at the first keeper that answers; None if none does."""
    for node in deps.list_keepers(tenant.name):
        if deps.now() < quotas.skipped_until.get(node.node_id, 0.0):
            continue
        if node.node_id == deps.own.node_id:
            decision = spend_tokens(
                deps, quotas, tenant.name, count, is_asking, deps.own.dc
            )
        else:
            decision = await deps.spend(
                node, tenant.name, count, is_asking, ASK_TIMEOUT
            )
        if decision is None:
            quotas.skipped_until[node.node_id] = deps.now() + SKIP_TIME
        elif decision.is_keeper:
            if decision.limited_for:
                receive_limited(
                    deps, quotas, tenant.name, decision.limited_for
                )
            return decision
    return None


def _take_own_share(deps, quotas, tenant):
    """Takes a token from the share of this node in a quota."""
    if not deps.is_confirmed():
        return core.QuotaDecision(wait=core.LIMITED_PERIOD)
    now = deps.now()
    share = core.SECOND_KEEPER_SHARE / max(1, deps.count_nodes())
    bucket = quotas.own_shares.get(tenant.name)
    if bucket is None:
        bucket = core.make_bucket(tenant, deps.bounds, share, now)
        quotas.own_shares[tenant.name] = bucket
    return core.take_tokens(bucket, tenant, deps.bounds, 1.0, True, share, now)
