"""Short soak runs with fixed seeds and all seeds that failed before."""

import pytest

from bench import soak

SECONDS = 6.0  # time for which faults are injected
# Two fixed seeds and those that failed before.
SEEDS = (
    1,
    2,
    127,  # the soak test itself let two drains of one replica overlap
)
# The node had stopped serving 1.6 and 1.4 s after SIGTERM, but its process
# still ran after 3 s: on a loaded machine the interpreter shutdown was slow.
SLOW_SHUTDOWN_SEEDS = (324, 350)
LONG_SECONDS = 14.0  # the time for which these seeds failed


@pytest.mark.parametrize('seed', SEEDS)
async def test_guarantees_hold_under_random_faults(seed, tmp_path):
    """Guards all guarantees of the front node under overlapping faults."""
    result = await soak.run_seed(seed, SECONDS, tmp_path)
    assert not result.errors, result.errors
    assert result.outcomes['200'] > 100


async def test_guarantees_hold_while_replicas_crash(tmp_path):
    """Guards replicas and other requests from a repeated crashing request."""
    result = await soak.run_seed(3, 2 * SECONDS, tmp_path, crashes=True)
    assert not result.errors, result.errors
    assert result.outcomes['200'] > 100


async def test_guarantees_hold_while_replicas_leave_or_pause(tmp_path):
    """Guards replicas that say only in answers that they want no requests."""
    result = await soak.run_seed(4, 2 * SECONDS, tmp_path, notices=True)
    assert not result.errors, result.errors
    assert result.outcomes['200'] > 100


# SIGHUP ended a node that was still importing its modules.
@pytest.mark.parametrize('seed', [5, 9119])
async def test_guarantees_hold_while_keys_are_withdrawn(seed, tmp_path):
    """Guards withdrawn keys at nodes that are paused, killed or cut off."""
    result = await soak.run_seed(seed, 2 * SECONDS, tmp_path, tenants=True)
    assert not result.errors, result.errors
    assert result.outcomes['200'] > 100


@pytest.mark.parametrize('seed', SLOW_SHUTDOWN_SEEDS)
async def test_stopping_node_exits_within_grace_period(seed, tmp_path):
    """Guards G7: a node that exceeds its grace period is killed mid-work."""
    result = await soak.run_seed(seed, LONG_SECONDS, tmp_path)
    assert not result.errors, result.errors
