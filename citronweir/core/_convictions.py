"""Decides which convictions of crashing requests the store holds.

Nodes tell each other of crashes and keep no state, so a request that was
convicted would crash replicas again after all nodes were lost together. A
conviction is therefore written to the store with the crashes that prove it,
and nodes restore both from there. The record is removed once the request was
answered or its crashes have expired.

A conviction is written by the nodes that rank first for its request, one
after another while it is missing. Any other node that refuses the request
follows later, since those nodes may be lost or cut off.
"""

from collections import abc
import dataclasses
import hashlib
import math
import random

from citronweir.core import _assignment as assignment
from citronweir.core import _crash_cause as crash_cause
from citronweir.core import _crash_reports as crash_reports
from citronweir.core import _crash_table as crash_table
from citronweir.core import _data as data

# Bounds on the records in the store. Eight crashes suffice for the longest
# delay of a trial; a record takes at most 13 KB.
MAX_RECORDS = 64
MAX_RECORD_CRASHES = 8
# Nodes that write a conviction without being asked for the request, and the
# time that each of them leaves to the one before it. A change is in force
# everywhere within 3 s.
FIRST_WRITERS = 3
WRITER_INTERVAL = 1.0  # seconds
# Further nodes spread their writes so that all nodes together make at most
# this many in a second for one conviction.
LATER_WRITES = 20.0
RANK_LIFETIME = 10.0  # seconds
# Requests for which a check ranks the nodes. With 7,000 nodes that takes 9 ms
# for each.
MAX_RANKED = 4
MAX_REQUEST_ID = 64  # characters
# A write appears in the configuration of its node within this time.
VISIBILITY_DELAY = 4.0  # seconds
# Minimum time between two writes of a node.
WRITE_INTERVAL = 1.0  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Conviction:
    """A convicted request, as the store holds it.

    Attributes:
        crashes: Crashes that prove the conviction, with the wall-clock
            second of each.
    """

    fingerprint: data.Fingerprint
    crashes: tuple[tuple[crash_cause.ReplicaReport, float], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ConvictionWrite:
    """A write that is due.

    Attributes:
        conviction: New record, or None to remove it.
    """

    fingerprint: data.Fingerprint
    conviction: Conviction | None


@dataclasses.dataclass(slots=True)
class ConvictionTable:
    """Convictions in the store, and the writes that are pending.

    Attributes:
        stored: Records of the store.
        ranks: Rank of this node among the first writers of a request, None
            if it is not one, and the monotonic second until which that is
            used again.
        due_at: Monotonic second of the next write for each request whose
            record is missing, incomplete or needless.
        next_write_at: Monotonic second before which this node makes no
            write.
    """

    stored: dict[data.Fingerprint, Conviction] = dataclasses.field(
        default_factory=dict
    )
    ranks: dict[data.Fingerprint, tuple[int | None, float]] = (
        dataclasses.field(default_factory=dict)
    )
    due_at: dict[data.Fingerprint, float] = dataclasses.field(
        default_factory=dict
    )
    next_write_at: float = -math.inf


def restore_conviction(
    table: ConvictionTable,
    reports: crash_table.CrashReportTable,
    conviction: Conviction,
    clocks: tuple[float, float],
) -> bool:
    """Adds a record of the store to what this node knows.

    Args:
        table: Convictions in the store.
        reports: Crash reports of the node.
        conviction: Record that was read.
        clocks: Monotonic and wall-clock time, seconds.

    Returns:
        Whether this node did not refuse the request before.
    """
    now, wall_now = clocks
    table.stored[conviction.fingerprint] = conviction
    was_convicted = crash_reports.is_convicted_for_any(
        reports, conviction.fingerprint
    )
    crashes = [
        (report, now - max(0.0, wall_now - wall_at))
        for report, wall_at in conviction.crashes
    ]
    crash_reports.restore_crashes(
        reports, conviction.fingerprint, crashes, now
    )
    is_convicted = crash_reports.is_convicted_for_any(
        reports, conviction.fingerprint
    )
    return is_convicted and not was_convicted


def drop_conviction(
    table: ConvictionTable,
    reports: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
) -> bool:
    """Forgets a record that another node has removed, and its crashes.

    Crashes that the record did not hold are kept: they may be newer than
    its removal.

    Returns:
        Whether the store held a record of the request.
    """
    known = table.stored.pop(fingerprint, None)
    table.due_at.pop(fingerprint, None)
    if known is None:
        return False
    crash_table.drop_crashes(
        reports, fingerprint, [report for report, _ in known.crashes]
    )
    return True


def choose_write(
    table: ConvictionTable,
    reports: crash_table.CrashReportTable,
    own_id: data.NodeId,
    nodes: abc.Collection[data.NodeId],
    clocks: tuple[float, float],
    rng: random.Random,
) -> ConvictionWrite | None:
    """Chooses the write that this node makes now, if any is due.

    Args:
        table: Convictions in the store.
        reports: Crash reports of the node.
        own_id: This node.
        nodes: All nodes, including this one.
        clocks: Monotonic and wall-clock time, seconds.
        rng: Source of the delay of nodes that don't rank first.
    """
    now, _ = clocks
    proven = crash_reports.list_proven(reports, now)
    _update_ranks(table, reports, proven, own_id, nodes, now)
    writes = {
        write.fingerprint: write
        for write in _list_writes(table, reports, proven, clocks)
    }
    table.due_at = {
        fingerprint: table.due_at[fingerprint]
        if fingerprint in table.due_at
        else now + _find_delay(table, fingerprint, len(nodes), rng)
        for fingerprint in writes
    }
    fingerprint = min(table.due_at, key=table.due_at.get, default=None)
    if (
        fingerprint is None
        or now < table.due_at[fingerprint]
        or now < table.next_write_at
    ):
        return None
    table.due_at[fingerprint] = now + VISIBILITY_DELAY
    table.next_write_at = now + WRITE_INTERVAL
    return writes[fingerprint]


def retry_write(
    table: ConvictionTable, write: ConvictionWrite, now: float
) -> None:
    """Makes a write that the store did not answer due again."""
    if write.fingerprint in table.due_at:
        table.due_at[write.fingerprint] = now + WRITE_INTERVAL


def _update_ranks(table, reports, proven, own_id, nodes, now):
    """Ranks this node for some of the requests that may need a write.

    The others follow in the next checks, convicted ones first.
    """
    wanted = sorted(
        {*table.stored, *proven},
        key=lambda item: not crash_reports.is_convicted_for_any(reports, item),
    )
    count, ranks = 0, {}
    for fingerprint in wanted:
        known = table.ranks.get(fingerprint)
        if known is None or now >= known[1]:
            if count == MAX_RANKED:
                continue
            count += 1
            rank = _find_rank(fingerprint, own_id, nodes)
            known = rank, now + RANK_LIFETIME
        ranks[fingerprint] = known
    table.ranks = ranks


def _find_rank(fingerprint, own_id, nodes):
    ranked = assignment.rank_nodes(nodes, f'conviction/{fingerprint}')
    first = ranked[:FIRST_WRITERS]
    return first.index(own_id) if own_id in first else None


def _list_writes(table, reports, proven, clocks):
    """Lists the writes that the crash reports of this node call for."""
    now, _ = clocks
    for fingerprint, conviction in table.stored.items():
        if fingerprint in table.ranks and _is_needless(
            reports, conviction, clocks
        ):
            yield ConvictionWrite(fingerprint, None)
    for fingerprint in filter(table.ranks.__contains__, proven):
        if not _is_convicted(table, reports, fingerprint, now):
            continue
        stored = table.stored.get(fingerprint)
        if stored is None and len(table.stored) >= MAX_RECORDS:
            continue
        conviction = _make_conviction(reports, fingerprint, clocks)
        if stored is None or _has_more(conviction, stored):
            yield ConvictionWrite(fingerprint, conviction)


def _is_convicted(table, reports, fingerprint, now):
    """Returns whether a request is convicted.

    The first writers find out by themselves, others only if they were asked
    for the request.
    """
    if crash_reports.is_convicted_for_any(reports, fingerprint):
        return True
    if table.ranks[fingerprint][0] is None:
        return False
    crash_reports.classify_all_callers(reports, fingerprint, now)
    return crash_reports.is_convicted_for_any(reports, fingerprint)


def _is_needless(reports, conviction, clocks):
    """Returns whether a request was answered or its crashes have expired."""
    now, wall_now = clocks
    if crash_reports.is_answered(reports, conviction.fingerprint, now):
        return True
    newest = max((at for _, at in conviction.crashes), default=-math.inf)
    return wall_now - newest > crash_cause.REPORT_LIFETIME


def _has_more(conviction, stored):
    """Returns whether a conviction has crashes that the store lacks."""
    known = {report for report, _ in stored.crashes}
    return any(report not in known for report, _ in conviction.crashes)


def _make_conviction(reports, fingerprint, clocks):
    """Builds a record from the crashes that prove the conviction."""
    now, wall_now = clocks
    chosen = crash_cause.rank_crashes(
        crash_table.list_entry_crashes(reports, fingerprint, now)
    )[:MAX_RECORD_CRASHES]
    return Conviction(
        fingerprint,
        tuple(
            (_limit_request_id(report), wall_now - (now - at))
            for report, at in chosen
        ),
    )


def _limit_request_id(report):
    """Replaces a long or unusual request id by its hash.

    Callers choose these ids, and a record must stay small and readable.
    """
    if (
        len(report.request_id) <= MAX_REQUEST_ID
        and report.request_id.isascii()
    ):
        return report
    raw = report.request_id.encode(errors='surrogatepass')
    digest = hashlib.blake2b(raw, digest_size=MAX_REQUEST_ID // 2)
    request_id = data.RequestId(digest.hexdigest())
    return dataclasses.replace(report, request_id=request_id)


def _find_delay(table, fingerprint, count, rng):
    """Returns the seconds that this node leaves to others before it writes."""
    rank, _ = table.ranks[fingerprint]
    if rank is not None:
        return rank * WRITER_INTERVAL
    spread = rng.uniform(0.0, count / LATER_WRITES)
    return FIRST_WRITERS * WRITER_INTERVAL + spread
