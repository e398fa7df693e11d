"""Runs an aiohttp application with the limits of guards.

Used by the ports for operators and metrics. The callers' port also has to
wait for running orders when it stops, so it has a server of its own.
"""

import asyncio
import dataclasses

from aiohttp import web

from citronweir.listeners import _guard as guarding

MAX_HEAD_BYTES = 8190  # maximum for the request line and for each header
LINGER_TIME = 0.5  # seconds in which a refused body is read and discarded
BACKLOG = 1024  # connections that the kernel queues before accept
SHUTDOWN_TIMEOUT = 2.0  # seconds allowed for running requests


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """Application that listens on a port."""

    runner: web.AppRunner
    server: asyncio.Server
    guards: guarding.Guards


async def start_listener(
    app: web.Application, limits: guarding.Limits, host: str, port: int
) -> Listener:
    """Starts to listen with an application.

    Args:
        app: The application, not started yet.
        limits: Limits of the port; the application itself has to limit the
            size of bodies.
        host: IP address.
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
        shutdown_timeout=SHUTDOWN_TIMEOUT,
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
    """Closes the port and its connections."""
    listener.server.close()
    await listener.runner.cleanup()


def _make_middleware(guards):
    @web.middleware
    async def guard(request, handler):
        conn = request.protocol
        guarding.begin_request(guards, conn)
        try:
            return await handler(request)
        finally:
            if request.content.at_eof():
                guarding.mark_body_read(guards, conn)
            guarding.end_request(guards, conn)

    return guard
