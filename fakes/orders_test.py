"""Tests of orders through real processes while the store has faults."""

import asyncio
import time

import aiohttp
import uuid6

from citronweir import callers
from citronweir import core
from citronweir import metastore
from fakes import fleet as fleets

CONTRACT = core.ContractId('urgent-1')


async def _create_contract(url):
    now = time.time()
    contract = core.Contract(
        CONTRACT, core.Rank.URGENT, 1.0, now - 1, now + 600
    )
    async with metastore.make_session() as session:
        await metastore.compare_and_set(
            session,
            url,
            metastore.CONTRACTS_PREFIX + CONTRACT,
            metastore.encode_contract(contract),
            0,
        )


def _make_order():
    return {
        'contract': CONTRACT,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
        'body': 'replace bearing 7',
    }


async def _count_runs(session, fleet, order):
    runs = 0
    for port in fleet.upstreams.values():
        async with session.get(f'http://{fleets.HOST}:{port}/orders') as resp:
            run_ids = (await resp.json())['orders']
        runs += sum(order['request_id'] in str(item) for item in run_ids)
    return runs


async def _send_all(session, fleet, order):
    calls = [
        callers.post_order(session, fleet.url(node), order)
        for node in fleet.nodes
        for _ in range(5)
    ]
    return await asyncio.gather(*calls)


FAULTS = (
    {},
    {'lost_replies': 3},
    {'delayed_writes': 3, 'write_delay': 0.05},
    {'dropped_writes': 2, 'lost_replies': 2},
    {'stale_reads': 4, 'lost_replies': 4},
    {'outage': 'refuse'},
    {'outage': 'hang'},
)


async def test_orders_run_once_under_faults_of_the_store(tmp_path):
    """Guards against orders that run twice or are wrongly reported not run.

    These are guarantees G4 and G5.
    """
    spec = fleets.FleetSpec(dcs=('dc1',), nodes=2)
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        kv_url = f'http://{fleets.HOST}:{fleet.kv_port}'
        await _create_contract(kv_url)

        for node in fleet.nodes:

            async def is_served():
                reply = await callers.post_order(
                    session, fleet.url(node), _make_order()
                )
                return reply['outcome'] == 'complete'

            await fleets.wait_for(is_served, 'a completed order')
        for faults in FAULTS:
            order = _make_order()
            await session.post(f'{kv_url}/faults', json=faults)
            replies = await _send_all(session, fleet, order)
            outcomes = {reply['outcome'] for reply in replies}
            runs = await _count_runs(session, fleet, order)
            if 'outage' in faults:
                reasons = {reply['reason'] for reply in replies}
                assert reasons == {'not_checked'}
                assert runs == 0
                await _check_first_attempt_is_refused(session, fleet, node)
            else:
                assert runs <= 1
                assert runs == 1 or 'complete' not in outcomes
            clean = {name: 0 for name in faults} | {'outage': ''}
            await session.post(f'{kv_url}/faults', json=clean)
            replies = await _send_all(session, fleet, order)
            assert 'refused' not in {item['outcome'] for item in replies}
            assert await _count_runs(session, fleet, order) <= 1


async def _check_first_attempt_is_refused(session, fleet, node):
    """Checks that a first attempt during an outage is refused and not run."""
    first = _make_order() | {'first_attempt': True}
    reply = await callers.post_order(session, fleet.url(node), first)
    assert reply['reason'] == 'platform_unavailable'
    assert reply['not_run']
    assert not await _count_runs(session, fleet, first)
