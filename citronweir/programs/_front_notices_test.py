"""Tests of what a front node does with notices of replicas."""

import random
import time
import types

import pytest

from citronweir import core
from citronweir import nodes
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _front_notices as notices
from citronweir.programs import _front_requests as requests

SERVICE = core.ServiceName('s')
ANYWHERE = frozenset()
DC = core.DataCentre('dc1')
OTHER_DC = core.DataCentre('dc2')


def _make_node(name, dc=DC):
    return core.ListedNode(
        core.NodeId(name), core.Address(name, 1), dc, core.Incarnation(1)
    )


OWN, PEER, FAR = _make_node('n1'), _make_node('n2'), _make_node('n3', OTHER_DC)


def _make_replica(name):
    return core.ListedReplica(
        core.ReplicaId(name),
        SERVICE,
        core.Address('127.0.0.1', 1),
        DC,
        core.ListedState.READY,
        epoch=core.Epoch(5),
    )


A, B = _make_replica('a'), _make_replica('b')


@pytest.fixture(name='ctx')
def _ctx(monkeypatch):
    """Provides the state of a node that knows two replicas and two nodes."""
    catalogue = service.Catalogue()
    for replica in (A, B):
        core.update_entry(catalogue.directory, replica)
    for node in (PEER, FAR):
        key = core.ConfigKey(node.node_id)
        core.upsert_node(catalogue.nodes, key, node)
    ctx = types.SimpleNamespace(
        catalogue=catalogue,
        own=OWN,
        links=None,
        rng=random.Random(1),
        channels=upstreams.Channels(time.monotonic),
        counters=telemetry.make_counters(),
        log_limits=telemetry.make_log_limits(),
        locality=core.Locality(DC, {DC: 'north', OTHER_DC: 'south'}),
        loads={},
        pauses={},
        extra=None,
        windows={},
        group_windows={},
        sent=[],
    )
    monkeypatch.setattr(
        nodes,
        'send_departures',
        lambda links, address, rows: ctx.sent.append((address.host, rows)),
    )
    return ctx


def _list_ids(ctx):
    return [item.replica_id for item in notices.list_available(ctx, SERVICE)]


def test_leaving_replica_is_out_of_every_choice_and_announced(ctx):
    """Guards G6 in first attempts, hedges, retries and trials.

    All of them take their replicas from these two functions.
    """
    deps = requests.make_request_dependencies(ctx, None)
    for replica in (A, B):
        load = core.ReplicaLoad(0.01, 1.0, -100.0)  # slow, due for a trial
        ctx.loads[replica.replica_id] = load
    notice = core.ReplicaNotice(is_leaving=True)
    notices.receive_notice(ctx, A, notice)
    notices.receive_notice(ctx, A, notice)
    assert _list_ids(ctx) == ['b']
    assert deps.choose(SERVICE, (), ANYWHERE)[0] == B
    assert deps.choose(SERVICE, {'b'}, ANYWHERE) is None
    assert deps.choose_trial(SERVICE, {'b'}, ANYWHERE) is None
    assert deps.list_usable(SERVICE, ANYWHERE) == (B,)
    rows = (core.Departure(A.replica_id, A.epoch),)
    assert sorted(ctx.sent) == [('n2', rows), ('n3', rows)]


def test_paused_replica_is_out_of_every_choice_but_known(ctx):
    """Guards a replica that asked this node, and no other, for a pause."""
    deps = requests.make_request_dependencies(ctx, None)
    ctx.loads[A.replica_id] = core.ReplicaLoad(0.01, 1.0, -100.0)
    notices.receive_notice(ctx, A, core.ReplicaNotice(pause=9.0))
    assert _list_ids(ctx) == ['b']
    assert deps.choose(SERVICE, {'b'}, ANYWHERE) is None
    assert deps.choose_trial(SERVICE, {'b'}, ANYWHERE) is None
    assert deps.list_usable(SERVICE, ANYWHERE) == (A, B)
    assert deps.find_pause(SERVICE, ANYWHERE) == 0.0
    notices.receive_notice(ctx, B, core.ReplicaNotice(pause=3.0))
    assert 2.9 < deps.find_pause(SERVICE, ANYWHERE) < 3.4
    assert not ctx.sent


def test_departures_of_a_far_node_are_forwarded_once(ctx):
    """Guards nodes of this data centre that the far node does not reach."""
    rows = (core.Departure(A.replica_id, A.epoch),)
    notices.receive_departures(ctx, OTHER_DC, rows)
    notices.receive_departures(ctx, OTHER_DC, rows)
    assert ctx.sent == [('n2', rows)]
    assert _list_ids(ctx) == ['b']
    ctx.sent.clear()
    notices.push_departures(ctx)
    assert len(ctx.sent) == 1


def test_malformed_load_is_counted(ctx):
    """Guards against a load format that nobody notices is unreadable."""
    notices.receive_notice(ctx, A, core.ReplicaNotice(has_malformed_load=True))
    text = telemetry.render(ctx.counters, {})
    assert b'citronweir_malformed_loads_total 1' in text
