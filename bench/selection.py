"""Compares the selections of an owner's queue on a virtual clock.

The real queue runs against drawn arrivals and service times, so that a
result depends on its seed alone and not on the machine. ``alone`` is the
design without owners: each node queues by rank for itself and sends
directly to the replica, which serves first come, first served.
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
DEADLINES = (16.0, 32.0, 64.0)  # mean service times, by rank
SELECTIONS = {
    'shares': core.select_shares,
    'strict': core.select_strict,
    'weighted': core.select_weighted,
    'first come': core.select_first_come,
}
ALONE = 'alone'
QUEUE_LIMIT = 64
PIECES = 20
REPLICAS = 2
SLOTS = 2
NODES = 8
CONNS = 3  # of each node to each replica, without owners


@dataclasses.dataclass(slots=True, eq=False)
class Server:
    """One replica with the queues in front of it.

    Attributes:
        queues: Queue of the owner, or of each node.
        in_flight: Pieces that each queue has sent.
        line: Pieces that wait at the replica itself.
    """

    queues: list[core.RankQueue]
    in_flight: list[int]
    line: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    running: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Simulation:
    """State of one run.

    Attributes:
        limit: Pieces that a queue may have at a replica.
        groups: Replicas of each piece.
        events: Heap of times, places in order, actions and arguments.
        done: Pieces served of each search.
        latencies: Latencies of the complete searches.
    """

    select: core.Select
    rng: random.Random
    limit: int
    groups: list[list[Server]]
    events: list[tuple] = dataclasses.field(default_factory=list)
    order: itertools.count = dataclasses.field(default_factory=itertools.count)
    offered: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    done: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies: dict[core.Rank, list[float]] = dataclasses.field(
        default_factory=lambda: {rank: [] for rank in core.Rank}
    )


def simulate(
    select: core.Select,
    alone: bool,
    load: tuple[float, ...],
    seconds: float,
    rng: random.Random,
) -> dict[core.Rank, tuple[int, list[float], int]]:
    """Runs searches against one group of replicas for each piece.

    Args:
        select: Which rank of a queue is next.
        alone: Whether each node queues for itself.
        load: Offered load by rank as a share of capacity.
        seconds: Length in mean service times.
        rng: Source of arrivals and service times.

    Returns:
        For each rank: searches offered, latencies of the complete ones
        and pieces served.
    """
    count = NODES if alone else 1
    groups = [
        [_make_server(count) for _ in range(REPLICAS)] for _ in range(PIECES)
    ]
    run = Simulation(select, rng, CONNS if alone else SLOTS, groups)
    for rank, share, patience in zip(core.Rank, load, DEADLINES, strict=True):
        if share:
            rate = share * REPLICAS * SLOTS
            at = rng.expovariate(rate)
            _push(run, at, _arrive, rank, rate, patience)
    while run.events[0][0] < seconds:
        now, _, action, args = heapq.heappop(run.events)
        action(run, now, *args)
    return {
        rank: (
            run.offered[rank],
            sorted(run.latencies[rank]),
            run.served[rank],
        )
        for rank in core.Rank
    }


def _make_server(count):
    queues = [core.make_queue(SHARES, QUEUE_LIMIT) for _ in range(count)]
    return Server(queues, [0] * count)


def _push(run, at, action, *args):
    heapq.heappush(run.events, (at, next(run.order), action, args))


def _arrive(run, now, rank, rate, patience):
    again = now + run.rng.expovariate(rate)
    _push(run, again, _arrive, rank, rate, patience)
    run.offered[rank] += 1
    search = (rank, now, run.offered[rank])
    number = run.rng.randrange(len(run.groups[0][0].queues))
    for group in run.groups:
        server = min(group, key=lambda item: _count_ahead(item, number))
        entry = core.QueueEntry(rank, now + patience, search)
        core.enqueue(server.queues[number], entry, now)
        _pump(run, now, server, number)


def _count_ahead(server, number):
    waiting = core.count_waiting(server.queues[number])
    return server.running + len(server.line) + waiting


def _pump(run, now, server, number):
    while server.in_flight[number] < run.limit:
        entry, _ = core.dequeue(server.queues[number], now, run.select)
        if entry is None:
            return
        server.in_flight[number] += 1
        server.line.append((entry, number))
        _start(run, now, server)


def _start(run, now, server):
    if server.running < SLOTS and server.line:
        server.running += 1
        entry, number = server.line.popleft()
        end = now + run.rng.expovariate(1)
        _push(run, end, _finish, server, entry, number)


def _finish(run, now, server, entry, number):
    server.running -= 1
    server.in_flight[number] -= 1
    run.served[entry.rank] += 1
    run.done[entry.item] += 1
    if run.done[entry.item] == PIECES:
        run.latencies[entry.rank].append(now - entry.item[1])
    _start(run, now, server)
    _pump(run, now, server, number)


def _render(name, load, result) -> abc.Iterator[str]:
    total = sum(served for _, _, served in result.values())
    for rank, (offered, latencies, served) in result.items():
        if not offered:
            continue
        place = int(0.99 * len(latencies))
        p99 = f'{latencies[place]:.1f}' if latencies else 'none'
        patience = DEADLINES[list(core.Rank).index(rank)]
        on_time = sum(item <= patience for item in latencies) / offered
        yield (
            f'| {load} | {name} | {rank.value} | {offered} | {on_time:.3f} '
            f'| {p99} | {served / total:.3f} |'
        )


def main(*, seed: int = 1, seconds: float = 300.0) -> None:
    """Compares all selections under all loads.

    Args:
        seed: Seed of arrivals and service times.
        seconds: Length of each run in mean service times.
    """
    print('| load | selection | rank | offered | on time | p99 | share |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for load, rates in LOADS.items():
        for name in (*SELECTIONS, ALONE):
            select = SELECTIONS.get(name, core.select_shares)
            rng = random.Random(seed)
            result = simulate(select, name == ALONE, rates, seconds, rng)
            print('\n'.join(_render(name, load, result)))


if __name__ == '__main__':
    cyclopts.run(main)
