"""Serves callers over HTTP.

The handlers are closures over the flows, so that this front end holds
no decision and another one can stand beside it.
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

KEEPALIVE = 75.0  # seconds that an idle connection is kept


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What the front end calls.

    Attributes:
        search: Runs a search; the string is the ``traceparent``. It is
            cancelled when the caller disconnects.
        order: Runs a work order; the string is the ``traceparent``. A
            caller's disconnection does not cancel it.
        is_ready: Whether the node takes new requests from the balancer.
        is_stopping: Whether replies ask callers to disconnect.
        config_age: Seconds since the configuration was last confirmed.
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
    """Listening front end."""

    runner: web.AppRunner
    listener: asyncio.Server
    guards: listeners.Guards
    orders: set[asyncio.Task]


async def start_server(
    handlers: Handlers, limits: listeners.Limits, host: str, port: int
) -> Server:
    """Listens for callers.

    Args:
        handlers: The flows behind the routes.
        limits: Limits of the port.
        host: IP number.
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
        keepalive_timeout=KEEPALIVE,
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
    """Closes the port and waits for the requests that are running.

    Args:
        server: Server to stop.
        timeout: Seconds, above 0, after which running requests are
            cancelled.
    """
    if server.runner.server is None:
        return  # stopped before
    server.listener.close()
    if server.orders:
        await asyncio.wait(server.orders, timeout=timeout)
    # Idle connections close here; shutdown would wait for them as well.
    server.runner.server.pre_shutdown()
    await server.runner.server.shutdown(timeout)
    await server.runner.cleanup()


def _make_logger():
    """Turns aiohttp's log records into events.

    aiohttp writes a traceback for each malformed head, so that any
    caller could fill the log.
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
    shielded = functools.partial(_run_shielded, orders, handlers.order)
    routes = (
        ('/v1/search', codec.decode_search, handlers.search, _FAILED),
        ('/v1/orders', codec.decode_order, shielded, _UNKNOWN),
    )
    for path, decode, run, error in routes:
        app.router.add_post(path, _make_route(guards, decode, run, error))
    app.router.add_get('/healthz', _make_health(handlers))
    return app


_FAILED = core.Failed(core.FailureReason.INTERNAL_ERROR)
_UNKNOWN = core.Unknown(core.UnknownReason.INTERNAL_ERROR)


async def _run_shielded(orders, run, req, trace):
    """Runs an order to its end even if its caller disconnects.

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


def _make_route(guards, decode, run, error):
    async def handle(http_req):
        raw = await _read_body(guards, http_req)
        if isinstance(raw, web.Response):
            return raw
        req, errors = decode(raw)
        if req is None:
            return _reject(400, errors[0].field, errors[0].message, errors)
        trace = codec.decode_trace(http_req.headers.get('traceparent', ''))
        try:
            with telemetry.span('entry', trace) as here:
                outcome = await run(req, here)
                telemetry.annotate_span(
                    here, 'outcome', telemetry.name_outcome(outcome)
                )
        except Exception as exc:  # a fault of ours must not look like a run
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
    """Returns the body, or the reply to a request without a usable one."""
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


def _make_health(handlers):
    async def handle(http_req):
        ready, age = handlers.is_ready(), handlers.config_age()
        # JSON has no word for the infinite age before the first one.
        shown = round(age, 3) if math.isfinite(age) else None
        return web.json_response(
            {'ready': ready, 'config_age_s': shown},
            status=200 if ready else 503,
        )

    return handle
