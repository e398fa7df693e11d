"""Probes the owned replicas and spreads what changed."""

import asyncio
from collections import abc
import dataclasses
import random

from citronweir import core
from citronweir import telemetry

# Failed probes in succession before a replica counts as failed, unless
# it answers sub-requests: a status endpoint may fail alone.
FAILURES_TO_FAIL = 3
ANSWER_TIME = 3.0  # seconds
# Seconds over which the probes of one round are spread.
SPREAD = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeDependencies:
    """What the probes need from outside.

    Attributes:
        now: Monotonic clock, seconds.
        list_owned: Replicas that this node owns now.
        find_replica: Replica by id, or None.
        fetch_status: Replica with its own statement, or None.
        answered_at: Monotonic second of a replica's last answer to a
            sub-request, or None.
        publish: Merges a changed record here and sends it on.
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
    """Failed probes in succession, by replica."""

    failures: dict[core.ReplicaId, int] = dataclasses.field(
        default_factory=dict
    )


async def probe_owned(
    probes: Probes, peers: ProbeDependencies, rng: random.Random
) -> None:
    """Probes each owned replica once.

    Args:
        probes: State of the probes.
        peers: What they need from outside.
        rng: Source of the jitter.
    """
    owned = list(peers.list_owned())
    kept = {replica.replica_id for replica in owned}
    for replica_id in probes.failures.keys() - kept:
        del probes.failures[replica_id]
    async with asyncio.TaskGroup() as group:
        for replica in owned:
            delay = rng.uniform(0.0, SPREAD)
            group.create_task(_probe(probes, peers, replica, delay))


async def check_crash(peers: ProbeDependencies, replica: core.Replica) -> bool:
    """Finds out whether a replica whose connection died has crashed.

    Args:
        peers: What the probes need from outside.
        replica: The replica as it was when the request was sent.

    Returns:
        Whether it gives no status or has started anew.
    """
    status = await peers.fetch_status(replica)
    if status is not None:
        _note_status(peers, replica.replica_id, status)
    return status is None or status.epoch > replica.epoch


async def _probe(probes, peers, replica, delay):
    await asyncio.sleep(delay)
    status = await peers.fetch_status(replica)
    if status is not None:
        probes.failures.pop(replica.replica_id, None)
        _note_status(peers, replica.replica_id, status)
        return
    failures = probes.failures.get(replica.replica_id, 0) + 1
    probes.failures[replica.replica_id] = failures
    answered_at = peers.answered_at(replica.replica_id)
    answers = (
        answered_at is not None and peers.now() - answered_at < ANSWER_TIME
    )
    known = peers.find_replica(replica.replica_id)
    if known is not None and failures >= FAILURES_TO_FAIL and not answers:
        failed = dataclasses.replace(known, state=core.ReplicaState.FAILED)
        _publish_change(peers, known, failed)


def _note_status(peers, replica_id, status):
    known = peers.find_replica(replica_id)
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
        _publish_change(peers, known, dataclasses.replace(status, version=0))
    else:
        same = dataclasses.replace(status, version=known.version)
        _publish_change(peers, known, same)


def _publish_change(peers, known, new):
    """Publishes a record under the next version if it tells news."""
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
    peers.publish(new)
