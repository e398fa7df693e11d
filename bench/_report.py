"""Summarises samples as JSON records, Markdown tables and plots."""

from collections import abc
import dataclasses
import json
import pathlib

from hdrh import histogram
import matplotlib.figure

from bench import _load as load
from citronweir import core

MICROSECOND = 1e-6
MAX_LATENCY = 60_000_000  # microseconds
SIGNIFICANT_DIGITS = 3
ANSWERED = ('complete', 'partial')


@dataclasses.dataclass(frozen=True, slots=True)
class RankSummary:
    """Statistics of one rank in a run.

    Attributes:
        offered: Number of searches that were scheduled.
        on_time: Share of the offered searches answered within the target.
        p50: Median latency of the answered searches in milliseconds;
            likewise the other quantiles.
        coverage: Mean coverage of the answered searches.
        refused: Share of the offered searches that were refused and not
            run.
        other: Share of the offered searches with any other outcome.
    """

    offered: int
    on_time: float
    p50: float
    p99: float
    p999: float
    coverage: float
    refused: float
    other: float


def summarise(
    samples: abc.Iterable[load.Sample], targets: dict[core.Rank, float]
) -> dict[core.Rank, RankSummary]:
    """Summarises samples by rank.

    Args:
        samples: Samples of one run.
        targets: Latency target of each rank, seconds.

    Returns:
        Summary of each rank that has samples.
    """
    by_rank = {rank: [] for rank in targets}
    for sample in samples:
        by_rank[sample.rank].append(sample)
    return {
        rank: _summarise_rank(found, targets[rank])
        for rank, found in by_rank.items()
        if found
    }


def _summarise_rank(samples, target):
    answered = [item for item in samples if item.outcome in ANSWERED]
    refused = sum(item.outcome == 'refused' for item in samples)
    on_time = sum(item.latency <= target for item in answered)
    latencies = histogram.HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
    for item in answered:
        latencies.record_value(max(1, int(item.latency / MICROSECOND)))
    p50, p99, p999 = (
        latencies.get_value_at_percentile(quantile) / 1000
        for quantile in (50, 99, 99.9)
    )
    offered = len(samples)
    coverage = sum(item.coverage for item in answered)
    return RankSummary(
        offered,
        on_time / offered,
        p50,
        p99,
        p999,
        coverage / len(answered) if answered else 0.0,
        refused / offered,
        (offered - refused - len(answered)) / offered,
    )


def render_table(title: str, summaries: dict[core.Rank, RankSummary]) -> str:
    """Renders summaries as a Markdown table."""
    lines = [
        f'**{title}**',
        '',
        '| rank | offered | on time | p50 ms | p99 ms | p99.9 ms '
        '| coverage | refused | other |',
        '| --- ' * 9 + '|',
    ]
    for rank, item in summaries.items():
        lines.append(
            f'| {rank.value} | {item.offered} | {item.on_time:.3f} '
            f'| {item.p50:.0f} | {item.p99:.0f} | {item.p999:.0f} '
            f'| {item.coverage:.4f} | {item.refused:.3f} '
            f'| {item.other:.3f} |'
        )
    return '\n'.join(lines) + '\n'


def write_json(path: pathlib.Path, record: object) -> None:
    """Writes a result as JSON with sorted keys."""
    text = json.dumps(record, indent=2, sort_keys=True)
    path.write_text(text + '\n', encoding='utf-8')


def plot_latency(
    path: pathlib.Path,
    runs: dict[str, abc.Sequence[load.Sample]],
    rank: core.Rank,
) -> None:
    """Plots the cumulative latency distribution of a rank for several runs.

    Args:
        path: PNG file to write.
        runs: Samples by name of the run.
        rank: Rank to plot.
    """
    figure = matplotlib.figure.Figure(figsize=(6, 4))
    axes = figure.subplots()
    for name, samples in runs.items():
        latencies = sorted(
            item.latency * 1000
            for item in samples
            if item.rank is rank and item.outcome in ANSWERED
        )
        if latencies:
            shares = [
                (number + 1) / len(latencies)
                for number in range(len(latencies))
            ]
            axes.plot(latencies, shares, label=name)
    axes.set_xscale('log')
    axes.set_xlabel('latency, ms')
    axes.set_ylabel('share of answers')
    axes.set_title(rank.value)
    axes.legend()
    figure.savefig(path, dpi=100)
