"""Tests of serial attempts of requests that may crash replicas."""

import dataclasses

import pytest

from citronweir import core
from citronweir.service import _requests_test as requests
from citronweir.service import _serial_attempts as serial_attempts

CRASHED = core.Lost(core.UnknownReason.CONNECTION_LOST)
ANSWERED = requests._make_reply()
SUSPECT = core.SuspectStatus(
    core.SuspectState.SUSPECT, 100.0, frozenset({core.ServiceName('s2')})
)
CONVICTED = dataclasses.replace(SUSPECT, state=core.SuspectState.CONVICTED)
ALL_CRASH = {name: [(0.01, CRASHED)] for name in requests.SHARDS}


def test_convicted_request_is_refused_before_any_replica_gets_it():
    """A convicted request must not be sent, nor its caller kept waiting."""
    scenario = requests.Scenario(suspect_status=CONVICTED)
    outcome, seconds = requests._run(scenario)
    assert outcome.reason is core.NotRunReason.QUARANTINED
    assert outcome.retry_after > 30.0
    assert (seconds, scenario.attempts) == (0.0, [])


@pytest.mark.parametrize('route', [requests.GATHER, requests.PLAIN])
def test_suspect_crashes_one_replica(route):
    """A repeated suspect must not crash one replica of each shard."""
    scenario = requests.Scenario(
        route=route, scripts=ALL_CRASH, suspect_status=SUSPECT
    )
    outcome, seconds = requests._run(scenario)
    assert isinstance(outcome, core.Unanswered)
    assert len(scenario.attempts) == 1
    assert seconds == pytest.approx(0.01)


def test_suspect_is_sent_first_to_a_service_with_a_crash():
    """Other services must not be called if the crashed one crashes again.

    Calling the crashed service first is also the fastest way to find out
    whether the request is the cause.
    """
    scripts = {'s2': [(0.01, CRASHED)]}
    scenario = requests.Scenario(scripts=scripts, suspect_status=SUSPECT)
    requests._run(scenario)
    assert [replica_id for _, replica_id in scenario.attempts] == ['s2-0']


def test_suspect_that_is_answered_is_served_by_all_shards():
    """A harmless request on the same replica as the cause is served."""
    scenario = requests.Scenario(suspect_status=SUSPECT)
    outcome, seconds = requests._run(scenario)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)
    assert seconds == pytest.approx(0.02)


def test_suspect_with_a_late_first_answer_is_served():
    """A hanging replica must not block a harmless suspect."""
    scripts = {'s2': [(None, None)]}
    scenario = requests.Scenario(scripts=scripts, suspect_status=SUSPECT)
    outcome, seconds = requests._run(scenario)
    assert outcome.missing <= 1
    assert seconds < requests.GATHER.timeout


def test_suspect_with_enough_crashes_waits_for_a_late_attempt():
    """Guards replicas of other shards while a crash is slow.

    Beside other load an attempt was late, the next one was sent, and both
    replicas crashed.
    """
    status = dataclasses.replace(SUSPECT, is_conviction_pending=True)
    scripts = ALL_CRASH | {'s2': [(0.2, CRASHED)]}
    scenario = requests.Scenario(scripts=scripts, suspect_status=status)
    outcome, seconds = requests._run(scenario)
    assert isinstance(outcome, core.Unanswered)
    assert [replica_id for _, replica_id in scenario.attempts] == ['s2-0']
    assert seconds == pytest.approx(0.2)


def test_suspect_that_is_shed_is_retried():
    """An overloaded replica must not fail a harmless suspect."""
    scripts = {'s2': [(0.01, requests.SHED), (0.01, ANSWERED)]}
    scenario = requests.Scenario(scripts=scripts, suspect_status=SUSPECT)
    outcome, _ = requests._run(scenario)
    assert outcome.missing == 0


@pytest.mark.parametrize('max_attempts', [2, 3])
def test_new_request_crashes_few_replicas_beyond_the_first_of_each_shard(
    max_attempts,
):
    """Retries must not crash a second replica of each shard."""
    route = dataclasses.replace(requests.GATHER, max_attempts=max_attempts)
    scenario = requests.Scenario(
        route=route, scripts=ALL_CRASH, replica_count=3
    )
    outcome, _ = requests._run(scenario)
    assert isinstance(outcome, core.Unanswered)
    assert (
        len(scenario.attempts)
        == len(requests.SHARDS) + serial_attempts.MAX_LOSSES
    )


def test_request_that_meets_several_crashes_is_served():
    """A harmless request is served while unrelated crashes occur."""
    scripts = {
        name: [(0.01, CRASHED), (0.01, ANSWERED)] for name in requests.SHARDS
    }
    scenario = requests.Scenario(scripts=scripts)
    outcome, seconds = requests._run(scenario)
    assert outcome.missing == 0
    assert seconds == pytest.approx(0.03)


def test_lost_shard_does_not_hold_up_hedges_of_others():
    """A hedge waits for at most one retry."""
    scripts = {
        's1': [(0.01, CRASHED), (0.01, ANSWERED)],
        's2': [(None, None), (0.01, ANSWERED)],
    }
    outcome, seconds = requests._run(requests.Scenario(scripts=scripts))
    assert outcome.missing == 0
    assert seconds < requests.GATHER.target


def test_other_nodes_are_not_asked_for_a_suspect():
    """Two nodes must not send a suspect at the same time."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    scenario = requests.Scenario(groups=(group,), suspect_status=SUSPECT)
    outcome, _ = requests._run(scenario)
    assert outcome.missing == 0
    assert scenario.queries == []


def test_shards_of_another_node_that_failed_are_asked_one_at_a_time():
    """Replicas that the failed node had not called must not all crash."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    failed = core.Unanswered(core.FailureReason.UPSTREAM_ERROR)
    scenario = requests.Scenario(
        groups=(group,),
        answer=(0.01, failed),
        scripts=ALL_CRASH,
        replica_count=3,
    )
    outcome, _ = requests._run(scenario)
    assert isinstance(outcome, core.Unanswered)
    assert len(scenario.attempts) <= serial_attempts.MAX_LOSSES


def test_request_that_another_node_refuses_is_not_asked_here():
    """A node without the crash reports must rely on the refusal."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    refused = core.Declined(core.NotRunReason.QUARANTINED, 10.0)
    scenario = requests.Scenario(groups=(group,), answer=(0.01, refused))
    outcome, seconds = requests._run(scenario)
    assert not isinstance(outcome, core.Gathered)
    assert scenario.attempts == []
    assert seconds == pytest.approx(0.01)
