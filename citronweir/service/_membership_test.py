"""Tests of the membership over loopback connections."""

import asyncio
import random
import time

from citronweir import core
from citronweir import nodes
from citronweir import service

ALIVE = core.MemberState.ALIVE


def _ignore(item):
    pass


async def _start_node(name, seeds, port=0):
    """Starts a node.

    Returns:
        Its membership state, dependencies, known replicas and address, and a
        function that stops it.
    """
    incarnation = core.Incarnation(time.time_ns() // 1_000_000)
    identity = nodes.Identity(name, 'd', incarnation, b'key')
    links = nodes.open_links(identity, random.Random(1))
    replicas = {}
    holder = []

    def send(address, message):
        nodes.send_gossip(links, address, message)

    def on_replica(replica):
        replicas[replica.replica_id] = replica

    deps = service.MembershipDependencies(
        time.monotonic, send, _ignore, on_replica
    )

    def on_gossip(message):
        service.handle_gossip(deps, holder[0], message)

    server = await nodes.start_server(
        core.Address('127.0.0.1', port),
        identity,
        nodes.Handlers(_ignore, on_gossip, _ignore, _ignore, _ignore),
    )
    address = core.Address('127.0.0.1', nodes.get_port(server))
    own = core.Member(name, address, 'd', ALIVE, incarnation)
    holder.append(
        core.make_membership(
            own,
            seeds,
            lambda one, other: max(one, other, key=lambda r: r.version),
            random.Random(1),
            time.monotonic(),
        )
    )
    task = asyncio.create_task(service.run_membership(deps, holder[0]))

    async def stop():
        task.cancel()
        await nodes.close_links(links)
        await nodes.close_server(server)

    return holder[0], deps, replicas, address, stop


async def _wait_until(condition, limit=15.0):
    end = time.monotonic() + limit
    while not condition():
        assert time.monotonic() < end, 'condition not met in time'
        await asyncio.sleep(0.02)


async def test_nodes_join_agree_on_owners_spread_replicas_and_leave():
    """Guards against messages lost between the protocol and the streams."""
    first = await _start_node('n1', [])
    seeds = [first[3]]
    fleet = [first] + [
        await _start_node(f'n{number}', seeds) for number in (2, 3)
    ]
    states = [node[0] for node in fleet]
    await _wait_until(
        lambda: all(
            len(core.list_members(state, ALIVE)) == 3 for state in states
        )
    )
    owners = {
        service.find_owner(
            core.Assignment(), state, core.ReplicaId('r1')
        ).node_id
        for state in states
    }
    assert len(owners) == 1
    replica = core.Replica('r1', seeds[0], core.ReplicaState.READY, version=4)
    service.spread_replica(fleet[2][1], states[2], replica)
    await _wait_until(
        lambda: all(node[2].get('r1') == replica for node in fleet)
    )
    start = time.monotonic()
    service.broadcast_leave(fleet[1][1], states[1])
    others = (states[0], states[2])
    await _wait_until(
        lambda: all(
            len(core.list_members(state, ALIVE)) == 2 for state in others
        )
    )
    assert time.monotonic() - start < 1.0
    assignment = core.Assignment()
    for number in range(20):
        name = core.ReplicaId(f'r{number}')
        owner = service.find_owner(assignment, states[0], name)
        assert owner.node_id != 'n2'
    assert service.is_watcher(assignment, states[0])
    for node in fleet:
        await node[4]()
