"""Answers the readiness checks of the platform's balancer."""

from collections import abc

from aiohttp import web

from citronweir import core
from citronweir import listeners
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

    def answer():
        return (200 if is_ready() else 503), b''

    return await listeners.start_text_server(
        address, {names.READY_PATH: answer}
    )
