"""Tests of replica owners and configuration watchers."""

import hypothesis
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _assignment as assignment

REPLICAS = [core.ReplicaId(f'r{number}') for number in range(60)]


def _members(names, state=core.MemberState.ALIVE):
    address = core.Address('127.0.0.1', 7003)
    return [
        core.Member(core.NodeId(name), address, 'd', state, 1)
        for name in names
    ]


def _owners(members, version=1):
    table = core.Assignment()
    core.update_assignment(table, version, members)
    return {item: core.find_owner(table, item) for item in REPLICAS}


@hypothesis.given(st.sets(st.integers(0, 50), min_size=2, max_size=12))
def test_loss_of_a_node_moves_only_its_replicas(numbers):
    """Losing one node must not reassign the replicas of the others."""
    names = [f'n{number}' for number in numbers]
    before = _owners(_members(names))
    after = _owners(_members(names[1:]))
    for replica_id, owner in before.items():
        assert owner == after[replica_id] or owner == names[0]


def test_owners_are_spread_and_the_order_of_members_does_not_matter():
    """Nodes with equal views must agree on the owner of a replica."""
    names = [f'n{number}' for number in range(6)]
    owners = _owners(_members(names))
    assert owners == _owners(_members(reversed(names)))
    assert set(owners.values()) == set(names)


def test_only_live_members_own_and_the_cache_follows_the_version():
    """A stale owner cache must not send new work to a leaving node."""
    table = core.Assignment()
    members = _members(['n1', 'n2', 'n3'])
    assert core.update_assignment(table, 1, members)
    owned = [item for item in REPLICAS if core.find_owner(table, item) == 'n1']
    members = _members(['n2', 'n3']) + _members(
        ['n1'], core.MemberState.LEAVING
    )
    assert not core.update_assignment(table, 1, members)
    assert core.update_assignment(table, 2, members)
    assert owned
    assert all(core.find_owner(table, item) != 'n1' for item in owned)
    assert len(table.watchers) == assignment.WATCHER_COUNT
    core.update_assignment(table, 3, [])
    assert core.find_owner(table, REPLICAS[0]) is None
    assert table.watchers == ()


@hypothesis.given(
    st.lists(st.sets(st.integers(0, 12), max_size=6), min_size=1, max_size=6)
)
def test_owners_depend_only_on_the_present_members(views):
    """A cached owner must give way to a new node with a higher hash."""
    table = core.Assignment()
    for version, numbers in enumerate(views):
        members = _members([f'n{number}' for number in sorted(numbers)])
        core.update_assignment(table, version, members)
        # As in a running node, only some owners are cached at each change.
        for replica_id in REPLICAS[:: version + 1]:
            core.find_owner(table, replica_id)
    found = {item: core.find_owner(table, item) for item in REPLICAS}
    assert found == _owners(members)
