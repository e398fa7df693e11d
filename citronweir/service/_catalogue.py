"""Applies records of the store: routes, listed replicas and nodes."""

import dataclasses

from citronweir import core
from citronweir import telemetry


@dataclasses.dataclass(slots=True)
class Catalogue:
    """Routes, replicas and nodes, from the records known of the store.

    Attributes:
        index: Routes in force, or None before the first configuration.
        routes_record: Record of the routes in force.
        directory: Listed replicas.
        keys: Replica that each record key lists.
        nodes: Listed nodes.
    """

    index: core.RouteIndex | None = None
    routes_record: core.ConfigRecord | None = None
    directory: core.Directory = dataclasses.field(
        default_factory=core.Directory
    )
    keys: dict[core.ConfigKey, core.ReplicaId] = dataclasses.field(
        default_factory=dict
    )
    nodes: core.NodeList = dataclasses.field(default_factory=core.NodeList)


def apply_records(
    catalogue: Catalogue,
    state: core.ConfigState,
    new_records: tuple[core.ConfigRecord, ...],
    now: float,
) -> None:
    """Applies the records that a merge has added.

    Args:
        catalogue: Catalogue to update.
        state: Configuration after the merge.
        new_records: Records that the merge has added.
        now: Monotonic time, seconds.
    """
    for record in new_records:
        match record.body:
            case core.RouteTable():
                _activate_routes(catalogue, record)
            case core.ListedReplica():
                _add_replica(catalogue, record)
            case core.ListedNode():
                core.upsert_node(catalogue.nodes, record.key, record.body)
            case None if record.key in catalogue.keys:
                detail = 'removed' if not record.value else 'unreadable'
                _remove_replica(catalogue, record.key, detail, now)
    core.mark_missing(catalogue.nodes, _collect_present_keys(state), now)
    for key in catalogue.keys.keys() - state.records.keys():
        _remove_replica(catalogue, key, 'gone from the listing', now)
    _update_evacuations(catalogue, state)


def _update_evacuations(catalogue, state):
    evacuated = frozenset(
        record.body.dc
        for record in state.records.values()
        if isinstance(record.body, core.Evacuation) and record.value
    )
    if evacuated == catalogue.directory.evacuated:
        return
    for dc in core.set_evacuated(catalogue.directory, evacuated):
        is_started = dc in evacuated
        event = telemetry.Event.EVACUATION_ENDED
        if is_started:
            event = telemetry.Event.EVACUATION_STARTED
        telemetry.log(event, dc=dc, revision=state.complete_to)


def _collect_present_keys(state):
    return {key for key, record in state.records.items() if record.value}


def _activate_routes(catalogue, record):
    known = catalogue.index
    if known is not None and record.body.version < known.table.version:
        # The store lost its latest changes; the operator writes them again.
        telemetry.log(
            telemetry.Event.ROUTES_OUTDATED,
            version=record.body.version,
            current=known.table.version,
            revision=record.revision,
        )
        return
    catalogue.index = core.index_routes(record.body)
    catalogue.routes_record = record
    telemetry.log(
        telemetry.Event.ROUTES_IN_FORCE,
        version=record.body.version,
        routes=len(record.body.routes),
        revision=record.revision,
    )


def _add_replica(catalogue, record):
    replica = record.body
    known = catalogue.directory.replicas.get(replica.replica_id)
    catalogue.keys[record.key] = replica.replica_id
    core.update_entry(catalogue.directory, replica)
    if known is not None and known.state is not replica.state:
        telemetry.log(
            telemetry.Event.REPLICA_LISTED,
            replica=replica.replica_id,
            service=replica.service,
            address=f'{replica.address.host}:{replica.address.port}',
            dc=replica.dc,
            state=replica.state.value,
        )


def _remove_replica(catalogue, key, detail, now):
    replica_id = catalogue.keys.pop(key)
    core.remove_entry(catalogue.directory, replica_id, now)
    telemetry.log(
        telemetry.Event.REPLICA_UNLISTED, replica=replica_id, detail=detail
    )
