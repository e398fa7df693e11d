"""Bounds the arrivals at a service beyond the first of each request.

The bound holds for all nodes together. Each node earns its share with the
requests that it receives, and has an equal part of the fixed slack, so
that the nodes need not speak to each other to keep it.
"""

from collections import abc
import dataclasses
import math

from citronweir.core import _data as data

# Share of the bound that is spent; the rest covers nodes that join before
# the others have counted them.
USED_SHARE = 0.8
# What hedges leave to retries, at most this part of a full bucket: a retry
# decides whether a request is answered at all, a hedge how soon.
RETRY_RESERVE = 0.25
RETRY_TOKENS = 1.0
# Part of a full bucket that a starting node has: its predecessor may have
# spent a full one in the same window, on every node after a mass restart.
START_SHARE = 0.2
# Part of the slack of a grouped service that its owners share; the rest is
# for the other nodes, which ask it only where an owner is lost.
OWNERS_SHARE = 0.75


@dataclasses.dataclass(slots=True)
class ExtraLoad:
    """Extra arrivals that this node may still cause, by service.

    Attributes:
        ratio: Extra arrivals for each request.
        slack: Extra arrivals of all nodes in a window beyond the ratio.
        nodes: Nodes that share the slack.
        owners: Nodes that ask each grouped service for all others.
        grouped: Services that owners ask.
        owned: Those of them that this node owns.
        seen_at: Monotonic second at which each service was last part of
            a route.
        tokens: What each service's bucket holds.
    """

    ratio: float
    slack: float
    nodes: int
    owners: int = 1
    grouped: frozenset[data.ServiceName] = frozenset()
    owned: frozenset[data.ServiceName] = frozenset()
    seen_at: dict[data.ServiceName, float] = dataclasses.field(
        default_factory=dict
    )
    tokens: dict[data.ServiceName, float] = dataclasses.field(
        default_factory=dict
    )


def update_services(
    extra: ExtraLoad,
    names: abc.Iterable[data.ServiceName],
    age: float,
    window: float,
    now: float,
) -> None:
    """Notes the services of all routes and fills the buckets of new ones.

    Nobody has spent from the bucket of a service that is new to the routes.
    One that this node only asks as a new owner starts like a restarted
    node: the owner before it may have spent a full bucket.

    Args:
        extra: State of the bound.
        names: Services of all routes.
        age: Seconds since this node started.
        window: Seconds in which the bound holds.
        now: Monotonic clock, seconds.
    """
    for name in names:
        seen_at = extra.seen_at.get(name, -math.inf)
        if now - seen_at > window and age >= window:
            extra.tokens[name] = bucket_capacity(extra, name)
        extra.seen_at[name] = now
    for name, seen_at in list(extra.seen_at.items()):
        if now - seen_at > window:
            del extra.seen_at[name]
            extra.tokens.pop(name, None)


def earn_tokens(extra: ExtraLoad, service: data.ServiceName) -> None:
    """Earns the share of one request of a caller."""
    limit = bucket_capacity(extra, service)
    tokens = extra.tokens.get(service, limit * START_SHARE)
    tokens += extra.ratio * USED_SHARE
    extra.tokens[service] = min(limit, tokens)


def bucket_capacity(extra: ExtraLoad, service: data.ServiceName) -> float:
    """Returns this node's part of a service's slack, in arrivals.

    With equal parts for all nodes the owners of a shard, which send nearly
    all of its requests, could hardly hedge in a large fleet.
    """
    slack = extra.slack * USED_SHARE
    if service not in extra.grouped or extra.owners >= extra.nodes:
        return slack / max(1, extra.nodes)
    if service in extra.owned:
        return slack * OWNERS_SHARE / max(1, extra.owners)
    return slack * (1.0 - OWNERS_SHARE) / max(1, extra.nodes)


def take_extra(
    extra: ExtraLoad, service: data.ServiceName, kind: data.AttemptKind
) -> bool:
    """Takes the token of a hedge or retry; returns whether there was one."""
    limit = bucket_capacity(extra, service)
    tokens = extra.tokens.get(service, limit * START_SHARE)
    reserve = 0.0
    if kind is data.AttemptKind.HEDGE:
        reserve = min(RETRY_TOKENS, RETRY_RESERVE * limit)
    if tokens - reserve < 1.0:
        return False
    extra.tokens[service] = tokens - 1.0
    return True
