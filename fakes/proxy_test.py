"""Tests that the proxy disturbs connections as it says."""

import asyncio

import pytest

from fakes import proxy as proxies

WAIT = 0.2  # seconds in which an undisturbed echo comes


async def _echo(reader, writer):
    while chunk := await reader.read(100):
        writer.write(b'<' + chunk)
        await writer.drain()
    writer.close()


async def _ask(reader, writer):
    """Returns the echo of a message, or why there was none."""
    try:
        writer.write(b'x')
        async with asyncio.timeout(WAIT):
            return await reader.read(100) or 'closed'
    except TimeoutError:
        return 'silent'
    except ConnectionError:
        return 'closed'


@pytest.mark.parametrize(
    'link, seen',
    [
        (proxies.LinkMode.PASS, b'<x'),
        (proxies.LinkMode.DELAY, b'<x'),
        (proxies.LinkMode.RESET, 'closed'),
        (proxies.LinkMode.NO_REQUESTS, 'silent'),
        (proxies.LinkMode.NO_REPLIES, 'silent'),
        (proxies.LinkMode.SILENT, 'silent'),
    ],
)
async def test_links_disturb_open_connections(link, seen):
    """Guards the soak against faults that do nothing."""
    server = await asyncio.start_server(_echo, '127.0.0.1', 0)
    async with proxies.run(server.sockets[0].getsockname()[1]) as proxy:
        ends = await asyncio.open_connection('127.0.0.1', proxy.port)
        assert await _ask(*ends) == b'<x'
        proxies.set_link_mode(proxy, link)
        assert await _ask(*ends) == seen
        # Bytes that were lost leave a gap, so the connection is lost too.
        proxies.set_link_mode(proxy, proxies.LinkMode.PASS)
        is_lost = seen != b'<x'
        assert (await _ask(*ends) == b'<x') != is_lost
        ends[1].close()
    server.close()
