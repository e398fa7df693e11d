"""Splits the shards of a route into groups that different nodes ask.

A shard without a replica in the region of the request is asked by a node
of another region, which merges the parts there, so that few bytes cross.
Many shards are split among nodes of the region as well: the processor
time of one node for hundreds of sub-requests would be the latency, and
a replica accepts fewer connections than there are nodes. Each group stands
in one data centre, with the replicas and the nodes that ask them, so that
only merged answers leave it. Who asks which shards is steady, since each
change opens connections anew.
"""

from collections import abc
import math

from citronweir.core import _data as data
from citronweir.core import _placement as placement
from citronweir.core import _routing as routing

# Shards that one node asks for a request. At 0.25 ms of processor time
# for a sub-request on half a core this is 16 ms of a latency target of
# about 100 ms; a hop to another node costs 2 ms and another queue.
MAX_SHARDS = 32
# Shards from which a hop to another region is worth its messages.
MIN_REMOTE = 3
# Share of the largest region's shards from which another is as good.
ALIKE = 0.8
# Times an even share of the shards from which a data centre counts as
# holding them all. The number of groups must not follow single replicas.
UNEVEN = 1.5
# Nodes that may ask a group, one after the other.
OWNERS = 3

ListUsable = abc.Callable[[data.ServiceName], tuple[data.ListedReplica, ...]]


def plan_groups(
    route: data.Route,
    list_usable: ListUsable,
    nodes: abc.Iterable[data.ListedNode],
    own_id: data.NodeId,
    vantage: placement.Vantage,
    turn: int = 0,
) -> tuple[data.ShardGroup, ...]:
    """Splits the shards of a route into groups.

    Args:
        route: Route with shards.
        list_usable: Replicas of a service that take new requests.
        nodes: Nodes of all regions that may ask, with this one.
        own_id: This node.
        vantage: Where this node stands.
        turn: Number that rotates the choice among regions which hold
            about as many of the shards, so that each gets its part.

    Returns:
        Groups that together hold every shard once.
    """
    own = vantage.regions.get(vantage.dc, '')
    by_region = _split_by_region(route, list_usable, vantage, own, turn)
    by_id = {node.node_id: node for node in nodes}
    groups, local = [], []
    for region, positions in by_region.items():
        if region == own and not is_grouped(route):
            local += positions
            continue
        held = _split_by_dc(route, positions, list_usable, region, vantage)
        # Without a replica there is nobody to ask for another node.
        local += set(positions).difference(*held.values())
        chunks = list(_chunk(held, route, region, vantage))
        if region != own:
            chunks = _join_small(chunks)
        asking = _list_asking(held, by_id.values(), region, vantage)
        for dc, number, chunk in chunks:
            ranked = rank_owners(route, dc, number, asking[dc])
            if len(chunk) < MIN_REMOTE or not ranked or own_id in ranked:
                local += chunk
            else:
                owners = tuple(by_id[node_id] for node_id in ranked)
                groups.append(data.ShardGroup(chunk, owners))
    if local:
        groups.append(data.ShardGroup(tuple(sorted(local))))
    return tuple(groups)


def rank_owners(
    route: data.Route,
    dc: data.DataCentre,
    number: int,
    node_ids: abc.Iterable[data.NodeId],
) -> list[data.NodeId]:
    """Ranks the nodes that may ask a group of shards.

    Args:
        route: Route with shards.
        dc: Data centre of the replicas to ask.
        number: Number of the group.
        node_ids: Nodes to choose from.
    """
    name = f'{route.shards[0]}/{dc}/{number}'
    return routing.rank_nodes(node_ids, name)[:OWNERS]


def is_grouped(route: data.Route) -> bool:
    """Returns whether owners ask the shards of a route for all nodes."""
    return len(route.shards) > MAX_SHARDS


def list_owned(
    route: data.Route,
    list_usable: ListUsable,
    nodes: abc.Iterable[data.ListedNode],
    own_id: data.NodeId,
    vantage: placement.Vantage,
) -> list[int]:
    """Lists the shards of a route that this node asks for its region."""
    region = vantage.regions.get(vantage.dc, '')
    positions = range(len(route.shards))
    held = _split_by_dc(route, positions, list_usable, region, vantage)
    asking = _list_asking(held, nodes, region, vantage)
    return [
        place
        for dc, number, chunk in _chunk(held, route, region, vantage)
        if own_id in rank_owners(route, dc, number, asking[dc])
        for place in chunk
    ]


def _split_by_region(route, list_usable, vantage, own, turn):
    """Finds the region of each shard: this one, else one that many share."""
    choices = [
        {
            vantage.regions.get(replica.dc, '')
            for replica in list_usable(service)
        }
        for service in route.shards
    ]
    ranked = _rank_regions(choices, own, turn)
    by_region = {}
    for place, regions in enumerate(choices):
        region = own
        if own not in regions:
            region = next((item for item in ranked if item in regions), own)
        by_region.setdefault(region, []).append(place)
    return by_region


def _rank_regions(choices, own, turn):
    """Ranks the other regions by the shards that they hold for this one."""
    counts = {}
    for regions in choices:
        if own not in regions:
            for region in regions:
                counts[region] = counts.get(region, 0) + 1
    ranked = sorted(counts, key=lambda item: (-counts[item], item))
    alike = [
        item for item in ranked if counts[item] >= ALIKE * counts[ranked[0]]
    ]
    place = turn % len(alike) if alike else 0
    return alike[place:] + alike[:place] + ranked[len(alike) :]


def _split_by_dc(route, positions, list_usable, region, vantage):
    """Finds the data centre of each shard that a region holds.

    Where several hold a shard, its place decides, which is the same for
    all nodes and does not follow what other shards do.
    """
    held = {}
    for place in positions:
        dcs = sorted(
            {
                replica.dc
                for replica in list_usable(route.shards[place])
                if vantage.regions.get(replica.dc, '') == region
            }
        )
        if dcs:
            held.setdefault(dcs[place % len(dcs)], []).append(place)
    return held


def _list_asking(held, nodes, region, vantage):
    """Lists the nodes that may ask the replicas of each data centre.

    They stand there, or else beside other replicas of the region.
    """
    inside, by_dc = [], {}
    for node in nodes:
        if vantage.regions.get(node.dc, '') == region:
            inside.append(node.node_id)
            by_dc.setdefault(node.dc, []).append(node.node_id)
    beside = [node_id for dc in held for node_id in by_dc.get(dc, ())]
    return {dc: by_dc.get(dc) or beside or inside for dc in held}


def _join_small(chunks):
    """Joins what is left over of another region to one group.

    Each shard asked over the distance between regions costs its whole
    reply, while the data centres of one region are near to each other.
    """
    kept = [item for item in chunks if len(item[2]) >= MIN_REMOTE]
    small = [item for item in chunks if len(item[2]) < MIN_REMOTE]
    if sum(len(chunk) for _, _, chunk in small) < MIN_REMOTE and kept:
        small.append(kept.pop())
    if not small:
        return kept
    dc, number, _ = small[-1]
    joined = sorted(place for _, _, chunk in small for place in chunk)
    return [*kept, (dc, number, tuple(joined))]


def _chunk(held, route, region, vantage):
    """Splits places into numbered groups of each data centre.

    The number of a shard follows from its place alone, so that the loss
    of some replicas does not move the other shards to other nodes. Data
    centres that hold the shards by turns must still have groups alike.
    """
    dcs = sum(item == region for item in vantage.regions.values()) or 1
    for dc, positions in sorted(held.items()):
        count = _count_groups(route, len(positions), dcs)
        for number in range(count):
            chunk = tuple(
                place for place in positions if place // dcs % count == number
            )
            if chunk:
                yield dc, number, chunk


def _count_groups(route, positions, dcs):
    """Counts the groups of a data centre from an even share of the shards."""
    share = len(route.shards) / dcs
    if positions > UNEVEN * share:
        share = len(route.shards)
    return math.ceil(share / MAX_SHARDS)
