"""Takes the requests of callers and renders the answers to them."""

import asyncio
from collections import abc
import dataclasses
import math
import random
import time
import weakref

from aiohttp import web

from citronweir import core
from citronweir.platform import _names as names

# Callers reuse a connection that was idle for most of the idle limit of
# the configuration, which may change while it is open.
KEEP_ALIVE = 300.0  # seconds
# A connection ends with an answer after this time, each at its own moment.
# Callers that came from another region while their own nodes were away
# would otherwise stay, at 16 ms and more for each request.
MIN_CONN_AGE = 4.0  # seconds
MAX_CONN_AGE = 8.0  # seconds
BACKLOG = 1024  # connections that wait to be accepted
MAX_FIELD_BYTES = 65536  # bytes of one header field
# Deadline of a caller that states none that can be read.
DEFAULT_BUDGET = 30.0  # seconds
# Fields that concern one connection or that this node sets itself.
_DROPPED = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        names.REQUEST_ID.lower(),
        names.DEADLINE.lower(),
        names.EXPECTED_REPLICA.lower(),
    }
)
_MIN_RETRY_AFTER = 0.05  # seconds

Handle = abc.Callable[[core.HttpRequest], abc.Awaitable[core.RequestOutcome]]


@dataclasses.dataclass(slots=True)
class Ingress:
    """State of the callers' listener.

    Attributes:
        is_stopping: Whether answers close their connections.
        ends: Monotonic second at which each connection has had its time.
    """

    runner: web.ServerRunner | None = None
    is_stopping: bool = False
    ends: weakref.WeakKeyDictionary[asyncio.Transport, float] = (
        dataclasses.field(default_factory=weakref.WeakKeyDictionary)
    )


async def start_ingress(
    address: core.Address,
    handle: Handle,
    limits: abc.Callable[[], core.CallerLimits],
    rng: random.Random,
) -> Ingress:
    """Starts to accept callers.

    Args:
        address: Where to listen.
        handle: Answers a request; cancelled when its caller leaves.
        limits: Bounds of the configuration in force.
        rng: Source of the jitter.

    Returns:
        State of the listener.

    Raises:
        OSError: The address cannot be listened on.
    """
    ingress = Ingress()

    async def answer(request):
        response = await _answer(request, handle, limits())
        if ingress.is_stopping or _is_aged(ingress, request, rng):
            response.force_close()
        return response

    server = web.Server(
        answer,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEP_ALIVE,
        auto_decompress=False,
        max_field_size=MAX_FIELD_BYTES,
    )
    ingress.runner = web.ServerRunner(server, shutdown_timeout=0.5)
    await ingress.runner.setup()
    site = web.TCPSite(
        ingress.runner, address.host, address.port, backlog=BACKLOG
    )
    await site.start()
    return ingress


async def close_ingress(ingress: Ingress, limit: float) -> None:
    """Closes the listener and idle connections, and waits for answers.

    A request that was read in the same moment has the whole limit as well.

    Args:
        ingress: State of the listener.
        limit: Seconds to wait for answers.
    """
    server = ingress.runner.server
    if server is None:
        return  # it is closed already
    for site in list(ingress.runner.sites):
        await site.stop()
    await asyncio.sleep(0)  # starts what has been read
    server.pre_shutdown()
    await server.shutdown(limit)
    await ingress.runner.cleanup()


def _is_aged(ingress, request, rng):
    """Returns whether the connection of a request has had its time."""
    now, conn = time.monotonic(), request.transport
    if conn is None:
        return True
    end = ingress.ends.get(conn)
    if end is None:
        end = now + rng.uniform(MIN_CONN_AGE, MAX_CONN_AGE)
        ingress.ends[conn] = end
    return now >= end


async def _answer(request, handle, limits):
    request_id = request.headers.get(names.REQUEST_ID)
    if not request_id:
        return web.Response(status=400)
    length = request.content_length
    if length is not None and length > limits.body_bytes:
        return _too_large()
    body = b''
    if request.body_exists:
        body = await _read_body(request, limits.body_bytes)
        if body is None:
            return _too_large()
    return _render(await handle(_decode(request, request_id, body)))


async def _read_body(request, limit):
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def _too_large():
    response = web.Response(status=413)
    response.force_close()
    return response


def _decode(request, request_id, body):
    named = request.headers.get('Connection', '').lower()
    dropped = _DROPPED.union(
        part.strip() for part in named.split(',') if part.strip()
    )
    headers = tuple(
        (name, value)
        for name, value in (
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in request.raw_headers
        )
        if name.lower() not in dropped
    )
    return core.HttpRequest(
        core.RequestId(request_id),
        request.method,
        request.headers.get('Host', ''),
        _as_latin(request.raw_path),
        headers,
        body,
        _read_budget(request.headers.get(names.DEADLINE, '')),
        core.CallerId(request.remote or ''),
    )


def _as_latin(text):
    """Makes one character of each byte, as in the fields of the head."""
    return text.encode('utf-8', 'surrogateescape').decode('latin-1')


def _read_budget(text):
    try:
        millis = float(text)
    except ValueError:
        return DEFAULT_BUDGET
    if not math.isfinite(millis):
        return DEFAULT_BUDGET
    return max(0.0, millis / 1000.0)


def _render(outcome):
    match outcome:
        case core.Forwarded(reply):
            headers = dict(reply.headers)
            if reply.signature:
                headers[names.SIGNATURE] = reply.signature
            return web.Response(
                status=reply.status, body=reply.body, headers=headers
            )
        case core.Gathered(body, signatures, missing):
            headers = {
                names.SIGNATURES: ', '.join(signatures),
                names.MISSING_SHARDS: str(missing),
            }
            return web.Response(status=200, body=body, headers=headers)
        case core.Declined(_, retry_after):
            seconds = max(_MIN_RETRY_AFTER, retry_after)
            headers = {names.RETRY_AFTER: f'{seconds:.3f}'}
            return web.Response(status=503, headers=headers)
        case core.NoRoute():
            return web.Response(status=404)
        case core.Unanswered(core.FailureReason.DEADLINE_PASSED):
            return web.Response(status=504)
    return web.Response(status=502)
