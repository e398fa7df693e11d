"""Tests which nodes watch the store and which ones receive its changes."""

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
def test_changes_of_both_watchers_reach_every_node(count):
    """Guards against a node that receives no configuration changes (G8)."""
    nodes = _list(count)
    everyone = [_node(number) for number in range(count)]
    watchers = [
        node
        for node in everyone
        if core.is_watcher(nodes, node.node_id, age=0.0)
    ]
    assert len(watchers) == min(count, node_lists.WATCHER_COUNT)
    for watcher in watchers:
        hops = _spread(nodes, watcher)
        assert hops.keys() == {node.node_id for node in everyone}
        assert max(hops.values()) <= 3


def _spread(nodes, watcher):
    """Simulates an announcement and returns the hops to each node."""
    hops = {watcher.node_id: 0}
    sent = [
        (watcher, node)
        for node in core.list_announcement_targets(nodes, watcher, REGIONS)
    ]
    for sender, node in sent:
        hops[node.node_id] = hops[sender.node_id] + 1
        following = core.list_forward_targets(nodes, node, REGIONS, sender.dc)
        sent += [(node, item) for item in following]
    assert len(hops) == 1 + len(sent), 'a node received it twice'
    return hops


def test_announcement_crosses_each_boundary_once():
    """Guards against sending a change between data centres more than once.

    A change can be tens of kilobytes, and the watcher used to send each
    batch to every node of the region itself.
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
    """Guards against one lost relay that cuts off its region (G8)."""
    nodes = _list(30)
    relays = []
    for number in range(30):
        node = _node(number)
        receivers = core.list_announcement_targets(nodes, node, REGIONS)
        relays += [item.node_id for item in receivers if item.dc != node.dc]
    assert len(relays) == len(set(relays)) >= 3


def test_node_without_a_confirmation_watches_itself():
    """Guards against the loss of both watchers (G8)."""
    nodes = _list(9)
    age = node_lists.CONFIRMATION_TIMEOUT + 0.1
    for number in range(9):
        assert core.is_watcher(nodes, _node(number).node_id, age)


def test_node_that_knows_no_other_node_watches():
    """Guards against a first node that waits for an announcement."""
    assert core.is_watcher(core.NodeList(), core.NodeId('n1'), 0.0)


def test_record_that_lapsed_may_return():
    """Guards against removing nodes when the store ends their leases early.

    With fewer nodes counted, each node would at once take a larger share of
    the extra load.
    """
    nodes = _list(4)
    core.mark_missing(nodes, (), 100.0)
    assert not core.expire_nodes(nodes, 100.0 + 0.9 * node_lists.REMOVAL_DELAY)
    core.upsert_node(nodes, core.ConfigKey('k0'), _node(0))
    gone = core.expire_nodes(nodes, 100.0 + node_lists.REMOVAL_DELAY)
    assert [node.node_id for node in gone] == ['n1', 'n2', 'n3']


def test_number_of_nodes_does_not_fall_with_their_records():
    """Guards against too many connections to a replica.

    Each node opens its share of them, which grows as fewer nodes are
    counted.
    """
    nodes = _list(8)
    own = core.NodeId('n0')
    assert core.count_nodes(nodes, own, 3, 60.0, 100.0) == 8
    core.mark_missing(nodes, (), 100.0)
    core.expire_nodes(nodes, 110.0)
    assert core.count_nodes(nodes, own, 3, 70.0, 110.0) == 8
    late = 100.0 + node_lists.PEAK_HOLD_TIME + 0.1
    assert core.count_nodes(nodes, own, 3, 170.0, late) == 1


def test_starting_node_assumes_others():
    """Guards replicas against starting nodes that each count only themselves.

    Each would open as many connections as if it were the only node.
    """
    count = core.count_nodes(core.NodeList(), core.NodeId('n0'), 3, 0.5, 0.5)
    assert count == 3 * node_lists.ASSUMED_NODES_PER_DC
