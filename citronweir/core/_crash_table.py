"""Holds the reports about requests that ran at replicas when these crashed.

The table is bounded in its entries, in the reports of each entry and in all
its reports. Callers choose how many different requests they send and how many
shards each of them reaches, so a full table gives up what decides least:
answered crashes, then crashes that a conviction doesn't need, then whole
requests, those with the fewest crashed repeats first. A new report is never
refused, since repeats of a crashing request are the newest reports.
"""

import dataclasses

from citronweir.core import _crash_cause as crash_cause
from citronweir.core import _data as data

# A lost request is kept this long even without crash reports, so that answers
# to it are recorded: whether its replica crashed is known only a moment later.
LOST_REQUEST_TIME = 5.0  # seconds
# A report takes about 480 bytes, so MAX_REPORTS bounds the table to 15 MB, of
# the 64 MB that a node may use for control. A request to 490 shards, with two
# replicas each, may crash 980 at once.
MAX_ENTRIES = 1000
MAX_CRASHES = 1024  # for each entry
MAX_ANSWERS = 1024  # for each entry
MAX_REPORTS = 32_000
# Crashes and answers that an entry keeps while the whole table is full. Those
# of MAX_ENTRIES take half of it.
MIN_KEPT_REPORTS = 8
# Share of a full table that is emptied at once, since that takes a pass over
# all entries.
_FREED_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class RequestEntry:
    """Reports about requests with one fingerprint.

    Attributes:
        crashes: Crashes and the monotonic second of each.
        answers: Monotonic second of the last answer of each service to each
            caller.
        kept_until: Monotonic second until which the entry is kept even if
            no crash counts.
        last_sent_at: Monotonic second at which the request last went
            through as a throttled suspect or as a trial.
        convicted: Callers for which the request is the cause of crashes.
    """

    crashes: dict[crash_cause.ReplicaReport, float] = dataclasses.field(
        default_factory=dict
    )
    answers: dict[crash_cause.AnswerKey, float] = dataclasses.field(
        default_factory=dict
    )
    kept_until: float = 0.0
    last_sent_at: float = float('-inf')
    convicted: set[data.CallerId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class CrashReportTable:
    """Crash reports and answers that a node knows, by request.

    Attributes:
        fingerprints_by_replica: Requests that were running at each replica
            when it crashed.
        report_count: Crashes and answers of all entries.
        next_listed: Position among the requests with crashes at which the
            next message to another node starts.
    """

    entries: dict[data.Fingerprint, RequestEntry] = dataclasses.field(
        default_factory=dict
    )
    fingerprints_by_replica: dict[data.ReplicaId, set[data.Fingerprint]] = (
        dataclasses.field(default_factory=dict)
    )
    report_count: int = 0
    next_listed: int = 0


def record_lost_request(
    table: CrashReportTable, fingerprint: data.Fingerprint, now: float
) -> None:
    """Keeps an entry for a request whose replica may have crashed.

    Args:
        table: Reports of the node.
        fingerprint: Fingerprint of the lost request.
        now: Monotonic clock, seconds.
    """
    _find_or_add_entry(table, fingerprint, now)


def merge_report(
    table: CrashReportTable,
    report: crash_cause.ReplicaReport,
    at: float,
    now: float,
) -> bool:
    """Merges a report of this or another node.

    Args:
        table: Reports of the node.
        report: Crash or answer.
        at: Monotonic second of the crash or answer.
        now: Monotonic clock, seconds.

    Returns:
        Whether the report adds or cancels a crash, so that other nodes
        need it.
    """
    if now - at > crash_cause.REPORT_LIFETIME:
        return False
    if report.kind is crash_cause.ReportKind.ANSWERED:
        return _merge_answer(table, report, at, now)
    entry = _find_or_add_entry(table, report.fingerprint, now)
    if report in entry.crashes:
        return False
    _make_room(table, entry, now)
    entry.crashes[report] = at
    table.report_count += 1
    _index_replica(table, report)
    return is_crash_counted(table, report)


def is_crash_counted(
    table: CrashReportTable, report: crash_cause.ReplicaReport
) -> bool:
    """Returns whether a crash is known and no later answer cancels it."""
    entry = table.entries.get(report.fingerprint)
    if entry is None or report not in entry.crashes:
        return False
    return crash_cause.is_counted(report, entry.crashes[report], entry.answers)


def list_entry_crashes(
    table: CrashReportTable, fingerprint: data.Fingerprint, now: float
) -> list[crash_cause.TimedReport]:
    """Lists the crashes of a request that no later answer cancels."""
    entry = table.entries[fingerprint]
    return crash_cause.list_counted_crashes(entry.crashes, entry.answers, now)


def drop_crashes(
    table: CrashReportTable,
    fingerprint: data.Fingerprint,
    reports: list[crash_cause.ReplicaReport],
) -> None:
    """Drops crashes that no longer count on any node."""
    entry = table.entries.get(fingerprint)
    if entry is None:
        return
    for report in reports:
        if entry.crashes.pop(report, None) is not None:
            table.report_count -= 1
    entry.convicted.intersection_update(
        report.caller for report in entry.crashes
    )


def expire_reports(table: CrashReportTable, now: float) -> None:
    """Drops stale crashes, and entries without any that counts."""
    for fingerprint, entry in list(table.entries.items()):
        _drop_stale_crashes(entry, now)
        if not entry.crashes and now >= entry.kept_until:
            del table.entries[fingerprint]
    _rebuild_index(table)


def _find_or_add_entry(table, fingerprint, now):
    """Finds or adds an entry and extends the time for which it is kept."""
    entry = table.entries.get(fingerprint)
    if entry is None:
        if len(table.entries) >= MAX_ENTRIES:
            _evict_entries(table, now)
        entry = table.entries[fingerprint] = RequestEntry()
    entry.kept_until = max(entry.kept_until, now + LOST_REQUEST_TIME)
    return entry


def _merge_answer(table, report, at, now):
    """Records an answer and returns whether it cancels a crash."""
    entry = table.entries.get(report.fingerprint)
    if entry is None:
        return False
    key = report.caller, report.service
    known = entry.answers.get(key, float('-inf'))
    if at <= known:
        return False
    if key not in entry.answers:
        _make_room(table, entry, now)
        table.report_count += 1
    entry.answers[key] = at
    entry.kept_until = max(entry.kept_until, at + LOST_REQUEST_TIME)
    return any(
        crash.service == report.service and known < crashed_at <= at
        for crash, crashed_at in entry.crashes.items()
    )


def _make_room(table, entry, now):
    """Makes room for one more report of an entry."""
    if len(entry.crashes) >= MAX_CRASHES:
        _drop_stale_crashes(entry, now)
        _thin_crashes(entry, int((1.0 - _FREED_SHARE) * MAX_CRASHES))
    if len(entry.answers) >= MAX_ANSWERS:
        _thin_answers(entry, int((1.0 - _FREED_SHARE) * MAX_ANSWERS))
    if table.report_count < MAX_REPORTS:
        return
    for other in table.entries.values():
        _drop_stale_crashes(other, now)
        _thin_crashes(other, MIN_KEPT_REPORTS)
        _thin_answers(other, MIN_KEPT_REPORTS)
    _rebuild_index(table)


def _drop_stale_crashes(entry, now):
    """Drops crashes that have expired or precede an answer."""
    valid = crash_cause.list_counted_crashes(entry.crashes, entry.answers, now)
    if len(valid) < len(entry.crashes):
        entry.crashes = dict(valid)


def _thin_crashes(entry, limit):
    """Keeps the crashes that prove most."""
    if len(entry.crashes) > limit:
        ranked = crash_cause.rank_crashes(entry.crashes.items())
        entry.crashes = dict(ranked[:limit])


def _thin_answers(entry, limit):
    """Keeps the latest answers: crashes that are reported late are newer."""
    if len(entry.answers) > limit:
        latest = sorted(entry.answers.items(), key=lambda item: item[1])
        entry.answers = dict(latest[-limit:])


def _evict_entries(table, now):
    """Drops a lost request, or else some of those with crashes.

    Any caller brings about lost requests by leaving. Of the others, those
    with the fewest crashed repeats are the least likely causes, and convicted
    ones go last.
    """
    for fingerprint, entry in table.entries.items():
        if not entry.crashes:
            table.report_count -= len(entry.answers)
            del table.entries[fingerprint]
            return

    def weigh(fingerprint):
        crashes = list_entry_crashes(table, fingerprint, now)
        return (
            bool(table.entries[fingerprint].convicted),
            crash_cause.count_requests(crashes),
            max((at for _, at in crashes), default=float('-inf')),
        )

    least = sorted(table.entries, key=weigh)
    for fingerprint in least[: int(_FREED_SHARE * MAX_ENTRIES)]:
        del table.entries[fingerprint]
    _rebuild_index(table)


def _rebuild_index(table):
    """Counts the reports and maps replicas to requests again."""
    table.report_count = 0
    table.fingerprints_by_replica.clear()
    for entry in table.entries.values():
        table.report_count += len(entry.crashes) + len(entry.answers)
        for report in entry.crashes:
            _index_replica(table, report)


def _index_replica(table, report):
    table.fingerprints_by_replica.setdefault(report.replica_id, set()).add(
        report.fingerprint
    )
