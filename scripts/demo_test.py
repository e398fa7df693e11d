"""Tests of the demonstration."""

from scripts import demo


async def test_every_check_of_the_demonstration_passes(tmp_path):
    """Guards against a demo command in the README that no longer works."""
    assert not await demo.run_demo(tmp_path)
