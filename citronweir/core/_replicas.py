"""Replica table of a data centre, search planning and replica selection."""

import collections
from collections import abc
import dataclasses
import random

from citronweir.core import _data as data
from citronweir.core import _health as health
from citronweir.core import _replica_merge as merging
from citronweir.core import _tiling as tiling

# Seconds without a change after which a failed or draining replica without a
# membership record is removed. New replicas become known from the VM list,
# which lags by tens of seconds.
REMOVAL_DELAY = 60.0
# Seconds for which the median latency of an index is cached.
MEDIAN_LIFETIME = 1.0


@dataclasses.dataclass(slots=True)
class IndexGroup:
    """Usable replicas of an index, cached from the replica table.

    Attributes:
        version: Version of the index that the group was built from.
        usable: All usable replicas of the index.
        holders: Replicas that hold a range, by snapshot and range.
        median: Median latency at ``median_at``, seconds.
        median_at: Monotonic second at which it was computed.
    """

    version: int
    usable: frozenset[data.ReplicaId]
    holders: dict[
        tuple[data.SnapshotId, data.KeyRange], frozenset[data.ReplicaId]
    ]
    median: float = 0.0
    median_at: float = -MEDIAN_LIFETIME


@dataclasses.dataclass(slots=True)
class ReplicaTable:
    """Replicas of a data centre as seen by one node.

    Attributes:
        replicas: Latest merged record of each replica.
        observed: Observations of each replica by this node.
        drains: Replicas that operators are draining.
        leaving: Replicas that the VM list marks as leaving.
        changed_at: Monotonic second of the last change of each replica.
        by_index: Replicas that hold some range of an index.
        versions: Version of each index, incremented when a record or a drain
            signal of one of its replicas changes.
        plans: Cached plans, each with the index version it was built for.
        groups: Cached groups for comparing the replicas of an index.
        ejected: Ejected replicas and the monotonic second at which each
            ejection ends.
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


def update_replica(
    table: ReplicaTable, replica: data.Replica, now: float
) -> data.Replica | None:
    """Merges a replica record into the table.

    Args:
        table: Replicas of the data centre.
        replica: New record.
        now: Monotonic clock, seconds.

    Returns:
        The merged record, to be forwarded, or None if nothing changed.
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
    indexes = _list_indexes(merged) | _list_indexes(known)
    for index in indexes:
        members = table.by_index.setdefault(index, set())
        if index in _list_indexes(merged):
            members.add(replica.replica_id)
        else:
            members.discard(replica.replica_id)
    _invalidate_indexes(table, indexes)
    return merged


def mark_draining(
    table: ReplicaTable, replica_id: data.ReplicaId, now: float
) -> data.Replica | None:
    """Marks a replica as draining, which is final within its epoch.

    Returns:
        The merged record, to be forwarded, or None if nothing changed.
    """
    known = table.replicas.get(replica_id)
    if known is None:
        return None
    draining = dataclasses.replace(known, state=data.ReplicaState.DRAINING)
    return update_replica(table, draining, now)


def set_drains(
    table: ReplicaTable, drains: abc.Iterable[data.ReplicaId]
) -> None:
    """Replaces the set of replicas that operators are draining."""
    drains = frozenset(drains)
    changed = table.drains ^ drains
    table.drains = drains
    _invalidate_replicas(table, changed)


def set_leaving(
    table: ReplicaTable, leaving: abc.Iterable[data.ReplicaId]
) -> None:
    """Replaces the set of replicas that the VM list marks as leaving."""
    leaving = frozenset(leaving)
    changed = table.leaving ^ leaving
    table.leaving = leaving
    _invalidate_replicas(table, changed)


def is_draining(table: ReplicaTable, replica_id: data.ReplicaId) -> bool:
    """Returns whether a replica takes no new work.

    That holds for an unknown replica and for one that is drained by its
    own report, an operator or the VM list.
    """
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
    """Returns the record of a replica, or None if it is unknown.

    Its state is DRAINING if any drain signal applies to the replica.
    """
    replica = table.replicas.get(replica_id)
    if replica is None or not is_draining(table, replica_id):
        return replica
    return dataclasses.replace(replica, state=data.ReplicaState.DRAINING)


def list_holdings(
    table: ReplicaTable,
    index: data.IndexName,
    states: abc.Collection[data.ReplicaState],
) -> list[tiling.HeldRange]:
    """Lists the holdings of an index at replicas in the given states.

    Draining replicas are left out, whichever signal drains them.
    """
    return [
        (replica_id, holding)
        for replica_id in sorted(table.by_index.get(index, ()))
        if table.replicas[replica_id].state in states
        and not is_draining(table, replica_id)
        for holding in table.replicas[replica_id].holdings
        if holding.index == index
    ]


def plan_index(table: ReplicaTable, index: data.IndexName) -> data.Plan | None:
    """Plans a search of an index, or returns the cached plan.

    Warming replicas may not have loaded any data yet, and failed ones
    may have recovered. Both are used only if the ready replicas do not
    cover the index, and failed ones only if warming ones do not help
    enough.

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
        extended = tiling.choose_plan(
            index, list_holdings(table, index, states)
        )
        if extended is not None and (
            plan is None
            or tiling.planned_coverage(extended)
            > tiling.planned_coverage(plan)
        ):
            plan = extended
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
    """Chooses a replica of a piece that has not been tried yet.

    Args:
        table: Replicas of the data centre.
        candidates: Replicas that hold the piece.
        tried: Replicas to exclude.
        rank: Rank of the sub-request.
        now: Monotonic clock, seconds.
        rng: Random number generator.

    Returns:
        A ready replica, otherwise one that is warming up or failing its
        probes, or None if every candidate has been tried, is draining or
        has been removed.
    """
    untried = [
        item
        for item in candidates
        if item not in tried and not is_draining(table, item)
    ]
    ready = [
        item
        for item in untried
        if table.replicas[item].state is data.ReplicaState.READY
    ]
    return health.choose_replica(
        table.observed, ready or untried, rank, now, rng
    )


def record_dispatched(
    table: ReplicaTable, replica_id: data.ReplicaId, rank: data.Rank
) -> None:
    """Counts a sub-request that was sent to a replica."""
    if replica_id in table.observed:
        table.observed[replica_id].in_flight[rank] += 1


def record_returned(
    table: ReplicaTable, replica_id: data.ReplicaId, rank: data.Rank
) -> None:
    """Ends the count of a sub-request that has an outcome."""
    state = table.observed.get(replica_id)
    # The count starts at zero with each epoch, so a sub-request that was
    # sent in an earlier epoch may be missing from it.
    if state is not None and state.in_flight[rank]:
        state.in_flight[rank] -= 1


def record_outcome(
    table: ReplicaTable,
    replica_id: data.ReplicaId,
    outcome: data.SubOutcome,
    latency: float,
    now: float,
) -> None:
    """Records the outcome of a sub-request; called once for each.

    A sub-request that was cancelled by its sender is recorded as
    SubNotRun with reason CANCELLED. A rejection with reason DRAINING
    does not mark the replica as draining: the owner may have rejected
    the sub-request because of an operator's drain, which can be undone.

    Args:
        table: Replicas of the data centre.
        replica_id: Replica that the sub-request was sent to.
        outcome: Outcome of the sub-request.
        latency: Seconds that the replica took.
        now: Monotonic clock, seconds.
    """
    state = table.observed.get(replica_id)
    if state is None:
        return
    if health.observe_outcome(state, outcome, latency, now):
        _eject_outlier(table, replica_id, now)


def prune_replicas(
    table: ReplicaTable, known: abc.Container[data.ReplicaId], now: float
) -> list[data.ReplicaId]:
    """Removes failed or draining replicas without a membership record.

    A replica is kept until its record has not changed for REMOVAL_DELAY.

    Args:
        table: Replicas of the data centre.
        known: Replicas with a membership record.
        now: Monotonic clock, seconds.

    Returns:
        Ids of the removed replicas.
    """
    inactive = (data.ReplicaState.DRAINING, data.ReplicaState.FAILED)
    removed = [
        replica_id
        for replica_id, replica in table.replicas.items()
        if replica.state in inactive
        and replica_id not in known
        and now - table.changed_at[replica_id] >= REMOVAL_DELAY
    ]
    for replica_id in removed:
        indexes = _list_indexes(table.replicas.pop(replica_id))
        del table.observed[replica_id]
        del table.changed_at[replica_id]
        for index in indexes:
            table.by_index[index].discard(replica_id)
        _invalidate_indexes(table, indexes)
    return removed


def _eject_outlier(table, replica_id, now):
    replica = table.replicas[replica_id]
    if not replica.holdings:
        return
    state = table.observed[replica_id]
    group = _get_group(table, replica.holdings[0].index, now)
    if health.is_ejected(state, now) or not health.is_outlier(
        state, group.median
    ):
        return
    table.ejected = {
        item: until for item, until in table.ejected.items() if until > now
    }
    range_holders = tuple(
        _get_group(table, item.index, now).holders.get(
            (item.snapshot, item.key_range), frozenset()
        )
        for item in replica.holdings
    )
    peer_group = health.PeerGroup(
        len(group.usable),
        group.usable & table.ejected.keys(),
        range_holders,
        group.median,
    )
    if health.try_eject(state, peer_group, replica_id, now):
        table.ejected[replica_id] = state.ejected_until


def _get_group(table, index, now):
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
    if now - group.median_at >= MEDIAN_LIFETIME:
        group.median_at = now
        group.median = health.median_latency(
            table.observed[item] for item in group.usable
        )
    return group


def _list_indexes(replica):
    if replica is None:
        return set()
    return {holding.index for holding in replica.holdings}


def _invalidate_replicas(table, replica_ids):
    for replica_id in replica_ids:
        _invalidate_indexes(
            table, _list_indexes(table.replicas.get(replica_id))
        )


def _invalidate_indexes(table, indexes):
    for index in indexes:
        table.versions[index] = table.versions.get(index, 0) + 1
        table.plans.pop(index, None)
