"""Records spans and exports them from the event loop.

The batch processor and the HTTP exporter of the OpenTelemetry SDK each
start a thread. To avoid that, finished spans are kept in a bounded buffer
and posted by a coroutine. The sampling decision is made once, at the root
of a trace; a hop of an unsampled trace costs one comparison.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import re

import aiohttp
from opentelemetry import context as otel_context
from opentelemetry import trace as otel
from opentelemetry.exporter.otlp.proto.common import trace_encoder
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import sampling

from citronweir import core
from citronweir.telemetry import _events as events

MAX_SPANS = 8192  # finished spans waiting for export
# Spans per request. Encoding blocks the event loop; a batch of this size
# takes a few milliseconds.
BATCH_SIZE = 128
MAX_BATCHES = 32  # requests per export
EXPORT_TIMEOUT = 5.0  # seconds
_TRACEPARENT = re.compile(r'00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})')
# Last digit of a traceparent whose trace is not sampled.
_UNSAMPLED_DIGITS = ('0', '2')

Attributes = abc.Mapping[str, str | float]


@dataclasses.dataclass(slots=True)
class Tracing:
    """Tracer of the process with its open and finished spans.

    Attributes:
        finished: Finished spans waiting for export.
        open_spans: Sampled spans that have not ended, by ``traceparent``.
        dropped: Spans dropped since the last log event about them.
        dropped_total: Spans dropped since the start.
    """

    tracer: otel.Tracer
    finished: collections.deque[sdk.ReadableSpan]
    open_spans: dict[str, otel.Span] = dataclasses.field(default_factory=dict)
    dropped: int = 0
    dropped_total: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Span of a hop.

    Attributes:
        trace: W3C ``traceparent`` for the next hop.
    """

    trace: str
    otel_span: otel.Span


@dataclasses.dataclass(slots=True)
class _SpanBuffer(sdk.SpanProcessor):
    """Span processor that keeps finished spans; the SDK requires a class."""

    tracing: Tracing | None = None

    def on_end(self, span: sdk.ReadableSpan) -> None:
        """Keeps a sampled span, or drops and counts it if there is no room."""
        tracing = self.tracing
        if not span.context.trace_flags.sampled:
            return
        if len(tracing.finished) >= MAX_SPANS:
            _count_dropped(tracing, 1)
        else:
            tracing.finished.append(span)


# Global to the process, like the log handler. None disables recording, as
# in tests and command-line programs.
_tracing: Tracing | None = None


def start_tracing(
    ratio: float, attributes: abc.Mapping[str, str]
) -> Tracing | None:
    """Starts to record spans.

    Args:
        ratio: Fraction of the traces that start here to sample. The
            sampling decision in a caller's ``traceparent`` is kept.
        attributes: Attributes of the process, such as its node id.

    Returns:
        The tracing state, to be passed to ``export_spans``.
    """
    global _tracing
    buffer = _SpanBuffer()
    provider = sdk.TracerProvider(
        sampler=sampling.ParentBased(sampling.TraceIdRatioBased(ratio)),
        resource=resources.Resource(
            {'service.name': 'citronweir', **attributes}
        ),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(buffer)
    _tracing = Tracing(provider.get_tracer('citronweir'), collections.deque())
    buffer.tracing = _tracing
    return _tracing


def stop_tracing() -> None:
    """Stops recording spans."""
    global _tracing
    _tracing = None


def is_recorded(trace: str) -> bool:
    """Returns whether the hops of a trace are recorded."""
    return (
        _tracing is not None
        and trace != ''
        and trace[-1] not in _UNSAMPLED_DIGITS
    )


def start_span(
    name: str, trace: str, attributes: Attributes | None = None
) -> Span | None:
    """Starts the span of a hop.

    Args:
        name: Name of the hop.
        trace: W3C ``traceparent`` of the previous hop, or empty to start
            a trace.
        attributes: Attributes known at the start.

    Returns:
        The span, or None if the trace is not recorded. In that case
        ``trace`` is passed on unchanged to the next hop.
    """
    if _tracing is None or (trace and trace[-1] in _UNSAMPLED_DIGITS):
        return None
    otel_span = _tracing.tracer.start_span(
        name,
        context=_parent_context(trace),
        attributes=attributes,
        record_exception=False,
    )
    span_context = otel_span.get_span_context()
    flags = '01' if span_context.trace_flags.sampled else '00'
    traceparent = (
        f'00-{span_context.trace_id:032x}-{span_context.span_id:016x}-{flags}'
    )
    if span_context.trace_flags.sampled:
        _tracing.open_spans[traceparent] = otel_span
    return Span(traceparent, otel_span)


def annotate_span(trace: str, name: str, value: str | float) -> None:
    """Sets an attribute of an open span of this process.

    Args:
        trace: ``traceparent`` of the span. Ignored if this process has no
            such open span.
        name: Name of the attribute.
        value: Value of the attribute.
    """
    if is_recorded(trace) and (otel_span := _tracing.open_spans.get(trace)):
        otel_span.set_attribute(name, value)


def end_span(
    span: Span | None,
    outcome: str = '',
    attributes: Attributes | None = None,
) -> None:
    """Ends a span.

    Args:
        span: Span to end, or None for a hop that is not recorded.
        outcome: Outcome of the hop, or empty.
        attributes: Attributes known only at the end.
    """
    if span is None:
        return
    if outcome:
        span.otel_span.set_attribute('outcome', outcome)
    if attributes:
        span.otel_span.set_attributes(attributes)
    span.otel_span.end()
    if _tracing is not None:
        _tracing.open_spans.pop(span.trace, None)


def name_outcome(outcome: core.SubOutcome | core.Outcome | None) -> str:
    """Returns the name and reason of an outcome; None means cancelled."""
    if outcome is None:
        return 'cancelled'
    name = type(outcome).__name__
    reason = getattr(outcome, 'reason', None)
    return name if reason is None else f'{name}: {reason.value}'


@contextlib.contextmanager
def span(name: str, trace: str) -> abc.Iterator[str]:
    """Records a span around a block.

    Args:
        name: Name of the hop.
        trace: W3C ``traceparent`` of the previous hop, or empty to start
            a trace.

    Yields:
        The ``traceparent`` for the next hop.
    """
    opened = start_span(name, trace)
    try:
        yield trace if opened is None else opened.trace
    finally:
        end_span(opened)


async def export_spans(
    tracing: Tracing, session: aiohttp.ClientSession, url: str
) -> None:
    """Exports the finished spans once, as OTLP over HTTP.

    If the collector does not accept a batch, its spans are dropped and
    counted. Keeping them would use more and more memory during an outage
    of the collector.

    Args:
        tracing: Tracing state that holds the spans.
        session: Client session.
        url: Base URL of the collector, or empty to discard the spans.
    """
    if not url:
        tracing.finished.clear()
        return
    error = 'span buffer full'
    for _ in range(MAX_BATCHES):
        count = min(BATCH_SIZE, len(tracing.finished))
        if not count:
            break
        batch = [tracing.finished.popleft() for _ in range(count)]
        failure = await _post(session, url, batch)
        if failure:
            error = failure
            _count_dropped(tracing, count)
            break
    if tracing.dropped:
        events.log(
            events.Event.SPANS_DROPPED, count=tracing.dropped, reason=error
        )
        tracing.dropped = 0


async def _post(session, url, batch):
    """Posts a batch; returns the error, or an empty string."""
    body = trace_encoder.encode_spans(batch).SerializeToString()
    try:
        async with session.post(
            f'{url}/v1/traces',
            data=body,
            headers={'content-type': 'application/x-protobuf'},
            timeout=aiohttp.ClientTimeout(total=EXPORT_TIMEOUT),
        ) as resp:
            return '' if resp.ok else f'collector returned {resp.status}'
    except (aiohttp.ClientError, TimeoutError) as exc:
        return f'{type(exc).__name__}: {exc}'


def _parent_context(trace):
    match = _TRACEPARENT.fullmatch(trace)
    context = otel_context.Context()
    if match is None:
        return context
    trace_id, span_id, flags = (int(part, 16) for part in match.groups())
    parent = otel.SpanContext(
        trace_id, span_id, is_remote=True, trace_flags=otel.TraceFlags(flags)
    )
    return otel.set_span_in_context(otel.NonRecordingSpan(parent), context)


def _count_dropped(tracing, count):
    tracing.dropped += count
    tracing.dropped_total += count
