"""Tests of traces and metrics through real processes."""

import collections

import aiohttp
import pytest
import uuid6

from fakes import collector as collectors
from fakes import fleet as fleets
from fakes import fleet_test

SHARDS = 8
MAX_SEARCHES = 10


@pytest.fixture(name='traced')
async def _traced(tmp_path):
    """Provides a fleet of two nodes, a trace collector and a session."""
    async with (
        collectors.run_collector() as collector,
        aiohttp.ClientSession() as session,
    ):
        spec = fleets.FleetSpec(
            dcs=('dc1',),
            indexes=(fleets.IndexSpec('parts', shards=SHARDS),),
            settings={
                ('telemetry', 'otlp'): collector.url,
                ('telemetry', 'traces'): '0',
            },
        )
        async with fleets.run_fleet(spec, tmp_path) as fleet:
            await fleet_test.create_contract(fleet)
            for node in fleet.nodes:

                async def is_complete():
                    reply = await _post_traced(session, fleet, node, '00')
                    return reply[1]['outcome'] == 'complete'

                await fleets.wait_for(is_complete, 'a complete answer')
            yield fleet, collector, session


async def test_one_search_through_two_nodes_is_one_trace(traced):
    """Guards against missing spans and trace context that is not sent on."""
    fleet, collector, session = traced
    traceparent, spans = await _search_until_relayed(fleet, collector, session)
    assert await _fetch_upstream_span_ids(session, fleet, traceparent) == {
        span.span_id for span in spans if span.name == 'upstream'
    }
    spans_by_id = {span.span_id: span for span in spans}
    parents = collections.defaultdict(set)
    for span in spans:
        parent = spans_by_id.get(span.parent)
        parents[span.name].add(parent and parent.name)
        if span.name == 'owner':
            assert {span.node, parent.node} == {'dc1-n0', 'dc1-n1'}
    assert parents == {
        'entry': {None},
        'sub_request': {'entry'},
        'relay': {'sub_request'},
        'owner': {'relay'},
        'queue': {'sub_request', 'owner'},
        'upstream': {'sub_request', 'owner'},
    }
    (entry,) = (span for span in spans if span.name == 'entry')
    assert entry.parent == traceparent.split('-')[2]
    assert entry.attributes['outcome'] == 'Complete'
    for span in spans:
        if span.name == 'sub_request':
            assert span.attributes['replica'] in fleet.upstreams
            assert span.attributes['rank'] == 'urgent'
            assert span.attributes['route'] in ('own_queue', 'owner')
            assert span.attributes['kind'] == 'first'
            assert span.attributes['outcome'] == 'SubAnswer'
        if span.name == 'queue':
            assert span.attributes['queue_delay_ms'] >= 0
    traced_ids = {span.trace_id for span in collector.recorded_spans}
    # Requests without the sampled flag must not be traced.
    assert len(traced_ids) <= MAX_SEARCHES


async def test_order_is_one_trace_with_its_claim(traced):
    """Guards against orders without spans and metrics of their claim."""
    fleet, collector, session = traced
    traceparent, reply = await _post_traced(
        session, fleet, 'dc1-n0', '01', 'orders'
    )
    assert reply['outcome'] == 'complete'

    async def has_order_spans():
        names = {
            span.name for span in collectors.find_trace(collector, traceparent)
        }
        return {'entry', 'claim', 'settle', 'upstream'} <= names

    await fleets.wait_for(has_order_spans, 'the trace of the order')
    outcomes = {
        span.name: span.attributes['outcome']
        for span in collectors.find_trace(collector, traceparent)
    }
    assert outcomes['claim'] == 'won'
    assert outcomes['settle'] == 'ClaimWritten'
    assert outcomes['sub_request'] == 'SubDone'
    expected_lines = (
        'citronweir_claims_total{result="written",state="claimed"} 1.0',
        'citronweir_claims_total{result="written",state="done"} 1.0',
        'citronweir_platform_calls_total{kind="grant",result="ok"} 1.0',
        'citronweir_platform_calls_total{kind="txn",result="ok"} 2.0',
        'citronweir_members{state="alive"} 2.0',
        f'citronweir_replicas{{state="ready"}} {2 * SHARDS}.0',
        'citronweir_queue_length{rank="urgent"} 0.0',
        'citronweir_open_streams{direction="out"} 1.0',
        'citronweir_dropped_spans 0.0',
        'citronweir_routes_total{route="own_queue"}',
    )

    async def has_all_metrics():
        text = await _fetch_metrics(session, fleet, 'dc1-n0')
        return all(line in text for line in expected_lines)

    # Searches can be complete before all replicas have been probed.
    await fleets.wait_for(has_all_metrics, f'metrics with {expected_lines}')
    log = (fleet.folder / 'dc1-n0.log').read_text()
    assert 'CW6005 node dc1-n1 is alive' in log


async def _post_traced(session, fleet, node, flags, path='search'):
    fields = {
        'contract': fleet_test.CONTRACT,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
    }
    key = 'query' if path == 'search' else 'body'
    traceparent = collectors.make_traceparent(flags)
    async with session.post(
        f'{fleet.url(node)}/v1/{path}',
        json=fields | {key: 'worn bearing'},
        headers={'traceparent': traceparent},
    ) as resp:
        return traceparent, await resp.json()


async def _search_until_relayed(fleet, collector, session):
    """Searches until a trace has both routes but no hedges or retries.

    A node that is delayed for an eighth of a second is bypassed, and a hedge
    can be cancelled before its owner has it; these hops have no spans. Such a
    search is complete, but not the one wanted.
    """
    for _ in range(MAX_SEARCHES):
        traceparent, reply = await _post_traced(session, fleet, 'dc1-n0', '01')

        async def has_all_spans():
            spans = collectors.find_trace(collector, traceparent)
            counts = collections.Counter(span.name for span in spans)
            relayed = sum(
                span.name == 'relay'
                and span.attributes['outcome'] != 'cancelled'
                for span in spans
            )
            return (
                counts['entry'] == 1
                and (
                    relayed <= counts['owner']
                    or 'direct' in _list_routes(spans)
                )
                and counts['upstream'] >= SHARDS
                and counts['sub_request'] >= SHARDS
            )

        try:
            await fleets.wait_for(has_all_spans, 'the spans of all hops')
        except TimeoutError as exc:
            found = collections.Counter(
                (span.name, span.node, span.attributes.get('outcome'))
                for span in collectors.find_trace(collector, traceparent)
            )
            raise AssertionError(f'{reply} {found}') from exc
        spans = collectors.find_trace(collector, traceparent)
        kinds = {span.attributes.get('kind', 'first') for span in spans}
        names = collections.Counter(span.name for span in spans)
        if (
            kinds == {'first'}
            and 'direct' not in _list_routes(spans)
            and 0 < names['relay'] < SHARDS
        ):
            return traceparent, spans
    raise AssertionError('no search went through both nodes')


def _list_routes(spans):
    """Returns the routes of a trace's sub-requests."""
    return {
        span.attributes['route']
        for span in spans
        if span.name == 'sub_request' and 'route' in span.attributes
    }


async def _fetch_upstream_span_ids(session, fleet, traceparent):
    """Returns the span ids that the upstreams received for a trace."""
    span_ids = set()
    for port in fleet.upstreams.values():
        async with session.get(f'http://{fleets.HOST}:{port}/traces') as resp:
            for upstream_traceparent in (await resp.json())['traces']:
                _, trace_id, span_id, _ = upstream_traceparent.split('-')
                if trace_id == traceparent.split('-')[1]:
                    span_ids.add(span_id)
    return span_ids


async def _fetch_metrics(session, fleet, node):
    url = f'http://{fleets.HOST}:{fleet.nodes[node].metrics}/metrics'
    async with session.get(url) as resp:
        return await resp.text()
