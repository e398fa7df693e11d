"""Closures through which a search reaches the rest of the node."""

from collections import abc
import dataclasses

from citronweir import core


@dataclasses.dataclass(frozen=True, slots=True)
class SearchDependencies:
    """What a search needs from outside.

    Attributes:
        now: Monotonic clock, seconds.
        wall_now: Wall clock, seconds since the epoch.
        find_contract: Contract by id, or None.
        plan: Plan for an index, or None without usable replicas.
        retile: Pieces of an index and snapshot within a range.
        choose_replica: Replica of a piece that was not tried yet, for
            a rank.
        send: Sends a sub-search to a replica. It may return a future;
            a coroutine costs a task more.
        expected_wait: Queue delay of the worst piece of a plan, at the
            best of its replicas, for a rank, seconds.
        needs_canary: Whether one piece goes first, alone.
        is_quarantined: Whether the search is refused because it crashes
            upstreams.
        record: Takes the report of each finished search.
        budgets: Budgets of hedges and retries by rank.
        admission: Running searches of the node.
    """

    now: abc.Callable[[], float]
    wall_now: abc.Callable[[], float]
    find_contract: abc.Callable[[core.ContractId], core.Contract | None]
    plan: abc.Callable[[core.IndexName], core.Plan | None]
    retile: abc.Callable[
        [core.IndexName, core.SnapshotId, core.KeyRange],
        tuple[core.Piece, ...],
    ]
    choose_replica: abc.Callable[
        [core.Piece, frozenset[core.ReplicaId], core.Rank],
        core.ReplicaId | None,
    ]
    send: abc.Callable[
        [core.ReplicaId, core.SubSearch], abc.Awaitable[core.SubOutcome]
    ]
    expected_wait: abc.Callable[[core.Plan, core.Rank], float]
    needs_canary: abc.Callable[[core.SearchRequest], bool]
    is_quarantined: abc.Callable[[core.SearchRequest], bool]
    record: abc.Callable[[core.SearchReport], None]
    budgets: abc.Mapping[core.Rank, core.Budgets]
    admission: core.Admission
