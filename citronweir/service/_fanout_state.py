"""Holds the state of a search between its plan and its answer."""

import asyncio
import dataclasses

from citronweir import core
from citronweir.service import _peers as service_peers


@dataclasses.dataclass(slots=True, eq=False)
class PieceRun:
    """State of one piece.

    Attributes:
        splits: Times that its range was tiled again.
        sent: Sub-requests sent for it.
        in_flight: Those without an outcome.
        seen: Replicas that may have run it.
        first_sent_at: Monotonic second of the first.
        is_lost: Whether one may have run without a reply.
        is_replied: Whether a replica that ran one replied.
        settled: Whether no further reply counts.
        futures: Sub-requests without an outcome.
    """

    piece: core.Piece
    merge: core.Merge
    splits: int = 0
    tried: frozenset[core.ReplicaId] = frozenset()
    sent: int = 0
    in_flight: int = 0
    seen: int = 0
    first_sent_at: float = 0.0
    is_lost: bool = False
    is_replied: bool = False
    settled: bool = False
    futures: list[asyncio.Future] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class Fanout:
    """State of one search from its plan to its answer.

    Attributes:
        deadline: Monotonic second at which the search answers.
        budget: Seconds that the search had at its start.
        wait: Queue delay expected at the start, seconds.
        merges: Replies of the earlier plan, then of the current one.
        waiting: Pieces held back until the canary is done.
        open: Pieces that may still get a reply that counts.
        canary_seen: Replicas that may have run a canary without a reply.
        sheds: Sub-requests that were not run for lack of capacity.
        is_late: Whether the time was up before every piece was settled.
    """

    peers: service_peers.SearchDependencies
    budgets: core.Budgets
    req: core.SearchRequest
    rank: core.Rank
    trace: str
    deadline: float
    budget: float
    wait: float
    done: asyncio.Future[None]
    merges: list[core.Merge] = dataclasses.field(default_factory=list)
    waiting: list[PieceRun] = dataclasses.field(default_factory=list)
    open: dict[PieceRun, None] = dataclasses.field(default_factory=dict)
    canary: PieceRun | None = None
    hedge_timer: asyncio.TimerHandle | None = None
    verdict_timer: asyncio.TimerHandle | None = None
    canary_seen: int = 0
    sent: int = 0
    hedges: int = 0
    retries: int = 0
    replans: int = 0
    sheds: int = 0
    is_late: bool = False
