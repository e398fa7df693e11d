"""Selects the replicas that nodes may use for one shard of a request.

A node that queries shards for another one and the node that asked it send
attempts independently, since each may be silent to the other. Together they
must not reach more replicas of a shard than the route allows. Both therefore
compute the same set of replicas from the request id, and use no others.
"""

from collections import abc

import xxhash

from citronweir.core import _data as data


def list_excluded(
    replicas: abc.Collection[data.ListedReplica],
    regions: abc.Mapping[data.DataCentre, str],
    owner_dc: data.DataCentre,
    request_id: data.RequestId,
    max_attempts: int,
) -> frozenset[data.ReplicaId]:
    """Lists the replicas of a shard that a request must not use.

    Replicas in the region of the node that queries the shard are used first.
    Among those of one region, each request uses different ones.

    Args:
        replicas: Usable replicas of the shard.
        regions: Region of each data centre.
        owner_dc: Data centre of the node that queries the shard.
        request_id: Id of the request, the same on both nodes.
        max_attempts: Maximum number of replicas for one shard of a request.
    """
    if len(replicas) <= max_attempts:
        return frozenset()
    region = regions.get(owner_dc)

    def rank(replica):
        text = f'{replica.replica_id}\0{request_id}'
        weight = xxhash.xxh64_intdigest(text.encode(errors='surrogatepass'))
        return regions.get(replica.dc) != region, weight, replica.replica_id

    ranked = sorted(replicas, key=rank)
    return frozenset(item.replica_id for item in ranked[max_attempts:])
