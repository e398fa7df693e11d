"""Tests of configuration changes with real node processes (G8)."""

import asyncio
import time

import aiohttp

from citronweir import operators
from citronweir.operators import messages as pb
from fakes import fleet as fleets
from tests import _helpers as helpers

PROPAGATION_LIMIT = 3.0  # seconds until a change is in force on every node
SPEC = fleets.FleetSpec(
    nodes=3, indexes=(fleets.IndexSpec('parts', 1, 1),), can_partition=True
)


async def test_changes_reach_all_nodes_within_three_seconds(tmp_path):
    """Guards against a change that reaches a node late or never."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await helpers.wait_until_ready(session, fleet)
        propagation_times = {}
        async with helpers.poll_revisions(session, fleet) as history:
            for node in fleet.nodes:
                sent_at = time.monotonic()
                contract = helpers.make_contract(f'by-{node}')
                record = await helpers.create_contract(
                    session, fleet, node, contract
                )
                propagation_times[node] = await helpers.measure_propagation(
                    fleet, history, record, sent_at
                )
            for faults in (
                {'lost_replies': 1},
                {'delayed_writes': 1, 'write_delay': 0.3},
                {'dropped_writes': 1},
            ):
                await helpers.set_store_faults(session, fleet, faults)
                name = next(iter(faults))
                sent_at = time.monotonic()
                record = await helpers.create_contract(
                    session, fleet, 'dc1-n0', helpers.make_contract(name)
                )
                propagation_times[name] = await helpers.measure_propagation(
                    fleet, history, record, sent_at
                )
        print(propagation_times)
        assert max(propagation_times.values()) < PROPAGATION_LIMIT


async def test_concurrent_and_repeated_changes_have_one_effect(tmp_path):
    """Guards against lost updates and changes applied twice."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
        helpers.poll_revisions(session, fleet),
    ):
        await helpers.wait_until_ready(session, fleet)
        record = await helpers.create_contract(session, fleet, 'dc1-n0')
        for number in range(10):
            await helpers.set_store_faults(
                session, fleet, {'lost_replies': number % 3}
            )
            ids = [f'first-{number}', f'second-{number}']
            replies = await asyncio.gather(
                helpers.amend_contract(
                    session, fleet, 'dc1-n1', record, 'a', ids[0]
                ),
                helpers.amend_contract(
                    session, fleet, 'dc2-n1', record, 'b', ids[1]
                ),
            )
            won = [
                (change_id, reply)
                for change_id, reply in zip(ids, replies)
                if isinstance(reply, pb.ContractRecord)
            ]
            lost = [item for item in replies if item not in dict(won).values()]
            assert len(won) == len(lost) == 1, replies
            (winner_id, winner), (error,) = won[0], lost
            assert error.code is operators.Code.ABORTED
            assert error.detail.winning_change_id == winner_id
            assert error.detail.winning_revision == winner.revision
            repeats = await asyncio.gather(
                *(
                    helpers.amend_contract(
                        session, fleet, node, record, 'late', winner_id
                    )
                    for node in fleet.nodes
                )
            )
            assert {item.revision for item in repeats} == {winner.revision}
            record = winner
        await helpers.set_store_faults(session, fleet, {'lost_replies': 0})
        first = await asyncio.gather(
            *(
                helpers.amend_contract(
                    session, fleet, node, record, 'c', 'same-id'
                )
                for node in fleet.nodes
            )
        )
        assert len({item.revision for item in first}) == 1, first


async def test_late_events_and_stale_reads_revert_no_node(tmp_path):
    """Guards against older state that overwrites newer state."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
        helpers.poll_revisions(session, fleet) as history,
    ):
        await helpers.wait_until_ready(session, fleet)
        record = await helpers.create_contract(session, fleet, 'dc1-n0')
        faults = {'watch_delay': 1.0, 'stale_reads': 1000, 'stale_by': 3}
        await helpers.set_store_faults(session, fleet, faults)
        names = list(fleet.nodes)
        for number in range(24):
            if number % 8 == 4:
                await helpers.set_store_faults(
                    session, fleet, {'break_watches': True}
                )
            node = names[number % len(names)]
            reply = await helpers.amend_contract(
                session, fleet, node, record, str(number)
            )
            assert isinstance(reply, pb.ContractRecord), reply
            record = reply
        await helpers.measure_propagation(
            fleet, history, record, time.monotonic()
        )
        await helpers.set_store_faults(
            session, fleet, {'watch_delay': 0.0, 'stale_reads': 0}
        )
        revisions = await helpers.read_all_revisions(session, fleet)
        assert all(item == revisions[0] for item in revisions)
