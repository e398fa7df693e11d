"""Tests that the measurements for the capacity page run."""

from bench import _measure_search as measure


async def test_owner_queue_is_measured_on_the_present_interface():
    """A field added to the owner's interface once broke bench.capacity."""
    slope = await measure._measure_owner_queue()
    assert slope.fit.slope > 0
