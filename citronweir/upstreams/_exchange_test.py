"""Tests of replies that a replica cuts or never ends."""

import asyncio
import functools
import socket
import struct
import time

import pytest

from citronweir import core
from citronweir import platform
from citronweir import upstreams
from citronweir.upstreams import _exchange as exchanges

REQ = core.HttpRequest(
    core.RequestId('id'), 'GET', 'a.example', '/a/', (), b'', 1.0
)
SIGNED = b'X-Server-Stamp: s\r\nX-Request-Id: id\r\n'
BODY = b'0123456789abcdef'
FRAMED = b'HTTP/1.1 200 OK\r\n%sContent-Length: 16\r\n\r\n' % SIGNED
UNFRAMED = b'HTTP/1.1 200 OK\r\n%s\r\n' % SIGNED
CHUNKED = b'HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n' % SIGNED
OTHER = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Request-Id: other\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
CHUNK = 1 << 16  # bytes
DEADLINE = 10.0  # seconds
# The system may hold as much again in its buffers.
MAX_SENT = 3 * exchanges.MAX_REPLY_BYTES


async def _ask(port, seconds=1.0):
    """Sends one request and returns its outcome."""
    lanes = upstreams.Lanes(time.monotonic)
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
    upstreams.submit(lanes, replica, 1, exchange)
    try:
        return await future
    finally:
        upstreams.close_all(lanes)


async def _ask_cut(payload, is_reset=False):
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
        return await _ask(server.sockets[0].getsockname()[1])


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('before', [b'', CONTINUE, CONTINUE * 2])
@pytest.mark.parametrize('head', [FRAMED, UNFRAMED, CHUNKED])
async def test_head_that_is_cut_is_no_reply(head, before, is_reset):
    """Guards callers against an empty success of a replica that stopped.

    The connection ends after each byte of the head, and before the first.
    """
    payload = before + head
    for size in range(len(payload)):
        outcome = await _ask_cut(payload[:size], is_reset)
        assert isinstance(outcome, core.Lost), payload[:size]


@pytest.mark.parametrize(
    'payload',
    [
        FRAMED,
        FRAMED + BODY[:-1],
        CHUNKED,
        CHUNKED + b'10\r\n' + BODY[:-1],
        CHUNKED + b'10\r\n' + BODY + b'\r\n',
        CHUNKED + b'10\r\n' + BODY + b'\r\n0\r\n',
        OTHER + BODY,
        OTHER,
        CONTINUE,
    ],
)
async def test_reply_that_is_cut_or_of_another_request_is_none(payload):
    """Guards G3: a short body, and one that belongs to another request."""
    assert isinstance(await _ask_cut(payload), core.Lost)


async def test_reply_without_length_ends_with_its_connection():
    """Guards replies that are framed by the end of the connection."""
    outcome = await _ask_cut(UNFRAMED + BODY)
    assert outcome.reply.body == BODY
    assert isinstance(
        await _ask_cut(UNFRAMED + BODY, is_reset=True), core.Lost
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
        OTHER.replace(b'\r\n\r\n', b'\r\nContent-Length: 0\r\n\r\n') * 999,
    ),
    'unframed': (UNFRAMED, b'x' * CHUNK),
    'length': (
        FRAMED.replace(b' 16', b' 999999999999999'),
        b'x' * CHUNK,
    ),
    'chunks': (CHUNKED, b'1000\r\n' + b'x' * 4096 + b'\r\n'),
    'extension': (CHUNKED + b'1;', b'x' * CHUNK),
    'trailer': (CHUNKED + b'0\r\n', b'X-A: 1\r\n' * (CHUNK // 8)),
    'more': (FRAMED + BODY, b'x' * CHUNK),
}


@pytest.mark.parametrize('name', list(ENDLESS))
async def test_bytes_without_end_are_cut_off(name):
    """Guards memory and processor time against a replica that goes on."""
    first, rest = ENDLESS[name]
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b'\r\n\r\n')
        writer.write(first)
        try:
            while True:
                writer.write(rest)
                sent += len(rest)
                await writer.drain()
        except ConnectionError:
            pass

    async with await asyncio.start_server(serve, '127.0.0.1', 0) as server:
        async with asyncio.timeout(DEADLINE / 2):
            outcome = await _ask(server.sockets[0].getsockname()[1], DEADLINE)
        if name != 'more':
            assert isinstance(outcome, core.Lost)
        await asyncio.sleep(0.1)
    assert sent <= MAX_SENT


class _Transport:
    """Transport that takes everything."""

    def write(self, payload):
        """Drops what is written."""

    def abort(self):
        """Closes nothing."""


def test_large_replies_at_once_stay_within_the_memory_of_a_vm():
    """Guards memory where each replica of a route sends without end.

    Replies of the usual size are read on meanwhile.
    """
    buffered, ends = exchanges.Buffered(), {}
    conns = []
    for number in range(40):
        conn = exchanges.Connection(lambda conn: None, buffered)
        conn.connection_made(_Transport())
        on_end = functools.partial(ends.__setitem__, number)
        exchanges.start_exchange(conn, b'', lambda headers: True, on_end)
        conn.data_received(UNFRAMED)
        conns.append(conn)
    most = exchanges.MAX_BUFFERED_BYTES + len(conns) * (
        exchanges.SMALL_REPLY_BYTES + CHUNK
    )
    for _ in range(exchanges.MAX_REPLY_BYTES // CHUNK + 1):
        for conn in conns[1:]:
            if not conn.is_closed:
                conn.data_received(b'x' * CHUNK)
        assert buffered.size <= most
    conns[0].data_received(BODY)
    conns[0].eof_received()
    assert ends.pop(0).body == BODY
    assert set(ends.values()) == {exchanges.Loss.MALFORMED}
    assert buffered.size == 0
