"""Runs several fake upstreams in one process, each on its own port.

Benchmarks need dozens of replicas; one process for each would take most
of the machine's memory. A crash closes the replica's port and connections,
and the replica restarts with a new epoch.
"""

import asyncio
import contextlib
import json
import pathlib
import time

import cyclopts

from fakes import replica as replicas
from fakes import upstream as upstreams


async def run_upstreams(specs: list[dict], host: str) -> None:
    """Serves replicas until cancelled.

    Args:
        specs: For each replica, the options of ``fakes.upstream`` that
            ``fakes.fleet.start_shared_upstreams`` writes.
        host: IP address to listen on.
    """
    async with contextlib.AsyncExitStack() as stack:
        for spec in specs:
            upstream = replicas.make_upstream(
                spec['replica'],
                spec['index'],
                spec['shard'],
                spec['shards'],
                spec['slots'],
                spec['service_ms'],
                spec['docs'],
            )
            upstream.faults.max_conns = spec['max_conns']
            upstream.faults.conn_ms = spec['conn_ms']
            await stack.enter_async_context(
                upstreams.run_upstream(upstream, host, spec['port'])
            )
            upstream.crash = _make_restarting_crash(upstream)
        await asyncio.Event().wait()


def _make_restarting_crash(upstream):
    """Builds a crash function after which the replica restarts."""
    stop_listening = upstream.crash
    restarts = set()

    async def restart():
        await asyncio.sleep(upstream.faults.down_s)
        upstream.epoch = time.time_ns() // 1_000_000
        await upstream.reopen()

    def crash():
        stop_listening()
        task = asyncio.create_task(restart())
        restarts.add(task)
        task.add_done_callback(restarts.discard)

    return crash


def main(spec: pathlib.Path, host: str = '127.0.0.1') -> None:
    """Runs the replicas that are listed in a JSON file."""
    specs = json.loads(spec.read_text(encoding='utf-8'))
    asyncio.run(run_upstreams(specs, host))


if __name__ == '__main__':
    cyclopts.run(main)
