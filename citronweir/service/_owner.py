"""Runs the sub-requests of the replicas that this node owns.

All work for a replica passes through the queue of its one owner, so the
replica's slots and connections are never overcommitted and urgent work
goes first. A sub-request runs inside the coroutine that submitted it:
when the submitter is cancelled, its queue entry or connection goes too.
"""

import asyncio
from collections import abc
import dataclasses

from citronweir import core
from citronweir import telemetry

SMOOTHING = 0.1  # weight of the newest latency
# Seconds assumed for a replica that has not answered yet.
LATENCY_START = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """What an owner needs from outside.

    Attributes:
        now: Monotonic clock, seconds.
        wall_now: Wall clock, seconds since the epoch.
        find_replica: Replica by id, or None.
        limit_slots: Sub-requests that a replica's connections allow.
        select: Which rank of a queue is next.
        send: Sends a sub-request to a replica.
        check_crash: Whether a replica whose connection died has crashed.
        spread: Sends changed suspicions to the other nodes.
        note_draining: Notes that a replica said it is draining.
        note_queue_delay: Takes the seconds that a sub-request of a rank
            waited for its slot.
    """

    now: abc.Callable[[], float]
    wall_now: abc.Callable[[], float]
    find_replica: abc.Callable[[core.ReplicaId], core.Replica | None]
    limit_slots: abc.Callable[[core.Replica], int]
    select: core.Select
    send: abc.Callable[
        [core.Replica, core.SubRequest], abc.Awaitable[core.SubReport]
    ]
    check_crash: abc.Callable[[core.Replica], abc.Awaitable[bool]]
    send_suspicions: abc.Callable[[list[core.Suspicion]], None]
    note_draining: abc.Callable[[core.ReplicaId], None]
    note_queue_delay: abc.Callable[[core.Rank, float], None]


@dataclasses.dataclass(slots=True)
class OwnedReplica:
    """State of one owned replica.

    Attributes:
        running: Slots in use.
        latency: Smoothed seconds of an answer.
        answered_at: Monotonic second of the last answer, or None.
        waiters: Suspects that wait for another suspect to end.
        crash_check: Check that runs after a connection died.
        crashed_at: Monotonic second at which the last crash was seen.
    """

    queue: core.RankQueue
    running: int = 0
    latency: float = LATENCY_START
    answered_at: float | None = None
    waiters: set[asyncio.Future] = dataclasses.field(default_factory=set)
    crash_check: asyncio.Task | None = None
    crashed_at: float = -1.0


@dataclasses.dataclass(slots=True)
class Owner:
    """State of a node as the owner of replicas.

    Attributes:
        active: Submitted sub-requests without an answer.
        idle: Set while there are none.
    """

    shares: abc.Mapping[core.Rank, float]
    queue_limit: int
    suspects: core.SuspectTable
    replicas: dict[core.ReplicaId, OwnedReplica] = dataclasses.field(
        default_factory=dict
    )
    active: int = 0
    stopping: bool = False
    idle: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


async def submit(
    owner: Owner,
    peers: OwnerDependencies,
    replica_id: core.ReplicaId,
    sub: core.SubRequest,
) -> core.OwnerAnswer:
    """Queues a sub-request and runs it in its turn.

    Args:
        owner: State of this node as an owner.
        peers: What it needs from outside.
        replica_id: Where to run it.
        sub: What to run.

    Returns:
        The answer with the queue delays of the replica.
    """
    refusal = _find_refusal(peers, replica_id)
    if owner.stopping:
        refusal = core.NotRunReason.STOPPING
    if refusal is not None:
        return core.OwnerAnswer(core.SubNotRun(refusal))
    state = owner.replicas.get(replica_id)
    if state is None:
        queue = core.make_queue(owner.shares, owner.queue_limit)
        state = owner.replicas[replica_id] = OwnedReplica(queue)
    owner.active += 1
    owner.idle.clear()
    try:
        report = await _run(owner, peers, state, replica_id, sub)
    finally:
        owner.active -= 1
        if not owner.active:
            owner.idle.set()
    delays = list_delays(owner, peers, replica_id)
    service = state.latency if state.answered_at is not None else 0.0
    return core.OwnerAnswer(report.outcome, report.latency, delays, service)


def list_delays(
    owner: Owner, peers: OwnerDependencies, replica_id: core.ReplicaId
) -> tuple[tuple[core.Rank, float], ...]:
    """Returns the expected seconds in a replica's queue, by rank."""
    replica = peers.find_replica(replica_id)
    state = owner.replicas.get(replica_id)
    if replica is None or state is None:
        return ()
    slots = _count_slots(peers, replica)
    free = slots - state.running
    return tuple(
        (
            rank,
            core.estimate_delay(state.queue, rank, state.latency, slots, free),
        )
        for rank in core.Rank
    )


def drop_replica(owner: Owner, replica_id: core.ReplicaId) -> bool:
    """Forgets a replica that this node no longer owns, once it is idle.

    Returns:
        Whether nothing is left of it.
    """
    state = owner.replicas.get(replica_id)
    if state is None:
        return True
    if state.running or core.count_waiting(state.queue) or state.waiters:
        return False
    del owner.replicas[replica_id]
    return True


async def finish(owner: Owner) -> None:
    """Refuses new sub-requests and waits until the queues are empty."""
    owner.stopping = True
    while owner.active:
        await owner.idle.wait()
    for state in owner.replicas.values():
        if state.crash_check is not None:
            state.crash_check.cancel()


def _find_refusal(peers, replica_id):
    replica = peers.find_replica(replica_id)
    if replica is None:
        return core.NotRunReason.NO_REPLICA
    if replica.state is core.ReplicaState.DRAINING:
        return core.NotRunReason.DRAINING
    return None


async def _run(owner, peers, state, replica_id, sub):
    fingerprint = core.make_fingerprint(sub)
    is_recorded = telemetry.is_recorded(sub.trace)
    wait = _wait_in_span if is_recorded else _wait_for_turn
    while True:
        arrived = peers.now()
        refusal = await wait(peers, state, replica_id, sub)
        if refusal is not None:
            return core.SubReport(core.SubNotRun(refusal))
        peers.note_queue_delay(sub.rank, peers.now() - arrived)
        # Suspicions may have changed while it was in the queue.
        refusal = _find_refusal(peers, replica_id)
        check = core.check_send(
            owner.suspects, replica_id, fingerprint, peers.wall_now()
        )
        if refusal is None and check is core.SendCheck.SEND:
            return await _run_in_slot(
                owner, peers, state, replica_id, sub, fingerprint
            )
        _free_slot(peers, state, replica_id)
        if refusal is not None:
            return core.SubReport(core.SubNotRun(refusal))
        if check is core.SendCheck.REFUSE:
            quarantined = core.NotRunReason.QUARANTINED
            return core.SubReport(core.SubNotRun(quarantined))
        if not await _wait_for_suspect(peers, state, sub.deadline):
            late = core.NotRunReason.DEADLINE_PASSED
            return core.SubReport(core.SubNotRun(late))


async def _wait_in_span(peers, state, replica_id, sub):
    """Waits for a slot like ``_wait_for_turn``, as a hop of a trace."""
    arrived = peers.now()
    span = telemetry.start_span('queue', sub.trace)
    result = 'cancelled'
    try:
        refusal = await _wait_for_turn(peers, state, replica_id, sub)
        result = 'granted' if refusal is None else refusal.value
        return refusal
    finally:
        attributes = {
            'replica': replica_id,
            'rank': sub.rank.value,
            'queue_delay_ms': (peers.now() - arrived) * 1000,
        }
        telemetry.end_span(span, result, attributes)


async def _wait_for_turn(peers, state, replica_id, sub):
    """Waits for a slot; returns why there is none, or None."""
    granted = asyncio.get_running_loop().create_future()
    entry = core.QueueEntry(sub.rank, sub.deadline, granted)
    expired = core.enqueue(state.queue, entry, peers.now())
    if expired is None:
        return core.NotRunReason.QUEUE_FULL
    _refuse_expired(expired)
    _pump(peers, state, replica_id)
    try:
        async with asyncio.timeout(sub.deadline - peers.now()):
            return await granted
    except (TimeoutError, asyncio.CancelledError) as exc:
        core.cancel(state.queue, entry)
        if granted.done() and not granted.cancelled() and not granted.result():
            _free_slot(peers, state, replica_id)
        if isinstance(exc, TimeoutError):
            return core.NotRunReason.DEADLINE_PASSED
        raise


async def _wait_for_suspect(peers, state, deadline):
    ended = asyncio.get_running_loop().create_future()
    state.waiters.add(ended)
    try:
        async with asyncio.timeout(deadline - peers.now()):
            await ended
            return True
    except TimeoutError:
        return False
    finally:
        state.waiters.discard(ended)


async def _run_in_slot(owner, peers, state, replica_id, sub, fingerprint):
    replica = peers.find_replica(replica_id)
    started = peers.now()
    core.start_request(owner.suspects, replica_id, fingerprint)
    try:
        report = await peers.send(replica, sub)
        if report.broken:
            _note_broken(owner, peers, state, replica, report, started)
    except asyncio.CancelledError:
        _note_cancelled(state, peers.now() - started)
        raise
    finally:
        core.end_request(owner.suspects, replica_id, fingerprint)
        for waiter in state.waiters:
            if not waiter.done():
                waiter.set_result(None)
        _free_slot(peers, state, replica_id)
    if isinstance(report.outcome, core.SubAnswer | core.SubDone):
        _note_latency(state, report.latency)
        state.answered_at = peers.now()
    if report.outcome == core.SubNotRun(core.NotRunReason.DRAINING):
        peers.note_draining(replica_id)
    return report


def _note_latency(state, latency):
    if state.answered_at is None:
        state.latency = latency
    state.latency += SMOOTHING * (latency - state.latency)


def _note_cancelled(state, elapsed):
    """Learns that a replica needs longer than the time that it had."""
    if state.answered_at is not None and elapsed > state.latency:
        _note_latency(state, elapsed)


def _note_broken(owner, peers, state, replica, report, started):
    """Finds out whether a replica crashed, once for all that it ran.

    Every connection dies in a crash. Without this the second broken
    request would count as a second crash.
    """
    if started <= state.crashed_at:
        return
    if state.crash_check is not None and not state.crash_check.done():
        return
    in_flight = core.list_in_flight(owner.suspects, replica.replica_id)
    if report.unreachable:
        _judge_crash(owner, peers, state, replica, in_flight, peers.now())
        return
    state.crash_check = asyncio.create_task(
        _check_crash(owner, peers, state, replica, in_flight, peers.now())
    )


async def _check_crash(owner, peers, state, replica, in_flight, seen_at):
    if await peers.check_crash(replica):
        _judge_crash(owner, peers, state, replica, in_flight, seen_at)


def _judge_crash(owner, peers, state, replica, in_flight, seen_at):
    state.crashed_at = seen_at
    changed = core.report_crash(owner.suspects, in_flight, peers.wall_now())
    telemetry.log(
        telemetry.Event.REPLICA_CRASHED,
        replica=replica.replica_id,
        count=len(in_flight),
    )
    for record in changed:
        if record.state is core.SuspectState.CONVICTED:
            telemetry.log(
                telemetry.Event.REQUEST_CONVICTED,
                fingerprint=record.fingerprint,
            )
    if changed:
        peers.send_suspicions(changed)


def _pump(peers, state, replica_id):
    """Grants free slots to the entries that are next."""
    replica = peers.find_replica(replica_id)
    slots = 0 if replica is None else _count_slots(peers, replica)
    while state.running < slots:
        entry, expired = core.dequeue(state.queue, peers.now(), peers.select)
        _refuse_expired(expired)
        if entry is None:
            return
        # The submitter may have been cancelled and not resumed yet.
        if not entry.item.done():
            state.running += 1
            entry.item.set_result(None)


def _free_slot(peers, state, replica_id):
    state.running -= 1
    _pump(peers, state, replica_id)


def _refuse_expired(expired):
    for entry in expired:
        if not entry.item.done():
            entry.item.set_result(core.NotRunReason.DEADLINE_PASSED)


def _count_slots(peers, replica):
    return max(1, min(replica.slots, peers.limit_slots(replica)))
