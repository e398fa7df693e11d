"""Answers the readiness checks of the platform's balancer."""

from collections import abc

from aiohttp import web

from citronweir import core
from citronweir.platform import _names as names


async def start_readiness(
    address: core.Address, is_ready: abc.Callable[[], bool]
) -> web.ServerRunner:
    """Starts the listener for readiness checks.

    Args:
        address: Where to listen.
        is_ready: Whether new callers may come.

    Returns:
        The runner, to be cleaned up at the end.

    Raises:
        OSError: The address cannot be listened on.
    """

    async def answer(request):
        if request.path != names.READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if is_ready() else 503)

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
