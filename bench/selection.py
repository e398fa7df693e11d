"""Compares the selection policies of an owner's queue on a virtual clock.

The real queue implementation runs against random arrivals and service times,
so that a result depends only on its seed and not on the machine. ``alone`` is
the design without owners: each node has its own queue by rank and sends
directly to the replica, which serves in order of arrival.
"""

import collections
from collections import abc
import dataclasses
import heapq
import itertools
import random
import types

import cyclopts

from citronweir import core

SHARES = types.MappingProxyType(
    {
        core.Rank.URGENT: 0.7,
        core.Rank.ORDINARY: 0.2,
        core.Rank.DEFERRABLE: 0.1,
    }
)
LOADS = {
    'urgent alone': (0.25, 0.0, 0.0),
    'deferrable flood': (0.25, 0.1, 10.0),
    'urgent flood': (5.0, 0.4, 0.3),
    'all ranks, 1.2': (0.75, 0.15, 0.3),
}
DEADLINES = (16.0, 32.0, 64.0)  # mean service times from arrival, by rank
SELECTIONS = {
    'shares': core.select_shares,
    'strict': core.select_strict,
    'weighted': core.select_weighted,
    'first come': core.select_first_come,
}
WITHOUT_OWNERS = 'alone'
QUEUE_LIMIT = 64
PIECES = 20
REPLICAS = 2
SLOTS = 2
NODES = 8
CONNECTIONS_PER_NODE = 3  # of each node to each replica, without owners


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """A replica with the queues in front of it.

    Attributes:
        queues: Queue of the owner, or of each node without owners.
        in_flight: Number of unfinished pieces that each queue has sent.
        replica_queue: Pieces that wait at the replica itself.
        running: Number of pieces that occupy a slot.
    """

    queues: list[core.RankQueue]
    in_flight: list[int]
    replica_queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    running: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Simulation:
    """State of one simulation.

    Attributes:
        limit: Number of pieces that a queue may have in flight at a replica.
        groups: Replicas of each piece.
        events: Heap of tuples of time, sequence number, action and its
            arguments.
        event_order: Source of the sequence numbers.
        offered: Number of searches by rank.
        served: Number of pieces served by rank.
        served_pieces: Number of pieces served by search.
        latencies: Latencies of the complete searches by rank.
    """

    select: core.Select
    rng: random.Random
    limit: int
    groups: list[list[Server]]
    events: list[tuple] = dataclasses.field(default_factory=list)
    event_order: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    offered: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served_pieces: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies: dict[core.Rank, list[float]] = dataclasses.field(
        default_factory=lambda: {rank: [] for rank in core.Rank}
    )


def simulate(
    select: core.Select,
    without_owners: bool,
    load: tuple[float, ...],
    seconds: float,
    rng: random.Random,
) -> dict[core.Rank, tuple[int, list[float], int]]:
    """Simulates searches against one group of replicas for each piece.

    Args:
        select: Selects the rank of a queue that is served next.
        without_owners: Whether each node has its own queue.
        load: Offered load by rank as a share of capacity.
        seconds: Length of the simulation in mean service times.
        rng: Source of arrivals and service times.

    Returns:
        For each rank: searches offered, latencies of the complete ones
        and pieces served.
    """
    count = NODES if without_owners else 1
    groups = [
        [_make_server(count) for _ in range(REPLICAS)] for _ in range(PIECES)
    ]
    sim = Simulation(
        select, rng, CONNECTIONS_PER_NODE if without_owners else SLOTS, groups
    )
    for rank, share, time_limit in zip(
        core.Rank, load, DEADLINES, strict=True
    ):
        if share:
            rate = share * REPLICAS * SLOTS
            at = rng.expovariate(rate)
            _push(sim, at, _arrive, rank, rate, time_limit)
    while sim.events[0][0] < seconds:
        now, _, action, args = heapq.heappop(sim.events)
        action(sim, now, *args)
    return {
        rank: (
            sim.offered[rank],
            sorted(sim.latencies[rank]),
            sim.served[rank],
        )
        for rank in core.Rank
    }


def _make_server(count):
    queues = [core.make_queue(SHARES, QUEUE_LIMIT) for _ in range(count)]
    return Server(queues, [0] * count)


def _push(sim, at, action, *args):
    heapq.heappush(sim.events, (at, next(sim.event_order), action, args))


def _arrive(sim, now, rank, rate, time_limit):
    next_arrival = now + sim.rng.expovariate(rate)
    _push(sim, next_arrival, _arrive, rank, rate, time_limit)
    sim.offered[rank] += 1
    search = (rank, now, sim.offered[rank])
    queue_number = sim.rng.randrange(len(sim.groups[0][0].queues))
    for group in sim.groups:
        server = min(
            group, key=lambda item: _count_pieces_ahead(item, queue_number)
        )
        entry = core.QueueEntry(rank, now + time_limit, search)
        core.enqueue(server.queues[queue_number], entry, now)
        _send_waiting(sim, now, server, queue_number)


def _count_pieces_ahead(server, queue_number):
    waiting = core.count_waiting(server.queues[queue_number])
    return server.running + len(server.replica_queue) + waiting


def _send_waiting(sim, now, server, queue_number):
    while server.in_flight[queue_number] < sim.limit:
        entry, _ = core.dequeue(server.queues[queue_number], now, sim.select)
        if entry is None:
            return
        server.in_flight[queue_number] += 1
        server.replica_queue.append((entry, queue_number))
        _start_next(sim, now, server)


def _start_next(sim, now, server):
    if server.running < SLOTS and server.replica_queue:
        server.running += 1
        entry, queue_number = server.replica_queue.popleft()
        end = now + sim.rng.expovariate(1)
        _push(sim, end, _finish, server, entry, queue_number)


def _finish(sim, now, server, entry, queue_number):
    server.running -= 1
    server.in_flight[queue_number] -= 1
    sim.served[entry.rank] += 1
    sim.served_pieces[entry.item] += 1
    if sim.served_pieces[entry.item] == PIECES:
        sim.latencies[entry.rank].append(now - entry.item[1])
    _start_next(sim, now, server)
    _send_waiting(sim, now, server, queue_number)


def _render(name, load, result) -> abc.Iterator[str]:
    total = sum(served for _, _, served in result.values())
    for rank, (offered, latencies, served) in result.items():
        if not offered:
            continue
        p99_index = int(0.99 * len(latencies))
        p99 = f'{latencies[p99_index]:.1f}' if latencies else 'none'
        time_limit = DEADLINES[list(core.Rank).index(rank)]
        on_time = sum(item <= time_limit for item in latencies) / offered
        yield (
            f'| {load} | {name} | {rank.value} | {offered} | {on_time:.3f} '
            f'| {p99} | {served / total:.3f} |'
        )


def main(*, seed: int = 1, seconds: float = 300.0) -> None:
    """Compares all selection policies under all loads.

    Args:
        seed: Seed of arrivals and service times.
        seconds: Length of each simulation in mean service times.
    """
    print('| load | selection | rank | offered | on time | p99 | share |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for load, rates in LOADS.items():
        for name in (*SELECTIONS, WITHOUT_OWNERS):
            select = SELECTIONS.get(name, core.select_shares)
            rng = random.Random(seed)
            result = simulate(
                select, name == WITHOUT_OWNERS, rates, seconds, rng
            )
            print('\n'.join(_render(name, load, result)))


if __name__ == '__main__':
    cyclopts.run(main)
