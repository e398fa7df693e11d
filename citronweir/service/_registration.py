"""Keeps this node registered in the store.

The node's record is bound to a lease, so that the record of a dead node
expires. The store may end the lease early and remove the record without
notice. The node detects this in its own configuration and writes the record
again.
"""

import asyncio
from collections import abc
import dataclasses
import random

from citronweir import telemetry

# At the design size, 7,000 renewals in 5 s are 1,400 reads per second. A
# renewal counts as a tenth of a read.
LEASE_TTL = 15.0  # seconds
RENEW_INTERVAL = 5.0  # seconds
CHECK_INTERVAL = 0.5  # seconds between checks of the node's own record
# A written record appears in the configuration within this time.
MAX_VISIBILITY_DELAY = 4.0  # seconds
RETRY_INTERVAL = 1.0  # seconds after an unanswered call


@dataclasses.dataclass(slots=True)
class Registration:
    """State of this node's registration.

    Attributes:
        lease: Lease of the record, or None.
        renewed_at: Monotonic time of the last renewal, seconds.
        written_at: Monotonic time of the last write, seconds.
    """

    lease: object | None = None
    renewed_at: float = 0.0
    written_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryDependencies:
    """Functions that the registration calls.

    Attributes:
        now: Returns the monotonic time, seconds.
        rng: Source of the jitter.
        grant: Requests a lease with a lifetime in seconds; None without an
            answer.
        renew: Renews a lease and returns whether it is valid; None without
            an answer.
        write: Writes the record under a lease and returns whether the
            store answered.
        is_registered: Returns whether the configuration holds the record.
    """

    now: abc.Callable[[], float]
    rng: random.Random
    grant: abc.Callable[[float], abc.Awaitable[object | None]]
    renew: abc.Callable[[object], abc.Awaitable[bool | None]]
    write: abc.Callable[[object], abc.Awaitable[bool]]
    is_registered: abc.Callable[[], bool]


async def run_registration(
    deps: RegistryDependencies, state: Registration
) -> None:
    """Keeps the node registered until cancelled.

    Args:
        deps: Functions that the registration calls.
        state: State of the registration.
    """
    while True:
        try:
            is_answered = await _renew_or_write(deps, state)
        except Exception as exc:  # an unregistered node is asked by no other
            is_answered, state.lease = False, None
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR,
                task='registration',
                error=repr(exc),
            )
        wait = CHECK_INTERVAL if is_answered else RETRY_INTERVAL
        await asyncio.sleep(wait * deps.rng.uniform(0.7, 1.3))


async def _renew_or_write(deps, state):
    """Performs the next action due; returns whether the store answered."""
    now = deps.now()
    if state.lease is None:
        state.lease = await deps.grant(LEASE_TTL)
        if state.lease is None:
            return False
        state.renewed_at = now
        return await _write(deps, state)
    if now - state.renewed_at >= RENEW_INTERVAL:
        is_alive = await deps.renew(state.lease)
        if is_alive is None:
            return False
        state.renewed_at = now
        if not is_alive:
            state.lease = None
        return True
    if (
        not deps.is_registered()
        and now - state.written_at >= MAX_VISIBILITY_DELAY
    ):
        state.lease = None  # the store may have ended it and removed its keys
    return True


async def _write(deps, state):
    is_written = await deps.write(state.lease)
    if not is_written:
        state.lease = None
    state.written_at = deps.now()
    return is_written
