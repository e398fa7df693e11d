"""Tests that a work order runs at most once (G4, G5)."""

import asyncio
import signal

import aiohttp

from citronweir import callers
from fakes import fleet as fleets
from tests import _helpers as helpers

SPEC = fleets.FleetSpec(
    nodes=2,
    indexes=(fleets.IndexSpec('parts', 1, 2, service_ms=20.0),),
    can_partition=True,
)
NO_REPLY = 'lost'  # outcome recorded for a call without a reply


async def _prepare_fleet(session, fleet):
    await helpers.wait_until_ready(session, fleet)
    await helpers.create_contract(session, fleet, 'dc1-n0')
    await helpers.wait_until_serving(session, fleet)
    await _wait_until_orders_run(session, fleet)


async def _wait_until_orders_run(session, fleet):
    """Waits until every node runs orders: it knows a replica, has a lease."""
    for node in fleet.nodes:

        async def is_complete():
            reply = await _send(
                session, fleet, node, helpers.make_order_fields()
            )
            return reply['outcome'] == 'complete'

        await fleets.wait_for(is_complete, f'an order through {node}')


async def _send(session, fleet, node, order, **fields):
    reply = await callers.post_order(session, fleet.url(node), order | fields)
    if isinstance(reply, callers.CallerError):
        return {'outcome': NO_REPLY, 'detail': reply.detail}
    return reply


async def _send_all(session, fleet, order, calls_per_node=1):
    calls = [
        _send(session, fleet, node, order)
        for node in fleet.nodes
        for _ in range(calls_per_node)
    ]
    return await asyncio.gather(*calls)


async def _set_hold(session, fleet, is_held):
    for port in fleet.upstreams.values():
        control = {'set': {'hold': is_held}}
        await helpers.post_json(session, port, '/control', control)


async def _check_outcomes(session, fleet, order, replies, result=None):
    """Checks the replies to callers against the runs at the upstreams.

    Args:
        session: Client session.
        fleet: The fleet; its platform must be reachable again.
        order: The order.
        replies: All replies that callers got for it.
        result: Result of the run, if one reply carried it.
    """
    runs = await helpers.count_order_runs(session, fleet, order['request_id'])
    assert runs <= 1, replies
    refused = [item for item in replies if item['outcome'] == 'refused']
    assert all(item['not_run'] for item in refused)
    if len(refused) == len(replies):
        assert runs == 0, replies
    results = {
        item['result'] for item in replies if item['outcome'] == 'complete'
    }
    assert len(results) <= 1
    assert runs or not results
    # A refusal says that the order had not run so far; repeats may run it.
    for _ in range(2):
        repeats = await _send_all(session, fleet, order)
        kinds = {item['outcome'] for item in repeats}
        assert kinds <= {'complete', 'unknown'}, repeats
        results.update(item['result'] for item in repeats if 'result' in item)
        assert len(results) <= 1, (replies, repeats)
    runs_after_repeats = await helpers.count_order_runs(
        session, fleet, order['request_id']
    )
    assert runs_after_repeats <= 1, (replies, repeats)
    return runs


async def test_same_id_at_all_nodes_runs_once(tmp_path):
    """Guards against two nodes that run the same order."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _prepare_fleet(session, fleet)
        for faults in (
            {},
            {'lost_replies': 1},
            {'delayed_writes': 2, 'write_delay': 0.05},
            {'dropped_writes': 2},
            {'lost_replies': 2, 'stale_reads': 4},
            {'delayed_writes': 3, 'write_delay': 0.5, 'stale_reads': 2},
        ):
            for _ in range(3):
                order = helpers.make_order_fields()
                await helpers.set_store_faults(session, fleet, faults)
                replies = await _send_all(
                    session, fleet, order, calls_per_node=4
                )
                cleared_faults = {
                    name: 0 for name in faults if name != 'write_delay'
                }
                await helpers.set_store_faults(session, fleet, cleared_faults)
                runs = await _check_outcomes(session, fleet, order, replies)
                outcomes = {item['outcome'] for item in replies}
                if runs:
                    continue
                assert 'complete' not in outcomes
        order = helpers.make_order_fields()
        replies = await _send_all(session, fleet, order, calls_per_node=4)
        assert 'complete' in {item['outcome'] for item in replies}
        assert 'refused' not in {item['outcome'] for item in replies}


async def test_killed_claimant_causes_no_second_run(tmp_path):
    """Guards against a repeat that takes over the claim of a dead node."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _prepare_fleet(session, fleet)
        for is_dispatched in (False, True):
            order = helpers.make_order_fields(deadline_seconds=8.0)
            if is_dispatched:
                await _set_hold(session, fleet, True)
            else:
                # The claim is written, but the store's reply is lost.
                slow = {'lost_replies': 1, 'slow': 0.5}
                await helpers.set_store_faults(session, fleet, slow, ['dc1'])
            task = asyncio.create_task(_send(session, fleet, 'dc1-n0', order))

            async def has_claim():
                if is_dispatched:
                    return await helpers.count_order_runs(
                        session, fleet, order['request_id']
                    )
                return (
                    await helpers.read_store_fault(
                        session, fleet, 'dc1', 'lost_replies'
                    )
                    == 0
                )

            await fleets.wait_for(has_claim, 'the claim')
            fleets.signal_process(fleet, 'dc1-n0', signal.SIGKILL)
            fleets.wait_process(fleet, 'dc1-n0')
            first = await task
            assert first['outcome'] == NO_REPLY
            port = fleet.nodes.pop('dc1-n0')
            cleared_faults = {'lost_replies': 0, 'slow': 0.0}
            await helpers.set_store_faults(session, fleet, cleared_faults)
            replies_while_down = await _send_all(session, fleet, order)
            assert {item['outcome'] for item in replies_while_down} == {
                'unknown'
            }
            await _set_hold(session, fleet, False)
            fleet.nodes['dc1-n0'] = port
            fleets.start_node(fleet, 'dc1', 'dc1-n0')
            await helpers.wait_until_ready(session, fleet)
            runs = await _check_outcomes(
                session, fleet, order, replies_while_down
            )
            assert runs == is_dispatched
            await _wait_until_orders_run(session, fleet)


async def test_killed_owner_causes_no_second_run(tmp_path):
    """Guards against sending an order twice when the owner fails.

    The orders are sent to the node that does not own the replica; the owner
    is killed while the replica is held with orders in all slots.
    """
    index = fleets.IndexSpec('parts', 1, 1, service_ms=20.0)
    spec = fleets.FleetSpec(dcs=('dc1',), nodes=2, indexes=(index,))
    owner = helpers.find_owner('dc1', 2, 'dc1-parts-0-0')
    (entry,) = {'dc1-n0', 'dc1-n1'} - {owner}
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _prepare_fleet(session, fleet)
        await _set_hold(session, fleet, True)
        orders = [
            helpers.make_order_fields(deadline_seconds=8.0) for _ in range(6)
        ]
        tasks = [
            asyncio.create_task(
                _send(session, fleet, entry, order, first_attempt=True)
            )
            for order in orders
        ]

        async def has_filled_slots():
            return await _count_all_runs(session, fleet, orders) == index.slots

        await fleets.wait_for(has_filled_slots, 'the replica to be busy')
        fleets.signal_process(fleet, owner, signal.SIGKILL)
        fleets.wait_process(fleet, owner)
        del fleet.nodes[owner]
        await _set_hold(session, fleet, False)
        replies = await asyncio.gather(*tasks)
        runs = [
            await _check_outcomes(session, fleet, order, [reply])
            for order, reply in zip(orders, replies)
        ]
        assert sum(runs) >= index.slots


async def _count_all_runs(session, fleet, orders):
    runs = [
        await helpers.count_order_runs(session, fleet, order['request_id'])
        for order in orders
    ]
    return sum(runs)


async def test_paused_claimant_dispatches_nothing_late(tmp_path):
    """Guards against a claimant that resumes after the deadline."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _prepare_fleet(session, fleet)
        order = helpers.make_order_fields(deadline_seconds=0.8)
        await helpers.set_store_faults(session, fleet, {'slow': 0.3}, ['dc1'])
        before = await helpers.count_store_calls(session, fleet, 'dc1', 'txn')
        task = asyncio.create_task(_send(session, fleet, 'dc1-n0', order))

        async def is_claiming():
            calls = await helpers.count_store_calls(
                session, fleet, 'dc1', 'txn'
            )
            return calls > before

        await fleets.wait_for(is_claiming, 'the claim to be written')
        fleets.signal_process(fleet, 'dc1-n0', signal.SIGSTOP)
        first = await task  # the caller times out after the deadline
        assert first['outcome'] == NO_REPLY
        repeats = [
            await _send(session, fleet, node, order)
            for node in ('dc1-n1', 'dc2-n0')
        ]
        assert 'complete' not in {item['outcome'] for item in repeats}
        fleets.signal_process(fleet, 'dc1-n0', signal.SIGCONT)
        await helpers.set_store_faults(session, fleet, {'slow': 0.0}, ['dc1'])
        await helpers.wait_until_ready(session, fleet)
        runs = await _check_outcomes(session, fleet, order, [first, *repeats])
        assert runs == 0


async def test_refusals_are_correct_in_outage_and_partition(tmp_path):
    """Guards against a run without a claim and a wrong "not run"."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _prepare_fleet(session, fleet)
        for outage in ('refuse', 'hang'):
            await helpers.cut_streams(session, fleet, ('dc1', 'dc2'))
            await helpers.set_store_faults(
                session, fleet, {'outage': outage}, ['dc2']
            )
            order = helpers.make_order_fields(deadline_seconds=1.0)
            replies = await _send_all(session, fleet, order, calls_per_node=3)
            by_node = dict(zip(fleet.nodes, zip(*[iter(replies)] * 3)))
            replies_in_partition = by_node['dc2-n0'] + by_node['dc2-n1']
            assert {item['outcome'] for item in replies_in_partition} == {
                'unknown'
            }
            other_replies = by_node['dc1-n0'] + by_node['dc1-n1']
            assert 'complete' in {item['outcome'] for item in other_replies}
            first = helpers.make_order_fields(deadline_seconds=1.0)
            reply = await _send(
                session, fleet, 'dc2-n0', first, first_attempt=True
            )
            assert reply['outcome'] == 'refused', reply
            assert reply['reason'] == 'platform_unavailable'
            assert not await helpers.count_order_runs(
                session, fleet, first['request_id']
            )
            await helpers.cut_streams(session, fleet)
            await helpers.set_store_faults(session, fleet, {'outage': ''})
            await _check_outcomes(session, fleet, order, replies)
            await _check_outcomes(session, fleet, first, [reply])
