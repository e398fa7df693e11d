"""Tests of who watches the store and who hears of it."""

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _node_list as node_lists

DCS = 6
REGIONS = {
    core.DataCentre(f'd{number}'): f'r{number % 3}' for number in range(DCS)
}


def _node(number):
    return core.ListedNode(
        core.NodeId(f'n{number}'),
        core.Address('127.0.0.1', number),
        core.DataCentre(f'd{number % DCS}'),
        core.Incarnation(1),
    )


def _list(count):
    nodes = core.NodeList()
    for number in range(count):
        core.upsert_node(nodes, core.ConfigKey(f'k{number}'), _node(number))
    return nodes


@given(st.integers(1, 60))
def test_two_nodes_watch_and_every_node_hears_of_each(count):
    """Guards G8: what a watcher reads reaches every node."""
    nodes = _list(count)
    everyone = [_node(number) for number in range(count)]
    watchers = [
        node
        for node in everyone
        if core.is_watcher(nodes, node.node_id, age=0.0)
    ]
    assert len(watchers) == min(count, node_lists.WATCHERS)
    for watcher in watchers:
        hops = _spread(nodes, watcher)
        assert hops.keys() == {node.node_id for node in everyone}
        assert max(hops.values()) <= 3


def _spread(nodes, watcher):
    """Plays an announcement and returns the hops to each node."""
    hops = {watcher.node_id: 0}
    sent = [
        (watcher, node)
        for node in core.list_announcement_targets(nodes, watcher, REGIONS)
    ]
    for sender, node in sent:
        hops[node.node_id] = hops[sender.node_id] + 1
        following = core.list_forward_targets(nodes, node, REGIONS, sender.dc)
        sent += [(node, item) for item in following]
    assert len(hops) == 1 + len(sent), 'a node hears of it twice'
    return hops


def test_announcement_crosses_each_boundary_once():
    """Guards bytes between data centres: a change is tens of kilobytes.

    Every node of the region was sent each batch by the watcher itself.
    """
    nodes = _list(60)
    for number in range(60):
        crossing = [
            node
            for node in core.list_announcement_targets(
                nodes, _node(number), REGIONS
            )
            if node.dc != _node(number).dc
        ]
        assert len(crossing) in (0, 3)


def test_watchers_reach_other_regions_through_different_nodes():
    """Guards G8 against one lost node that cuts off its region."""
    nodes = _list(30)
    relays = []
    for number in range(30):
        node = _node(number)
        receivers = core.list_announcement_targets(nodes, node, REGIONS)
        relays += [item.node_id for item in receivers if item.dc != node.dc]
    assert len(relays) == len(set(relays)) >= 3


def test_node_without_a_confirmation_watches_itself():
    """Guards G8 against the loss of both watchers."""
    nodes = _list(9)
    late = node_lists.CONFIRM_TIME + 0.1
    for number in range(9):
        assert core.is_watcher(nodes, _node(number).node_id, late)


def test_node_alone_in_sight_watches():
    """Guards the start: nobody else announces anything yet."""
    assert core.is_watcher(core.NodeList(), core.NodeId('n1'), 0.0)


def test_record_that_lapsed_may_return():
    """Guards the number of nodes against a store that drops its leases.

    Each node would take a larger part of the extra load at once.
    """
    nodes = _list(4)
    core.mark_missing(nodes, (), 100.0)
    assert not core.expire_nodes(nodes, 100.0 + 0.9 * node_lists.RETURN_TIME)
    core.upsert_node(nodes, core.ConfigKey('k0'), _node(0))
    gone = core.expire_nodes(nodes, 100.0 + node_lists.RETURN_TIME)
    assert [node.node_id for node in gone] == ['n1', 'n2', 'n3']


def test_number_of_nodes_does_not_fall_with_their_records():
    """Guards replicas: too few nodes would open too many connections."""
    nodes = _list(8)
    own = core.NodeId('n0')
    assert core.count_nodes(nodes, own, 3, 60.0, 100.0) == 8
    core.mark_missing(nodes, (), 100.0)
    core.expire_nodes(nodes, 110.0)
    assert core.count_nodes(nodes, own, 3, 70.0, 110.0) == 8
    late = 100.0 + node_lists.COUNT_TIME + 0.1
    assert core.count_nodes(nodes, own, 3, 170.0, late) == 1


def test_starting_node_assumes_others():
    """Guards replicas against many nodes that each think they are alone."""
    count = core.count_nodes(core.NodeList(), core.NodeId('n0'), 3, 0.5, 0.5)
    assert count == 3 * node_lists.ASSUMED_NODES_PER_DC
