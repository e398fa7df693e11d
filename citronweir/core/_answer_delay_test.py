"""Tests of the allowance for late answers."""

import random

import pytest

from citronweir import core
from citronweir.core import _answer_delay as answer_delay


def test_allowance_covers_most_delays():
    """Guards the latency target of answers on a busy node."""
    rng, delay = random.Random(1), core.AnswerDelay()
    late = 0
    for number in range(2000):
        sample = rng.uniform(0.001, 0.008)
        if number >= 100:
            late += sample > core.find_allowance(delay)
        core.record_answer_delay(delay, sample)
    assert late < 0.1 * 1900
    assert core.find_allowance(delay) < 0.012


def test_allowance_is_bounded_and_goes_back():
    """Guards answers against losing parts after a pause of the process."""
    delay = core.AnswerDelay()
    assert core.find_allowance(delay) == 0.0
    core.record_answer_delay(delay, 5.0)
    assert core.find_allowance(delay) <= answer_delay.MAX_ALLOWANCE
    for _ in range(100):
        core.record_answer_delay(delay, 0.0)
    assert core.find_allowance(delay) == pytest.approx(0.0, abs=1e-4)
