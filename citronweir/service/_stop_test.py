"""Tests of the graceful shutdown of one node and of two at once."""

import asyncio
import dataclasses
import random
import time

import pytest

from citronweir import core
from citronweir import nodes
from citronweir import service
from citronweir.service import _stop as stop_module

GRACE = 0.1  # seconds
WORK_LIMIT = 30.0  # seconds
ADDRESS = core.Address('127.0.0.1', 0)


@dataclasses.dataclass(eq=False)
class Node:
    """Node that relays its requests to its peer."""

    name: str
    stop: service.StopState
    server: nodes.Server | None = None
    links: nodes.Links | None = None
    member: core.Member | None = None
    peer: 'Node | None' = None
    is_open: bool = True
    actions: list[str] = dataclasses.field(default_factory=list)


async def _start_node(name):
    node = Node(name, service.make_stop_state())
    identity = nodes.Identity(name, 'd', 1, b'key')

    async def run_sub(replica_id, sub):
        with service.count_work(node.stop, service.WorkKind.RELAY):
            await asyncio.sleep(0.03)
            return core.OwnerAnswer(core.SubDone(sub.body))

    def ignore(item):
        pass

    node.server = await nodes.start_server(
        ADDRESS,
        identity,
        nodes.Handlers(run_sub, ignore, ignore, ignore, ignore),
    )
    node.links = nodes.open_links(identity, random.Random(1))
    node.member = core.Member(
        name,
        dataclasses.replace(ADDRESS, port=nodes.get_port(node.server)),
        'd',
        core.MemberState.ALIVE,
        1,
    )
    return node


def _make_deps(node):
    async def close_callers():
        node.actions.append('close_callers')
        node.is_open = False

    async def close_links():
        node.actions.append('close_links')
        await nodes.close_links(node.links)

    async def close_server():
        node.actions.append('close_server')
        await nodes.close_server(node.server)

    return service.StopDependencies(
        lambda: node.actions.append('announce'),
        close_callers,
        close_links,
        close_server,
    )


async def _request(node, body):
    """Runs a caller's request, which is relayed to the peer twice."""
    with service.count_work(node.stop, service.WorkKind.REQUEST):
        outcomes = []
        for part in ('a', 'b'):
            sub = core.SubOrder(
                body, 'i', body + part, core.Rank.URGENT, time.monotonic() + 9
            )
            answer = await nodes.call_sub(
                node.links, node.peer.member, 'r', sub
            )
            outcomes.append(answer.outcome)
        return outcomes


async def _send_requests(node):
    tasks = []
    number = 0
    while node.is_open:
        tasks.append(asyncio.create_task(_request(node, str(number))))
        number += 1
        await asyncio.sleep(0.002)
    return [
        outcome for item in await asyncio.gather(*tasks) for outcome in item
    ]


@pytest.mark.parametrize('stop_offset', (-0.15, -0.05, 0.0, 0.05, 0.15))
async def test_two_nodes_that_stop_together_cut_off_no_request(stop_offset):
    """Guards against a relay lost between two stopping nodes (G7)."""
    first, second = await _start_node('a'), await _start_node('b')
    first.peer, second.peer = second, first
    senders = [asyncio.create_task(_send_requests(n)) for n in (first, second)]
    await asyncio.sleep(0.1)

    async def stop(node, delay):
        await asyncio.sleep(delay)
        return await service.stop_node(
            node.stop, _make_deps(node), GRACE, WORK_LIMIT
        )

    is_done = await asyncio.gather(
        stop(first, max(0.0, stop_offset)),
        stop(second, max(0.0, -stop_offset)),
    )
    assert is_done == [True, True]
    outcomes = [item for sender in senders for item in await sender]
    assert len(outcomes) > 100
    # A sub-request that was never sent runs elsewhere; one that was sent
    # and got no reply was interrupted.
    unreachable = core.SubNotRun(core.NotRunReason.UNREACHABLE)
    delivered = [item for item in outcomes if item != unreachable]
    assert len(delivered) > 100
    assert all(isinstance(item, core.SubDone) for item in delivered)


async def test_phases_come_in_order_and_wait_for_work():
    """Guards against a connection that closes before its requests end."""
    node = await _start_node('a')
    finished_in = []

    async def work(kind, seconds):
        with service.count_work(node.stop, kind):
            await asyncio.sleep(seconds)
            finished_in.append((kind, node.stop.phase))

    tasks = [
        asyncio.create_task(work(service.WorkKind.REQUEST, 0.3)),
        asyncio.create_task(work(service.WorkKind.OWNED, 0.5)),
    ]
    await asyncio.sleep(0)
    assert await service.stop_node(
        node.stop, _make_deps(node), GRACE, WORK_LIMIT
    )
    await asyncio.gather(*tasks)
    assert finished_in == [
        (service.WorkKind.REQUEST, service.StopPhase.CLOSED_TO_CALLERS),
        (service.WorkKind.OWNED, service.StopPhase.REQUESTS_DONE),
    ]
    assert node.actions == [
        'announce',
        'close_callers',
        'close_links',
        'close_server',
    ]
    assert node.stop.phase is service.StopPhase.STOPPED


async def test_work_that_never_ends_does_not_hold_the_process(monkeypatch):
    """Guards against a shutdown without a time limit."""
    monkeypatch.setattr(stop_module, 'QUIET_PERIOD', 0.05)
    node = await _start_node('a')
    with service.count_work(node.stop, service.WorkKind.REQUEST):
        is_done = await service.stop_node(
            node.stop, _make_deps(node), 0.0, work_limit=0.1
        )
    assert not is_done
    assert node.actions[-1] == 'close_server'
