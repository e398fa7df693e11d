"""Tests of the wiring between front nodes."""

import types

from citronweir import core
from citronweir import nodes
from citronweir.programs import _front_nodes as front_nodes
from fakes import routes

DC = core.DataCentre('d1')
NODES = tuple(
    core.ListedNode(
        core.NodeId(f'n{number}'),
        core.Address('127.0.0.1', 1000 + number),
        DC,
        core.Incarnation(1),
    )
    for number in range(20)
)


def _make_context(*routes):
    table = types.SimpleNamespace(routes=routes)
    listed = core.NodeList()
    for node in NODES:
        core.upsert_node(listed, core.ConfigKey(node.node_id), node)
    directory = core.Directory()
    for name in {name for route in routes for name in route.shards}:
        replica = core.ListedReplica(
            core.ReplicaId(f'{name}-a'),
            name,
            core.Address('127.0.0.1', 1),
            DC,
            core.ListedState.READY,
        )
        core.update_entry(directory, replica)
    return types.SimpleNamespace(
        catalogue=types.SimpleNamespace(
            index=types.SimpleNamespace(table=table),
            directory=directory,
            nodes=listed,
        ),
        own=NODES[0],
        locality=core.Locality(DC, {DC: 'r1'}),
        links=None,
        plans={},
        plan_variant=0,
    )


def test_streams_to_owners_are_opened_before_the_first_request(monkeypatch):
    """Guards replicas against a burst of connections after a route change.

    Nodes without a stream to the owners asked every shard themselves.
    """
    opened = set()
    monkeypatch.setattr(
        nodes, 'keep_open', lambda links, address: opened.add(address)
    )
    ctx = _make_context(
        routes.make_gather_route(90), routes.make_gather_route(10)
    )
    front_nodes.open_owner_streams(ctx)
    owners = {
        node.address
        for group in front_nodes.plan_groups(ctx, routes.make_gather_route(90))
        for node in group.owners
    }
    assert owners
    assert opened == owners


def test_plans_of_removed_routes_are_dropped(monkeypatch):
    """Guards against plans and streams that outlive their route."""
    monkeypatch.setattr(nodes, 'keep_open', lambda links, address: None)
    ctx = _make_context(routes.make_gather_route(90))
    front_nodes.open_owner_streams(ctx)
    assert ctx.plans
    ctx.catalogue.index.table.routes = ()
    front_nodes.open_owner_streams(ctx)
    assert not ctx.plans
