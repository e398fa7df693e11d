"""Short soaks with fixed seeds, and the seeds that ever failed."""

import pytest

from bench import soak

SECONDS = 6.0  # for which faults are injected
# Two seeds for every run of the tests, and the seeds that ever failed.
SEEDS = (
    1,
    2,
    127,  # two drains of one replica overlapped, a fault of the soak
)


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_random_faults(seed, tmp_path):
    """Guards all promises of the front node against faults that overlap."""
    result = await soak.run_seed(seed, SECONDS, tmp_path)
    assert not result.errors, result.errors
    assert result.outcomes['200'] > 100
