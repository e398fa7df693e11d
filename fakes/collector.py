"""Fake trace collector that receives and decodes OTLP over HTTP."""

from collections import abc
import contextlib
import dataclasses
import secrets

from aiohttp import web
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

HOST = '127.0.0.1'


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedSpan:
    """One span that a node exported.

    Attributes:
        parent: Id of the parent span, empty for a root span.
        node: Node that exported it.
    """

    trace_id: str
    span_id: str
    parent: str
    name: str
    node: str
    attributes: abc.Mapping[str, object]


@dataclasses.dataclass(slots=True)
class Collector:
    """Received spans and the base URL of the collector."""

    recorded_spans: list[RecordedSpan] = dataclasses.field(
        default_factory=list
    )
    url: str = ''


@contextlib.asynccontextmanager
async def run_collector() -> abc.AsyncIterator[Collector]:
    """Serves the collector in this process, on a free port.

    Yields:
        The collector.
    """
    collector = Collector()

    async def receive_spans(http_req):
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
    app.router.add_post('/v1/traces', receive_spans)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, 0).start()
    collector.url = f'http://{HOST}:{runner.addresses[0][1]}'
    try:
        yield collector
    finally:
        await runner.cleanup()


def make_traceparent(flags: str = '01') -> str:
    """Returns a ``traceparent`` header with new ids."""
    return f'00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-{flags}'


def find_trace(collector: Collector, traceparent: str) -> list[RecordedSpan]:
    """Lists the received spans of a ``traceparent``'s trace."""
    trace_id = traceparent.split('-')[1]
    return [
        span for span in collector.recorded_spans if span.trace_id == trace_id
    ]


def _decode(node, span):
    return RecordedSpan(
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
