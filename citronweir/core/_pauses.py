"""Keeps requests from replicas that asked for a pause.

A replica that turns a request away may ask a node to send nothing for some
time. Nodes that were asked together would also return together, so the load
comes back gradually: one request first, then twice as many with each answer.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data

# A longer pause is cut to this time.
MAX_PAUSE = 300.0  # seconds
# Relative random extension of a pause, which spreads the nodes' returns.
RESUME_SPREAD = 0.1
# Requests in flight from which a replica that resumes is no longer limited.
FULL_LOAD = 16
# A replica that is not used after its pause is forgotten after this time.
RETENTION = 60.0  # seconds


@dataclasses.dataclass(slots=True)
class Pause:
    """Pause that a replica asked this node for.

    Attributes:
        until: Monotonic second at which it ends.
        max_in_flight: Requests that may be in flight after it.
    """

    until: float
    max_in_flight: int = 1


# Pauses in progress, and those after which the load still grows.
PauseTable = dict[data.ReplicaId, Pause]


def start_pause(
    table: PauseTable,
    replica_id: data.ReplicaId,
    seconds: float,
    now: float,
    jitter: float,
) -> bool:
    """Starts or extends a pause; a shorter one does not end a longer one.

    Args:
        table: Pauses of the node.
        replica_id: Replica that asked for it.
        seconds: Length that the replica asked for.
        now: Monotonic clock, seconds.
        jitter: Random number from 0 to 1.

    Returns:
        Whether the length was within MAX_PAUSE.
    """
    length = min(seconds, MAX_PAUSE) * (1.0 + RESUME_SPREAD * jitter)
    known = table.get(replica_id)
    until = now + length
    if known is not None:
        until = max(until, known.until)
    table[replica_id] = Pause(until)
    return seconds <= MAX_PAUSE


def accepts_request(
    table: PauseTable,
    replica_id: data.ReplicaId,
    in_flight: int,
    now: float,
) -> bool:
    """Returns whether a replica may get a request now.

    Args:
        table: Pauses of the node.
        replica_id: Replica to send to.
        in_flight: Requests of this node that it has not answered.
        now: Monotonic clock, seconds.
    """
    pause = table.get(replica_id)
    if pause is None:
        return True
    return now >= pause.until and in_flight < pause.max_in_flight


def find_pause(
    table: PauseTable, replica_ids: abc.Iterable[data.ReplicaId], now: float
) -> float:
    """Returns the seconds until one of some replicas is not paused."""
    waits = (
        table[key].until - now if key in table else 0.0 for key in replica_ids
    )
    return max(0.0, min(waits, default=0.0))


def record_answer_after_pause(
    table: PauseTable, replica_id: data.ReplicaId, now: float
) -> None:
    """Lets more requests through after an answer."""
    pause = table.get(replica_id)
    if pause is None or now < pause.until:
        return
    pause.max_in_flight *= 2
    if pause.max_in_flight > FULL_LOAD:
        del table[replica_id]


def expire_pauses(table: PauseTable, now: float) -> None:
    """Forgets replicas that were not used since their pause ended."""
    for replica_id, pause in list(table.items()):
        if now >= pause.until + RETENTION:
            del table[replica_id]
