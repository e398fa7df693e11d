"""Computes the gauges of a node for the metrics port."""

import collections
from collections import abc

from citronweir import core
from citronweir import nodes
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _node_context as contexts


def list_gauges(
    ctx: contexts.NodeContext,
    config_deps: service.ConfigDependencies,
    node_server: nodes.Server,
    tracing: telemetry.Tracing,
) -> abc.Iterator[telemetry.Gauge]:
    """Lists the current values of a node's state.

    Args:
        ctx: State of the node.
        config_deps: Dependencies of the configuration flows.
        node_server: Listener for other nodes.
        tracing: Tracer of the process.

    Yields:
        The gauges, grouped by name.
    """
    gauge = telemetry.Gauge
    age = service.config_age(config_deps, ctx.config)
    yield gauge('config_age_seconds', age)
    yield gauge('config_revision', ctx.config.state.complete_to)
    for member_state in core.MemberState:
        members = core.list_members(ctx.membership, member_state)
        labels = {'state': member_state.value}
        yield gauge('members', len(members), labels)
    replicas = collections.Counter(
        replica.state for replica in ctx.table.replicas.values()
    )
    for replica_state in core.ReplicaState:
        labels = {'state': replica_state.value}
        yield gauge('replicas', replicas[replica_state], labels)
    yield gauge('owned_replicas', len(ctx.owner.replicas))
    for rank, count in _count_queued(ctx.owner).items():
        yield gauge('queue_length', count, {'rank': rank.value})
    suspects = collections.Counter(
        record.state for record in ctx.suspects.records.values()
    )
    for suspect_state in core.SuspectState:
        labels = {'state': suspect_state.value}
        yield gauge('suspects', suspects[suspect_state], labels)
    streams = {
        'in': len(node_server.conns),
        'out': nodes.count_open(ctx.links),
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
