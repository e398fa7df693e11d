"""Proxy on the loopback that disturbs the connections which pass it."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum

CHUNK = 1 << 16  # bytes


class LinkMode(enum.Enum):
    """What happens to bytes.

    A connection that lost bytes stays silent in that direction, since what
    follows a gap would be another message than the one that was sent.
    """

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    NO_REQUESTS = 'no_requests'
    NO_REPLIES = 'no_replies'
    SILENT = 'silent'


_CUT = {
    LinkMode.NO_REQUESTS: (True,),
    LinkMode.NO_REPLIES: (False,),
    LinkMode.SILENT: (True, False),
}


@dataclasses.dataclass(slots=True)
class Proxy:
    """State of a proxy.

    Attributes:
        target: Port that it connects to.
        port: Port that it listens on.
        delay: Seconds for which DELAY holds bytes up.
        writers: Open ends of all connections.
    """

    target: int
    port: int = 0
    link: LinkMode = LinkMode.PASS
    delay: float = 0.05
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)


@contextlib.asynccontextmanager
async def run(target: int) -> abc.AsyncIterator[Proxy]:
    """Runs a proxy in front of a port of the loopback."""
    proxy = Proxy(target)

    async def accept(reader, writer):
        await _serve(proxy, reader, writer)

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    proxy.port = server.sockets[0].getsockname()[1]
    try:
        yield proxy
    finally:
        server.close()
        _abort(proxy)


def set_link_mode(proxy: Proxy, link: LinkMode) -> None:
    """Changes what happens to bytes; RESET also ends what is open."""
    proxy.link = link
    if link is LinkMode.RESET:
        _abort(proxy)


def _abort(proxy):
    for writer in list(proxy.writers):
        writer.transport.abort()


async def _serve(proxy, reader, writer):
    if proxy.link is LinkMode.RESET:
        writer.transport.abort()
        return
    try:
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', proxy.target
        )
    except OSError:
        writer.transport.abort()
        return
    ends = {writer, far_writer}
    proxy.writers |= ends
    pumps = [
        asyncio.ensure_future(_pump(proxy, reader, far_writer, True)),
        asyncio.ensure_future(_pump(proxy, far_reader, writer, False)),
    ]
    try:
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for pump in pumps:
            pump.cancel()
        for end in ends:
            end.close()
        proxy.writers -= ends


async def _pump(proxy, reader, writer, is_request):
    is_silent = False
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(CHUNK):
            if proxy.link is LinkMode.DELAY:
                await asyncio.sleep(proxy.delay)
            is_silent |= is_request in _CUT.get(proxy.link, ())
            if not is_silent:
                writer.write(chunk)
                await writer.drain()
