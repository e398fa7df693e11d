"""Fake of the claim store and the upstream for tests of the order flow.

It needs no event loop: each callback yields its call to the test, which
decides when and with which fault to answer it. A test can therefore
cover every interleaving.
"""

import dataclasses
import enum
import types
import uuid

from citronweir import core
from citronweir import service

CONTRACT = core.Contract(
    core.ContractId('c'), core.Rank.URGENT, 2.0, 0.0, 1e12
)
INDEX = core.IndexName('parts')
REPLICA = core.ReplicaId('r1')
START_WALL_TIME = 1_800_000_000.0  # seconds since 1970 at time 0


class Fault(enum.Enum):
    """Fault that applies to one call."""

    NONE = 'none'
    REPLY_LOST = 'reply lost after the effect'
    DELAYED = 'no reply; the effect comes later'
    DROPPED = 'no reply and no effect'
    REFUSED = 'certainly no effect'
    STALE = 'read of an older record'


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Write of a claim.

    Attributes:
        lease_end: Time in seconds at which the oldest lease that the
            write may use ends.
    """

    key: core.ClaimKey
    step: core.WriteClaim
    lease_end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read of a claim."""

    key: core.ClaimKey


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Dispatch of a sub-order to an upstream."""

    sub_order: core.SubOrder


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One attempt to run an order.

    Attributes:
        coro: Coroutine of the order flow.
        is_first: Whether the caller marked it as the first attempt.
        call: Call that the coroutine waits for.
        dispatched: Whether a dispatch may have reached the upstream.
    """

    coro: object
    request_id: core.RequestId
    is_first: bool
    call: object = None
    dispatched: bool = False


@dataclasses.dataclass(slots=True)
class Simulation:
    """Simulated store, upstream and clock.

    Attributes:
        now: Time in seconds.
        records: Current claim records by key.
        lease_ends: Time at which the lease of each record ends.
        history: All records written for each key, oldest first.
        delayed: Writes that have yet to take effect.
        runs: Results of an order's runs at the upstream by request id.
        tokens: Number of claim tokens issued.
    """

    now: float = 0.0
    revision: int = 0
    records: dict = dataclasses.field(default_factory=dict)
    lease_ends: dict = dataclasses.field(default_factory=dict)
    history: dict = dataclasses.field(default_factory=dict)
    delayed: list = dataclasses.field(default_factory=list)
    runs: dict = dataclasses.field(default_factory=dict)
    tokens: int = 0


@types.coroutine
def _yield_call(call):
    return (yield call)


def make_dependencies(
    simulation: Simulation, node: str
) -> service.OrderDependencies:
    """Builds the callbacks of one node, which yield their calls."""

    def make_token():
        simulation.tokens += 1
        return core.ClaimToken(f't{simulation.tokens}')

    async def write(key, step, deadline):
        lease_end = simulation.now + core.LEASE_TTL - core.LEASE_CLAIM_PERIOD
        return await _yield_call(Write(key, step, lease_end))

    async def read(key, deadline):
        return await _yield_call(Read(key))

    async def send(replica_id, sub_order):
        return await _yield_call(Send(sub_order))

    return service.OrderDependencies(
        core.NodeId(node),
        lambda: simulation.now,
        lambda: START_WALL_TIME + simulation.now,
        make_token,
        lambda contract_id: CONTRACT,
        lambda index: REPLICA,
        read,
        write,
        send,
    )


def make_id(wall: float, number: int) -> core.RequestId:
    """Builds a UUIDv7 for a wall-clock time in seconds."""
    timestamp_bits = int(wall * 1000) << 80
    return core.RequestId(
        str(uuid.UUID(int=timestamp_bits | 7 << 76 | 2 << 62 | number))
    )


def delete_expired_claims(simulation: Simulation) -> None:
    """Deletes the claims whose lease has ended."""
    for key, end in list(simulation.lease_ends.items()):
        if end <= simulation.now:
            del simulation.records[key], simulation.lease_ends[key]


def apply_write(simulation: Simulation, write: Write) -> core.ClaimWriteReply:
    """Applies a write and returns its reply."""
    key, step = write.key, write.step
    current = simulation.records.get(key)
    if step.expected != (current.revision if current else 0):
        return core.ClaimConflict(current)
    if current is None and write.lease_end <= simulation.now:
        return core.ClaimUnsent()
    simulation.revision += 1
    revision = core.Revision(simulation.revision)
    record = dataclasses.replace(step.claim, revision=revision)
    simulation.records[key] = record
    simulation.history.setdefault(key, []).append(record)
    simulation.lease_ends.setdefault(key, write.lease_end)
    return core.ClaimWritten(revision)


def answer_write(
    simulation: Simulation, write: Write, fault: Fault
) -> core.ClaimWriteReply:
    """Handles a write under a fault and returns its reply."""
    match fault:
        case Fault.REFUSED:
            return core.ClaimUnsent()
        case Fault.DELAYED:
            simulation.delayed.append(write)
        case Fault.REPLY_LOST:
            apply_write(simulation, write)
        case Fault.NONE | Fault.STALE:
            return apply_write(simulation, write)
    return core.ClaimUncertain()


def answer_read(
    simulation: Simulation, read: Read, fault: Fault, stale_choice: int
) -> core.ClaimReadReply:
    """Handles a read under a fault; ``stale_choice`` selects the record."""
    match fault:
        case Fault.NONE:
            return core.ClaimFound(simulation.records.get(read.key))
        case Fault.STALE:
            past_records = [None, *simulation.history.get(read.key, ())]
            return core.ClaimFound(
                past_records[stale_choice % len(past_records)]
            )
    return core.ClaimUnread()


def answer_send(
    simulation: Simulation, attempt: Attempt, fault: Fault
) -> core.SubOutcome:
    """Handles a dispatch under a fault and returns its outcome."""
    sub_order = attempt.call.sub_order
    if fault is Fault.REFUSED:
        return core.SubNotRun(core.NotRunReason.SHED)
    attempt.dispatched = True
    if fault in (Fault.DROPPED, Fault.DELAYED):
        return core.SubUnknown(core.UnknownReason.TIMEOUT)
    runs = simulation.runs.setdefault(sub_order.request_id, [])
    runs.append(f'result {len(runs)} of {sub_order.request_id}')
    assert len(runs) == 1, 'an order ran twice'
    if fault is Fault.REPLY_LOST:
        return core.SubUnknown(core.UnknownReason.REPLY_LOST)
    return core.SubDone(runs[0])
