"""Remembers which replicas have said that they are leaving.

A replica says so in its answers. The registry may list it as ready for longer,
lose its entry or be unreachable, so the statement counts until another process
has started under the replica's id.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data

# A departed replica is remembered this long after it was last listed. Entries
# that were lost while the registry was away come back much sooner.
RETENTION = 3600.0  # seconds
# Bounds the table to about 1 MB; 3,400 VMs a day are replaced at most.
MAX_DEPARTURES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Statement of a replica that it is leaving.

    Attributes:
        epoch: Start of the process that said so; 0 if it is not known.
    """

    replica_id: data.ReplicaId
    epoch: data.Epoch


@dataclasses.dataclass(slots=True)
class DepartureTable:
    """Departures that a node knows.

    Attributes:
        epochs: Epoch of the departure, by replica.
        kept_until: Monotonic second until which each one is kept.
    """

    epochs: dict[data.ReplicaId, data.Epoch] = dataclasses.field(
        default_factory=dict
    )
    kept_until: dict[data.ReplicaId, float] = dataclasses.field(
        default_factory=dict
    )


def merge_departure(
    table: DepartureTable, departure: Departure, now: float
) -> bool:
    """Adds a departure.

    Args:
        table: Departures of the node.
        departure: Departure that this or another node learned of.
        now: Monotonic clock, seconds.

    Returns:
        Whether it was new.
    """
    replica_id = departure.replica_id
    is_new = departure.epoch > table.epochs.get(replica_id, -1)
    if is_new:
        if replica_id not in table.epochs:
            _make_room(table)
        table.epochs[replica_id] = departure.epoch
    if replica_id in table.epochs:
        table.kept_until[replica_id] = now + RETENTION
    return is_new


def has_departed(table: DepartureTable, replica: data.ListedReplica) -> bool:
    """Returns whether the process of an entry has said that it leaves."""
    epoch = table.epochs.get(replica.replica_id)
    return epoch is not None and replica.epoch <= epoch


def list_departures(table: DepartureTable, limit: int) -> list[Departure]:
    """Lists the latest departures, to send to another node."""
    latest = list(table.epochs)[: -limit - 1 : -1]
    return [Departure(key, table.epochs[key]) for key in latest]


def expire_departures(
    table: DepartureTable,
    replicas: abc.Mapping[data.ReplicaId, data.ListedReplica],
    now: float,
) -> None:
    """Forgets replicas that are long gone or have started again.

    Args:
        table: Departures of the node.
        replicas: Entries of the registry.
        now: Monotonic clock, seconds.
    """
    for replica_id in list(table.epochs):
        replica = replicas.get(replica_id)
        if replica is not None and has_departed(table, replica):
            table.kept_until[replica_id] = now + RETENTION
        elif replica is not None or now >= table.kept_until[replica_id]:
            _forget(table, replica_id)


def _make_room(table):
    if len(table.epochs) >= MAX_DEPARTURES:
        _forget(table, min(table.kept_until, key=table.kept_until.get))


def _forget(table, replica_id):
    del table.epochs[replica_id]
    del table.kept_until[replica_id]
