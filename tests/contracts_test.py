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


async def _probe(session, fleet, node, contract, until):
    """Searches without a pause; returns (sent, replied, outcome) rows."""
    rows = []
    while time.time() < until:
        sent = time.time()
        reply = await callers.post_search(
            session, fleet.url(node), helpers.search_fields(contract)
        )
        label = reply.get('reason', reply['outcome'])
        rows.append((sent, time.time(), label))
        await asyncio.sleep(0.01)
    return rows


def _check_rows(rows, start, expiry):
    """Checks each answer against the times of the contract.

    An answer is decided between sending and replying, so only answers
    that lie wholly on one side of a limit prove anything.
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


async def test_contract_holds_exactly_between_its_times(tmp_path):
    """Guards against a node that is late at a start or at an expiry.

    The platform is down from before the start, so that nothing but the
    nodes' own clocks can bring the change.
    """
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_ready(session, fleet)
        await helpers.create(session, fleet, 'dc1-n0')
        await helpers.wait_served(session, fleet)
        for outage in ('', 'hang'):
            name = f'short-{outage}'
            contract = helpers.make_contract(name, start=1.0, expiry=2.5)
            record = await helpers.create(session, fleet, 'dc2-n0', contract)
            start = record.contract.start.ToMicroseconds() / 1e6
            expiry = record.contract.expiry.ToMicroseconds() / 1e6

            async def is_everywhere():
                return await helpers.is_everywhere(
                    session, fleet, name, record.revision
                )

            await fleets.wait_for(is_everywhere, name)
            assert time.time() < start - TOLERANCE
            await helpers.set_faults(session, fleet, {'outage': outage})
            probes = [
                _probe(session, fleet, node, name, expiry + 0.3)
                for node in fleet.nodes
            ]
            for rows in await asyncio.gather(*probes):
                _check_rows(rows, start, expiry)


async def test_search_admitted_before_the_expiry_finishes(tmp_path):
    """Guards against an expiry that cuts off running searches."""
    spec = fleets.FleetSpec(
        dcs=('dc1',), nodes=2, indexes=(fleets.IndexSpec('parts', 1, 1),)
    )
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_ready(session, fleet)
        await helpers.create(session, fleet, 'dc1-n0')
        await helpers.wait_served(session, fleet)
        contract = helpers.make_contract('short', expiry=1.0)
        record = await helpers.create(session, fleet, 'dc1-n0', contract)
        expiry = record.contract.expiry.ToMicroseconds() / 1e6

        async def is_everywhere():
            return await helpers.is_everywhere(
                session, fleet, 'short', record.revision
            )

        await fleets.wait_for(is_everywhere, 'the contract')
        (port,) = fleet.upstreams.values()
        hold = {'set': {'hold': True}}
        await helpers.post_json(session, port, '/control', hold)

        async def search(node):
            reply = await callers.post_search(
                session,
                fleet.url(node),
                helpers.search_fields('short', budget=8.0),
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
            session, fleet.url('dc1-n1'), helpers.search_fields('short')
        )
        assert late['reason'] == 'not_in_force'
        release = {'set': {'hold': False}}
        await helpers.post_json(session, port, '/control', release)
        for replied, reply in await asyncio.gather(*tasks):
            assert replied > expiry
            assert reply['outcome'] == 'complete', reply
