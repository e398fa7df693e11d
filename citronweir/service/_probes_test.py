"""Tests of the probes with closures as the replica."""

import asyncio
import dataclasses
import random

import pytest

from citronweir import core
from citronweir.service import _probes as probes

NAME = core.ReplicaId('r0')
READY, FAILED = core.ReplicaState.READY, core.ReplicaState.FAILED
DRAINING = core.ReplicaState.DRAINING


@pytest.fixture(autouse=True)
def _no_spread(monkeypatch):
    monkeypatch.setattr(probes, 'SPREAD', 0.0)


def _probe(known, statuses, answered_at=None):
    """Probes once for each status and returns what was published."""
    table, published, left = core.ReplicaTable(), [], list(statuses)
    core.update_replica(table, known, 0.0)

    async def fetch_status(replica):
        status = left.pop(0)
        return status and dataclasses.replace(status, version=replica.version)

    def publish(replica):
        published.append(replica)
        core.update_replica(table, replica, 0.0)

    peers = probes.ProbeDependencies(
        lambda: 10.0,
        lambda: list(table.replicas.values()),
        table.replicas.get,
        fetch_status,
        lambda replica_id: answered_at,
        publish,
    )

    async def run():
        state = probes.Probes()
        for _ in statuses:
            await probes.probe_owned(state, peers, random.Random(1))

    asyncio.run(run())
    return table.replicas[NAME], published


def _replica(state=READY, epoch=2):
    address = core.Address('127.0.0.1', 1)
    return core.Replica(NAME, address, state, (), core.Epoch(epoch))


def test_replica_fails_by_probes_only_if_it_answers_nothing():
    """Guards against lost replicas whose status route alone is broken."""
    replica, published = _probe(_replica(), [None] * 4)
    assert replica.state is FAILED
    assert len(published) == 1
    replica, published = _probe(_replica(), [None] * 4, answered_at=8.0)
    assert replica.state is READY
    assert published == []
    replica, _ = _probe(_replica(), [None] * 3 + [_replica()])
    assert replica.state is READY


def test_drain_and_stale_status_within_an_epoch():
    """Guards against a stale status that undoes a drain."""
    statuses = [_replica(DRAINING), _replica(), _replica(epoch=1)]
    replica, published = _probe(_replica(), statuses)
    assert replica.state is DRAINING
    assert len(published) == 1


def test_new_epoch_is_a_rejoin():
    """Guards against a restarted replica that stays drained."""
    replica, _ = _probe(_replica(DRAINING), [_replica(epoch=3)])
    assert replica.state is READY
    assert replica.epoch == 3
