"""Decides from crash reports whether a request makes replicas crash.

A crash is any end of a replica process while a request runs there. A single
crash proves little, and a request that is repeated often meets many crashes
that it did not cause, but replicas answer it in between. A request that
crashes every replica that runs it is never answered. Crashes are therefore
counted for each service separately, and an answer of the service cancels the
crashes before it.

Several requests may have been running at a replica when it crashed. Such a
crash counts against a request only if that request has met clearly more
crashes than each of the others: replicas that crash for unrelated reasons
leave all requests with similar counts.
"""

from collections import abc
import dataclasses
import enum

from citronweir.core import _data as data

# Crashes before a request counts as their cause. The platform limits repeats
# from the third crash on.
MIN_CRASHES = 3
# The same for crashes that it shares with no other candidate, if each of its
# repeats also met one that it shares with a likely cause. That one explains
# why the repeat was retried, and three retries in a row can meet unrelated
# crashes.
MIN_UNSHARED_CRASHES = 4
# Distinct requests that met a crash at the same service: the attempts of a
# single one may meet several replicas that fail together.
MIN_REQUESTS = 2
# A request is the cause of shared crashes if it has this many more crashed
# repeats than each other candidate. A lead of one is not enough: a harmless
# request that ran beside the cause twice and met one unrelated crash has it.
# Repeats are compared, not crashes, as a request that may be retried can meet
# several crashes in each repeat.
MIN_LEAD = 2
# Crashed repeats in a row, without an answer between them, after which a
# request is a cause whatever else was running. Two requests that crash the
# same replicas together have no lead over each other.
MAX_UNANSWERED_REPEATS = 6
# A crash counts after this time, when the reports of other nodes and about
# other requests at the replica have arrived.
SETTLE_TIME = 0.25  # seconds
# Reports about the same replica within this time are of one crash.
SAME_CRASH_TIME = 1.0  # seconds
# Delay from the last crash to the next trial of a convicted request. It
# doubles with each further crash, up to the maximum. The platform allows three
# retries after the third crash.
FIRST_TRIAL_DELAY = 30.0  # seconds
MAX_TRIAL_DELAY = 600.0  # seconds
# Time between two trials, in which a crash under the first becomes known.
MIN_TRIAL_INTERVAL = 10.0  # seconds
# Reports expire after this time; it is long enough for crashes of the last
# trials to count.
REPORT_LIFETIME = 2 * MAX_TRIAL_DELAY  # seconds
# Crashes of requests with the same id count as one repeat if each follows the
# one before within this time.
SAME_REQUEST_TIME = 1.0  # seconds


class ReportKind(enum.Enum):
    """Outcome of a request at a replica.

    ENDED: the replica crashed while the request was running.
    ANSWERED: the replica sent an answer.
    """

    ENDED = 'ended'
    ANSWERED = 'answered'


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaReport:
    """Outcome of a request at a replica, as one node observed it.

    Attributes:
        request_id: Names one repeat of the request. Empty for an answer; only
            the newest answer is kept.
        replica_id: Empty for an answer.
    """

    kind: ReportKind
    fingerprint: data.Fingerprint
    caller: data.CallerId
    service: data.ServiceName
    request_id: data.RequestId = data.RequestId('')
    replica_id: data.ReplicaId = data.ReplicaId('')


# A report and the monotonic time of its observation, in seconds.
TimedReport = tuple[ReplicaReport, float]
CrashTimes = abc.Mapping[ReplicaReport, float]
# Time of the last answer of each service to each caller.
AnswerKey = tuple[data.CallerId, data.ServiceName]
AnswerTimes = abc.Mapping[AnswerKey, float]


def list_crashes(
    crashes: CrashTimes,
    answers: AnswerTimes,
    caller: data.CallerId | None,
    now: float,
) -> list[TimedReport]:
    """Lists crashes since the last answer, of one caller or of all.

    For all callers (None), an answer to any of them counts.
    """
    answered = {}
    for (answered_caller, service), at in answers.items():
        if caller is None or answered_caller == caller:
            answered[service] = max(at, answered.get(service, at))
    return [
        (report, at)
        for report, at in crashes.items()
        if (caller is None or report.caller == caller)
        and at > answered.get(report.service, float('-inf'))
        and now - at <= REPORT_LIFETIME
    ]


def is_counted(report: ReplicaReport, at: float, answers: AnswerTimes) -> bool:
    """Returns whether no later answer to the same caller cancels a crash."""
    answered_at = answers.get((report.caller, report.service))
    return answered_at is None or at > answered_at


def list_counted_crashes(
    crashes: CrashTimes, answers: AnswerTimes, now: float
) -> list[TimedReport]:
    """Lists each caller's crashes since its own last answer."""
    return [
        (report, at)
        for report, at in crashes.items()
        if now - at <= REPORT_LIFETIME and is_counted(report, at, answers)
    ]


def rank_crashes(crashes: abc.Iterable[TimedReport]) -> list[TimedReport]:
    """Orders crashes by what they contribute to a conviction.

    A request to many shards can crash a replica of each at once, while a
    conviction needs crashes of several requests at one service. Wherever only
    some crashes can be kept or sent, the first ones of this order prove as
    much as all of them:

    - one crash of each of MIN_REQUESTS requests at the service that most
      requests share,
    - one crash of each other request, the newest first,
    - the others, of each request in the same order of services. Tables that
      keep only some of them still find the crashes that requests share.
    """
    crashes = list(crashes)
    requests = {}
    for report, _ in crashes:
        requests.setdefault(report.service, set()).add(report.request_id)
    crashes.sort(
        key=lambda crash: (
            -len(requests[crash[0].service]),
            crash[0].service,
            crash[0].replica_id,
        )
    )
    positions, keyed = {}, []
    for report, at in crashes:
        position = positions[report.request_id] = (
            positions.get(report.request_id, -1) + 1
        )
        keyed.append((position, -at, (report, at)))
    keyed.sort(key=lambda item: item[:2])
    ranked = [crash for _, _, crash in keyed]
    proof = [
        crash
        for position, _, crash in keyed
        if position == 0 and crash[0].service == crashes[0][0].service
    ][:MIN_REQUESTS]
    return proof + [crash for crash in ranked if crash not in proof]


def list_services(
    crashes: abc.Iterable[TimedReport],
) -> tuple[data.ServiceName, ...]:
    """Lists the services of crashes, in the order of ``rank_crashes``."""
    ranked = rank_crashes(crashes)
    return tuple(dict.fromkeys(report.service for report, _ in ranked))


def is_cause(
    crashes: abc.Sequence[TimedReport],
    list_others: abc.Callable[[], list[list[TimedReport]]],
    now: float,
) -> bool:
    """Returns whether a request is the cause of its crashes.

    It is if it has enough crashes, and either enough of them shared with no
    other candidate or a clear lead over each candidate that shares some.

    Args:
        crashes: Crashes of the request since its last answer.
        list_others: Lists the same for each other request at the same
            replicas.
        now: Monotonic clock, seconds.
    """
    if not has_enough_crashes(crashes, now):
        return False
    if count_requests(crashes) >= MAX_UNANSWERED_REPEATS:
        return True
    candidates = [
        other for other in list_others() if _list_shared(crashes, (other,))
    ]
    shared = set(_list_shared(crashes, candidates))
    unshared = [crash for crash in crashes if crash not in shared]
    max_requests = count_requests(crashes) - MIN_LEAD
    min_unshared = MIN_CRASHES
    if _are_all_explained(crashes, candidates, now):
        min_unshared = MIN_UNSHARED_CRASHES
    return has_enough_crashes(unshared, now, min_unshared) or all(
        count_requests(candidate) <= max_requests for candidate in candidates
    )


def has_enough_crashes(
    crashes: abc.Iterable[TimedReport],
    now: float,
    min_crashes: int = MIN_CRASHES,
) -> bool:
    """Returns whether one request has too many crashes for a coincidence."""
    by_service, count = {}, 0
    for report, at in crashes:
        if now - at >= SETTLE_TIME:
            by_service.setdefault(report.service, []).append((report, at))
            count += 1
    return count >= min_crashes and any(
        count_requests(found) >= MIN_REQUESTS for found in by_service.values()
    )


def count_requests(crashes: abc.Iterable[TimedReport]) -> int:
    """Counts the requests that met crashes, and repeats under one id."""
    last, count = {}, 0
    for report, at in sorted(crashes, key=lambda crash: crash[1]):
        known = last.get(report.request_id)
        if known is None or at - known > SAME_REQUEST_TIME:
            count += 1
        last[report.request_id] = at
    return count


def find_trial_delay(crashes: abc.Sequence[TimedReport]) -> float:
    """Returns the seconds from the last crash to the next trial."""
    doublings = max(0, len(crashes) - MIN_CRASHES)
    return min(MAX_TRIAL_DELAY, FIRST_TRIAL_DELAY * 2.0**doublings)


def _are_all_explained(crashes, candidates, now):
    """Returns whether each repeat shares a crash with a likely cause."""
    likely = [item for item in candidates if has_enough_crashes(item, now)]
    explained = {
        report.request_id for report, _ in _list_shared(crashes, likely)
    }
    return all(report.request_id in explained for report, _ in crashes)


def _list_shared(crashes, others):
    """Lists the crashes at which one of some other requests was running."""
    times = {}
    for other in others:
        for replica_id, found in _group_by_replica(other).items():
            times.setdefault(replica_id, []).extend(found)
    return [crash for crash in crashes if _is_same_crash(crash, times)]


def _group_by_replica(crashes):
    """Maps each replica to the times at which it crashed."""
    times = {}
    for report, at in crashes:
        times.setdefault(report.replica_id, []).append(at)
    return times


def _is_same_crash(crash, times):
    """Returns whether a crash is among the crash times of its replica."""
    report, at = crash
    return any(
        abs(at - other) <= SAME_CRASH_TIME
        for other in times.get(report.replica_id, ())
    )
