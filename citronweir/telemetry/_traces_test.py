"""Tests of spans and their export."""

import asyncio
import threading

import aiohttp
from aiohttp import web
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
import pytest

from citronweir import core
from citronweir import telemetry
from citronweir.telemetry import _traces as traces

TRACE = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0'


@pytest.fixture(name='tracing')
def _tracing():
    yield traces.start_tracing(0.5, {'node': 'n1'})
    traces.stop_tracing()


def test_sampling_decision_of_the_parent_is_kept(tracing):
    """Guards against a hop that makes a sampling decision of its own."""
    for _ in range(50):
        with traces.span('entry', TRACE + '0') as trace:
            assert trace == TRACE + '0'
        with traces.span('entry', TRACE + '1') as trace:
            assert trace[:36] == TRACE[:36]
            assert trace != TRACE + '1'
            assert trace.endswith('-01')
    assert len(tracing.finished) == 50
    assert tracing.finished[0].parent.span_id == int(TRACE[36:52], 16)


def test_sampling_decision_applies_to_the_whole_trace(tracing):
    """Guards against traces in which only some hops are recorded."""
    span_counts = set()
    for _ in range(100):
        before = len(tracing.finished)
        with traces.span('entry', '') as trace:
            with traces.span('sub_request', trace):
                pass
        span_counts.add(len(tracing.finished) - before)
    assert span_counts == {0, 2}


def test_full_buffer_drops_and_counts_spans(tracing, monkeypatch):
    """Guards against memory growth while the collector is unreachable."""
    monkeypatch.setattr(traces, 'MAX_SPANS', 5)
    for _ in range(8):
        with traces.span('entry', TRACE + '1'):
            pass
    assert (len(tracing.finished), tracing.dropped_total) == (5, 3)


async def test_export_posts_otlp_and_handles_an_unreachable_collector(tracing):
    """Guards against lost spans and an export that raises an exception."""
    exported = []

    async def receive(http_req):
        message = trace_service_pb2.ExportTraceServiceRequest()
        message.ParseFromString(await http_req.read())
        exported.extend(message.resource_spans[0].scope_spans[0].spans)
        return web.Response()

    app = web.Application()
    app.router.add_post('/v1/traces', receive)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    url = f'http://127.0.0.1:{port}'
    async with aiohttp.ClientSession() as session:
        for _ in range(300):
            with traces.span('entry', TRACE + '1'):
                pass
        await traces.export_spans(tracing, session, url)
        assert [item.name for item in exported] == ['entry'] * 300
        await runner.cleanup()
        with traces.span('entry', TRACE + '1'):
            pass
        await traces.export_spans(tracing, session, url)
    assert tracing.dropped_total == 1


async def test_no_thread_is_started(tracing):
    """Guards against a library that starts a thread.

    The process runs a single event loop on one thread.
    """
    metrics = telemetry.make_metrics()
    report = core.SearchReport(
        core.Rank.URGENT,
        core.Partial(core.SnapshotId(1), (), 3, 4),
        0.02,
        sent=4,
        hedges=1,
    )
    telemetry.record_search(metrics, report)
    for _ in range(64):
        telemetry.record_queue_delay(metrics, core.Rank.URGENT, 0.003)
    gauges = [
        telemetry.Gauge('config_age_seconds', 2.5),
        telemetry.Gauge('replicas', 3, {'state': 'ready'}),
        telemetry.Gauge('replicas', 1, {'state': 'failed'}),
    ]
    telemetry.watch_values(metrics, lambda: gauges)
    telemetry.record_route(metrics, 'owner')
    telemetry.record_platform_call(metrics, 'txn', 'no_reply')
    telemetry.record_claim(
        metrics, core.ClaimState.CLAIMED, core.ClaimWritten(core.Revision(3))
    )
    runner = web.AppRunner(telemetry.make_metrics_app(metrics))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    url = 'http://127.0.0.1:{}/metrics'.format(runner.addresses[0][1])
    async with aiohttp.ClientSession() as session:
        with traces.span('entry', TRACE + '1'):
            await traces.export_spans(tracing, session, 'http://127.0.0.1:9')
        async with session.get(url) as resp:
            text = await resp.text()
    await runner.cleanup()
    for line in (
        'citronweir_searches_total{outcome="partial",rank="urgent"} 1.0',
        'citronweir_search_coverage_bucket{le="0.8",rank="urgent"} 1.0',
        'citronweir_hedges_total{rank="urgent"} 1.0',
        'citronweir_queue_delay_seconds_count{rank="urgent"} 1.0',
        'citronweir_config_age_seconds 2.5',
        'citronweir_replicas{state="ready"} 3.0',
        'citronweir_replicas{state="failed"} 1.0',
        'citronweir_routes_total{route="owner"} 1.0',
        'citronweir_platform_calls_total{kind="txn",result="no_reply"} 1.0',
        'citronweir_claims_total{result="written",state="claimed"} 1.0',
    ):
        assert line in text
    await asyncio.sleep(0)
    assert threading.enumerate() == [threading.main_thread()]
