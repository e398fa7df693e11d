"""Serves the readiness checks of the platform's load balancer."""

from collections import abc

from aiohttp import web

from citronweir import core
from citronweir import listeners
from citronweir.platform import _names as names


async def start_readiness(
    address: core.Address, is_ready: abc.Callable[[], bool]
) -> web.ServerRunner:
    """Starts the HTTP server for readiness checks.

    Args:
        address: Address to listen on.
        is_ready: Returns whether the node accepts new callers.

    Returns:
        The runner; the caller cleans it up at shutdown.

    Raises:
        OSError: Listening on the address failed.
    """

    def answer():
        return (200 if is_ready() else 503), b''

    return await listeners.start_text_server(
        address, {names.READY_PATH: answer}
    )
