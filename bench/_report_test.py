"""Tests of the summary of samples."""

import pytest

from bench import _load as load
from bench import _report as report
from citronweir import core

URGENT = core.Rank.URGENT


def _sample(latency, outcome='complete', coverage=1.0):
    return load.Sample(URGENT, 0.0, latency, outcome, coverage, 1)


def test_late_refused_and_lost_searches_count_as_offered():
    """Guards against a share on time that ignores unserved searches."""
    samples = [
        _sample(0.1),
        _sample(0.1, 'partial', 0.5),
        _sample(2.0),
        _sample(0.001, 'refused', 0.0),
        _sample(0.001, 'no_reply', 0.0),
    ]
    summary = report.summarise(samples, {URGENT: 1.0})[URGENT]
    assert summary.offered == 5
    assert summary.on_time == pytest.approx(0.4)
    assert summary.refused == pytest.approx(0.2)
    assert summary.other == pytest.approx(0.2)
    assert summary.coverage == pytest.approx(2.5 / 3)


def test_quantiles_are_of_answers_alone():
    """Guards against quantiles that fast refusals make look better."""
    samples = [_sample(number / 100) for number in range(1, 101)]
    samples += [_sample(0.0001, 'refused', 0.0)] * 900
    summary = report.summarise(samples, {URGENT: 1.0})[URGENT]
    assert summary.p50 == pytest.approx(500, rel=0.02)
    assert summary.p99 == pytest.approx(990, rel=0.02)
