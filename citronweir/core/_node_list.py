"""Keeps the nodes of the system as their records in the store list them.

A record also disappears when the store ends its lease early, so a node
counts as gone only after it had time to write the record again.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data
from citronweir.core import _routing as routing

# A node renews its lease each 5 s and learns then that it has ended.
RETURN_TIME = 6.0  # seconds
# Nodes that watch the store for all: one, and one if that is lost.
WATCHERS = 2
# A node whose configuration was not confirmed for this time watches the
# store itself. With a second for the call, a change is in force within 3 s
# where both watchers are lost right before it.
CONFIRM_TIME = 1.6  # seconds
_WATCH_NAME = 'store watch'
# Nodes of another data centre that get what all should know: one, and one
# if that is lost.
RELAYS_INFORMED = 2


# For this time a node counts in the number of nodes after its record has
# gone: the store may take records away from nodes that still serve.
COUNT_TIME = 60.0  # seconds
# Nodes in each data centre that a starting node assumes until it has seen
# the list of the others for a while.
ASSUMED_NODES_PER_DC = 2
START_TIME = 10.0  # seconds


Regions = abc.Mapping[data.DataCentre, str]


@dataclasses.dataclass(slots=True)
class NodeList:
    """Nodes that are listed, or were a moment ago.

    Attributes:
        by_key: Node of each record.
        gone_at: Monotonic second at which a record that disappeared
            counts as gone.
        version: Grows with each change.
        peak: Largest number of nodes lately.
        peak_at: Monotonic second at which it was seen last.
    """

    by_key: dict[data.ConfigKey, data.ListedNode] = dataclasses.field(
        default_factory=dict
    )
    gone_at: dict[data.ConfigKey, float] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0
    peak: int = 0
    peak_at: float = 0.0


def upsert_node(
    nodes: NodeList, key: data.ConfigKey, node: data.ListedNode
) -> None:
    """Takes over a record that was written."""
    nodes.gone_at.pop(key, None)
    if nodes.by_key.get(key) != node:
        nodes.by_key[key] = node
        nodes.version += 1


def mark_missing(
    nodes: NodeList, listed: abc.Container[data.ConfigKey], now: float
) -> None:
    """Notes which records are no longer there.

    Args:
        nodes: Nodes of the system.
        listed: Keys of the records that are there.
        now: Monotonic clock, seconds.
    """
    for key in nodes.by_key:
        if key not in listed:
            nodes.gone_at.setdefault(key, now + RETURN_TIME)


def expire_nodes(nodes: NodeList, now: float) -> list[data.ListedNode]:
    """Drops the nodes that had their time to return.

    Returns:
        The nodes that are gone.
    """
    due = [key for key, at in nodes.gone_at.items() if at <= now]
    gone = []
    for key in due:
        del nodes.gone_at[key]
        gone.append(nodes.by_key.pop(key))
    nodes.version += bool(gone)
    return gone


def count_nodes(
    nodes: NodeList, own: data.NodeId, dcs: int, age: float, now: float
) -> int:
    """Counts the nodes that share what is bounded over all of them.

    Too small a number would let each node take too much: connections
    that a replica then resets, and extra load beyond the bound.

    Args:
        nodes: Nodes of the system.
        own: This node.
        dcs: Data centres of the system.
        age: Seconds since this node started.
        now: Monotonic clock, seconds.
    """
    count = 1 + len(list_others(nodes, own))
    if age < START_TIME:
        count = max(count, ASSUMED_NODES_PER_DC * dcs)
    if count >= nodes.peak or now - nodes.peak_at > COUNT_TIME:
        nodes.peak, nodes.peak_at = count, now
    return nodes.peak


def list_others(
    nodes: NodeList, own: data.NodeId
) -> tuple[data.ListedNode, ...]:
    """Lists the nodes but this one."""
    return tuple(node for node in nodes.by_key.values() if node.node_id != own)


def is_watcher(nodes: NodeList, own: data.NodeId, age: float) -> bool:
    """Decides whether a node watches the store.

    Args:
        nodes: Nodes of the system.
        own: The node.
        age: Seconds since its configuration was confirmed.
    """
    if age > CONFIRM_TIME:
        return True
    return own in list_watchers(nodes, own)


def list_watchers(nodes: NodeList, own: data.NodeId) -> list[data.NodeId]:
    """Lists the nodes that watch the store for all.

    A node counts itself before its record is listed: with nobody else in
    sight it must not wait for an announcement.
    """
    ids = {node.node_id for node in nodes.by_key.values()} | {own}
    return routing.rank_nodes(ids, _WATCH_NAME)[:WATCHERS]


def list_announcement_targets(
    nodes: NodeList, own: data.ListedNode, regions: Regions
) -> list[data.ListedNode]:
    """Lists the nodes to which a watcher sends what it read.

    A change of the configuration can be tens of kilobytes, and bytes
    between data centres cost. So one node of each other region, and of
    each other data centre of this region, gets it and passes it on. The
    two watchers use different ones, and a node that hears of neither reads
    the store itself.

    Args:
        nodes: Nodes of the system.
        own: This node.
        regions: Region of each data centre.
    """
    watchers = list_watchers(nodes, own.node_id)
    if own.node_id not in watchers:
        return []
    place = watchers.index(own.node_id)
    others = list_others(nodes, own.node_id)
    region = regions.get(own.dc, '')
    far = {}
    for node in others:
        if regions.get(node.dc, '') != region:
            far.setdefault(regions.get(node.dc, ''), []).append(node)
    relays = [_choose_relay(far[name], name, place) for name in far]
    return [*_list_in_region(others, own, regions, place), *relays]


def list_forward_targets(
    nodes: NodeList,
    own: data.ListedNode,
    regions: Regions,
    sender: data.DataCentre,
) -> list[data.ListedNode]:
    """Lists the nodes to which a node passes on what it was sent.

    Args:
        nodes: Nodes of the system.
        own: This node.
        regions: Region of each data centre.
        sender: Data centre of the node that sent it.
    """
    if sender == own.dc:
        return []
    others = list_others(nodes, own.node_id)
    region = regions.get(own.dc, '')
    if regions.get(sender, '') == region:
        return [node for node in others if node.dc == own.dc]
    members = [
        node.node_id for node in others if regions.get(node.dc, '') == region
    ]
    ranked = _rank_relays([*members, own.node_id], region)
    return _list_in_region(others, own, regions, ranked.index(own.node_id))


def _list_in_region(others, own, regions, place):
    """Lists the nodes beside this one and a relay of each neighbour."""
    region = regions.get(own.dc, '')
    beside, by_dc = [], {}
    for node in others:
        if node.dc == own.dc:
            beside.append(node)
        elif regions.get(node.dc, '') == region:
            by_dc.setdefault(node.dc, []).append(node)
    return beside + [_choose_relay(by_dc[dc], dc, place) for dc in by_dc]


def _choose_relay(members, name, place):
    by_id = {node.node_id: node for node in members}
    ranked = _rank_relays(by_id, name)
    return by_id[ranked[place % len(ranked)]]


def _rank_relays(node_ids, name):
    """Ranks the nodes of a region or data centre that may pass on."""
    return routing.rank_nodes(node_ids, f'{_WATCH_NAME}/{name}')


def list_in_data_centre(
    nodes: NodeList, own: data.ListedNode
) -> list[data.ListedNode]:
    """Lists the other nodes of this node's data centre."""
    others = list_others(nodes, own.node_id)
    return [node for node in others if node.dc == own.dc]


def list_broadcast_targets(
    nodes: NodeList, own: data.ListedNode
) -> list[data.ListedNode]:
    """Lists the nodes to which any node sends what all should know.

    These are the nodes of its data centre and some of each other one, which
    pass it on there. Nodes that none of them reaches hear it from others
    at random.
    """
    by_dc = {}
    for node in list_others(nodes, own.node_id):
        by_dc.setdefault(node.dc, []).append(node)
    informed = by_dc.pop(own.dc, [])
    for dc, members in by_dc.items():
        by_id = {node.node_id: node for node in members}
        ranked = _rank_relays(by_id, dc)
        informed += [by_id[node_id] for node_id in ranked[:RELAYS_INFORMED]]
    return informed


def list_in_region(
    nodes: NodeList, own: data.ListedNode, regions: Regions
) -> list[data.ListedNode]:
    """Lists the other nodes of this node's region."""
    region = regions.get(own.dc, '')
    return [
        node
        for node in list_others(nodes, own.node_id)
        if regions.get(node.dc, '') == region
    ]
