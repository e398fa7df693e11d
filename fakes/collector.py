"""Stand-in of a trace collector: takes OTLP over HTTP and decodes it."""

from collections import abc
import contextlib
import dataclasses
import secrets

from aiohttp import web
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

HOST = '127.0.0.1'


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """One span as a node reported it.

    Attributes:
        parent: Id of the span before, empty at the start of a trace.
        node: Node that recorded it.
    """

    trace_id: str
    span_id: str
    parent: str
    name: str
    node: str
    attributes: abc.Mapping[str, object]


@dataclasses.dataclass(slots=True)
class Collector:
    """Spans that were received."""

    recorded_spans: list[Hop] = dataclasses.field(default_factory=list)
    url: str = ''


@contextlib.asynccontextmanager
async def run_collector() -> abc.AsyncIterator[Collector]:
    """Serves the stand-in in this process, on a free port.

    Yields:
        The spans received so far, and its base URL.
    """
    collector = Collector()

    async def take(http_req):
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(await http_req.read())
        for group in message.resource_spans:
            node = _read_attributes(group.resource)['node']
            for scope in group.scope_spans:
                collector.recorded_spans += [
                    _decode(node, item) for item in scope.spans
                ]
        return web.Response()

    app = web.Application(client_max_size=16 << 20)
    app.router.add_post('/v1/traces', take)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    collector.url = f'http://{HOST}:{runner.addresses[0][1]}'
    try:
        yield collector
    finally:
        await runner.cleanup()


def make_traceparent(flags: str = '01') -> str:
    """Returns the ``traceparent`` of a new trace."""
    return f'00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-{flags}'


def find_trace(collector: Collector, trace: str) -> list[Hop]:
    """Lists the spans of the trace that a ``traceparent`` names."""
    trace_id = trace.split('-')[1]
    return [
        hop for hop in collector.recorded_spans if hop.trace_id == trace_id
    ]


def _decode(node, span):
    return Hop(
        span.trace_id.hex(),
        span.span_id.hex(),
        span.parent_span_id.hex(),
        span.name,
        node,
        _read_attributes(span),
    )


def _read_attributes(owner):
    return {
        item.key: getattr(item.value, item.value.WhichOneof('value'))
        for item in owner.attributes
    }
