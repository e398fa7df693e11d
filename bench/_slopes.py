"""Measures the cost of operations by size and fits lines to it."""

from collections import abc
import dataclasses
import gc
import statistics
import time

import numpy

ROUNDS = 5
# Long enough that the resolution of the clock and single interruptions
# hardly affect a round.
MIN_ROUND_TIME = 0.03  # seconds of CPU time


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Line fitted to the points of a measurement.

    Attributes:
        intercept: Value at size 0.
        slope: Increase of the value for each unit of size.
        error: Largest relative error of the line at a measured point.
    """

    intercept: float
    slope: float
    error: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """Cost of one operation by size.

    Attributes:
        name: Name in the tables.
        title: Description of the measured operation.
        size_unit: Unit of the size.
        value_unit: Unit of the value.
        points: Pairs of size and value.
        fit: Line fitted to the points.
    """

    name: str
    title: str
    size_unit: str
    value_unit: str
    points: tuple[tuple[float, float], ...]
    fit: Fit


def fit_line(points: abc.Sequence[tuple[float, float]]) -> Fit:
    """Fits a line that minimizes the squares of the relative errors.

    Args:
        points: Pairs of size and value. The values must be positive.

    Returns:
        The line and its largest relative error.
    """
    sizes, values = numpy.array(points, dtype=float).T
    slope, intercept = numpy.polyfit(sizes, values, 1, w=1 / values)
    relative_errors = numpy.abs(intercept + slope * sizes - values) / values
    return Fit(float(intercept), float(slope), float(relative_errors.max()))


def make_slope(
    name: str,
    title: str,
    size_unit: str,
    value_unit: str,
    points: abc.Iterable[tuple[float, float]],
) -> Slope:
    """Creates a slope and fits a line to its points."""
    points = tuple(points)
    return Slope(name, title, size_unit, value_unit, points, fit_line(points))


def predict(slope: Slope, size: float) -> float:
    """Returns the value of the fitted line at a size."""
    return slope.fit.intercept + slope.fit.slope * size


def time_call(operation: abc.Callable[[], object]) -> float:
    """Returns the CPU time of a call in microseconds, median of rounds."""
    gc.collect()
    count = 1
    while True:
        seconds = _time_round(operation, count)
        if seconds >= MIN_ROUND_TIME:
            break
        count = max(
            2 * count, int(count * MIN_ROUND_TIME / max(seconds, 1e-6))
        )
    round_times = [
        seconds,
        *(_time_round(operation, count) for _ in range(ROUNDS - 1)),
    ]
    return statistics.median(round_times) / count * 1e6


async def time_async(operation: abc.Callable[[], abc.Awaitable], count: int):
    """Measures the CPU time of a coroutine.

    Args:
        operation: Returns a new awaitable for each call.
        count: Calls in each round.

    Returns:
        CPU time of a call in microseconds, median of rounds.
    """
    await operation()
    gc.collect()
    round_times = []
    for _ in range(ROUNDS):
        start = time.process_time()
        for _ in range(count):
            await operation()
        round_times.append((time.process_time() - start) / count * 1e6)
    return statistics.median(round_times)


def _time_round(operation, count):
    start = time.process_time()
    for _ in range(count):
        operation()
    return time.process_time() - start
