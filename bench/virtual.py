"""Simulates the membership protocol of many nodes on a virtual clock.

The nodes run the real protocol logic. Messages are passed by reference with a
random delay, so that a run depends only on its seed. Used by the tests and by
the measurement of membership.
"""

from collections import abc
import dataclasses
import heapq
import itertools
import random

from citronweir import core

TICK_INTERVAL = 0.1  # seconds
MIN_DELAY = 0.0005  # seconds
MAX_DELAY = 0.004  # seconds
WALL_START = 1_796_380_000_000  # milliseconds


@dataclasses.dataclass(slots=True, eq=False)
class Node:
    """A simulated node process.

    Attributes:
        inbox: Messages that wait in the node's sockets while it is paused.
        group: Side of a network partition; nodes of different groups cannot
            reach each other.
        changes: Changes of the node's view, for the tests.
    """

    state: core.Membership
    address: core.Address
    next_tick: float
    is_paused: bool = False
    inbox: list[core.Gossip] = dataclasses.field(default_factory=list)
    group: int = 0
    changes: list[core.Update] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Network:
    """The simulated nodes and the messages in transit.

    Attributes:
        loss: Share of messages that are lost.
        queue: Heap of tuples of time, sequence number, node and message. A
            tick of the node has no message.
        order: Source of the sequence numbers.
        on_send: Called with the sending node and each message.
        on_step: Called in place of each decision with the node, the decision
            and its arguments, to measure it.
    """

    rng: random.Random
    now: float = 1000.0
    loss: float = 0.0
    nodes: dict[core.Address, Node] = dataclasses.field(default_factory=dict)
    queue: list[tuple] = dataclasses.field(default_factory=list)
    order: abc.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )
    on_send: abc.Callable[[Node, core.Gossip], None] | None = None
    on_step: abc.Callable | None = None


def merge_replica(one: core.Replica, other: core.Replica) -> core.Replica:
    """Returns the newer record; DRAINING is final within an epoch."""
    drained = core.ReplicaState.DRAINING
    if one.epoch == other.epoch and drained in (one.state, other.state):
        newer = max(one, other, key=lambda item: item.version)
        return dataclasses.replace(newer, state=drained)
    return max(one, other, key=lambda item: (item.epoch, item.version))


def make_address(number: int) -> core.Address:
    """Builds the address of a simulated VM."""
    return core.Address('127.0.0.1', 10_000 + number)


def add_node(
    net: Network,
    name: str,
    address: core.Address,
    seeds: abc.Iterable[core.Address],
    dc: str = 'd1',
    clock_error: int = 0,
) -> Node:
    """Starts a node, which replaces any node on the same address.

    Args:
        net: The simulated network.
        name: Node id.
        address: Address on which the node listens.
        seeds: Addresses of the nodes through which it joins.
        dc: Data centre.
        clock_error: Milliseconds that the node's wall clock is ahead.

    Returns:
        The node.
    """
    wall = WALL_START + int(net.now * 1000) + clock_error
    own = core.Member(
        core.NodeId(name),
        address,
        core.DataCentre(dc),
        core.MemberState.ALIVE,
        core.Incarnation(wall),
    )
    rng = random.Random(net.rng.random())
    state = core.make_membership(own, seeds, merge_replica, rng, net.now)
    node = Node(state, address, net.now + rng.uniform(0, TICK_INTERVAL))
    net.nodes[address] = node
    _schedule(net, node.next_tick, node, None)
    return node


def run(net: Network, seconds: float) -> None:
    """Advances the simulation by some seconds."""
    end = net.now + seconds
    while net.queue and net.queue[0][0] <= end:
        at, _, node, message = heapq.heappop(net.queue)
        net.now = at
        if net.nodes.get(node.address) is not node:
            continue
        if message is not None:
            _receive(net, node, message)
            continue
        _schedule(net, at + TICK_INTERVAL, node, None)
        if not node.is_paused:
            step(net, node, core.run_tick, node.state, net.now)
    net.now = end


def resume(net: Network, node: Node) -> None:
    """Resumes a paused node, which then receives its waiting messages."""
    node.is_paused = False
    inbox, node.inbox = node.inbox, []
    for message in inbox:
        _schedule(net, net.now, node, message)


def step(
    net: Network, node: Node, decide: abc.Callable, *args: object
) -> None:
    """Runs one decision of a node and sends the resulting messages."""
    call = decide if net.on_step is None else net.on_step
    result = call(*args) if net.on_step is None else call(node, decide, *args)
    node.changes += result.changes
    for send in result.sends:
        if net.on_send is not None:
            net.on_send(node, send.message)
        target = net.nodes.get(send.address)
        if (
            target is None
            or target.group != node.group
            or net.rng.random() < net.loss
        ):
            continue
        delay = net.rng.uniform(MIN_DELAY, MAX_DELAY)
        _schedule(net, net.now + delay, target, send.message)


def _receive(net, node, message):
    if node.is_paused:
        node.inbox.append(message)
    else:
        step(net, node, core.handle_message, node.state, message, net.now)


def _schedule(net, at, node, message):
    heapq.heappush(net.queue, (at, next(net.order), node, message))
