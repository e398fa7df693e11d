"""Checks the records of callers and replicas in a soak run for violations.

The checks are pure functions over records, so that unit tests can show that
each of them is able to fail.
"""

import collections
from collections import abc
import dataclasses
import enum
import math

from fakes import front_fleet as fleets
from fakes import platform_replica as replicas

# Time until a draining replica receives no new requests and a configuration
# change is in force (drain_ms and config_apply_ms of the platform).
APPLY_TIME = 3.0  # seconds
# Time after a refusal with a pause from which at most MAX_IN_PAUSE requests of
# the refused node may arrive until its end.
PAUSE_SLACK = 0.5  # seconds
MAX_IN_PAUSE = 2
# Bound on the arrivals of a request after its first one, in a sliding window
# (retry_ratio, retry_slack and retry_window_s in the nodes' settings).
EXTRA_RATIO = 0.2
EXTRA_ALLOWANCE = 56
EXTRA_WINDOW = 10.0  # seconds
# Once a request has crashed three replicas, nodes must reject it within the
# time below, after which only a few repetitions may still reach replicas (the
# platform's bound and its `stable_window_ms`).
REJECTION_TIME = 4.0  # seconds
CRASHES_BEFORE_REJECTION = 3
MAX_LATE_REPEATS = 3
# Time after which a withdrawn API key must not be used by any node
# (`revoke_ms`), also by one that is paused or cut off from the store.
REVOKE_TIME = 2.5  # seconds
TENANT = 'tenant-1'
# Statuses that guarantee that a request was not and will not be executed.
REFUSALS = frozenset({408, 421, 429, 503})


class Kind(enum.Enum):
    """Kind of request, which selects the route."""

    GATHER = 'gather'
    PLAIN = 'plain'
    ORDER = 'order'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of one request at its caller.

    Attributes:
        status: Status of the reply, or None without a complete reply.
        error: Name of the error if there is no complete reply.
        sent_at: Monotonic time at which the request was sent, seconds.
        ended_at: Monotonic time of the reply or the error, seconds.
    """

    kind: Kind
    request_id: str
    node: str
    sent_at: float
    ended_at: float
    status: int | None = None
    headers: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """Interval in which a fault affected a node or the store.

    Attributes:
        subject: Node id, or empty for the store.
        loses_replies: Whether the node may leave requests without a reply.
    """

    subject: str
    start: float
    end: float
    loses_replies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Interval in which a replica was listed as draining."""

    replica_id: str
    start: float
    end: float


def check_order_runs(
    replies: abc.Iterable[Reply], states: abc.Iterable[replicas.Replica]
) -> list[str]:
    """Checks that orders run at most once and refused orders never."""
    runs = collections.Counter(
        request_id for state in states for request_id in state.ran
    )
    errors = []
    for reply in replies:
        count = runs[reply.request_id]
        if reply.kind is not Kind.ORDER:
            continue
        if count > 1:
            errors.append(f'order {reply.request_id} ran {count} times')
        if reply.status in REFUSALS and count:
            errors.append(
                f'order {reply.request_id} was refused with'
                f' {reply.status} and ran'
            )
        if reply.status == 200 and not count:
            errors.append(f'order {reply.request_id} did not run')
    return errors


def check_replies(
    replies: abc.Iterable[Reply],
    records: abc.Mapping[str, bytes],
    services: abc.Mapping[str, str],
) -> list[str]:
    """Checks that each reply is allowed for its request.

    Args:
        replies: Outcomes at the callers.
        records: Response body of each replica.
        services: Service of each replica.
    """
    errors = []
    for reply in replies:
        name = f'{reply.kind.value} {reply.request_id}'
        if reply.status == 404:
            errors.append(f'{name} got 404, no route, at {reply.node}')
        if reply.status == 503 and not _is_positive(
            reply.headers.get('Retry-After', '')
        ):
            errors.append(f'{name} was refused without Retry-After')
        if reply.status == 200 and reply.kind is Kind.GATHER:
            fault = _find_gather_error(reply, records, services)
            if fault:
                errors.append(f'{name}: {fault}')
    return errors


def check_lost_replies(
    replies: abc.Iterable[Reply],
    states: abc.Iterable[replicas.Replica],
    disturbances: abc.Iterable[Disturbance],
) -> list[str]:
    """Checks that replies are lost only at nodes that were paused or killed.

    An error other than a timeout is allowed where the request reached no
    replica, since the caller may have used a connection that the node was
    closing as idle.
    """
    reached = {
        headers.get('X-Request-Id')
        for state in states
        for _, headers, _ in state.seen
    }
    lossy = [
        disturbance
        for disturbance in disturbances
        if disturbance.loses_replies
    ]
    return [
        f'{reply.kind.value} {reply.request_id} got no reply from'
        f' {reply.node}: {reply.error}'
        for reply in replies
        if reply.status is None
        and (reply.request_id in reached or reply.error == 'TimeoutError')
        and not any(
            disturbance.subject == reply.node
            and disturbance.start <= reply.ended_at
            and reply.sent_at <= disturbance.end
            for disturbance in lossy
        )
    ]


def check_identities(
    replies: abc.Iterable[Reply],
    states: abc.Iterable[replicas.Replica],
    withdrawn: abc.Mapping[str, float],
) -> list[str]:
    """Checks that keys stay at the nodes and end in time.

    Args:
        replies: Outcomes at the callers; the id of a request ends with its
            API key.
        states: Replicas.
        withdrawn: Monotonic time at which each key was withdrawn.
    """
    errors, ran = [], set()
    for state in states:
        ran.update(state.ran)
        for line, headers, _ in state.seen:
            is_public = line.split(' ')[1].startswith('/v')
            if 'Authorization' in headers:
                errors.append(f'a key reached {state.replica_id}: {line}')
            if not is_public and headers.get('X-Tenant') != TENANT:
                errors.append(f'{line} without its tenant')
    for reply in replies:
        key = reply.request_id.rpartition('/')[2]
        is_late = reply.sent_at > withdrawn.get(key, math.inf) + REVOKE_TIME
        if is_late and reply.request_id in ran:
            errors.append(f'{reply.request_id} ran with a withdrawn key')
    return errors


def check_crashes(
    states: abc.Iterable[replicas.Replica],
    disturbances: abc.Iterable[Disturbance],
    nodes: abc.Container[str],
) -> list[str]:
    """Checks that nodes soon stop sending a request that crashes replicas.

    Args:
        states: Replicas; the ids of such requests are ``NODE/COUNT``.
        disturbances: Disturbances. A node may go on sending the request
            during one of itself or the store and shortly after.
        nodes: Node ids.
    """
    arrivals = sorted(
        (at, headers['X-Request-Id'].partition('/')[0])
        for state in states
        for at, (_, headers, _) in zip(state.seen_at, state.seen, strict=True)
        if headers['X-Request-Id'].partition('/')[0] in nodes
    )
    if len(arrivals) <= CRASHES_BEFORE_REJECTION:
        return []
    third_crash_at = arrivals[CRASHES_BEFORE_REJECTION - 1][0]
    late_repeats = [
        (at, name)
        for at, name in arrivals
        if at > third_crash_at + REJECTION_TIME
        and not any(
            disturbance.subject in ('', name)
            and disturbance.start <= at <= disturbance.end + REJECTION_TIME
            for disturbance in disturbances
        )
    ]
    if len(late_repeats) <= MAX_LATE_REPEATS:
        return []
    return [
        f'{len(late_repeats)} repetitions reached replicas after the third'
        ' crash'
    ]


def check_versions(
    samples: abc.Iterable[tuple[str, int, float]],
) -> list[str]:
    """Checks that no process reverts to an older configuration.

    Args:
        samples: Node id, process id and version, in chronological order.
    """
    newest, errors = {}, []
    for node, pid, version in samples:
        if version < newest.get(pid, 0):
            errors.append(f'{node} went from {newest[pid]} to {version}')
        newest[pid] = max(version, newest.get(pid, 0))
    return errors


def check_drains(
    drains: abc.Iterable[Drain],
    states: abc.Mapping[str, replicas.Replica],
    disturbances: abc.Iterable[Disturbance],
) -> list[str]:
    """Checks that draining replicas receive no new requests after APPLY_TIME.

    The time starts again at the end of a disturbance, such as a pause of a
    node or an outage of the store.
    """
    errors = []
    for drain in drains:
        due = drain.start + APPLY_TIME
        for disturbance in sorted(
            disturbances, key=lambda disturbance: disturbance.start
        ):
            if disturbance.start <= due and disturbance.end + APPLY_TIME > due:
                due = disturbance.end + APPLY_TIME
        late = [
            at
            for at in states[drain.replica_id].seen_at
            if due < at < drain.end
        ]
        if late:
            errors.append(
                f'{drain.replica_id} got {len(late)} requests up to'
                f' {max(late) - drain.start:.1f} s after its drain'
            )
    return errors


def check_pauses(
    replies: abc.Iterable[Reply],
    states: abc.Iterable[replicas.Replica],
    disturbances: abc.Collection[Disturbance],
) -> list[str]:
    """Checks that nodes give replicas the pauses that they ask for.

    A disturbance of the node excuses it. Requests without a known node, such
    as those after the faults, are left out.
    """
    nodes = {reply.request_id: reply.node for reply in replies}
    errors = []
    for state in states:
        arrivals = [
            (at, nodes.get(headers['X-Request-Id']))
            for at, (_, headers, _) in zip(
                state.seen_at, state.seen, strict=True
            )
        ]
        for refused_at, request_id, seconds in state.refusals:
            node, end = nodes.get(request_id), refused_at + seconds
            count = sum(
                refused_at + PAUSE_SLACK < at < end and node == sender
                for at, sender in arrivals
            )
            is_excused = node is None or any(
                item.subject == node
                and item.start < end
                and item.end > refused_at
                for item in disturbances
            )
            if count > MAX_IN_PAUSE and not is_excused:
                errors.append(
                    f'{state.replica_id} got {count} requests of {node} in'
                    f' a pause of {seconds} s'
                )
    return errors


def check_extra_arrivals(
    services: abc.Mapping[str, abc.Iterable[replicas.Replica]],
) -> list[str]:
    """Checks that retries and hedges of each service stay within bounds."""
    errors = []
    for service, states in services.items():
        arrivals = sorted(
            (at, headers.get('X-Request-Id'))
            for state in states
            for at, (_, headers, _) in zip(
                state.seen_at, state.seen, strict=True
            )
        )
        max_extra = _find_max_extra(arrivals)
        if max_extra > EXTRA_ALLOWANCE:
            errors.append(
                f'{service} got {max_extra:.0f} repeated arrivals above the'
                ' ratio'
            )
    return errors


def _find_max_extra(arrivals):
    """Returns the maximum over all windows of repeats above EXTRA_RATIO."""
    known, steps = set(), []
    for at, request_id in arrivals:
        steps.append((at, -EXTRA_RATIO if request_id not in known else 1.0))
        known.add(request_id)
    max_extra, total, start = 0.0, 0.0, 0
    for at, step in steps:
        total += step
        while steps[start][0] < at - EXTRA_WINDOW:
            total -= steps[start][1]
            start += 1
        max_extra = max(max_extra, total)
    return max_extra


def _find_gather_error(reply, records, services):
    parts, missing = fleets.parse_part_headers(reply.headers)
    if any(request_id != reply.request_id for _, request_id in parts):
        return f'signature for a different request: {parts}'
    ids = [replica_id for replica_id, _ in parts]
    named_services = [services.get(replica_id) for replica_id in ids]
    if None in named_services or len(set(named_services)) < len(
        named_services
    ):
        return f'unknown replicas or several of one service: {ids}'
    if len(named_services) + missing != len(set(services.values())):
        return (
            f'{len(named_services)} parts and {missing} missing do not add up'
        )
    if reply.body != b''.join(
        sorted((records[replica_id] for replica_id in ids), reverse=True)
    ):
        return f'body does not hold the records of {ids}'
    return ''


def _is_positive(text):
    try:
        return float(text) > 0
    except ValueError:
        return False
