"""Tests of how the shards of a route are split among nodes."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _grouping as grouping
from fakes import routes

REGIONS = {
    core.DataCentre(f'd{number}'): f'r{number % 3}' for number in range(6)
}
VANTAGE = core.Vantage(core.DataCentre('d0'), REGIONS)
NODES = tuple(
    core.ListedNode(
        core.NodeId(f'{dc}-n{number}'),
        core.Address('127.0.0.1', 1),
        dc,
        core.Incarnation(1),
    )
    for dc in REGIONS
    for number in range(5)
)


def _list_usable(holders):
    def list_usable(name):
        return tuple(
            core.ListedReplica(
                core.ReplicaId(f'{name}-{dc}'),
                name,
                core.Address('127.0.0.1', 1),
                core.DataCentre(dc),
                core.ListedState.READY,
            )
            for dc in holders.get(name, ())
        )

    return list_usable


def _plan(holders, count, nodes=NODES, turn=0):
    return core.plan_groups(
        routes.make_gather_route(count),
        _list_usable(holders),
        nodes,
        NODES[0].node_id,
        VANTAGE,
        turn,
    )


def test_shards_of_the_own_region_are_asked_from_here():
    """Guards latency: a hop within a region gains nothing for few shards."""
    holders = {f's{n}': ['d0', 'd1'] for n in range(20)}
    assert _plan(holders, 20) == (core.ShardGroup(tuple(range(20))),)


def test_shards_of_another_region_are_asked_there():
    """Guards bytes between regions, which cost most of all."""
    holders = {f's{n}': ['d0' if n < 12 else 'd1'] for n in range(20)}
    remote, local = _plan(holders, 20)
    assert local == core.ShardGroup(tuple(range(12)))
    assert remote.positions == tuple(range(12, 20))
    assert {node.dc for node in remote.owners} == {'d1'}


def test_regions_that_hold_the_same_take_turns():
    """Guards replicas of one region against the load of all others."""
    holders = {f's{n}': ['d1', 'd2'] for n in range(20)}
    regions = [
        REGIONS[_plan(holders, 20, turn=turn)[0].owners[0].dc]
        for turn in range(4)
    ]
    assert sorted(set(regions)) == ['r1', 'r2']
    assert regions[0] != regions[1]


def test_many_shards_are_split_among_nodes_of_the_region():
    """Guards latency: one process cannot ask hundreds of shards in time."""
    holders = {f's{n}': ['d0'] for n in range(490)}
    groups = _plan(holders, 490)
    asked = [group for group in groups if group.owners]
    assert max(len(group.positions) for group in asked) <= grouping.MAX_SHARDS
    assert all(
        REGIONS[node.dc] == 'r0' for item in asked for node in item.owners
    )
    owned = core.list_owned(
        routes.make_gather_route(490),
        _list_usable(holders),
        NODES,
        NODES[0].node_id,
        VANTAGE,
    )
    (here,) = [group for group in groups if not group.owners]
    assert list(here.positions) == sorted(owned)


def test_owners_stand_in_the_data_centre_of_the_replicas():
    """Guards bytes between data centres against each part crossing once."""
    holders = {f's{n}': ['d3'] for n in range(90)}
    groups = _plan(holders, 90)
    assert {node.dc for item in groups for node in item.owners} == {'d3'}
    apart = tuple(node for node in NODES if node.dc != 'd3')
    groups = _plan(holders, 90, apart)
    assert {node.dc for item in groups for node in item.owners} == {'d0'}


def test_groups_stand_in_one_data_centre_each():
    """Guards bytes between data centres against parts that cross.

    Replicas of two data centres of a region were split into groups that
    held both, so that half of all parts crossed between the two.
    """
    holders = {f's{n}': ['d3' if n % 2 else 'd0', 'd1'] for n in range(90)}
    groups = _plan(holders, 90)
    assert sum(len(group.positions) for group in groups) == 90
    for group in groups:
        held = {holders[f's{place}'][0] for place in group.positions}
        dcs = {node.dc for node in group.owners} or {'d0'}
        assert len(held) == 1
        assert held == dcs
        assert (
            group.owners == () or len(group.positions) <= grouping.MAX_SHARDS
        )


def test_remains_of_another_region_are_asked_together():
    """Guards bytes between regions against single shards asked from here."""
    holders = {f's{n}': ['d0'] for n in range(90)}
    lost = range(0, 90, 20)
    for number, place in enumerate(lost):
        holders[f's{place}'] = ['d4' if number % 2 else 'd1']
    groups = _plan(holders, 90)
    far = [group for group in groups if set(group.positions) & set(lost)]
    assert [group.positions for group in far] == [tuple(lost)]
    assert {REGIONS[node.dc] for node in far[0].owners} == {'r1'}


def test_owners_are_steady_while_other_nodes_come_and_go():
    """Guards replicas against new connections after each change."""
    holders = {f's{n}': ['d3'] for n in range(90)}
    before = _plan(holders, 90)
    lost = before[0].owners[0]
    after = _plan(holders, 90, tuple(node for node in NODES if node != lost))
    for old, new in zip(before, after, strict=True):
        kept = tuple(node for node in old.owners if node != lost)
        assert new.owners[: len(kept)] == kept


@given(
    st.integers(1, 120),
    st.randoms(use_true_random=False),
    st.integers(0, len(NODES)),
    st.integers(0, 9),
)
def test_every_shard_is_in_exactly_one_group(count, rng, nodes, turn):
    """Guards coverage: no shard is left out or asked twice."""
    holders = {
        f's{n}': rng.sample(sorted(REGIONS), rng.randint(0, 3))
        for n in range(count)
    }
    groups = _plan(holders, count, tuple(rng.sample(NODES, nodes)), turn)
    positions = collections.Counter(
        place for group in groups for place in group.positions
    )
    assert positions == dict.fromkeys(range(count), 1)
