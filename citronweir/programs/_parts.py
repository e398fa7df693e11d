"""Holds the state of a node, for the composition root to wire."""

import asyncio
import collections
import dataclasses
import random

import aiohttp

from citronweir import core
from citronweir import metastore
from citronweir import nodes
from citronweir import service
from citronweir import settings
from citronweir import telemetry
from citronweir import upstreams


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """State of a node, part by part.

    Attributes:
        direct: Locks of the one connection to each replica that this
            node contacts past its owner.
    """

    cfg: settings.Settings
    rng: random.Random
    identity: nodes.Identity
    kv_session: aiohttp.ClientSession
    call_limits: metastore.CallLimits
    pools: upstreams.Pools
    links: nodes.Links
    membership: core.Membership
    routing: core.Routing
    table: core.ReplicaTable
    owner: service.Owner
    suspects: core.SuspectTable
    config: service.Configuration
    budgets: dict[core.Rank, core.Budgets]
    admission: core.Admission
    stop: service.StopState
    metrics: telemetry.Metrics
    direct: collections.defaultdict[core.ReplicaId, asyncio.Lock] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(asyncio.Lock)
        )
    )


def find_owner(parts: Parts, replica_id: core.ReplicaId) -> core.Member | None:
    """Finds the node that owns a replica in the present view."""
    return service.find_owner(parts.routing, parts.membership, replica_id)


def list_peers(parts: Parts) -> list[core.Member]:
    """Lists the other live nodes of the data centre."""
    return [
        member
        for member in core.list_members(
            parts.membership, core.MemberState.ALIVE
        )
        if member.node_id != parts.cfg.node_id
    ]
