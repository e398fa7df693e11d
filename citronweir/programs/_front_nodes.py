"""Wires a front node to the other front nodes."""

import asyncio
import time

from citronweir import core
from citronweir import nodes
from citronweir import platform
from citronweir import service
from citronweir.programs import _front_context as contexts
from citronweir.programs import _front_crash_reports as crash_reports
from citronweir.programs import _front_notices as notices
from citronweir.programs import _front_tenants as tenants

# A round of anti-entropy ends without a result if the peer has not answered
# within this time.
SYNC_TIMEOUT = 0.5  # seconds
# Share of the anti-entropy rounds that may choose a peer in another region.
REMOTE_REGION_SHARE = 0.125
# An idle stream carries a ping each second. Nodes that have been silent for
# longer than this are not asked.
MAX_SILENCE = 1.6  # seconds
# Lifetime of a cached plan, which divides a route's shards among nodes.
PLAN_TTL = 1.0  # seconds
# Number of plans of a route that are used in rotation. Six is a multiple of
# two and three, so two or three regions get equal shares.
PLAN_VARIANTS = 6
# Delay that the two nodes and their timers add to the network round trip.
HOP_OVERHEAD = 0.005  # seconds
# Relative random spread of the estimates, so that owners with similar
# estimates share the load.
OWNER_JITTER = 0.5
ROUND_TRIP_SMOOTHING = 0.1  # weight of the newest sample


def make_node_handlers(
    ctx: contexts.FrontContext,
    request_deps: service.RequestDependencies,
    config_deps: service.ConfigDependencies,
    quota_deps: service.QuotaDependencies,
) -> nodes.Handlers:
    """Builds the handlers of messages from other nodes."""

    async def refuse_sub(replica_id, sub):
        refused = core.SubNotRun(core.NotRunReason.NO_REPLICA)
        return core.OwnerAnswer(refused)

    async def run_group(query):
        return await service.run_group(request_deps, query)

    def on_config(dc, batch):
        service.receive_announced(config_deps, ctx.config, batch)
        forward(ctx, dc, batch)

    return nodes.Handlers(
        run_sub=refuse_sub,
        on_gossip=lambda message: None,
        on_config=on_config,
        read_config=lambda since: service.answer_sync(
            config_deps, ctx.config, since
        ),
        on_suspect=lambda record: None,
        run_group=run_group,
        on_departures=lambda dc, departures: notices.receive_departures(
            ctx, dc, departures
        ),
        on_reports=lambda dc, reports: crash_reports.receive_reports(
            ctx, dc, reports
        ),
        spend=lambda dc, name, count, is_asking: service.spend_tokens(
            quota_deps, ctx.quotas, name, count, is_asking, dc
        ),
        on_limited=lambda dc, name, seconds: tenants.receive_limited(
            ctx, quota_deps, dc, name, seconds
        ),
    )


def make_registry_dependencies(
    ctx: contexts.FrontContext,
) -> service.RegistryDependencies:
    """Builds the dependencies of the node's registration in the store."""
    store, own = ctx.boot.store, ctx.own

    async def grant(ttl):
        lease = await platform.grant_lease(ctx.session, store, ttl)
        return None if isinstance(lease, platform.StoreCallError) else lease

    async def renew(lease):
        reply = await platform.renew_lease(ctx.session, store, lease)
        if not isinstance(reply, platform.StoreCallError):
            return True
        return False if reply.fault is platform.StoreFault.GONE else None

    async def write(lease):
        reply = await platform.write_node(ctx.session, store, own, lease)
        return reply is None

    return service.RegistryDependencies(
        now=time.monotonic,
        rng=ctx.rng,
        grant=grant,
        renew=renew,
        write=write,
        is_registered=lambda: _is_registered(ctx),
    )


def pick_peer(ctx: contexts.FrontContext) -> service.AskPeer | None:
    """Picks a random node to ask for newer records.

    It is usually in the same region. A small share of the rounds may choose
    any region, so that changes reach a region without access to the store.
    """
    node_list, regions = ctx.catalogue.nodes, ctx.locality.regions
    others = core.list_others(node_list, ctx.own.node_id)
    same_region = core.list_in_region(node_list, ctx.own, regions)
    if not others:
        return None
    is_remote = ctx.rng.random() < REMOTE_REGION_SHARE
    node = ctx.rng.choice(
        others if is_remote or not same_region else same_region
    )

    async def ask(since):
        return await nodes.fetch_config(ctx.links, node, since, SYNC_TIMEOUT)

    return ask


def announce(ctx: contexts.FrontContext, batch: core.ConfigBatch) -> None:
    """Announces a watched batch to other nodes if this node is a watcher.

    A node that only watches because the watchers are silent announces
    nothing: there may be many such nodes, and each change would be sent from
    every node to every other one.
    """
    receivers = core.list_announcement_targets(
        ctx.catalogue.nodes, ctx.own, ctx.locality.regions
    )
    for node in receivers:
        nodes.send_config(ctx.links, node.address, batch)


def forward(
    ctx: contexts.FrontContext,
    sender: core.DataCentre,
    batch: core.ConfigBatch,
) -> None:
    """Forwards a batch from another data centre if this node is a relay."""
    receivers = core.list_forward_targets(
        ctx.catalogue.nodes, ctx.own, ctx.locality.regions, sender
    )
    for node in receivers:
        nodes.send_config(ctx.links, node.address, batch)


def plan_groups(
    ctx: contexts.FrontContext, route: core.Route
) -> tuple[core.ShardGroup, ...]:
    """Returns the next cached plan of a route's shards among nodes."""
    ctx.plan_variant = (ctx.plan_variant + 1) % PLAN_VARIANTS
    return _get_cached_plan(ctx, route)


def _get_cached_plan(ctx, route):
    now = time.monotonic()
    key = (route.name, route.homes, ctx.plan_variant)
    cached = ctx.plans.get(key)
    # Routes of different tenants share the shards, and the plans with them.
    if cached and cached[0] is route.shards and now < cached[1]:
        return cached[2]
    groups = core.plan_groups(
        route,
        lambda name: notices.list_usable(ctx, name, route.homes),
        list_nodes(ctx),
        ctx.own.node_id,
        ctx.locality,
        ctx.plan_variant,
    )
    ctx.plans[key] = (route.shards, now + PLAN_TTL, groups)
    return groups


def _is_reachable(ctx, node):
    if not nodes.is_open(ctx.links, node.address, MAX_SILENCE):
        nodes.keep_open(ctx.links, node.address)
        return False
    load, now = _get_load(ctx, node), time.monotonic()
    if core.is_stalled(load, now):
        return False
    expected = core.expected_time(load, len(load.in_flight) + 1, now)
    if expected < core.AVOID_PENALTY:
        return True
    return core.is_due_for_trial(load, now)


async def ask_group(
    ctx: contexts.FrontContext, node: core.ListedNode, query: core.GroupQuery
) -> core.GroupAnswer:
    """Asks another node for a group of shards and records its latency."""
    load = _get_load(ctx, node)
    ctx.last_request_number += 1
    number, sent_at = ctx.last_request_number, time.monotonic()
    core.record_request_sent(load, number, sent_at)
    try:
        answer = await nodes.call_group(ctx.links, node, query)
    except asyncio.CancelledError:
        seconds = time.monotonic() - sent_at
        if core.is_late(load, seconds):
            core.record_request_failed(load, number, time.monotonic())
        else:
            core.record_request_abandoned(load, number)
        raise
    now = time.monotonic()
    if isinstance(answer.outcome, core.Gathered):
        _update_round_trip(ctx, node, now - sent_at - answer.seconds)
        core.record_request_answered(load, number, now)
    else:
        core.record_request_failed(load, number, now)
    return answer


def estimate_round_trip(
    ctx: contexts.FrontContext, node: core.ListedNode
) -> float:
    """Estimates the seconds that a query and its answer take in transit."""
    initial_estimate = core.estimate_initial_latency(ctx.locality, node.dc)
    return HOP_OVERHEAD + ctx.round_trips.get(node.node_id, initial_estimate)


def list_nodes(ctx: contexts.FrontContext) -> tuple[core.ListedNode, ...]:
    """Lists all front nodes, including this one."""
    others = core.list_others(ctx.catalogue.nodes, ctx.own.node_id)
    return (*others, ctx.own)


def choose_owner(
    ctx: contexts.FrontContext, owners: tuple[core.ListedNode, ...]
) -> core.ListedNode | None:
    """Chooses the reachable owner with the lowest expected time, if any."""
    reachable = [node for node in owners if _is_reachable(ctx, node)]
    now = time.monotonic()

    def expected(node):
        load = _get_load(ctx, node)
        jitter = 1.0 + OWNER_JITTER * ctx.rng.random()
        return core.expected_time(load, 1, now) * jitter

    return min(reachable, key=expected, default=None)


def open_owner_streams(ctx: contexts.FrontContext) -> None:
    """Keeps streams to the owners of all shard groups open.

    They are opened before a route's first request. Without them this node
    would ask each shard itself and open a connection to each.
    """
    index = ctx.catalogue.index
    routes = () if index is None else index.table.routes
    for route in filter(core.is_grouped, routes):
        _get_cached_plan(ctx, route)
    names = {route.name for route in routes}
    for key in [key for key in ctx.plans if key[0] not in names]:
        del ctx.plans[key]
    for _, _, groups in ctx.plans.values():
        for group in groups:
            for node in group.owners:
                nodes.keep_open(ctx.links, node.address)


def _update_round_trip(ctx, node, seconds):
    estimate = estimate_round_trip(ctx, node) - HOP_OVERHEAD
    # Limits the effect of a sample that includes a wait at either node.
    seconds = max(0.0, min(seconds, 2 * estimate))
    estimate += ROUND_TRIP_SMOOTHING * (seconds - estimate)
    ctx.round_trips[node.node_id] = estimate


def _get_load(ctx, node):
    load = ctx.node_loads.get(node.node_id)
    if load is None:
        initial_estimate = core.estimate_initial_latency(ctx.locality, node.dc)
        load = core.ReplicaLoad(initial_estimate, initial_estimate, 0.0)
        ctx.node_loads[node.node_id] = load
    return load


def _is_registered(ctx):
    return ctx.own in ctx.catalogue.nodes.by_key.values()
