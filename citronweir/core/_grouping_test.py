"""Tests of splitting the shards of a route among nodes."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _grouping as grouping
from fakes import routes

REGIONS = {
    core.DataCentre(f'd{number}'): f'r{number % 3}' for number in range(6)
}
LOCALITY = core.Locality(core.DataCentre('d0'), REGIONS)
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


def _plan(holders, count, nodes=NODES, rotation=0):
    return core.plan_groups(
        routes.make_gather_route(count),
        _list_usable(holders),
        nodes,
        NODES[0].node_id,
        LOCALITY,
        rotation,
    )


def test_few_shards_of_the_own_region_are_queried_directly():
    """For few shards, a hop within the region would only add latency."""
    holders = {f's{n}': ['d0', 'd1'] for n in range(20)}
    assert _plan(holders, 20) == (core.ShardGroup(tuple(range(20))),)


def test_shards_of_another_region_are_queried_there():
    """Traffic between regions is the most expensive; only merges cross."""
    holders = {f's{n}': ['d0' if n < 12 else 'd1'] for n in range(20)}
    remote, local = _plan(holders, 20)
    assert local == core.ShardGroup(tuple(range(12)))
    assert remote.shard_positions == tuple(range(12, 20))
    assert {node.dc for node in remote.owners} == {'d1'}


def test_regions_that_hold_the_same_shards_are_rotated():
    """One region must not get the load of all other regions."""
    holders = {f's{n}': ['d1', 'd2'] for n in range(20)}
    regions = [
        REGIONS[_plan(holders, 20, rotation=rotation)[0].owners[0].dc]
        for rotation in range(4)
    ]
    assert sorted(set(regions)) == ['r1', 'r2']
    assert regions[0] != regions[1]


def test_many_shards_are_split_among_nodes_of_the_region():
    """One process cannot query hundreds of shards in time."""
    holders = {f's{n}': ['d0'] for n in range(490)}
    groups = _plan(holders, 490)
    delegated = [group for group in groups if group.owners]
    assert (
        max(len(group.shard_positions) for group in delegated)
        <= grouping.MAX_SHARDS_PER_GROUP
    )
    assert all(
        REGIONS[node.dc] == 'r0' for item in delegated for node in item.owners
    )
    owned = core.list_owned_shards(
        routes.make_gather_route(490),
        _list_usable(holders),
        NODES,
        NODES[0].node_id,
        LOCALITY,
    )
    (here,) = [group for group in groups if not group.owners]
    assert list(here.shard_positions) == sorted(owned)


def test_owners_are_in_the_data_centre_of_the_replicas():
    """Unmerged parts must not cross data centres."""
    holders = {f's{n}': ['d3'] for n in range(90)}
    groups = _plan(holders, 90)
    assert {node.dc for item in groups for node in item.owners} == {'d3'}
    other_nodes = tuple(node for node in NODES if node.dc != 'd3')
    groups = _plan(holders, 90, other_nodes)
    assert {node.dc for item in groups for node in item.owners} == {'d0'}


def test_each_group_is_in_one_data_centre():
    """A group must not span data centres of its region.

    When groups mixed the replicas of two data centres, half of all parts
    crossed between the two.
    """
    holders = {f's{n}': ['d3' if n % 2 else 'd0', 'd1'] for n in range(90)}
    groups = _plan(holders, 90)
    assert sum(len(group.shard_positions) for group in groups) == 90
    for group in groups:
        held = {
            holders[f's{position}'][0] for position in group.shard_positions
        }
        dcs = {node.dc for node in group.owners} or {'d0'}
        assert len(held) == 1
        assert held == dcs
        assert (
            group.owners == ()
            or len(group.shard_positions) <= grouping.MAX_SHARDS_PER_GROUP
        )


def test_scattered_shards_of_another_region_are_queried_together():
    """Single shards must not be queried directly across regions."""
    holders = {f's{n}': ['d0'] for n in range(90)}
    lost = range(0, 90, 20)
    for number, position in enumerate(lost):
        holders[f's{position}'] = ['d4' if number % 2 else 'd1']
    groups = _plan(holders, 90)
    remote_groups = [
        group for group in groups if set(group.shard_positions) & set(lost)
    ]
    assert [group.shard_positions for group in remote_groups] == [tuple(lost)]
    assert {REGIONS[node.dc] for node in remote_groups[0].owners} == {'r1'}


def test_owners_are_stable_while_other_nodes_come_and_go():
    """Losing one node must not open new connections from the others."""
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
def test_every_shard_is_in_exactly_one_group(count, rng, nodes, rotation):
    """No shard may be left out or queried twice."""
    holders = {
        f's{n}': rng.sample(sorted(REGIONS), rng.randint(0, 3))
        for n in range(count)
    }
    groups = _plan(holders, count, tuple(rng.sample(NODES, nodes)), rotation)
    shard_positions = collections.Counter(
        position for group in groups for position in group.shard_positions
    )
    assert shard_positions == dict.fromkeys(range(count), 1)
