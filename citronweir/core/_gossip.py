"""Keeps the records that members exchange: merge, queue, checksums.

Members and replicas share one table, so that one piggyback queue and
one set of checksums spread and repair both.
"""

from collections import abc
import dataclasses
import heapq
import math

import xxhash

from citronweir.core import _data as data

MAX_UPDATES_PER_MESSAGE = 8  # records on one message
RETRANSMIT_FACTOR = 3  # times log2(n + 1)
NEWS_SENDS = 5  # messages on which a record counts as news
SUSPICION_TIMEOUT = 5.0  # seconds
BUCKETS = 256
# Records of dead members and of failed or draining replicas outlive a
# partition between regions of an hour, so that its stale records do not
# bring them back.
TOMBSTONE_TIME = 2 * 3600.0  # seconds

_PRECEDENCE = {
    data.MemberState.ALIVE: 0,
    data.MemberState.SUSPECT: 1,
    data.MemberState.LEAVING: 2,
    data.MemberState.DEAD: 3,
}
_ENDED = frozenset(
    (
        data.MemberState.DEAD,
        data.ReplicaState.DRAINING,
        data.ReplicaState.FAILED,
    )
)

Key = data.NodeId | tuple[data.ReplicaId]
MergeReplica = abc.Callable[[data.Replica, data.Replica], data.Replica]


@dataclasses.dataclass(slots=True)
class Queued:
    """Record that waits to ride on messages."""

    update: data.Update
    sent: int = 0


@dataclasses.dataclass(slots=True)
class Records:
    """Table of one node.

    Attributes:
        node_id: This node; its own record is in ``members``.
        merge_replica: Merges two records of a replica.
        by_address: Member that was last seen alive at an address.
        suspected: Monotonic second at which a suspected member is dead.
        ended_at: Monotonic second at which a record became a tombstone.
        sums: Checksum of each bucket, without tombstones.
        changes: Records that changed since the last ``take_changes``.
        version: Grows when the set of live members changes.
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
    ended_at: dict[Key, float] = dataclasses.field(default_factory=dict)
    queue: dict[Key, Queued] = dataclasses.field(default_factory=dict)
    sums: list[int] = dataclasses.field(default_factory=lambda: [0] * BUCKETS)
    changes: list[data.Update] = dataclasses.field(default_factory=list)
    version: int = 0


def make_records(own: data.Member, merge_replica: MergeReplica) -> Records:
    """Builds the table of a node that knows only itself."""
    records = Records(own.node_id, own.dc, merge_replica, {})
    _store_member(records, None, own, 0.0)
    return records


def get_own_member(records: Records) -> data.Member:
    """Returns the node's own record."""
    return records.members[records.node_id]


def set_own(records: Records, own: data.Member, now: float) -> None:
    """Replaces the node's own record and spreads it."""
    _store_member(records, get_own_member(records), own, now)
    _enqueue(records, own.node_id, own)


def merge_update(
    records: Records, update: data.Update, now: float, is_join: bool = False
) -> None:
    """Merges a record of another node and spreads it if it is news.

    Args:
        records: Table of this node.
        update: The record; a member is of this data centre.
        now: Monotonic second.
        is_join: Whether it came with the whole table. Such a record is
            not spread, since the others have it, and tombstones of
            unknown keys are kept. Otherwise these are dropped: nodes
            forget tombstones at different times, and would pass them
            round for ever.
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
    """Changes the state of a member on this node's own judgement."""
    old = records.members[node_id]
    new = dataclasses.replace(old, state=state)
    _store_member(records, old, new, now)
    _enqueue(records, node_id, new)


def select_updates(
    records: Records, first: abc.Iterable[data.Update] = ()
) -> tuple[data.Update, ...]:
    """Chooses the records that ride on a message.

    Args:
        records: Table of this node.
        first: Records that the receiver needs in any case.

    Returns:
        At most ``MAX_UPDATES`` records, the least often sent first.
    """
    updates = list(first)
    limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(records.members) + 1))
    chosen = heapq.nsmallest(
        MAX_UPDATES_PER_MESSAGE - len(updates),
        records.queue.items(),
        key=lambda item: item[1].sent,
    )
    for key, queued in chosen:
        updates.append(queued.update)
        queued.sent += 1
        if queued.sent >= limit:
            del records.queue[key]
    return tuple(updates)


def has_news(records: Records) -> bool:
    """Returns whether a record waits that few messages have carried."""
    return any(queued.sent < NEWS_SENDS for queued in records.queue.values())


def take_changes(records: Records) -> tuple[data.Update, ...]:
    """Returns the records that changed since the last call."""
    changes = tuple(records.changes)
    records.changes.clear()
    return changes


def list_records(
    records: Records, buckets: abc.Container[int] | None = None
) -> list[data.Update]:
    """Lists the records of some buckets, or all of them."""
    updates = [*records.members.values(), *records.replicas.values()]
    if buckets is None:
        return updates
    return [update for update in updates if _bucket(_key(update)) in buckets]


def end_suspicions(records: Records, now: float) -> None:
    """Declares the members dead that did not refute in time."""
    due = [key for key, at in records.suspicion_deadlines.items() if at <= now]
    for node_id in due:
        set_state(records, node_id, data.MemberState.DEAD, now)


def drop_tombstones(records: Records, now: float) -> None:
    """Forgets records that ended long ago."""
    for key, at in list(records.ended_at.items()):
        if now - at < TOMBSTONE_TIME:
            continue
        del records.ended_at[key]
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
        # It gets the time to refute: after a partition the other side
        # holds every member of this side for dead.
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
    """Settles two processes on one address: the older one is dead."""
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
        # A successor of this process runs elsewhere; two processes that
        # refute each other would never stop.
        return
    incarnation = data.Incarnation(update.incarnation + 1)
    set_own(records, dataclasses.replace(own, incarnation=incarnation), now)


def _merge_replica(records, new, now, is_join):
    old = records.replicas.get(new.replica_id)
    if old is None:
        if new.state in _ENDED and not is_join:
            return
        merged = new
    else:
        merged = records.merge_replica(old, new)
    if merged == old:
        return
    store_replica(records, merged, now, is_spread=not is_join)


def store_replica(
    records: Records, replica: data.Replica, now: float, is_spread: bool
) -> None:
    """Stores a merged record of a replica.

    Args:
        records: Table of this node.
        replica: The record that replaces what is there.
        now: Monotonic second.
        is_spread: Whether other nodes are to be told.
    """
    key = (replica.replica_id,)
    old = records.replicas.get(replica.replica_id)
    records.replicas[replica.replica_id] = replica
    _note(records, key, old, replica, now)
    if is_spread:
        _enqueue(records, key, replica)


def _store_member(records, old, new, now):
    records.members[new.node_id] = new
    _note(records, new.node_id, old, new, now)
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


def _note(records, key, old, new, now):
    bucket = _bucket(key)
    for record in (old, new):
        if record is not None and record.state not in _ENDED:
            records.sums[bucket] ^= _checksum(record)
    if new.state in _ENDED:
        records.ended_at.setdefault(key, now)
    else:
        records.ended_at.pop(key, None)
    records.changes.append(new)


def _enqueue(records, key, update):
    records.queue[key] = Queued(update)


def _precedence(member):
    return member.incarnation, _PRECEDENCE[member.state]


def _key(update):
    if isinstance(update, data.Replica):
        return (update.replica_id,)
    return update.node_id


def _bucket(key):
    name = key if isinstance(key, str) else key[0]
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


def _checksum(update):
    if isinstance(update, data.Replica):
        text = f'{update.replica_id} {update.epoch} {update.version}'
    else:
        text = f'{update.node_id} {update.incarnation}'
    return xxhash.xxh32_intdigest(f'{text} {update.state.value}'.encode())
