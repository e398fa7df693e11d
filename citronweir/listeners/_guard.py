"""Time and connection limits for aiohttp servers.

aiohttp limits neither the time to receive the head of a request, nor the
time that a client may block a reply, nor the number of connections. A guard
wraps aiohttp's protocol and closes connections that exceed these limits.
"""

import asyncio
import collections
import dataclasses

from citronweir import telemetry


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a port.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        max_conns: Maximum number of open connections. Above it, the oldest
            connection without a complete request is closed.
        read_timeout: Seconds allowed for each of the head of a request, its
            body, and a reply that the client does not read.
    """

    max_body_bytes: int
    max_conns: int
    read_timeout: float


@dataclasses.dataclass(slots=True)
class Guards:
    """Connections of a port.

    Attributes:
        incomplete: Connections without a complete request, oldest first.
        by_handler: Open connections by aiohttp's protocol object.
        closed_counts: Number of connections closed by a limit, by reason.
    """

    limits: Limits
    incomplete: dict['Guard', None] = dataclasses.field(default_factory=dict)
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
    """

    guards: Guards
    handler: asyncio.Protocol
    transport: asyncio.Transport | None = None
    timer: asyncio.TimerHandle | None = None
    is_handling: bool = False
    has_unread: bool = False

    def connection_made(self, transport):
        """Registers the connection; above the limit, closes the oldest one."""
        self.transport = transport
        guards = self.guards
        self.handler.connection_made(transport)
        guards.by_handler[self.handler] = self
        _await_request(self)
        if len(guards.by_handler) > guards.limits.max_conns:
            _close(next(iter(guards.incomplete)), 'too many connections')

    def data_received(self, received):
        """Starts the time limit of a request at its first byte."""
        self.has_unread = True
        if not self.is_handling and self.timer is None:
            _await_request(self)
        self.handler.data_received(received)

    def eof_received(self):
        """Forwards the end of input; the transport closes afterwards."""
        return self.handler.eof_received()

    def pause_writing(self):
        """Starts the time limit of a reply that the client does not read."""
        if self.timer is None:
            _start_timer(self, 'reply not read')
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
        self.guards.incomplete.pop(self, None)
        self.guards.by_handler.pop(self.handler, None)
        self.handler.connection_lost(exc)


def begin_request(guards: Guards, handler: asyncio.Protocol) -> None:
    """Ends the time limit of a request whose head is complete."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.is_handling = True
        _cancel_timer(guard)
        guards.incomplete.pop(guard, None)


def mark_body_read(guards: Guards, handler: asyncio.Protocol) -> None:
    """Records that the body of a request was read."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.has_unread = False


def end_request(guards: Guards, handler: asyncio.Protocol) -> None:
    """Records that a request was handled and the connection is idle."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.is_handling = False
        guards.incomplete[guard] = None
        if guard.has_unread and guard.timer is None:
            _await_request(guard)


def _await_request(guard):
    guard.guards.incomplete[guard] = None
    _start_timer(guard, 'incomplete request')


def _start_timer(guard, reason):
    loop = asyncio.get_running_loop()
    timeout = guard.guards.limits.read_timeout
    guard.timer = loop.call_later(timeout, _close, guard, reason)


def _cancel_timer(guard):
    if guard.timer is not None:
        guard.timer.cancel()
        guard.timer = None


def _close(guard, reason):
    guards = guard.guards
    guards.closed_counts[reason] += 1
    guards.incomplete.pop(guard, None)
    guards.by_handler.pop(guard.handler, None)
    peer = guard.transport.get_extra_info('peername')
    telemetry.log(telemetry.Event.CONNECTION_CLOSED, peer=peer, reason=reason)
    guard.transport.abort()
