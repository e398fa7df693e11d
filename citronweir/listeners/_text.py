"""Server of short texts at fixed paths, such as readiness and metrics."""

from collections import abc

from aiohttp import web

from citronweir import core

# Seconds that a running request may take once the server closes; a node has
# to stop within a few seconds.
SHUTDOWN_TIMEOUT = 0.2

TextHandler = abc.Callable[[], tuple[int, bytes]]


async def start_text_server(
    address: core.Address, handlers: abc.Mapping[str, TextHandler]
) -> web.ServerRunner:
    """Starts a server of texts.

    Args:
        address: Address to listen on.
        handlers: For each path, the function that returns status and body.

    Returns:
        The runner; its ``cleanup`` stops the server.

    Raises:
        OSError: The server cannot listen on the address.
    """

    async def handle(request):
        handler = handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        status, body = handler()
        return web.Response(status=status, body=body)

    server = web.Server(handle, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
