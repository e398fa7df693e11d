"""Directory of the replicas of each service in the platform's registry.

The lease of an entry can expire while the registry is unavailable. After
an outage, a removed entry is therefore kept until its replica has had
time to register again. A drain takes effect immediately.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data
from citronweir.core import _departures as departure_tables

# Replicas whose entries expired during an outage of the registry register
# again about two seconds after it; the rest covers the delay of a watch.
REREGISTRATION_TIME = 2.3  # seconds


def _do_nothing(replica_id):
    pass


@dataclasses.dataclass(slots=True)
class Directory:
    """Replicas that are registered or may register again shortly.

    Attributes:
        replicas: Latest entry of each replica.
        by_service: Replicas of each service that accept new requests.
        removal_due: Monotonic second at which a removed entry is dropped
            unless its replica has registered again.
        departures: Replicas that said that they are leaving.
        misdirected: Replicas at whose address another replica answers.
        evacuated: Data centres whose replicas accept no requests.
        restored_at: Monotonic second at which the last outage of the
            registry ended.
        on_excluded: Called with each replica that stops accepting new
            requests or moves to another address, so that requests which
            wait for it don't reach it later.
    """

    replicas: dict[data.ReplicaId, data.ListedReplica] = dataclasses.field(
        default_factory=dict
    )
    by_service: dict[data.ServiceName, tuple[data.ListedReplica, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    removal_due: dict[data.ReplicaId, float] = dataclasses.field(
        default_factory=dict
    )
    departures: departure_tables.DepartureTable = dataclasses.field(
        default_factory=departure_tables.DepartureTable
    )
    misdirected: set[data.ReplicaId] = dataclasses.field(default_factory=set)
    evacuated: frozenset[data.DataCentre] = frozenset()
    restored_at: float = -REREGISTRATION_TIME
    on_excluded: abc.Callable[[data.ReplicaId], None] = _do_nothing


def list_usable(
    directory: Directory, service: data.ServiceName
) -> tuple[data.ListedReplica, ...]:
    """Lists the replicas of a service that accept new requests."""
    return directory.by_service.get(service, ())


def filter_homes(
    replicas: tuple[data.ListedReplica, ...],
    homes: frozenset[data.Region],
    regions: abc.Mapping[data.DataCentre, str],
) -> tuple[data.ListedReplica, ...]:
    """Returns the replicas that are in the home regions of a request.

    Args:
        replicas: Replicas of a service.
        homes: Home regions; empty for all regions.
        regions: Region of each data centre.
    """
    if not homes:
        return replicas
    return tuple(
        replica for replica in replicas if regions.get(replica.dc) in homes
    )


def set_evacuated(
    directory: Directory, evacuated: frozenset[data.DataCentre]
) -> frozenset[data.DataCentre]:
    """Replaces the set of data centres that are being evacuated.

    Returns:
        The data centres for which this is a change.
    """
    changed = directory.evacuated ^ evacuated
    directory.evacuated = evacuated
    for service in {
        replica.service
        for replica in directory.replicas.values()
        if replica.dc in changed
    }:
        _rebuild_service(directory, service)
    return changed


def mark_registry_restored(directory: Directory, now: float) -> None:
    """Records that the registry is available again after an outage."""
    directory.restored_at = now


def update_entry(directory: Directory, replica: data.ListedReplica) -> None:
    """Adds or replaces the entry of a replica."""
    known = directory.replicas.get(replica.replica_id)
    directory.removal_due.pop(replica.replica_id, None)
    if known == replica:
        return
    directory.misdirected.discard(replica.replica_id)
    directory.replicas[replica.replica_id] = replica
    if known is not None and known.service != replica.service:
        _rebuild_service(directory, known.service)
    _rebuild_service(directory, replica.service)


def remove_entry(
    directory: Directory, replica_id: data.ReplicaId, now: float
) -> None:
    """Removes an entry, with a delay shortly after an outage.

    Args:
        directory: Replicas of all services.
        replica_id: Replica whose entry is no longer in the registry.
        now: Monotonic clock, seconds.
    """
    if replica_id not in directory.replicas:
        return
    due = directory.restored_at + REREGISTRATION_TIME
    if due > now:
        directory.removal_due.setdefault(replica_id, due)
    else:
        _drop(directory, replica_id)


def remove_unlisted(
    directory: Directory, listed: abc.Container[data.ReplicaId], now: float
) -> None:
    """Removes the entries that are missing from a complete listing."""
    for replica_id in list(directory.replicas):
        if replica_id not in listed:
            remove_entry(directory, replica_id, now)


def expire_entries(directory: Directory, now: float) -> list[data.ReplicaId]:
    """Drops the removed entries whose delay has ended.

    Returns:
        Ids of the dropped replicas.
    """
    due = [key for key, at in directory.removal_due.items() if at <= now]
    for replica_id in due:
        _drop(directory, replica_id)
    return due


def mark_misdirected(
    directory: Directory, replica: data.ListedReplica
) -> None:
    """Excludes a replica at whose address another replica answers.

    It stays excluded until its entry changes.
    """
    if directory.replicas.get(replica.replica_id) == replica:
        directory.misdirected.add(replica.replica_id)
        _rebuild_service(directory, replica.service)


def mark_departed(
    directory: Directory, departure: departure_tables.Departure, now: float
) -> bool:
    """Excludes a replica that said that it is leaving.

    Args:
        directory: Replicas of all services.
        departure: Departure that this or another node learned of.
        now: Monotonic clock, seconds.

    Returns:
        Whether it was new.
    """
    if not departure_tables.merge_departure(
        directory.departures, departure, now
    ):
        return False
    replica = directory.replicas.get(departure.replica_id)
    if replica is not None:
        _rebuild_service(directory, replica.service)
    return True


def _drop(directory, replica_id):
    directory.removal_due.pop(replica_id, None)
    directory.misdirected.discard(replica_id)
    _rebuild_service(directory, directory.replicas.pop(replica_id).service)


def _rebuild_service(directory, service):
    known = directory.by_service.get(service, ())
    directory.by_service[service] = tuple(
        replica
        for replica in directory.replicas.values()
        if replica.service == service
        and replica.state is data.ListedState.READY
        and replica.replica_id not in directory.misdirected
        and replica.dc not in directory.evacuated
        and not departure_tables.has_departed(directory.departures, replica)
    )
    addresses = {
        replica.replica_id: replica.address
        for replica in directory.by_service[service]
    }
    for replica in known:
        if addresses.get(replica.replica_id) != replica.address:
            directory.on_excluded(replica.replica_id)
