"""Brings up a fleet for a measurement and reads what it spent."""

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
GROUPS = 4  # processes that share the upstreams
HEALTH_INTERVAL = 0.25  # seconds, the balancer's health check
CONTRACT_LIFE = 3600  # seconds
READY_TIMEOUT = 20.0  # seconds
# Every node must answer so many searches completely before a run.
READY_ANSWERS = 2
_RANKS = {
    core.Rank.URGENT: messages.RANK_URGENT,
    core.Rank.ORDINARY: messages.RANK_ORDINARY,
    core.Rank.DEFERRABLE: messages.RANK_DEFERRABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """What the fleet has spent since its start.

    Attributes:
        begun: Sub-requests that the upstreams began.
        cpu: Processor seconds of the nodes.
    """

    begun: int
    cpu: float


def make_spec(
    deployment: scenarios.Deployment,
    program: str,
    settings: abc.Mapping[tuple[str, str], str],
) -> fleets.FleetSpec:
    """Describes the fleet of one run."""
    return fleets.FleetSpec(
        dcs=('dc1',),
        nodes=deployment.nodes,
        indexes=(deployment.index,),
        settings={('telemetry', 'level'): 'WARNING', **settings},
        upstream_processes=GROUPS,
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
            msg.contract.expiry.FromSeconds(now + CONTRACT_LIFE)
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
    """Waits until every node gives complete answers."""
    async with aiohttp.ClientSession() as session:
        for node in fleet.nodes:
            for _ in range(READY_ANSWERS):
                await fleets.wait_for(
                    lambda node=node: _is_complete(session, fleet, node),
                    f'complete answers of {node}',
                    READY_TIMEOUT,
                )


async def _is_complete(session, fleet, node):
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
    """Replaces the list of ready nodes that the load is sent to."""
    fresh = path.with_suffix('.new')
    fresh.write_text(json.dumps(urls), encoding='utf-8')
    fresh.replace(path)


async def watch_health(fleet: fleets.Fleet, path: pathlib.Path) -> None:
    """Keeps the list of the ready nodes, as a balancer does."""
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


async def read_spent(fleet: fleets.Fleet) -> Spent:
    """Reads the upstreams' counters and the nodes' processor time."""
    async with aiohttp.ClientSession() as session:
        begun = await asyncio.gather(
            *(_read_begun(session, port) for port in fleet.upstreams.values())
        )
    cpu = sum(
        _read_cpu(fleet.procs[name].pid)
        for name in fleet.nodes
        if name in fleet.procs
    )
    return Spent(sum(begun), cpu)


async def _read_begun(session, port):
    url = f'http://{fleets.HOST}:{port}/counters'
    try:
        async with session.get(url) as resp:
            return (await resp.json())['begun']
    except aiohttp.ClientError:
        return 0  # a lost replica; what it began is not counted


def _read_cpu(pid):
    try:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    except OSError:
        return 0.0
    user, system = stat.rpartition(')')[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')
