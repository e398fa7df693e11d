"""Merges, queues and checksums the records that members exchange.

Members and replicas share one table, one piggyback queue and one set of
checksums for anti-entropy.
"""

from collections import abc
import dataclasses
import heapq
import math

import xxhash

from citronweir.core import _data as data

MAX_UPDATES_PER_MESSAGE = 8
# A record is sent RETRANSMIT_FACTOR * log2(members + 1) times.
RETRANSMIT_FACTOR = 3
FRESH_SENDS = 5  # a queued record is fresh until it was sent this often
SUSPICION_TIMEOUT = 5.0  # seconds
BUCKET_COUNT = 256  # number of checksum buckets
# Tombstones must outlive a partition of one hour between regions, after
# which stale records would otherwise revive dead members and failed or
# draining replicas.
TOMBSTONE_RETENTION = 2 * 3600.0  # seconds

_PRECEDENCE = {
    data.MemberState.ALIVE: 0,
    data.MemberState.SUSPECT: 1,
    data.MemberState.LEAVING: 2,
    data.MemberState.DEAD: 3,
}
_TOMBSTONE_STATES = frozenset(
    (
        data.MemberState.DEAD,
        data.ReplicaState.DRAINING,
        data.ReplicaState.FAILED,
    )
)

Key = data.NodeId | tuple[data.ReplicaId]
MergeReplica = abc.Callable[[data.Replica, data.Replica], data.Replica]


@dataclasses.dataclass(slots=True)
class QueuedUpdate:
    """Record queued for piggybacking, and how often it was sent."""

    update: data.Update
    send_count: int = 0


@dataclasses.dataclass(slots=True)
class Records:
    """Member and replica records known to one node.

    Attributes:
        node_id: This node; its own record is in ``members``.
        merge_replica: Merges two records of a replica.
        by_address: Member that was last seen alive at an address.
        suspicion_deadlines: Monotonic time at which a suspected member is
            declared dead, seconds.
        tombstoned_at: Monotonic time at which a record became a tombstone,
            seconds.
        queue: Records to piggyback on messages.
        sums: Checksum of each bucket, without tombstones.
        changes: Records that changed since the last ``pop_changes``.
        version: Increases when a member is added or its state or address
            changes.
    """

    node_id: data.NodeId
    dc: data.DataCentre
    merge_replica: MergeReplica
    members: dict[data.NodeId, data.Member]
    replicas: dict[data.ReplicaId, data.Replica] = dataclasses.field(
        default_factory=dict
    )
    by_address: dict[data.Address, data.NodeId] = dataclasses.field(
        default_factory=dict
    )
    suspicion_deadlines: dict[data.NodeId, float] = dataclasses.field(
        default_factory=dict
    )
    tombstoned_at: dict[Key, float] = dataclasses.field(default_factory=dict)
    queue: dict[Key, QueuedUpdate] = dataclasses.field(default_factory=dict)
    sums: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKET_COUNT
    )
    changes: list[data.Update] = dataclasses.field(default_factory=list)
    version: int = 0


def make_records(own: data.Member, merge_replica: MergeReplica) -> Records:
    """Creates the table of a node that knows only itself."""
    records = Records(own.node_id, own.dc, merge_replica, {})
    _store_member(records, None, own, 0.0)
    return records


def get_own_member(records: Records) -> data.Member:
    """Returns the record of this node."""
    return records.members[records.node_id]


def set_own_member(records: Records, own: data.Member, now: float) -> None:
    """Replaces the record of this node and queues it for gossip."""
    _store_member(records, get_own_member(records), own, now)
    _enqueue(records, own.node_id, own)


def merge_update(
    records: Records, update: data.Update, now: float, is_join: bool = False
) -> None:
    """Merges a received record and queues it for gossip if it is newer.

    Args:
        records: Table of this node.
        update: Received record; members must be of this data centre.
        now: Monotonic time, seconds.
        is_join: Whether the record is part of a full table. Such a record
            is not queued, since the other members have it, and a tombstone
            of an unknown key is kept. Otherwise such a tombstone is
            dropped: nodes discard tombstones at different times and would
            keep sending them to each other forever.
    """
    if isinstance(update, data.Replica):
        _merge_replica(records, update, now, is_join)
    elif update.node_id == records.node_id:
        _refute(records, update, now)
    else:
        _merge_member(records, update, now, is_join)


def set_state(
    records: Records,
    node_id: data.NodeId,
    state: data.MemberState,
    now: float,
) -> None:
    """Sets the state that this node has determined for a member."""
    old = records.members[node_id]
    new = dataclasses.replace(old, state=state)
    _store_member(records, old, new, now)
    _enqueue(records, node_id, new)


def select_updates(
    records: Records, required: abc.Iterable[data.Update] = ()
) -> tuple[data.Update, ...]:
    """Selects the records to piggyback on a message.

    Each selection counts as a transmission.

    Args:
        records: Table of this node.
        required: Records that the message must carry.

    Returns:
        The required records, then the least often sent ones, at most
        ``MAX_UPDATES_PER_MESSAGE`` in all.
    """
    updates = list(required)
    limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(records.members) + 1))
    chosen = heapq.nsmallest(
        MAX_UPDATES_PER_MESSAGE - len(updates),
        records.queue.items(),
        key=lambda item: item[1].send_count,
    )
    for key, queued in chosen:
        updates.append(queued.update)
        queued.send_count += 1
        if queued.send_count >= limit:
            del records.queue[key]
    return tuple(updates)


def has_fresh_updates(records: Records) -> bool:
    """Returns whether a queued record has been sent only a few times."""
    return any(
        queued.send_count < FRESH_SENDS for queued in records.queue.values()
    )


def pop_changes(records: Records) -> tuple[data.Update, ...]:
    """Returns and clears the records that changed since the last call."""
    changes = tuple(records.changes)
    records.changes.clear()
    return changes


def list_records(
    records: Records, buckets: abc.Container[int] | None = None
) -> list[data.Update]:
    """Lists the records in given buckets, or all records."""
    updates = [*records.members.values(), *records.replicas.values()]
    if buckets is None:
        return updates
    return [update for update in updates if _bucket(_key(update)) in buckets]


def expire_suspicions(records: Records, now: float) -> None:
    """Declares suspected members dead whose refutation is overdue."""
    due = [key for key, at in records.suspicion_deadlines.items() if at <= now]
    for node_id in due:
        set_state(records, node_id, data.MemberState.DEAD, now)


def drop_tombstones(records: Records, now: float) -> None:
    """Deletes tombstones that are older than the retention."""
    for key, at in list(records.tombstoned_at.items()):
        if now - at < TOMBSTONE_RETENTION:
            continue
        del records.tombstoned_at[key]
        records.queue.pop(key, None)
        if isinstance(key, tuple):
            del records.replicas[key[0]]
        else:
            del records.members[key]


def _merge_member(records, new, now, is_join):
    old = records.members.get(new.node_id)
    is_dead = new.state is data.MemberState.DEAD
    if old is None:
        if is_dead and not is_join:
            return
    elif _precedence(new) <= _precedence(old):
        return
    elif is_dead and old.state in (
        data.MemberState.ALIVE,
        data.MemberState.SUSPECT,
    ):
        # The member is only suspected first, so that it can refute: after
        # a partition, the other side considers all members on this side
        # dead.
        new = dataclasses.replace(new, state=data.MemberState.SUSPECT)
        if _precedence(new) <= _precedence(old):
            return
    if new.state is data.MemberState.ALIVE and _is_superseded(
        records, new, now
    ):
        return
    _store_member(records, old, new, now)
    if not is_join:
        _enqueue(records, new.node_id, new)


def _is_superseded(records, new, now):
    """Returns whether a newer process has taken over the member's address.

    This node never yields its own address. If the new record is the newer
    one, the older process at its address is declared dead.
    """
    other_id = records.by_address.get(new.address)
    other = records.members.get(other_id)
    if (
        other is None
        or other_id == new.node_id
        or other.state is data.MemberState.DEAD
        or other.address != new.address
    ):
        return False
    if other.incarnation > new.incarnation or other_id == records.node_id:
        return True
    set_state(records, other_id, data.MemberState.DEAD, now)
    return False


def _refute(records, update, now):
    own = get_own_member(records)
    if _precedence(update) <= _precedence(own):
        return
    if (
        update.state is data.MemberState.ALIVE
        and update.address != own.address
    ):
        # A newer process with this node id runs at another address. If
        # both refuted each other, they would never stop.
        return
    incarnation = data.Incarnation(update.incarnation + 1)
    set_own_member(
        records, dataclasses.replace(own, incarnation=incarnation), now
    )


def _merge_replica(records, new, now, is_join):
    old = records.replicas.get(new.replica_id)
    if old is None:
        if new.state in _TOMBSTONE_STATES and not is_join:
            return
        merged = new
    else:
        merged = records.merge_replica(old, new)
    if merged == old:
        return
    store_replica(records, merged, now, should_enqueue=not is_join)


def store_replica(
    records: Records, replica: data.Replica, now: float, should_enqueue: bool
) -> None:
    """Stores a merged record of a replica.

    Args:
        records: Table of this node.
        replica: Record that replaces the known one.
        now: Monotonic time, seconds.
        should_enqueue: Whether to queue the record for gossip.
    """
    key = (replica.replica_id,)
    old = records.replicas.get(replica.replica_id)
    records.replicas[replica.replica_id] = replica
    _update_indexes(records, key, old, replica, now)
    if should_enqueue:
        _enqueue(records, key, replica)


def _store_member(records, old, new, now):
    records.members[new.node_id] = new
    _update_indexes(records, new.node_id, old, new, now)
    if new.state is data.MemberState.SUSPECT:
        records.suspicion_deadlines.setdefault(
            new.node_id, now + SUSPICION_TIMEOUT
        )
    else:
        records.suspicion_deadlines.pop(new.node_id, None)
    if new.state is data.MemberState.ALIVE:
        records.by_address[new.address] = new.node_id
    if old is None or (old.state, old.address) != (new.state, new.address):
        records.version += 1


def _update_indexes(records, key, old, new, now):
    bucket = _bucket(key)
    for record in (old, new):
        if record is not None and record.state not in _TOMBSTONE_STATES:
            records.sums[bucket] ^= _checksum(record)
    if new.state in _TOMBSTONE_STATES:
        records.tombstoned_at.setdefault(key, now)
    else:
        records.tombstoned_at.pop(key, None)
    records.changes.append(new)


def _enqueue(records, key, update):
    records.queue[key] = QueuedUpdate(update)


def _precedence(member):
    return member.incarnation, _PRECEDENCE[member.state]


def _key(update):
    if isinstance(update, data.Replica):
        return (update.replica_id,)
    return update.node_id


def _bucket(key):
    name = key if isinstance(key, str) else key[0]
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT


def _checksum(update):
    if isinstance(update, data.Replica):
        text = f'{update.replica_id} {update.epoch} {update.version}'
    else:
        text = f'{update.node_id} {update.incarnation}'
    return xxhash.xxh32_intdigest(f'{text} {update.state.value}'.encode())
