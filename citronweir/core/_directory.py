"""Keeps the replicas of each service as the platform's registry lists them.

An entry also disappears when its lease ran out while the registry was
away, so a removal counts only after the replica had time to register
again. A drain counts at once.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data

# Replicas whose entries lapsed while the registry was away are back about
# two seconds after its return; the rest covers the delay of a watch.
RETURN_TIME = 2.3  # seconds


@dataclasses.dataclass(slots=True)
class Directory:
    """Replicas that are listed, or may be again in a moment.

    Attributes:
        by_service: Replicas of each service that take new requests.
        gone_at: Monotonic second at which an entry that disappeared
            counts as gone.
        misplaced: Replicas whose address answers for another replica.
        restored_at: Monotonic second at which the registry was last
            reachable again.
    """

    replicas: dict[data.ReplicaId, data.ListedReplica] = dataclasses.field(
        default_factory=dict
    )
    by_service: dict[data.ServiceName, tuple[data.ListedReplica, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    gone_at: dict[data.ReplicaId, float] = dataclasses.field(
        default_factory=dict
    )
    misplaced: set[data.ReplicaId] = dataclasses.field(default_factory=set)
    restored_at: float = -RETURN_TIME


def list_usable(
    directory: Directory, service: data.ServiceName
) -> tuple[data.ListedReplica, ...]:
    """Lists the replicas of a service that take new requests."""
    return directory.by_service.get(service, ())


def note_registry_restored(directory: Directory, now: float) -> None:
    """Notes that the registry answers again after an outage."""
    directory.restored_at = now


def update_entry(directory: Directory, replica: data.ListedReplica) -> None:
    """Takes over an entry that was written."""
    known = directory.replicas.get(replica.replica_id)
    directory.gone_at.pop(replica.replica_id, None)
    if known == replica:
        return
    directory.misplaced.discard(replica.replica_id)
    directory.replicas[replica.replica_id] = replica
    if known is not None and known.service != replica.service:
        _rebuild(directory, known.service)
    _rebuild(directory, replica.service)


def remove_entry(
    directory: Directory, replica_id: data.ReplicaId, now: float
) -> None:
    """Notes that an entry is no longer listed.

    Args:
        directory: Replicas of all services.
        replica_id: Whose entry it was.
        now: Monotonic clock, seconds.
    """
    if replica_id not in directory.replicas:
        return
    due = directory.restored_at + RETURN_TIME
    if due > now:
        directory.gone_at.setdefault(replica_id, due)
    else:
        _drop(directory, replica_id)


def remove_unlisted(
    directory: Directory, listed: abc.Container[data.ReplicaId], now: float
) -> None:
    """Removes what a whole listing lacks."""
    for replica_id in list(directory.replicas):
        if replica_id not in listed:
            remove_entry(directory, replica_id, now)


def expire_entries(directory: Directory, now: float) -> list[data.ReplicaId]:
    """Drops the entries that had their time to return.

    Returns:
        The replicas that are gone.
    """
    due = [key for key, at in directory.gone_at.items() if at <= now]
    for replica_id in due:
        _drop(directory, replica_id)
    return due


def mark_misdirected(
    directory: Directory, replica: data.ListedReplica
) -> None:
    """Notes that another replica answers at a replica's address."""
    if directory.replicas.get(replica.replica_id) == replica:
        directory.misplaced.add(replica.replica_id)
        _rebuild(directory, replica.service)


def _drop(directory, replica_id):
    directory.gone_at.pop(replica_id, None)
    directory.misplaced.discard(replica_id)
    _rebuild(directory, directory.replicas.pop(replica_id).service)


def _rebuild(directory, service):
    directory.by_service[service] = tuple(
        replica
        for replica in directory.replicas.values()
        if replica.service == service
        and replica.state is data.ListedState.READY
        and replica.replica_id not in directory.misplaced
    )
