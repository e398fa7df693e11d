"""Reads the state of a node for the gauges of the metrics port."""

import collections
from collections import abc

from citronweir import core
from citronweir import nodes
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _parts as parts_


def list_gauges(
    parts: parts_.Parts,
    config_peers: service.ConfigDependencies,
    node_server: nodes.Server,
    tracing: telemetry.Tracing,
) -> abc.Iterator[telemetry.Gauge]:
    """Lists the present values of a node's state.

    Args:
        parts: State of the node.
        config_peers: What the configuration needs from outside.
        node_server: Listener for other nodes.
        tracing: Tracer of the process.

    Yields:
        The gauges, those of one name in succession.
    """
    gauge = telemetry.Gauge
    age = service.config_age(config_peers, parts.config)
    yield gauge('config_age_seconds', age)
    yield gauge('config_revision', parts.config.state.complete_to)
    for member_state in core.MemberState:
        members = core.list_members(parts.membership, member_state)
        labels = {'state': member_state.value}
        yield gauge('members', len(members), labels)
    replicas = collections.Counter(
        replica.state for replica in parts.table.replicas.values()
    )
    for replica_state in core.ReplicaState:
        labels = {'state': replica_state.value}
        yield gauge('replicas', replicas[replica_state], labels)
    yield gauge('owned_replicas', len(parts.owner.replicas))
    for rank, count in _count_queued(parts.owner).items():
        yield gauge('queue_length', count, {'rank': rank.value})
    suspects = collections.Counter(
        record.state for record in parts.suspects.records.values()
    )
    for suspect_state in core.SuspectState:
        labels = {'state': suspect_state.value}
        yield gauge('suspects', suspects[suspect_state], labels)
    streams = {
        'in': len(node_server.conns),
        'out': nodes.count_open(parts.links),
    }
    for direction, count in streams.items():
        yield gauge('open_streams', count, {'direction': direction})
    yield gauge('dropped_spans', tracing.dropped_total)


def _count_queued(owner):
    return {
        rank: sum(
            len(owned.queue.waiting[rank]) for owned in owner.replicas.values()
        )
        for rank in core.Rank
    }
