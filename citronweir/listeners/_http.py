"""Serves an application behind guards.

The ports for operators and metrics have no flow of their own to stop,
unlike the callers' port, and need only the limits.
"""

import asyncio
import dataclasses

from aiohttp import web

from citronweir.listeners import _guard as guarding

MAX_HEAD_BYTES = 8190  # of the request line and of each header
LINGER_TIME = 0.5  # seconds in which a refused body is read and dropped
BACKLOG = 1024  # connections that the kernel holds before accept
STOP_TIMEOUT = 2.0  # seconds that running calls get at a stop


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """Listening application."""

    runner: web.AppRunner
    server: asyncio.Server
    guards: guarding.Guards


async def start_listener(
    app: web.Application, limits: guarding.Limits, host: str, port: int
) -> Listener:
    """Listens with an application.

    Args:
        app: The application, not started yet.
        limits: Limits of the port; the application itself bounds the
            bodies that it reads.
        host: IP number.
        port: TCP port, or 0 for any free one.

    Returns:
        The listener, to be stopped with ``stop_listener``.

    Raises:
        OSError: The port cannot be opened.
    """
    guards = guarding.Guards(limits)
    app.middlewares.append(_make_middleware(guards))
    runner = web.AppRunner(
        app,
        access_log=None,
        auto_decompress=False,
        lingering_time=LINGER_TIME,
        max_field_size=MAX_HEAD_BYTES,
        max_line_size=MAX_HEAD_BYTES,
        shutdown_timeout=STOP_TIMEOUT,
    )
    await runner.setup()

    def make_protocol():
        return guarding.Guard(guards, runner.server())

    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_protocol, host, port, backlog=BACKLOG
    )
    return Listener(runner, server, guards)


async def stop_listener(listener: Listener) -> None:
    """Closes the port and ends its connections."""
    listener.server.close()
    await listener.runner.cleanup()


def _make_middleware(guards):
    @web.middleware
    async def guard(http_req, handler):
        conn = http_req.protocol
        guarding.begin_request(guards, conn)
        try:
            return await handler(http_req)
        finally:
            if http_req.content.at_eof():
                guarding.mark_body_read(guards, conn)
            guarding.end_request(guards, conn)

    return guard
