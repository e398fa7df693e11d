"""Tests that measurements of the capacity page still run."""

from bench import _measure_search as measure


async def test_owner_queue_is_measured_on_the_present_interface():
    """Guards the capacity page: its command failed after a field was added."""
    slope = await measure._measure_owner_queue()
    assert slope.fit.slope > 0
