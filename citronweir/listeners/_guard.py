"""Limits of time, memory and connections for aiohttp servers.

aiohttp limits neither the time to receive the head of a request, nor the
time that a client may block a reply, nor the number of connections, nor the
memory and processor time of all incomplete requests together. A guard wraps
aiohttp's protocol and closes connections that exceed these limits.
"""

import asyncio
import collections
import dataclasses
import time

from citronweir import core
from citronweir import telemetry

# Bytes read at once from a connection. aiohttp parses them before its flow
# control takes effect, and small chunks take a hundred times their size then.
READ_BYTES = 8192
# aiohttp starts to handle a request some reads after its head is complete.
# Until then, bytes of the body count as bytes of the head.
HEAD_SLACK_BYTES = 4 * READ_BYTES
_HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a port.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        max_conns: Maximum number of open connections. Above it, the oldest
            connection without a complete request is closed.
        read_timeout: Seconds allowed for each of the head of a request and
            its body.
        max_head_bytes: Maximum size of the head of a request, and of empty
            lines before it.
        reply_timeout: Seconds that a client may block a reply;
            ``read_timeout`` if None.
        first_byte_timeout: Seconds that a new connection may stay without a
            request; ``read_timeout`` if None.
    """

    max_body_bytes: int
    max_conns: int
    read_timeout: float
    max_head_bytes: int = 65536
    reply_timeout: float | None = None
    first_byte_timeout: float | None = None


@dataclasses.dataclass(slots=True)
class Guards:
    """Connections of a port.

    Attributes:
        incomplete: Connections without a complete request, oldest first.
        unserved: Those of them that have not had any, oldest first.
        intake: Memory and processor time of requests.
        deferred: Connections whose bytes wait for processor time.
        resume_timer: Parses them.
        by_handler: Open connections by aiohttp's protocol object.
        closed_counts: Number of connections closed by a limit, by reason.
    """

    limits: Limits
    incomplete: dict['Guard', None] = dataclasses.field(default_factory=dict)
    unserved: dict['Guard', None] = dataclasses.field(default_factory=dict)
    intake: core.Intake = dataclasses.field(default_factory=core.Intake)
    deferred: collections.deque['Guard'] = dataclasses.field(
        default_factory=collections.deque
    )
    resume_timer: asyncio.TimerHandle | None = None
    by_handler: dict[asyncio.Protocol, 'Guard'] = dataclasses.field(
        default_factory=dict
    )
    closed_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True, eq=False)
class Guard(asyncio.Protocol):
    """Protocol of one connection, which forwards events to aiohttp's.

    Attributes:
        handler: Protocol object of aiohttp.
        timer: Closes the connection when a time limit expires.
        is_handling: Whether a request is being handled.
        has_unread: Whether bytes were received that no handled request has
            read.
        upload: Request that is being received or handled.
        received: Bytes received since the last request ended.
        head_size: Those of them that count as its head.
        waiting: Received bytes that wait for processor time.
    """

    guards: Guards
    handler: asyncio.Protocol
    transport: asyncio.Transport | None = None
    timer: asyncio.TimerHandle | None = None
    is_handling: bool = False
    has_unread: bool = False
    upload: core.Upload | None = None
    received: int = 0
    head_size: int = 0
    waiting: bytes = b''

    def connection_made(self, transport):
        """Registers the connection; above the limit, closes the oldest one."""
        self.transport = transport
        transport.max_size = READ_BYTES
        guards = self.guards
        self.handler.connection_made(transport)
        guards.by_handler[self.handler] = self
        guards.unserved[self] = None
        _await_request(self, guards.limits.first_byte_timeout)
        if len(guards.by_handler) > guards.limits.max_conns:
            victims = guards.unserved or guards.incomplete or {self: None}
            _close(next(iter(victims)), 'too many connections')

    def data_received(self, received):
        """Starts the limits of a request at its first byte."""
        guards = self.guards
        if self.handler not in guards.by_handler:
            return  # closed meanwhile
        if not self.is_handling and not self.received:
            _await_request(self)
        self.has_unread = True
        self.received += len(received)
        if not self.is_handling and not _hold_head(self, len(received)):
            return
        if self.waiting or _is_deferred(self):
            self.waiting += received
            _defer(self)
        else:
            _parse(self, received)

    def eof_received(self):
        """Forwards the end of input; the transport closes afterwards."""
        return self.handler.eof_received()

    def pause_writing(self):
        """Starts the time limit of a reply that the client does not read."""
        if self.timer is None:
            timeout = self.guards.limits.reply_timeout
            _start_timer(self, 'reply not read', timeout)
        self.handler.pause_writing()

    def resume_writing(self):
        """Ends the time limit of the reply."""
        _cancel_timer(self)
        if self.has_unread and not self.is_handling:
            _await_request(self)
        self.handler.resume_writing()

    def connection_lost(self, exc):
        """Unregisters the connection."""
        _cancel_timer(self)
        _unregister(self)
        self.handler.connection_lost(exc)


def begin_request(guards: Guards, handler: asyncio.Protocol) -> None:
    """Ends the time limit of a request whose head is complete."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.is_handling = True
        _cancel_timer(guard)
        guards.incomplete.pop(guard, None)
        guards.unserved.pop(guard, None)


def hold_body(guards: Guards, handler: asyncio.Protocol, count: int) -> bool:
    """Accounts for bytes of the body of a request.

    Args:
        guards: Connections of the port.
        handler: Protocol object of the connection.
        count: Number of bytes.

    Returns:
        Whether there is room for them. Otherwise the request is to be
        refused; it has not run.
    """
    guard = guards.by_handler.get(handler)
    return guard is not None and _hold(guard, count, is_own_closed=False)


def mark_body_read(guards: Guards, handler: asyncio.Protocol) -> None:
    """Records that the body of a request was read."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.has_unread = False
        if guard.upload is not None:
            guard.upload.is_complete = True


def end_request(guards: Guards, handler: asyncio.Protocol) -> None:
    """Records that a request was handled and the connection is idle."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.is_handling = False
        guard.received = guard.head_size = 0
        _end_upload(guard)
        guards.incomplete[guard] = None
        if guard.has_unread and guard.timer is None:
            _await_request(guard)


def _await_request(guard, timeout=None):
    guard.guards.incomplete[guard] = None
    _cancel_timer(guard)
    _start_timer(guard, 'incomplete request', timeout)


def _hold_head(guard, count):
    """Accounts for bytes of a head; returns whether they are accepted."""
    guard.head_size += count
    limit = guard.guards.limits.max_head_bytes + HEAD_SLACK_BYTES
    if guard.head_size > limit:
        guard.transport.write(_HEAD_TOO_LARGE)
        _close(guard, 'head too large')
        return False
    return _hold(guard, count, is_own_closed=True)


def _hold(guard, count, is_own_closed):
    """Accounts for bytes and closes the connections that make room."""
    guards, now = guard.guards, time.monotonic()
    if guard.upload is None:
        guard.upload = core.begin_upload(guards.intake, now)
    dropped = core.hold_bytes(guards.intake, guard.upload, count, now)
    if not dropped:
        return True
    is_accepted = guard.upload not in dropped
    for other in list(guards.by_handler.values()):
        if other.upload in dropped and (other is not guard or is_own_closed):
            _close(other, 'too many bytes of incomplete requests')
    return is_accepted


def _is_deferred(guard):
    """Returns whether a large body has to wait for processor time."""
    return (
        guard.received > core.SMALL_UPLOAD_BYTES
        and core.find_cpu_delay(guard.guards.intake, time.monotonic()) > 0.0
    )


def _parse(guard, received):
    if guard.received <= core.SMALL_UPLOAD_BYTES:
        guard.handler.data_received(received)
        return
    started = time.thread_time()
    guard.handler.data_received(received)
    seconds = time.thread_time() - started
    core.charge_cpu(guard.guards.intake, seconds, time.monotonic())


def _defer(guard):
    guards = guard.guards
    guard.transport.pause_reading()
    if guard not in guards.deferred:
        guards.deferred.append(guard)
    if guards.resume_timer is None:
        _schedule_resume(guards)


def _schedule_resume(guards):
    delay = core.find_cpu_delay(guards.intake, time.monotonic())
    guards.resume_timer = asyncio.get_running_loop().call_later(
        delay, _resume, guards
    )


def _resume(guards):
    """Parses waiting bytes, one connection after the other."""
    guards.resume_timer = None
    while guards.deferred:
        if core.find_cpu_delay(guards.intake, time.monotonic()) > 0.0:
            _schedule_resume(guards)
            return
        guard = guards.deferred.popleft()
        if guard.handler not in guards.by_handler:
            continue
        received, guard.waiting = guard.waiting, b''
        _parse(guard, received)
        # aiohttp pauses by itself while nobody reads what it has parsed.
        if not getattr(guard.handler, '_reading_paused', False):
            guard.transport.resume_reading()


def _start_timer(guard, reason, timeout=None):
    loop = asyncio.get_running_loop()
    if timeout is None:
        timeout = guard.guards.limits.read_timeout
    guard.timer = loop.call_later(timeout, _close, guard, reason)


def _cancel_timer(guard):
    if guard.timer is not None:
        guard.timer.cancel()
        guard.timer = None


def _end_upload(guard):
    if guard.upload is not None:
        core.end_upload(guard.guards.intake, guard.upload)
        guard.upload = None


def _unregister(guard):
    guards = guard.guards
    guard.waiting = b''
    _end_upload(guard)
    guards.incomplete.pop(guard, None)
    guards.unserved.pop(guard, None)
    guards.by_handler.pop(guard.handler, None)


def _close(guard, reason):
    guard.guards.closed_counts[reason] += 1
    _unregister(guard)
    peer = guard.transport.get_extra_info('peername')
    telemetry.log(telemetry.Event.CONNECTION_CLOSED, peer=peer, reason=reason)
    guard.transport.abort()
