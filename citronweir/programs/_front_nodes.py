"""Wires a front node to the other nodes of the system."""

import asyncio
import time

from citronweir import core
from citronweir import nodes
from citronweir import platform
from citronweir import service
from citronweir.programs import _front_context as contexts
from citronweir.programs import _front_crash_reports as crash_reports

# A peer without an answer for this time is passed over in a round of
# anti-entropy.
SYNC_TIMEOUT = 0.5  # seconds
# Share of the rounds of anti-entropy that may ask another region.
FAR_SHARE = 0.125
# Pings come each second on a quiet stream; a node that was not heard from
# for longer is not asked.
HEARD_TIME = 1.6  # seconds
# Seconds for which the split of a route's shards is kept.
PLAN_TIME = 1.0
# Splits of a route that are used in turn; six have two and three regions
# take turns evenly.
PLANS = 6
# What the two nodes and their timers add to the way of a message.
HOP_TIME = 0.005  # seconds
# Spread of the estimates, so that owners that look alike share the load.
OWNER_JITTER = 0.5
ROUND_TRIP_SMOOTHING = 0.1  # weight of the newest round trip


def make_node_handlers(
    ctx: contexts.FrontContext,
    request_peers: service.RequestPeers,
    config_peers: service.ConfigPeers,
) -> nodes.Handlers:
    """Builds what the streams of other nodes call."""

    async def refuse_sub(replica_id, sub):
        refused = core.SubNotRun(core.NotRunReason.NO_REPLICA)
        return core.OwnerAnswer(refused)

    async def run_group(query):
        return await service.run_group(request_peers, query)

    def on_config(dc, batch):
        service.receive_announced(config_peers, ctx.config, batch)
        pass_on(ctx, dc, batch)

    return nodes.Handlers(
        run_sub=refuse_sub,
        on_gossip=lambda message: None,
        on_config=on_config,
        read_config=lambda since: service.answer_sync(
            config_peers, ctx.config, since
        ),
        on_suspect=lambda record: None,
        run_group=run_group,
        on_reports=lambda dc, reports: crash_reports.receive_reports(
            ctx, dc, reports
        ),
    )


def make_registry_peers(ctx: contexts.FrontContext) -> service.RegistryPeers:
    """Builds what the registration needs from outside."""
    store, own = ctx.boot.store, ctx.own

    async def grant(ttl):
        lease = await platform.grant_lease(ctx.session, store, ttl)
        return None if isinstance(lease, platform.StoreRefusal) else lease

    async def renew(lease):
        reply = await platform.renew_lease(ctx.session, store, lease)
        if not isinstance(reply, platform.StoreRefusal):
            return True
        return False if reply.fault is platform.StoreFault.GONE else None

    async def write(lease):
        reply = await platform.write_node(ctx.session, store, own, lease)
        return reply is None

    return service.RegistryPeers(
        now=time.monotonic,
        rng=ctx.rng,
        grant=grant,
        renew=renew,
        write=write,
        is_shown=lambda: _is_shown(ctx),
    )


def pick_peer(ctx: contexts.FrontContext) -> service.AskPeer | None:
    """Picks another node at random to ask for newer records.

    Mostly one of the own region; now and then another one, which brings
    changes to a region that is cut off from the store.
    """
    node_list, regions = ctx.catalogue.nodes, ctx.locality.regions
    others = core.list_others(node_list, ctx.own.node_id)
    near = core.list_in_region(node_list, ctx.own, regions)
    if not others:
        return None
    is_far = ctx.rng.random() < FAR_SHARE
    node = ctx.rng.choice(others if is_far or not near else near)

    async def ask(since):
        return await nodes.call_sync(ctx.links, node, since, SYNC_TIMEOUT)

    return ask


def announce(ctx: contexts.FrontContext, batch: core.ConfigBatch) -> None:
    """Sends a batch of the watch on, if this node watches for all.

    A node that watches because the watchers are silent tells nobody: with
    many of them, each change would be sent by everyone to everyone.
    """
    receivers = core.list_announcement_targets(
        ctx.catalogue.nodes, ctx.own, ctx.locality.regions
    )
    for node in receivers:
        nodes.send_config(ctx.links, node.address, batch)


def pass_on(
    ctx: contexts.FrontContext,
    sender: core.DataCentre,
    batch: core.ConfigBatch,
) -> None:
    """Sends what came from another data centre on, if this is a relay."""
    receivers = core.list_forward_targets(
        ctx.catalogue.nodes, ctx.own, ctx.locality.regions, sender
    )
    for node in receivers:
        nodes.send_config(ctx.links, node.address, batch)


def plan_groups(
    ctx: contexts.FrontContext, route: core.Route
) -> tuple[core.ShardGroup, ...]:
    """Splits the shards of a route among nodes, from a cache."""
    ctx.plan_variant = (ctx.plan_variant + 1) % PLANS
    return _find_plan(ctx, route)


def _find_plan(ctx, route):
    now = time.monotonic()
    key = (route.name, ctx.plan_variant)
    cached = ctx.plans.get(key)
    if cached is not None and cached[0] is route and now < cached[1]:
        return cached[2]
    groups = core.plan_groups(
        route,
        lambda name: core.list_usable(ctx.catalogue.directory, name),
        list_nodes(ctx),
        ctx.own.node_id,
        ctx.locality,
        ctx.plan_variant,
    )
    ctx.plans[key] = (route, now + PLAN_TIME, groups)
    return groups


def _is_reachable(ctx, node):
    if not nodes.is_open(ctx.links, node.address, HEARD_TIME):
        nodes.keep_open(ctx.links, node.address)
        return False
    load, now = _find_load(ctx, node), time.monotonic()
    if core.is_stalled(load, now):
        return False
    expected = core.expected_time(load, len(load.in_flight) + 1, now)
    if expected < core.AVOID_PENALTY:
        return True
    return core.is_due_for_trial(load, now)


async def ask_group(
    ctx: contexts.FrontContext, node: core.ListedNode, query: core.GroupQuery
) -> core.GroupAnswer:
    """Has another node ask a group of shards and learns how it does."""
    load = _find_load(ctx, node)
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
        _note_round_trip(ctx, node, now - sent_at - answer.seconds)
        core.record_request_answered(load, number, now)
    else:
        core.record_request_failed(load, number, now)
    return answer


def round_trip(ctx: contexts.FrontContext, node: core.ListedNode) -> float:
    """Returns the seconds that a query and its answer are on their way."""
    start = core.estimate_initial_latency(ctx.locality, node.dc)
    return HOP_TIME + ctx.round_trips.get(node.node_id, start)


def list_nodes(ctx: contexts.FrontContext) -> tuple[core.ListedNode, ...]:
    """Lists the nodes of the system, with this one."""
    others = core.list_others(ctx.catalogue.nodes, ctx.own.node_id)
    return (*others, ctx.own)


def choose_owner(
    ctx: contexts.FrontContext, owners: tuple[core.ListedNode, ...]
) -> core.ListedNode | None:
    """Chooses the owner of a group that answers soonest, if any can."""
    reachable = [node for node in owners if _is_reachable(ctx, node)]
    now = time.monotonic()

    def expected(node):
        load = _find_load(ctx, node)
        jitter = 1.0 + OWNER_JITTER * ctx.rng.random()
        return core.expected_time(load, 1, now) * jitter

    return min(reachable, key=expected, default=None)


def keep_streams(ctx: contexts.FrontContext) -> None:
    """Keeps the streams to the nodes open that are asked for groups.

    They are opened before a route's first request: without a stream this
    node asks each shard itself, over as many new connections.
    """
    index = ctx.catalogue.index
    routes = () if index is None else index.table.routes
    for route in filter(core.is_grouped, routes):
        _find_plan(ctx, route)
    names = {route.name for route in routes}
    for key in [key for key in ctx.plans if key[0] not in names]:
        del ctx.plans[key]
    for _, _, groups in ctx.plans.values():
        for group in groups:
            for node in group.owners:
                nodes.keep_open(ctx.links, node.address)


def _note_round_trip(ctx, node, seconds):
    known = round_trip(ctx, node) - HOP_TIME
    # Waits at either node are no part of the way.
    seconds = max(0.0, min(seconds, 2 * known))
    known += ROUND_TRIP_SMOOTHING * (seconds - known)
    ctx.round_trips[node.node_id] = known


def _find_load(ctx, node):
    load = ctx.node_loads.get(node.node_id)
    if load is None:
        start = core.estimate_initial_latency(ctx.locality, node.dc)
        load = core.ReplicaLoad(start, start, 0.0)
        ctx.node_loads[node.node_id] = load
    return load


def _is_shown(ctx):
    return ctx.own in ctx.catalogue.nodes.by_key.values()
