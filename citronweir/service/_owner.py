"""Queues and runs the sub-requests of the replicas that this node owns.

Each replica has one owner, and all sub-requests for it pass through that
owner's queue. The replica's slots and connections are therefore never
overcommitted, and urgent work runs first. A sub-request runs inside the
coroutine that submitted it, so cancelling the submitter also removes its
queue entry or closes its connection.
"""

import asyncio
from collections import abc
import dataclasses

from citronweir import core
from citronweir import telemetry

LATENCY_SMOOTHING = 0.1  # weight of the newest sample in the moving average
# Assumed for a replica that has not answered yet.
INITIAL_LATENCY = 0.01  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerDependencies:
    """Functions that an owner calls.

    Attributes:
        now: Returns the monotonic time, seconds.
        wall_now: Returns the wall-clock time, seconds since the epoch.
        find_replica: Returns a replica by id, or None.
        limit_slots: Returns how many sub-requests the connections to a
            replica can carry at once.
        select: Selects the rank of a queue to serve next.
        send: Sends a sub-request to a replica.
        check_crash: Returns whether a replica whose connection broke has
            crashed.
        send_suspicions: Sends changed suspicions to the other nodes.
        mark_draining: Records that a replica reported that it is draining.
        record_queue_delay: Records the seconds that a sub-request of a rank
            waited for a slot.
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
    mark_draining: abc.Callable[[core.ReplicaId], None]
    record_queue_delay: abc.Callable[[core.Rank, float], None]


@dataclasses.dataclass(slots=True)
class OwnedReplica:
    """State of one owned replica.

    Attributes:
        running: Number of slots in use.
        latency: Moving average of the time to an answer, seconds.
        answered_at: Monotonic time of the last answer, or None.
        suspect_waiters: Futures of the sub-requests that wait until a
            suspect has finished at this replica.
        crash_check: Task that runs after a connection broke, to find out
            whether the replica crashed.
        crashed_at: Monotonic time at which the last crash was detected.
    """

    queue: core.RankQueue
    running: int = 0
    latency: float = INITIAL_LATENCY
    answered_at: float | None = None
    suspect_waiters: set[asyncio.Future] = dataclasses.field(
        default_factory=set
    )
    crash_check: asyncio.Task | None = None
    crashed_at: float = -1.0


@dataclasses.dataclass(slots=True)
class Owner:
    """State of a node as the owner of replicas.

    Attributes:
        shares: Guaranteed share of each rank; the shares sum to 1.
        queue_limit: Largest number of waiting sub-requests of each rank.
        active: Number of submitted sub-requests that have no answer yet.
        stopping: Whether new sub-requests are refused.
        idle: Set while ``active`` is 0.
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
    deps: OwnerDependencies,
    replica_id: core.ReplicaId,
    sub: core.SubRequest,
) -> core.OwnerAnswer:
    """Queues a sub-request for a replica and runs it.

    Args:
        owner: State of this node as an owner.
        deps: Functions that the owner calls.
        replica_id: Replica to run it at; owned by this node.
        sub: Sub-request to run.

    Returns:
        The outcome, with the expected queue delays of the replica.
    """
    refusal = _find_refusal_reason(deps, replica_id)
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
        report = await _run(owner, deps, state, replica_id, sub)
    finally:
        owner.active -= 1
        if not owner.active:
            owner.idle.set()
    delays = estimate_delays(owner, deps, replica_id)
    service_time = state.latency if state.answered_at is not None else 0.0
    return core.OwnerAnswer(
        report.outcome, report.latency, delays, service_time
    )


def estimate_delays(
    owner: Owner, deps: OwnerDependencies, replica_id: core.ReplicaId
) -> tuple[tuple[core.Rank, float], ...]:
    """Estimates the seconds spent in a replica's queue, by rank."""
    replica = deps.find_replica(replica_id)
    state = owner.replicas.get(replica_id)
    if replica is None or state is None:
        return ()
    slots = _count_slots(deps, replica)
    free = slots - state.running
    return tuple(
        (
            rank,
            core.estimate_delay(state.queue, rank, state.latency, slots, free),
        )
        for rank in core.Rank
    )


def drop_replica(owner: Owner, replica_id: core.ReplicaId) -> bool:
    """Removes the state of a replica that is no longer owned, if idle.

    Returns:
        Whether no state of the replica remains.
    """
    state = owner.replicas.get(replica_id)
    if state is None:
        return True
    if (
        state.running
        or core.count_waiting(state.queue)
        or state.suspect_waiters
    ):
        return False
    del owner.replicas[replica_id]
    return True


async def drain_queues(owner: Owner) -> None:
    """Refuses new sub-requests and waits for the accepted ones to end."""
    owner.stopping = True
    while owner.active:
        await owner.idle.wait()
    for state in owner.replicas.values():
        if state.crash_check is not None:
            state.crash_check.cancel()


def _find_refusal_reason(deps, replica_id):
    replica = deps.find_replica(replica_id)
    if replica is None:
        return core.NotRunReason.NO_REPLICA
    if replica.state is core.ReplicaState.DRAINING:
        return core.NotRunReason.DRAINING
    return None


async def _run(owner, deps, state, replica_id, sub):
    fingerprint = core.make_fingerprint(sub)
    is_recorded = telemetry.is_recorded(sub.trace)
    wait = _wait_for_slot_in_span if is_recorded else _wait_for_slot
    while True:
        enqueued_at = deps.now()
        refusal = await wait(deps, state, replica_id, sub)
        if refusal is not None:
            return core.SubReport(core.SubNotRun(refusal))
        deps.record_queue_delay(sub.rank, deps.now() - enqueued_at)
        # Suspicions may have changed while the sub-request was queued.
        refusal = _find_refusal_reason(deps, replica_id)
        check = core.check_send(
            owner.suspects, replica_id, fingerprint, deps.wall_now()
        )
        if refusal is None and check is core.SendCheck.SEND:
            return await _run_in_slot(
                owner, deps, state, replica_id, sub, fingerprint
            )
        _free_slot(deps, state, replica_id)
        if refusal is not None:
            return core.SubReport(core.SubNotRun(refusal))
        if check is core.SendCheck.REFUSE:
            quarantined = core.NotRunReason.QUARANTINED
            return core.SubReport(core.SubNotRun(quarantined))
        if not await _wait_for_suspect(deps, state, sub.deadline):
            late = core.NotRunReason.DEADLINE_PASSED
            return core.SubReport(core.SubNotRun(late))


async def _wait_for_slot_in_span(deps, state, replica_id, sub):
    """Calls ``_wait_for_slot`` inside a span of the trace."""
    enqueued_at = deps.now()
    span = telemetry.start_span('queue', sub.trace)
    result = 'cancelled'
    try:
        refusal = await _wait_for_slot(deps, state, replica_id, sub)
        result = 'granted' if refusal is None else refusal.value
        return refusal
    finally:
        attributes = {
            'replica': replica_id,
            'rank': sub.rank.value,
            'queue_delay_ms': (deps.now() - enqueued_at) * 1000,
        }
        telemetry.end_span(span, result, attributes)


async def _wait_for_slot(deps, state, replica_id, sub):
    """Waits for a slot.

    Returns:
        None once a slot is granted, or the reason for which there is none.
    """
    granted = asyncio.get_running_loop().create_future()
    entry = core.QueueEntry(sub.rank, sub.deadline, granted)
    expired = core.enqueue(state.queue, entry, deps.now())
    if expired is None:
        return core.NotRunReason.QUEUE_FULL
    _reject_expired(expired)
    _grant_free_slots(deps, state, replica_id)
    try:
        async with asyncio.timeout(sub.deadline - deps.now()):
            return await granted
    except (TimeoutError, asyncio.CancelledError) as exc:
        core.cancel(state.queue, entry)
        if granted.done() and not granted.cancelled() and not granted.result():
            _free_slot(deps, state, replica_id)
        if isinstance(exc, TimeoutError):
            return core.NotRunReason.DEADLINE_PASSED
        raise


async def _wait_for_suspect(deps, state, deadline):
    """Waits until a sub-request at the replica ends; False if too late."""
    ended = asyncio.get_running_loop().create_future()
    state.suspect_waiters.add(ended)
    try:
        async with asyncio.timeout(deadline - deps.now()):
            await ended
            return True
    except TimeoutError:
        return False
    finally:
        state.suspect_waiters.discard(ended)


async def _run_in_slot(owner, deps, state, replica_id, sub, fingerprint):
    replica = deps.find_replica(replica_id)
    started = deps.now()
    core.start_request(owner.suspects, replica_id, fingerprint)
    try:
        report = await deps.send(replica, sub)
        if report.broken:
            _handle_broken_connection(
                owner, deps, state, replica, report, started
            )
    except asyncio.CancelledError:
        _update_latency_on_cancel(state, deps.now() - started)
        raise
    finally:
        core.end_request(owner.suspects, replica_id, fingerprint)
        for waiter in state.suspect_waiters:
            if not waiter.done():
                waiter.set_result(None)
        _free_slot(deps, state, replica_id)
    if isinstance(report.outcome, core.SubAnswer | core.SubDone):
        _update_latency(state, report.latency)
        state.answered_at = deps.now()
    if report.outcome == core.SubNotRun(core.NotRunReason.DRAINING):
        deps.mark_draining(replica_id)
    return report


def _update_latency(state, latency):
    if state.answered_at is None:
        state.latency = latency
    state.latency += LATENCY_SMOOTHING * (latency - state.latency)


def _update_latency_on_cancel(state, elapsed):
    """Uses the time until a cancellation as a lower bound of the latency."""
    if state.answered_at is not None and elapsed > state.latency:
        _update_latency(state, elapsed)


def _handle_broken_connection(owner, deps, state, replica, report, started):
    """Checks whether a replica crashed, once for all of its requests.

    A crash breaks every connection to the replica. Requests that were
    sent before the last detected crash, or fail while a check runs, do
    not count as a further crash.
    """
    if started <= state.crashed_at:
        return
    if state.crash_check is not None and not state.crash_check.done():
        return
    in_flight = core.list_in_flight(owner.suspects, replica.replica_id)
    if report.unreachable:
        _report_crash(owner, deps, state, replica, in_flight, deps.now())
        return
    state.crash_check = asyncio.create_task(
        _check_crash(owner, deps, state, replica, in_flight, deps.now())
    )


async def _check_crash(owner, deps, state, replica, in_flight, detected_at):
    if await deps.check_crash(replica):
        _report_crash(owner, deps, state, replica, in_flight, detected_at)


def _report_crash(owner, deps, state, replica, in_flight, detected_at):
    state.crashed_at = detected_at
    changed = core.report_crash(owner.suspects, in_flight, deps.wall_now())
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
        deps.send_suspicions(changed)


def _grant_free_slots(deps, state, replica_id):
    """Grants free slots to the queue entries that are next."""
    replica = deps.find_replica(replica_id)
    slots = 0 if replica is None else _count_slots(deps, replica)
    while state.running < slots:
        entry, expired = core.dequeue(state.queue, deps.now(), deps.select)
        _reject_expired(expired)
        if entry is None:
            return
        # The submitter may be cancelled but not resumed yet.
        if not entry.item.done():
            state.running += 1
            entry.item.set_result(None)


def _free_slot(deps, state, replica_id):
    state.running -= 1
    _grant_free_slots(deps, state, replica_id)


def _reject_expired(expired):
    for entry in expired:
        if not entry.item.done():
            entry.item.set_result(core.NotRunReason.DEADLINE_PASSED)


def _count_slots(deps, replica):
    return max(1, min(replica.slots, deps.limit_slots(replica)))
