"""Runs the whole system on one machine and checks each line it prints.

Two data centres with two nodes each and fakes of the upstreams and of the
platform run as separate processes on the loopback.
"""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import cyclopts
import uuid6

from citronweir import callers
from citronweir import core
from fakes import fleet as fleets

INDEXES = (
    fleets.IndexSpec('parts', shards=4, replicas=2),
    fleets.IndexSpec('manuals', shards=3, replicas=2),
    fleets.IndexSpec('orders', shards=1, replicas=3, slots=4, service_ms=2),
)
# Latency targets of the contracts in seconds.
TARGETS = {
    core.Rank.URGENT: 0.5,
    core.Rank.ORDINARY: 1.0,
    core.Rank.DEFERRABLE: 3.0,
}
# Load of searches while a node is replaced.
BACKGROUND_RATE = 40.0  # searches a second
BACKGROUND_DURATION = 4.0  # seconds
SEARCH_TIMEOUT = 10.0  # seconds

Fields = dict[str, typing.Any]


async def run_demo(folder: pathlib.Path, *, serve: bool = False) -> list[str]:
    """Runs the demonstration.

    Args:
        folder: Folder for settings and logs.
        serve: Keep the fleet running afterwards until interrupted.

    Returns:
        Texts of the checks that failed.
    """
    failed_checks = []

    def check(text, holds):
        print(f'{"ok    " if holds else "FAILED"} {text}')
        if not holds:
            failed_checks.append(text)

    spec = fleets.FleetSpec(indexes=INDEXES)
    timeout = aiohttp.ClientTimeout(total=SEARCH_TIMEOUT)
    async with (
        fleets.run_fleet(spec, folder) as fleet,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        balancers = await _start_balancers(fleet)
        names = ', '.join(f'{name} {url}' for name, url in balancers.items())
        print(f'{len(fleet.procs)} processes; balancers: {names}')
        await _create_contracts(fleet, check)
        await _wait_until_served(session, fleet)
        await _show_searches(session, balancers, check)
        await _show_order(session, fleet, check)
        await _show_replacement(session, fleet, balancers['dc1'], check)
        if serve:
            await _keep_serving(fleet, balancers['dc1'])
    return failed_checks


async def _keep_serving(fleet, url):
    node = next(iter(fleet.nodes))
    ports = fleet.nodes[node]
    print('\nThe fleet serves until Ctrl-C. In another shell:\n')
    print('export PATH="$PWD/.venv/bin:$PATH"')
    print(f'export CITRONWEIR={url}')
    base = f'http://{fleets.HOST}'
    print(f'export CITRONWEIR_OPERATORS_URL={base}:{ports.operators}')
    print(f'export CITRONWEIR_METRICS={base}:{ports.metrics}')
    print(f'export CITRONWEIR_SETTINGS={fleet.folder / node}.ini')
    print(f'export CITRONWEIR_OPERATOR_KEY={fleets.OPERATOR_KEY}', flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stopped.set)
    await stopped.wait()


async def _start_balancers(fleet):
    urls = {}
    for dc in fleet.spec.dcs:
        (port,) = fleets.free_ports(1)
        targets = [
            f'{fleets.HOST}:{ports.callers}'
            for name, ports in fleet.nodes.items()
            if name.startswith(dc)
        ]
        fleets.start_process(
            fleet,
            f'{dc}-balancer',
            'fakes.balancer',
            *targets,
            '--port',
            port,
        )
        await fleets.wait_for(lambda: fleets.is_listening(port), 'a balancer')
        urls[dc] = f'http://{fleets.HOST}:{port}'
    return urls


async def _create_contracts(fleet, check):
    node = next(iter(fleet.nodes))
    url = f'http://{fleets.HOST}:{fleet.nodes[node].operators}'
    start, expiry = (
        time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(time.time() + shift))
        for shift in (-60, 3600)
    )
    for rank, target in TARGETS.items():
        command = [
            *(sys.executable, '-m', 'citronweir.programs.admin'),
            *('contract', 'create', f'demo-{rank.value}'),
            *('--rank', rank.value, '--latency-ms', str(target * 1000)),
            *('--start', start, '--expiry', expiry, '--url', url),
        ]
        env = {**os.environ, 'CITRONWEIR_OPERATOR_KEY': fleets.OPERATOR_KEY}
        proc = await asyncio.to_thread(
            subprocess.run,
            command,
            env=env,
            cwd=fleets.ROOT,
            stdout=subprocess.DEVNULL,
        )
        check(f'contract demo-{rank.value} created', proc.returncode == 0)


async def _wait_until_served(session, fleet):
    for node in fleet.nodes:
        for index in fleet.spec.indexes:

            async def is_served():
                reply = await _search(
                    session, fleet.url(node), core.Rank.ORDINARY, index.name
                )
                return reply['outcome'] == 'complete'

            await fleets.wait_for(is_served, f'{index.name} at {node}')


async def _search(session, url, rank, index) -> Fields:
    fields = {
        'contract': f'demo-{rank.value}',
        'request_id': str(uuid6.uuid7()),
        'index': index,
        'query': 'worn bearing',
    }
    reply = await callers.post_search(session, url, fields)
    if isinstance(reply, callers.CallerError):
        return {'outcome': 'no reply', 'detail': reply.detail}
    return reply


async def _show_searches(session, balancers, check):
    for dc, url in balancers.items():
        for rank, target in TARGETS.items():
            index = 'parts' if dc == 'dc1' else 'manuals'
            started_at = time.monotonic()
            reply = await _search(session, url, rank, index)
            latency = time.monotonic() - started_at
            check(
                f'{dc} {index}: rank {rank.value}, snapshot '
                f'{reply.get("snapshot")}, coverage '
                f'{reply.get("coverage")}, {latency * 1000:.0f} ms, '
                f'outcome {reply["outcome"]}',
                reply['outcome'] == 'complete'
                and reply['coverage'] == 1.0
                and reply['snapshot'] == 1
                and reply['hits']
                and latency <= target,
            )


async def _show_order(session, fleet, check):
    fields = {
        'contract': 'demo-urgent',
        'request_id': str(uuid6.uuid7()),
        'index': 'orders',
        'body': 'replace bearing 7 at pump 14',
    }
    nodes = list(fleet.nodes)
    replies = []
    for node, is_first in ((nodes[0], True), (nodes[-1], False)):
        started_at = time.monotonic()
        reply = await callers.post_order(
            session, fleet.url(node), {**fields, 'first_attempt': is_first}
        )
        latency = time.monotonic() - started_at
        replies.append(reply)
        check(
            f'order at {node}: {latency * 1000:.0f} ms, outcome '
            f'{reply["outcome"]}, result {reply.get("result")!r}',
            reply['outcome'] == 'complete',
        )
    runs = 0
    for port in fleet.upstreams.values():
        async with session.get(f'http://{fleets.HOST}:{port}/orders') as resp:
            runs += (await resp.json())['orders'].count(fields['request_id'])
    check(
        f'the order ran {runs} time; both answers carry its result',
        runs == 1 and replies[0]['result'] == replies[1]['result'],
    )


async def _show_replacement(session, fleet, url, check):
    node = 'dc1-n0'
    background_searches = asyncio.create_task(
        _run_background_searches(session, url)
    )
    await asyncio.sleep(BACKGROUND_DURATION / 4)
    fleets.signal_process(fleet, node, signal.SIGTERM)
    status = await asyncio.to_thread(fleets.wait_process, fleet, node)
    fleets.start_node(fleet, 'dc1', node)
    outcomes = await background_searches
    complete = outcomes.count('complete')
    check(f'node {node} stopped with exit status {status}', status == 0)
    check(
        f'{complete} of {len(outcomes)} searches complete while it was '
        'replaced',
        complete == len(outcomes),
    )

    async def is_serving():
        reply = await _search(
            session, fleet.url(node), core.Rank.URGENT, 'parts'
        )
        return reply['outcome'] == 'complete'

    await fleets.wait_for(is_serving, 'the replaced node')
    check(f'node {node} serves again', True)


async def _run_background_searches(session, url):
    count = int(BACKGROUND_RATE * BACKGROUND_DURATION)
    tasks = []
    for _ in range(count):
        tasks.append(
            asyncio.create_task(
                _search(session, url, core.Rank.ORDINARY, 'parts')
            )
        )
        await asyncio.sleep(1 / BACKGROUND_RATE)
    return [reply['outcome'] for reply in await asyncio.gather(*tasks)]


def main(*, serve: bool = False) -> None:
    """Runs the demonstration and exits with status 0 if all checks passed.

    Args:
        serve: Keep the fleet running afterwards until Ctrl-C.
    """
    with tempfile.TemporaryDirectory() as folder:
        started_at = time.monotonic()
        failed_checks = asyncio.run(
            run_demo(pathlib.Path(folder), serve=serve)
        )
        seconds = time.monotonic() - started_at
    print(f'{len(failed_checks)} claims failed; {seconds:.0f} s')
    sys.exit(1 if failed_checks else 0)


if __name__ == '__main__':
    cyclopts.run(main)
