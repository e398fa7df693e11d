"""Measures reads of the VM list and counts calls to the store."""

import asyncio
import json
import random
import time

import aiohttp
from aiohttp import web

from bench import _fleet_data as fleet_data
from bench import _slopes as slopes
from citronweir import core
from citronweir import metastore
from citronweir import service
from citronweir.service import _config as configs
from fakes import fleet

VM_COUNTS = (500, 1000, 2000, 4000)


def measure_all() -> list[slopes.Slope]:
    """Measures the slopes of the VM list."""
    return asyncio.run(_measure_vm_list())


async def _measure_vm_list():
    """Measures a read of the VM list, including the time of the server."""
    bodies = {count: _encode_vm_list(count) for count in VM_COUNTS}
    response = {'body': b''}

    async def list_vms(http_req):
        return web.Response(
            body=response['body'], content_type='application/json'
        )

    app = web.Application()
    app.router.add_get('/vms', list_vms)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    port = fleet.free_ports(1)[0]
    await web.TCPSite(runner, '127.0.0.1', port).start()
    points, sizes = [], []
    async with aiohttp.ClientSession() as session:
        for count, body in bodies.items():
            response['body'] = body

            async def fetch():
                vms = await metastore.fetch_vms(
                    session, f'http://127.0.0.1:{port}'
                )
                if isinstance(vms, metastore.VmsError):
                    raise RuntimeError(vms.detail)

            points.append((count, await slopes.time_async(fetch, 4)))
            sizes.append((count, len(body) / 1024))
    await runner.cleanup()
    return [
        slopes.make_slope(
            'vms', 'one read of the VM list', 'entries', 'us', points
        ),
        slopes.make_slope(
            'vms_bytes', 'size of the VM list', 'entries', 'KB', sizes
        ),
    ]


def _encode_vm_list(count):
    label_prefix = '__meta_citronweir_'
    return json.dumps(
        [
            {
                'targets': [f'10.0.{number // 250}.{number % 250}:9000'],
                'labels': {
                    label_prefix + 'name': f'readings-{number:05d}',
                    label_prefix + 'role': 'upstream'
                    if number % 6
                    else 'node',
                    label_prefix + 'state': 'live',
                    label_prefix + 'dc': 'dc1',
                },
            }
            for number in range(count)
        ]
    ).encode()


async def count_calls() -> list[tuple[str, int, int, int]]:
    """Counts the calls to the platform's store that an event causes.

    Each event runs the service's own code against a store that counts.

    Returns:
        Rows of event, reads, writes and watches.
    """
    change = core.Change(
        core.ChangeId('c1'),
        core.NO_REVISION,
        fleet_data.make_contract(0, time.time()),
    )
    events = (
        (
            'operator\'s change',
            True,
            lambda deps, config: service.run_change(deps, config, change),
        ),
        ('start of a node with a peer', True, service.load_config),
        ('start of a node without a peer', False, service.load_config),
        ('start of a watch', True, configs.watch_once),
        ('round of anti-entropy', True, service.sync_config),
    )
    rows = []
    for event, has_peer, run in events:
        calls = {'reads': 0, 'writes': 0, 'watches': 0}
        await run(_make_dependencies(calls, has_peer), service.Configuration())
        rows.append((event, *calls.values()))
    return rows


def _make_dependencies(calls, has_peer):
    async def read_all():
        calls['reads'] += 1
        return core.ConfigBatch((), core.Revision(1))

    async def read_one(key):
        calls['reads'] += 1
        return None

    async def write(key, value, expected):
        calls['writes'] += 1
        return core.StoreWritten(core.Revision(2))

    async def watch(revision):
        calls['watches'] += 1
        return
        yield

    async def fetch_from_peer(since):
        return core.ConfigBatch((), core.Revision(1), since, 0.0)

    return service.ConfigDependencies(
        now=time.monotonic,
        wall_now=time.time,
        sleep=lambda seconds: asyncio.sleep(0),
        rng=random.Random(1),
        decode=metastore.decode_record,
        encode=metastore.encode_record,
        read_all=read_all,
        read_one=read_one,
        write=write,
        watch=watch,
        pick_peer=lambda: fetch_from_peer if has_peer else None,
        push_local=lambda batch: None,
        push_remote=lambda batch: None,
        is_watcher=lambda: True,
    )
