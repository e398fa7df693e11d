"""Counts what a front node does, for the metrics address.

The OpenTelemetry SDK takes 0.4 s of processor time at the start and
20 MB, which a node on half a core does not have to spare. These counts
cost a dictionary entry each; the Prometheus client renders them, and is
imported when they are first asked for.
"""

import bisect
from collections import abc
import dataclasses

# Upper ends in seconds; targets lie between 0.08 and 1 s.
BOUNDS = (0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 6.0)

Labels = tuple[tuple[str, str], ...]
Gauges = abc.Mapping[str, float]


@dataclasses.dataclass(slots=True)
class Histogram:
    """Latencies by size; the last bucket has no upper end."""

    buckets: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BOUNDS) + 1)
    )
    total: float = 0.0


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts and latencies by name and labels."""

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
    """Adds to a count."""
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
    histogram.buckets[bisect.bisect_left(BOUNDS, seconds)] += 1
    histogram.total += seconds


def render(counters: Counters, gauges: Gauges) -> bytes:
    """Renders everything in the text format of Prometheus.

    Args:
        counters: Counts and latencies.
        gauges: Present values by name.
    """
    import prometheus_client
    from prometheus_client import core

    families = []
    for name in dict.fromkeys(name for name, _ in counters.counts):
        rows = _rows(counters.counts, name)
        family = core.CounterMetricFamily(
            f'citronweir_{name}', name, labels=_names(rows)
        )
        for labels, value in rows:
            family.add_metric([text for _, text in labels], value)
        families.append(family)
    for name in dict.fromkeys(name for name, _ in counters.latencies):
        rows = _rows(counters.latencies, name)
        family = core.HistogramMetricFamily(
            f'citronweir_{name}', name, labels=_names(rows)
        )
        for labels, histogram in rows:
            family.add_metric(
                [text for _, text in labels],
                _accumulate(histogram),
                histogram.total,
            )
        families.append(family)
    for name, value in gauges.items():
        family = core.GaugeMetricFamily(f'citronweir_{name}', name)
        family.add_metric([], value)
        families.append(family)

    class Source:
        """Hands the families to the library, which asks for an object."""

        def collect(self):
            """Returns the families."""
            return families

    registry = prometheus_client.CollectorRegistry()
    registry.register(Source())
    return prometheus_client.generate_latest(registry)


def _rows(values, name):
    return [
        (labels, item) for (key, labels), item in values.items() if key == name
    ]


def _names(rows):
    return [key for key, _ in rows[0][0]]


def _accumulate(histogram):
    total, buckets = 0, []
    for bound, number in zip(
        (*map(str, BOUNDS), '+Inf'), histogram.buckets, strict=True
    ):
        total += number
        buckets.append((bound, total))
    return buckets
