"""Keeps the record of this node in the store alive.

The record lies under a lease, so that a node which dies disappears. The
store may end the lease early and remove the record without telling; the
node sees that in its own configuration and writes it again.
"""

import asyncio
from collections import abc
import dataclasses
import random

# At the size to design for, 7,000 renewals in 5 s are 1,400 reads a
# second, of which each counts as a tenth.
LEASE_TIME = 15.0  # seconds
RENEW_INTERVAL = 5.0  # seconds
CHECK_INTERVAL = 0.5  # seconds between looks at the node's own record
# A record that was written shows in the configuration within this time.
SHOW_TIME = 4.0  # seconds
RETRY_INTERVAL = 1.0  # seconds after a call without an answer


@dataclasses.dataclass(slots=True)
class Registration:
    """State of the record of this node.

    Attributes:
        lease: Lease of the record, or None.
        renewed_at: Monotonic second of the last renewal.
        written_at: Monotonic second of the last write.
    """

    lease: object | None = None
    renewed_at: float = 0.0
    written_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RegistryDependencies:
    """What the registration needs from outside.

    Attributes:
        now: Monotonic clock, seconds.
        rng: Source of the jitter.
        grant: Asks for a lease; None without an answer.
        renew: Renews a lease: whether it lives, None without an answer.
        write: Writes the record; whether it was answered.
        is_shown: Whether the configuration holds the record.
    """

    now: abc.Callable[[], float]
    rng: random.Random
    grant: abc.Callable[[float], abc.Awaitable[object | None]]
    renew: abc.Callable[[object], abc.Awaitable[bool | None]]
    write: abc.Callable[[object], abc.Awaitable[bool]]
    is_registered: abc.Callable[[], bool]


async def run_registration(
    peers: RegistryDependencies, state: Registration
) -> None:
    """Keeps the record alive until it is cancelled.

    Args:
        peers: What the registration needs from outside.
        state: State of the record.
    """
    while True:
        is_answered = await _step(peers, state)
        wait = CHECK_INTERVAL if is_answered else RETRY_INTERVAL
        await asyncio.sleep(wait * peers.rng.uniform(0.7, 1.3))


async def _step(peers, state):
    """Does what is due next; returns whether the store answered."""
    now = peers.now()
    if state.lease is None:
        state.lease = await peers.grant(LEASE_TIME)
        if state.lease is None:
            return False
        state.renewed_at = now
        return await _write(peers, state)
    if now - state.renewed_at >= RENEW_INTERVAL:
        is_alive = await peers.renew(state.lease)
        if is_alive is None:
            return False
        state.renewed_at = now
        if not is_alive:
            state.lease = None
        return True
    if not peers.is_registered() and now - state.written_at >= SHOW_TIME:
        state.lease = None  # its keys may have been taken away with it
    return True


async def _write(peers, state):
    is_written = await peers.write(state.lease)
    if not is_written:
        state.lease = None
    state.written_at = peers.now()
    return is_written
