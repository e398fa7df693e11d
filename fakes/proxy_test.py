"""Tests of the proxy that injects network faults."""

import asyncio

import pytest

from fakes import proxy as proxies

REPLY_TIMEOUT = 0.2  # seconds; an echo without faults arrives sooner


async def _echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(b'<' + chunk)
        await writer.drain()
    writer.close()


async def _send_and_read(reader, writer):
    """Sends a message; returns its echo, or 'silent' or 'closed'."""
    try:
        writer.write(b'x')
        async with asyncio.timeout(REPLY_TIMEOUT):
            return await reader.read(100) or 'closed'
    except TimeoutError:
        return 'silent'
    except ConnectionError:
        return 'closed'


@pytest.mark.parametrize(
    'link_mode, expected',
    [
        (proxies.LinkMode.PASS, b'<x'),
        (proxies.LinkMode.DELAY, b'<x'),
        (proxies.LinkMode.RESET, 'closed'),
        (proxies.LinkMode.NO_REQUESTS, 'silent'),
        (proxies.LinkMode.NO_REPLIES, 'silent'),
        (proxies.LinkMode.SILENT, 'silent'),
    ],
)
async def test_links_disturb_open_connections(link_mode, expected):
    """Guards against soak tests whose network faults have no effect."""
    server = await asyncio.start_server(_echo, '127.0.0.1', 0)
    async with proxies.run(server.sockets[0].getsockname()[1]) as proxy:
        connection = await asyncio.open_connection('127.0.0.1', proxy.port)
        assert await _send_and_read(*connection) == b'<x'
        proxies.set_link_mode(proxy, link_mode)
        assert await _send_and_read(*connection) == expected
        # A connection that lost bytes must not resume after the gap.
        proxies.set_link_mode(proxy, proxies.LinkMode.PASS)
        is_lost = expected != b'<x'
        assert (await _send_and_read(*connection) == b'<x') != is_lost
        connection[1].close()
    server.close()
