"""Tests of the configuration in partitions and outages (G8)."""

import asyncio
import signal
import time

import aiohttp

from citronweir import callers
from citronweir import operators
from fakes import fleet as fleets
from tests import _helpers as helpers

# With one watcher only, the next one takes over after membership has
# detected the loss, which took 2.8 s and 3.6 s in two trials.
DETECTION_TIME = 1.0  # seconds
SPREAD_LIMIT = 3.0  # seconds until a change is in force on every node
SPEC = fleets.FleetSpec(
    nodes=3, indexes=(fleets.IndexSpec('parts', 1, 1),), can_partition=True
)


async def test_changes_spread_past_a_killed_watcher(tmp_path):
    """Guards against a data centre that one node keeps up to date.

    The streams between the data centres are cut, so that only the watch
    of the second watcher can deliver the change.
    """
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_ready(session, fleet)
        await helpers.cut_streams(session, fleet, ('dc1', 'dc2'))
        victim = helpers.list_watchers('dc2', SPEC.nodes)[0]

        async def is_settled():
            # A starting node watches until it knows the others.
            url = f'http://{fleets.HOST}:{fleet.kv_ports["dc2"]}/calls'
            async with session.get(url) as resp:
                watching = (await resp.json())['watching']
            return watching == len(helpers.list_watchers('dc2', SPEC.nodes))

        await fleets.wait_for(is_settled, 'the watchers to be settled')
        left = [name for name in fleet.nodes if name != victim]
        async with helpers.poll_history(session, fleet) as history:
            sent_at = time.monotonic()
            task = asyncio.create_task(
                helpers.create(session, fleet, 'dc1-n0')
            )
            await asyncio.sleep(0)
            fleets.signal_process(fleet, victim, signal.SIGKILL)
            record = await task
            spread = await helpers.measure_spread(
                fleet, history, record, sent_at, left
            )
        print(f'spread past {victim}: {spread:.3f} s')
        assert spread < DETECTION_TIME


async def test_changes_spread_without_watch_or_store(tmp_path):
    """Guards against a data centre that only its watches keep up to date.

    One data centre loses the store, then both of its watchers.
    """
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_ready(session, fleet)
        async with helpers.poll_history(session, fleet) as history:
            hang = {'outage': 'hang'}
            await helpers.set_faults(session, fleet, hang, ['dc2'])
            sent_at = time.monotonic()
            record = await helpers.create(session, fleet, 'dc1-n0')
            spread = await helpers.measure_spread(
                fleet, history, record, sent_at
            )
            print(f'spread without the store: {spread:.3f} s')
            assert spread < SPREAD_LIMIT
            clean = {'outage': ''}
            await helpers.set_faults(session, fleet, clean, ['dc2'])
            victims = helpers.list_watchers('dc2', SPEC.nodes)
            left = [name for name in fleet.nodes if name not in victims]
            for victim in victims:
                fleets.signal_process(fleet, victim, signal.SIGKILL)
            sent_at = time.monotonic()
            record = await helpers.amend(
                session, fleet, 'dc1-n1', record, 'later'
            )
            spread = await helpers.measure_spread(
                fleet, history, record, sent_at, left
            )
            print(f'spread without both watchers: {spread:.3f} s')
            assert spread < SPREAD_LIMIT


async def test_restarted_node_loads_from_peers_in_an_outage(tmp_path):
    """Guards against a start that needs the platform."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_ready(session, fleet)
        record = await helpers.create(session, fleet, 'dc1-n0')
        key = record.contract.contract_id

        async def is_everywhere():
            return await helpers.is_everywhere(
                session, fleet, key, record.revision
            )

        await fleets.wait_for(is_everywhere, 'the contract')
        for number, outage in enumerate(('refuse', 'hang')):
            await helpers.set_faults(session, fleet, {'outage': outage})
            fleets.signal_process(fleet, 'vms', signal.SIGSTOP)
            name = f'dc2-n{number}'
            fleets.signal_process(fleet, name, signal.SIGKILL)
            fleets.wait_process(fleet, name)
            fleets.start_node(fleet, 'dc2', name)
            await helpers.wait_ready(session, fleet, [name])
            held = await helpers.read_records(session, fleet, name)
            assert held == {key: record.revision}
            fleets.signal_process(fleet, 'vms', signal.SIGCONT)
            await helpers.set_faults(session, fleet, {'outage': ''})


async def test_cut_off_data_centre_serves_and_agrees_afterwards(tmp_path):
    """Guards against a partition that stops service or splits state."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
        helpers.poll_history(session, fleet) as history,
    ):
        await helpers.wait_ready(session, fleet)
        record = await helpers.create(session, fleet, 'dc1-n0')
        await helpers.measure_spread(fleet, history, record, time.monotonic())
        await helpers.wait_served(session, fleet)
        await helpers.cut_streams(session, fleet, ('dc1', 'dc2'))
        await helpers.set_faults(session, fleet, {'outage': 'hang'}, ['dc2'])
        amended = await helpers.amend(
            session, fleet, 'dc1-n0', record, 'during'
        )
        await helpers.measure_spread(
            fleet,
            history,
            amended,
            time.monotonic(),
            [name for name in fleet.nodes if name.startswith('dc1')],
        )

        async def is_aged():
            ages = []
            for name in fleet.nodes:
                if name.startswith('dc2'):
                    status = await helpers.read_status(session, fleet, name)
                    health = await helpers.read_health(session, fleet, name)
                    ages += [
                        status.config_age_seconds,
                        health['config_age_s'],
                    ]
            return min(ages) > 3.0

        await fleets.wait_for(is_aged, 'the age to grow')
        for name in ('dc2-n0', 'dc2-n1', 'dc2-n2'):
            held = await helpers.read_records(session, fleet, name)
            assert held[helpers.CONTRACT] == record.revision
            reply = await callers.post_search(
                session, fleet.url(name), helpers.search_fields()
            )
            assert reply['outcome'] == 'complete', reply
        refused = await helpers.amend(
            session, fleet, 'dc2-n0', amended, 'cut off'
        )
        assert refused.code is operators.Code.UNAVAILABLE
        await helpers.cut_streams(session, fleet)
        await helpers.set_faults(session, fleet, {'outage': ''}, ['dc2'])
        spread = await helpers.measure_spread(
            fleet, history, amended, time.monotonic()
        )
        print(f'agreed {spread:.3f} s after healing')
        held = await helpers.list_all(session, fleet)
        assert all(item == held[0] for item in held)
