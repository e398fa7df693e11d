"""HTTP server for callers: decodes requests and renders outcomes."""

import asyncio
from collections import abc
import dataclasses
import math
import random
import socket
import struct
import time
import weakref

from aiohttp import web

from citronweir import core
from citronweir import listeners
from citronweir.platform import _keys as keys
from citronweir.platform import _names as names

# Callers reuse connections that have been idle for most of the configured
# idle timeout. That timeout may change while a connection is open, so the
# server keeps idle connections for a fixed, longer time.
KEEP_ALIVE_TIMEOUT = 300.0  # seconds
# A connection is closed with the first response after an age drawn from this
# range, so that connections do not all close at once. Otherwise callers that
# failed over from another region would stay after their own nodes are back,
# at a cost of 16 ms or more per request.
MIN_CONN_AGE = 4.0  # seconds
MAX_CONN_AGE = 8.0  # seconds
# Longer round trips are cut to this time: the kernel's figure grows much after
# lost packets.
MAX_ROUND_TRIP = 0.1  # seconds
# Offset of the smoothed round trip, in microseconds, in the TCP state of Linux
# (struct tcp_info), and the size of its part that every kernel has.
_RTT_OFFSET = 68
_TCP_INFO_SIZE = 104
DEFAULT_MAX_CONNS = 2048
MAX_HEADER_FIELD_BYTES = 65536  # name or value of one header field
# Used when a request has no valid deadline header.
DEFAULT_TIMEOUT = 30.0  # seconds
# Hop-by-hop headers, and headers that this node sets itself.
_EXCLUDED_HEADERS = frozenset(
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
_AUTHORIZATION = names.AUTHORIZATION.lower()
_IDENTITY_HEADERS = frozenset({_AUTHORIZATION, names.TENANT.lower()})
_MIN_RETRY_AFTER = 0.05  # seconds
_ARRIVAL_BITS = 63
# Time after which a request may be sent again that found no memory.
RETRY_AFTER_NO_MEMORY = 0.5  # seconds
_OVER_QUOTA_STATUS = 429

RequestHandler = abc.Callable[
    [core.HttpRequest], abc.Awaitable[core.RequestOutcome]
]


@dataclasses.dataclass(slots=True)
class CallerConnection:
    """State of a connection of a caller.

    Attributes:
        round_trip: Seconds of a network round trip to the caller.
        close_at: Monotonic second from which a response closes it.
        requests: Requests that it has carried.
    """

    round_trip: float
    close_at: float
    requests: int = 0


@dataclasses.dataclass(slots=True)
class Ingress:
    """State of the HTTP server for callers.

    Attributes:
        is_stopping: Whether every response closes its connection.
        conns: State of each connection that has had a request.
        guards: Limits of the connections, and what they hold in memory.
        listener: Accepts connections.
    """

    guards: listeners.Guards
    runner: web.ServerRunner | None = None
    listener: asyncio.Server | None = None
    is_stopping: bool = False
    conns: weakref.WeakKeyDictionary[asyncio.Transport, CallerConnection] = (
        dataclasses.field(default_factory=weakref.WeakKeyDictionary)
    )


async def start_ingress(
    address: core.Address,
    handle: RequestHandler,
    limits: abc.Callable[[], core.CallerLimits],
    rng: random.Random,
    intake: core.Intake | None = None,
    max_conns: int = DEFAULT_MAX_CONNS,
) -> Ingress:
    """Starts the HTTP server for callers.

    Args:
        address: Address to listen on.
        handle: Handles one request; cancelled when the caller disconnects.
        limits: Returns the caller limits of the current configuration.
        rng: Random source for connection ages.
        intake: Memory and processor time for incomplete requests; unlimited
            if None.
        max_conns: Maximum number of open connections.

    Returns:
        State of the running server.

    Raises:
        OSError: Listening on the address failed.
    """
    guards = listeners.Guards(
        _make_limits(limits(), max_conns), intake=intake or core.Intake()
    )
    ingress = Ingress(guards)

    async def answer(request):
        protocol = request.protocol
        listeners.begin_request(guards, protocol)
        try:
            response = await answer_guarded(request)
        finally:
            listeners.end_request(guards, protocol)
        return response

    async def answer_guarded(request):
        conn = _find_connection(ingress, request.transport, rng)
        conn.requests += 1
        arrival = core.ArrivalId(rng.getrandbits(_ARRIVAL_BITS))
        response = await _handle_request(
            request, handle, limits(), conn, guards, arrival
        )
        if ingress.is_stopping or time.monotonic() >= conn.close_at:
            response.force_close()
        return response

    server = web.Server(
        answer,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEP_ALIVE_TIMEOUT,
        auto_decompress=False,
        max_field_size=MAX_HEADER_FIELD_BYTES,
        read_bufsize=listeners.READ_BYTES,
    )
    ingress.runner = web.ServerRunner(server, shutdown_timeout=0.5)
    await ingress.runner.setup()

    def make_protocol():
        guards.limits = _make_limits(limits(), max_conns)
        return listeners.Guard(guards, server())

    ingress.listener = await asyncio.get_running_loop().create_server(
        make_protocol, address.host, address.port, backlog=listeners.BACKLOG
    )
    return ingress


async def close_ingress(ingress: Ingress, limit: float) -> None:
    """Stops accepting, closes idle connections and drains requests.

    A request that was received just before the call also gets the whole
    limit to finish.

    Args:
        ingress: State of the server.
        limit: Seconds to wait for running requests.
    """
    server = ingress.runner.server
    if server is None:
        return  # already closed
    ingress.listener.close()
    await asyncio.sleep(0)  # lets requests already received start
    server.pre_shutdown()
    await server.shutdown(limit)
    await ingress.runner.cleanup()


def _find_connection(ingress, transport, rng):
    """Finds or adds the state of a connection."""
    if transport is None:  # closed meanwhile
        return CallerConnection(core.DEFAULT_ROUND_TRIP, 0.0)
    conn = ingress.conns.get(transport)
    if conn is None:
        age = rng.uniform(MIN_CONN_AGE, MAX_CONN_AGE)
        conn = CallerConnection(
            _read_round_trip(transport), time.monotonic() + age
        )
        ingress.conns[transport] = conn
    return conn


def _read_round_trip(transport):
    """Reads the round trip that the kernel has measured, in seconds."""
    sock = transport.get_extra_info('socket')
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE
        )
        (micros,) = struct.unpack_from('=I', info, _RTT_OFFSET)
    except (AttributeError, OSError, struct.error):
        return core.DEFAULT_ROUND_TRIP  # not known on this system
    return min(MAX_ROUND_TRIP, micros / 1e6)


def _make_limits(limits, max_conns):
    return listeners.Limits(
        limits.body_bytes,
        max_conns,
        limits.header_timeout,
        limits.header_bytes,
        reply_timeout=limits.idle_timeout,
        # Callers may leave a connection idle for the idle timeout, which may
        # change while it is open.
        first_byte_timeout=KEEP_ALIVE_TIMEOUT,
    )


async def _handle_request(request, handle, limits, conn, guards, arrival):
    request_id = request.headers.get(names.REQUEST_ID)
    if not request_id:
        return web.Response(status=400)
    length = request.content_length
    if length is not None and length > limits.body_bytes:
        return _reject_large_body()
    body = b''
    if request.body_exists:
        body = await _read_body(request, limits, guards)
        if isinstance(body, web.Response):
            return body
    listeners.mark_body_read(guards, request.protocol)
    return _render_outcome(
        await handle(_decode_request(request, request_id, body, conn, arrival))
    )


async def _read_body(request, limits, guards):
    """Returns the body, or the response that refuses it."""
    body, protocol = bytearray(), request.protocol
    try:
        while not request.content.at_eof():
            async with asyncio.timeout(limits.idle_timeout):
                chunk = await request.content.readany()
            body += chunk
            if len(body) > limits.body_bytes:
                return _reject_large_body()
            if not listeners.hold_body(guards, protocol, len(chunk)):
                return _refuse(503, RETRY_AFTER_NO_MEMORY)
    except TimeoutError:
        return _refuse(408)
    return bytes(body)


def _reject_large_body():
    return _refuse(413)


def _refuse(status, retry_after=None):
    """Builds the response to a request that was not read completely."""
    headers = {}
    if retry_after is not None:
        headers[names.RETRY_AFTER] = f'{retry_after:.3f}'
    response = web.Response(status=status, headers=headers)
    response.force_close()
    return response


def _decode_request(request, request_id, body, conn, arrival):
    connection_field = request.headers.get('Connection', '').lower()
    excluded = _EXCLUDED_HEADERS.union(
        part.strip() for part in connection_field.split(',') if part.strip()
    )
    headers = tuple(
        (name, value)
        for name, value in (
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in request.raw_headers
        )
        if name.lower() not in excluded
    )
    identity_headers = tuple(
        item for item in headers if item[0].lower() in _IDENTITY_HEADERS
    )
    if identity_headers:
        headers = tuple(
            item for item in headers if item not in identity_headers
        )
    return core.HttpRequest(
        core.RequestId(request_id),
        request.method,
        request.headers.get('Host', ''),
        _utf8_as_latin1(request.raw_path),
        headers,
        body,
        _parse_timeout(request.headers.get(names.DEADLINE, '')),
        core.CallerId(request.remote or ''),
        conn.round_trip,
        # The caller of the first request has also waited for the handshake.
        conn.round_trip if conn.requests == 1 else 0.0,
        identity_headers,
        keys.decode_credential(
            request.headers.getall(names.AUTHORIZATION, [])
        ),
        arrival=arrival,
    )


def _utf8_as_latin1(text):
    """Maps each byte of a path to one character, as for header values."""
    return text.encode('utf-8', 'surrogateescape').decode('latin-1')


def _parse_timeout(text):
    try:
        millis = float(text)
    except ValueError:
        return DEFAULT_TIMEOUT
    if not math.isfinite(millis):
        return DEFAULT_TIMEOUT
    return max(0.0, millis / 1000.0)


def _render_outcome(outcome):
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
        case core.Declined(reason, retry_after):
            seconds = max(_MIN_RETRY_AFTER, retry_after)
            headers = {names.RETRY_AFTER: f'{seconds:.3f}'}
            is_over_quota = reason is core.NotRunReason.OVER_QUOTA
            status = _OVER_QUOTA_STATUS if is_over_quota else 503
            return web.Response(status=status, headers=headers)
        case core.Unauthorised():
            headers = {'WWW-Authenticate': 'Bearer'}
            return web.Response(status=401, headers=headers)
        case core.NoRoute():
            return web.Response(status=404)
        case core.Unanswered(core.FailureReason.DEADLINE_PASSED):
            return web.Response(status=504)
    return web.Response(status=502)
