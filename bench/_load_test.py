"""Tests of the open-loop load."""

import random

from bench import _load as load
from citronweir import core


def _stream(rate, start=0.0, end=float('inf')):
    return load.Stream(core.Rank.URGENT, rate, 1.0, 'parts', '', start, end)


def test_arrivals_keep_rate_order_and_bounds():
    """Guards against an offered load that differs from the specified one."""
    streams = [_stream(100.0), _stream(50.0, 5.0, 8.0), _stream(0.0)]
    arrivals = load.draw_arrivals(streams, 10.0, random.Random(1))
    dues = [due for due, _ in arrivals]
    assert dues == sorted(dues)
    assert dues[-1] < 10.0
    second_dues = [due for due, stream in arrivals if stream is streams[1]]
    assert 5.0 <= min(second_dues) and max(second_dues) < 8.0
    assert abs(len(second_dues) - 150) < 50
    assert abs(len(arrivals) - len(second_dues) - 1000) < 130


def test_arrivals_repeat_with_their_seed():
    """Guards against runs with the same seed that are not comparable."""
    one, two = (
        load.draw_arrivals([_stream(20.0)], 5.0, random.Random(7))
        for _ in 'ab'
    )
    assert one == two
