"""Bounds the arrivals at a service beyond the first of each request.

The bound holds for all nodes together. Each node earns its share with the
requests that it receives, and has an equal part of the fixed slack, so
that the nodes need not speak to each other to keep it.
"""

import dataclasses

from citronweir.core import _data as data

# Share of the bound that is spent; the rest covers nodes that join before
# the others have counted them.
USED_SHARE = 0.8
# Part of a full bucket that hedges leave to retries: a retry decides
# whether a request is answered at all, a hedge how soon.
RETRY_RESERVE = 0.25
# Part of a full bucket that a starting node has: its predecessor may have
# spent a full one in the same window, on every node after a mass restart.
START_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class ExtraLoad:
    """Extra arrivals that this node may still cause, by service.

    Attributes:
        ratio: Extra arrivals for each request.
        slack: Extra arrivals of all nodes in a window beyond the ratio.
        nodes: Nodes that share the slack.
        tokens: What each service's bucket holds.
    """

    ratio: float
    slack: float
    nodes: int
    tokens: dict[data.ServiceName, float] = dataclasses.field(
        default_factory=dict
    )


def note_request(extra: ExtraLoad, service: data.ServiceName) -> None:
    """Earns the share of one request of a caller."""
    limit = bucket_size(extra)
    tokens = extra.tokens.get(service, limit * START_SHARE)
    tokens += extra.ratio * USED_SHARE
    # A bucket holds at least the token that it is about to hand out.
    extra.tokens[service] = min(max(limit, 1.0), tokens)


def bucket_size(extra: ExtraLoad) -> float:
    """Returns this node's part of the slack, in arrivals."""
    return extra.slack * USED_SHARE / max(1, extra.nodes)


def take_extra(
    extra: ExtraLoad, service: data.ServiceName, kind: data.AttemptKind
) -> bool:
    """Takes the token of a hedge or retry; returns whether there was one."""
    limit = bucket_size(extra)
    tokens = extra.tokens.get(service, limit * START_SHARE)
    reserve = 0.0
    if kind is data.AttemptKind.HEDGE:
        reserve = RETRY_RESERVE * limit
    if tokens - reserve < 1.0:
        return False
    extra.tokens[service] = tokens - 1.0
    return True
