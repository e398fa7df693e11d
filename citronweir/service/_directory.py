"""Puts the records of the store in force: routes and listed replicas."""

import dataclasses

from citronweir import core
from citronweir import telemetry


@dataclasses.dataclass(slots=True)
class Catalogue:
    """What a node serves from, as far as it knows the store.

    Attributes:
        index: Routes in force, or None before a first configuration.
        keys: Record of each listed replica.
        nodes: Nodes of the system.
    """

    index: core.RouteIndex | None = None
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
    fresh: tuple[core.ConfigRecord, ...],
    now: float,
) -> None:
    """Takes over the records that were new.

    Args:
        catalogue: What the node serves from.
        state: Configuration after the merge.
        fresh: Records that the merge took over.
        now: Monotonic clock, seconds.
    """
    for record in fresh:
        match record.body:
            case core.RouteTable():
                _put_in_force(catalogue, record)
            case core.ListedReplica():
                _list(catalogue, record)
            case core.ListedNode():
                core.upsert_node(catalogue.nodes, record.key, record.body)
            case None if record.key in catalogue.keys:
                detail = 'removed' if not record.value else 'unreadable'
                _unlist(catalogue, record.key, detail, now)
    core.mark_missing(catalogue.nodes, _list_live(state), now)
    for key in catalogue.keys.keys() - state.records.keys():
        _unlist(catalogue, key, 'gone from the listing', now)


def _list_live(state):
    return {key for key, record in state.records.items() if record.value}


def _put_in_force(catalogue, record):
    catalogue.index = core.index_routes(record.body)
    telemetry.log(
        telemetry.Event.ROUTES_IN_FORCE,
        version=record.body.version,
        routes=len(record.body.routes),
        revision=record.revision,
    )


def _list(catalogue, record):
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


def _unlist(catalogue, key, detail, now):
    replica_id = catalogue.keys.pop(key)
    core.remove_entry(catalogue.directory, replica_id, now)
    telemetry.log(
        telemetry.Event.REPLICA_UNLISTED, replica=replica_id, detail=detail
    )
