"""Bounds what a connection may hold without completing a request.

aiohttp has no time limit on the head of a request, on a reader that
takes no reply, or on the number of connections. A guard stands between
the transport and aiohttp's protocol and closes such connections.
"""

import asyncio
import collections
import dataclasses

from citronweir import telemetry


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a port.

    Attributes:
        max_body_bytes: Largest body that is read.
        max_conns: Connections at the same time. Past it, the oldest
            one without a complete request is closed for a new one.
        read_timeout: Seconds for the head of a request, for its body
            and for a blocked reply, each.
    """

    max_body_bytes: int
    max_conns: int
    read_timeout: float


@dataclasses.dataclass(slots=True)
class Guards:
    """Connections of a port.

    Attributes:
        waiting: Connections without a complete request, oldest first.
        by_handler: Open connections by aiohttp's protocol.
        closed: Connections that a limit closed, by reason.
    """

    limits: Limits
    waiting: dict['Guard', None] = dataclasses.field(default_factory=dict)
    by_handler: dict[asyncio.Protocol, 'Guard'] = dataclasses.field(
        default_factory=dict
    )
    closed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True, eq=False)
class Guard(asyncio.Protocol):
    """State of one connection; asyncio asks for a class here.

    Attributes:
        busy: Whether a request is being handled.
        unread: Whether bytes came that belong to no handled request.
    """

    guards: Guards
    handler: asyncio.Protocol
    transport: asyncio.Transport | None = None
    timer: asyncio.TimerHandle | None = None
    busy: bool = False
    unread: bool = False

    def connection_made(self, transport):
        """Registers the connection, or closes it past the limit."""
        self.transport = transport
        guards = self.guards
        self.handler.connection_made(transport)
        guards.by_handler[self.handler] = self
        _await_request(self)
        if len(guards.by_handler) > guards.limits.max_conns:
            _close(next(iter(guards.waiting)), 'too many connections')

    def data_received(self, received):
        """Starts the time limit of a request at its first byte."""
        self.unread = True
        if not self.busy and self.timer is None:
            _await_request(self)
        self.handler.data_received(received)

    def eof_received(self):
        """Passes the end of input on; the transport then closes."""
        return self.handler.eof_received()

    def pause_writing(self):
        """Starts the time limit of a reader that takes no reply."""
        if self.timer is None:
            _arm(self, 'reply not read')
        self.handler.pause_writing()

    def resume_writing(self):
        """Ends the time limit of the reader."""
        _disarm(self)
        if self.unread and not self.busy:
            _await_request(self)
        self.handler.resume_writing()

    def connection_lost(self, exc):
        """Forgets the connection."""
        _disarm(self)
        self.guards.waiting.pop(self, None)
        self.guards.by_handler.pop(self.handler, None)
        self.handler.connection_lost(exc)


def begin_request(guards: Guards, handler: asyncio.Protocol) -> None:
    """Notes that the head of a request is complete."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.busy = True
        _disarm(guard)
        guards.waiting.pop(guard, None)


def mark_body_read(guards: Guards, handler: asyncio.Protocol) -> None:
    """Notes that the body of a request was read."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.unread = False


def end_request(guards: Guards, handler: asyncio.Protocol) -> None:
    """Notes that a request was handled."""
    guard = guards.by_handler.get(handler)
    if guard is not None:
        guard.busy = False
        guards.waiting[guard] = None
        if guard.unread and guard.timer is None:
            _await_request(guard)


def _await_request(guard):
    guard.guards.waiting[guard] = None
    _arm(guard, 'incomplete request')


def _arm(guard, reason):
    loop = asyncio.get_running_loop()
    timeout = guard.guards.limits.read_timeout
    guard.timer = loop.call_later(timeout, _close, guard, reason)


def _disarm(guard):
    if guard.timer is not None:
        guard.timer.cancel()
        guard.timer = None


def _close(guard, reason):
    guards = guard.guards
    guards.closed[reason] += 1
    guards.waiting.pop(guard, None)
    guards.by_handler.pop(guard.handler, None)
    peer = guard.transport.get_extra_info('peername')
    telemetry.log(telemetry.Event.CONNECTION_CLOSED, peer=peer, reason=reason)
    guard.transport.abort()
