"""Starts a fleet for a measurement and reads its resource usage."""

import asyncio
from collections import abc
import dataclasses
import json
import os
import pathlib
import time

import aiohttp
import uuid6

from bench import _scenarios as scenarios
from citronweir import callers
from citronweir import core
from citronweir import operators
from citronweir.operators import messages
from fakes import fleet as fleets

NODE = 'citronweir.programs.node'
BASELINE = 'bench.baseline'
UPSTREAM_PROCESSES = 4  # processes that the upstreams are divided among
HEALTH_INTERVAL = 0.25  # seconds between the balancer's health checks
CONTRACT_LIFETIME = 3600  # seconds
READY_TIMEOUT = 20.0  # seconds
READY_REPLIES = 2  # complete replies that each node must give before a run
_RANKS = {
    core.Rank.URGENT: messages.RANK_URGENT,
    core.Rank.ORDINARY: messages.RANK_ORDINARY,
    core.Rank.DEFERRABLE: messages.RANK_DEFERRABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of the fleet since its start.

    Attributes:
        sub_requests: Number of sub-requests that the upstreams started.
        cpu: CPU time of the nodes, seconds.
    """

    sub_requests: int
    cpu: float


def make_spec(
    deployment: scenarios.Deployment,
    program: str,
    settings: abc.Mapping[tuple[str, str], str],
) -> fleets.FleetSpec:
    """Builds the specification of the fleet of one run."""
    return fleets.FleetSpec(
        dcs=('dc1',),
        nodes=deployment.nodes,
        indexes=(deployment.index,),
        settings={('telemetry', 'level'): 'WARNING', **settings},
        upstream_processes=UPSTREAM_PROCESSES,
        program=program,
    )


async def create_contracts(
    fleet: fleets.Fleet, targets: abc.Mapping[core.Rank, float]
) -> None:
    """Creates a contract for each rank through the operators' port."""
    port = next(iter(fleet.nodes.values())).operators
    await fleets.wait_for(
        lambda: fleets.is_listening(port), "the operators' port"
    )
    async with aiohttp.ClientSession() as session:
        for rank, target in targets.items():
            msg = messages.CreateContractRequest(change_id=str(uuid6.uuid7()))
            msg.contract.contract_id = f'bench-{rank.value}'
            msg.contract.rank = _RANKS[rank]
            msg.contract.latency_target_seconds = target
            now = int(time.time())
            msg.contract.start.FromSeconds(now - 1)
            msg.contract.expiry.FromSeconds(now + CONTRACT_LIFETIME)
            reply = await operators.call(
                session,
                f'http://{fleets.HOST}:{port}',
                fleets.OPERATOR_KEY,
                'CreateContract',
                msg,
            )
            if isinstance(reply, operators.RpcError):
                raise RuntimeError(f'contract not created: {reply.message}')


async def wait_ready(fleet: fleets.Fleet) -> None:
    """Waits until every node gives complete replies."""
    async with aiohttp.ClientSession() as session:
        for node in fleet.nodes:
            for _ in range(READY_REPLIES):
                await fleets.wait_for(
                    lambda node=node: _gives_complete_answer(
                        session, fleet, node
                    ),
                    f'complete replies of {node}',
                    READY_TIMEOUT,
                )


async def _gives_complete_answer(session, fleet, node):
    fields = {
        'contract': 'bench-deferrable',
        'request_id': str(uuid6.uuid7()),
        'index': fleet.spec.indexes[0].name,
        'query': 'span wire',
    }
    reply = await callers.post_search(session, fleet.url(node), fields)
    failed = isinstance(reply, callers.CallerError)
    return not failed and reply.get('coverage') == 1.0


def write_urls(path: pathlib.Path, urls: list[str]) -> None:
    """Atomically replaces the file with the URLs of the ready nodes."""
    new_path = path.with_suffix('.new')
    new_path.write_text(json.dumps(urls), encoding='utf-8')
    new_path.replace(path)


async def watch_health(fleet: fleets.Fleet, path: pathlib.Path) -> None:
    """Keeps the list of ready nodes up to date, like a load balancer."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            names = list(fleet.nodes)
            ready = await asyncio.gather(
                *(_is_ready(session, fleet.url(name)) for name in names)
            )
            urls = [
                fleet.url(name)
                for name, ok in zip(names, ready, strict=True)
                if ok
            ]
            if urls:
                write_urls(path, urls)
            await asyncio.sleep(HEALTH_INTERVAL)


async def _is_ready(session, url):
    try:
        async with session.get(f'{url}/healthz') as resp:
            return resp.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


async def read_usage(fleet: fleets.Fleet) -> Usage:
    """Reads the upstreams' counters and the nodes' CPU time."""
    async with aiohttp.ClientSession() as session:
        sub_requests = await asyncio.gather(
            *(
                _read_sub_requests(session, port)
                for port in fleet.upstreams.values()
            )
        )
    cpu = sum(
        _read_cpu(fleet.procs[name].pid)
        for name in fleet.nodes
        if name in fleet.procs
    )
    return Usage(sum(sub_requests), cpu)


async def _read_sub_requests(session, port):
    url = f'http://{fleets.HOST}:{port}/counters'
    try:
        async with session.get(url) as resp:
            return (await resp.json())['begun']
    except aiohttp.ClientError:
        return 0  # the sub-requests of a lost replica are not counted


def _read_cpu(pid):
    try:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    except OSError:
        return 0.0
    user, system = stat.rpartition(')')[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')
