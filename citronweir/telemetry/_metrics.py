"""OpenTelemetry metrics of searches and orders, exposed to Prometheus.

Sub-requests are counted once per search, since a search has up to 490 of
them. The metrics are rendered on the event loop when they are scraped; no
periodic reader runs.
"""

import collections
from collections import abc
import dataclasses

from aiohttp import web
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
import prometheus_client

from citronweir import core

# Bucket bounds in seconds. Latency targets range from tens of milliseconds
# to seconds; 0.34 is the design target of a whole search.
LATENCY_BOUNDS = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.075,
    0.1,
    0.15,
    0.2,
    0.25,
    0.34,
    0.5,
    0.75,
    1.0,
    2.0,
    5.0,
    10.0,
)
COVERAGE_BOUNDS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 0.9999)
# Number of sub-requests per recorded queue delay. Recording takes
# microseconds, and a node relays up to 84,000 sub-requests per second.
QUEUE_SAMPLE_INTERVAL = 64


@dataclasses.dataclass(slots=True)
class Metrics:
    """Metric instruments of the process.

    Attributes:
        registry: Registry that is rendered for a scrape.
        unsampled: Queue delays since the last recorded one, by rank.
        routes: Number of sub-requests by route. A node sends up to 84,000
            per second, too many to count with an instrument.
    """

    registry: prometheus_client.CollectorRegistry
    searches: sdk.Counter
    refusals: sdk.Counter
    latency: sdk.Histogram
    coverage: sdk.Histogram
    sub_requests: sdk.Counter
    hedges: sdk.Counter
    retries: sdk.Counter
    replans: sdk.Counter
    orders: sdk.Counter
    claims: sdk.Counter
    platform_calls: sdk.Counter
    queue_delay: sdk.Histogram
    unsampled: collections.Counter[core.Rank] = dataclasses.field(
        default_factory=collections.Counter
    )
    routes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """Current value of a gauge.

    Attributes:
        labels: Label values by label name. All gauges with the same name
            must have the same label names.
    """

    name: str
    value: float
    labels: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)


def make_metrics() -> Metrics:
    """Builds the instruments without starting a thread."""
    registry = prometheus_client.CollectorRegistry()
    reader = prometheus.PrometheusMetricReader(
        disable_target_info=True,
        scope_info_enabled=False,
        registry=registry,
    )
    provider = sdk.MeterProvider(
        [reader],
        exemplar_filter=sdk.AlwaysOffExemplarFilter(),
        shutdown_on_exit=False,
    )
    meter = provider.get_meter('citronweir')

    def histogram(name, unit, bounds):
        return meter.create_histogram(
            f'citronweir_{name}',
            unit=unit,
            explicit_bucket_boundaries_advisory=bounds,
        )

    def counter(name):
        return meter.create_counter(f'citronweir_{name}')

    metrics = Metrics(
        registry,
        searches=counter('searches'),
        refusals=counter('refusals'),
        latency=histogram('search_latency', 's', LATENCY_BOUNDS),
        coverage=histogram('search_coverage', '', COVERAGE_BOUNDS),
        sub_requests=counter('sub_requests'),
        hedges=counter('hedges'),
        retries=counter('retries'),
        replans=counter('replans'),
        orders=counter('orders'),
        claims=counter('claims'),
        platform_calls=counter('platform_calls'),
        queue_delay=histogram('queue_delay', 's', LATENCY_BOUNDS),
    )
    registry.register(_Collector(lambda: _collect_routes(metrics)))
    return metrics


def record_search(metrics: Metrics, report: core.SearchReport) -> None:
    """Records a finished search.

    Args:
        metrics: Instruments of the process.
        report: Outcome, duration and sub-requests of the search.
    """
    rank = {'rank': report.rank.value if report.rank else 'none'}
    outcome = report.outcome
    kind = type(outcome).__name__.lower()
    metrics.searches.add(1, rank | {'outcome': kind})
    if isinstance(outcome, core.Refused):
        metrics.refusals.add(1, rank | {'reason': outcome.reason.value})
        return
    metrics.latency.record(report.seconds, rank)
    if isinstance(outcome, core.Complete | core.Partial):
        total = outcome.total_docs
        coverage = outcome.docs_searched / total if total else 1.0
        metrics.coverage.record(coverage, rank)
    metrics.sub_requests.add(report.sent, rank)
    for instrument, count in (
        (metrics.hedges, report.hedges),
        (metrics.retries, report.retries),
        (metrics.replans, report.replans),
    ):
        if count:
            instrument.add(count, rank)


def record_order(metrics: Metrics, outcome: core.Outcome) -> None:
    """Counts a finished order."""
    kind = type(outcome).__name__.lower()
    metrics.orders.add(1, {'outcome': kind})


def record_claim(
    metrics: Metrics, state: core.ClaimState, reply: core.ClaimWriteReply
) -> None:
    """Counts an attempt to write the claim of an order.

    Args:
        metrics: Instruments of the process.
        state: State to be written.
        reply: Result of the write.
    """
    result = type(reply).__name__.removeprefix('Claim').lower()
    metrics.claims.add(1, {'state': state.value, 'result': result})


def record_platform_call(metrics: Metrics, kind: str, result: str) -> None:
    """Counts a call to the platform.

    Args:
        metrics: Instruments of the process.
        kind: Kind of the call.
        result: ``ok``, ``conflict`` or the fault.
    """
    metrics.platform_calls.add(1, {'kind': kind, 'result': result})


def record_route(metrics: Metrics, route: str) -> None:
    """Counts the route of a sub-request."""
    metrics.routes[route] += 1


def record_queue_delay(
    metrics: Metrics, rank: core.Rank, seconds: float
) -> None:
    """Records every ``QUEUE_SAMPLE_INTERVAL``-th delay in an owner's queue.

    Args:
        metrics: Instruments of the process.
        rank: Rank of the sub-request.
        seconds: Time from its arrival at the owner until it was sent.
    """
    metrics.unsampled[rank] += 1
    if metrics.unsampled[rank] >= QUEUE_SAMPLE_INTERVAL:
        metrics.unsampled[rank] = 0
        metrics.queue_delay.record(seconds, {'rank': rank.value})


def watch_values(
    metrics: Metrics,
    read: abc.Callable[[], abc.Iterable[Gauge]],
) -> None:
    """Registers gauges that are read at each scrape.

    Args:
        metrics: Instruments of the process.
        read: Returns the current values, such as ages and sizes of state.
    """

    def collect():
        families = {}
        for gauge in read():
            family = families.get(gauge.name)
            if family is None:
                family = prometheus_client.core.GaugeMetricFamily(
                    f'citronweir_{gauge.name}',
                    gauge.name.replace('_', ' '),
                    labels=tuple(gauge.labels),
                )
                families[gauge.name] = family
            family.add_metric(tuple(gauge.labels.values()), gauge.value)
        return iter(families.values())

    metrics.registry.register(_Collector(collect))


def _collect_routes(metrics):
    family = prometheus_client.core.CounterMetricFamily(
        'citronweir_routes', 'sub-requests by route', labels=('route',)
    )
    for route, count in metrics.routes.items():
        family.add_metric((route,), count)
    yield family


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Collector:
    """Collector object that the registry requires, around a function."""

    collect: abc.Callable[[], abc.Iterator[prometheus_client.core.Metric]]


def make_metrics_app(metrics: Metrics) -> web.Application:
    """Builds the HTTP application of the metrics port.

    Args:
        metrics: Instruments of the process.

    Returns:
        Application with ``GET /metrics``.
    """

    async def handle(http_req):
        return web.Response(
            body=prometheus_client.generate_latest(metrics.registry),
            headers={'content-type': prometheus_client.CONTENT_TYPE_LATEST},
        )

    app = web.Application(client_max_size=1)
    app.router.add_get('/metrics', handle)
    return app
