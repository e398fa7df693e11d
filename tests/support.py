"""Search load and JSON calls for tests that run real node processes."""

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
# Seconds between two searches of a simulated caller; keeps the load below
# the capacity of a busy test machine.
SEARCH_INTERVAL = 0.01
HEALTH_INTERVAL = 0.1  # seconds


@dataclasses.dataclass(slots=True)
class Load:
    """Simulated callers behind a load balancer, and their results.

    Attributes:
        removal_delay: Seconds for which the load balancer keeps using a node
            after its ``/healthz`` returned 503.
        targets: Nodes that the load balancer uses.
        outcomes: Numbers of replies by outcome.
        started_at: Monotonic time to which the times of
            ``incomplete_replies`` are relative.
        incomplete_replies: Numbers of replies with an outcome other than
            ``complete``, by node, reason and time.
        errors: Requests that got no reply or a truncated one.
        is_echo_expected: Whether upstreams append the query to each hit.
        wrong_hits: Hits that belong to another query.
        sent_counts: Numbers of searches started, by node.
    """

    fleet: fleets.Fleet
    removal_delay: float = 0.0
    is_echo_expected: bool = False
    targets: set[str] = dataclasses.field(default_factory=set)
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    started_at: float = dataclasses.field(default_factory=time.monotonic)
    incomplete_replies: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    errors: list[str] = dataclasses.field(default_factory=list)
    wrong_hits: list[str] = dataclasses.field(default_factory=list)
    sent_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


async def create_contract(fleet: fleets.Fleet) -> None:
    """Writes the contract that the tests use into the store."""
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


def make_search_fields(
    query: str = 'worn bearing', deadline_ms: int = DEADLINE_MS
) -> dict:
    """Returns the fields of a search under the tests' contract."""
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
    """Sends a search and returns the complete reply.

    Raises:
        aiohttp.ClientError: The reply is missing or truncated.
        TimeoutError: No reply arrived within twice the deadline.
    """
    timeout = aiohttp.ClientTimeout(total=2 * DEADLINE_MS / 1000)
    async with session.post(
        f'{url}/v1/search', json=fields, timeout=timeout
    ) as resp:
        reply = await resp.json()
    assert reply['request_id'] == fields['request_id']
    return reply


async def read_health(session: aiohttp.ClientSession, url: str) -> int:
    """Returns the HTTP status of ``/healthz``, or 0 without a reply."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    try:
        async with session.get(f'{url}/healthz', timeout=timeout) as resp:
            return resp.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def wait_until_serving(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, node: str
) -> None:
    """Waits until a node is ready and returns complete answers."""

    async def is_serving():
        if await read_health(session, fleet.url(node)) != 200:
            return False
        reply = await search(session, fleet.url(node), make_search_fields())
        return reply['outcome'] == 'complete'

    await fleets.wait_for(is_serving, f'complete answers from {node}')


@contextlib.asynccontextmanager
async def run_serving_fleet(
    spec: fleets.FleetSpec, folder
) -> abc.AsyncIterator[tuple[fleets.Fleet, aiohttp.ClientSession]]:
    """Runs a fleet with the tests' contract and yields once all nodes serve.

    By then each node knows all nodes and replicas. A node that has just
    started may know only some of them, and the tests stop most of those.
    """
    async with (
        fleets.run_fleet(spec, folder) as fleet,
        aiohttp.ClientSession() as session,
    ):
        await create_contract(fleet)
        for node in fleet.nodes:
            await wait_until_serving(session, fleet, node)
        for node in fleet.nodes:
            await wait_until_members_known(fleet, node)
            await _wait_until_replicas_known(fleet, node)
        yield fleet, session


async def wait_until_members_known(fleet: fleets.Fleet, node: str) -> None:
    """Waits until a node lists all running nodes of its data centre."""
    dc = node.partition('-')[0]
    expected = {name for name in fleet.nodes if name.startswith(f'{dc}-')}
    running = {name for name in expected if name in fleet.procs}

    async def are_members_known():
        try:
            return await list_alive(fleet, node) >= running
        except aiohttp.ClientConnectionError:
            return False  # the port is not open yet

    await fleets.wait_for(are_members_known, f'the members that {node} knows')


async def _wait_until_replicas_known(fleet, node):
    """Waits until a node lists all replicas of its data centre as ready."""
    dc = node.partition('-')[0]
    expected = {name for name in fleet.upstreams if name.startswith(f'{dc}-')}

    async def are_replicas_known():
        status = await call_operators_api(fleet, node, 'GetStatus', {})
        return expected <= {
            replica['replicaId']
            for replica in status['replicas']
            if replica['state'] == core.ReplicaState.READY.value
        }

    await fleets.wait_for(
        are_replicas_known, f'the replicas that {node} knows'
    )


async def list_alive(fleet: fleets.Fleet, node: str) -> set[str]:
    """Returns the members that a node considers alive."""
    status = await call_operators_api(fleet, node, 'GetStatus', {})
    return {
        member['nodeId']
        for member in status['members']
        if member['state'] == core.MemberState.ALIVE.value
    }


async def call_operators_api(
    fleet: fleets.Fleet, node: str, method: str, fields: dict
) -> dict:
    """Calls a method of the operators' API; returns the reply's fields."""
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
    """Sends control commands to a fake upstream."""
    url = f'http://{fleets.HOST}:{fleet.upstreams[name]}/control'
    async with session.post(url, json=fields) as resp:
        resp.raise_for_status()


async def read_counters(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, name: str
) -> dict:
    """Returns the counters of a fake upstream."""
    url = f'http://{fleets.HOST}:{fleet.upstreams[name]}/counters'
    async with session.get(url) as resp:
        return await resp.json()


async def set_kv_faults(
    session: aiohttp.ClientSession, fleet: fleets.Fleet, **faults
) -> None:
    """Sets faults of the fake key-value service."""
    url = f'http://{fleets.HOST}:{fleet.kv_port}/faults'
    async with session.post(url, json=faults) as resp:
        resp.raise_for_status()


@contextlib.asynccontextmanager
async def run_load(
    load: Load,
    nodes: abc.Iterable[str],
    callers: int = 4,
    make_fields: abc.Callable[[], dict] = make_search_fields,
) -> abc.AsyncIterator[Load]:
    """Sends searches to nodes until the context ends.

    Each caller reuses its connection. Searches still running at the end
    are awaited, so that every search that was started is counted.

    Args:
        load: Receives the results.
        nodes: Nodes to use from the start.
        callers: Number of callers per node.
        make_fields: Returns the fields of the next search.

    Yields:
        The load.
    """
    ended = asyncio.Event()
    load.targets.update(nodes)
    tasks = []
    for node in list(load.targets):
        tasks.append(asyncio.create_task(_update_targets(load, node, ended)))
        tasks += [
            asyncio.create_task(_send_searches(load, node, ended, make_fields))
            for _ in range(callers)
        ]
    try:
        yield load
    finally:
        ended.set()
        await asyncio.gather(*tasks)


async def wait_for_replies(load: Load, count: int) -> None:
    """Waits for more replies, so that a test phase runs under load."""
    goal = load.outcomes.total() + count

    async def is_reached():
        return load.outcomes.total() >= goal

    await fleets.wait_for(is_reached, f'{count} more replies')


async def wait_for_exit(fleet: fleets.Fleet, name: str) -> int:
    """Waits for a process to exit and returns its exit status."""

    async def has_exited():
        return fleet.procs[name].poll() is not None

    await fleets.wait_for(has_exited, f'the exit of {name}')
    return fleets.wait_process(fleet, name)


def check_all_complete(load: Load) -> None:
    """Asserts that every request got a reply with a complete answer."""
    assert not load.errors
    assert set(load.outcomes) == {'complete'}, (
        load.outcomes,
        load.incomplete_replies,
    )


async def _send_searches(load, node, ended, make_fields):
    async with aiohttp.ClientSession() as session:
        while not ended.is_set():
            await asyncio.sleep(SEARCH_INTERVAL)
            if node not in load.targets:
                continue
            fields = make_fields()
            load.sent_counts[node] += 1
            try:
                reply = await search(session, load.fleet.url(node), fields)
            except (aiohttp.ClientError, TimeoutError) as exc:
                load.errors.append(f'{node}: {exc!r}')
                continue
            load.outcomes[reply['outcome']] += 1
            if reply['outcome'] != 'complete':
                reason = reply.get('reason', reply['outcome'])
                second = round(time.monotonic() - load.started_at, 1)
                load.incomplete_replies[f'{node} {reason} at {second} s'] += 1
            if load.is_echo_expected:
                _check_hits(load, fields, reply)


def _check_hits(load, fields, reply):
    suffix = f'[{fields["query"]}]'
    hits = reply.get('hits', ())
    load.wrong_hits += [
        f'{fields["query"]}: {hit}'
        for hit in hits
        if not hit['text'].endswith(suffix)
    ]
    if reply['outcome'] == 'complete' and len(hits) != fields['limit']:
        load.wrong_hits.append(f'{fields["query"]}: {len(hits)} hits')


async def _update_targets(load, node, ended):
    """Removes a node from the targets after a 503, adds it after a 200."""
    async with aiohttp.ClientSession() as session:
        while not ended.is_set():
            status = await read_health(session, load.fleet.url(node))
            if status == 200:
                load.targets.add(node)
            elif node in load.targets:
                await asyncio.sleep(load.removal_delay)
                load.targets.discard(node)
            await asyncio.sleep(HEALTH_INTERVAL)
