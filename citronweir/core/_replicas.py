"""Keeps the table of a data centre's replicas and plans searches on it."""

import collections
from collections import abc
import dataclasses
import random

from citronweir.core import _data as data
from citronweir.core import _health as health
from citronweir.core import _replica_merge as merging
from citronweir.core import _tiling as tiling

# Seconds for which a failed or draining replica that the VM list no
# longer names is kept; the list lags behind by tens of seconds.
GONE_TIME = 60.0


# Seconds for which the median latency of an index is kept.
MEDIAN_TIME = 1.0


@dataclasses.dataclass(slots=True)
class IndexGroup:
    """Usable replicas of an index, derived from the table.

    Attributes:
        holders: Replicas that hold a range, by snapshot and range.
        median: Median latency, as of ``median_at``.
    """

    version: int
    peers: frozenset[data.ReplicaId]
    holders: dict[
        tuple[data.SnapshotId, data.KeyRange], frozenset[data.ReplicaId]
    ]
    median: float = 0.0
    median_at: float = -MEDIAN_TIME


@dataclasses.dataclass(slots=True)
class ReplicaTable:
    """Replicas of a data centre as one node sees them.

    Attributes:
        observed: What this node observed of each replica.
        drains: Replicas that operators drain.
        leaving: Replicas that the VM list names as leaving.
        changed_at: Monotonic second of the last change of each replica.
        by_index: Replicas that hold some range of an index.
        versions: Grows with each change that matters to an index.
        plans: Cached plans with the version that they are of.
        groups: Cached groups to compare the replicas of an index.
        ejected: Ejected replicas with the end of the ejection.
    """

    replicas: dict[data.ReplicaId, data.Replica] = dataclasses.field(
        default_factory=dict
    )
    observed: dict[data.ReplicaId, health.Health] = dataclasses.field(
        default_factory=dict
    )
    drains: frozenset[data.ReplicaId] = frozenset()
    leaving: frozenset[data.ReplicaId] = frozenset()
    changed_at: dict[data.ReplicaId, float] = dataclasses.field(
        default_factory=dict
    )
    by_index: dict[data.IndexName, set[data.ReplicaId]] = dataclasses.field(
        default_factory=dict
    )
    versions: dict[data.IndexName, int] = dataclasses.field(
        default_factory=dict
    )
    plans: dict[data.IndexName, tuple[int, data.Plan | None]] = (
        dataclasses.field(default_factory=dict)
    )
    groups: dict[data.IndexName, IndexGroup] = dataclasses.field(
        default_factory=dict
    )
    ejected: dict[data.ReplicaId, float] = dataclasses.field(
        default_factory=dict
    )


def merge_into(
    table: ReplicaTable, replica: data.Replica, now: float
) -> data.Replica | None:
    """Merges a record into the table.

    Args:
        table: Replicas of the data centre.
        replica: New record.
        now: Monotonic clock, seconds.

    Returns:
        The changed record, to send on, or None if nothing changed.
    """
    known = table.replicas.get(replica.replica_id)
    merged = (
        replica if known is None else merging.merge_replica(known, replica)
    )
    if merged == known:
        return None
    if known is None or merged.epoch != known.epoch:
        table.observed[replica.replica_id] = health.Health()
    table.replicas[replica.replica_id] = merged
    table.changed_at[replica.replica_id] = now
    indexes = _indexes(merged) | _indexes(known)
    for index in indexes:
        members = table.by_index.setdefault(index, set())
        if index in _indexes(merged):
            members.add(replica.replica_id)
        else:
            members.discard(replica.replica_id)
    _touch(table, indexes)
    return merged


def mark_draining(
    table: ReplicaTable, replica_id: data.ReplicaId, now: float
) -> data.Replica | None:
    """Notes that a replica said it is draining.

    Returns:
        The changed record, to send on, or None if nothing changed.
    """
    known = table.replicas.get(replica_id)
    if known is None:
        return None
    draining = dataclasses.replace(known, state=data.ReplicaState.DRAINING)
    return merge_into(table, draining, now)


def set_drains(
    table: ReplicaTable, drains: abc.Iterable[data.ReplicaId]
) -> None:
    """Replaces the set of replicas that operators drain."""
    drains = frozenset(drains)
    changed = table.drains ^ drains
    table.drains = drains
    _touch_replicas(table, changed)


def set_leaving(
    table: ReplicaTable, leaving: abc.Iterable[data.ReplicaId]
) -> None:
    """Replaces the set of replicas that the VM list names as leaving."""
    leaving = frozenset(leaving)
    changed = table.leaving ^ leaving
    table.leaving = leaving
    _touch_replicas(table, changed)


def is_leaving(table: ReplicaTable, replica_id: data.ReplicaId) -> bool:
    """Returns whether any signal says that a replica takes no new work."""
    replica = table.replicas.get(replica_id)
    return (
        replica is None
        or replica.state is data.ReplicaState.DRAINING
        or replica_id in table.drains
        or replica_id in table.leaving
    )


def find_replica(
    table: ReplicaTable, replica_id: data.ReplicaId
) -> data.Replica | None:
    """Returns a record whose state is DRAINING by any drain signal."""
    replica = table.replicas.get(replica_id)
    if replica is None or not is_leaving(table, replica_id):
        return replica
    return dataclasses.replace(replica, state=data.ReplicaState.DRAINING)


def list_holdings(
    table: ReplicaTable,
    index: data.IndexName,
    states: abc.Collection[data.ReplicaState],
) -> list[tiling.HeldRange]:
    """Lists what replicas in some states hold of an index."""
    return [
        (replica_id, holding)
        for replica_id in sorted(table.by_index.get(index, ()))
        if table.replicas[replica_id].state in states
        and not is_leaving(table, replica_id)
        for holding in table.replicas[replica_id].holdings
        if holding.index == index
    ]


def plan_index(table: ReplicaTable, index: data.IndexName) -> data.Plan | None:
    """Plans a search of an index, from the cache if nothing changed.

    Warming replicas may hold nothing yet and failed ones may answer
    again, so they are used only where the ready ones leave a gap.

    Args:
        table: Replicas of the data centre.
        index: Index to search.

    Returns:
        The plan, or None if no replica holds the index.
    """
    version = table.versions.get(index, 0)
    cached = table.plans.get(index)
    if cached is not None and cached[0] == version:
        return cached[1]
    states = [data.ReplicaState.READY]
    plan = tiling.choose_plan(index, list_holdings(table, index, states))
    for state in (data.ReplicaState.WARMING, data.ReplicaState.FAILED):
        if plan is not None and tiling.planned_coverage(plan) >= 1.0:
            break
        states.append(state)
        wider = tiling.choose_plan(index, list_holdings(table, index, states))
        if wider is not None and (
            plan is None
            or tiling.planned_coverage(wider) > tiling.planned_coverage(plan)
        ):
            plan = wider
    if index in table.versions:
        table.plans[index] = (version, plan)
    return plan


def choose_replica(
    table: ReplicaTable,
    candidates: abc.Iterable[data.ReplicaId],
    tried: abc.Container[data.ReplicaId],
    rank: data.Rank,
    now: float,
    rng: random.Random,
) -> data.ReplicaId | None:
    """Chooses the replica of a piece that was not tried yet.

    Args:
        table: Replicas of the data centre.
        candidates: Replicas that hold the piece.
        tried: Replicas to leave out.
        rank: Rank of the sub-request.
        now: Monotonic clock, seconds.
        rng: Source of the choice.

    Returns:
        A ready replica, else one that warms up or fails its probes, or
        None if each candidate was tried, drains or is gone.
    """
    left = [
        item
        for item in candidates
        if item not in tried and not is_leaving(table, item)
    ]
    ready = [
        item
        for item in left
        if table.replicas[item].state is data.ReplicaState.READY
    ]
    return health.choose_replica(table.observed, ready or left, rank, now, rng)


def note_dispatched(
    table: ReplicaTable, replica_id: data.ReplicaId, rank: data.Rank
) -> None:
    """Notes that a sub-request is on its way to a replica."""
    if replica_id in table.observed:
        table.observed[replica_id].running[rank] += 1


def note_returned(
    table: ReplicaTable, replica_id: data.ReplicaId, rank: data.Rank
) -> None:
    """Notes that a sub-request is no longer on its way."""
    state = table.observed.get(replica_id)
    # The record may be of a later epoch, which does not count it.
    if state is not None and state.running[rank]:
        state.running[rank] -= 1


def record_outcome(
    table: ReplicaTable,
    replica_id: data.ReplicaId,
    outcome: data.SubOutcome,
    latency: float,
    now: float,
) -> None:
    """Records how a sub-request went, once for each that was sent.

    A sub-request that the sender gave up is recorded as SubNotRun with
    reason CANCELLED. A refusal with reason DRAINING does not mark the
    replica: it may be its owner that refused, on account of an
    operator's drain, which can be taken back.

    Args:
        table: Replicas of the data centre.
        replica_id: Where it was sent.
        outcome: How it went.
        latency: Seconds that the replica took.
        now: Monotonic clock, seconds.
    """
    state = table.observed.get(replica_id)
    if state is None:
        return
    if health.record(state, outcome, latency, now):
        _eject_outlier(table, replica_id, now)


def remove_gone(
    table: ReplicaTable, listed: abc.Container[data.ReplicaId], now: float
) -> list[data.ReplicaId]:
    """Removes replicas that no longer answer and are not in the VM list.

    Args:
        table: Replicas of the data centre.
        listed: Replicas in the VM list.
        now: Monotonic clock, seconds.

    Returns:
        What was removed.
    """
    ended = (data.ReplicaState.DRAINING, data.ReplicaState.FAILED)
    gone = [
        replica_id
        for replica_id, replica in table.replicas.items()
        if replica.state in ended
        and replica_id not in listed
        and now - table.changed_at[replica_id] >= GONE_TIME
    ]
    for replica_id in gone:
        indexes = _indexes(table.replicas.pop(replica_id))
        del table.observed[replica_id]
        del table.changed_at[replica_id]
        for index in indexes:
            table.by_index[index].discard(replica_id)
        _touch(table, indexes)
    return gone


def _eject_outlier(table, replica_id, now):
    replica = table.replicas[replica_id]
    if not replica.holdings:
        return
    state = table.observed[replica_id]
    group = _find_group(table, replica.holdings[0].index, now)
    if health.is_ejected(state, now) or not health.is_outlier(
        state, group.median
    ):
        return
    table.ejected = {
        item: until for item, until in table.ejected.items() if until > now
    }
    sharers = tuple(
        _find_group(table, item.index, now).holders.get(
            (item.snapshot, item.key_range), frozenset()
        )
        for item in replica.holdings
    )
    judged = health.Group(
        len(group.peers),
        group.peers & table.ejected.keys(),
        sharers,
        group.median,
    )
    if health.eject(state, judged, replica_id, now):
        table.ejected[replica_id] = state.ejected_until


def _find_group(table, index, now):
    version = table.versions.get(index, 0)
    group = table.groups.get(index)
    if group is None or group.version != version:
        held = list_holdings(table, index, (data.ReplicaState.READY,))
        holders = collections.defaultdict(set)
        for replica_id, holding in held:
            holders[holding.snapshot, holding.key_range].add(replica_id)
        group = IndexGroup(
            version,
            frozenset(replica_id for replica_id, _ in held),
            {key: frozenset(ids) for key, ids in holders.items()},
        )
        table.groups[index] = group
    if now - group.median_at >= MEDIAN_TIME:
        group.median_at = now
        group.median = health.find_median(
            table.observed[item] for item in group.peers
        )
    return group


def _indexes(replica):
    if replica is None:
        return set()
    return {holding.index for holding in replica.holdings}


def _touch_replicas(table, replica_ids):
    for replica_id in replica_ids:
        _touch(table, _indexes(table.replicas.get(replica_id)))


def _touch(table, indexes):
    for index in indexes:
        table.versions[index] = table.versions.get(index, 0) + 1
        table.plans.pop(index, None)
