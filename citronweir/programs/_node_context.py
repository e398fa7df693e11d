"""Defines the state of a node, which all its wiring shares."""

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
class NodeContext:
    """State of a node.

    Attributes:
        direct_locks: Lock of the single connection to each replica that this
            node contacts directly instead of through the owner.
    """

    cfg: settings.Settings
    rng: random.Random
    identity: nodes.Identity
    kv_session: aiohttp.ClientSession
    call_limits: metastore.CallLimits
    pools: upstreams.Pools
    links: nodes.Links
    membership: core.Membership
    assignment: core.Assignment
    table: core.ReplicaTable
    owner: service.Owner
    suspects: core.SuspectTable
    config: service.Configuration
    budgets: dict[core.Rank, core.Budgets]
    admission: core.Admission
    stop: service.StopState
    metrics: telemetry.Metrics
    direct_locks: collections.defaultdict[core.ReplicaId, asyncio.Lock] = (
        dataclasses.field(
            default_factory=lambda: collections.defaultdict(asyncio.Lock)
        )
    )


def find_owner(
    ctx: NodeContext, replica_id: core.ReplicaId
) -> core.Member | None:
    """Finds the node that owns a replica in the current membership."""
    return service.find_owner(ctx.assignment, ctx.membership, replica_id)


def list_peers(ctx: NodeContext) -> list[core.Member]:
    """Lists the other live nodes of the data centre."""
    return [
        member
        for member in core.list_members(ctx.membership, core.MemberState.ALIVE)
        if member.node_id != ctx.cfg.node_id
    ]
