"""Tracks the nodes of the system that have a record in the store.

The store may also delete a record because it ended the lease early, so a
node is removed only after it had time to write the record again.
"""

from collections import abc
import dataclasses

from citronweir.core import _assignment as assignment
from citronweir.core import _data as data

# A node renews its lease every 5 s and then notices that it has ended.
REMOVAL_DELAY = 6.0  # seconds
# Nodes that watch the store on behalf of all nodes; the second one covers
# the loss of the first.
WATCHER_COUNT = 2
# A node whose configuration was not confirmed for this time watches the
# store itself. With 1 s for the call, a change takes effect within 3 s even
# if both watchers are lost right before it.
CONFIRMATION_TIMEOUT = 1.6  # seconds
_WATCH_NAME = 'store watch'
# Nodes of another data centre that receive a broadcast and forward it there;
# the second one covers the loss of the first.
RELAYS_PER_DC = 2
# How long the node count stays at its peak after records have disappeared:
# the store may delete records of nodes that still serve.
PEAK_HOLD_TIME = 60.0  # seconds
# Number of nodes per data centre that a starting node assumes, since its
# list of the other nodes may be incomplete for STARTUP_TIME.
ASSUMED_NODES_PER_DC = 2
STARTUP_TIME = 10.0  # seconds


Regions = abc.Mapping[data.DataCentre, str]


@dataclasses.dataclass(slots=True)
class NodeList:
    """Nodes that have a record or lost it within the removal delay.

    Attributes:
        by_key: Node of each record.
        removal_due_at: Monotonic time at which the node of a missing
            record is removed, seconds.
        version: Increases with each change.
        peak: Largest recent number of nodes.
        peak_at: Monotonic time at which the peak was last reached, seconds.
    """

    by_key: dict[data.ConfigKey, data.ListedNode] = dataclasses.field(
        default_factory=dict
    )
    removal_due_at: dict[data.ConfigKey, float] = dataclasses.field(
        default_factory=dict
    )
    version: int = 0
    peak: int = 0
    peak_at: float = 0.0


def upsert_node(
    nodes: NodeList, key: data.ConfigKey, node: data.ListedNode
) -> None:
    """Adds or updates the node of a written record."""
    nodes.removal_due_at.pop(key, None)
    if nodes.by_key.get(key) != node:
        nodes.by_key[key] = node
        nodes.version += 1


def mark_missing(
    nodes: NodeList, listed: abc.Container[data.ConfigKey], now: float
) -> None:
    """Schedules the removal of nodes whose records are missing.

    Args:
        nodes: Nodes of the system.
        listed: Keys of the existing records.
        now: Monotonic time, seconds.
    """
    for key in nodes.by_key:
        if key not in listed:
            nodes.removal_due_at.setdefault(key, now + REMOVAL_DELAY)


def expire_nodes(nodes: NodeList, now: float) -> list[data.ListedNode]:
    """Removes the nodes whose records have been missing for too long.

    Returns:
        The removed nodes.
    """
    due = [key for key, at in nodes.removal_due_at.items() if at <= now]
    removed = []
    for key in due:
        del nodes.removal_due_at[key]
        removed.append(nodes.by_key.pop(key))
    nodes.version += bool(removed)
    return removed


def count_nodes(
    nodes: NodeList, own: data.NodeId, dcs: int, age: float, now: float
) -> int:
    """Counts the nodes among which system-wide limits are divided.

    If the count is too low, each node takes too large a share: it opens
    connections that a replica then resets, and causes more extra load than
    the limit allows.

    Args:
        nodes: Nodes of the system.
        own: This node.
        dcs: Number of data centres in the system.
        age: Seconds since this node started.
        now: Monotonic time, seconds.
    """
    count = 1 + len(list_others(nodes, own))
    if age < STARTUP_TIME:
        count = max(count, ASSUMED_NODES_PER_DC * dcs)
    if count >= nodes.peak or now - nodes.peak_at > PEAK_HOLD_TIME:
        nodes.peak, nodes.peak_at = count, now
    return nodes.peak


def list_others(
    nodes: NodeList, own: data.NodeId
) -> tuple[data.ListedNode, ...]:
    """Lists all nodes except this one."""
    return tuple(node for node in nodes.by_key.values() if node.node_id != own)


def is_watcher(nodes: NodeList, own: data.NodeId, age: float) -> bool:
    """Returns whether this node watches the store.

    Args:
        nodes: Nodes of the system.
        own: This node.
        age: Seconds since its configuration was confirmed.
    """
    if age > CONFIRMATION_TIMEOUT:
        return True
    return own in list_watchers(nodes, own)


def list_watchers(nodes: NodeList, own: data.NodeId) -> list[data.NodeId]:
    """Lists the nodes that watch the store on behalf of all nodes.

    A node includes itself even before its record is listed: if it knows no
    other node, it must not wait for an announcement.
    """
    ids = {node.node_id for node in nodes.by_key.values()} | {own}
    return assignment.rank_nodes(ids, _WATCH_NAME)[:WATCHER_COUNT]


def list_announcement_targets(
    nodes: NodeList, own: data.ListedNode, regions: Regions
) -> list[data.ListedNode]:
    """Lists the nodes to which a watcher sends the changes that it reads.

    A configuration change can be tens of kilobytes, and traffic between
    data centres is expensive. Therefore only one node in each other region,
    and in each other data centre of this region, receives the change and
    forwards it. The two watchers use different relays, and a node that
    receives nothing from either reads the store itself.

    Args:
        nodes: Nodes of the system.
        own: This node.
        regions: Region of each data centre.
    """
    watchers = list_watchers(nodes, own.node_id)
    if own.node_id not in watchers:
        return []
    relay_rank = watchers.index(own.node_id)
    others = list_others(nodes, own.node_id)
    region = regions.get(own.dc, '')
    by_region = {}
    for node in others:
        if regions.get(node.dc, '') != region:
            by_region.setdefault(regions.get(node.dc, ''), []).append(node)
    relays = [
        _choose_relay(by_region[name], name, relay_rank) for name in by_region
    ]
    return [*_list_region_targets(others, own, regions, relay_rank), *relays]


def list_forward_targets(
    nodes: NodeList,
    own: data.ListedNode,
    regions: Regions,
    sender: data.DataCentre,
) -> list[data.ListedNode]:
    """Lists the nodes to which this node forwards a received change.

    Args:
        nodes: Nodes of the system.
        own: This node.
        regions: Region of each data centre.
        sender: Data centre of the node that sent the change.
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
    return _list_region_targets(
        others, own, regions, ranked.index(own.node_id)
    )


def _list_region_targets(others, own, regions, relay_rank):
    """Lists the local nodes and one relay in each other data centre.

    Only data centres of this node's region are included.
    """
    region = regions.get(own.dc, '')
    local, by_dc = [], {}
    for node in others:
        if node.dc == own.dc:
            local.append(node)
        elif regions.get(node.dc, '') == region:
            by_dc.setdefault(node.dc, []).append(node)
    return local + [_choose_relay(by_dc[dc], dc, relay_rank) for dc in by_dc]


def _choose_relay(members, name, relay_rank):
    by_id = {node.node_id: node for node in members}
    ranked = _rank_relays(by_id, name)
    return by_id[ranked[relay_rank % len(ranked)]]


def _rank_relays(node_ids, name):
    """Ranks the nodes of a region or data centre as relays."""
    return assignment.rank_nodes(node_ids, f'{_WATCH_NAME}/{name}')


def list_in_data_centre(
    nodes: NodeList, own: data.ListedNode
) -> list[data.ListedNode]:
    """Lists the other nodes of this node's data centre."""
    others = list_others(nodes, own.node_id)
    return [node for node in others if node.dc == own.dc]


def list_broadcast_targets(
    nodes: NodeList, own: data.ListedNode
) -> list[data.ListedNode]:
    """Lists the nodes to which this node sends a broadcast.

    These are the nodes of its data centre and a few relays in each other
    one, which forward it there. Nodes that no relay reaches receive it by
    random exchange with other nodes.
    """
    by_dc = {}
    for node in list_others(nodes, own.node_id):
        by_dc.setdefault(node.dc, []).append(node)
    targets = by_dc.pop(own.dc, [])
    for dc, members in by_dc.items():
        by_id = {node.node_id: node for node in members}
        ranked = _rank_relays(by_id, dc)
        targets += [by_id[node_id] for node_id in ranked[:RELAYS_PER_DC]]
    return targets


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
