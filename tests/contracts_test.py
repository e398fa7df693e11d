"""Tests that contracts start and expire on time on every node."""

import asyncio
import time

import aiohttp

from citronweir import callers
from fakes import fleet as fleets
from tests import _helpers as helpers

TOLERANCE = 0.1  # seconds; all processes read the same clock
SPEC = fleets.FleetSpec(
    nodes=3, indexes=(fleets.IndexSpec('parts', 1, 1),), can_partition=True
)


async def _search_repeatedly(session, fleet, node, contract, until):
    """Searches repeatedly; returns (sent, replied, reason or outcome) rows."""
    rows = []
    while time.time() < until:
        sent = time.time()
        reply = await callers.post_search(
            session, fleet.url(node), helpers.make_search_fields(contract)
        )
        label = reply.get('reason', reply['outcome'])
        rows.append((sent, time.time(), label))
        await asyncio.sleep(0.01)
    return rows


def _check_rows(rows, start, expiry):
    """Checks each answer against the start and expiry of the contract.

    The node decides at some time between the request and the reply, so only
    answers entirely on one side of the start or expiry are checked.
    """
    for sent, replied, label in rows:
        if start <= sent and replied < expiry:
            assert label == 'complete', (sent - start, label)
        elif replied < start or sent >= expiry:
            assert label == 'not_in_force', (sent - expiry, label)
    complete = [row for row in rows if row[2] == 'complete']
    assert complete[0][0] - start < TOLERANCE
    assert expiry - complete[-1][1] < TOLERANCE
    refused = [row for row in rows if row[2] == 'not_in_force']
    assert refused[0][0] < start
    assert refused[-1][0] > expiry


async def test_contract_is_in_force_exactly_between_start_and_expiry(tmp_path):
    """Guards against a node that applies a start or an expiry late.

    In the second round the platform goes down before the start, so that the
    nodes can rely only on their own clocks.
    """
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_until_ready(session, fleet)
        await helpers.create_contract(session, fleet, 'dc1-n0')
        await helpers.wait_until_serving(session, fleet)
        for outage in ('', 'hang'):
            name = f'short-{outage}'
            contract = helpers.make_contract(name, start=1.0, expiry=2.5)
            record = await helpers.create_contract(
                session, fleet, 'dc2-n0', contract
            )
            start = record.contract.start.ToMicroseconds() / 1e6
            expiry = record.contract.expiry.ToMicroseconds() / 1e6

            async def has_propagated():
                return await helpers.has_propagated(
                    session, fleet, name, record.revision
                )

            await fleets.wait_for(has_propagated, name)
            assert time.time() < start - TOLERANCE
            await helpers.set_store_faults(session, fleet, {'outage': outage})
            searches = [
                _search_repeatedly(session, fleet, node, name, expiry + 0.3)
                for node in fleet.nodes
            ]
            for rows in await asyncio.gather(*searches):
                _check_rows(rows, start, expiry)


async def test_search_admitted_before_the_expiry_finishes(tmp_path):
    """Guards against an expiry that aborts running searches."""
    spec = fleets.FleetSpec(
        dcs=('dc1',), nodes=2, indexes=(fleets.IndexSpec('parts', 1, 1),)
    )
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_until_ready(session, fleet)
        await helpers.create_contract(session, fleet, 'dc1-n0')
        await helpers.wait_until_serving(session, fleet)
        contract = helpers.make_contract('short', expiry=1.0)
        record = await helpers.create_contract(
            session, fleet, 'dc1-n0', contract
        )
        expiry = record.contract.expiry.ToMicroseconds() / 1e6

        async def has_propagated():
            return await helpers.has_propagated(
                session, fleet, 'short', record.revision
            )

        await fleets.wait_for(has_propagated, 'the contract')
        (port,) = fleet.upstreams.values()
        hold = {'set': {'hold': True}}
        await helpers.post_json(session, port, '/control', hold)

        async def search(node):
            reply = await callers.post_search(
                session,
                fleet.url(node),
                helpers.make_search_fields('short', deadline_seconds=8.0),
            )
            return time.time(), reply

        sent = time.time()
        tasks = [asyncio.create_task(search(node)) for node in fleet.nodes]

        async def is_running():
            url = f'http://{fleets.HOST}:{port}/counters'
            async with session.get(url) as resp:
                return (await resp.json())['running_peak'] >= 2

        await fleets.wait_for(is_running, 'both searches to run')
        assert sent < time.time() < expiry

        async def is_expired():
            return time.time() > expiry

        await fleets.wait_for(is_expired, 'the expiry')
        assert not any(task.done() for task in tasks)
        late = await callers.post_search(
            session, fleet.url('dc1-n1'), helpers.make_search_fields('short')
        )
        assert late['reason'] == 'not_in_force'
        release = {'set': {'hold': False}}
        await helpers.post_json(session, port, '/control', release)
        for replied, reply in await asyncio.gather(*tasks):
            assert replied > expiry
            assert reply['outcome'] == 'complete', reply
