"""Bounds the hedges and retries that services receive from all nodes.

In any window, the requests that arrive at a service beyond the first
attempts must not exceed a ratio of the requests plus a fixed slack. The
nodes keep this bound without coordination: each has a token bucket for
every service, which holds the node's part of the slack and earns the
ratio with each request that the node receives.
"""

from collections import abc
import dataclasses
import math

from citronweir.core import _data as data

# Share of the bound that may be spent. The rest covers nodes that have
# joined but are not yet counted by the others.
SPENDABLE_SHARE = 0.8
# Share of a full bucket that hedges leave to retries, up to a number of
# tokens: a retry decides whether a request is answered at all, a hedge only
# how soon.
RETRY_RESERVE_SHARE = 0.25
MAX_RETRY_RESERVE = 1.0  # tokens
# Share of a full bucket that a node has after its start. The process before
# a restart may have spent a full bucket in the same window, and all nodes
# may restart together.
INITIAL_SHARE = 0.2
# Share of a grouped service's slack that its owners divide among them. The
# rest is for the other nodes, which ask the service only if an owner is
# lost.
OWNERS_SLACK_SHARE = 0.75


@dataclasses.dataclass(slots=True)
class ExtraLoad:
    """Token buckets of this node for hedges and retries, by service.

    Attributes:
        ratio: Hedges and retries that each request allows.
        slack: Hedges and retries that all nodes together may send to a
            service in a window beyond the ratio.
        nodes: Number of nodes that share the slack.
        owners: Number of nodes that ask each grouped service on behalf of
            all others.
        grouped: Services that owners ask on behalf of the other nodes.
        owned: Grouped services that this node owns.
        seen_at: Monotonic second at which each service was last part of
            a route.
        tokens: Tokens in each service's bucket.
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
    """Fills the buckets of services that are new to the routes.

    No node has sent anything to a new service yet, so its bucket starts
    full, unless this node itself has just started. A service that this
    node newly owns is not new to the routes and gets no full bucket, like
    a service after a restart, since the previous owner may have spent
    one. The bucket of a service that has left the routes is removed after
    one window.

    Args:
        extra: Token buckets of the node.
        names: Services of all routes.
        age: Seconds since this node started.
        window: Length of the window of the bound, seconds.
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
    """Adds the tokens that one request of a caller earns."""
    capacity = bucket_capacity(extra, service)
    tokens = extra.tokens.get(service, capacity * INITIAL_SHARE)
    tokens += extra.ratio * SPENDABLE_SHARE
    extra.tokens[service] = min(capacity, tokens)


def bucket_capacity(extra: ExtraLoad, service: data.ServiceName) -> float:
    """Returns this node's part of a service's slack, in tokens.

    The owners of a grouped service send nearly all of its requests and so
    receive larger parts. With equal parts for all nodes, they could hardly
    hedge in a large fleet.
    """
    slack = extra.slack * SPENDABLE_SHARE
    if service not in extra.grouped or extra.owners >= extra.nodes:
        return slack / max(1, extra.nodes)
    if service in extra.owned:
        return slack * OWNERS_SLACK_SHARE / max(1, extra.owners)
    return slack * (1.0 - OWNERS_SLACK_SHARE) / max(1, extra.nodes)


def take_extra(
    extra: ExtraLoad, service: data.ServiceName, kind: data.AttemptKind
) -> bool:
    """Takes a token for a hedge or retry; returns whether there was one."""
    capacity = bucket_capacity(extra, service)
    tokens = extra.tokens.get(service, capacity * INITIAL_SHARE)
    reserve = 0.0
    if kind is data.AttemptKind.HEDGE:
        reserve = min(MAX_RETRY_RESERVE, RETRY_RESERVE_SHARE * capacity)
    if tokens - reserve < 1.0:
        return False
    extra.tokens[service] = tokens - 1.0
    return True
