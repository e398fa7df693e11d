"""Defines the dependencies of a search on the rest of the node."""

from collections import abc
import dataclasses

from citronweir import core


@dataclasses.dataclass(frozen=True, slots=True)
class SearchDependencies:
    """Functions and shared state that a search uses.

    Attributes:
        now: Returns the monotonic time, seconds.
        wall_now: Returns the wall-clock time, seconds since the epoch.
        find_contract: Returns a contract by id, or None.
        plan: Plans an index; None without usable replicas.
        retile: Returns the pieces of an index and snapshot that cover a key
            range.
        choose_replica: Chooses a replica of a piece for a rank, apart from
            those already tried; None if there is none.
        send: Sends a sub-search to a replica. It may return a future, which
            saves the task that a coroutine needs.
        expected_wait: Estimates the seconds that a rank waits in queues:
            the longest wait over the pieces of a plan, each at its best
            replica.
        needs_canary: Returns whether one piece is sent alone before the
            others.
        is_quarantined: Returns whether the search is refused because it
            crashes upstreams.
        record: Records the report of each finished search.
        budgets: Hedge and retry budgets by rank.
        admission: Admission state of the searches running at this node.
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
