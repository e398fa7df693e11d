"""Counters and latency histograms of a front node.

The OpenTelemetry SDK takes 0.4 s of processor time at the start and 20 MB
of memory, too much for a node on half a core. A counter here costs one
dictionary entry. The Prometheus client, which renders the metrics, is
imported when they are first rendered.
"""

import bisect
from collections import abc
import dataclasses

# Upper bounds of the buckets in seconds; latency targets lie between 0.08
# and 1 s.
LATENCY_BOUNDS = (
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    6.0,
)

Labels = tuple[tuple[str, str], ...]
Gauges = abc.Mapping[str, float]


@dataclasses.dataclass(slots=True)
class Histogram:
    """Latency histogram; the last bucket has no upper bound.

    Attributes:
        buckets: Number of latencies in each bucket, not cumulative.
        total: Sum of the latencies, seconds.
    """

    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS) + 1)
    )
    total: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters and latency histograms by name and labels."""

    counts: dict[tuple[str, Labels], int] = dataclasses.field(
        default_factory=dict
    )
    latencies: dict[tuple[str, Labels], Histogram] = dataclasses.field(
        default_factory=dict
    )


def make_counters() -> Counters:
    """Builds empty counters."""
    return Counters()


def count(counters: Counters, name: str, by: int = 1, **labels: str) -> None:
    """Increments a counter."""
    key = name, tuple(labels.items())
    counters.counts[key] = counters.counts.get(key, 0) + by


def observe(
    counters: Counters, name: str, seconds: float, **labels: str
) -> None:
    """Records a latency."""
    key = name, tuple(labels.items())
    histogram = counters.latencies.get(key)
    if histogram is None:
        histogram = counters.latencies[key] = Histogram()
    histogram.buckets[bisect.bisect_left(LATENCY_BOUNDS, seconds)] += 1
    histogram.total += seconds


def render(counters: Counters, gauges: Gauges) -> bytes:
    """Renders all metrics in the Prometheus text format.

    Args:
        counters: Counters and latency histograms.
        gauges: Current values by name.
    """
    import prometheus_client
    from prometheus_client import core

    families = []
    for name in dict.fromkeys(name for name, _ in counters.counts):
        series = _list_series(counters.counts, name)
        family = core.CounterMetricFamily(
            f'citronweir_{name}', name, labels=_label_names(series)
        )
        for labels, value in series:
            family.add_metric([text for _, text in labels], value)
        families.append(family)
    for name in dict.fromkeys(name for name, _ in counters.latencies):
        series = _list_series(counters.latencies, name)
        family = core.HistogramMetricFamily(
            f'citronweir_{name}', name, labels=_label_names(series)
        )
        for labels, histogram in series:
            family.add_metric(
                [text for _, text in labels],
                _cumulative_buckets(histogram),
                histogram.total,
            )
        families.append(family)
    for name, value in gauges.items():
        family = core.GaugeMetricFamily(f'citronweir_{name}', name)
        family.add_metric([], value)
        families.append(family)

    class FamilyCollector:
        """Collector object that the Prometheus registry requires."""

        def collect(self):
            """Returns the metric families."""
            return families

    registry = prometheus_client.CollectorRegistry()
    registry.register(FamilyCollector())
    return prometheus_client.generate_latest(registry)


def _list_series(values, name):
    return [
        (labels, item) for (key, labels), item in values.items() if key == name
    ]


def _label_names(series):
    return [key for key, _ in series[0][0]]


def _cumulative_buckets(histogram):
    total, buckets = 0, []
    for bound, bucket_count in zip(
        (*map(str, LATENCY_BOUNDS), '+Inf'), histogram.buckets, strict=True
    ):
        total += bucket_count
        buckets.append((bound, total))
    return buckets
