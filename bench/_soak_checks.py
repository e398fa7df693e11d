"""Checks what callers and replicas saw in a soak against the promises.

The checks are plain functions over records, so that their own tests show
that each of them can fail.
"""

import collections
from collections import abc
import dataclasses
import enum

from fakes import front_fleet as fleets
from fakes import platform_replica as replicas

# A draining replica gets no new request after this time, and a change is
# in force (drain_ms and config_apply_ms of the platform).
APPLY_TIME = 3.0  # seconds
# Arrivals beyond the first of each request in a window (retry_ratio,
# retry_slack and retry_window_s of the nodes' settings).
EXTRA_RATIO = 0.2
EXTRA_SLACK = 56
EXTRA_WINDOW = 10.0  # seconds
# Repeats of a request that may reach replicas later than the time after it has
# ended the third (the platform's bound and its `stable_window_ms`).
CRASH_TIME = 4.0  # seconds
MAX_BLAMELESS = 3
MAX_LATER = 3
# Statuses that promise that a request has not run and never will.
REFUSALS = frozenset({408, 421, 429, 503})


class Kind(enum.Enum):
    """Kinds of requests."""

    GATHER = 'gather'
    PLAIN = 'plain'
    ORDER = 'order'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a caller saw of one request.

    Attributes:
        status: Status of the reply, or None without a whole one.
        error: Why there is none.
        sent_at: Monotonic second at which it was sent.
        ended_at: Monotonic second of its end.
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
class Span:
    """Time in which a node or the store was disturbed.

    Attributes:
        subject: Node id, or empty for the store.
        is_cut: Whether the node may leave requests without an answer.
    """

    subject: str
    start: float
    end: float
    is_cut: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Time for which a replica was listed as draining."""

    replica_id: str
    start: float
    end: float


def check_runs(
    replies: abc.Iterable[Reply], states: abc.Iterable[replicas.Replica]
) -> list[str]:
    """Checks that orders run once and that refused ones never run."""
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


def check_answers(
    replies: abc.Iterable[Reply],
    records: abc.Mapping[str, bytes],
    services: abc.Mapping[str, str],
) -> list[str]:
    """Checks that replies are what their requests may get.

    Args:
        replies: What callers saw.
        records: Records of each replica's part, which are its body.
        services: Service of each replica.
    """
    errors = []
    for reply in replies:
        name = f'{reply.kind.value} {reply.request_id}'
        if reply.status == 404:
            errors.append(f'{name} found no route at {reply.node}')
        if reply.status == 503 and not _is_positive(
            reply.headers.get('Retry-After', '')
        ):
            errors.append(f'{name} was refused without Retry-After')
        if reply.status == 200 and reply.kind is Kind.GATHER:
            fault = _find_fault(reply, records, services)
            if fault:
                errors.append(f'{name}: {fault}')
    return errors


def check_lost(
    replies: abc.Iterable[Reply],
    states: abc.Iterable[replicas.Replica],
    spans: abc.Iterable[Span],
) -> list[str]:
    """Checks that nobody loses an answer but to a node that was cut off.

    A caller whose request never left the node may have met a connection
    that was closed while it was idle.
    """
    reached = {
        headers.get('X-Request-Id')
        for state in states
        for _, headers, _ in state.seen
    }
    cuts = [span for span in spans if span.is_cut]
    return [
        f'{reply.kind.value} {reply.request_id} got no answer of'
        f' {reply.node}: {reply.error}'
        for reply in replies
        if reply.status is None
        and (reply.request_id in reached or reply.error == 'TimeoutError')
        and not any(
            span.subject == reply.node
            and span.start <= reply.ended_at
            and reply.sent_at <= span.end
            for span in cuts
        )
    ]


def check_crashes(
    states: abc.Iterable[replicas.Replica],
    spans: abc.Iterable[Span],
    nodes: abc.Container[str],
) -> list[str]:
    """Checks that a request which ends replicas soon reaches no more.

    Args:
        states: Replicas; ids of such requests are ``NODE/COUNT``.
        spans: Disturbances, which excuse what a node sends for a while.
        nodes: Node ids.
    """
    arrivals = sorted(
        (at, headers['X-Request-Id'].partition('/')[0])
        for state in states
        for at, (_, headers, _) in zip(state.seen_at, state.seen, strict=True)
        if headers['X-Request-Id'].partition('/')[0] in nodes
    )
    if len(arrivals) <= MAX_BLAMELESS:
        return []
    third_at = arrivals[MAX_BLAMELESS - 1][0]
    later = [
        (at, name)
        for at, name in arrivals
        if at > third_at + CRASH_TIME
        and not any(
            span.subject in ('', name)
            and span.start <= at <= span.end + CRASH_TIME
            for span in spans
        )
    ]
    if len(later) <= MAX_LATER:
        return []
    return [f'{len(later)} repeats reached replicas after the third end']


def check_versions(
    samples: abc.Iterable[tuple[str, int, float]],
) -> list[str]:
    """Checks that no process goes back to an older configuration.

    Args:
        samples: Node id, process id and version, in the order of time.
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
    spans: abc.Iterable[Span],
) -> list[str]:
    """Checks that draining replicas get no new request after their time.

    A node that was paused or did not reach the store may need as long
    after the end of that.
    """
    errors = []
    for drain in drains:
        due = drain.start + APPLY_TIME
        for span in sorted(spans, key=lambda span: span.start):
            if span.start <= due and span.end + APPLY_TIME > due:
                due = span.end + APPLY_TIME
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


def check_extra(
    services: abc.Mapping[str, abc.Iterable[replicas.Replica]],
) -> list[str]:
    """Checks the arrivals beyond the first of each request, by service."""
    errors = []
    for service, states in services.items():
        arrivals = sorted(
            (at, headers.get('X-Request-Id'))
            for state in states
            for at, (_, headers, _) in zip(
                state.seen_at, state.seen, strict=True
            )
        )
        worst = _find_worst_window(arrivals)
        if worst > EXTRA_SLACK:
            errors.append(f'{service} got {worst:.0f} arrivals too many')
    return errors


def _find_worst_window(arrivals):
    """Returns the most extra arrivals of a window, less the ratio."""
    known, steps = set(), []
    for at, request_id in arrivals:
        steps.append((at, -EXTRA_RATIO if request_id not in known else 1.0))
        known.add(request_id)
    worst, total, start = 0.0, 0.0, 0
    for at, step in steps:
        total += step
        while steps[start][0] < at - EXTRA_WINDOW:
            total -= steps[start][1]
            start += 1
        worst = max(worst, total)
    return worst


def _find_fault(reply, records, services):
    parts, missing = fleets.parse_part_headers(reply.headers)
    if any(request_id != reply.request_id for _, request_id in parts):
        return f'signature of another request: {parts}'
    ids = [replica_id for replica_id, _ in parts]
    named = [services.get(replica_id) for replica_id in ids]
    if None in named or len(set(named)) < len(named):
        return f'parts of {ids}'
    if len(named) + missing != len(set(services.values())):
        return f'{len(named)} parts and {missing} missing'
    if reply.body != b''.join(
        sorted((records[replica_id] for replica_id in ids), reverse=True)
    ):
        return f'records that are not those of {ids}'
    return ''


def _is_positive(text):
    try:
        return float(text) > 0
    except ValueError:
        return False
