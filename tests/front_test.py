"""A front node as a process, against stand-ins of the users' platform."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp
from aiohttp import test_utils
import pytest

from fakes import platform_replica as replicas
from fakes import platform_store as stores

START_TIME = 15.0  # seconds
SETTINGS = '''
node = "{node}"
zone = "dc1"
ip = "{host}"
internal_ports = [{port}, {port}]
[zones]
dc1 = "north"
[listen]
front = "{host}:{front}"
readiness = "{host}:{ready}"
[bounds]
grace_s = {grace}
retry_ratio = 0.2
retry_slack = 56
[platform]
address = "127.0.0.1:{store}"
'''


def _route(**fields):
    return {
        'name': 'r',
        'host': 'a.example',
        'path_prefix': '/a/',
        'kind': 'idempotent',
        'timeout_ms': 1000,
        'goal_ms': 500,
        'priority': 0,
        'max_attempts': 2,
    } | fields


def _put_config(store, version, *routes, services=('s0', 's1')):
    config = {
        'version': version,
        'routes': list(routes),
        'backends': [{'name': name, 'max_conns': 26} for name in services],
        'limits': {'max_body_bytes': 1000, 'idle_timeout_ms': 15000},
    }
    stores.put(store, 'op/config', json.dumps(config).encode())


def _put_replica(store, service, replica_id, server, state='ready'):
    port = server.sockets[0].getsockname()[1]
    entry = {
        'backend': service,
        'address': f'127.0.0.1:{port}',
        'zone': 'dc1',
        'slots': 2,
        'state': state,
        'sequence': 1,
    }
    stores.put(store, f'servers/{replica_id}', json.dumps(entry).encode())


class Fleet:
    """State of a test: the stand-ins and the nodes."""

    def __init__(self, store, stack, session, tmp_path):
        self.store = store
        self.stack = stack
        self.session = session
        self.tmp_path = tmp_path
        self.replicas = {}
        self.servers = {}
        self.nodes = {}
        self.ports = {}
        self.hosts = {}


async def _add_replica(fleet, service, replica_id, records=b''):
    replica = replicas.Replica(replica_id, records)
    server = await replicas.start(replica)
    fleet.replicas[replica_id] = replica
    fleet.servers[replica_id] = server
    _put_replica(fleet.store, service, replica_id, server)
    return replica


async def _add_node(fleet, name, grace=2.0):
    front, ready, port = (test_utils.unused_port() for _ in range(3))
    # Each node has an address of its own, as on the platform's machines:
    # the port for metrics is the same on all of them.
    host = f'127.0.1.{len(fleet.nodes) + 1}'
    app = stores.make_app(fleet.store, name)
    store = await fleet.stack.enter_async_context(test_utils.TestServer(app))
    path = fleet.tmp_path / f'{name}.toml'
    path.write_text(
        SETTINGS.format(
            node=name,
            host=host,
            port=port,
            front=front,
            ready=ready,
            store=store.port,
            grace=grace,
        )
    )
    fleet.nodes[name] = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'citronweir.programs.front',
        env=os.environ | {'CITRONWEIR_BOOT': str(path)},
        stdout=open(fleet.tmp_path / f'{name}.log', 'wb'),
    )
    fleet.ports[name] = (f'{host}:{front}', f'{host}:{ready}')
    fleet.hosts[name] = host


async def _status(fleet, name):
    url = f'http://{fleet.ports[name][1]}/citronweir/ready'
    try:
        async with fleet.session.get(url) as resp:
            return resp.status
    except aiohttp.ClientError:
        return None


async def _wait(check):
    async with asyncio.timeout(START_TIME):
        while not await check():
            await asyncio.sleep(0.05)


async def _ask(fleet, name, path='/a/x', request_id='id', **fields):
    url = f'http://{fleet.ports[name][0]}{path}'
    headers = {
        'Host': 'a.example',
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '1000',
    } | fields.pop('headers', {})
    method = fields.pop('method', 'GET')
    async with fleet.session.request(
        method, url, headers=headers, **fields
    ) as resp:
        return resp.status, resp.headers, await resp.read()


@contextlib.asynccontextmanager
async def _run_fleet(tmp_path, nodes=('n1',)):
    store = stores.Store()
    async with contextlib.AsyncExitStack() as stack:
        async with aiohttp.ClientSession() as session:
            fleet = Fleet(store, stack, session, tmp_path)
            for number in range(2):
                for copy in 'ab':
                    name = f'i-{number}{copy}'
                    records = f'{number:016d}'.encode() * 2
                    await _add_replica(fleet, f's{number}', name, records)
            _put_config(store, 3, _route(gather=['s0', 's1'], top_k=3))
            for name in nodes:
                await _add_node(fleet, name)
            try:
                for name in nodes:
                    await _wait(lambda: _is_ready(fleet, name))
                yield fleet
            finally:
                await _end(fleet)


async def _is_ready(fleet, name):
    return await _status(fleet, name) == 200


async def _end(fleet):
    for proc in fleet.nodes.values():
        if proc.returncode is None:
            proc.kill()
            await proc.wait()
    for server in fleet.servers.values():
        server.close()


async def test_gathered_answer_names_its_parts(tmp_path):
    """Guards coverage: signatures, missing shards and greatest records."""
    async with _run_fleet(tmp_path) as fleet:
        status, headers, body = await _ask(fleet, 'n1')
        assert status == 200
        signatures = headers['X-Part-Stamps'].split(', ')
        assert sorted(item[:3] for item in signatures) == ['i-0', 'i-1']
        assert headers['X-Parts-Missing'] == '0'
        assert body == b'%016d' % 1 * 2 + b'%016d' % 0
        line, sent, _ = next(
            item.seen[0] for item in fleet.replicas.values() if item.seen
        )
        assert line == 'GET /a/x HTTP/1.1'
        assert 0 < int(sent['X-Deadline-Ms']) <= 1000


async def test_unknown_route_is_404_and_a_node_without_configuration_503(
    tmp_path,
):
    """Guards callers against a refusal that a later version would lift."""
    async with _run_fleet(tmp_path) as fleet:
        assert (await _ask(fleet, 'n1', '/b/'))[0] == 404
        fleet.store.outage = stores.Outage.BUSY
        await _add_node(fleet, 'n2')
        await _wait(lambda: _answers(fleet, 'n2'))
        status, headers, _ = await _ask(fleet, 'n2')
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert await _status(fleet, 'n2') == 503


async def _answers(fleet, name):
    return await _status(fleet, name) is not None


async def test_change_is_in_force_on_every_node_and_never_reverts(tmp_path):
    """Guards G8 over a dropped history and a store that is mute meanwhile.

    Two of the three nodes watch; the third one hears from them.
    """
    async with _run_fleet(tmp_path, ('n1', 'n2', 'n3')) as fleet:
        fleet.store.is_mute = True
        _put_config(fleet.store, 5, _route(path_prefix='/new/', backend='s0'))
        await asyncio.sleep(0.5)
        stores.compact(fleet.store)
        fleet.store.is_mute = False
        for name in fleet.nodes:
            async with asyncio.timeout(3.0):
                while (await _ask(fleet, name, '/new/'))[0] != 200:
                    await asyncio.sleep(0.05)
        for name in fleet.nodes:
            for _ in range(20):
                assert (await _ask(fleet, name, '/new/'))[0] == 200


async def test_nodes_that_start_together_read_the_store_once(tmp_path):
    """Guards the store against a rush after the loss of all power.

    Each node took itself for a watcher until it knew the others, and read
    everything a second time for its watch.
    """
    names = tuple(f'n{number}' for number in range(1, 7))
    async with _run_fleet(tmp_path, names) as fleet:
        await asyncio.sleep(2.0)
        calls = fleet.store.calls
    assert calls['/citronweir/kv-range'] == len(names)
    # Two watchers see each of the other registrations at most once.
    assert calls['/citronweir/kv-watch'] < 3 * len(names)


async def test_lost_watchers_do_not_hide_a_change(tmp_path):
    """Guards G8 against the death of both nodes that watch the store."""
    names = ('n1', 'n2', 'n3')
    async with _run_fleet(tmp_path, names) as fleet:
        await asyncio.sleep(2.0)
        for stopped in names:
            others = [name for name in names if name != stopped]
            for name in others:
                fleet.nodes[name].send_signal(signal.SIGSTOP)
            prefix = f'/without-{stopped}/'
            version = 10 + names.index(stopped)
            _put_config(
                fleet.store, version, _route(path_prefix=prefix, backend='s0')
            )
            try:
                async with asyncio.timeout(3.0):
                    while (await _ask(fleet, stopped, prefix))[0] != 200:
                        await asyncio.sleep(0.05)
            finally:
                for name in others:
                    fleet.nodes[name].send_signal(signal.SIGCONT)
            await asyncio.sleep(1.0)


async def test_draining_replica_gets_no_new_request(tmp_path):
    """Guards G6: a drain that the store acknowledged reaches each node."""
    async with _run_fleet(tmp_path) as fleet:
        for name in ('i-0a', 'i-1a'):
            _put_replica(
                fleet.store,
                f's{name[2]}',
                name,
                fleet.servers[name],
                'draining',
            )
        await asyncio.sleep(0.5)
        seen = {
            name: len(replica.seen) for name, replica in fleet.replicas.items()
        }
        for number in range(10):
            await _ask(fleet, 'n1', request_id=f'r{number}')
        for name in ('i-0a', 'i-1a'):
            assert len(fleet.replicas[name].seen) == seen[name]


@pytest.mark.parametrize('outage', list(stores.Outage)[1:])
async def test_machine_that_the_store_refuses_hears_from_others(
    tmp_path, outage
):
    """Guards G6 and G8 while the store serves all machines but some."""
    async with _run_fleet(tmp_path, ('n1', 'n2', 'n3')) as fleet:
        fleet.store.refused = {'n1': outage, 'n2': outage}
        server = fleet.servers['i-0a']
        _put_replica(fleet.store, 's0', 'i-0a', server, 'draining')
        _put_config(fleet.store, 5, _route(path_prefix='/new/', backend='s0'))
        for name in fleet.nodes:
            async with asyncio.timeout(3.0):
                while (await _ask(fleet, name, '/new/'))[0] != 200:
                    await asyncio.sleep(0.05)
        seen = len(fleet.replicas['i-0a'].seen)
        for name in fleet.nodes:
            for number in range(10):
                status, _, _ = await _ask(
                    fleet, name, '/new/', f'{name}-{number}'
                )
                assert status == 200
        assert len(fleet.replicas['i-0a'].seen) == seen


async def test_outage_with_lapsed_entries_keeps_the_replicas(tmp_path):
    """Guards against a node that forgets its replicas after an outage."""
    async with _run_fleet(tmp_path) as fleet:
        fleet.store.outage = stores.Outage.SILENT
        for name in fleet.replicas:
            stores.remove(fleet.store, f'servers/{name}')
        await asyncio.sleep(1.5)
        assert (await _ask(fleet, 'n1'))[0] == 200
        fleet.store.outage = stores.Outage.NONE
        for _ in range(15):
            assert (await _ask(fleet, 'n1'))[0] == 200
            await asyncio.sleep(0.1)
        for name, server in fleet.servers.items():
            _put_replica(fleet.store, f's{name[2]}', name, server)
        for _ in range(10):
            assert (await _ask(fleet, 'n1'))[0] == 200
            await asyncio.sleep(0.2)


async def test_non_idempotent_request_with_a_body_runs_once(tmp_path):
    """Guards G5 and the body over a lost reply."""
    async with _run_fleet(tmp_path) as fleet:
        order = _route(
            path_prefix='/order/', kind='non_idempotent', backend='s0'
        )
        _put_config(fleet.store, 4, order)
        await asyncio.sleep(0.5)
        for copy in 'ab':
            fleet.replicas[f'i-0{copy}'].faults = [replicas.Fault.RESET]
        status, _, _ = await _ask(
            fleet, 'n1', '/order/', method='POST', data=b'x' * 500
        )
        assert status == 502
        seen = [
            item
            for replica in fleet.replicas.values()
            for item in replica.seen
            if item[0].startswith('POST')
        ]
        assert [item[2] for item in seen] == [b'x' * 500]


async def test_stop_serves_what_still_comes_and_cuts_nothing(tmp_path):
    """Guards G7: readiness ends at once, open connections are served."""
    async with _run_fleet(tmp_path) as fleet:
        for replica in fleet.replicas.values():
            replica.delay = 0.05
        fleet.nodes['n1'].send_signal(signal.SIGTERM)
        await _wait(lambda: _is_unready(fleet))
        answers = await asyncio.gather(
            *(_ask(fleet, 'n1', request_id=f'r{n}') for n in range(10))
        )
        assert {status for status, _, _ in answers} == {200}
        async with asyncio.timeout(2.5):
            assert await fleet.nodes['n1'].wait() == 0


async def _is_unready(fleet):
    return await _status(fleet, 'n1') == 503


async def test_log_lines_are_objects_with_a_number(tmp_path):
    """Guards the search for a failed request by its id."""
    async with _run_fleet(tmp_path) as fleet:
        for replica in fleet.replicas.values():
            replica.faults = [replicas.Fault.ERROR] * 9
        status, _, _ = await _ask(fleet, 'n1', request_id='failed-one')
        assert status == 502
        await asyncio.sleep(0.2)
        text = (tmp_path / 'n1.log').read_text()
        lines = [json.loads(line) for line in text.splitlines()]
        assert all(line['message'].startswith('CW') for line in lines)
        assert any(line.get('request') == 'failed-one' for line in lines)


@pytest.mark.parametrize('size, status', [(1000, 200), (1001, 413)])
async def test_body_limit_of_the_configuration_holds(tmp_path, size, status):
    """Guards memory against bodies beyond the operators' limit."""
    async with _run_fleet(tmp_path) as fleet:
        answer = await _ask(fleet, 'n1', method='POST', data=b'x' * size)
        assert answer[0] == status


async def test_metrics_count_requests_by_rank_and_outcome(tmp_path):
    """Guards on-call against a metrics address without figures."""
    async with _run_fleet(tmp_path) as fleet:
        await _ask(fleet, 'n1')
        url = f'http://{fleet.hosts["n1"]}:9464/metrics'
        async with fleet.session.get(url) as resp:
            text = await resp.text()
    assert 'citronweir_requests_total' in text
    assert 'citronweir_request_seconds_bucket' in text
    assert 'citronweir_configuration_version 3.0' in text
