"""HTTP/1.1 client for one connection to a replica, without pipelining.

Every sub-request passes through this module, and a request has up to
hundreds of them. An exchange here takes 0.4 to 0.6 of the CPU time of one
through aiohttp's client (docs/decisions/platform.md), so only the parser of
a library is used.
"""

import asyncio
from collections import abc
import dataclasses
import enum

import httptools

# Bytes read until a reply is complete, including those before it. A faulty
# replica may send without end.
MAX_REPLY_BYTES = 8 << 20
# Bytes read until the head of the reply is complete.
MAX_HEAD_BYTES = 64 << 10
# Header and trailer fields of a reply. Each one takes at least ten times its
# size on the wire.
MAX_HEADER_FIELDS = 256
# Bytes of all replies being read; the smallest VMs have 200 MB. While this is
# exceeded, replies larger than SMALL_REPLY_BYTES are dropped.
MAX_BUFFERED_BYTES = 32 << 20
SMALL_REPLY_BYTES = 256 << 10
_NO_BODY = frozenset({204, 304})
_SWITCHING_PROTOCOLS = 101  # requests never ask for it


class Loss(enum.Enum):
    """Reason why an exchange has no reply."""

    BROKEN = 'broken'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """Complete reply before decoding.

    Attributes:
        headers: Values by name in lower case.
        is_reusable: Whether the connection may carry another request.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_reusable: bool


@dataclasses.dataclass(slots=True)
class BufferedBytes:
    """Total size of the replies that all connections are reading."""

    size: int = 0


OnResult = abc.Callable[[RawReply | Loss], None]
IsOwnReply = abc.Callable[[dict[str, str]], bool]


class Connection(asyncio.Protocol):
    """Connection to a replica; asyncio and the parser call its methods.

    Attributes:
        on_result: Called with the result of the exchange in progress; None
            while the connection is idle.
        on_idle_loss: Called when the connection closes while idle.
        is_own_reply: Returns whether the reply with these headers answers
            the request in progress.
        idle_since: Monotonic time in seconds of the last reply.
        keep_alive: Idle timeout of the replica in seconds, None if not
            stated.
    """

    def __init__(self, on_idle_loss, buffered):
        self.transport = None
        self.on_result: OnResult | None = None
        self.on_idle_loss = on_idle_loss
        self.is_own_reply: IsOwnReply | None = None
        self.is_closed = False
        self.idle_since = 0.0
        self.keep_alive: float | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._field_count = 0
        self._buffered: BufferedBytes = buffered
        self._size = 0
        self._head_size = 0
        self._has_head = False
        self._is_close_delimited = False
        self._reply: RawReply | None = None
        self._has_extra_bytes = False

    def connection_made(self, transport):
        """Stores the transport of the new connection."""
        self.transport = transport

    def data_received(self, data):
        """Parses a reply; bytes received while idle close the connection."""
        if self.on_result is None:
            self._report_idle_loss()
            return
        self._size += len(data)
        self._buffered.size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._reply is None:
                _finish(self, Loss.MALFORMED)
                return
            self._has_extra_bytes = True
        if self._reply is not None:
            _deliver(self)
        elif self._is_too_large(len(data)):
            _finish(self, Loss.MALFORMED)

    def eof_received(self):
        """Completes a reply that is delimited by the end of the connection.

        Any other reply is truncated, which connection_lost reports.
        """
        if (
            self.on_result is not None
            and self._is_close_delimited
            and self._is_reply()
        ):
            self._reply = _make_reply(self, is_reusable=False)
            _deliver(self)

    def connection_lost(self, exc):
        """Reports the loss of an exchange or of an idle connection."""
        if self.on_result is not None:
            _finish(self, Loss.BROKEN)
        else:
            self._report_idle_loss()

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
        """Returns whether the message is the final reply to this request."""
        if self._parser.get_status_code() < 200:
            return False
        return self.is_own_reply is None or self.is_own_reply(self._headers)

    def _report_idle_loss(self):
        if not self.is_closed:
            close(self)
            self.on_idle_loss(self)

    def on_message_begin(self):
        """Resets the state for a message; one after the reply is ignored."""
        if self._reply is not None:
            self._has_extra_bytes = True
            return
        self._headers, self._body = {}, bytearray()
        self._has_head = self._is_close_delimited = False

    def on_header(self, name, value):
        """Stores a header field.

        Raises:
            ValueError: The reply has too many fields.
        """
        self._field_count += 1
        if self._field_count > MAX_HEADER_FIELDS:
            # Stops the parser, which reports the error to its caller.
            raise ValueError(f'more than {MAX_HEADER_FIELDS} header fields')
        if self._reply is None:
            key = name.decode('latin-1').lower()
            self._headers[key] = value.decode('latin-1')

    def on_headers_complete(self):
        """Checks the status and determines how the body is delimited.

        Raises:
            ValueError: The status is none that HTTP allows here.
        """
        status = self._parser.get_status_code()
        if not 100 <= status < 600 or status == _SWITCHING_PROTOCOLS:
            # Stops the parser, which reports the error to its caller.
            raise ValueError(f'status {status}')
        if self._reply is None and self._parser.get_status_code() >= 200:
            self._has_head = True
            self._is_close_delimited = not (
                'content-length' in self._headers
                or 'transfer-encoding' in self._headers
                or self._parser.get_status_code() in _NO_BODY
            )

    def on_body(self, body):
        """Stores a part of the body."""
        if self._reply is None:
            self._body += body

    def on_message_complete(self):
        """Completes the reply if the message is the one expected."""
        if self._reply is not None:
            return
        self._has_head = self._is_close_delimited = False
        if not self._is_reply():
            # An interim response, or a duplicate reply to an earlier request;
            # the expected reply is still to come.
            self._has_extra_bytes |= self._parser.get_status_code() >= 200
            return
        self._reply = _make_reply(self, self._parser.should_keep_alive())


def start_exchange(
    conn: Connection,
    payload: bytes,
    is_own_reply: IsOwnReply,
    on_result: OnResult,
) -> None:
    """Sends a request on an idle connection.

    Args:
        conn: The connection.
        payload: Serialized request.
        is_own_reply: Returns whether the reply with these headers answers
            this request.
        on_result: Called once with the reply or the loss.
    """
    conn.on_result, conn.is_own_reply = on_result, is_own_reply
    conn.transport.write(payload)


def close(conn: Connection) -> None:
    """Closes a connection at once, without a result for its exchange."""
    conn.on_result = None
    conn._buffered.size -= conn._size
    conn._size = 0
    conn._headers, conn._body = {}, bytearray()
    if not conn.is_closed:
        conn.is_closed = True
        conn.transport.abort()


def _make_reply(conn, is_reusable):
    return RawReply(
        conn._parser.get_status_code(),
        conn._headers,
        bytes(conn._body),
        is_reusable,
    )


def _deliver(conn):
    reply, conn._reply = conn._reply, None
    if conn._has_extra_bytes and reply.is_reusable:
        reply = dataclasses.replace(reply, is_reusable=False)
    _finish(conn, reply)


def _finish(conn, result):
    conn._buffered.size -= conn._size
    conn._size = conn._head_size = conn._field_count = 0
    on_result, conn.on_result = conn.on_result, None
    if isinstance(result, Loss) or not result.is_reusable:
        close(conn)
    on_result(result)
