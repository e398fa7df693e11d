"""Bounds the memory and processor time that incomplete requests may take.

Load: callers outside this system's control open many connections and send
bodies that stop just short of their end, or in very small chunks. What they
have sent must not crowd out ordinary callers, whose requests are small and
complete within milliseconds.
"""

import dataclasses
import math

# A body is in memory up to three times: as received, as a whole, and in the
# write buffer of the connection to a replica.
COPIES = 3
# Requests up to this size may also use the reserve, and are parsed without
# delay. Ordinary requests have a few kilobytes.
SMALL_BYTES = 4096
RESERVE_SHARE = 0.25  # of the maximum size, for small requests only
# Processor time for parsing large bodies: share of all time, and seconds that
# may be used at once. A body in chunks of one byte costs thousands of times
# more for a byte than others.
CPU_SHARE = 0.25
CPU_BURST = 0.05  # seconds
MIN_CPU_DEBT = 1e-6  # seconds


# Memory that a process takes without callers, and shares of the rest for
# incomplete requests and for connections.
BASE_BYTES = 64 << 20
UPLOADS_SHARE = 0.25
CONNS_SHARE = 0.25
CONN_BYTES = 32 << 10  # an open connection without a request
# Descriptors that callers don't get: files, and shares of other connections.
RESERVED_FDS = 200
CALLERS_FDS_SHARE = 0.5
MIN_CONNS = 16


@dataclasses.dataclass(slots=True, eq=False)
class Upload:
    """A request that is being received or handled.

    Attributes:
        started_at: Monotonic second of its first byte.
        size: Bytes of it in memory, counted once.
        is_complete: Whether it was received completely. It may run then, and
            is no longer dropped.
    """

    started_at: float
    size: int = 0
    is_complete: bool = False


@dataclasses.dataclass(slots=True)
class Intake:
    """Requests that are being received or handled by one process.

    Attributes:
        max_bytes: Memory that they may take.
        total: Memory that they take.
        cpu_level: Seconds of processor time left for large bodies.
        cpu_at: Monotonic second at which this was determined.
    """

    max_bytes: float = math.inf
    total: int = 0
    uploads: dict[Upload, None] = dataclasses.field(default_factory=dict)
    cpu_level: float = CPU_BURST
    cpu_at: float = 0.0


def make_intake(memory_bytes: int) -> Intake:
    """Creates the state of a process with a limit on its memory."""
    free = max(0, memory_bytes - BASE_BYTES)
    return Intake(max(COPIES * SMALL_BYTES, free * UPLOADS_SHARE))


def find_max_conns(memory_bytes: int, max_fds: int) -> int:
    """Returns how many connections of callers a process may have open.

    Args:
        memory_bytes: Limit on the memory of the process.
        max_fds: Limit on its descriptors.
    """
    free = max(0, memory_bytes - BASE_BYTES)
    by_memory = free * CONNS_SHARE / CONN_BYTES
    by_fds = (max_fds - RESERVED_FDS) * CALLERS_FDS_SHARE
    return max(MIN_CONNS, int(min(by_memory, by_fds)))


def begin_upload(intake: Intake, now: float) -> Upload:
    """Adds a request of which nothing was received yet."""
    upload = Upload(now)
    intake.uploads[upload] = None
    return upload


def hold_bytes(
    intake: Intake, upload: Upload, count: int, now: float
) -> list[Upload]:
    """Accounts for received bytes.

    If they don't fit, incomplete requests are dropped: large ones first, and
    among them those that were received slowest since their first byte.
    Connections that have stopped sending fall behind with each second, while
    a request that arrives without delay comes last.

    Args:
        intake: Requests of the process.
        upload: Request that the bytes belong to.
        count: Number of bytes.
        now: Monotonic clock, seconds.

    Returns:
        The requests to drop, possibly this one. They are removed already.
    """
    if upload not in intake.uploads:
        return []
    upload.size += count
    intake.total += count * COPIES
    limit = intake.max_bytes
    if upload.size <= SMALL_BYTES:
        limit *= 1 + RESERVE_SHARE
    dropped = []
    while intake.total > limit and upload in intake.uploads:
        victim = min(
            (item for item in intake.uploads if not item.is_complete),
            key=lambda item: (
                item.size <= SMALL_BYTES,
                item.size / max(1e-3, now - item.started_at),
            ),
        )
        end_upload(intake, victim)
        dropped.append(victim)
    return dropped


def end_upload(intake: Intake, upload: Upload) -> None:
    """Removes a request that was answered or dropped."""
    if upload in intake.uploads:
        del intake.uploads[upload]
        intake.total -= upload.size * COPIES


def charge_cpu(intake: Intake, seconds: float, now: float) -> None:
    """Accounts for processor time that was spent on a large body."""
    _refill_cpu(intake, now)
    intake.cpu_level -= seconds


def find_cpu_delay(intake: Intake, now: float) -> float:
    """Returns the seconds until another part of a large body is parsed."""
    _refill_cpu(intake, now)
    # A rounding error must not count as a debt that no time can repay.
    debt = -intake.cpu_level if intake.cpu_level < -MIN_CPU_DEBT else 0.0
    return debt / CPU_SHARE


def _refill_cpu(intake, now):
    elapsed = max(0.0, now - intake.cpu_at)
    intake.cpu_at = now
    intake.cpu_level = min(CPU_BURST, intake.cpu_level + elapsed * CPU_SHARE)
