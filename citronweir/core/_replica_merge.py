"""Merge of replica records.

Records of a replica arrive in any order from its owner, from previous
owners and by gossip. The merge is commutative, associative and
idempotent, so that all nodes converge to the same record.
"""

import dataclasses

from citronweir.core import _data as data

_STATE_ORDER = tuple(data.ReplicaState)


def merge_replica(one: data.Replica, other: data.Replica) -> data.Replica:
    """Merges two records of one replica.

    The record of the higher epoch wins. Within an epoch, DRAINING is
    final regardless of the version, and all other fields come from the
    record of the higher version. The order of the arguments does not
    matter.

    Args:
        one: A record of the replica.
        other: Another record of the replica.

    Returns:
        The merged record.
    """
    if one.epoch != other.epoch:
        return max(one, other, key=lambda item: item.epoch)
    newer = max(one, other, key=_precedence)
    if data.ReplicaState.DRAINING in (one.state, other.state):
        return dataclasses.replace(newer, state=data.ReplicaState.DRAINING)
    return newer


def _precedence(replica):
    """Returns a sort key; the fields after the version break ties."""
    return (
        replica.version,
        replica.holdings,
        replica.slots,
        replica.max_conns,
        replica.address.host,
        replica.address.port,
        _STATE_ORDER.index(replica.state),
    )
