"""TCP proxy on the loopback that injects network faults."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum

CHUNK = 1 << 16  # bytes


class LinkMode(enum.Enum):
    """How the proxy treats its connections.

    After a connection has lost bytes in one direction, nothing more is
    forwarded in that direction: bytes after a gap would form a different
    message than the one that was sent.
    """

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    NO_REQUESTS = 'no_requests'
    NO_REPLIES = 'no_replies'
    SILENT = 'silent'


# For each mode, the values of is_request whose bytes are dropped.
_DROPPED_DIRECTIONS = {
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
        delay: Seconds by which DELAY delays each chunk.
        writers: Writers of both ends of all open connections.
    """

    target: int
    port: int = 0
    link_mode: LinkMode = LinkMode.PASS
    delay: float = 0.05
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)


@contextlib.asynccontextmanager
async def run(target: int) -> abc.AsyncIterator[Proxy]:
    """Runs a proxy in front of a port on the loopback.

    Yields:
        The running proxy.
    """
    proxy = Proxy(target)

    async def accept(reader, writer):
        await _serve_connection(proxy, reader, writer)

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    proxy.port = server.sockets[0].getsockname()[1]
    try:
        yield proxy
    finally:
        server.close()
        _abort_connections(proxy)


def set_link_mode(proxy: Proxy, link_mode: LinkMode) -> None:
    """Changes the mode; RESET also resets the open connections."""
    proxy.link_mode = link_mode
    if link_mode is LinkMode.RESET:
        _abort_connections(proxy)


def _abort_connections(proxy):
    for writer in list(proxy.writers):
        writer.transport.abort()


async def _serve_connection(proxy, reader, writer):
    if proxy.link_mode is LinkMode.RESET:
        writer.transport.abort()
        return
    try:
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', proxy.target
        )
    except OSError:
        writer.transport.abort()
        return
    connection_writers = {writer, target_writer}
    proxy.writers |= connection_writers
    copy_tasks = [
        asyncio.ensure_future(
            _copy_stream(proxy, reader, target_writer, True)
        ),
        asyncio.ensure_future(
            _copy_stream(proxy, target_reader, writer, False)
        ),
    ]
    try:
        await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for copy_task in copy_tasks:
            copy_task.cancel()
        for connection_writer in connection_writers:
            connection_writer.close()
        proxy.writers -= connection_writers


async def _copy_stream(proxy, reader, writer, is_request):
    is_dropping = False
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(CHUNK):
            if proxy.link_mode is LinkMode.DELAY:
                await asyncio.sleep(proxy.delay)
            is_dropping |= is_request in _DROPPED_DIRECTIONS.get(
                proxy.link_mode, ()
            )
            if not is_dropping:
                writer.write(chunk)
                await writer.drain()
