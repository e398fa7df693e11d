"""Defines the numbered log events and writes them with logbook.

The catalogue in docs/events.md is rendered from this module, which keeps
the numbers that operators search for in step with the code.
"""

import dataclasses
import enum
import json
import os
import sys

import logbook

_logger = logbook.Logger('citronweir')


@dataclasses.dataclass(frozen=True, slots=True)
class EventSpec:
    """Number, level and text of one event.

    Attributes:
        number: Unique number, never reused; its first digit identifies
            the package.
        level: Name of a logbook level.
        text: Format string for the event's fields.
        action: What the operator should do, empty if nothing.
    """

    number: int
    level: str
    text: str
    action: str = ''


class Event(enum.Enum):
    """Events of all packages.

    1xxx service and programs, 2xxx callers, 3xxx upstreams, 4xxx
    platform, 5xxx operators and configuration, 6xxx nodes.
    """

    NODE_READY = EventSpec(
        1001, 'INFO', 'node {node} in data centre {dc} is serving callers'
    )
    NODE_STOPPING = EventSpec(1002, 'INFO', 'node {node} is shutting down')
    NODE_STOPPED = EventSpec(1003, 'INFO', 'node {node} has stopped')
    INTERNAL_ERROR = EventSpec(
        1004,
        'ERROR',
        'unexpected error in {task}: {error}',
        'Report the event with its traceback.',
    )

    REQUEST_SERVED = EventSpec(
        1101,
        'INFO',
        'request {request} of route {route} answered after {ms} ms with '
        '{parts} of {services} services, {hedges} hedges, {retries} retries',
    )
    REQUEST_DECLINED = EventSpec(
        1102,
        'WARNING',
        'request {request} of route {route} not run after {ms} ms: {reason}',
        'See docs/OPERATIONS.md, "Not run".',
    )
    REQUEST_FAILED = EventSpec(
        1103,
        'WARNING',
        'request {request} of route {route} unanswered after {ms} ms: '
        '{reason}; {parts} of {services} services, {hedges} hedges, '
        '{retries} retries',
        'See docs/OPERATIONS.md, "Ran without an answer".',
    )
    REQUEST_LATE = EventSpec(
        1104,
        'INFO',
        'request {request} of route {route} answered after {ms} ms, '
        'target {target} ms, with {parts} of {services} services, '
        '{hedges} hedges, {retries} retries',
        'See docs/OPERATIONS.md, "Late or partial".',
    )
    REQUEST_UNROUTED = EventSpec(
        1105,
        'INFO',
        'request {request} matches no route of configuration version '
        '{version}',
        'Compare the path with the active configuration.',
    )
    REQUEST_UNAUTHORISED = EventSpec(
        1110,
        'INFO',
        'request {request} of route {route} has no valid API key in '
        'configuration version {version}',
        'Compare the time with the versions that added or removed keys.',
    )
    TENANT_LIMITED = EventSpec(
        1111,
        'INFO',
        'tenant {tenant} is near its quota; all nodes ask for a token before '
        'each of its requests for {seconds} s',
    )
    GROUP_PARTIAL = EventSpec(
        1108,
        'INFO',
        'group query {request} of route {route} answered after {ms} ms with '
        '{parts} of {services} services, {hedges} hedges, {retries} retries',
        'See docs/OPERATIONS.md, "Late or partial".',
    )
    GROUP_ANSWERED = EventSpec(
        1109,
        'INFO',
        'group query {request} of route {route} answered after {ms} ms with '
        '{parts} of {services} services, {hedges} hedges, {retries} retries',
    )
    LINES_DROPPED = EventSpec(
        1106, 'INFO', '{count} log lines of event CW{number} suppressed'
    )
    SETTINGS_RELOADED = EventSpec(1107, 'INFO', 'reload of settings: {detail}')

    CALLER_REJECTED = EventSpec(
        2001, 'DEBUG', 'request rejected: {field}: {message}'
    )
    CONNECTION_CLOSED = EventSpec(
        2002, 'DEBUG', 'connection of {peer} closed: {reason}'
    )
    SPANS_DROPPED = EventSpec(
        2101,
        'WARNING',
        '{count} spans were dropped: {reason}',
        'Check the trace collector, or sample fewer traces.',
    )

    PROBE_FAILED = EventSpec(
        3001, 'INFO', 'no status from replica {replica}: {error}'
    )

    REPLICA_CHANGED = EventSpec(
        3002,
        'INFO',
        'replica {replica} is {state} in epoch {epoch}, version {version}',
    )
    STATUS_STALE = EventSpec(
        3003,
        'INFO',
        'replica {replica} reports epoch {epoch}; latest known epoch {known}',
    )
    REPLICA_CRASHED = EventSpec(
        3004,
        'WARNING',
        'replica {replica} crashed with {count} different requests running',
        'Find the cause if the replica does not come back.',
    )
    REQUEST_CONVICTED = EventSpec(
        3005,
        'WARNING',
        'request {fingerprint} crashes upstreams and is refused',
        'Find the caller, and the fault in the upstream.',
    )

    REPLICA_FAILED = EventSpec(
        3006,
        'INFO',
        'replica {replica} of {service} returned {outcome} for request '
        '{request} after {ms} ms; {failures} consecutive failures',
    )
    REPLICA_ENDED = EventSpec(
        3009,
        'WARNING',
        'replica {replica} of {service} ended while running request '
        '{request} of caller {caller}; fingerprint {fingerprint}',
        'Search for the fingerprint: repeats of a request share it.',
    )
    REQUEST_CLEARED = EventSpec(
        3010,
        'INFO',
        'request {fingerprint} was answered and is no longer refused',
    )
    REPLICA_LISTED = EventSpec(
        3007,
        'INFO',
        'replica {replica} of {service} at {address} in {dc} is {state}',
    )
    REPLICA_UNLISTED = EventSpec(
        3008, 'INFO', 'replica {replica} is no longer listed: {detail}'
    )

    REPLICA_LEAVING = EventSpec(
        3011,
        'INFO',
        'replica {replica} of {service}, started at {epoch}, said that it is '
        'leaving',
    )
    REPLICA_PAUSED = EventSpec(
        3012,
        'INFO',
        'replica {replica} of {service} asked for a pause of {seconds} s'
        '{detail}',
    )

    REPLY_REPLACED = EventSpec(
        3019,
        'INFO',
        'replica {replica} of {service} answered request {request} with '
        '{status} without stating that it has not run; the caller gets '
        '{replaced}',
    )

    EVACUATION_STARTED = EventSpec(
        3017,
        'INFO',
        'replicas of data centre {dc} get no new requests from revision '
        '{revision} on',
    )
    EVACUATION_ENDED = EventSpec(
        3018,
        'INFO',
        'replicas of data centre {dc} get requests again from revision '
        '{revision} on',
    )

    REQUESTS_MOVED = EventSpec(
        3013,
        'INFO',
        'replica {replica} takes no new requests; {count} that waited for a '
        'connection to it were moved on',
    )

    CONVICTION_WRITTEN = EventSpec(
        3014,
        'INFO',
        'record of the refused request {fingerprint}, with {crashes} crashes, '
        'written to the store: {outcome}; without crashes it is removed',
    )
    CONVICTION_RESTORED = EventSpec(
        3015,
        'WARNING',
        'request {fingerprint} is refused: the store records {crashes} '
        'crashes',
        'Find the caller, and the fault in the upstream.',
    )
    CONVICTION_DROPPED = EventSpec(
        3016,
        'INFO',
        'the record of the refused request {fingerprint} was removed from the '
        'store',
    )

    PLATFORM_UNAVAILABLE = EventSpec(
        4001,
        'WARNING',
        'platform call {call} failed: {error}',
        'Check the key-value service; searches continue without it.',
    )
    CLAIM_CONTENDED = EventSpec(
        4002,
        'WARNING',
        'order {request} refused: not claimed after {steps} steps',
        'Find the caller that sends many copies of one order concurrently.',
    )
    CLAIM_NOT_SETTLED = EventSpec(
        4003,
        'WARNING',
        'claim of order {request} not updated to {state}: {reply}',
        'Check the key-value service; repeats of the order get Unknown.',
    )
    CLAIM_LEASE_LOST = EventSpec(
        4004,
        'ERROR',
        'claim lease {lease} expired early',
        'Check the key-value service; repeats of orders of that hour may run '
        'again.',
    )
    CLAIM_MALFORMED = EventSpec(
        4005,
        'ERROR',
        'claim {key} is malformed: {error}',
        'Find the other writer of these keys; the order is answered Unknown.',
    )

    STORE_REWOUND = EventSpec(
        4009,
        'WARNING',
        'the store returned from an older copy, era {era}; leases and '
        'records are written again',
        'Check that the latest configuration and evacuations are in the '
        'store again.',
    )
    CONFIG_RESTORED = EventSpec(
        4010,
        'INFO',
        'configuration version {version}, which the store had lost, was '
        'written to it again: {outcome}',
    )
    STORE_LOST = EventSpec(
        4006,
        'WARNING',
        'store not responding, last revision {revision}: {error}',
        'Check the platform; the last configuration remains active.',
    )
    STORE_RESTORED = EventSpec(
        4007, 'INFO', 'store responding again after {seconds:.1f} s'
    )

    VMS_MALFORMED = EventSpec(
        4008,
        'ERROR',
        '{count} malformed entries in the VM list, the first: {error}',
        'Find the other writer of the VM list; the other entries are used.',
    )

    STREAM_REJECTED = EventSpec(
        6001,
        'WARNING',
        'stream from another node closed: {error}',
        'Check the cluster key and which hosts can reach the nodes port.',
    )
    LINK_FAILED = EventSpec(
        6002, 'INFO', 'no stream to the node at {address}: {error}'
    )
    LINK_SILENT = EventSpec(
        6003, 'INFO', 'stream to node {node} closed: pings unanswered'
    )
    CLOCK_DIFFERS = EventSpec(
        6004,
        'WARNING',
        'clock of node {node} differs by {offset:.3f} s',
        'Check time synchronisation; contracts start and expire by the clock.',
    )
    MEMBER_CHANGED = EventSpec(6005, 'INFO', 'node {node} is {state}')
    MEMBERSHIP_JOINED = EventSpec(
        6006, 'INFO', 'joined data centre {dc} with {count} members'
    )
    STOP_PHASE = EventSpec(6007, 'INFO', 'shutdown: {phase}')
    STOP_LATE = EventSpec(
        6008,
        'WARNING',
        'shutdown continues with {count} {kind} in progress',
        'Compare the longest deadline with the time limit of the shutdown.',
    )

    CONFIG_LOADED = EventSpec(
        5001, 'INFO', 'configuration at revision {revision} from {source}'
    )
    CONFIG_MALFORMED = EventSpec(
        5002,
        'ERROR',
        'configuration record {key} is malformed: {error}',
        'Write the record again with an operator call.',
    )
    CONFIG_STALE = EventSpec(
        5003,
        'WARNING',
        'configuration not confirmed for {age:.0f} s; fetching it in full',
        'Check the network links of the data centre.',
    )
    ROUTES_IN_FORCE = EventSpec(
        5010,
        'INFO',
        'configuration version {version} with {routes} routes active at '
        'revision {revision}',
    )
    ROUTES_OUTDATED = EventSpec(
        5011,
        'WARNING',
        'configuration version {version} at revision {revision} is older '
        'than version {current} in force and was not applied',
        'The store may have returned from a copy: write the configuration '
        'again.',
    )
    CHANGE_ACCEPTED = EventSpec(
        5004,
        'INFO',
        'change {change} of {key} accepted at revision {revision}',
    )
    CHANGE_CONFLICT = EventSpec(
        5005,
        'INFO',
        'change {change} of {key} conflicts with revision {revision}',
    )
    CHANGE_UNKNOWN = EventSpec(
        5006,
        'WARNING',
        'change {change} of {key} may still take effect',
        'Repeat the change with the same change id.',
    )
    WATCH_STARTED = EventSpec(
        5007, 'INFO', 'watching the configuration from revision {revision}'
    )
    WATCH_LOST = EventSpec(
        5008,
        'WARNING',
        'watch of the configuration ended: {error}',
        'Check the key-value service if the event recurs.',
    )
    OPERATOR_REJECTED = EventSpec(
        5009, 'INFO', 'operator call {method} rejected: {code}'
    )


def log(event: Event, **fields: object) -> None:
    """Logs an event with its fields.

    Args:
        event: Event to log.
        **fields: Values for the event's text. Fields that the text does
            not use appear only in JSON logs.
    """
    spec = event.value
    message = f'CW{spec.number} ' + spec.text.format(**fields)
    _logger.log(logbook.lookup_level(spec.level), message, extra=fields)


def start_logging(level: str) -> None:
    """Logs events to standard error.

    Args:
        level: Name of the lowest logbook level to log.
    """
    handler = logbook.StreamHandler(
        sys.stderr,
        level=logbook.lookup_level(level),
        format_string=(
            '{record.time:%Y-%m-%dT%H:%M:%S.%f} '
            '{record.level_name} {record.message}'
        ),
    )
    handler.push_application()


@dataclasses.dataclass(slots=True)
class _NonBlockingWriter:
    """Writes lines to a non-blocking file descriptor.

    Attributes:
        lost: Lines dropped because the pipe was full.
    """

    fd: int
    lost: int = 0

    def write(self, text):
        """Writes a line, or counts it as lost if the pipe is full."""
        try:
            os.write(self.fd, text.encode(errors='replace'))
        except BlockingIOError:
            self.lost += 1

    def flush(self):
        """Does nothing, since lines are not buffered."""


def start_json_logging(level: str) -> None:
    """Logs events to standard output, one JSON object per line.

    Standard output becomes non-blocking, so that a full pipe drops lines
    instead of blocking the process.

    Args:
        level: Name of the lowest logbook level to log.
    """
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    handler = logbook.StreamHandler(
        _NonBlockingWriter(fd), level=logbook.lookup_level(level)
    )
    handler.formatter = _format_json
    handler.push_application()


def _format_json(record, handler):
    fields = {
        'time': record.time.isoformat(timespec='milliseconds'),
        'level': record.level_name,
        'message': record.message,
        **record.extra,
    }
    return json.dumps(fields, default=str)


def render_catalogue() -> str:
    """Renders the catalogue of events as Markdown."""
    lines = [
        '# Log events',
        '',
        'Rendered by `python -m citronweir.telemetry`; a test compares it',
        'with the code.',
        '',
        '| number | level | name | text | action |',
        '| --- | --- | --- | --- | --- |',
    ]
    for event in sorted(Event, key=lambda item: item.value.number):
        spec = event.value
        lines.append(
            f'| CW{spec.number} | {spec.level} | {event.name} '
            f'| {spec.text} | {spec.action or "none"} |'
        )
    return '\n'.join(lines) + '\n'
