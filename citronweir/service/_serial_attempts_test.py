"""Tests of serial attempts of requests that may crash replicas."""

import dataclasses

import pytest

from citronweir import core
from citronweir.service import _requests_test as requests
from citronweir.service import _serial_attempts as serial_attempts

CRASHED = core.Lost(core.UnknownReason.CONNECTION_LOST)
ANSWERED = requests._reply()
SUSPECT = core.SuspectStatus(
    core.SuspectState.SUSPECT, 100.0, frozenset({core.ServiceName('s2')})
)
CONVICTED = dataclasses.replace(SUSPECT, state=core.SuspectState.CONVICTED)
ALL_CRASH = {name: [(0.01, CRASHED)] for name in requests.SHARDS}


def test_convicted_request_is_refused_before_any_replica_gets_it():
    """Guards replicas, and a caller against a pointless wait."""
    world = requests.World(suspect_status=CONVICTED)
    outcome, seconds = requests._run(world)
    assert outcome.reason is core.NotRunReason.QUARANTINED
    assert outcome.retry_after > 30.0
    assert (seconds, world.sends) == (0.0, [])


@pytest.mark.parametrize('route', [requests.GATHER, requests.PLAIN])
def test_suspect_crashes_one_replica(route):
    """Guards the replicas of all shards against a repeated suspect."""
    world = requests.World(
        route=route, script=ALL_CRASH, suspect_status=SUSPECT
    )
    outcome, seconds = requests._run(world)
    assert isinstance(outcome, core.Unanswered)
    assert len(world.sends) == 1
    assert seconds == pytest.approx(0.01)


def test_suspect_is_sent_first_to_a_service_with_a_crash():
    """Guards shards that the request does not crash.

    Asking the crashed service first also settles soonest whether the request
    is the cause.
    """
    script = {'s2': [(0.01, CRASHED)]}
    world = requests.World(script=script, suspect_status=SUSPECT)
    requests._run(world)
    assert [replica_id for _, replica_id in world.sends] == ['s2-0']


def test_suspect_that_is_answered_is_served_by_all_shards():
    """Guards a harmless request that shared a replica with the cause."""
    world = requests.World(suspect_status=SUSPECT)
    outcome, seconds = requests._run(world)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)
    assert seconds == pytest.approx(0.02)


def test_suspect_with_a_late_first_answer_is_served():
    """Guards a harmless suspect against one replica that hangs."""
    script = {'s2': [(None, None)]}
    world = requests.World(script=script, suspect_status=SUSPECT)
    outcome, seconds = requests._run(world)
    assert outcome.missing <= 1
    assert seconds < requests.GATHER.timeout


def test_suspect_that_is_shed_is_retried():
    """Guards a harmless suspect against an overloaded replica."""
    script = {'s2': [(0.01, requests.SHED), (0.01, ANSWERED)]}
    world = requests.World(script=script, suspect_status=SUSPECT)
    outcome, _ = requests._run(world)
    assert outcome.missing == 0


@pytest.mark.parametrize('max_attempts', [2, 3])
def test_new_request_crashes_few_replicas_beyond_the_first_of_each_shard(
    max_attempts,
):
    """Guards the second replica of each shard against retries."""
    route = dataclasses.replace(requests.GATHER, max_attempts=max_attempts)
    world = requests.World(route=route, script=ALL_CRASH, copies=3)
    outcome, _ = requests._run(world)
    assert isinstance(outcome, core.Unanswered)
    assert (
        len(world.sends) == len(requests.SHARDS) + serial_attempts.MAX_LOSSES
    )


def test_request_that_meets_several_crashes_is_served():
    """Guards harmless requests while replicas crash for other reasons."""
    script = {
        name: [(0.01, CRASHED), (0.01, ANSWERED)] for name in requests.SHARDS
    }
    world = requests.World(script=script)
    outcome, seconds = requests._run(world)
    assert outcome.missing == 0
    assert seconds == pytest.approx(0.03)


def test_lost_shard_does_not_hold_up_hedges_of_others():
    """Guards latency: a hedge waits for at most one retry."""
    script = {
        's1': [(0.01, CRASHED), (0.01, ANSWERED)],
        's2': [(None, None), (0.01, ANSWERED)],
    }
    outcome, seconds = requests._run(requests.World(script=script))
    assert outcome.missing == 0
    assert seconds < requests.GATHER.target


def test_other_nodes_are_not_asked_for_a_suspect():
    """Guards replicas against a second node that asks at the same time."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    world = requests.World(groups=(group,), suspect_status=SUSPECT)
    outcome, _ = requests._run(world)
    assert outcome.missing == 0
    assert world.queries == []


def test_shards_of_another_node_that_failed_are_asked_one_at_a_time():
    """Guards replicas that the failed node had not asked yet."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    failed = core.Unanswered(core.FailureReason.UPSTREAM_ERROR)
    world = requests.World(
        groups=(group,), answer=(0.01, failed), script=ALL_CRASH, copies=3
    )
    outcome, _ = requests._run(world)
    assert isinstance(outcome, core.Unanswered)
    assert len(world.sends) <= serial_attempts.MAX_LOSSES


def test_request_that_another_node_refuses_is_not_asked_here():
    """Guards replicas before this node has received the crash reports."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    refused = core.Declined(core.NotRunReason.QUARANTINED, 10.0)
    world = requests.World(groups=(group,), answer=(0.01, refused))
    outcome, seconds = requests._run(world)
    assert not isinstance(outcome, core.Gathered)
    assert world.sends == []
    assert seconds == pytest.approx(0.01)
