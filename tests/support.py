"""Calls and load that several process tests share."""

import asyncio
import collections
from collections import abc
import contextlib
import dataclasses
import time

import aiohttp
import uuid6

from citronweir import core
from citronweir import metastore
from fakes import fleet as fleets

CONTRACT = core.ContractId('urgent-1')
DEADLINE_MS = 8000
# Pause of a load task between two searches, seconds; it keeps the load
# of the test below what a busy test machine serves.
PAUSE = 0.01
HEALTH_INTERVAL = 0.1  # seconds


@dataclasses.dataclass(slots=True)
class Load:
    """Callers that search without end, as behind a load balancer.

    Attributes:
        lag: Seconds for which callers go on using a node after its
            ``/healthz`` said 503.
        targets: Nodes in use.
        outcomes: Replies by outcome.
        started_at: Monotonic second from which ``reasons`` count.
        reasons: Replies that are not whole, by node, reason and time.
        errors: Requests without a whole reply.
        is_echoed: Whether upstreams add the query to each hit.
        wrong: Hits that are not of the caller's query.
        asked: Searches begun, by node.
    """

    fleet: fleets.Fleet
    lag: float = 0.0
    is_echoed: bool = False
    targets: set[str] = dataclasses.field(default_factory=set)
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    errors: list[str] = dataclasses.field(default_factory=list)
    wrong: list[str] = dataclasses.field(default_factory=list)
    asked: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


async def create_contract(fleet: fleets.Fleet) -> None:
    """Writes the contract of the tests into the store."""
    now = time.time()
    contract = core.Contract(
        CONTRACT, core.Rank.URGENT, 2.0, now - 1, now + 600
    )
    async with metastore.make_session() as session:
        reply = await metastore.compare_and_set(
            session,
            f'http://{fleets.HOST}:{fleet.kv_port}',
            metastore.CONTRACTS_PREFIX + CONTRACT,
            metastore.encode_contract(contract),
            0,
        )
    assert isinstance(reply, metastore.Applied)


def make_search(
    query: str = 'worn bearing', deadline_ms: int = DEADLINE_MS
) -> dict:
    """Returns the fields of a search of the contract of the tests."""
    return {
        'contract': CONTRACT,
        'request_id': str(uuid6.uuid7()),
        'index': 'parts',
        'query': query,
        'limit': 10,
        'deadline_ms': deadline_ms,
    }


async def search(
    session: aiohttp.ClientSession, url: str, fields: dict
) -> dict:
    """Sends a search and returns the whole reply.

    Raises:
        aiohttp.ClientError: There was no whole reply.
        TimeoutError: There was no reply within twice the deadline.
    """
    timeout = aiohttp.ClientTimeout(total=2 * DEADLINE_MS / 1000)
    async with session.post(
        f'{url}/v1/search', json=fields, timeout=timeout
    ) as resp:
        reply = await resp.json()
    assert reply['request_id'] == fields['request_id']
    return reply


async def read_health(session: aiohttp.ClientSession, url: str) -> int:
    """Returns the status of ``/healthz``, or 0 without a reply."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with session.get(f'{url}/healthz', timeout=timeout) as resp:
            return resp.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def wait_until_served(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, node: str
) -> None:
    """Waits until a node is ready and answers searches whole."""

    async def is_served():
        if await read_health(session, fleet.url(node)) != 200:
            return False
        reply = await search(session, fleet.url(node), make_search())
        return reply['outcome'] == 'complete'

    await fleets.wait_for(is_served, f'whole answers of {node}')


@contextlib.asynccontextmanager
async def run_served_fleet(
    spec: fleets.FleetSpec, folder
) -> abc.AsyncIterator[tuple[fleets.Fleet, aiohttp.ClientSession]]:
    """Runs a fleet with the contract of the tests, once all nodes serve.

    Each node then knows all nodes and replicas. A node that has just
    started knows some of them, and the tests take most of them away.
    """
    async with (
        fleets.run_fleet(spec, folder) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await create_contract(fleet)
        for node in fleet.nodes:
            await wait_until_served(session, fleet, node)
        for node in fleet.nodes:
            await wait_until_joined(fleet, node)
            await _wait_until_informed(fleet, node)
        yield fleet, session


async def wait_until_joined(fleet: fleets.Fleet, node: str) -> None:
    """Waits until a node knows all running nodes of its data centre."""
    dc = node.partition('-')[0]
    expected = {name for name in fleet.nodes if name.startswith(f'{dc}-')}
    running = {name for name in expected if name in fleet.procs}

    async def is_joined():
        try:
            return await list_alive(fleet, node) >= running
        except aiohttp.ClientConnectionError:
            return False  # the port is not open yet

    await fleets.wait_for(is_joined, f'the members that {node} knows')


async def _wait_until_informed(fleet, node):
    """Waits until a node knows all replicas of its data centre as ready."""
    dc = node.partition('-')[0]
    expected = {name for name in fleet.upstreams if name.startswith(f'{dc}-')}

    async def is_informed():
        status = await call_operators(fleet, node, 'GetStatus', {})
        return expected <= {
            replica['replicaId']
            for replica in status['replicas']
            if replica['state'] == core.ReplicaState.READY.value
        }

    await fleets.wait_for(is_informed, f'the replicas that {node} knows')


async def list_alive(fleet: fleets.Fleet, node: str) -> set[str]:
    """Returns the live members in the view of a node."""
    status = await call_operators(fleet, node, 'GetStatus', {})
    return {
        member['nodeId']
        for member in status['members']
        if member['state'] == core.MemberState.ALIVE.value
    }


async def call_operators(
    fleet: fleets.Fleet, node: str, method: str, fields: dict
) -> dict:
    """Makes an operators' call and returns the reply's fields."""
    port = fleet.nodes[node].operators
    url = (
        f'http://{fleets.HOST}:{port}'
        f'/citronweir.operators.v1.Operators/{method}'
    )
    headers = {'Authorization': f'Bearer {fleets.OPERATOR_KEY}'}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(url, json=fields) as resp,
    ):
        resp.raise_for_status()
        return await resp.json()


async def control_upstream(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, name: str, **fields
) -> None:
    """Sends commands to the stand-in of an upstream."""
    url = f'http://{fleets.HOST}:{fleet.upstreams[name]}/control'
    async with session.post(url, json=fields) as resp:
        resp.raise_for_status()


async def read_counters(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, name: str
) -> dict:
    """Returns what the stand-in of an upstream counted."""
    url = f'http://{fleets.HOST}:{fleet.upstreams[name]}/counters'
    async with session.get(url) as resp:
        return await resp.json()


async def set_kv_faults(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, **faults
) -> None:
    """Sets faults of the stand-in of the key-value service."""
    url = f'http://{fleets.HOST}:{fleet.kv_port}/faults'
    async with session.post(url, json=faults) as resp:
        resp.raise_for_status()


@contextlib.asynccontextmanager
async def run_load(
    load: Load,
    nodes: abc.Iterable[str],
    callers: int = 4,
    make_fields: abc.Callable[[], dict] = make_search,
) -> abc.AsyncIterator[Load]:
    """Sends searches to nodes until the context ends.

    Each caller keeps its connection. The searches that run at the end
    are awaited, so that each one that was begun is counted.

    Args:
        load: Where to count.
        nodes: Nodes to use from the start.
        callers: Callers of each node.
        make_fields: Makes the fields of the next search.

    Yields:
        The counts.
    """
    ended = asyncio.Event()
    load.targets.update(nodes)
    tasks = []
    for node in list(load.targets):
        tasks.append(asyncio.create_task(_balance(load, node, ended)))
        tasks += [
            asyncio.create_task(_call(load, node, ended, make_fields))
            for _ in range(callers)
        ]
    try:
        yield load
    finally:
        ended.set()
        await asyncio.gather(*tasks)


async def wait_for_replies(load: Load, count: int) -> None:
    """Waits for some more replies, so that a phase has seen load."""
    goal = load.outcomes.total() + count

    async def is_reached():
        return load.outcomes.total() >= goal

    await fleets.wait_for(is_reached, f'{count} more replies')


async def wait_for_end(fleet: fleets.Fleet, name: str) -> int:
    """Waits for a process to end and returns its exit status."""

    async def is_ended():
        return fleet.procs[name].poll() is not None

    await fleets.wait_for(is_ended, f'the end of {name}')
    return fleets.wait_process(fleet, name)


def check_uncut(load: Load) -> None:
    """Asserts that every request got a whole reply with a whole answer."""
    assert not load.errors
    assert set(load.outcomes) == {'complete'}, (load.outcomes, load.reasons)


async def _call(load, node, ended, make_fields):
    async with aiohttp.ClientSession() as session:
        while not ended.is_set():
            await asyncio.sleep(PAUSE)
            if node not in load.targets:
                continue
            fields = make_fields()
            load.asked[node] += 1
            try:
                reply = await search(session, load.fleet.url(node), fields)
            except (aiohttp.ClientError, TimeoutError) as exc:
                load.errors.append(f'{node}: {exc!r}')
                continue
            load.outcomes[reply['outcome']] += 1
            if reply['outcome'] != 'complete':
                reason = reply.get('reason', reply['outcome'])
                second = round(time.monotonic() - load.started_at, 1)
                load.reasons[f'{node} {reason} at {second} s'] += 1
            if load.is_echoed:
                _check_hits(load, fields, reply)


def _check_hits(load, fields, reply):
    suffix = f'[{fields["query"]}]'
    hits = reply.get('hits', ())
    load.wrong += [
        f'{fields["query"]}: {hit}'
        for hit in hits
        if not hit['text'].endswith(suffix)
    ]
    if reply['outcome'] == 'complete' and len(hits) != fields['limit']:
        load.wrong.append(f'{fields["query"]}: {len(hits)} hits')


async def _balance(load, node, ended):
    """Takes a node out of use after its 503, and into use after a 200."""
    async with aiohttp.ClientSession() as session:
        while not ended.is_set():
            status = await read_health(session, load.fleet.url(node))
            if status == 200:
                load.targets.add(node)
            elif node in load.targets:
                await asyncio.sleep(load.lag)
                load.targets.discard(node)
            await asyncio.sleep(HEALTH_INTERVAL)
