"""State of a search between its plan and its answer."""

import asyncio
import dataclasses

from citronweir import core
from citronweir.service import _search_dependencies as search_dependencies


@dataclasses.dataclass(slots=True, eq=False)
class PieceRun:
    """State of the sub-requests of one piece.

    Attributes:
        retile_count: Number of times that its range was tiled again.
        tried: Replicas that a sub-request was sent to.
        sent: Number of sub-requests sent.
        in_flight: Number of sub-requests without an outcome.
        replicas_reached: Number of replicas that may have run a sub-request.
        first_sent_at: Monotonic time of the first sub-request, seconds.
        is_lost: Whether a sub-request may have run without a reply.
        is_replied: Whether a replica replied after running a sub-request.
        is_settled: Whether further replies are ignored.
        futures: Futures of all sub-requests.
    """

    piece: core.Piece
    merge: core.Merge
    retile_count: int = 0
    tried: frozenset[core.ReplicaId] = frozenset()
    sent: int = 0
    in_flight: int = 0
    replicas_reached: int = 0
    first_sent_at: float = 0.0
    is_lost: bool = False
    is_replied: bool = False
    is_settled: bool = False
    futures: list[asyncio.Future] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class Fanout:
    """State of one search from its plan to its answer.

    Attributes:
        deadline: Monotonic time by which the search is answered, seconds.
        budget: Time budget of the search at its start, seconds.
        expected_wait: Expected queue delay at the start, seconds.
        merges: Replies to each plan; the last one is the current plan.
        held_runs: Pieces held back until the canary has succeeded.
        open_runs: Pieces that are not settled.
        canary: Piece that was sent as the canary, if one is required.
        canary_replicas_reached: Number of replicas that may have run a canary
            without a reply.
        sent: Number of sub-requests sent.
        sheds: Number of sub-requests rejected for lack of capacity.
        is_late: Whether the deadline passed before all pieces were settled.
    """

    deps: search_dependencies.SearchDependencies
    budgets: core.Budgets
    req: core.SearchRequest
    rank: core.Rank
    trace: str
    deadline: float
    budget: float
    expected_wait: float
    done: asyncio.Future[None]
    merges: list[core.Merge] = dataclasses.field(default_factory=list)
    held_runs: list[PieceRun] = dataclasses.field(default_factory=list)
    open_runs: dict[PieceRun, None] = dataclasses.field(default_factory=dict)
    canary: PieceRun | None = None
    hedge_timer: asyncio.TimerHandle | None = None
    crash_check_timer: asyncio.TimerHandle | None = None
    canary_replicas_reached: int = 0
    sent: int = 0
    hedges: int = 0
    retries: int = 0
    replans: int = 0
    sheds: int = 0
    is_late: bool = False
