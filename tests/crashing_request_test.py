"""A request that ends each replica of the platform that begins to run it."""

import asyncio
import collections
import contextlib
import itertools
import json

import aiohttp
import pytest

from fakes import front_fleet as fleets
from fakes import platform_replica as replicas

POISON = 'poison'
NODES = ('n1', 'n2', 'n3')
# Replicas that may be lost before the request counts as the cause.
MAX_BLAMELESS = 3
# Repeats that may still reach a replica after that.
MAX_LATER = 3
# Seconds after the third end from which repeats are counted. The platform
# allows its `stable_window_ms`, which is 4 s and more.
LEARN_TIME = 1.0
REPEATS = 30
REPEAT_PAUSE = 0.15  # seconds
# Seconds until nodes that started together list each other.
LISTED_TIME = 1.0
INNOCENTS = 6
COPIES = 'abcdef'

ROUTES = {
    'gather': fleets.make_route(
        gather=list(fleets.SERVICES), top_k=3, min_shard_ratio=0.5
    ),
    'plain': fleets.make_route(backend='s0', max_attempts=3),
    'once': fleets.make_route(backend='s0', kind='non_idempotent'),
}
INNOCENT = fleets.make_route(
    path_prefix='/i/', backend='s0', name='innocent', max_attempts=3
)


@contextlib.asynccontextmanager
async def _run_fleet(folder, *routes, poison=POISON):
    async with fleets.run(
        folder, NODES, routes, replica_suffixes=COPIES, bypasses_proxies=True
    ) as fleet:
        for replica in fleet.replicas.values():
            replica.state.poison = poison
        await asyncio.sleep(LISTED_TIME)
        yield fleet


def _list_states(fleet):
    return [replica.state for replica in fleet.replicas.values()]


def _count_ends(fleet):
    return sum(len(state.crash_request_ids) for state in _list_states(fleet))


async def _ask(fleet, session, name, path, request_id, method='GET'):
    try:
        reply = await fleets.send_request(
            fleet, name, path, request_id, session, method=method
        )
    except aiohttp.ClientError as exc:
        return repr(exc)
    return reply[0]


@contextlib.asynccontextmanager
async def _run_innocents(fleet):
    """Repeats some requests from callers beside the guilty one."""
    replies = []

    async def repeat(number):
        async with aiohttp.ClientSession() as session:
            for count in itertools.count():
                name = NODES[(number + count) % len(NODES)]
                replies.append(
                    await _ask(
                        fleet,
                        session,
                        name,
                        f'/i/{number}',
                        f'i{number}-{count}',
                    )
                )
                await asyncio.sleep(0.01)

    tasks = [asyncio.create_task(repeat(item)) for item in range(INNOCENTS)]
    try:
        yield replies
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _read_quarantined(fleet):
    """Returns the requests that nodes refused as crashing replicas."""
    found = set()
    for name in NODES:
        text = (fleet.folder / f'{name}.log').read_text()
        for line in text.splitlines():
            fields = json.loads(line)
            if fields.get('reason') == 'quarantined':
                found.add(fields['request'])
    return found


@pytest.mark.parametrize('kind', list(ROUTES))
async def test_request_that_ends_replicas_is_refused_after_three(
    tmp_path, kind
):
    """Guards replicas against a caller that repeats what ends them.

    The repeats go through the nodes in turn. Requests beside it end with
    the replicas that they shared with it and must not be refused for that.
    """
    method = 'POST' if kind == 'once' else 'GET'
    async with _run_fleet(tmp_path, ROUTES[kind], INNOCENT) as fleet:
        third_at = None
        loop = asyncio.get_running_loop()
        later = []
        async with (
            aiohttp.ClientSession() as session,
            _run_innocents(fleet) as innocents,
        ):
            for number in range(REPEATS):
                name = NODES[number % len(NODES)]
                started = loop.time()
                request_id = f'p{number}'
                await _ask(
                    fleet, session, name, f'/a/{POISON}', request_id, method
                )
                if third_at is None and _count_ends(fleet) >= MAX_BLAMELESS:
                    third_at = loop.time()
                elif third_at is not None and started > third_at + LEARN_TIME:
                    later.append(request_id)
                await asyncio.sleep(REPEAT_PAUSE)
        ran = {item for state in _list_states(fleet) for item in state.ran}
        assert len(ran & set(later)) <= MAX_LATER, _count_ends(fleet)
        assert not any(item[0] == 'i' for item in _read_quarantined(fleet))
        assert innocents.count(200) >= 0.95 * len(innocents), (
            collections.Counter(innocents)
        )


HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 9\r\n\r\n'
FORMS = {
    'slow': {'poison_delay': 0.3},
    'cut head': {'poison_reply': HEAD[:30]},
    'cut body': {'poison_reply': HEAD + b'1234'},
    'interim': {'poison_reply': b'HTTP/1.1 100 Continue\r\n\r\n'},
}


@pytest.mark.parametrize('form', list(FORMS))
async def test_each_way_to_end_is_seen(tmp_path, form):
    """Guards replicas that end late, or in the middle of their answer."""
    async with _run_fleet(tmp_path, ROUTES['plain'], INNOCENT) as fleet:
        for state in _list_states(fleet):
            for name, value in FORMS[form].items():
                setattr(state, name, value)
        async with aiohttp.ClientSession() as session:
            statuses = [
                await _ask(
                    fleet,
                    session,
                    NODES[number % 3],
                    f'/a/{POISON}',
                    f'p{number}',
                )
                for number in range(REPEATS)
            ]
        await asyncio.sleep(LEARN_TIME)
        assert _count_ends(fleet) <= MAX_BLAMELESS + MAX_LATER
        assert set(statuses) <= {502, 503}
        assert statuses[-1] == 503


async def test_repeats_at_all_nodes_at_once_are_refused(tmp_path):
    """Guards replicas against repeats that are faster than the reports."""
    async with _run_fleet(tmp_path, ROUTES['gather'], INNOCENT) as fleet:
        async with aiohttp.ClientSession() as session:

            async def repeat(request_id):
                await asyncio.gather(
                    *(
                        _ask(fleet, session, name, f'/a/{POISON}', request_id)
                        for name in NODES
                    )
                )

            await repeat('first')
            await asyncio.sleep(LEARN_TIME)
            before = _count_ends(fleet)
            # Its caller does not change the id of its repeats.
            for _ in range(REPEATS):
                await repeat('again')
        assert _count_ends(fleet) - before <= MAX_LATER


async def test_caller_that_leaves_before_each_end_is_refused(tmp_path):
    """Guards replicas against a caller that does not wait for answers."""
    async with _run_fleet(tmp_path, ROUTES['plain'], INNOCENT) as fleet:
        for state in _list_states(fleet):
            state.poison_delay = 0.15
        for number in range(REPEATS):
            timeout = aiohttp.ClientTimeout(total=0.1)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                name = NODES[number % 3]
                with contextlib.suppress(TimeoutError):
                    await _ask(
                        fleet, session, name, f'/a/{POISON}', f'p{number}'
                    )
                await asyncio.sleep(REPEAT_PAUSE)
        await asyncio.sleep(LEARN_TIME)
        assert _count_ends(fleet) <= MAX_BLAMELESS + MAX_LATER


async def test_restarted_node_refuses_what_others_know(tmp_path):
    """Guards replicas against a node that lost what it knew."""
    async with _run_fleet(tmp_path, ROUTES['once'], INNOCENT) as fleet:
        async with aiohttp.ClientSession() as session:
            for number in range(6):
                await _ask(
                    fleet, session, 'n1', f'/a/{POISON}', f'p{number}', 'POST'
                )
                await asyncio.sleep(REPEAT_PAUSE)
            for name in ('n1', 'n2'):
                fleet.nodes[name].proc.kill()
                await fleet.nodes[name].proc.wait()
                await fleets.start_node(fleet, name)
                await fleets.wait_for(
                    lambda name=name: fleets.is_ready(fleet, name)
                )
            # Others send what they know to one node at random each second.
            await asyncio.sleep(5 * LEARN_TIME)
            before = _count_ends(fleet)
            for number in range(6, 18):
                name = NODES[number % 3]
                status = await _ask(
                    fleet, session, name, f'/a/{POISON}', f'p{number}', 'POST'
                )
                assert status == 503
        assert _count_ends(fleet) == before


async def test_requests_are_served_while_replicas_end_by_themselves(tmp_path):
    """Guards requests against the blame for ends that they only witnessed."""
    async with _run_fleet(tmp_path, INNOCENT) as fleet:
        states = [
            replica.state
            for replica in fleet.replicas.values()
            if replica.service == 's0'
        ]
        for state in states:
            state.delay = 0.02
        async with _run_innocents(fleet) as innocents:
            for number in range(REPEATS):
                replicas.end(states[number % len(states)])
                await asyncio.sleep(
                    1.2 * states[0].restart_delay / len(states)
                )
        assert not _read_quarantined(fleet)
        assert innocents.count(200) >= 0.95 * len(innocents), (
            collections.Counter(innocents)
        )
