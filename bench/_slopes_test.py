"""Tests for measuring slopes and fitting lines to them."""

import pytest

from bench import _slopes as slopes


def test_fit_finds_base_and_slope_of_exact_points():
    # Fails if the intercept and the slope are swapped.
    fit = slopes.fit_line([(1, 7.0), (2, 9.0), (4, 13.0), (8, 21.0)])
    assert fit.intercept == pytest.approx(5.0)
    assert fit.slope == pytest.approx(2.0)
    assert fit.error == pytest.approx(0.0, abs=1e-9)


def test_fit_error_is_the_largest_relative_distance():
    # Without relative errors, the large values would hide a deviation at
    # small sizes.
    fit = slopes.fit_line([(1, 20.0), (10, 10.0), (100, 100.0), (1000, 1000)])
    assert fit.error > 0.2


def test_predict_extends_the_line():
    # Fails if the prediction leaves out the intercept.
    slope = slopes.make_slope('a', 'b', 'n', 'us', [(1, 3), (2, 5), (3, 7)])
    assert slopes.predict(slope, 100) == pytest.approx(201)


def test_time_call_grows_with_the_work():
    # Fails if the time of a round is returned instead of that of a call.
    short_time = slopes.time_call(lambda: sum(range(100)))
    long_time = slopes.time_call(lambda: sum(range(10_000)))
    assert long_time > 10 * short_time
