"""Splits the shards of a route into groups that different nodes query.

Shards without a replica in the region of the request are queried by a node
of another region, which merges their parts there to reduce traffic between
regions. Routes with many shards are split within a region as well: the CPU
time of one node for hundreds of sub-requests would dominate the latency,
and a replica accepts fewer connections than there are nodes. The replicas
of a group and the nodes that query them are in one data centre, so only
merged answers leave it. The assignment of shards to nodes is kept stable,
because each change opens new connections.
"""

from collections import abc
import math

from citronweir.core import _assignment as assignment
from citronweir.core import _data as data
from citronweir.core import _placement as placement

# Shards that one node queries for a request. A sub-request takes 0.25 ms of
# CPU time, so on half a core this takes 16 ms of a latency target of about
# 100 ms; a hop to another node costs 2 ms and one more queue.
MAX_SHARDS_PER_GROUP = 32
# Smaller groups are not worth the messages of a hop to another node.
MIN_REMOTE_SHARDS = 3
# Regions that hold at least this share of the shards that the best region
# holds are used in rotation.
SIMILAR_SHARE = 0.8
# A data centre with more than this multiple of an even share of the shards is
# treated as holding all of them. Otherwise the number of groups would change
# with single replicas.
SKEW_FACTOR = 1.5
# Number of candidate nodes of a group; they are tried one after the other.
MAX_GROUP_OWNERS = 3

ListUsable = abc.Callable[[data.ServiceName], tuple[data.ListedReplica, ...]]


def plan_groups(
    route: data.Route,
    list_usable: ListUsable,
    nodes: abc.Iterable[data.ListedNode],
    own_id: data.NodeId,
    locality: placement.Locality,
    rotation: int = 0,
) -> tuple[data.ShardGroup, ...]:
    """Splits the shards of a route into groups.

    Args:
        route: Route with shards.
        list_usable: Lists the replicas of a service that accept requests.
        nodes: Nodes of all regions, including this one.
        own_id: Id of this node.
        locality: Location of this node.
        rotation: Counter that rotates among regions which hold similar
            numbers of the shards, to distribute the load.

    Returns:
        Groups that contain every shard exactly once.
    """
    own_region = locality.regions.get(locality.dc, '')
    by_region = _split_by_region(
        route, list_usable, locality, own_region, rotation
    )
    by_id = {node.node_id: node for node in nodes}
    groups, local = [], []
    for region, positions in by_region.items():
        if region == own_region and not is_grouped(route):
            local += positions
            continue
        positions_by_dc = _split_by_dc(
            route, positions, list_usable, region, locality
        )
        # Another node cannot query a shard without a replica either.
        local += set(positions).difference(*positions_by_dc.values())
        numbered_groups = list(
            _number_groups(positions_by_dc, route, region, locality)
        )
        if region != own_region:
            numbered_groups = _merge_small_groups(numbered_groups)
        candidates = _list_candidates(
            positions_by_dc, by_id.values(), region, locality
        )
        for dc, number, group in numbered_groups:
            ranked = rank_owners(route, dc, number, candidates[dc])
            if (
                len(group) < MIN_REMOTE_SHARDS
                or not ranked
                or own_id in ranked
            ):
                local += group
            else:
                owners = tuple(by_id[node_id] for node_id in ranked)
                groups.append(data.ShardGroup(group, owners))
    if local:
        groups.append(data.ShardGroup(tuple(sorted(local))))
    return tuple(groups)


def rank_owners(
    route: data.Route,
    dc: data.DataCentre,
    number: int,
    node_ids: abc.Iterable[data.NodeId],
) -> list[data.NodeId]:
    """Ranks the nodes that may query a group of shards, preferred first.

    Args:
        route: Route with shards.
        dc: Data centre of the replicas.
        number: Number of the group within the data centre.
        node_ids: Nodes to choose from.
    """
    name = f'{route.shards[0]}/{dc}/{number}'
    return assignment.rank_nodes(node_ids, name)[:MAX_GROUP_OWNERS]


def is_grouped(route: data.Route) -> bool:
    """Returns whether a route's shards are split among nodes of a region."""
    return len(route.shards) > MAX_SHARDS_PER_GROUP


def list_owned_shards(
    route: data.Route,
    list_usable: ListUsable,
    nodes: abc.Iterable[data.ListedNode],
    own_id: data.NodeId,
    locality: placement.Locality,
) -> list[int]:
    """Lists the shards of a route that this node queries for its region."""
    region = locality.regions.get(locality.dc, '')
    positions = range(len(route.shards))
    positions_by_dc = _split_by_dc(
        route, positions, list_usable, region, locality
    )
    candidates = _list_candidates(positions_by_dc, nodes, region, locality)
    return [
        position
        for dc, number, group in _number_groups(
            positions_by_dc, route, region, locality
        )
        if own_id in rank_owners(route, dc, number, candidates[dc])
        for position in group
    ]


def _split_by_region(route, list_usable, locality, own_region, rotation):
    """Assigns shards to this region, or else to the best-ranked holder."""
    regions_by_position = [
        {
            locality.regions.get(replica.dc, '')
            for replica in list_usable(service)
        }
        for service in route.shards
    ]
    ranked = _rank_regions(regions_by_position, own_region, rotation)
    by_region = {}
    for position, regions in enumerate(regions_by_position):
        region = own_region
        if own_region not in regions:
            region = next(
                (item for item in ranked if item in regions), own_region
            )
        by_region.setdefault(region, []).append(position)
    return by_region


def _rank_regions(regions_by_position, own_region, rotation):
    """Ranks other regions by how many shards missing here they hold."""
    counts = {}
    for regions in regions_by_position:
        if own_region not in regions:
            for region in regions:
                counts[region] = counts.get(region, 0) + 1
    ranked = sorted(counts, key=lambda item: (-counts[item], item))
    similar = [
        item
        for item in ranked
        if counts[item] >= SIMILAR_SHARE * counts[ranked[0]]
    ]
    offset = rotation % len(similar) if similar else 0
    return similar[offset:] + similar[:offset] + ranked[len(similar) :]


def _split_by_dc(route, positions, list_usable, region, locality):
    """Assigns each shard that a region holds to one data centre.

    Among several data centres the position of the shard decides. All nodes
    agree on it, and it does not depend on other shards.
    """
    positions_by_dc = {}
    for position in positions:
        dcs = sorted(
            {
                replica.dc
                for replica in list_usable(route.shards[position])
                if locality.regions.get(replica.dc, '') == region
            }
        )
        if dcs:
            positions_by_dc.setdefault(dcs[position % len(dcs)], []).append(
                position
            )
    return positions_by_dc


def _list_candidates(positions_by_dc, nodes, region, locality):
    """Lists the nodes that may query the replicas of each data centre.

    These are the nodes in that data centre; if there are none, those in
    data centres with other replicas of the region, and otherwise all nodes
    of the region.
    """
    in_region, by_dc = [], {}
    for node in nodes:
        if locality.regions.get(node.dc, '') == region:
            in_region.append(node.node_id)
            by_dc.setdefault(node.dc, []).append(node.node_id)
    near_replicas = [
        node_id for dc in positions_by_dc for node_id in by_dc.get(dc, ())
    ]
    return {
        dc: by_dc.get(dc) or near_replicas or in_region
        for dc in positions_by_dc
    }


def _merge_small_groups(numbered_groups):
    """Merges the small groups of another region into one group.

    A shard that is queried directly across regions transfers its whole
    reply, while the data centres of one region are close to each other.
    """
    large_groups = [
        item for item in numbered_groups if len(item[2]) >= MIN_REMOTE_SHARDS
    ]
    small_groups = [
        item for item in numbered_groups if len(item[2]) < MIN_REMOTE_SHARDS
    ]
    if (
        sum(len(group) for _, _, group in small_groups) < MIN_REMOTE_SHARDS
        and large_groups
    ):
        small_groups.append(large_groups.pop())
    if not small_groups:
        return large_groups
    dc, number, _ = small_groups[-1]
    merged = sorted(
        position for _, _, group in small_groups for position in group
    )
    return [*large_groups, (dc, number, tuple(merged))]


def _number_groups(positions_by_dc, route, region, locality):
    """Splits the positions of each data centre into numbered groups.

    A shard's group number follows from its position, not from which other
    shards are present, so that losing some replicas does not move other
    shards to other nodes. Dividing by the number of data centres keeps the
    groups even where alternating shards are in different data centres.
    """
    dcs = sum(item == region for item in locality.regions.values()) or 1
    for dc, positions in sorted(positions_by_dc.items()):
        count = _count_groups(route, len(positions), dcs)
        for number in range(count):
            group = tuple(
                position
                for position in positions
                if position // dcs % count == number
            )
            if group:
                yield dc, number, group


def _count_groups(route, shard_count, dcs):
    """Computes the number of groups of a data centre."""
    share = len(route.shards) / dcs
    if shard_count > SKEW_FACTOR * share:
        share = len(route.shards)
    return math.ceil(share / MAX_SHARDS_PER_GROUP)
