"""Replays the load of tenants over several nodes without a network."""

import asyncio
import dataclasses
import random

import pytest

from citronweir import core
from citronweir import service
from fakes import virtual

TENANT = core.Tenant(core.TenantName('t'), frozenset(), rate=10.0, burst=10.0)
USUAL = 6.0  # requests per second
WINDOW, SLACK, EXCESS = 5.0, 20.0, 0.1
LIMIT = (TENANT.rate * WINDOW + TENANT.burst) * (1 + EXCESS) + SLACK
DELAY = 0.02  # seconds to another node


@dataclasses.dataclass
class Fleet:
    """Nodes that reach each other after DELAY, unless they are lost."""

    states: dict = dataclasses.field(default_factory=dict)
    deps: dict = dataclasses.field(default_factory=dict)
    lost: set = dataclasses.field(default_factory=set)
    admitted: list = dataclasses.field(default_factory=list)
    refused: int = 0


def _make_fleet(size):
    fleet, loop = Fleet(), asyncio.get_running_loop()
    listed = [
        core.ListedNode(
            core.NodeId(f'n{number}'),
            core.Address('10.0.0.1', number + 1),
            core.DataCentre(f'dc{number % 6}'),
            core.Incarnation(1),
        )
        for number in range(size)
    ]
    for node in listed:
        _add_node(fleet, loop, node, listed)
    return fleet


def _add_node(fleet, loop, own, listed):
    def can_reach(node):
        return (own.node_id in fleet.lost) == (node.node_id in fleet.lost)

    async def spend(node, name, count, is_asking, timeout):
        if not can_reach(node):
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(DELAY)
        decision = service.spend_tokens(
            fleet.deps[node.node_id],
            fleet.states[node.node_id],
            name,
            count,
            is_asking,
            own.dc,
        )
        await asyncio.sleep(DELAY)
        return decision

    def notify(name, seconds):
        for node in listed:
            if can_reach(node):
                loop.call_later(
                    DELAY,
                    service.receive_limited,
                    fleet.deps[node.node_id],
                    fleet.states[node.node_id],
                    name,
                    seconds,
                )

    fleet.states[own.node_id] = service.Quotas()
    fleet.deps[own.node_id] = service.QuotaDependencies(
        now=loop.time,
        rng=random.Random(1),
        own=own,
        find_tenant=lambda name: TENANT,
        list_keepers=lambda name: listed[: service.MAX_KEEPERS],
        count_dcs=lambda: 6,
        count_nodes=lambda: len(listed),
        is_confirmed=lambda: True,
        spend=spend,
        notify=notify,
        bounds=core.QuotaBounds(WINDOW, EXCESS, SLACK),
    )


async def _send(fleet, node_ids, per_second, seconds, rng):
    """Sends requests at random times through the given nodes."""
    loop, tasks = asyncio.get_running_loop(), []
    end = loop.time() + seconds

    async def run(node_id):
        outcome = await service.admit_tenant(
            fleet.deps[node_id], fleet.states[node_id], TENANT.name
        )
        if outcome is None:
            fleet.admitted.append(loop.time())
        else:
            assert outcome.reason is core.NotRunReason.OVER_QUOTA
            fleet.refused += 1

    while loop.time() < end:
        tasks.append(asyncio.create_task(run(rng.choice(node_ids))))
        await asyncio.sleep(rng.expovariate(per_second))
    await asyncio.gather(*tasks)


def _find_peak(times):
    return max(
        sum(start <= at <= start + WINDOW for at in times) for start in times
    )


@pytest.mark.parametrize('node_count', [2, 12, 82])
@pytest.mark.parametrize('factor', [3.0, 7.5])
def test_tenant_far_above_its_usual_stays_within_its_quota(node_count, factor):
    """Guards G16 when one tenant comes through few or all of 82 nodes."""

    async def main():
        fleet, rng = _make_fleet(82), random.Random(7)
        node_ids = [*fleet.deps][-node_count:]
        await _send(fleet, node_ids, USUAL, 10.0, rng)
        refused_before = fleet.refused
        await _send(fleet, node_ids, factor * USUAL, 6.5, rng)
        return fleet, refused_before

    fleet, refused_before = virtual.run(main)
    assert refused_before <= 1
    assert _find_peak(fleet.admitted) <= LIMIT
    # What the quota allows is served: the rate for 16.5 s.
    assert len(fleet.admitted) >= 0.9 * (10 * USUAL + 6.5 * TENANT.rate)


def test_lost_keeper_neither_opens_nor_closes_the_quota():
    """Guards against nodes that all spend freely without the keeper."""

    async def main():
        fleet, rng = _make_fleet(12), random.Random(7)
        node_ids = [*fleet.deps][1:]
        await _send(fleet, node_ids, 40.0, 6.0, rng)
        fleet.lost.add('n0')
        before = len(fleet.admitted)
        await _send(fleet, node_ids, 40.0, 10.0, rng)
        return fleet, before

    fleet, before = virtual.run(main)
    assert _find_peak(fleet.admitted) <= LIMIT
    assert len(fleet.admitted) - before >= 10 * 0.25 * TENANT.rate


def test_node_that_is_cut_off_does_not_spend_what_others_spend():
    """Guards G16 against each side of a partition serving a whole quota."""

    async def main():
        fleet, rng = _make_fleet(12), random.Random(7)
        inside, outside = [*fleet.deps][:8], [*fleet.deps][8:]
        fleet.lost |= {*outside}
        await asyncio.gather(
            _send(fleet, inside, 40.0, 12.0, rng),
            _send(fleet, outside, 40.0, 12.0, rng),
        )
        return fleet

    assert _find_peak(virtual.run(main).admitted) <= LIMIT
