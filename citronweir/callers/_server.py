"""HTTP server for callers.

It only converts between HTTP and the handlers that it is given, so a server
for another protocol can use the same handlers.
"""

import asyncio
from collections import abc
import dataclasses
import functools
import logging
import math

from aiohttp import http_exceptions
from aiohttp import web

from citronweir import core
from citronweir import listeners
from citronweir import telemetry
from citronweir.callers import _codec as codec

KEEPALIVE_TIMEOUT = 75.0  # seconds until an idle connection is closed


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """Functions that the server calls.

    Attributes:
        search: Runs a search; the string is the ``traceparent``. It is
            cancelled when the caller disconnects.
        order: Runs a work order; the string is the ``traceparent``. It is
            not cancelled when the caller disconnects.
        is_ready: Returns whether the balancer may send new requests.
        is_stopping: Returns whether replies ask callers to disconnect.
        config_age: Returns the seconds since the configuration was last
            confirmed.
    """

    search: abc.Callable[
        [core.SearchRequest, str], abc.Awaitable[core.Outcome]
    ]
    order: abc.Callable[[core.OrderRequest, str], abc.Awaitable[core.Outcome]]
    is_ready: abc.Callable[[], bool]
    is_stopping: abc.Callable[[], bool]
    config_age: abc.Callable[[], float]


@dataclasses.dataclass(slots=True)
class Server:
    """Server that listens for callers.

    Attributes:
        orders: Tasks of the running orders.
    """

    runner: web.AppRunner
    listener: asyncio.Server
    guards: listeners.Guards
    orders: set[asyncio.Task]


async def start_server(
    handlers: Handlers, limits: listeners.Limits, host: str, port: int
) -> Server:
    """Starts to listen for callers.

    Args:
        handlers: Functions that run the requests.
        limits: Limits of the port.
        host: IP address.
        port: TCP port, or 0 for any free one.

    Returns:
        The server, to be stopped with ``stop_server``.

    Raises:
        OSError: The port cannot be opened.
    """
    guards = listeners.Guards(limits)
    orders = set()
    app = _make_app(handlers, guards, orders)
    runner = web.AppRunner(
        app,
        access_log=None,
        auto_decompress=False,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_TIMEOUT,
        lingering_time=listeners.LINGER_TIME,
        logger=_make_logger(),
        max_field_size=listeners.MAX_HEAD_BYTES,
        max_line_size=listeners.MAX_HEAD_BYTES,
    )
    await runner.setup()

    def make_protocol():
        return listeners.Guard(guards, runner.server())

    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        make_protocol, host, port, backlog=listeners.BACKLOG
    )
    return Server(runner, listener, guards, orders)


async def stop_server(server: Server, timeout: float) -> None:
    """Closes the port and waits for running requests.

    Args:
        server: Server to stop.
        timeout: Seconds, above 0, after which running requests are
            cancelled.
    """
    if server.runner.server is None:
        return  # already stopped
    server.listener.close()
    if server.orders:
        await asyncio.wait(server.orders, timeout=timeout)
    # This closes idle connections, for which shutdown would also wait.
    server.runner.server.pre_shutdown()
    await server.runner.server.shutdown(timeout)
    await server.runner.cleanup()


def _make_logger():
    """Returns a logger that converts aiohttp's log records to events.

    aiohttp logs a traceback for each malformed head, which would let any
    caller fill the log.
    """

    def log_event(record):
        exc = record.exc_info[1] if record.exc_info else None
        if isinstance(exc, http_exceptions.HttpProcessingError):
            telemetry.log(
                telemetry.Event.CALLER_REJECTED,
                field='head',
                message=type(exc).__name__,
            )
        else:
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR,
                task="callers' port",
                error=repr(exc or record.getMessage()),
            )
        return False

    logger = logging.Logger('citronweir.callers', logging.WARNING)
    logger.addFilter(log_event)
    return logger


def _make_app(handlers, guards, orders):
    app = web.Application(
        client_max_size=guards.limits.max_body_bytes,
        middlewares=[_make_middleware(handlers, guards)],
    )
    run_order = functools.partial(_run_order, orders, handlers.order)
    routes = (
        ('/v1/search', codec.decode_search, handlers.search, _SEARCH_ERROR),
        ('/v1/orders', codec.decode_order, run_order, _ORDER_ERROR),
    )
    for path, decode, run, error in routes:
        app.router.add_post(path, _make_handler(guards, decode, run, error))
    app.router.add_get('/healthz', _make_health_handler(handlers))
    return app


_SEARCH_ERROR = core.Failed(core.FailureReason.INTERNAL_ERROR)
_ORDER_ERROR = core.Unknown(core.UnknownReason.INTERNAL_ERROR)


async def _run_order(orders, run, req, trace):
    """Runs an order to completion even if its caller disconnects.

    A cancelled order would leave its claim without a result, and every
    repeat would be answered Unknown.
    """
    task = asyncio.ensure_future(run(req, trace))
    orders.add(task)
    task.add_done_callback(orders.discard)
    return await asyncio.shield(task)


def _make_middleware(handlers, guards):
    @web.middleware
    async def guard(http_req, handler):
        listeners.begin_request(guards, http_req.protocol)
        try:
            resp = await handler(http_req)
        except web.HTTPException as exc:
            message = f'{http_req.method} {exc.reason.lower()}'
            resp = _reject(exc.status, 'path', message)
            if 'Allow' in exc.headers:
                resp.headers['Allow'] = exc.headers['Allow']
        finally:
            listeners.end_request(guards, http_req.protocol)
        if handlers.is_stopping():
            resp.force_close()
        return resp

    return guard


def _make_handler(guards, decode, run, error):
    async def handle(http_req):
        raw = await _read_body(guards, http_req)
        if isinstance(raw, web.Response):
            return raw
        req, errors = decode(raw)
        if req is None:
            return _reject(400, errors[0].field, errors[0].message, errors)
        trace = codec.decode_trace(http_req.headers.get('traceparent', ''))
        try:
            with telemetry.span('entry', trace) as span_context:
                outcome = await run(req, span_context)
                telemetry.annotate_span(
                    span_context, 'outcome', telemetry.name_outcome(outcome)
                )
        except Exception as exc:
            # The request may have run, so it must not be reported as not run.
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR,
                task=http_req.path,
                error=repr(exc),
            )
            outcome = error
        status, body = codec.encode_outcome(req.request_id, outcome)
        return _reply(status, body)

    return handle


async def _read_body(guards, http_req):
    """Returns the body, or the error response if there is no valid body."""
    limits = guards.limits
    too_large = f'must be at most {limits.max_body_bytes} bytes'
    if http_req.content_type != 'application/json':
        return _refuse_body(415, 'content-type', 'must be application/json')
    if http_req.headers.get('content-encoding', 'identity') != 'identity':
        return _refuse_body(415, 'content-encoding', 'must be identity')
    if (http_req.content_length or 0) > limits.max_body_bytes:
        return _refuse_body(413, 'body', too_large)
    try:
        async with asyncio.timeout(limits.read_timeout):
            raw = await http_req.read()
    except web.HTTPRequestEntityTooLarge:
        return _refuse_body(413, 'body', too_large)
    except TimeoutError:
        return _refuse_body(408, 'body', 'was not received in time')
    except web.RequestPayloadError:
        return _refuse_body(400, 'body', 'is not complete')
    listeners.mark_body_read(guards, http_req.protocol)
    return raw


def _refuse_body(status, field, message):
    resp = _reject(status, field, message)
    resp.force_close()
    return resp


def _reject(status, field, message, errors=()):
    telemetry.log(
        telemetry.Event.CALLER_REJECTED, field=field, message=message
    )
    errors = errors or [core.FieldError(field, message)]
    return _reply(status, codec.encode_errors(errors))


def _reply(status, body):
    return web.Response(
        status=status, text=body, content_type='application/json'
    )


def _make_health_handler(handlers):
    async def handle(http_req):
        ready, age = handlers.is_ready(), handlers.config_age()
        # The age is infinite before the first configuration, which JSON
        # cannot represent.
        rounded_age = round(age, 3) if math.isfinite(age) else None
        return web.json_response(
            {'ready': ready, 'config_age_s': rounded_age},
            status=200 if ready else 503,
        )

    return handle
