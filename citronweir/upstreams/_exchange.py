"""Speaks HTTP/1.1 on one connection to a replica, one request at a time.

It stands on the path of each sub-request, of which a request has up to
hundreds. An exchange here takes 0.4 to 0.6 of the processor time of one
through aiohttp's client (docs/decisions/platform.md), so the connections
of this path use the parser alone.
"""

import asyncio
from collections import abc
import dataclasses
import enum

import httptools

# Bytes that are read until a reply is whole, of what comes before it too. A
# replica in trouble may send without end.
MAX_REPLY_BYTES = 8 << 20
# Bytes before the head of the reply is whole.
MAX_HEAD_BYTES = 64 << 10
# Bytes of all replies that are being read, on VMs of 200 MB and more. A reply
# above the share is given up while they are exceeded.
MAX_BUFFERED_BYTES = 64 << 20
SMALL_REPLY_BYTES = 256 << 10
_NO_BODY = frozenset({204, 304})


class Loss(enum.Enum):
    """Why an exchange has no reply."""

    BROKEN = 'broken'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """Whole reply as it came.

    Attributes:
        headers: Names in lower case.
        is_reusable: Whether the connection may carry another request.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_reusable: bool


@dataclasses.dataclass(slots=True)
class Buffered:
    """Bytes of the replies that all connections are reading."""

    size: int = 0


OnEnd = abc.Callable[[RawReply | Loss], None]
IsOwn = abc.Callable[[dict[str, str]], bool]


class Connection(asyncio.Protocol):
    """State of one connection; asyncio and the parser call its methods.

    Attributes:
        on_end: Takes the end of the exchange in progress, or None.
        on_idle_loss: Called when the connection ends without one.
        idle_since: Monotonic second of the last reply.
        keep_alive: Seconds for which the replica keeps it open idle.
    """

    def __init__(self, on_idle_loss, buffered):
        self.transport = None
        self.on_end: OnEnd | None = None
        self.on_idle_loss = on_idle_loss
        self.is_own: IsOwn | None = None
        self.is_closed = False
        self.idle_since = 0.0
        self.keep_alive: float | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []
        self._buffered: Buffered = buffered
        self._size = 0
        self._head_size = 0
        self._has_head = False
        self._is_unframed = False
        self._ready: RawReply | None = None
        self._is_dirty = False

    def connection_made(self, transport):
        """Takes the transport of the new connection."""
        self.transport = transport

    def data_received(self, data):
        """Feeds bytes to the parser; bytes that nobody asked for close."""
        if self.on_end is None:
            self._lose_idle()
            return
        self._size += len(data)
        self._buffered.size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._ready is None:
                _end(self, Loss.MALFORMED)
                return
            self._is_dirty = True
        if self._ready is not None:
            _deliver(self)
        elif self._is_too_large(len(data)):
            _end(self, Loss.MALFORMED)

    def eof_received(self):
        """Ends a reply that has no length; others are cut short."""
        if self.on_end is not None and self._is_unframed and self._is_reply():
            self._ready = _make_reply(self, is_reusable=False)
            _deliver(self)

    def connection_lost(self, exc):
        """Reports the loss of an exchange or of an idle connection."""
        if self.on_end is not None:
            _end(self, Loss.BROKEN)
        else:
            self._lose_idle()

    def _is_too_large(self, received):
        if not self._has_head:
            self._head_size += received
        is_small = self._size <= SMALL_REPLY_BYTES
        return (
            self._size > MAX_REPLY_BYTES
            or self._head_size > MAX_HEAD_BYTES
            or (not is_small and self._buffered.size > MAX_BUFFERED_BYTES)
        )

    def _is_reply(self):
        """Tells whether the message is final, and to this request."""
        if self._parser.get_status_code() < 200:
            return False
        return self.is_own is None or self.is_own(self._headers)

    def _lose_idle(self):
        if not self.is_closed:
            close(self)
            self.on_idle_loss(self)

    def on_message_begin(self):
        """Starts a message; a second one in the same bytes is unasked."""
        if self._ready is not None:
            self._is_dirty = True
            return
        self._headers, self._chunks = {}, []
        self._has_head = self._is_unframed = False

    def on_header(self, name, value):
        """Takes one field."""
        if self._ready is None:
            key = name.decode('latin-1').lower()
            self._headers[key] = value.decode('latin-1')

    def on_headers_complete(self):
        """Finds out whether the body has a length."""
        if self._ready is None and self._parser.get_status_code() >= 200:
            self._has_head = True
            self._is_unframed = not (
                'content-length' in self._headers
                or 'transfer-encoding' in self._headers
                or self._parser.get_status_code() in _NO_BODY
            )

    def on_body(self, body):
        """Takes a part of the body."""
        if self._ready is None:
            self._chunks.append(body)

    def on_message_complete(self):
        """Takes the end of a message, unless it is not the reply."""
        if self._ready is not None:
            return
        self._has_head = self._is_unframed = False
        if not self._is_reply():
            # An interim reply, or a late second one to the request before;
            # ours is to come.
            self._is_dirty |= self._parser.get_status_code() >= 200
            return
        self._ready = _make_reply(self, self._parser.should_keep_alive())


def start_exchange(
    conn: Connection, payload: bytes, is_own: IsOwn, on_end: OnEnd
) -> None:
    """Sends a request on an idle connection.

    Args:
        conn: The connection.
        payload: Whole request as bytes.
        is_own: Tells from a reply's fields whether it is to this request.
        on_end: Takes the reply or the loss, once.
    """
    conn.on_end, conn.is_own = on_end, is_own
    conn.transport.write(payload)


def close(conn: Connection) -> None:
    """Closes a connection at once; an exchange in progress is dropped."""
    conn.on_end = None
    conn._buffered.size -= conn._size
    conn._size = 0
    if not conn.is_closed:
        conn.is_closed = True
        conn.transport.abort()


def _make_reply(conn, is_reusable):
    return RawReply(
        conn._parser.get_status_code(),
        conn._headers,
        b''.join(conn._chunks),
        is_reusable,
    )


def _deliver(conn):
    reply, conn._ready = conn._ready, None
    if conn._is_dirty and reply.is_reusable:
        reply = dataclasses.replace(reply, is_reusable=False)
    _end(conn, reply)


def _end(conn, result):
    conn._buffered.size -= conn._size
    conn._size = conn._head_size = 0
    on_end, conn.on_end = conn.on_end, None
    if isinstance(result, Loss) or not result.is_reusable:
        close(conn)
    on_end(result)
