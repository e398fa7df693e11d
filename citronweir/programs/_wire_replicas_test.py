"""Tests of how replicas are wired to the VM list."""

import random
import types

from citronweir import core
from citronweir import metastore
from citronweir import telemetry
from citronweir.programs import _wire_replicas as wire_replicas

ENTRIES = 500


async def test_a_long_vm_list_is_read_less_often(monkeypatch):
    """Guards against watchers that spend their time on the VM list."""
    own = core.Member(
        core.NodeId('n1'),
        core.Address('127.0.0.1', 7003),
        core.DataCentre('d1'),
        core.MemberState.ALIVE,
        core.Incarnation(1),
    )
    ctx = types.SimpleNamespace(
        cfg=types.SimpleNamespace(dc=own.dc, seeds=(), vms_url=''),
        assignment=core.Assignment(),
        membership=core.make_membership(
            own, (), core.merge_replica, random.Random(1), 0.0
        ),
        kv_session=None,
        metrics=telemetry.make_metrics(),
    )
    vms = [
        metastore.Vm(
            f'r{number}',
            metastore.VmRole.UPSTREAM,
            metastore.VmState.LIVE,
            core.DataCentre('d2'),
            core.Address('127.0.0.1', 9000),
        )
        for number in range(ENTRIES)
    ]
    now, reads = 100.0, []

    async def fetch(session, url):
        reads.append(now)
        return vms

    monkeypatch.setattr(metastore, 'fetch_vms', fetch)
    monkeypatch.setattr(
        wire_replicas, 'time', types.SimpleNamespace(monotonic=lambda: now)
    )
    run_round = wire_replicas.make_vm_list_round(ctx, None)
    for _ in range(40):
        await run_round()
        now += 0.125
    assert len(reads) == 10
    vms.clear()
    await run_round()
    now += 0.125
    await run_round()
    assert reads[-1] == now
