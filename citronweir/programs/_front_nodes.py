"""Wires a front node to the other nodes of the system."""

import asyncio
import time

from citronweir import core
from citronweir import nodes
from citronweir import platform
from citronweir import service
from citronweir.programs import _front_crash_reports as crash_reports
from citronweir.programs import _front_parts as parts_

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
    parts: parts_.FrontParts,
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
        service.receive_announced(config_peers, parts.config, batch)
        pass_on(parts, dc, batch)

    return nodes.Handlers(
        run_sub=refuse_sub,
        on_gossip=lambda message: None,
        on_config=on_config,
        read_config=lambda since: service.answer_sync(
            config_peers, parts.config, since
        ),
        on_suspect=lambda record: None,
        run_group=run_group,
        on_reports=lambda dc, reports: crash_reports.receive_reports(
            parts, dc, reports
        ),
    )


def make_registry_peers(parts: parts_.FrontParts) -> service.RegistryPeers:
    """Builds what the registration needs from outside."""
    store, own = parts.boot.store, parts.own

    async def grant(ttl):
        lease = await platform.grant_lease(parts.session, store, ttl)
        return None if isinstance(lease, platform.StoreCallError) else lease

    async def renew(lease):
        reply = await platform.renew_lease(parts.session, store, lease)
        if not isinstance(reply, platform.StoreCallError):
            return True
        return False if reply.fault is platform.StoreFault.GONE else None

    async def write(lease):
        reply = await platform.write_node(parts.session, store, own, lease)
        return reply is None

    return service.RegistryPeers(
        now=time.monotonic,
        rng=parts.rng,
        grant=grant,
        renew=renew,
        write=write,
        is_shown=lambda: _is_shown(parts),
    )


def pick_peer(parts: parts_.FrontParts) -> service.AskPeer | None:
    """Picks another node at random to ask for newer records.

    Mostly one of the own region; now and then another one, which brings
    changes to a region that is cut off from the store.
    """
    node_list, regions = parts.catalogue.nodes, parts.locality.regions
    others = core.list_others(node_list, parts.own.node_id)
    near = core.list_in_region(node_list, parts.own, regions)
    if not others:
        return None
    is_far = parts.rng.random() < FAR_SHARE
    node = parts.rng.choice(others if is_far or not near else near)

    async def ask(since):
        return await nodes.call_sync(parts.links, node, since, SYNC_TIMEOUT)

    return ask


def announce(parts: parts_.FrontParts, batch: core.ConfigBatch) -> None:
    """Sends a batch of the watch on, if this node watches for all.

    A node that watches because the watchers are silent tells nobody: with
    many of them, each change would be sent by everyone to everyone.
    """
    receivers = core.list_announcement_targets(
        parts.catalogue.nodes, parts.own, parts.locality.regions
    )
    for node in receivers:
        nodes.send_config(parts.links, node.address, batch)


def pass_on(
    parts: parts_.FrontParts, sender: core.DataCentre, batch: core.ConfigBatch
) -> None:
    """Sends what came from another data centre on, if this is a relay."""
    receivers = core.list_forward_targets(
        parts.catalogue.nodes, parts.own, parts.locality.regions, sender
    )
    for node in receivers:
        nodes.send_config(parts.links, node.address, batch)


def plan_groups(
    parts: parts_.FrontParts, route: core.Route
) -> tuple[core.ShardGroup, ...]:
    """Splits the shards of a route among nodes, from a cache."""
    parts.turn = (parts.turn + 1) % PLANS
    return _find_plan(parts, route)


def _find_plan(parts, route):
    now = time.monotonic()
    key = (route.name, parts.turn)
    cached = parts.plans.get(key)
    if cached is not None and cached[0] is route and now < cached[1]:
        return cached[2]
    groups = core.plan_groups(
        route,
        lambda name: core.list_usable(parts.catalogue.directory, name),
        list_nodes(parts),
        parts.own.node_id,
        parts.locality,
        parts.turn,
    )
    parts.plans[key] = (route, now + PLAN_TIME, groups)
    return groups


def _is_reachable(parts, node):
    if not nodes.is_open(parts.links, node.address, HEARD_TIME):
        nodes.keep_open(parts.links, node.address)
        return False
    load, now = _find_load(parts, node), time.monotonic()
    if core.is_stalled(load, now):
        return False
    expected = core.expected_time(load, len(load.in_flight) + 1, now)
    if expected < core.AVOID_PENALTY:
        return True
    return core.is_due_for_trial(load, now)


async def ask_group(
    parts: parts_.FrontParts, node: core.ListedNode, query: core.GroupQuery
) -> core.GroupAnswer:
    """Has another node ask a group of shards and learns how it does."""
    load = _find_load(parts, node)
    parts.sent += 1
    number, sent_at = parts.sent, time.monotonic()
    core.record_request_sent(load, number, sent_at)
    try:
        answer = await nodes.call_group(parts.links, node, query)
    except asyncio.CancelledError:
        seconds = time.monotonic() - sent_at
        if core.is_late(load, seconds):
            core.record_request_failed(load, number, time.monotonic())
        else:
            core.record_request_abandoned(load, number)
        raise
    now = time.monotonic()
    if isinstance(answer.outcome, core.Gathered):
        _note_round_trip(parts, node, now - sent_at - answer.seconds)
        core.record_request_answered(load, number, now)
    else:
        core.record_request_failed(load, number, now)
    return answer


def round_trip(parts: parts_.FrontParts, node: core.ListedNode) -> float:
    """Returns the seconds that a query and its answer are on their way."""
    start = core.estimate_initial_latency(parts.locality, node.dc)
    return HOP_TIME + parts.round_trips.get(node.node_id, start)


def list_nodes(parts: parts_.FrontParts) -> tuple[core.ListedNode, ...]:
    """Lists the nodes of the system, with this one."""
    others = core.list_others(parts.catalogue.nodes, parts.own.node_id)
    return (*others, parts.own)


def choose_owner(
    parts: parts_.FrontParts, owners: tuple[core.ListedNode, ...]
) -> core.ListedNode | None:
    """Chooses the owner of a group that answers soonest, if any can."""
    reachable = [node for node in owners if _is_reachable(parts, node)]
    now = time.monotonic()

    def expected(node):
        load = _find_load(parts, node)
        jitter = 1.0 + OWNER_JITTER * parts.rng.random()
        return core.expected_time(load, 1, now) * jitter

    return min(reachable, key=expected, default=None)


def keep_streams(parts: parts_.FrontParts) -> None:
    """Keeps the streams to the nodes open that are asked for groups.

    They are opened before a route's first request: without a stream this
    node asks each shard itself, over as many new connections.
    """
    index = parts.catalogue.index
    routes = () if index is None else index.table.routes
    for route in filter(core.is_grouped, routes):
        _find_plan(parts, route)
    names = {route.name for route in routes}
    for key in [key for key in parts.plans if key[0] not in names]:
        del parts.plans[key]
    for _, _, groups in parts.plans.values():
        for group in groups:
            for node in group.owners:
                nodes.keep_open(parts.links, node.address)


def _note_round_trip(parts, node, seconds):
    known = round_trip(parts, node) - HOP_TIME
    # Waits at either node are no part of the way.
    seconds = max(0.0, min(seconds, 2 * known))
    known += ROUND_TRIP_SMOOTHING * (seconds - known)
    parts.round_trips[node.node_id] = known


def _find_load(parts, node):
    load = parts.node_loads.get(node.node_id)
    if load is None:
        start = core.estimate_initial_latency(parts.locality, node.dc)
        load = core.ReplicaLoad(start, start, 0.0)
        parts.node_loads[node.node_id] = load
    return load


def _is_shown(parts):
    return parts.own in parts.catalogue.nodes.by_key.values()
