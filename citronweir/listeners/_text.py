"""Server of short texts at fixed paths, such as readiness and metrics."""

from collections import abc

from aiohttp import web

from citronweir import core

# Seconds that a running request may take once the server closes; a node has
# to stop within a few seconds.
SHUTDOWN_TIMEOUT = 0.2

TextHandler = abc.Callable[[], tuple[int, bytes]]
QueryHandler = abc.Callable[
    [abc.Mapping[str, str], abc.Mapping[str, str]], tuple[int, bytes]
]


async def start_text_server(
    address: core.Address,
    handlers: abc.Mapping[str, TextHandler],
    query_handlers: abc.Mapping[str, QueryHandler] | None = None,
) -> web.ServerRunner:
    """Starts a server of texts.

    Args:
        address: Address to listen on.
        handlers: For each path, the function that returns status and body.
        query_handlers: The same for paths whose answer depends on the query
            and the headers of the request.

    Returns:
        The runner; its ``cleanup`` stops the server.

    Raises:
        OSError: The server cannot listen on the address.
    """

    async def handle(request):
        handler = handlers.get(request.path)
        query_handler = (query_handlers or {}).get(request.path)
        if handler is not None:
            status, body = handler()
        elif query_handler is not None:
            status, body = query_handler(request.query, request.headers)
        else:
            return web.Response(status=404)
        return web.Response(status=status, body=body)

    server = web.Server(handle, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
