"""Tracks the requests that were running when replicas crashed.

A node sees only which of its own requests ran at a replica that crashed, so
nodes send each other crash reports. Repeats of a request are recognised by
their content and caller. Where callers cannot be told apart by their address,
the content alone is used once crashes under several callers are known.

A convicted request is refused, so no answer could ever clear it. After a delay
one node therefore sends it to one replica as a trial. The delay grows each
time that replica crashes.
"""

from collections import abc
import dataclasses
import hashlib
import itertools

from citronweir.core import _assignment as assignment
from citronweir.core import _crash_cause as crash_cause
from citronweir.core import _crash_table as crash_table
from citronweir.core import _data as data

# Minimum time between two repeats, at one node, of a suspect with enough
# crashes for a conviction. All nodes know of a crash and count it within this
# time.
SUSPECT_INTERVAL = 0.5  # seconds
# Crashes of one request in a message, while other requests wait for room in
# it. They suffice for a conviction.
REQUEST_SHARE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectStatus:
    """Whether a request may crash replicas, and when it may be sent again.

    Attributes:
        state: SUSPECT or CONVICTED.
        retry_at: Monotonic second from which a convicted request may be
            tried again.
        services: Services whose replicas crashed and have not answered
            since, those that most repeats have met first.
        is_conviction_pending: Whether there are enough crashes for a
            conviction, though reports may be missing yet or other requests
            share the crashes.
    """

    state: data.SuspectState
    retry_at: float
    services: tuple[data.ServiceName, ...]
    is_conviction_pending: bool = False


def fingerprint_request(req: data.HttpRequest) -> data.Fingerprint:
    """Hashes the content that a replica runs, which repeats share."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (req.method, req.host.lower(), req.target):
        digest.update(part.encode(errors='surrogatepass') + b'\0')
    digest.update(req.body)
    return data.Fingerprint(digest.hexdigest())


def classify_request(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    caller: data.CallerId,
    now: float,
) -> SuspectStatus | None:
    """Decides whether a request is likely to crash replicas.

    A conviction lasts while the request has enough crashes, also when another
    request comes to share them.

    Args:
        table: Reports of the node.
        fingerprint: Fingerprint of the request.
        caller: Caller that sent it.
        now: Monotonic clock, seconds.

    Returns:
        CONVICTED if it is the cause of crashes, SUSPECT if it may be, None
        if there are no crashes since its last answer.
    """
    entry = table.entries.get(fingerprint)
    if entry is None:
        return None
    own_crashes = _list_crashes(entry, caller, now)
    all_crashes = _list_crashes(entry, None, now)
    crashes = own_crashes or all_crashes
    if not crashes:
        entry.convicted.discard(caller)
        return None
    callers = {report.caller for report, _ in all_crashes}

    def list_candidates():
        return _list_candidates(table, fingerprint, crashes, now)

    is_cause = crash_cause.is_cause(own_crashes, list_candidates, now) or (
        len(callers) > 1
        and crash_cause.is_cause(all_crashes, list_candidates, now)
    )
    if is_cause:
        entry.convicted.add(caller)
    elif not crash_cause.has_enough_crashes(crashes, now):
        entry.convicted.discard(caller)
    state = data.SuspectState.SUSPECT
    if caller in entry.convicted:
        state = data.SuspectState.CONVICTED
    return SuspectStatus(
        state,
        max(at for _, at in crashes) + crash_cause.find_trial_delay(crashes),
        crash_cause.list_services(crashes),
        len(crashes) >= crash_cause.MIN_CRASHES,
    )


def throttle_suspect(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    now: float,
) -> float:
    """Limits the rate of a suspect whose conviction is pending.

    Simultaneous repeats would each crash a replica before the first crash is
    known.

    Args:
        table: Reports of the node.
        fingerprint: Fingerprint of the suspect.
        now: Monotonic clock, seconds.

    Returns:
        Seconds until the request may be sent, 0 if it is sent now.
    """
    entry = table.entries[fingerprint]
    left = entry.last_sent_at + SUSPECT_INTERVAL - now
    if left > 0.0:
        return left
    entry.last_sent_at = now
    return 0.0


def start_trial(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    own_id: data.NodeId,
    nodes: abc.Iterable[data.NodeId],
    now: float,
) -> bool:
    """Decides whether this node now sends a convicted request as a trial.

    Args:
        table: Reports of the node.
        fingerprint: Fingerprint of a request whose status allows a trial.
        own_id: This node.
        nodes: All nodes; the one that ranks first for the fingerprint runs
            its trials.
        now: Monotonic clock, seconds.
    """
    entry = table.entries[fingerprint]
    if now - entry.last_sent_at < crash_cause.MIN_TRIAL_INTERVAL:
        return False
    if assignment.rank_nodes(nodes, f'trial/{fingerprint}')[0] != own_id:
        return False
    entry.last_sent_at = now
    return True


def is_convicted(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    caller: data.CallerId,
) -> bool:
    """Returns whether the request was convicted when last classified."""
    entry = table.entries.get(fingerprint)
    return entry is not None and caller in entry.convicted


def is_convicted_for_any(
    table: crash_table.CrashReportTable, fingerprint: data.Fingerprint
) -> bool:
    """Returns whether the request was convicted for at least one caller."""
    entry = table.entries.get(fingerprint)
    return entry is not None and bool(entry.convicted)


def is_answered(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    now: float,
) -> bool:
    """Returns whether a replica answered the request after its crashes."""
    entry = table.entries.get(fingerprint)
    return (
        entry is not None
        and bool(entry.answers)
        and not crash_table.list_entry_crashes(table, fingerprint, now)
    )


def list_proven(
    table: crash_table.CrashReportTable, now: float
) -> list[data.Fingerprint]:
    """Lists the requests with enough crashes for a conviction."""
    return [
        fingerprint
        for fingerprint, entry in table.entries.items()
        if len(entry.crashes) >= crash_cause.MIN_CRASHES
        and crash_cause.has_enough_crashes(
            crash_table.list_entry_crashes(table, fingerprint, now), now
        )
    ]


def classify_all_callers(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    now: float,
) -> None:
    """Classifies a request for each caller whose repeats met crashes."""
    crashes = crash_table.list_entry_crashes(table, fingerprint, now)
    for caller in {report.caller for report, _ in crashes}:
        classify_request(table, fingerprint, caller, now)


def restore_crashes(
    table: crash_table.CrashReportTable,
    fingerprint: data.Fingerprint,
    crashes: abc.Iterable[crash_cause.TimedReport],
    now: float,
) -> None:
    """Adds the crashes of a request that was convicted by them.

    Its conviction is restored as well: other requests that shared the
    crashes when it was convicted may be unknown by now. The next trial waits
    for MIN_TRIAL_INTERVAL, in which the node learns of the other nodes.

    Args:
        table: Reports of the node.
        fingerprint: Fingerprint of the request.
        crashes: Crashes with their monotonic seconds.
        now: Monotonic clock, seconds.
    """
    is_new = not is_convicted_for_any(table, fingerprint)
    counted = [
        report
        for report, at in crashes
        if crash_table.merge_report(table, report, at, now)
        or crash_table.is_crash_counted(table, report)
    ]
    if not counted:
        return
    entry = table.entries[fingerprint]
    entry.convicted.update(report.caller for report in counted)
    if is_new:
        entry.last_sent_at = max(entry.last_sent_at, now)


def list_reports(
    table: crash_table.CrashReportTable, limit: int, now: float
) -> list[crash_cause.TimedReport]:
    """Lists the reports to send to another node, with their seconds.

    Crashes before the last answer are left out. Each message starts at
    another request, so that all of them are sent in turn however many there
    are.

    Args:
        table: Reports of the node.
        limit: Maximum number of reports.
        now: Monotonic clock, seconds.
    """
    crashes = {
        fingerprint: found
        for fingerprint in table.entries
        if (found := crash_table.list_entry_crashes(table, fingerprint, now))
    }
    start = table.next_listed % max(1, len(crashes))
    fingerprints = list(crashes)
    fingerprints = fingerprints[start:] + fingerprints[:start]
    reports, first_count = [], 0
    for fingerprint in fingerprints:
        ranked = crash_cause.rank_crashes(crashes[fingerprint])
        reports += _add_answers(table, ranked[:REQUEST_SHARE])
        first_count += len(reports) <= limit
    table.next_listed = start + max(1, first_count)
    others = itertools.chain.from_iterable(
        _add_answers(
            table, crash_cause.rank_crashes(crashes[item])[REQUEST_SHARE:]
        )
        for item in fingerprints
    )
    chosen = dict.fromkeys(itertools.chain(reports, others))
    return list(itertools.islice(chosen, limit))


def choose_reports(
    table: crash_table.CrashReportTable,
    reports: abc.Iterable[crash_cause.TimedReport],
    limit: int,
    now: float,
) -> list[crash_cause.TimedReport]:
    """Chooses which of the latest reports to send to other nodes next.

    Answers come first: they clear a request. Then come the crashes of the
    requests with the most crashed repeats, the likely causes.

    Args:
        table: Reports of the node.
        reports: Reports that were not sent yet.
        limit: Maximum number of reports.
        now: Monotonic clock, seconds.
    """
    answers, crashes = [], {}
    for report, at in reports:
        if report.kind is crash_cause.ReportKind.ANSWERED:
            answers.append((report, at))
        elif crash_table.is_crash_counted(table, report):
            crashes.setdefault(report.fingerprint, []).append((report, at))
    repeats = {
        fingerprint: crash_cause.count_requests(
            crash_table.list_entry_crashes(table, fingerprint, now)
        )
        for fingerprint in crashes
    }
    ranked = [
        crash_cause.rank_crashes(crashes[fingerprint])
        for fingerprint in sorted(crashes, key=repeats.get, reverse=True)
    ]
    first = [crash for item in ranked for crash in item[:REQUEST_SHARE]]
    others = [crash for item in ranked for crash in item[REQUEST_SHARE:]]
    return (answers + first + others)[:limit]


def count_states(
    table: crash_table.CrashReportTable, now: float
) -> abc.Mapping[data.SuspectState, int]:
    """Counts the requests of each state, for metrics."""
    counts = {data.SuspectState.SUSPECT: 0, data.SuspectState.CONVICTED: 0}
    for fingerprint, entry in table.entries.items():
        if entry.convicted:
            counts[data.SuspectState.CONVICTED] += 1
        elif crash_table.list_entry_crashes(table, fingerprint, now):
            counts[data.SuspectState.SUSPECT] += 1
    return counts


def _list_crashes(entry, caller, now):
    return crash_cause.list_crashes(entry.crashes, entry.answers, caller, now)


def _add_answers(table, crashes):
    """Puts the answers of the services and callers of crashes before them.

    They cancel the earlier crashes that another node knows.
    """
    answers = {}
    for report, _ in crashes:
        known = table.entries[report.fingerprint].answers
        at = known.get((report.caller, report.service))
        if at is not None:
            answer = crash_cause.ReplicaReport(
                crash_cause.ReportKind.ANSWERED,
                report.fingerprint,
                report.caller,
                report.service,
            )
            answers[answer] = at
    return [*answers.items(), *crashes]


def _list_candidates(table, fingerprint, crashes, now):
    """Lists the crashes of each other request at the same replicas."""
    others = set().union(
        *(
            table.fingerprints_by_replica.get(report.replica_id, ())
            for report, _ in crashes
        )
    )
    return [
        crash_table.list_entry_crashes(table, other, now)
        for other in others - {fingerprint}
        if other in table.entries
    ]
