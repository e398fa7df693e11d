"""Replays of replicas that differ in how much they take well."""

import dataclasses
import heapq
import random

import pytest

from citronweir import core

SLOTS = 4
WORK = 0.05  # seconds
LOCALITY = core.Locality(core.DataCentre('a'), {core.DataCentre('a'): 'r'})
SEEDS = range(3)


@dataclasses.dataclass
class Replica:
    """Behaviour of a replica; ``find_slowdown`` maps load and time."""

    speed: float = 1.0
    find_slowdown: object = lambda running, now: 1.0
    running: int = 0
    runs: int = 0


def _list_replica(number):
    return core.ListedReplica(
        core.ReplicaId(f'i{number}'),
        core.ServiceName('s'),
        core.Address('10.0.0.1', number + 1),
        core.DataCentre('a'),
        core.ListedState.READY,
        SLOTS,
    )


def _replay(replicas, rate, seconds, seed=0, reports=True, loads=None):
    """Sends requests to replicas as one node does.

    Returns:
        Times of the answers, loads by replica, and the largest limit of each
        replica minus its smallest in the last third.
    """
    rng, loads = random.Random(seed), {} if loads is None else loads
    listed = [_list_replica(number) for number in range(len(replicas))]
    now, number, ends, times = 0.0, 0, [], []
    limits = [[] for _ in replicas]
    while now < seconds:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            at, index, key, sent_at, concurrency = heapq.heappop(ends)
            replicas[index].running -= 1
            load = loads[listed[index].replica_id]
            core.record_request_answered(load, key, at)
            core.record_capacity(
                load, SLOTS, concurrency, (at - sent_at) / WORK, at
            )
            if reports:
                reported = core.ReportedLoad(
                    replicas[index].running, 0, SLOTS, 1.0
                )
                core.record_reported_load(load, reported, at)
            times.append((sent_at, at - sent_at))
        chosen, _ = core.choose_listed_replica(
            loads, LOCALITY, listed, (), now, lambda: rng.uniform(1.0, 1.15)
        )
        index = listed.index(chosen)
        replica, load = replicas[index], loads[chosen.replica_id]
        concurrency = core.find_concurrency(load, now) + 1
        number += 1
        core.record_request_sent(load, number, now)
        replica.running += 1
        replica.runs += 1
        queue = max(1.0, replica.running / SLOTS)
        work = WORK * rng.uniform(0.7, 1.3) * replica.speed * queue
        work *= replica.find_slowdown(replica.running, now)
        heapq.heappush(ends, (now + work, index, number, now, concurrency))
        for position, item in enumerate(listed):
            if item.replica_id in loads and now > seconds * 2 / 3:
                limits[position].append(
                    core.find_limit(
                        loads[item.replica_id].capacity, SLOTS, now
                    )
                )
    spreads = [max(item) - min(item) for item in limits if item]
    return times, loads, spreads


def _slow_early(running, now):
    return 1.0 if running < 0.7 * SLOTS else 2.5


@pytest.mark.parametrize('seed', SEEDS)
def test_speeds_alone_lower_no_limit(seed):
    """Guards deployments whose replicas only differ in speed.

    They are served as before: a slow replica isn't an overloaded one.
    """
    replicas = [Replica(speed) for speed in (0.8, 1.0, 1.3)]
    _, loads, _ = _replay(replicas, 100.0, 30.0, seed)
    for load in loads.values():
        assert core.find_limit(load.capacity, SLOTS, 30.0) >= SLOTS - 0.5
    assert all(replica.runs for replica in replicas)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('reports', [True, False])
def test_replica_that_slows_early_gets_what_it_takes_well(seed, reports):
    """Guards callers against a replica that is slow long before it is full.

    Also without the reports of replicas, and without oscillation.
    """
    replicas = [Replica(), Replica(), Replica(find_slowdown=_slow_early)]
    _, loads, spreads = _replay(replicas, 150.0, 30.0, seed, reports)
    limits = [
        core.find_limit(loads[f'i{number}'].capacity, SLOTS, 30.0)
        for number in range(3)
    ]
    assert limits[2] < 0.8 * SLOTS
    assert min(limits[:2]) > limits[2]
    assert spreads[2] <= 0.5 * SLOTS
    assert replicas[2].runs > 0.1 * replicas[0].runs  # not starved


def _feed(capacity, start, seconds, find_relative, rng):
    """Records 20 answers a second, at the limit and at rest by turns."""
    now = start
    while now < start + seconds:
        now += 0.05
        limit = core.find_limit(capacity, SLOTS, now)
        concurrency = rng.choice([1, max(2, round(limit))])
        relative = find_relative(concurrency) * rng.uniform(0.7, 1.3)
        core.record_time(capacity, SLOTS, concurrency, relative, now)
    return core.find_limit(capacity, SLOTS, now)


@pytest.mark.parametrize('seed', SEEDS)
def test_limit_follows_a_neighbour_that_comes_and_goes(seed):
    """Guards against a limit that outlives its cause: slow for 10 s."""
    capacity, rng = core.Capacity(), random.Random(seed)
    assert _feed(capacity, 0.0, 10.0, lambda count: 1.0, rng) == SLOTS
    slow = _feed(capacity, 10.0, 10.0, lambda n: 2.5 if n > 2 else 1.0, rng)
    assert 1.5 <= slow <= 0.75 * SLOTS
    assert _feed(capacity, 20.0, 10.0, lambda count: 1.0, rng) == SLOTS


def test_limit_that_is_not_reached_rises_again():
    """Guards against a replica that is never tried again."""
    capacity = core.Capacity(limit=2.0, updated_at=0.0)
    assert core.find_limit(capacity, SLOTS, 0.0) == 2.0
    assert 2.0 < core.find_limit(capacity, SLOTS, 20.0) < SLOTS
    assert core.find_limit(capacity, SLOTS, 200.0) == SLOTS


def test_node_that_starts_anew_begins_with_the_slots():
    """Guards a new node against a limit that it has not seen a reason for."""
    replicas = [Replica(find_slowdown=_slow_early), Replica(), Replica()]
    _, loads, _ = _replay(replicas, 150.0, 20.0)
    _, fresh, _ = _replay(replicas, 150.0, 0.1)
    assert core.find_limit(fresh['i0'].capacity, SLOTS, 0.1) == SLOTS
    assert core.find_limit(loads['i0'].capacity, SLOTS, 20.0) < SLOTS


def test_early_limit_shortens_the_answers():
    """Guards the aim: callers get answers sooner than with the slots alone."""
    means = []
    for is_learning in (False, True):
        replicas = [Replica(), Replica(), Replica(find_slowdown=_slow_early)]
        loads = {}
        if not is_learning:
            loads = _Frozen()
        times, _, _ = _replay(replicas, 150.0, 30.0, loads=loads)
        late = [seconds for at, seconds in times if at > 10.0]
        means.append(sum(late) / len(late))
    assert means[1] < means[0]


class _Frozen(dict):
    """Loads whose limits stay at the slots."""

    def __getitem__(self, key):
        load = super().__getitem__(key)
        load.capacity = core.Capacity()
        return load
