"""Tests of the wiring and the log of requests in a front node."""

import asyncio
import dataclasses
import random
import time
import types

import pytest

from citronweir import core
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _front_requests as requests
from fakes import platform_replica as replicas
from fakes import routes


def _log(monkeypatch, ctx, report):
    lines = []
    monkeypatch.setattr(
        telemetry, 'log', lambda event, **fields: lines.append((event, fields))
    )
    requests.make_request_recorder(ctx)(report)
    [line] = lines
    return line


def _make_context():
    return types.SimpleNamespace(
        catalogue=types.SimpleNamespace(
            index=None, directory=core.Directory()
        ),
        counters=telemetry.make_counters(),
        log_limits=telemetry.make_log_limits(),
    )


def test_log_line_of_a_failed_request_has_the_retry_policy(monkeypatch):
    """Without these fields no log line explains why there was no hedge."""
    route = routes.make_gather_route(2)
    reason = core.FailureReason.DEADLINE_PASSED
    report = service.RequestReport(
        core.RequestId('id'), route, core.Unanswered(reason), 0.4
    )
    event, fields = _log(monkeypatch, _make_context(), report)
    assert event is telemetry.Event.REQUEST_FAILED
    assert fields['attempts'] == route.max_attempts
    assert fields['repeat'] == route.repeat.value


def test_log_line_of_a_declined_request_names_services_without_a_replica(
    monkeypatch,
):
    """Without the names, 208 lines of a simulated day named no service."""
    reason = core.NotRunReason.NO_REPLICA
    report = service.RequestReport(
        core.RequestId('id'),
        routes.make_gather_route(2),
        core.Declined(reason, 1.0),
        0.0,
    )
    event, fields = _log(monkeypatch, _make_context(), report)
    assert event is telemetry.Event.REQUEST_DECLINED
    assert fields['lacking'] == 's0 s1'


@pytest.mark.parametrize(
    'route, latency',
    [
        (routes.make_gather_route(2), 1.0),
        # The replica is at work for longer than usual, as most are when a
        # caller gives up. No trial would show that it works.
        (
            dataclasses.replace(
                routes.make_gather_route(2),
                repeat=core.Idempotency.NON_IDEMPOTENT,
            ),
            0.01,
        ),
    ],
)
async def test_caller_that_leaves_does_not_take_its_replica_out_of_use(
    route, latency
):
    """Guards against replicas that count as stalled or failed for good.

    The abandoned request stayed among those in flight at the replica, or
    counted as its failure.
    """
    state = replicas.Replica('i-1', delay=5.0)
    server = await replicas.start(state)
    replica = core.ListedReplica(
        core.ReplicaId('i-1'),
        core.ServiceName('s0'),
        core.Address('127.0.0.1', server.sockets[0].getsockname()[1]),
        core.DataCentre('dc1'),
        core.ListedState.READY,
    )
    ctx = _make_context()
    ctx.channels = upstreams.Channels(time.monotonic)
    ctx.crash_reports = core.CrashReportTable()
    ctx.loads = {replica.replica_id: core.ReplicaLoad(latency, latency, 0.0)}
    ctx.extra = core.ExtraLoad(0.2, 56, 1)
    ctx.locality = core.Locality(replica.dc, {replica.dc: 'north'})
    ctx.rng, ctx.last_request_number = random.Random(1), 0
    ctx.own, ctx.windows, ctx.group_windows = None, {}, {}
    deps = requests.make_request_dependencies(ctx, None)
    req = core.HttpRequest(
        core.RequestId('id'), 'GET', 'a.example', '/a/', (), b'', 9.0
    )
    handle = deps.send(
        req,
        replica,
        route,
        time.monotonic() + 9.0,
        lambda outcome, seconds: None,
    )
    while not state.ran:
        await asyncio.sleep(0.01)
    deps.abandon(handle)
    load = ctx.loads[replica.replica_id]
    async with asyncio.timeout(2.0):
        while load.in_flight:
            await asyncio.sleep(0.01)
    # The caller left, so the replica has not failed.
    assert load.failures == 0
    upstreams.close_all(ctx.channels)
    server.close()
