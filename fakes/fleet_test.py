"""End-to-end tests of searches and orders through real processes."""

import time

import aiohttp
import uuid6

from citronweir import callers
from citronweir import core
from citronweir import metastore
from fakes import fleet as fleets

CONTRACT = core.ContractId('urgent-1')


async def create_contract(fleet):
    """Writes the contract that the tests use to the key-value store."""
    now = time.time()
    contract = core.Contract(
        CONTRACT, core.Rank.URGENT, 2.0, now - 1, now + 600
    )
    async with metastore.make_session() as session:
        reply = await metastore.compare_and_set(
            session,
            f'http://{fleets.HOST}:{fleet.kv_port}',
            metastore.CONTRACTS_PREFIX + CONTRACT,
            metastore.encode_contract(contract),
            0,
        )
    assert isinstance(reply, metastore.Applied)


def _make_search():
    return {
        'contract': CONTRACT,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
        'query': 'worn bearing',
    }


async def test_search_and_order_are_served_end_to_end(tmp_path):
    """Guards against requests that fail once they cross processes."""
    spec = fleets.FleetSpec(dcs=('dc1',), nodes=2)
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await create_contract(fleet)
        for node in fleet.nodes:
            url = fleet.url(node)

            async def is_complete():
                reply = await callers.post_search(session, url, _make_search())
                return reply['outcome'] == 'complete'

            await fleets.wait_for(is_complete, 'a complete answer')
        reply = await callers.post_search(session, url, _make_search())
        assert reply['coverage'] == 1.0
        assert reply['snapshot'] == 1
        assert len(reply['hits']) == 10
        order = _make_search() | {'body': 'replace bearing 7'}
        del order['query']
        replies = [
            await callers.post_order(session, fleet.url(node), order)
            for node in fleet.nodes
        ]
        assert replies[0]['outcome'] == 'complete'
        assert replies[1]['outcome'] != 'refused'
        assert await _count_orders(session, fleet) == 1


async def _count_orders(session, fleet):
    count = 0
    for port in fleet.upstreams.values():
        async with session.get(f'http://{fleets.HOST}:{port}/orders') as resp:
            count += len((await resp.json())['orders'])
    return count
