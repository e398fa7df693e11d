"""Tests of replica selection by expected latency."""

import pytest

from citronweir import core
from citronweir.core import _placement as placement

LOCALITY = core.Locality(
    core.DataCentre('here'),
    {
        core.DataCentre('here'): 'north',
        core.DataCentre('near'): 'north',
        core.DataCentre('far'): 'south',
    },
)


def _replica(name, dc='here'):
    return core.ListedReplica(
        core.ReplicaId(name),
        core.ServiceName('s'),
        core.Address('127.0.0.1', 1),
        core.DataCentre(dc),
        core.ListedState.READY,
        slots=2,
    )


NEAR, FAR = _replica('near'), _replica('far', 'far')


def _choose(loads, now, tried=()):
    chosen = core.choose_listed_replica(
        loads, LOCALITY, (FAR, NEAR), tried, now, lambda: 1.0
    )
    return None if chosen is None else chosen[0].replica_id


def _load(loads, replica, now):
    return loads.setdefault(
        replica.replica_id, placement.make_load(LOCALITY, replica, now)
    )


def test_near_replica_is_chosen_first():
    """Traffic must not cross regions while a near replica is available."""
    assert _choose({}, 0.0) == 'near'
    assert _choose({}, 0.0, {'near'}) == 'far'
    assert _choose({}, 0.0, {'near', 'far'}) is None


def test_paused_replica_is_avoided_before_its_answer_is_late_for_all():
    """A replica that pauses briefly must not delay every new request.

    A single overdue request marks the replica as stalled for all later
    requests of the node.
    """
    loads = {}
    load = _load(loads, NEAR, 0.0)
    core.record_request_sent(load, 1, 0.0)
    assert _choose(loads, 0.010) == 'near'
    assert _choose(loads, 0.060) == 'far'
    core.record_request_answered(load, 1, 0.061)
    load.latency = load.initial_latency
    assert _choose(loads, 0.062) == 'near'


def test_failing_replica_is_avoided_until_a_trial_succeeds():
    """A replica that fails fast must not be preferred as a fast one."""
    loads = {}
    load = _load(loads, NEAR, 0.0)
    for number in range(3):
        core.record_request_sent(load, number, 0.0)
        core.record_request_failed(load, number, 0.0)
    assert _choose(loads, 5.0) == 'far'
    assert core.choose_trial(loads, (FAR, NEAR), (), 5.0) == NEAR
    core.record_request_sent(load, 4, 5.0)
    assert core.choose_trial(loads, (FAR, NEAR), (), 5.5) is None
    core.record_request_answered(load, 4, 5.01)
    assert _choose(loads, 5.02) == 'near'


def test_one_failure_is_forgotten_soon():
    """An occasional failure must not exclude a replica for long."""
    loads = {}
    load = _load(loads, NEAR, 0.0)
    core.record_request_sent(load, 1, 0.0)
    core.record_request_failed(load, 1, 0.0)
    assert _choose(loads, 0.1) == 'far'
    assert _choose(loads, 0.0 + placement.INITIAL_BACKOFF) == 'near'


def test_slow_replica_is_tried_beside_a_request_and_comes_back():
    """A replica that was slow for some seconds must be used again.

    The trial duplicates another request, since a request that waited for
    the trial's own answer would be late each time.
    """
    loads = {}
    load = _load(loads, NEAR, 0.0)
    for number in range(5):
        core.record_request_sent(load, number, float(number))
        core.record_request_answered(load, number, number + 0.09)
    assert _choose(loads, 4.2) == 'far'
    assert core.choose_trial(loads, (FAR, NEAR), (), 4.2) is None
    assert core.choose_trial(loads, (FAR, NEAR), (), 5.2) == NEAR
    core.record_request_sent(load, 9, 5.2)
    core.record_request_answered(load, 9, 5.208)
    assert _choose(loads, 5.3) == 'near'


def test_one_pause_does_not_move_the_load_to_another_region():
    """A single pause of 120 ms must not move traffic to another region."""
    loads = {}
    load = _load(loads, NEAR, 0.0)
    core.record_request_sent(load, 1, 0.0)
    core.record_request_answered(load, 1, 0.12)
    assert _choose(loads, 0.2) == 'near'


def test_full_slots_make_requests_wait():
    """A busy near replica must not get all requests while others idle."""
    loads = {}
    load = _load(loads, NEAR, 0.0)
    alone = placement.expected_time(load, 2, 0.0)
    for number in range(3):
        core.record_request_sent(load, number, 0.0)
    assert placement.expected_time(load, 2, 0.0) == pytest.approx(2 * alone)


def test_reported_queue_counts_only_while_it_is_recent():
    """An outdated queue report must not influence the choice."""
    load = placement.make_load(LOCALITY, NEAR, 0.0)
    idle = placement.expected_time(load, 2, 0.0)
    core.record_reported_load(load, core.ReportedLoad(1, 6, 2), 0.0)
    assert placement.expected_time(load, 2, 0.1) > 2 * idle
    assert placement.expected_time(
        load, 2, placement.QUEUE_REPORT_TTL
    ) == pytest.approx(idle)


def test_failures_without_trials_are_forgotten():
    """Guards replicas of services that only have non-idempotent requests.

    Two lost answers would otherwise take a replica out of use for good.
    """
    load = core.ReplicaLoad(0.01, 0.01, 0.0)
    for number in range(2):
        core.record_request_sent(load, number, 1.0)
        core.record_request_failed(load, number, 1.0)
    assert core.is_avoided(load, 10.9)
    assert not core.is_avoided(load, 11.1)
