"""Shuts a node down in phases, without interrupting requests.

Work in progress is counted by kind. A phase ends when the counts of its
kinds are zero, which an event signals, or when its time limit has passed.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum
import time

from citronweir import telemetry

# The listener for other nodes stays open for this long after the last known
# work, since a peer that stops at the same time may still send sub-requests.
QUIET_PERIOD = 0.5  # seconds


class StopPhase(enum.Enum):
    """Phase of the shutdown, in the order of the phases."""

    RUNNING = 'running'
    ANNOUNCED = 'announced'
    CLOSED_TO_CALLERS = 'closed to callers'
    REQUESTS_DONE = 'requests done'
    RELAYS_DONE = 'relays done'
    STOPPED = 'stopped'


class WorkKind(enum.Enum):
    """Kind of work whose end a shutdown waits for."""

    REQUEST = 'requests of callers'
    RELAY = 'relayed sub-requests'
    OWNED = 'queued sub-requests'


@dataclasses.dataclass(slots=True)
class StopState:
    """State of the shutdown.

    Attributes:
        counts: Amount of work in progress, by kind.
        idle: Events by kind, set while no work of the kind is in progress.
        last_finished_at: Monotonic time at which work last ended, seconds.
    """

    phase: StopPhase
    counts: dict[WorkKind, int]
    idle: dict[WorkKind, asyncio.Event]
    last_finished_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopDependencies:
    """Functions that the shutdown calls.

    Attributes:
        announce: Sends the state LEAVING to every live member.
        close_callers: Stops accepting callers' connections.
        close_links: Closes the streams to other nodes.
        close_server: Closes the listener for other nodes.
    """

    announce: abc.Callable[[], None]
    close_callers: abc.Callable[[], abc.Awaitable[None]]
    close_links: abc.Callable[[], abc.Awaitable[None]]
    close_server: abc.Callable[[], abc.Awaitable[None]]


def make_stop_state() -> StopState:
    """Builds the state of a running node."""
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

    From then on ``/healthz`` returns 503, and every reply to a caller asks
    it to close the connection.
    """
    return state.phase is not StopPhase.RUNNING


@contextlib.contextmanager
def count_work(state: StopState, kind: WorkKind) -> abc.Iterator[None]:
    """Counts one piece of work as in progress within the context.

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
        state.last_finished_at = time.monotonic()
        if not state.counts[kind]:
            state.idle[kind].set()


async def stop_node(
    state: StopState,
    deps: StopDependencies,
    stop_grace: float,
    work_limit: float,
) -> bool:
    """Shuts the node down; each phase closes one source of new work.

    Callers' connections are accepted for ``stop_grace``, since the load
    balancer detects the shutdown with a delay. The listener for other nodes
    closes last: a peer may relay sub-requests until it has received LEAVING,
    and two nodes that stop together still relay requests to each other.

    Args:
        state: State of the shutdown.
        deps: Functions that the shutdown calls.
        stop_grace: Seconds for which new requests are still accepted.
        work_limit: Seconds to wait for work in progress, at least the
            longest deadline.

    Returns:
        Whether all work was finished.
    """
    _enter_phase(state, StopPhase.ANNOUNCED)
    deps.announce()
    await asyncio.sleep(stop_grace)
    _enter_phase(state, StopPhase.CLOSED_TO_CALLERS)
    await deps.close_callers()
    deadline = time.monotonic() + work_limit
    is_done = await _wait_for_idle(state, (WorkKind.REQUEST,), deadline)
    _enter_phase(state, StopPhase.REQUESTS_DONE)
    is_done &= await _wait_for_quiet(state, deadline)
    _enter_phase(state, StopPhase.RELAYS_DONE)
    await deps.close_links()
    await deps.close_server()
    _enter_phase(state, StopPhase.STOPPED)
    return is_done


async def _wait_for_idle(state, kinds, deadline):
    for kind in kinds:
        try:
            async with asyncio.timeout_at(deadline):
                await state.idle[kind].wait()
        except TimeoutError:
            telemetry.log(
                telemetry.Event.STOP_LATE,
                count=state.counts[kind],
                kind=kind.value,
            )
            return False
    return True


async def _wait_for_quiet(state, deadline):
    """Waits until all work has ended and the quiet period has passed."""
    start = time.monotonic()
    while time.monotonic() < deadline and await _wait_for_idle(
        state, WorkKind, deadline
    ):
        remaining = (
            max(start, state.last_finished_at)
            + QUIET_PERIOD
            - time.monotonic()
        )
        if remaining <= 0:
            if not any(state.counts.values()):
                return True
            continue
        await asyncio.sleep(remaining)
    return False


def _enter_phase(state, phase):
    state.phase = phase
    telemetry.log(telemetry.Event.STOP_PHASE, phase=phase.value)
