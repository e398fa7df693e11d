"""Defines the numbered log events and writes them with logbook.

The catalogue in docs/events.md is rendered from this module, so that
the numbers that operators search for cannot drift from the code.
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
        number: Never reused; the first digit names the package.
        level: Name of a logbook level.
        text: Format string over the event's fields.
        action: What an operator does about it, empty if nothing.
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
        1001, 'INFO', 'node {node} in data centre {dc} serves callers'
    )
    NODE_STOPPING = EventSpec(1002, 'INFO', 'node {node} shuts down')
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
        'request {request} matches no route of version {version}',
        'Compare the path with the configuration in force.',
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
        1106, 'INFO', '{count} lines of event CW{number} were left out'
    )
    SETTINGS_RELOADED = EventSpec(
        1107, 'INFO', 'settings read again: {detail}'
    )

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
        'Check the trace collector, or record fewer traces.',
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
        'replica {replica} states epoch {epoch}, known is {known}',
    )
    REPLICA_CRASHED = EventSpec(
        3004,
        'WARNING',
        'replica {replica} crashed with {count} different requests running',
        'Find the cause if the replica does not return.',
    )
    REQUEST_CONVICTED = EventSpec(
        3005,
        'WARNING',
        'request {fingerprint} crashes upstreams and is refused',
        'Find the caller and the fault of the upstream.',
    )

    REPLICA_FAILED = EventSpec(
        3006,
        'INFO',
        'replica {replica} of {service} gave {outcome} to request {request} '
        'after {ms} ms; {failures} failures in succession',
    )
    REPLICA_ENDED = EventSpec(
        3009,
        'WARNING',
        'replica {replica} of {service} ended with request {request} of '
        'caller {caller} running; fingerprint {fingerprint}',
        'Search for the fingerprint: repeats of one request share it.',
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

    PLATFORM_UNAVAILABLE = EventSpec(
        4001,
        'WARNING',
        'platform call {call} failed: {error}',
        'Check the key-value service; searches go on without it.',
    )
    CLAIM_CONTENDED = EventSpec(
        4002,
        'WARNING',
        'order {request} refused: not claimed in {steps} steps',
        'Find the caller that sends the same order many times at once.',
    )
    CLAIM_NOT_SETTLED = EventSpec(
        4003,
        'WARNING',
        'claim of order {request} not changed to {state}: {reply}',
        'Repeats of the order get Unknown; check the key-value service.',
    )
    CLAIM_LEASE_LOST = EventSpec(
        4004,
        'ERROR',
        'lease {lease} of claims ended before its time',
        'Check the key-value service: orders of that hour may repeat.',
    )
    CLAIM_MALFORMED = EventSpec(
        4005,
        'ERROR',
        'claim {key} cannot be read: {error}',
        'Find what else writes these keys; its order is answered Unknown.',
    )

    STORE_LOST = EventSpec(
        4006,
        'WARNING',
        'the store does not answer at revision {revision}: {error}',
        'Check the platform; the last configuration stays in force.',
    )
    STORE_RESTORED = EventSpec(
        4007, 'INFO', 'the store answers again after {seconds:.1f} s'
    )

    VMS_MALFORMED = EventSpec(
        4008,
        'ERROR',
        '{count} entries of the VM list cannot be read, the first: {error}',
        'Find what else writes to the VM list; the other entries hold.',
    )

    STREAM_REJECTED = EventSpec(
        6001,
        'WARNING',
        'stream of another node closed: {error}',
        'Check the cluster key and who can reach the nodes port.',
    )
    LINK_FAILED = EventSpec(
        6002, 'INFO', 'no stream to node at {address}: {error}'
    )
    LINK_SILENT = EventSpec(
        6003, 'INFO', 'stream to node {node} closed: pings unanswered'
    )
    CLOCK_DIFFERS = EventSpec(
        6004,
        'WARNING',
        'clock of node {node} differs by {offset:.3f} s',
        'Check time synchronisation; contracts start and end by the clock.',
    )
    MEMBER_CHANGED = EventSpec(6005, 'INFO', 'node {node} is {state}')
    MEMBERSHIP_JOINED = EventSpec(
        6006, 'INFO', 'joined data centre {dc} with {count} members'
    )
    STOP_PHASE = EventSpec(6007, 'INFO', 'shutdown: {phase}')
    STOP_LATE = EventSpec(
        6008,
        'WARNING',
        'shutdown goes on with {count} {kind} in progress',
        'Compare the longest deadline with the limit of the shutdown.',
    )

    CONFIG_LOADED = EventSpec(
        5001, 'INFO', 'configuration at revision {revision} from {source}'
    )
    CONFIG_MALFORMED = EventSpec(
        5002,
        'ERROR',
        'configuration record {key} cannot be read: {error}',
        'Write the record again through the operators\' calls.',
    )
    CONFIG_STALE = EventSpec(
        5003,
        'WARNING',
        'configuration not confirmed for {age:.0f} s; fetching all of it',
        'Check the links of the data centre.',
    )
    ROUTES_IN_FORCE = EventSpec(
        5010,
        'INFO',
        'version {version} with {routes} routes in force at revision '
        '{revision}',
    )
    CHANGE_ACCEPTED = EventSpec(
        5004, 'INFO', 'change {change} of {key} holds at revision {revision}'
    )
    CHANGE_CONFLICT = EventSpec(
        5005,
        'INFO',
        'change {change} of {key} lost to revision {revision}',
    )
    CHANGE_UNKNOWN = EventSpec(
        5006,
        'WARNING',
        'change {change} of {key} may yet take effect',
        'Repeat the change with the same change id.',
    )
    WATCH_STARTED = EventSpec(
        5007, 'INFO', 'watch of the configuration from revision {revision}'
    )
    WATCH_LOST = EventSpec(
        5008,
        'WARNING',
        'watch of the configuration ended: {error}',
        'Check the key-value service if the event repeats.',
    )
    OPERATOR_REJECTED = EventSpec(
        5009, 'INFO', 'operators\' call {method} rejected: {code}'
    )


def log(event: Event, **fields: object) -> None:
    """Writes an event with its fields.

    Args:
        event: The event.
        **fields: Values for the event's text; extra fields are kept.
    """
    spec = event.value
    record = f'CW{spec.number} ' + spec.text.format(**fields)
    _logger.log(logbook.lookup_level(spec.level), record, extra=fields)


def start_logging(level: str) -> None:
    """Sends events of at least a level to standard error.

    Args:
        level: Name of a logbook level.
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
class _Pipe:
    """Writes to a file descriptor that is never waited for.

    Attributes:
        lost: Lines that did not fit into the pipe.
    """

    fd: int
    lost: int = 0

    def write(self, text):
        """Writes a line, or counts it as lost."""
        try:
            os.write(self.fd, text.encode(errors='replace'))
        except BlockingIOError:
            self.lost += 1

    def flush(self):
        """Does nothing; every line is written at once."""


def start_json_logging(level: str) -> None:
    """Sends events to standard output, one JSON object on a line.

    Args:
        level: Name of a logbook level.
    """
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    handler = logbook.StreamHandler(
        _Pipe(fd), level=logbook.lookup_level(level)
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
