"""Tests of attempts that go one at a time where replicas may end."""

import dataclasses

import pytest

from citronweir import core
from citronweir.service import _requests_test as requests
from citronweir.service import _serial_attempts as serial_attempts

ENDED = core.Lost(core.UnknownReason.CONNECTION_LOST)
ANSWERED = requests._reply()
SUSPECT = core.SuspectStatus(
    core.SuspectState.SUSPECT, 100.0, frozenset({core.ServiceName('s2')})
)
CONVICTED = dataclasses.replace(SUSPECT, state=core.SuspectState.CONVICTED)
ALL_END = {name: [(0.01, ENDED)] for name in requests.SHARDS}


def test_convicted_request_is_refused_before_any_replica_gets_it():
    """Guards replicas; and a caller that would wait for nothing."""
    world = requests.World(suspect_status=CONVICTED)
    outcome, seconds = requests._run(world)
    assert outcome.reason is core.NotRunReason.QUARANTINED
    assert outcome.retry_after > 30.0
    assert (seconds, world.sends) == (0.0, [])


@pytest.mark.parametrize('route', [requests.GATHER, requests.PLAIN])
def test_suspect_ends_one_replica(route):
    """Guards the replicas of all shards against the repeat of a request."""
    world = requests.World(route=route, script=ALL_END, suspect_status=SUSPECT)
    outcome, seconds = requests._run(world)
    assert isinstance(outcome, core.Unanswered)
    assert len(world.sends) == 1
    assert seconds == pytest.approx(0.01)


def test_suspect_goes_first_where_a_replica_ended():
    """Guards shards that the request does not harm, and its verdict."""
    script = {'s2': [(0.01, ENDED)]}
    world = requests.World(script=script, suspect_status=SUSPECT)
    requests._run(world)
    assert [replica_id for _, replica_id in world.sends] == ['s2-0']


def test_suspect_that_is_answered_is_served_whole():
    """Guards a request that only shared a replica with the guilty one."""
    world = requests.World(suspect_status=SUSPECT)
    outcome, seconds = requests._run(world)
    assert (len(outcome.signatures), outcome.missing) == (4, 0)
    assert seconds == pytest.approx(0.02)


def test_suspect_with_a_late_first_answer_is_served():
    """Guards an innocent request against one replica that hangs."""
    script = {'s2': [(None, None)]}
    world = requests.World(script=script, suspect_status=SUSPECT)
    outcome, seconds = requests._run(world)
    assert outcome.missing <= 1
    assert seconds < requests.GATHER.timeout


def test_suspect_that_is_shed_goes_on():
    """Guards an innocent request against a replica that is full."""
    script = {'s2': [(0.01, requests.SHED), (0.01, ANSWERED)]}
    world = requests.World(script=script, suspect_status=SUSPECT)
    outcome, _ = requests._run(world)
    assert outcome.missing == 0


@pytest.mark.parametrize('max_attempts', [2, 3])
def test_new_request_ends_few_replicas_beyond_the_first_of_each_shard(
    max_attempts,
):
    """Guards the second replica of each shard against the retries."""
    route = dataclasses.replace(requests.GATHER, max_attempts=max_attempts)
    world = requests.World(route=route, script=ALL_END, copies=3)
    outcome, _ = requests._run(world)
    assert isinstance(outcome, core.Unanswered)
    assert (
        len(world.sends) == len(requests.SHARDS) + serial_attempts.MAX_LOSSES
    )


def test_request_that_meets_the_loss_of_several_replicas_is_served():
    """Guards innocent requests while replicas end by themselves."""
    script = {
        name: [(0.01, ENDED), (0.01, ANSWERED)] for name in requests.SHARDS
    }
    world = requests.World(script=script)
    outcome, seconds = requests._run(world)
    assert outcome.missing == 0
    assert seconds == pytest.approx(0.03)


def test_lost_shard_does_not_hold_up_hedges_of_others():
    """Guards latency: a hedge waits for one retry at most."""
    script = {
        's1': [(0.01, ENDED), (0.01, ANSWERED)],
        's2': [(None, None), (0.01, ANSWERED)],
    }
    outcome, seconds = requests._run(requests.World(script=script))
    assert outcome.missing == 0
    assert seconds < requests.GATHER.target


def test_other_nodes_are_not_asked_for_a_suspect():
    """Guards replicas against a second node that asks them meanwhile."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    world = requests.World(groups=(group,), suspect_status=SUSPECT)
    outcome, _ = requests._run(world)
    assert outcome.missing == 0
    assert world.queries == []


def test_shards_of_another_node_that_failed_are_asked_one_at_a_time():
    """Guards the replicas that a request did not reach through a node."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    failed = core.Unanswered(core.FailureReason.UPSTREAM_ERROR)
    world = requests.World(
        groups=(group,), answer=(0.01, failed), script=ALL_END, copies=3
    )
    outcome, _ = requests._run(world)
    assert isinstance(outcome, core.Unanswered)
    assert len(world.sends) <= serial_attempts.MAX_LOSSES


def test_request_that_another_node_refuses_is_not_asked_here():
    """Guards replicas before the news reaches this node."""
    group = core.ShardGroup((0, 1, 2, 3), (requests.NODE,))
    refused = core.Declined(core.NotRunReason.QUARANTINED, 10.0)
    world = requests.World(groups=(group,), answer=(0.01, refused))
    outcome, seconds = requests._run(world)
    assert not isinstance(outcome, core.Gathered)
    assert world.sends == []
    assert seconds == pytest.approx(0.01)
