"""Keeps the requests under which replicas have ended, over all nodes.

A node sees which of its own requests ran at a replica that ended, not what
other nodes had there, so nodes send each other what they saw. Repeats are
told by their content and caller. Where callers cannot be told apart by their
address, the content alone counts, if ends under several of them are known.

A convicted request is refused, so it could never be answered. One node sends
it to one replica again after a while, and later each time that this ends.
"""

from collections import abc
import dataclasses
import hashlib
import itertools

from citronweir.core import _crash_cause as weighing
from citronweir.core import _data as data
from citronweir.core import _routing as routing

# For this time after a request was lost, answers to it are noted: whether
# its replica has ended is known a moment later.
WATCH_TIME = 5.0  # seconds
# A suspect with enough ends for a conviction goes through one repeat at a time
# and node. An end is known to all nodes and counts within this time.
HOLD_TIME = 0.5  # seconds
# At most 15 MB, of the 64 MB that a node may spend on control.
MAX_ENTRIES = 1000
MAX_REPORTS = 32


@dataclasses.dataclass(slots=True)
class BlameEntry:
    """Reports of one fingerprint.

    Attributes:
        reports: Monotonic second of each.
        watched_until: Monotonic second until which it is kept though no
            end counts.
        tried_at: Monotonic second at which it was last let through though
            it may end a replica.
        convicted: Callers for which the request is the cause of ends.
    """

    reports: dict[weighing.ReplicaReport, float] = dataclasses.field(
        default_factory=dict
    )
    watched_until: float = 0.0
    tried_at: float = float('-inf')
    convicted: set[data.CallerId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class CrashReportTable:
    """Requests under which replicas have ended, as a node knows them.

    Attributes:
        by_replica: Requests that ran at each replica when it ended.
    """

    entries: dict[data.Fingerprint, BlameEntry] = dataclasses.field(
        default_factory=dict
    )
    by_replica: dict[data.ReplicaId, set[data.Fingerprint]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectStatus:
    """What is known of a request.

    Attributes:
        state: SUSPECT or CONVICTED.
        until: Monotonic second from which a convicted one may be tried.
        services: Where replicas ended and none has answered since.
        is_due: Whether the ends would be enough for a conviction, but for
            reports that may still come and other requests that share them.
    """

    state: data.SuspectState
    retry_at: float
    services: frozenset[data.ServiceName]
    is_conviction_pending: bool = False


def fingerprint_request(req: data.HttpRequest) -> data.Fingerprint:
    """Hashes what a replica would run, which repeats have in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (req.method, req.host.lower(), req.target):
        digest.update(part.encode(errors='surrogatepass') + b'\0')
    digest.update(req.body)
    return data.Fingerprint(digest.hexdigest())


def record_lost_request(
    table: CrashReportTable, fingerprint: data.Fingerprint, now: float
) -> None:
    """Notes that a request was lost, maybe with its replica.

    Args:
        table: Reports of the node.
        fingerprint: What was lost.
        now: Monotonic clock, seconds.
    """
    _find_entry(table, fingerprint, now)


def note_report(
    table: CrashReportTable,
    report: weighing.ReplicaReport,
    at: float,
    now: float,
) -> bool:
    """Takes over what this or another node saw.

    Args:
        table: Reports of the node.
        report: What was seen.
        at: Monotonic second at which it was seen.
        now: Monotonic clock, seconds.

    Returns:
        Whether it changes what is known of the request, so that other
        nodes should know it.
    """
    if now - at > weighing.REPORT_TIME:
        return False
    if report.kind is weighing.ReportKind.ANSWERED:
        return _note_answer(table, report, at)
    entry = _find_entry(table, report.fingerprint, now)
    if report in entry.reports:
        return False
    if len(entry.reports) >= MAX_REPORTS:
        _drop_voided(entry, now)
        if len(entry.reports) >= MAX_REPORTS:
            return False
    entry.reports[report] = at
    prints = table.by_replica.setdefault(report.replica_id, set())
    prints.add(report.fingerprint)
    return is_crash_counted(table, report)


def is_crash_counted(
    table: CrashReportTable, report: weighing.ReplicaReport
) -> bool:
    """Returns whether an end is known that no answer has voided."""
    entry = table.entries.get(report.fingerprint)
    if entry is None or report not in entry.reports:
        return False
    answered = weighing.find_answered(entry.reports, report.caller)
    return entry.reports[report] > answered.get(report.service, float('-inf'))


def classify_request(
    table: CrashReportTable,
    fingerprint: data.Fingerprint,
    caller: data.CallerId,
    now: float,
) -> SuspectStatus | None:
    """Decides whether replicas would end under a request.

    Args:
        table: Reports of the node.
        fingerprint: What would run.
        caller: Who sent it.
        now: Monotonic clock, seconds.

    Returns:
        CONVICTED if it is the cause of ends, SUSPECT if it may be, None
        if nothing speaks against it.
    """
    entry = table.entries.get(fingerprint)
    if entry is None:
        return None
    own = weighing.list_ends(entry.reports, caller, now)
    every = weighing.list_ends(entry.reports, None, now)
    ends = own or every
    if not ends:
        entry.convicted.discard(caller)
        return None
    callers = {report.caller for report, _ in every}
    rivals = _list_rivals(table, fingerprint, ends, now)
    is_cause = weighing.is_cause(own, rivals, now) or (
        len(callers) > 1 and weighing.is_cause(every, rivals, now)
    )
    if is_cause:
        entry.convicted.add(caller)
    elif not weighing.is_enough(ends, now):
        entry.convicted.discard(caller)
    state = data.SuspectState.SUSPECT
    if caller in entry.convicted:
        state = data.SuspectState.CONVICTED
    return SuspectStatus(
        state,
        max(at for _, at in ends) + weighing.find_pause(ends),
        frozenset(report.service for report, _ in ends),
        len(ends) >= weighing.MIN_ENDS,
    )


def throttle_suspect(
    table: CrashReportTable, fingerprint: data.Fingerprint, now: float
) -> float:
    """Decides how long a suspect whose verdict is due has to wait.

    Repeats that come at once would each end a replica before the first end
    is known.

    Args:
        table: Reports of the node.
        fingerprint: What would run.
        now: Monotonic clock, seconds.

    Returns:
        Seconds until it may come again, 0 if it goes through now.
    """
    entry = table.entries[fingerprint]
    left = entry.tried_at + HOLD_TIME - now
    if left > 0.0:
        return left
    entry.tried_at = now
    return 0.0


def start_trial(
    table: CrashReportTable,
    fingerprint: data.Fingerprint,
    own: data.NodeId,
    nodes: abc.Iterable[data.NodeId],
    now: float,
) -> bool:
    """Decides whether this node tries a convicted request again.

    Args:
        table: Reports of the node.
        fingerprint: What would run; its judgement allows a trial.
        own: This node.
        nodes: All nodes, of which one tries.
        now: Monotonic clock, seconds.
    """
    entry = table.entries[fingerprint]
    if now - entry.tried_at < weighing.TRIAL_GAP:
        return False
    if routing.rank_nodes(nodes, f'trial/{fingerprint}')[0] != own:
        return False
    entry.tried_at = now
    return True


def is_convicted(
    table: CrashReportTable,
    fingerprint: data.Fingerprint,
    caller: data.CallerId,
) -> bool:
    """Returns whether the last judgement was a conviction."""
    entry = table.entries.get(fingerprint)
    return entry is not None and caller in entry.convicted


def list_reports(
    table: CrashReportTable, limit: int, now: float
) -> list[tuple[weighing.ReplicaReport, float]]:
    """Lists the reports to send to another node, with their seconds.

    Ends that an answer has voided are left out. Convicted requests come
    first, then those of the newest reports.

    Args:
        table: Reports of the node.
        limit: Reports at most.
        now: Monotonic clock, seconds.
    """
    listed = []
    for entry in table.entries.values():
        ends = weighing.list_valid(entry.reports, now)
        if ends:
            answers = [
                (report, at)
                for report, at in entry.reports.items()
                if report.kind is weighing.ReportKind.ANSWERED
            ]
            newest = max(at for _, at in ends)
            listed.append((bool(entry.convicted), newest, answers + ends))
    listed.sort(key=lambda item: item[:2], reverse=True)
    reports = itertools.chain.from_iterable(item[2] for item in listed)
    return list(itertools.islice(reports, limit))


def count_states(
    table: CrashReportTable, now: float
) -> abc.Mapping[data.SuspectState, int]:
    """Counts the requests of each state, for metrics."""
    counts = {data.SuspectState.SUSPECT: 0, data.SuspectState.CONVICTED: 0}
    for entry in table.entries.values():
        ends = weighing.list_valid(entry.reports, now)
        if entry.convicted:
            counts[data.SuspectState.CONVICTED] += 1
        elif ends:
            counts[data.SuspectState.SUSPECT] += 1
    return counts


def expire_reports(table: CrashReportTable, now: float) -> None:
    """Drops what no longer counts."""
    for fingerprint, entry in list(table.entries.items()):
        if weighing.list_valid(entry.reports, now):
            _drop_voided(entry, now)
        elif now >= entry.watched_until:
            del table.entries[fingerprint]
    table.by_replica.clear()
    for fingerprint, entry in table.entries.items():
        for report in entry.reports:
            prints = table.by_replica.setdefault(report.replica_id, set())
            prints.add(fingerprint)


def _drop_voided(entry, now):
    """Drops the ends that no longer count."""
    valid = dict(weighing.list_valid(entry.reports, now))
    entry.reports = {
        report: at
        for report, at in entry.reports.items()
        if report.kind is weighing.ReportKind.ANSWERED or report in valid
    }


def _find_entry(table, fingerprint, now):
    entry = table.entries.get(fingerprint)
    if entry is None:
        if len(table.entries) >= MAX_ENTRIES:
            _evict(table)
        entry = table.entries[fingerprint] = BlameEntry()
    entry.watched_until = max(entry.watched_until, now + WATCH_TIME)
    return entry


def _evict(table):
    """Drops the oldest entry, of a convicted request only as a last resort."""
    for fingerprint, entry in table.entries.items():
        if not entry.convicted:
            break
    else:
        fingerprint = next(iter(table.entries))
    del table.entries[fingerprint]


def _note_answer(table, report, at):
    """Notes an answer; it is news where it voids an end."""
    entry = table.entries.get(report.fingerprint)
    if entry is None:
        return False
    known = entry.reports.get(report, float('-inf'))
    if at <= known:
        return False
    if report in entry.reports or len(entry.reports) < MAX_REPORTS:
        entry.reports[report] = at
    return any(
        other.kind is weighing.ReportKind.ENDED
        and other.service == report.service
        and known < ended_at <= at
        for other, ended_at in entry.reports.items()
    )


def _list_rivals(table, fingerprint, ends, now):
    """Lists the ends of each other request at the same replicas."""
    if len(ends) < weighing.MIN_ENDS:
        return []
    others = set().union(
        *(table.by_replica.get(report.replica_id, ()) for report, _ in ends)
    )
    return [
        weighing.list_valid(table.entries[other].reports, now)
        for other in others - {fingerprint}
        if other in table.entries
    ]
