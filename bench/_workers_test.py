"""Tests of dividing the load among processes."""

import random

from bench import _load as load
from bench import _workers as workers
from citronweir import core


def test_flood_shares_no_process_with_other_ranks():
    """Guards against a flood that delays the sending of urgent searches."""
    slow = load.Stream(core.Rank.URGENT, 20.0, 1.0, 'parts')
    flood = load.Stream(core.Rank.DEFERRABLE, 500.0, 1.0, 'parts')
    arrivals = load.draw_arrivals([slow, flood], 4.0, random.Random(1))
    parts = workers.split_arrivals(arrivals)
    assert {stream for _, stream in parts[0]} == {slow}
    assert all({stream for _, stream in part} == {flood} for part in parts[1:])
    assert sorted(map(str, sum(parts, []))) == sorted(map(str, arrivals))
    assert max(map(len, parts)) / 4.0 <= workers.MAX_RATE * 1.1
