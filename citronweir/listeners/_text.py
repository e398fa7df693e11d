"""Serves short texts at fixed paths, such as readiness and metrics."""

from collections import abc

from aiohttp import web

from citronweir import core

# Seconds that a reader of a text may take once the listener closes; the
# time in which a node has to stop is a few seconds.
END_TIME = 0.2

Answer = abc.Callable[[], tuple[int, bytes]]


async def start_text_server(
    address: core.Address, answers: abc.Mapping[str, Answer]
) -> web.ServerRunner:
    """Starts a listener.

    Args:
        address: Where to listen.
        answers: For each path, what gives the status and the text.

    Returns:
        The runner, to be cleaned up at the end.

    Raises:
        OSError: The address cannot be listened on.
    """

    async def answer(request):
        make = answers.get(request.path)
        if make is None:
            return web.Response(status=404)
        status, body = make()
        return web.Response(status=status, body=body)

    server = web.Server(answer, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=END_TIME)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
