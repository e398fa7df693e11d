"""Tests of the limits of the listener for other nodes."""

import asyncio

from citronweir import core
from citronweir import nodes
from citronweir.nodes import _calls_test as calls_test
from citronweir.nodes import _server as server_

MAX_HANDSHAKES = 8
SILENT_COUNT = 60


async def _open_silent(member):
    """Opens a connection that never answers the challenge."""
    return await asyncio.open_connection(
        member.address.host, member.address.port
    )


async def test_silent_streams_do_not_keep_nodes_out():
    """Guards against a listener without a separate limit on handshakes.

    Connections that never send a hello would count against the limit on
    nodes and keep nodes out for as long as new ones are opened.
    """
    limits = server_.Limits(max_conns=2, max_handshakes=MAX_HANDSHAKES)
    server, member = await calls_test._start_server(limits=limits)
    silent = []
    for _ in range(SILENT_COUNT):
        silent.append(await _open_silent(member))
    await calls_test._wait_until(lambda: len(server.conns) <= MAX_HANDSHAKES)
    assert len(server.handshakes) <= MAX_HANDSHAKES
    async with calls_test._open_links() as links:
        outcome = await calls_test._call(links, member, 'x')
        assert outcome == core.SubDone('x')
        for _ in range(SILENT_COUNT):  # the authenticated node stays connected
            silent.append(await _open_silent(member))
        await calls_test._wait_until(
            lambda: len(server.conns) <= MAX_HANDSHAKES + 1
        )
        outcome = await calls_test._call(links, member, 'y')
        assert outcome == core.SubDone('y')
        assert links.by_address[member.address].failures == 0
    for _, writer in silent:
        writer.close()
    await nodes.close_server(server)
    assert not server.handshakes
