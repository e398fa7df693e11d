"""Probes the status of the owned replicas and publishes changes."""

import asyncio
from collections import abc
import dataclasses
import random

from citronweir import core
from citronweir import telemetry

# Consecutive failed probes after which a replica counts as failed, unless it
# answered a sub-request within the window: the status endpoint may fail while
# the replica works.
FAILURE_THRESHOLD = 3
ANSWER_WINDOW = 3.0  # seconds
# The probes of one round start at random times within this interval.
MAX_PROBE_DELAY = 0.3  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeDependencies:
    """Functions that the probes call.

    Attributes:
        now: Returns the monotonic time, seconds.
        list_owned: Returns the replicas that this node currently owns.
        find_replica: Returns a replica by id, or None.
        fetch_status: Returns the replica's record with the status that it
            reports, or None without a reply.
        answered_at: Returns the monotonic time of a replica's last answer
            to a sub-request, or None.
        publish: Merges a changed record and sends it to other nodes.
    """

    now: abc.Callable[[], float]
    list_owned: abc.Callable[[], abc.Iterable[core.Replica]]
    find_replica: abc.Callable[[core.ReplicaId], core.Replica | None]
    fetch_status: abc.Callable[
        [core.Replica], abc.Awaitable[core.Replica | None]
    ]
    answered_at: abc.Callable[[core.ReplicaId], float | None]
    publish: abc.Callable[[core.Replica], None]


@dataclasses.dataclass(slots=True)
class Probes:
    """Number of consecutive failed probes, by replica."""

    failures: dict[core.ReplicaId, int] = dataclasses.field(
        default_factory=dict
    )


async def probe_owned(
    probes: Probes, deps: ProbeDependencies, rng: random.Random
) -> None:
    """Probes each owned replica once.

    Args:
        probes: State of the probes.
        deps: Functions that the probes call.
        rng: Source of the jitter.
    """
    owned = list(deps.list_owned())
    owned_ids = {replica.replica_id for replica in owned}
    for replica_id in probes.failures.keys() - owned_ids:
        del probes.failures[replica_id]
    async with asyncio.TaskGroup() as group:
        for replica in owned:
            delay = rng.uniform(0.0, MAX_PROBE_DELAY)
            group.create_task(_probe(probes, deps, replica, delay))


async def check_crash(deps: ProbeDependencies, replica: core.Replica) -> bool:
    """Checks whether a replica whose connection broke has crashed.

    Args:
        deps: Functions that the probes call.
        replica: Replica as known when the request was sent.

    Returns:
        Whether it returns no status or has restarted since.
    """
    status = await deps.fetch_status(replica)
    if status is not None:
        _apply_status(deps, replica.replica_id, status)
    return status is None or status.epoch > replica.epoch


async def _probe(probes, deps, replica, delay):
    await asyncio.sleep(delay)
    status = await deps.fetch_status(replica)
    if status is not None:
        probes.failures.pop(replica.replica_id, None)
        _apply_status(deps, replica.replica_id, status)
        return
    failures = probes.failures.get(replica.replica_id, 0) + 1
    probes.failures[replica.replica_id] = failures
    answered_at = deps.answered_at(replica.replica_id)
    has_recent_answer = (
        answered_at is not None and deps.now() - answered_at < ANSWER_WINDOW
    )
    known = deps.find_replica(replica.replica_id)
    if (
        known is not None
        and failures >= FAILURE_THRESHOLD
        and not has_recent_answer
    ):
        failed = dataclasses.replace(known, state=core.ReplicaState.FAILED)
        _publish_change(deps, known, failed)


def _apply_status(deps, replica_id, status):
    known = deps.find_replica(replica_id)
    if known is None:
        return
    if status.epoch < known.epoch:
        telemetry.log(
            telemetry.Event.STATUS_STALE,
            replica=replica_id,
            epoch=status.epoch,
            known=known.epoch,
        )
    elif status.epoch > known.epoch:
        _publish_change(deps, known, dataclasses.replace(status, version=0))
    else:
        updated = dataclasses.replace(status, version=known.version)
        _publish_change(deps, known, updated)


def _publish_change(deps, known, new):
    """Publishes a record with the next version if it differs."""
    if new.epoch == known.epoch and (
        core.ReplicaState.DRAINING is known.state
    ):
        # DRAINING is final within an epoch.
        new = dataclasses.replace(new, state=known.state)
    if new == known:
        return
    new = dataclasses.replace(new, version=new.version + 1)
    telemetry.log(
        telemetry.Event.REPLICA_CHANGED,
        replica=new.replica_id,
        state=new.state.value,
        epoch=new.epoch,
        version=new.version,
    )
    deps.publish(new)
