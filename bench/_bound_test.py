"""Tests of the lower bound of latency."""

import math
import random

import pytest

from bench import _bound as bounds


def test_bound_matches_the_maximum_of_exponentials():
    """Guards against a bound that a real policy could fall below."""
    drawn = bounds.sample_bound(20, 60.0, random.Random(1))
    for name, share in (('p50', 0.5), ('p99', 0.99)):
        exact = -60.0 * math.log(1 - share ** (1 / 20))
        assert drawn[name] == pytest.approx(exact, rel=0.05)
