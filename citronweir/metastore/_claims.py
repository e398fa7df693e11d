"""Reads and writes claims in the key-value service.

Claims made within one hour share a lease, so that the service deletes
them on its own and a node requests only about one lease per hour.
"""

import asyncio
from collections import abc
import dataclasses
import functools
import time

import aiohttp

from citronweir import core
from citronweir import telemetry
from citronweir.metastore import _claim_records as records
from citronweir.metastore import _kv as kv
from citronweir.metastore import _limits as call_limits

# A new claim takes the tokens of its own write and of the write that settles
# it. The limit on writes then refuses new orders instead of losing the
# results of orders that have run.
CLAIM_COST = 2.0  # writes
# Lets a call still settle a claim at the end of its deadline.
MIN_CALL_TIMEOUT = 0.1  # seconds


@dataclasses.dataclass(slots=True)
class LeaseState:
    """Current lease, to which new claims are attached.

    Attributes:
        requested_mono: Monotonic time just before the lease request,
            seconds.
        requested_wall: Wall-clock time just before the lease request,
            seconds since the epoch.
        grant: Lease request in progress. Concurrent orders share it, so
            that no order has to wait for one failed request after another.
    """

    lease_id: int = 0
    requested_mono: float = 0.0
    requested_wall: float = 0.0
    grant: asyncio.Task | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStore:
    """Calls that read and write the claims of orders."""

    read: abc.Callable[
        [core.ClaimKey, float], abc.Awaitable[core.ClaimReadReply]
    ]
    write: abc.Callable[
        [core.ClaimKey, core.WriteClaim, float],
        abc.Awaitable[core.ClaimWriteReply],
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _KvCalls:
    read_key: abc.Callable
    compare_and_set: abc.Callable
    grant_lease: abc.Callable
    now: abc.Callable[[], float]
    wall_now: abc.Callable[[], float]


def make_claim_store(
    session: aiohttp.ClientSession,
    url: str,
    limits: call_limits.CallLimits | None = None,
    now: abc.Callable[[], float] = time.monotonic,
    wall_now: abc.Callable[[], float] = time.time,
) -> ClaimStore:
    """Builds the claim store of one node; its claims share a lease.

    Args:
        session: Client session.
        url: Base URL of the service.
        limits: Rate limits of the calls, or None for no limit.
        now: Monotonic clock, seconds.
        wall_now: Wall clock, seconds since the epoch.

    Returns:
        The functions with which orders read and write claims.
    """
    state = LeaseState()
    calls = _KvCalls(
        functools.partial(kv.read_key, session, url, limits=limits),
        functools.partial(kv.compare_and_set, session, url, limits=limits),
        functools.partial(kv.grant_lease, session, url, limits=limits),
        now,
        wall_now,
    )

    async def read(key, deadline):
        return await _read(calls, key, deadline)

    async def write(key, step, deadline):
        return await _write(calls, state, key, step, deadline)

    return ClaimStore(read, write)


async def _read(calls, key, deadline):
    timeout = _clamp_timeout(deadline - calls.now())
    reply = await calls.read_key(records.claim_key(key), timeout=timeout)
    if isinstance(reply, kv.KvError):
        _log_failure('range', reply)
        return core.ClaimUnread()
    return core.ClaimFound(_decode_pair(reply[0]))


async def _write(calls, state, key, step, deadline):
    is_first = step.expected == core.NO_REVISION
    lease = 0
    if is_first:
        lease = await _ensure_lease(calls, state, deadline)
        if lease is None:
            return core.ClaimUnsent()
    is_claim = step.claim.state is core.ClaimState.CLAIMED
    reply = await calls.compare_and_set(
        records.claim_key(key),
        records.encode_claim(step.claim),
        step.expected,
        lease,
        keep_lease=not is_first,
        cost=CLAIM_COST if is_claim else 0.0,
        timeout=_clamp_timeout(deadline - calls.now()),
    )
    _discard_lost_lease(state, lease, reply)
    return _to_write_reply(reply)


async def _ensure_lease(calls, state, deadline):
    if not _is_lease_usable(calls, state):
        if state.grant is None or state.grant.done():
            state.grant = asyncio.create_task(_grant(calls, state))
        timeout = _clamp_timeout(deadline - calls.now())
        await asyncio.wait((state.grant,), timeout=timeout)
    return state.lease_id if _is_lease_usable(calls, state) else None


async def _grant(calls, state):
    mono, wall = calls.now(), calls.wall_now()
    reply = await calls.grant_lease(core.LEASE_TTL)
    if isinstance(reply, kv.KvError):
        _log_failure('grant', reply)
    else:
        state.lease_id, state.requested_mono, state.requested_wall = (
            reply.lease_id,
            mono,
            wall,
        )


def _discard_lost_lease(state, lease, reply):
    if not isinstance(reply, kv.KvError) or lease != state.lease_id:
        return
    if reply.fault is kv.KvFault.LEASE_GONE:
        telemetry.log(telemetry.Event.CLAIM_LEASE_LOST, lease=lease)
        state.lease_id = 0


def _is_lease_usable(calls, state):
    mono, wall = calls.now(), calls.wall_now()
    # While the VM is paused, either clock may stop or jump.
    age = max(mono - state.requested_mono, wall - state.requested_wall)
    return (
        state.lease_id
        and age < core.LEASE_CLAIM_PERIOD
        and wall >= state.requested_wall
    )


def _clamp_timeout(remaining):
    return min(kv.CALL_TIMEOUT, max(MIN_CALL_TIMEOUT, remaining))


def _to_write_reply(reply):
    match reply:
        case kv.Applied(revision):
            return core.ClaimWritten(core.Revision(revision))
        case kv.Conflict(current):
            return core.ClaimConflict(_decode_pair(current))
    _log_failure('txn', reply)
    if kv.is_not_applied(reply):
        return core.ClaimUnsent()
    return core.ClaimUncertain()


def _decode_pair(pair):
    if pair is None:
        return None
    revision = core.Revision(pair.revision)
    claim, errors = records.decode_claim(pair.value)
    if errors:
        # Treated as claimed by another attempt, which may have sent the order.
        telemetry.log(
            telemetry.Event.CLAIM_MALFORMED, key=pair.key, error=errors[0]
        )
        return core.Claim(
            core.ClaimState.CLAIMED,
            core.ClaimToken(''),
            core.NodeId(''),
            revision=revision,
        )
    return dataclasses.replace(claim, revision=revision)


def _log_failure(call, error):
    telemetry.log(
        telemetry.Event.PLATFORM_UNAVAILABLE, call=call, error=error.detail
    )
