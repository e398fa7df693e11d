"""Client of the HTTP API for callers.

It does not retry: whether a retry is safe depends on the outcome and on the
kind of request, see docs/callers.md.
"""

import dataclasses
import typing

import aiohttp

from citronweir.callers import _codec as codec

# Seconds to wait for a reply beyond the deadline of the request.
REPLY_MARGIN = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerError:
    """Failure of a request without a readable reply."""

    detail: str


Reply = dict[str, typing.Any]


async def post_search(
    session: aiohttp.ClientSession, url: str, fields: Reply
) -> Reply | CallerError:
    """Sends a search.

    Args:
        session: Client session.
        url: Base URL of a node or of the balancer.
        fields: Fields of ``POST /v1/search``.

    Returns:
        Fields of the reply, or the error.
    """
    return await _post(session, f'{url}/v1/search', fields)


async def post_order(
    session: aiohttp.ClientSession, url: str, fields: Reply
) -> Reply | CallerError:
    """Sends a work order.

    Args:
        session: Client session.
        url: Base URL of a node or of the balancer.
        fields: Fields of ``POST /v1/orders``.

    Returns:
        Fields of the reply, or the error.
    """
    return await _post(session, f'{url}/v1/orders', fields)


async def _post(session, url, fields):
    deadline = fields.get('deadline_ms')
    budget = codec.MAX_BUDGET if deadline is None else deadline / 1000
    timeout = aiohttp.ClientTimeout(total=budget + REPLY_MARGIN)
    try:
        async with session.post(url, json=fields, timeout=timeout) as resp:
            reply = await resp.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        return CallerError(f'{type(exc).__name__}: {exc}')
    if not isinstance(reply, dict) or 'outcome' not in reply:
        return CallerError(f'HTTP {resp.status} without an outcome')
    return reply
