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
UNSEEN = 'lost'  # outcome of a call without a reply


async def _start(session, fleet):
    await helpers.wait_ready(session, fleet)
    await helpers.create(session, fleet, 'dc1-n0')
    await helpers.wait_served(session, fleet)
    await _wait_orders(session, fleet)


async def _wait_orders(session, fleet):
    """Waits until every node knows a replica and has a lease."""
    for node in fleet.nodes:

        async def is_complete():
            reply = await _send(session, fleet, node, helpers.order_fields())
            return reply['outcome'] == 'complete'

        await fleets.wait_for(is_complete, f'an order through {node}')


async def _send(session, fleet, node, order, **fields):
    reply = await callers.post_order(session, fleet.url(node), order | fields)
    if isinstance(reply, callers.CallerError):
        return {'outcome': UNSEEN, 'detail': reply.detail}
    return reply


async def _send_all(session, fleet, order, copies=1):
    calls = [
        _send(session, fleet, node, order)
        for node in fleet.nodes
        for _ in range(copies)
    ]
    return await asyncio.gather(*calls)


async def _hold(session, fleet, is_held):
    for port in fleet.upstreams.values():
        control = {'set': {'hold': is_held}}
        await helpers.post_json(session, port, '/control', control)


async def _check(session, fleet, order, replies, result=None):
    """Checks what callers were told against what the upstreams ran.

    Args:
        session: Client session.
        fleet: The fleet, with its platform reachable again.
        order: The order.
        replies: All replies that callers got for it.
        result: Result of the run, if one reply carried it.
    """
    runs = await helpers.count_runs(session, fleet, order['request_id'])
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
    # Each refusal was true at its time; repeats run it if none did.
    for _ in range(2):
        repeats = await _send_all(session, fleet, order)
        kinds = {item['outcome'] for item in repeats}
        assert kinds <= {'complete', 'unknown'}, repeats
        results.update(item['result'] for item in repeats if 'result' in item)
        assert len(results) <= 1, (replies, repeats)
    now_runs = await helpers.count_runs(session, fleet, order['request_id'])
    assert now_runs <= 1, (replies, repeats)
    return runs


async def test_same_id_at_all_nodes_runs_once(tmp_path):
    """Guards against two nodes that both run an order."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _start(session, fleet)
        for faults in (
            {},
            {'lost_replies': 1},
            {'delayed_writes': 2, 'write_delay': 0.05},
            {'dropped_writes': 2},
            {'lost_replies': 2, 'stale_reads': 4},
            {'delayed_writes': 3, 'write_delay': 0.5, 'stale_reads': 2},
        ):
            for _ in range(3):
                order = helpers.order_fields()
                await helpers.set_faults(session, fleet, faults)
                replies = await _send_all(session, fleet, order, copies=4)
                clean = {name: 0 for name in faults if name != 'write_delay'}
                await helpers.set_faults(session, fleet, clean)
                runs = await _check(session, fleet, order, replies)
                outcomes = {item['outcome'] for item in replies}
                if runs:
                    continue
                assert 'complete' not in outcomes
        order = helpers.order_fields()
        replies = await _send_all(session, fleet, order, copies=4)
        assert 'complete' in {item['outcome'] for item in replies}
        assert 'refused' not in {item['outcome'] for item in replies}


async def test_killed_claimant_causes_no_second_run(tmp_path):
    """Guards against a repeat that takes over a dead node's claim."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _start(session, fleet)
        for is_dispatched in (False, True):
            order = helpers.order_fields(budget=8.0)
            if is_dispatched:
                await _hold(session, fleet, True)
            else:
                # The claim is written, but its reply does not come.
                slow = {'lost_replies': 1, 'slow': 0.5}
                await helpers.set_faults(session, fleet, slow, ['dc1'])
            task = asyncio.create_task(_send(session, fleet, 'dc1-n0', order))

            async def has_claim():
                if is_dispatched:
                    return await helpers.count_runs(
                        session, fleet, order['request_id']
                    )
                return (
                    await helpers.read_fault(
                        session, fleet, 'dc1', 'lost_replies'
                    )
                    == 0
                )

            await fleets.wait_for(has_claim, 'the claim')
            fleets.signal_process(fleet, 'dc1-n0', signal.SIGKILL)
            fleets.wait_process(fleet, 'dc1-n0')
            first = await task
            assert first['outcome'] == UNSEEN
            port = fleet.nodes.pop('dc1-n0')
            clean = {'lost_replies': 0, 'slow': 0.0}
            await helpers.set_faults(session, fleet, clean)
            during = await _send_all(session, fleet, order)
            assert {item['outcome'] for item in during} == {'unknown'}
            await _hold(session, fleet, False)
            fleet.nodes['dc1-n0'] = port
            fleets.start_node(fleet, 'dc1', 'dc1-n0')
            await helpers.wait_ready(session, fleet)
            runs = await _check(session, fleet, order, during)
            assert runs == is_dispatched
            await _wait_orders(session, fleet)


async def test_killed_owner_causes_no_second_run(tmp_path):
    """Guards against an order sent again when its relay breaks.

    The orders enter at the node that does not own the replica; the owner
    is killed while the replica holds what has begun.
    """
    index = fleets.IndexSpec('parts', 1, 1, service_ms=20.0)
    spec = fleets.FleetSpec(dcs=('dc1',), nodes=2, indexes=(index,))
    owner = helpers.find_owner('dc1', 2, 'dc1-parts-0-0')
    (entry,) = {'dc1-n0', 'dc1-n1'} - {owner}
    async with (
        fleets.run_fleet(spec, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _start(session, fleet)
        await _hold(session, fleet, True)
        orders = [helpers.order_fields(budget=8.0) for _ in range(6)]
        tasks = [
            asyncio.create_task(
                _send(session, fleet, entry, order, first_attempt=True)
            )
            for order in orders
        ]

        async def are_begun():
            return await _count_all(session, fleet, orders) == index.slots

        await fleets.wait_for(are_begun, 'the replica to be busy')
        fleets.signal_process(fleet, owner, signal.SIGKILL)
        fleets.wait_process(fleet, owner)
        del fleet.nodes[owner]
        await _hold(session, fleet, False)
        replies = await asyncio.gather(*tasks)
        runs = [
            await _check(session, fleet, order, [reply])
            for order, reply in zip(orders, replies)
        ]
        assert sum(runs) >= index.slots


async def _count_all(session, fleet, orders):
    runs = [
        await helpers.count_runs(session, fleet, order['request_id'])
        for order in orders
    ]
    return sum(runs)


async def test_paused_claimant_dispatches_nothing_late(tmp_path):
    """Guards against a claimant that wakes up past its deadline."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _start(session, fleet)
        order = helpers.order_fields(budget=0.8)
        await helpers.set_faults(session, fleet, {'slow': 0.3}, ['dc1'])
        before = await helpers.read_calls(session, fleet, 'dc1', 'txn')
        task = asyncio.create_task(_send(session, fleet, 'dc1-n0', order))

        async def is_claiming():
            calls = await helpers.read_calls(session, fleet, 'dc1', 'txn')
            return calls > before

        await fleets.wait_for(is_claiming, 'the claim to be written')
        fleets.signal_process(fleet, 'dc1-n0', signal.SIGSTOP)
        first = await task  # the caller gives up after the deadline
        assert first['outcome'] == UNSEEN
        repeats = [
            await _send(session, fleet, node, order)
            for node in ('dc1-n1', 'dc2-n0')
        ]
        assert 'complete' not in {item['outcome'] for item in repeats}
        fleets.signal_process(fleet, 'dc1-n0', signal.SIGCONT)
        await helpers.set_faults(session, fleet, {'slow': 0.0}, ['dc1'])
        await helpers.wait_ready(session, fleet)
        runs = await _check(session, fleet, order, [first, *repeats])
        assert runs == 0


async def test_outage_and_cut_refuse_truly(tmp_path):
    """Guards against a run without a claim and a false "not run"."""
    async with (
        fleets.run_fleet(SPEC, tmp_path) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await _start(session, fleet)
        for outage in ('refuse', 'hang'):
            await helpers.cut_streams(session, fleet, ('dc1', 'dc2'))
            await helpers.set_faults(
                session, fleet, {'outage': outage}, ['dc2']
            )
            order = helpers.order_fields(budget=1.0)
            replies = await _send_all(session, fleet, order, copies=3)
            by_dc = dict(zip(fleet.nodes, zip(*[iter(replies)] * 3)))
            cut_off = by_dc['dc2-n0'] + by_dc['dc2-n1']
            assert {item['outcome'] for item in cut_off} == {'unknown'}
            others = by_dc['dc1-n0'] + by_dc['dc1-n1']
            assert 'complete' in {item['outcome'] for item in others}
            first = helpers.order_fields(budget=1.0)
            reply = await _send(
                session, fleet, 'dc2-n0', first, first_attempt=True
            )
            assert reply['outcome'] == 'refused', reply
            assert reply['reason'] == 'platform_unavailable'
            assert not await helpers.count_runs(
                session, fleet, first['request_id']
            )
            await helpers.cut_streams(session, fleet)
            await helpers.set_faults(session, fleet, {'outage': ''})
            await _check(session, fleet, order, replies)
            await _check(session, fleet, first, [reply])
