"""Tests of traces and metrics through real processes."""

import collections

import aiohttp
import pytest
import uuid6

from fakes import collector as collectors
from fakes import fleet as fleets
from fakes import fleet_test

SHARDS = 8
TRIES = 10


@pytest.fixture(name='traced')
async def _traced(tmp_path):
    """Runs two nodes, a collector and a client session."""
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
                    reply = await _post(session, fleet, node, '00')
                    return reply[1]['outcome'] == 'complete'

                await fleets.wait_for(is_complete, 'a complete answer')
            yield fleet, collector, session


async def test_one_search_through_two_nodes_is_one_trace(traced):
    """Guards against hops without a span and a context that is not sent."""
    fleet, collector, session = traced
    trace, recorded_spans = await _search_until_relayed(
        fleet, collector, session
    )
    assert await _get_traces(session, fleet, trace) == {
        hop.span_id for hop in recorded_spans if hop.name == 'upstream'
    }
    by_id = {hop.span_id: hop for hop in recorded_spans}
    parents = collections.defaultdict(set)
    for hop in recorded_spans:
        parent = by_id.get(hop.parent)
        parents[hop.name].add(parent and parent.name)
        if hop.name == 'owner':
            assert {hop.node, parent.node} == {'dc1-n0', 'dc1-n1'}
    assert parents == {
        'entry': {None},
        'sub_request': {'entry'},
        'relay': {'sub_request'},
        'owner': {'relay'},
        'queue': {'sub_request', 'owner'},
        'upstream': {'sub_request', 'owner'},
    }
    (entry,) = (hop for hop in recorded_spans if hop.name == 'entry')
    assert entry.parent == trace.split('-')[2]
    assert entry.attributes['outcome'] == 'Complete'
    for hop in recorded_spans:
        if hop.name == 'sub_request':
            assert hop.attributes['replica'] in fleet.upstreams
            assert hop.attributes['rank'] == 'urgent'
            assert hop.attributes['route'] in ('own_queue', 'owner')
            assert hop.attributes['kind'] == 'first'
            assert hop.attributes['outcome'] == 'SubAnswer'
        if hop.name == 'queue':
            assert hop.attributes['queue_delay_ms'] >= 0
    unsampled = {hop.trace_id for hop in collector.recorded_spans}
    assert len(unsampled) <= TRIES  # only the searches that asked for it


async def test_order_is_one_trace_with_its_claim(traced):
    """Guards against an order whose claim and settling are not seen."""
    fleet, collector, session = traced
    trace, reply = await _post(session, fleet, 'dc1-n0', '01', 'orders')
    assert reply['outcome'] == 'complete'

    async def is_whole():
        names = {hop.name for hop in collectors.find_trace(collector, trace)}
        return {'entry', 'claim', 'settle', 'upstream'} <= names

    await fleets.wait_for(is_whole, 'the trace of the order')
    outcomes = {
        hop.name: hop.attributes['outcome']
        for hop in collectors.find_trace(collector, trace)
    }
    assert outcomes['claim'] == 'won'
    assert outcomes['settle'] == 'ClaimWritten'
    assert outcomes['sub_request'] == 'SubDone'
    lines = (
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

    async def is_counted():
        text = await _get_metrics(session, fleet, 'dc1-n0')
        return all(line in text for line in lines)

    # Searches are complete before the last replicas have been probed.
    await fleets.wait_for(is_counted, f'metrics with {lines}')
    log = (fleet.folder / 'dc1-n0.log').read_text()
    assert 'CW6005 node dc1-n1 is alive' in log


async def _post(session, fleet, node, flags, path='search'):
    fields = {
        'contract': fleet_test.CONTRACT,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
    }
    key = 'query' if path == 'search' else 'body'
    trace = collectors.make_traceparent(flags)
    async with session.post(
        f'{fleet.url(node)}/v1/{path}',
        json=fields | {key: 'worn bearing'},
        headers={'traceparent': trace},
    ) as resp:
        return trace, await resp.json()


async def _search_until_relayed(fleet, collector, session):
    """Searches until a trace has both routes and no hedge or retry."""
    for _ in range(TRIES):
        trace, _ = await _post(session, fleet, 'dc1-n0', '01')

        async def is_ended():
            recorded_spans = collectors.find_trace(collector, trace)
            counts = collections.Counter(hop.name for hop in recorded_spans)
            return (
                counts['entry'] == 1
                and counts['relay'] == counts['owner']
                and counts['upstream'] >= SHARDS
                and counts['sub_request'] >= SHARDS
            )

        await fleets.wait_for(is_ended, 'the spans of all hops')
        recorded_spans = collectors.find_trace(collector, trace)
        kinds = {hop.attributes.get('kind', 'first') for hop in recorded_spans}
        names = collections.Counter(hop.name for hop in recorded_spans)
        if kinds == {'first'} and 0 < names['relay'] < SHARDS:
            return trace, recorded_spans
    raise AssertionError('no search went through both nodes')


async def _get_traces(session, fleet, trace):
    """Returns the ids of the spans that the upstreams were told."""
    found = set()
    for port in fleet.upstreams.values():
        async with session.get(f'http://{fleets.HOST}:{port}/traces') as resp:
            for seen in (await resp.json())['traces']:
                _, trace_id, span_id, _ = seen.split('-')
                if trace_id == trace.split('-')[1]:
                    found.add(span_id)
    return found


async def _get_metrics(session, fleet, node):
    url = f'http://{fleets.HOST}:{fleet.nodes[node].metrics}/metrics'
    async with session.get(url) as resp:
        return await resp.text()
