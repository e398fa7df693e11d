"""Acts on what replicas say about themselves in their answers."""

import time

from citronweir import core
from citronweir import nodes
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _front_context as contexts

# Maximum number of departures in a message, of at most 210 bytes each. One
# message each second takes 7 KB of the 14 KB that a node may spend on control.
MAX_DEPARTURES = 32


def receive_notice(
    ctx: contexts.FrontContext,
    replica: core.ListedReplica,
    notice: core.ReplicaNotice,
) -> None:
    """Updates what this node knows of a replica that answered.

    Args:
        ctx: State of the node.
        replica: Replica that answered.
        notice: What it said about itself.
    """
    load = ctx.loads.get(replica.replica_id)
    if notice.load is not None and load is not None:
        core.record_reported_load(load, notice.load, time.monotonic())
    if notice.has_malformed_load:
        telemetry.count(ctx.counters, 'malformed_loads')
    if notice.is_leaving:
        _record_departure(ctx, replica)
    if notice.pause is not None:
        _start_pause(ctx, replica, notice.pause)


def receive_departures(
    ctx: contexts.FrontContext,
    dc: core.DataCentre,
    departures: tuple[core.Departure, ...],
) -> None:
    """Merges the departures that another node knows.

    New ones from another data centre are forwarded to the nodes of this one.

    Args:
        ctx: State of the node.
        dc: Data centre of the other node.
        departures: Departures that it knows.
    """
    new = tuple(item for item in departures if _merge(ctx, item))
    if new and dc != ctx.own.dc:
        for node in core.list_in_data_centre(ctx.catalogue.nodes, ctx.own):
            nodes.send_departures(ctx.links, node.address, new)


def push_departures(ctx: contexts.FrontContext) -> None:
    """Sends the latest departures to one random node.

    They also reach nodes that were cut off or have started since.
    """
    table = ctx.catalogue.directory.departures
    departures = core.list_departures(table, MAX_DEPARTURES)
    others = core.list_others(ctx.catalogue.nodes, ctx.own.node_id)
    if departures and others:
        node = ctx.rng.choice(others)
        nodes.send_departures(ctx.links, node.address, tuple(departures))


def move_waiting_requests(
    ctx: contexts.FrontContext, replica_id: core.ReplicaId
) -> None:
    """Moves on the requests that wait for a replica which takes none.

    Args:
        ctx: State of the node.
        replica_id: Replica that is draining, leaving or gone, or that has
            moved to another address.
    """
    count = upstreams.reject_queued(
        ctx.channels, replica_id, core.NotRunReason.LEAVING
    )
    if not count:
        return
    telemetry.count(ctx.counters, 'requests_moved', count)
    event = telemetry.Event.REQUESTS_MOVED
    if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(event, replica=replica_id, count=count)


def list_usable(
    ctx: contexts.FrontContext,
    name: core.ServiceName,
    homes: frozenset[core.Region] = frozenset(),
) -> tuple[core.ListedReplica, ...]:
    """Lists the replicas in the home regions that accept new requests."""
    usable = core.list_usable(ctx.catalogue.directory, name)
    return core.filter_homes(usable, homes, ctx.locality.regions)


def list_available(
    ctx: contexts.FrontContext,
    name: core.ServiceName,
    homes: frozenset[core.Region] = frozenset(),
) -> tuple[core.ListedReplica, ...]:
    """Lists the replicas of a service that accept a request now."""
    usable = list_usable(ctx, name, homes)
    if not ctx.pauses:
        return usable
    now = time.monotonic()
    return tuple(
        replica
        for replica in usable
        if core.accepts_request(
            ctx.pauses,
            replica.replica_id,
            _count_in_flight(ctx, replica.replica_id),
            now,
        )
    )


def find_pause(
    ctx: contexts.FrontContext,
    name: core.ServiceName,
    homes: frozenset[core.Region] = frozenset(),
) -> float:
    """Returns the seconds until a replica of a service is not paused."""
    if not ctx.pauses:
        return 0.0
    usable = list_usable(ctx, name, homes)
    ids = [replica.replica_id for replica in usable]
    return core.find_pause(ctx.pauses, ids, time.monotonic())


def _count_in_flight(ctx, replica_id):
    load = ctx.loads.get(replica_id)
    return 0 if load is None else len(load.in_flight)


def _record_departure(ctx, replica):
    departure = core.Departure(replica.replica_id, replica.epoch)
    if not _merge(ctx, departure):
        return
    telemetry.count(ctx.counters, 'departures')
    telemetry.log(
        telemetry.Event.REPLICA_LEAVING,
        replica=replica.replica_id,
        service=replica.service,
        epoch=replica.epoch,
    )
    for node in core.list_broadcast_targets(ctx.catalogue.nodes, ctx.own):
        nodes.send_departures(ctx.links, node.address, (departure,))


def _merge(ctx, departure):
    """Adds a departure and returns whether it was new."""
    return core.mark_departed(
        ctx.catalogue.directory, departure, time.monotonic()
    )


def _start_pause(ctx, replica, seconds):
    now = time.monotonic()
    is_valid = core.start_pause(
        ctx.pauses, replica.replica_id, seconds, now, ctx.rng.random()
    )
    telemetry.count(ctx.counters, 'pauses')
    event = telemetry.Event.REPLICA_PAUSED
    if telemetry.may_log(ctx.log_limits, event, now):
        telemetry.log(
            event,
            replica=replica.replica_id,
            service=replica.service,
            seconds=seconds,
            detail='' if is_valid else ', cut to the maximum',
        )
    upstreams.reject_queued(
        ctx.channels, replica.replica_id, core.NotRunReason.PAUSED
    )
