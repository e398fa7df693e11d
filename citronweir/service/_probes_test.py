"""Tests of the probes, with functions in place of the replica."""

import asyncio
import dataclasses
import random

import pytest

from citronweir import core
from citronweir.service import _probes as probes

REPLICA_ID = core.ReplicaId('r0')
READY, FAILED = core.ReplicaState.READY, core.ReplicaState.FAILED
DRAINING = core.ReplicaState.DRAINING


@pytest.fixture(autouse=True)
def _no_probe_delay(monkeypatch):
    monkeypatch.setattr(probes, 'MAX_PROBE_DELAY', 0.0)


def _probe_repeatedly(known, statuses, answered_at=None):
    """Probes once per status; returns the last and all published records."""
    table, published, remaining = core.ReplicaTable(), [], list(statuses)
    core.update_replica(table, known, 0.0)

    async def fetch_status(replica):
        status = remaining.pop(0)
        return status and dataclasses.replace(status, version=replica.version)

    def publish(replica):
        published.append(replica)
        core.update_replica(table, replica, 0.0)

    deps = probes.ProbeDependencies(
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
            await probes.probe_owned(state, deps, random.Random(1))

    asyncio.run(run())
    return table.replicas[REPLICA_ID], published


def _replica(state=READY, epoch=2):
    address = core.Address('127.0.0.1', 1)
    return core.Replica(REPLICA_ID, address, state, (), core.Epoch(epoch))


def test_replica_fails_by_probes_only_if_it_answers_nothing():
    """Guards against failing replicas of which only the status is broken."""
    replica, published = _probe_repeatedly(_replica(), [None] * 4)
    assert replica.state is FAILED
    assert len(published) == 1
    replica, published = _probe_repeatedly(
        _replica(), [None] * 4, answered_at=8.0
    )
    assert replica.state is READY
    assert published == []
    replica, _ = _probe_repeatedly(_replica(), [None] * 3 + [_replica()])
    assert replica.state is READY


def test_drain_and_stale_status_within_an_epoch():
    """Guards against a stale status that undoes a drain."""
    statuses = [_replica(DRAINING), _replica(), _replica(epoch=1)]
    replica, published = _probe_repeatedly(_replica(), statuses)
    assert replica.state is DRAINING
    assert len(published) == 1


def test_new_epoch_is_a_rejoin():
    """Guards against a restarted replica that stays drained."""
    replica, _ = _probe_repeatedly(_replica(DRAINING), [_replica(epoch=3)])
    assert replica.state is READY
    assert replica.epoch == 3
