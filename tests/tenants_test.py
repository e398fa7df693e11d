"""Tests of front-node processes with tenants, keys, homes and evacuations."""

import asyncio
import signal

import aiohttp

from fakes import front_fleet as fleets
from fakes import platform_store as stores

# Seconds until a change is in force on all nodes; the platform allows 3.
SPREAD_TIME = 2.5
KEY, OTHER_KEY = 'k3yoftenant1xyz', 'k3yoftenant2xyz'
REVOKE_SECONDS = 2.0
STRICT = f'strict_revoke = true\nrevoke_ms = {REVOKE_SECONDS * 1000:.0f}'


def _make_tenant(name='t1', api_keys=(KEY,), **fields):
    return {'name': name, 'api_keys': list(api_keys), 'priority': 1} | fields


def _put_config(fleet, version, *tenants, **fields):
    fleets.put_config(
        fleet.store,
        version,
        fleets.make_route(
            gather=list(fleets.SERVICES), top_k=3, min_shard_ratio=1.0
        ),
        fleets.make_route(
            name='open', path_prefix='/open/', backend='s0', public=True
        ),
        tenants=list(tenants) or [_make_tenant()],
        **fields,
    )


async def _send(fleet, node, request_id, key=KEY, path='/a/x', **fields):
    headers = {'X-Tenant': 'forged'}
    if key is not None:
        headers['Authorization'] = f'Bearer {key}'
    status, _, _ = await fleets.send_request(
        fleet, node, path, request_id, headers=headers, **fields
    )
    return status


async def _wait_for_keys(fleet, *nodes):
    """Waits until the nodes refuse an unknown key."""
    for node in nodes:

        async def is_in_force(node=node):
            return await _send(fleet, node, 'wait', 'unknown') == 401

        await fleets.wait_for(is_in_force)


def _list_run(fleet):
    return {
        request_id
        for replica in fleet.replicas.values()
        for request_id in replica.state.ran
    }


def _list_headers(fleet):
    return [
        headers
        for replica in fleet.replicas.values()
        for _, headers, _ in replica.state.seen
    ]


async def test_key_is_replaced_by_the_tenant_and_stays_at_the_node(tmp_path):
    """Guards UNASKED and ROUTE: no key or forged tenant leaves a node."""
    async with fleets.run(tmp_path, nodes=('n1', 'n2')) as fleet:
        _put_config(fleet, 4)
        await _wait_for_keys(fleet, 'n1', 'n2')
        for replica in fleet.replicas.values():
            replica.state.seen.clear()
        assert await _send(fleet, 'n1', 'good') == 200
        assert await _send(fleet, 'n2', 'bad', OTHER_KEY) == 401
        assert await _send(fleet, 'n2', 'none', None) == 401
        headers = _list_headers(fleet)
        assert {item.get('X-Tenant') for item in headers} == {'t1'}
        assert not any('Authorization' in item for item in headers)
        assert await _send(fleet, 'n2', 'open', None, '/open/x') == 200
        assert _list_run(fleet) >= {'good', 'open'}
        assert not _list_run(fleet) & {'bad', 'none'}
        assert 'forged' not in str(_list_headers(fleet))
        url = f'http://{fleet.nodes["n1"].host}:9464/metrics'
        async with fleet.session.get(url) as resp:
            metrics_text = await resp.text()
    logs = ''.join(path.read_text() for path in tmp_path.glob('*.log'))
    assert 'CW1110' in logs
    for key in (KEY, OTHER_KEY):
        assert key not in logs + metrics_text


async def test_withdrawn_key_is_refused_by_all_nodes(tmp_path):
    """Guards CONFIG for keys that a newer version lacks."""
    async with fleets.run(tmp_path, nodes=('n1', 'n2')) as fleet:
        _put_config(fleet, 4, _make_tenant(api_keys=(KEY, OTHER_KEY)))
        await _wait_for_keys(fleet, 'n1', 'n2')
        _put_config(fleet, 5, _make_tenant(api_keys=(OTHER_KEY,)))
        await asyncio.sleep(SPREAD_TIME)
        for node in ('n1', 'n2'):
            assert await _send(fleet, node, f'old {node}') == 401
            assert await _send(fleet, node, 'new', OTHER_KEY) == 200


async def test_node_that_the_store_turns_away_stops_using_keys(tmp_path):
    """Guards CONFIG (strict): the node can't learn of the withdrawal."""
    async with fleets.run(tmp_path, bounds=STRICT) as fleet:
        _put_config(fleet, 4)
        await _wait_for_keys(fleet, 'n1')
        fleet.store.machine_outages['n1'] = stores.Outage.BUSY
        _put_config(fleet, 5, _make_tenant(api_keys=()))
        await asyncio.sleep(REVOKE_SECONDS)
        assert await _send(fleet, 'n1', 'late') == 503
        assert await _send(fleet, 'n1', 'open', None, '/open/x') == 200
        assert await fleets.fetch_readiness_status(fleet, 'n1') == 503
        assert 'late' not in _list_run(fleet)
        del fleet.store.machine_outages['n1']
        await _wait_for_keys(fleet, 'n1')
        assert await _send(fleet, 'n1', 'known') == 401
        assert await fleets.is_ready(fleet, 'n1')


async def test_paused_node_doesnt_use_an_old_permission(tmp_path):
    """Guards CONFIG (strict): the request waits while the node is paused."""
    async with fleets.run(
        tmp_path, nodes=('n1', 'n2'), bounds=STRICT
    ) as fleet:
        _put_config(fleet, 4)
        await _wait_for_keys(fleet, 'n1', 'n2')
        proc = fleet.nodes['n1'].proc
        proc.send_signal(signal.SIGSTOP)
        _put_config(fleet, 5, _make_tenant(api_keys=()))
        await asyncio.sleep(REVOKE_SECONDS + 0.2)
        async with aiohttp.ClientSession() as session:
            requests = [
                asyncio.create_task(
                    _send(
                        fleet,
                        'n1',
                        f'paused{number}',
                        session=session,
                        deadline=5000,
                    )
                )
                for number in range(8)
            ]
            await asyncio.sleep(0.2)
            proc.send_signal(signal.SIGCONT)
            statuses = set(await asyncio.gather(*requests))
        assert statuses <= {401, 503}
        assert not any('paused' in item for item in _list_run(fleet))


async def test_older_copy_of_the_store_brings_no_key_back(tmp_path):
    """Guards G8 when the store loses the withdrawal of a key."""
    async with fleets.run(tmp_path, nodes=('n1', 'n2')) as fleet:
        _put_config(fleet, 4, _make_tenant(api_keys=(KEY, OTHER_KEY)))
        await _wait_for_keys(fleet, 'n1', 'n2')
        copy = stores.copy_state(fleet.store)
        _put_config(fleet, 5, _make_tenant(api_keys=(OTHER_KEY,)))
        await asyncio.sleep(SPREAD_TIME)
        stores.return_from_copy(fleet.store, copy)
        await asyncio.sleep(SPREAD_TIME)
        await fleets.add_node(fleet, 'n3')
        await fleets.wait_for(lambda: fleets.is_ready(fleet, 'n3'))
        for node in ('n1', 'n2', 'n3'):
            assert await _send(fleet, node, f'old {node}') == 401
            assert await _send(fleet, node, 'new', OTHER_KEY) == 200

        async def are_listed():
            names = {f'citronweir/nodes/n{number}' for number in (1, 2, 3)}
            return names <= set(fleet.store.items)

        await fleets.wait_for(are_listed)
        _put_config(fleet, 6, _make_tenant(api_keys=(KEY,)))
        await asyncio.sleep(SPREAD_TIME)
        for node in ('n1', 'n2', 'n3'):
            assert await _send(fleet, node, f'back {node}') == 200


async def test_requests_stay_at_home_and_out_of_evacuated_places(tmp_path):
    """Guards HOME and EVAC for first attempts and hedges of all nodes."""
    async with fleets.run(tmp_path, nodes=('n1', 'n2')) as fleet:
        for name in ('i-0b', 'i-1b'):
            fleet.replicas[name].dc = 'dc2'
            fleets.put_replica(fleet, name)
        south = _make_tenant('t2', [OTHER_KEY], allowed_regions=['south'])
        _put_config(fleet, 4, _make_tenant(), south)
        await _wait_for_keys(fleet, 'n1', 'n2')
        for replica in fleet.replicas.values():
            replica.state.ran.clear()
        for number in range(20):
            node = f'n{1 + number % 2}'
            assert await _send(fleet, node, f's{number}', OTHER_KEY) == 200
        for name in ('i-0a', 'i-1a'):
            assert not fleet.replicas[name].state.ran
        stores.put(fleet.store, 'op/evacuate/dc2', b'{}')
        await asyncio.sleep(SPREAD_TIME)
        before = len(fleet.replicas['i-0b'].state.seen)
        for number in range(20):
            node = f'n{1 + number % 2}'
            assert await _send(fleet, node, f'e{number}') == 200
            assert await _send(fleet, node, f'h{number}', OTHER_KEY) == 503
        assert len(fleet.replicas['i-0b'].state.seen) == before
        stores.remove(fleet.store, 'op/evacuate/dc2')
        await asyncio.sleep(SPREAD_TIME)
        assert await _send(fleet, 'n1', 'again', OTHER_KEY) == 200
