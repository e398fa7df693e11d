"""Tests of a front-node process with callers outside its control.

The node has little memory and few descriptors, so that a small crowd shows
what a large one does to a machine. Only what doesn't depend on the speed of
the machine is checked: that the process lives, that its memory and open
descriptors stay under the limits of its settings, and that an ordinary
request is answered afterwards.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib

import aiohttp
import pytest

from fakes import front_fleet as fleets

CROWD = 250  # connections
MEMORY_MB = 96
MAX_FDS = 600
BODY_BYTES = 262144
# More than the limit before the configuration of the test is in force.
ORDINARY_BYTES = 2000
LIMITS = f'[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}'
# Bytes that an endless sender sends if the node never closes.
ENDLESS_BYTES = 1 << 20
PIECE_BYTES = 1 << 14
SEND_TIMEOUT = 20.0  # seconds; ends a sender whose connection is not read
HEAD = (
    b'POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %d\r\n'
    b'X-Deadline-Ms: 1000\r\n'
)
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH = HEAD + b'Content-Length: %d\r\n\r\n'


def _repeat(piece):
    return itertools.repeat(piece, ENDLESS_BYTES // len(piece))


def _send_endless_head(number):
    yield HEAD % number
    yield from (
        b''.join(b'a%d-%d: b\r\n' % (piece, item) for item in range(1000))
        for piece in range(ENDLESS_BYTES // 10_000)
    )


def _send_endless_line(number):
    yield HEAD % number + b'a: '
    yield from _repeat(b'b' * PIECE_BYTES)


def _send_empty_lines(number):
    yield from _repeat(b'\r\n' * (PIECE_BYTES // 2))


def _send_short_body(number):
    yield LENGTH % (number, BODY_BYTES)
    yield b'x' * (BODY_BYTES - 1)


def _send_short_pieces(number):
    yield LENGTH % (number, BODY_BYTES)
    yield from itertools.repeat(b'x' * 1024, BODY_BYTES // 1024 - 1)


def _send_whole_body(number):
    yield LENGTH % (number, BODY_BYTES)
    yield b'x' * BODY_BYTES


def _send_large_chunks(number):
    yield CHUNKED % number
    chunk = b'%x\r\n' % PIECE_BYTES + b'x' * PIECE_BYTES + b'\r\n'
    yield from itertools.repeat(chunk, BODY_BYTES // PIECE_BYTES - 1)


def _send_small_chunks(number):
    yield CHUNKED % number
    yield from itertools.repeat(b'1\r\nx\r\n' * 1000, BODY_BYTES // 1000 - 1)


def _send_mixed(number):
    senders = (
        _send_endless_head,
        _send_short_body,
        _send_large_chunks,
        _send_small_chunks,
    )
    yield from senders[number % len(senders)](number)


CROWDS = (
    _send_endless_head,
    _send_endless_line,
    _send_empty_lines,
    _send_short_body,
    _send_short_pieces,
    _send_whole_body,
    _send_large_chunks,
    _send_small_chunks,
    _send_mixed,
)


async def _run_sender(host, port, pieces, is_sent, released):
    """Sends the pieces, then leaves the connection open until released."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT):
            _, writer = await asyncio.open_connection(host, port)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
    is_sent.set()
    await released.wait()
    with contextlib.suppress(UnboundLocalError):
        writer.transport.abort()


async def _send_ordinary(fleet, request_id):
    """Sends one ordinary request on a new connection, like a caller."""
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with aiohttp.ClientSession() as session:
            status, _, _ = await fleets.send_request(
                fleet,
                'n1',
                '/a/y',
                request_id,
                session,
                method='POST',
                data=b'x' * ORDINARY_BYTES,
                timeout=aiohttp.ClientTimeout(total=10),
            )
            return status == 200
    return False


def _read_peak_mb(pid):
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = [row for row in text.splitlines() if row.startswith('VmHWM')]
    return int(line.split()[1]) / 1024


async def _wait_for_answer(fleet):
    numbers = itertools.count()
    await fleets.wait_for(
        lambda: _send_ordinary(fleet, f'ordinary{next(numbers)}'), 60.0
    )


@pytest.mark.parametrize('send', CROWDS)
async def test_crowd_neither_ends_nor_fills_the_process(tmp_path, send):
    """Guards LOST: such crowds ended processes of a trial without memory."""
    route = fleets.make_route(backend='s0')
    async with fleets.run(tmp_path, routes=[route], bounds=LIMITS) as fleet:
        fleets.put_config(
            fleet.store,
            4,
            route,
            limits={
                'max_body_bytes': BODY_BYTES,
                'max_header_bytes': 16384,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        )
        await _wait_for_answer(fleet)
        pid = fleet.nodes['n1'].proc.pid
        host, _, port = fleet.nodes['n1'].callers.partition(':')
        released = asyncio.Event()
        sent = [asyncio.Event() for _ in range(CROWD)]
        senders = [
            asyncio.create_task(
                _run_sender(host, port, send(number), sent[number], released)
            )
            for number in range(CROWD)
        ]
        for event in sent:
            await event.wait()
        await _wait_for_answer(fleet)
        assert len(os.listdir(f'/proc/{pid}/fd')) <= MAX_FDS
        released.set()
        await asyncio.gather(*senders)
        await _wait_for_answer(fleet)
        assert fleet.nodes['n1'].proc.returncode is None
        assert _read_peak_mb(pid) <= MEMORY_MB


async def test_largest_request_inside_the_limits_is_served(tmp_path):
    """Guards callers inside the limits against the limits of the node."""
    route = fleets.make_route(backend='s0', timeout_ms=60_000)
    async with fleets.run(tmp_path, routes=[route], bounds=LIMITS) as fleet:
        fleets.put_config(
            fleet.store, 4, route, limits={'max_body_bytes': BODY_BYTES}
        )
        await _wait_for_answer(fleet)

        async def send_small_chunks():
            for _ in range(BODY_BYTES):
                yield b'x'

        for data in (b'x' * BODY_BYTES, send_small_chunks()):
            status, _, _ = await fleets.send_request(
                fleet,
                'n1',
                request_id='large',
                method='POST',
                data=data,
                deadline=60_000,
            )
            assert status == 200
