"""Shuts a node down in phases, without cutting off a request.

Work in progress is counted by kind. A phase ends when its kinds have
reached zero, which a condition signals, or when its limit has passed.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum
import time

from citronweir import telemetry

# The listener for other nodes stays open for this long after the last
# known work, since a peer that stops at the same moment may still send.
QUIET_TIME = 0.5  # seconds


class StopPhase(enum.Enum):
    """Phase of the shutdown; the order is the order of the phases."""

    RUNNING = 'running'
    ANNOUNCED = 'announced'
    CLOSED_TO_CALLERS = 'closed to callers'
    REQUESTS_DONE = 'requests done'
    RELAYS_DONE = 'relays done'
    STOPPED = 'stopped'


class WorkKind(enum.Enum):
    """Kind of work that a shutdown waits for."""

    REQUEST = 'requests of callers'
    RELAY = 'relayed sub-requests'
    OWNED = 'queued sub-requests'


@dataclasses.dataclass(slots=True)
class StopState:
    """State of the shutdown.

    Attributes:
        counts: Work in progress.
        last_end: Monotonic second at which the last work ended.
        idle: Set while no work of the kind is in progress.
    """

    phase: StopPhase
    counts: dict[WorkKind, int]
    idle: dict[WorkKind, asyncio.Event]
    last_end: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopDependencies:
    """What the shutdown does outside.

    Attributes:
        announce: Spreads LEAVING to every live member.
        close_callers: Stops accepting callers' connections.
        close_links: Closes the streams to other nodes.
        close_server: Closes the listener for other nodes.
    """

    announce: abc.Callable[[], None]
    close_callers: abc.Callable[[], abc.Awaitable[None]]
    close_links: abc.Callable[[], abc.Awaitable[None]]
    close_server: abc.Callable[[], abc.Awaitable[None]]


def make_stop_state() -> StopState:
    """Builds the state of a node that runs."""
    state = StopState(
        StopPhase.RUNNING,
        {kind: 0 for kind in WorkKind},
        {kind: asyncio.Event() for kind in WorkKind},
    )
    for event in state.idle.values():
        event.set()
    return state


def is_stopping(state: StopState) -> bool:
    """Returns whether the shutdown has begun.

    From then on ``/healthz`` says 503, and every reply to a caller asks
    to close the connection.
    """
    return state.phase is not StopPhase.RUNNING


@contextlib.contextmanager
def count_work(state: StopState, kind: WorkKind) -> abc.Iterator[None]:
    """Counts work for as long as the context lasts.

    Args:
        state: State of the shutdown.
        kind: Kind of the work.
    """
    state.counts[kind] += 1
    state.idle[kind].clear()
    try:
        yield
    finally:
        state.counts[kind] -= 1
        state.last_end = time.monotonic()
        if not state.counts[kind]:
            state.idle[kind].set()


async def stop_node(
    state: StopState,
    peers: StopDependencies,
    stop_grace: float,
    work_limit: float,
) -> bool:
    """Shuts the node down; new work is accepted until its phase ends.

    Callers' connections are accepted for ``stop_grace``, since the load
    balancer notices late. The listener for other nodes closes last: a
    peer may relay sub-requests until it has heard of LEAVING, and two
    nodes that stop together still need each other for their requests.

    Args:
        state: State of the shutdown.
        peers: What the shutdown does outside.
        stop_grace: Seconds for which new requests are still accepted.
        work_limit: Seconds to wait for work in progress, at least the
            longest deadline.

    Returns:
        Whether all work was finished.
    """
    _enter(state, StopPhase.ANNOUNCED)
    peers.announce()
    await asyncio.sleep(stop_grace)
    _enter(state, StopPhase.CLOSED_TO_CALLERS)
    await peers.close_callers()
    until = time.monotonic() + work_limit
    is_done = await _wait(state, (WorkKind.REQUEST,), until)
    _enter(state, StopPhase.REQUESTS_DONE)
    is_done &= await _wait_for_quiet(state, until)
    _enter(state, StopPhase.RELAYS_DONE)
    await peers.close_links()
    await peers.close_server()
    _enter(state, StopPhase.STOPPED)
    return is_done


async def _wait(state, kinds, until):
    for kind in kinds:
        try:
            async with asyncio.timeout_at(until):
                await state.idle[kind].wait()
        except TimeoutError:
            telemetry.log(
                telemetry.Event.STOP_LATE,
                count=state.counts[kind],
                kind=kind.value,
            )
            return False
    return True


async def _wait_for_quiet(state, until):
    """Waits until no work of any kind came for a while."""
    start = time.monotonic()
    while time.monotonic() < until and await _wait(state, WorkKind, until):
        left = max(start, state.last_end) + QUIET_TIME - time.monotonic()
        if left <= 0:
            if not any(state.counts.values()):
                return True
            continue
        await asyncio.sleep(left)
    return False


def _enter(state, phase):
    state.phase = phase
    telemetry.log(telemetry.Event.STOP_PHASE, phase=phase.value)
