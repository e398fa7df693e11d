"""Tests of truncated and endless replies."""

import asyncio
import functools
import socket
import struct
import time

import hypothesis
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir import platform
from citronweir import upstreams
from citronweir.upstreams import _exchange as exchanges

REQ = core.HttpRequest(
    core.RequestId('id'), 'GET', 'a.example', '/a/', (), b'', 1.0
)
SIGNATURE_FIELDS = b'X-Server-Stamp: s\r\nX-Request-Id: id\r\n'
BODY = b'0123456789abcdef'
LENGTH_DELIMITED = (
    b'HTTP/1.1 200 OK\r\n%sContent-Length: 16\r\n\r\n' % SIGNATURE_FIELDS
)
CLOSE_DELIMITED = b'HTTP/1.1 200 OK\r\n%s\r\n' % SIGNATURE_FIELDS
CHUNKED = (
    b'HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n'
    % SIGNATURE_FIELDS
)
OTHER_REQUEST = (
    b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: other\r\n\r\n'
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CHUNK = 1 << 16  # bytes
DEADLINE = 10.0  # seconds
# The socket buffers of the system may hold as much again.
MAX_SENT = 3 * exchanges.MAX_REPLY_BYTES


async def _send_request(port, seconds=1.0):
    """Sends one request and returns its outcome."""
    channels = upstreams.Channels(time.monotonic)
    replica = core.ListedReplica(
        core.ReplicaId('i-1'),
        core.ServiceName('s'),
        core.Address('127.0.0.1', port),
        core.DataCentre('dc'),
        core.ListedState.READY,
    )
    future = asyncio.get_running_loop().create_future()
    encode = platform.make_encoder(REQ)
    exchange = upstreams.Exchange(
        core.Rank.URGENT,
        time.monotonic() + seconds,
        lambda left: encode(replica.replica_id, left),
        platform.decode_reply,
        platform.make_reply_matcher(REQ.request_id),
        future.set_result,
    )
    upstreams.submit(channels, replica, 1, exchange)
    try:
        return await future
    finally:
        upstreams.close_all(channels)


async def _send_and_cut(payload, is_reset=False):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(payload)
        if is_reset:
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as server:
        return await _send_request(server.sockets[0].getsockname()[1])


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('before', [b'', CONTINUE, CONTINUE * 2])
@pytest.mark.parametrize('head', [LENGTH_DELIMITED, CLOSE_DELIMITED, CHUNKED])
async def test_truncated_head_is_not_a_reply(head, before, is_reset):
    """Guards against an empty successful reply from a replica that ended.

    The connection closes before the head, and after each byte of it.
    """
    payload = before + head
    for size in range(len(payload)):
        outcome = await _send_and_cut(payload[:size], is_reset)
        assert isinstance(outcome, core.Lost), payload[:size]


@pytest.mark.parametrize(
    'payload',
    [
        LENGTH_DELIMITED,
        LENGTH_DELIMITED + BODY[:-1],
        CHUNKED,
        CHUNKED + b'10\r\n' + BODY[:-1],
        CHUNKED + b'10\r\n' + BODY + b'\r\n',
        CHUNKED + b'10\r\n' + BODY + b'\r\n0\r\n',
        OTHER_REQUEST + BODY,
        OTHER_REQUEST,
        CONTINUE,
    ],
)
async def test_truncated_or_foreign_reply_is_not_delivered(payload):
    """Guards G3: truncated bodies and replies to other requests are lost."""
    assert isinstance(await _send_and_cut(payload), core.Lost)


@pytest.mark.parametrize(
    'status', ['000', '001', '042', '099', '101', '600', '700', '999']
)
async def test_status_outside_http_is_not_a_reply(status):
    """Guards G3: such a reply was passed on, or awaited until the deadline.

    The connection stays open, so only the reply itself can end the exchange.
    """
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        head = LENGTH_DELIMITED.replace(b'200 OK', b'%s X' % status.encode())
        writer.write(head + BODY)
        await reader.read()
        writer.close()
        closed.set()

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as server:
        port = server.sockets[0].getsockname()[1]
        outcome = await _send_request(port, 60.0)
        assert outcome == core.Lost(core.UnknownReason.REPLY_LOST)
        await closed.wait()


async def test_reply_without_length_ends_with_its_connection():
    """Guards replies that are delimited by the end of the connection.

    Only a clean close completes such a reply; a reset loses it.
    """
    outcome = await _send_and_cut(CLOSE_DELIMITED + BODY)
    assert outcome.reply.body == BODY
    assert isinstance(
        await _send_and_cut(CLOSE_DELIMITED + BODY, is_reset=True), core.Lost
    )


ENDLESS = {
    'field': (b'HTTP/1.1 200 OK\r\nX-A: ', b'x' * CHUNK),
    'fields': (b'HTTP/1.1 200 OK\r\n', b'X-A: 1\r\n' * (CHUNK // 8)),
    'reason': (b'HTTP/1.1 200 ', b'x' * CHUNK),
    'status': (b'', b'HTTP/1.1 200 OK'),
    'garbage': (b'', b'\0' * CHUNK),
    'lines': (b'', b'\r\n' * (CHUNK // 2)),
    'interim': (b'', CONTINUE * (CHUNK // len(CONTINUE))),
    'others': (
        b'',
        OTHER_REQUEST.replace(b'\r\n\r\n', b'\r\nContent-Length: 0\r\n\r\n')
        * 999,
    ),
    'unframed': (CLOSE_DELIMITED, b'x' * CHUNK),
    'length': (
        LENGTH_DELIMITED.replace(b' 16', b' 999999999999999'),
        b'x' * CHUNK,
    ),
    'chunks': (CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'extension': (CHUNKED + b'1;', b'x' * CHUNK),
    'trailer': (CHUNKED + b'0\r\n', b'X-A: 1\r\n' * (CHUNK // 8)),
    'more': (LENGTH_DELIMITED + BODY, b'x' * CHUNK),
}


@pytest.mark.parametrize('name', list(ENDLESS))
async def test_endless_reply_is_aborted(name):
    """Guards memory and CPU time against a replica that sends without end."""
    prefix, repeated = ENDLESS[name]
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b'\r\n\r\n')
        writer.write(prefix)
        try:
            while True:
                writer.write(repeated)
                sent += len(repeated)
                await writer.drain()
        except ConnectionError:
            pass

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as server:
        async with asyncio.timeout(DEADLINE / 2):
            outcome = await _send_request(
                server.sockets[0].getsockname()[1], DEADLINE
            )
        if name != 'more':
            assert isinstance(outcome, core.Lost)
        await asyncio.sleep(0.1)
    assert sent <= MAX_SENT


class _Transport:
    """Transport that discards all writes."""

    def write(self, payload):
        """Discards the payload."""

    def abort(self):
        """Does nothing."""


def test_large_replies_at_once_stay_within_the_memory_of_a_vm():
    """Guards memory when many replicas send endless replies at once.

    Replies of the usual size are still read meanwhile.
    """
    buffered, ends = exchanges.BufferedBytes(), {}
    conns = []
    for number in range(40):
        conn = exchanges.Connection(lambda conn: None, buffered)
        conn.connection_made(_Transport())
        on_result = functools.partial(ends.__setitem__, number)
        exchanges.start_exchange(conn, b'', lambda headers: True, on_result)
        conn.data_received(CLOSE_DELIMITED)
        conns.append(conn)
    limit = exchanges.MAX_BUFFERED_BYTES + len(conns) * (
        exchanges.SMALL_REPLY_BYTES + CHUNK
    )
    for _ in range(exchanges.MAX_REPLY_BYTES // CHUNK + 1):
        for conn in conns[1:]:
            if not conn.is_closed:
                conn.data_received(b'x' * CHUNK)
        assert buffered.size <= limit
    conns[0].data_received(BODY)
    conns[0].eof_received()
    assert ends.pop(0).body == BODY
    assert set(ends.values()) == {exchanges.Loss.MALFORMED}
    assert buffered.size == 0


class Transport:
    """Transport that only records whether it was aborted."""

    def __init__(self):
        self.is_aborted = False

    def write(self, data):
        pass

    def abort(self):
        self.is_aborted = True


REPLIES = (
    LENGTH_DELIMITED + BODY,
    CLOSE_DELIMITED + BODY,
    CHUNKED + b'10\r\n' + BODY + b'\r\n0\r\n\r\n',
    CONTINUE + LENGTH_DELIMITED + BODY,
    OTHER_REQUEST + LENGTH_DELIMITED + BODY,
    LENGTH_DELIMITED + BODY + LENGTH_DELIMITED + BODY,
)


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    st.sampled_from(REPLIES),
    st.lists(st.tuples(st.integers(0, 300), st.integers(0, 255)), max_size=5),
    st.lists(st.integers(1, 60), max_size=10),
    st.booleans(),
)
def test_any_bytes_of_a_replica_give_at_most_one_result(
    raw, changes, sizes, is_ended
):
    """Guards a node against an error in the parser of replies.

    The bytes may be changed anywhere and arrive in any pieces.
    """
    data = bytearray(raw)
    for position, value in changes:
        data[position % len(data)] = value
    buffered, results = exchanges.BufferedBytes(), []
    conn = exchanges.Connection(lambda conn: None, buffered)
    conn.connection_made(Transport())
    exchanges.start_exchange(
        conn,
        b'',
        platform.make_reply_matcher(REQ.request_id),
        results.append,
    )
    at = 0
    for size in [*sizes, len(data)]:
        if at < len(data) and not conn.is_closed:
            conn.data_received(bytes(data[at : at + size]))
        at += size
    if is_ended and not conn.is_closed:
        conn.eof_received()
    conn.connection_lost(None)
    assert len(results) == 1
    assert buffered.size == 0
    for result in results:
        if isinstance(result, upstreams.RawReply):
            platform.decode_notice(result)
            platform.decode_reply(result)
