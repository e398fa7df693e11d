"""Weighs the ends of replicas under a request against what speaks for it.

One end says little. A request that is repeated often also sees many ends,
but replicas answer it in between; one that ends each replica which begins to
run it is never answered. So ends count for each service apart, and an answer
voids the ends before it. Where several requests ran at the same replica, its
end tells little of each, unless one is well ahead of the others: replicas
that end by themselves leave all with about as many.
"""

from collections import abc
import dataclasses
import enum

from citronweir.core import _data as data

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


# Report with the monotonic second at which it was seen.
Seen = tuple[ReplicaReport, float]
Reports = abc.Mapping[ReplicaReport, float]


def find_answered(
    reports: Reports, caller: data.CallerId | None
) -> dict[data.ServiceName, float]:
    """Finds the newest answer of each service to a caller, or to any."""
    answered = {}
    for report, at in reports.items():
        if report.kind is ReportKind.ANSWERED:
            if caller is None or report.caller == caller:
                known = answered.get(report.service, at)
                answered[report.service] = max(known, at)
    return answered


def list_ends(
    reports: Reports, caller: data.CallerId | None, now: float
) -> list[Seen]:
    """Lists the ends that count, of one caller or of all."""
    answered = find_answered(reports, caller)
    return [
        (report, at)
        for report, at in reports.items()
        if report.kind is ReportKind.ENDED
        and (caller is None or report.caller == caller)
        and at > answered.get(report.service, float('-inf'))
        and now - at <= REPORT_TIME
    ]


def list_valid(reports: Reports, now: float) -> list[Seen]:
    """Lists the ends that count for their own caller."""
    callers = {report.caller for report in reports}
    return [
        end for caller in callers for end in list_ends(reports, caller, now)
    ]


def is_cause(
    ends: abc.Sequence[Seen],
    others: abc.Iterable[abc.Sequence[Seen]],
    now: float,
) -> bool:
    """Tells whether a request is the cause of its ends.

    Args:
        ends: Ends of the request that count.
        others: The same of each other request at the same replicas.
        now: Monotonic clock, seconds.
    """
    if not is_enough(ends, now):
        return False
    rivals, shared = [], {}
    for other in others:
        if any(_is_among(end, _index(other)) for end in ends):
            rivals.append(other)
            for replica_id, times in _index(other).items():
                shared.setdefault(replica_id, []).extend(times)
    alone = [end for end in ends if not _is_among(end, shared)]
    most = count_requests(ends) - MIN_LEAD
    return is_enough(alone, now) or all(
        count_requests(rival) <= most for rival in rivals
    )


def is_enough(ends: abc.Iterable[Seen], now: float) -> bool:
    """Tells whether ends of one request could hardly come by chance."""
    by_service, count = {}, 0
    for report, at in ends:
        if now - at >= SETTLE_TIME:
            by_service.setdefault(report.service, []).append((report, at))
            count += 1
    return count >= MIN_ENDS and any(
        count_requests(found) >= MIN_REQUESTS for found in by_service.values()
    )


def count_requests(ends: abc.Iterable[Seen]) -> int:
    """Counts the requests that met ends, and repeats under one id."""
    last, count = {}, 0
    for report, at in sorted(ends, key=lambda end: end[1]):
        known = last.get(report.request_id)
        if known is None or at - known > SAME_REQUEST_TIME:
            count += 1
        last[report.request_id] = at
    return count


def find_pause(ends: abc.Sequence[Seen]) -> float:
    """Returns the seconds from the last end to the next trial."""
    doublings = max(0, len(ends) - MIN_ENDS)
    return min(TRIAL_LIMIT, TRIAL_FIRST * 2.0**doublings)


def _index(ends):
    times = {}
    for report, at in ends:
        times.setdefault(report.replica_id, []).append(at)
    return times


def _is_among(end, times):
    """Tells whether an end is one of those at the same replica."""
    report, at = end
    return any(
        abs(at - other) <= SAME_END_TIME
        for other in times.get(report.replica_id, ())
    )
