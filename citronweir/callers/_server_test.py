"""Tests of the callers' port with malformed and hostile input."""

import asyncio
import contextlib
import json
import time

import hypothesis
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir import listeners
from citronweir.callers import _server as servers

HOST = '127.0.0.1'
BODY = (
    b'{"contract":"c","request_id":"r","index":"parts","query":"q",'
    b'"limit":1000}'
)
ORDER = BODY.replace(b'"query":"q","limit":1000', b'"body":"b"').replace(
    b'"r"', b'"0193a5b8-7c1d-7d3e-8f00-0123456789ab"'
)
HIT = core.Hit('d', 1.0, 'x' * 20000)
ANSWER = core.Complete(core.SnapshotId(1), (HIT,), 1, 1)


class Recorder:
    """Counts the calls of the handlers and sets what they return."""

    def __init__(self):
        self.delay = 0.0
        self.answer = ANSWER
        self.stopping = False
        self.age = 0.0
        self.started = self.cancelled = self.finished = 0


def _head(
    path=b'/v1/search', length=None, extra=b'', kind=b'application/json'
):
    size = b'' if length is None else b'Content-Length: %d\r\n' % length
    return b'POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: %s\r\n%s%s\r\n' % (
        path,
        kind,
        size,
        extra,
    )


VALID_REQUEST = _head(length=len(BODY)) + BODY


@contextlib.asynccontextmanager
async def _serve(max_conns=50, timeout=0.2):
    recorder = Recorder()

    async def run(req, trace):
        recorder.started += 1
        try:
            await asyncio.sleep(recorder.delay)
        except asyncio.CancelledError:
            recorder.cancelled += 1
            raise
        recorder.finished += 1
        if recorder.answer is None:
            raise ValueError('exception in the handler')
        return recorder.answer

    handlers = servers.Handlers(
        run, run, lambda: True, lambda: recorder.stopping, lambda: recorder.age
    )
    limits = listeners.Limits(4096, max_conns, timeout)
    server = await servers.start_server(handlers, limits, HOST, 0)
    port = server.listener.sockets[0].getsockname()[1]
    try:
        yield server, port, recorder
    finally:
        await servers.stop_server(server, 1.0)


async def _exchange_bytes(port, sent):
    """Sends bytes and returns all bytes received until the server closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    received = b''
    try:
        writer.write(sent)
        async with asyncio.timeout(3):
            while part := await reader.read(65536):
                received += part
    except ConnectionError:
        pass
    finally:
        writer.close()
    return received


def _status(reply):
    return int(reply.split(b' ', 2)[1]) if reply else 0


async def _is_alive(port):
    sent = VALID_REQUEST.replace(b'Host', b'Connection: close\r\nHost')
    return _status(await _exchange_bytes(port, sent)) == 200


@pytest.mark.parametrize(
    ('sent', 'status', 'field'),
    [
        (_head(length=1 << 40), 413, 'body'),
        (
            _head(extra=b'Transfer-Encoding: chunked\r\n')
            + b'1000\r\n' + b'x' * 4096 + b'\r\n1000\r\n' + b'x' * 4096,
            413,
            'body',
        ),
        (_head(length=100) + b'{', 408, 'body'),
        (_head(length=2, kind=b'text/plain') + b'{}', 415, 'content-type'),
        (
            _head(length=2, extra=b'Content-Encoding: gzip\r\n') + b'{}',
            415,
            'content-encoding',
        ),
    ],
)  # fmt: skip
async def test_refused_body_gets_a_clear_error(sent, status, field):
    """Guards against reading oversized, endless or unsupported bodies."""
    async with _serve() as (_, port, recorder):
        started = time.monotonic()
        reply = await _exchange_bytes(port, sent)
        assert time.monotonic() - started < 2
        assert _status(reply) == status
        errors = json.loads(reply.partition(b'\r\n\r\n')[2])['errors']
        assert errors[0]['field'] == field
        assert not recorder.started
        assert await _is_alive(port)


@pytest.mark.parametrize(
    'sent',
    [
        b'',
        b'POST /v1/search HTTP/1.1\r\nHost:',
        VALID_REQUEST + b'POST /v1',
        b'GET / HTTP/1.1\r\nx: ' + b'a' * 20000 + b'\r\n\r\n',
        b'\x00\xff\x00\r\n\r\n',
    ],
)
async def test_incomplete_or_malformed_head_is_closed(
    sent, monkeypatch, caplog
):
    """Guards against clients that hold connections open or fill the log."""
    monkeypatch.setattr(servers, 'KEEPALIVE_TIMEOUT', 0.5)
    async with _serve() as (server, port, _):
        await _exchange_bytes(port, sent)
        assert not server.guards.incomplete
        assert await _is_alive(port)
    assert not [item for item in caplog.records if item.exc_info]


async def test_unknown_route_and_operators_calls_are_not_found():
    """Guards against access to operators' calls from the callers' port."""
    async with _serve() as (_, port, recorder):
        paths = (b'/citronweir.v1.Operators/PutContract', b'/v1/contracts')
        for path in paths:
            sent = _head(path, 2, b'Connection: close\r\n') + b'{}'
            assert _status(await _exchange_bytes(port, sent)) == 404
        sent = b'GET /v1/orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        reply = await _exchange_bytes(port, sent + b'\r\n')
        assert _status(reply) == 405
        assert b'Allow: POST' in reply
        assert not recorder.started


async def test_idle_connections_are_closed_for_new_callers():
    """Guards against idle connections that exhaust the connection limit."""
    async with _serve(max_conns=10, timeout=30) as (server, port, _):
        idle = [await asyncio.open_connection(HOST, port) for _ in range(40)]
        assert await _is_alive(port)
        assert len(server.guards.by_handler) <= 10
        assert server.guards.closed_counts['too many connections'] >= 30
        for _, writer in idle:
            writer.close()


async def test_client_that_reads_no_reply_is_disconnected():
    """Guards against replies held in memory for a client that hangs."""
    async with _serve() as (server, port, recorder):
        recorder.answer = core.Complete(core.SnapshotId(1), (HIT,) * 500, 1, 1)
        _, writer = await asyncio.open_connection(HOST, port, limit=1024)
        writer.transport.pause_reading()
        writer.write(VALID_REQUEST)
        await asyncio.sleep(1.0)
        assert server.guards.closed_counts['reply not read'] == 1
        writer.close()


async def test_disconnected_caller_cancels_a_search_but_not_an_order():
    """Guards against searches without a reader, orders without a result."""
    async with _serve() as (_, port, recorder):
        recorder.delay = 0.1
        for path, body in ((b'/v1/search', BODY), (b'/v1/orders', ORDER)):
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(_head(path, len(body)) + body)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.2)
        assert (recorder.started, recorder.cancelled, recorder.finished) == (
            2,
            1,
            1,
        )


async def test_stopping_node_asks_callers_to_disconnect():
    """Guards G7: an idle connection would break when the process ends."""
    async with _serve(timeout=5) as (_, port, recorder):
        recorder.stopping = True
        started = time.monotonic()
        assert b'Connection: close' in await _exchange_bytes(
            port, VALID_REQUEST
        )
        assert time.monotonic() - started < 1


async def test_stop_waits_for_running_requests():
    """Guards G7: a stop waits for requests but not for idle connections."""
    async with _serve(timeout=30) as (server, port, recorder):
        recorder.delay = 0.3
        talk = asyncio.create_task(_exchange_bytes(port, VALID_REQUEST))
        _, idle = await asyncio.open_connection(HOST, port)
        await asyncio.sleep(0.1)
        started = time.monotonic()
        await servers.stop_server(server, 10.0)
        assert time.monotonic() - started < 2
        assert _status(await talk) == 200
        idle.close()


async def test_exception_in_a_handler_is_not_reported_as_not_run():
    """Guards G4: an order may have run before an internal error."""
    async with _serve() as (_, port, recorder):
        recorder.answer = None
        for path, body in ((b'/v1/search', BODY), (b'/v1/orders', ORDER)):
            sent = _head(path, len(body), b'Connection: close\r\n') + body
            reply = await _exchange_bytes(port, sent)
            assert b'internal_error' in reply
            assert b'not_run' not in reply


@hypothesis.given(st.lists(st.binary(max_size=60), max_size=4), st.data())
@hypothesis.settings(max_examples=40)
def test_port_survives_any_bytes(parts, drawn):
    """Guards against input that stops the server or leaks connections."""
    cut = drawn.draw(st.integers(0, len(VALID_REQUEST)))

    async def main():
        async with _serve(timeout=0.02) as (server, port, _):
            await _exchange_bytes(port, VALID_REQUEST[:cut] + b''.join(parts))
            await _exchange_bytes(port, b''.join(parts))
            assert await _is_alive(port)
            await asyncio.sleep(0.05)
            assert not server.guards.incomplete

    asyncio.run(main())


async def test_health_before_the_first_configuration_is_json():
    """Guards against Infinity, which JSON parsers reject."""
    ask = b'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    async with _serve() as (_, port, recorder):
        for recorder.age, shown in ((float('inf'), b'null'), (1.5, b'1.5')):
            reply = await _exchange_bytes(port, ask)
            body = b'{"ready": true, "config_age_s": %s}' % shown
            assert reply.endswith(b'\r\n\r\n' + body)
