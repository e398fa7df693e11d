"""Finds requests under which replicas end, over all nodes and repeats.

A node sees which of its own requests ran at a replica that ended, not what
other nodes had there, so one end says little. A request that is repeated
often also sees many ends, but replicas answer it in between; one that ends
each replica which begins to run it is never answered. Reports of ends and
of answers therefore count for each service apart, and an answer voids the
ends before it. Where several requests ran at the same replica, its end tells
little of each, unless one is well ahead of the others: replicas that end by
themselves leave all with about as many.

Repeats are told by their content and caller. Where callers cannot be told
apart by their address, the content alone counts, if ends under several of
them are known.

A convicted request is refused, so it could never be answered. One node sends
it to one replica again after a while, and later each time that this ends.
"""

from collections import abc
import dataclasses
import enum
import hashlib
import itertools

from citronweir.core import _data as data
from citronweir.core import _routing as routing

# Ends under a request before it counts as their cause. The platform's bound
# on repeats begins with the third.
MIN_ENDS = 3
# Requests of a caller that met an end at the same service; a single one may
# meet several replicas that fail together.
MIN_REQUESTS = 2
# Repeats with ends by which a request is ahead of each other that shares some
# of the ends. One that ran beside the cause twice and met a third end by
# itself is ahead by one. Ends alone do not compare: a request that may be
# retried meets several in each repeat.
MIN_LEAD = 2
# Ends count after this time, when the reports of the other nodes and of the
# other requests are there.
SETTLE_TIME = 0.25  # seconds
# Reports that name the same replica within this time are of one end.
SAME_END_TIME = 1.0  # seconds
# Seconds from the last end until a convicted request is tried again. It
# doubles with each end, up to the limit. The platform allows three retries
# after the third end.
TRIAL_FIRST = 30.0
TRIAL_LIMIT = 600.0
# Seconds from one trial to the next; the end of a replica is known by then.
TRIAL_GAP = 10.0
# Reports are dropped after this time, so that the last trials still count.
REPORT_TIME = 2 * TRIAL_LIMIT  # seconds
# A request with the id of an earlier one counts as another after this time.
SAME_REQUEST_TIME = 1.0  # seconds
# For this time after a request was lost, answers to it are noted: whether
# its replica has ended is known a moment later.
WATCH_TIME = 5.0  # seconds
# At most 10 MB, of the 64 MB that a node may spend on control.
MAX_ENTRIES = 1000
MAX_REPORTS = 64


class ReportKind(enum.Enum):
    """What became of a request at a replica."""

    ENDED = 'ended'
    ANSWERED = 'answered'


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaReport:
    """What one node saw of a request at a replica.

    Attributes:
        request_id: Empty for an answer, of which only the newest counts.
        replica_id: Empty for an answer.
    """

    kind: ReportKind
    fingerprint: data.Fingerprint
    caller: data.CallerId
    service: data.ServiceName
    request_id: data.RequestId = data.RequestId('')
    replica_id: data.ReplicaId = data.ReplicaId('')


@dataclasses.dataclass(slots=True)
class BlameEntry:
    """Reports of one fingerprint.

    Attributes:
        reports: Monotonic second of each.
        watched_until: Monotonic second until which it is kept though no
            end counts.
        tried_at: Monotonic second of the last trial.
        convicted: Callers for which the request is the cause of ends.
    """

    reports: dict[ReplicaReport, float] = dataclasses.field(
        default_factory=dict
    )
    watched_until: float = 0.0
    tried_at: float = float('-inf')
    convicted: set[data.CallerId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class BlameTable:
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
class Judgement:
    """What is known of a request.

    Attributes:
        state: SUSPECT or CONVICTED.
        until: Monotonic second from which a convicted one may be tried.
        services: Where replicas ended and none has answered since.
    """

    state: data.SuspectState
    until: float
    services: frozenset[data.ServiceName]


def fingerprint_request(req: data.HttpRequest) -> data.Fingerprint:
    """Hashes what a replica would run, which repeats have in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (req.method, req.host.lower(), req.target):
        digest.update(part.encode(errors='surrogatepass') + b'\0')
    digest.update(req.body)
    return data.Fingerprint(digest.hexdigest())


def watch_request(
    table: BlameTable, fingerprint: data.Fingerprint, now: float
) -> None:
    """Notes that a request was lost, maybe with its replica.

    Args:
        table: Reports of the node.
        fingerprint: What was lost.
        now: Monotonic clock, seconds.
    """
    _find_entry(table, fingerprint, now)


def note_report(
    table: BlameTable, report: ReplicaReport, at: float, now: float
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
    if now - at > REPORT_TIME:
        return False
    if report.kind is ReportKind.ANSWERED:
        return _note_answer(table, report, at)
    entry = _find_entry(table, report.fingerprint, now)
    if report in entry.reports or len(entry.reports) >= MAX_REPORTS:
        return False
    entry.reports[report] = at
    prints = table.by_replica.setdefault(report.replica_id, set())
    prints.add(report.fingerprint)
    return is_valid(table, report)


def is_valid(table: BlameTable, report: ReplicaReport) -> bool:
    """Returns whether an end is known that no answer has voided."""
    entry = table.entries.get(report.fingerprint)
    if entry is None or report not in entry.reports:
        return False
    answered = _find_answered(entry, report.caller)
    return entry.reports[report] > answered.get(report.service, float('-inf'))


def judge_request(
    table: BlameTable,
    fingerprint: data.Fingerprint,
    caller: data.CallerId,
    now: float,
) -> Judgement | None:
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
    own = _list_ends(entry, caller, now)
    every = _list_ends(entry, None, now)
    ends = own or every
    if not ends:
        entry.convicted.discard(caller)
        return None
    callers = {report.caller for report, _ in every}
    is_cause = _is_cause(table, own, now) or (
        len(callers) > 1 and _is_cause(table, every, now)
    )
    if is_cause:
        entry.convicted.add(caller)
    elif not _is_enough(ends, now):
        entry.convicted.discard(caller)
    state = data.SuspectState.SUSPECT
    if caller in entry.convicted:
        state = data.SuspectState.CONVICTED
    return Judgement(
        state,
        max(at for _, at in ends) + _find_pause(ends),
        frozenset(report.service for report, _ in ends),
    )


def start_trial(
    table: BlameTable,
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
    if now - entry.tried_at < TRIAL_GAP:
        return False
    if routing.rank_nodes(nodes, f'trial/{fingerprint}')[0] != own:
        return False
    entry.tried_at = now
    return True


def is_convicted(
    table: BlameTable, fingerprint: data.Fingerprint, caller: data.CallerId
) -> bool:
    """Returns whether the last judgement was a conviction."""
    entry = table.entries.get(fingerprint)
    return entry is not None and caller in entry.convicted


def list_reports(
    table: BlameTable, limit: int, now: float
) -> list[tuple[ReplicaReport, float]]:
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
        ends = _list_valid(entry, now)
        if ends:
            answers = [
                (report, at)
                for report, at in entry.reports.items()
                if report.kind is ReportKind.ANSWERED
            ]
            newest = max(at for _, at in ends)
            listed.append((bool(entry.convicted), newest, answers + ends))
    listed.sort(key=lambda item: item[:2], reverse=True)
    reports = itertools.chain.from_iterable(item[2] for item in listed)
    return list(itertools.islice(reports, limit))


def count_states(
    table: BlameTable, now: float
) -> abc.Mapping[data.SuspectState, int]:
    """Counts the requests of each state, for metrics."""
    counts = {data.SuspectState.SUSPECT: 0, data.SuspectState.CONVICTED: 0}
    for entry in table.entries.values():
        ends = _list_valid(entry, now)
        if entry.convicted:
            counts[data.SuspectState.CONVICTED] += 1
        elif ends:
            counts[data.SuspectState.SUSPECT] += 1
    return counts


def expire_reports(table: BlameTable, now: float) -> None:
    """Drops what no longer counts."""
    for fingerprint, entry in list(table.entries.items()):
        ends = _list_valid(entry, now)
        if ends:
            valid = dict(ends)
            entry.reports = {
                report: at
                for report, at in entry.reports.items()
                if report.kind is ReportKind.ANSWERED or report in valid
            }
        elif now >= entry.watched_until:
            del table.entries[fingerprint]
    table.by_replica.clear()
    for fingerprint, entry in table.entries.items():
        for report in entry.reports:
            prints = table.by_replica.setdefault(report.replica_id, set())
            prints.add(fingerprint)


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
        other.kind is ReportKind.ENDED
        and other.service == report.service
        and known < ended_at <= at
        for other, ended_at in entry.reports.items()
    )


def _find_answered(entry, caller):
    """Finds the newest answer of each service to a caller, or to any."""
    answered = {}
    for report, at in entry.reports.items():
        if report.kind is ReportKind.ANSWERED:
            if caller is None or report.caller == caller:
                known = answered.get(report.service, at)
                answered[report.service] = max(known, at)
    return answered


def _list_valid(entry, now):
    """Lists the ends that count for their own caller."""
    callers = {report.caller for report in entry.reports}
    return [
        end for caller in callers for end in _list_ends(entry, caller, now)
    ]


def _list_ends(entry, caller, now):
    """Lists the ends that count, of one caller or of all."""
    answered = _find_answered(entry, caller)
    return [
        (report, at)
        for report, at in entry.reports.items()
        if report.kind is ReportKind.ENDED
        and (caller is None or report.caller == caller)
        and at > answered.get(report.service, float('-inf'))
        and now - at <= REPORT_TIME
    ]


def _is_cause(table, ends, now):
    """Tells whether the ends are enough, and not of rivals as well."""
    if not _is_enough(ends, now):
        return False
    rivals = _list_rivals(table, ends, now)
    alone = [end for end in ends if not _share_end([end], sum(rivals, []))]
    most = _count_requests(ends) - MIN_LEAD
    return _is_enough(alone, now) or all(
        _count_requests(rival) <= most for rival in rivals
    )


def _is_enough(ends, now):
    """Tells whether ends of one request could not come by chance."""
    by_service, count = {}, 0
    for report, at in ends:
        if now - at >= SETTLE_TIME:
            by_service.setdefault(report.service, []).append((report, at))
            count += 1
    return count >= MIN_ENDS and any(
        _count_requests(found) >= MIN_REQUESTS for found in by_service.values()
    )


def _list_rivals(table, ends, now):
    """Lists the ends of each other request that shares some of these."""
    (fingerprint,) = {report.fingerprint for report, _ in ends}
    others = set().union(
        *(table.by_replica.get(report.replica_id, ()) for report, _ in ends)
    )
    found = [
        _list_valid(table.entries[other], now)
        for other in others - {fingerprint}
        if other in table.entries
    ]
    return [rival for rival in found if _share_end(ends, rival)]


def _find_pause(ends):
    doublings = max(0, len(ends) - MIN_ENDS)
    return min(TRIAL_LIMIT, TRIAL_FIRST * 2.0**doublings)


def _share_end(ends, others):
    return any(
        report.replica_id == other.replica_id
        and abs(at - other_at) <= SAME_END_TIME
        for report, at in ends
        for other, other_at in others
    )


def _count_requests(ends):
    """Counts the requests that met ends, and repeats under one id."""
    last, count = {}, 0
    for report, at in sorted(ends, key=lambda end: end[1]):
        known = last.get(report.request_id)
        if known is None or at - known > SAME_REQUEST_TIME:
            count += 1
        last[report.request_id] = at
    return count
