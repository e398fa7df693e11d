"""Leaving upstreams receive no new work (guarantee G6)."""

import asyncio
import dataclasses
import signal
import time

import aiohttp

from fakes import fleet as fleets
from tests import support

# Within this time every node has stopped sending, seconds.
LIMIT = 3.0
INDEX = fleets.IndexSpec('parts', shards=1, replicas=6, service_ms=20.0)
# A hedge would cancel running work on the replica that drains.
SETTINGS = {('limits', 'hedges'): '0'}
BY_STATUS = 'dc1-parts-0-0'
BY_REPLY = 'dc1-parts-0-1'
BY_OPERATOR = 'dc1-parts-0-2'
BY_VM_LIST = 'dc1-parts-0-3'


@dataclasses.dataclass(slots=True)
class Watched:
    """Work that one upstream received since its drain was signalled.

    Attributes:
        signalled_at: Monotonic second of the signal.
        changed_at: Monotonic second at which new work was last seen.
        counters: The newest counters.
    """

    signalled_at: float
    changed_at: float = 0.0
    counters: dict = dataclasses.field(default_factory=dict)


def _count_received(counters):
    return counters['begun'] + counters['refused'] + counters['shed']


async def _watch(session, fleet, watched):
    while True:
        for name, seen in watched.items():
            counters = await support.read_counters(session, fleet, name)
            before = seen.counters
            if before and _count_received(counters) > _count_received(before):
                seen.changed_at = time.monotonic()
            seen.counters = counters
        await asyncio.sleep(fleets.POLL_INTERVAL)


async def _check_drained(session, fleet, load, watched):
    """Asserts that no new work comes after the limit, nor was any lost."""
    task = asyncio.create_task(_watch(session, fleet, watched))
    started = time.monotonic()

    async def is_seen():
        return time.monotonic() > started + LIMIT + 0.5

    await fleets.wait_for(is_seen, 'the limit of a drain')
    asked = dict(load.asked)
    await support.wait_for_replies(load, 100)
    assert all(load.asked[node] > asked[node] for node in fleet.nodes)
    task.cancel()
    for name, seen in watched.items():
        assert seen.changed_at - seen.signalled_at < LIMIT, name
        assert seen.counters['cancelled'] == 0, name
        assert seen.counters['finished'] == seen.counters['begun'], name


async def _restart(fleet, name):
    """Starts an upstream anew, which gives it a higher epoch."""
    fleets.signal_process(fleet, name, signal.SIGKILL)
    fleets.wait_process(fleet, name)
    fleets.start_upstream(fleet, name, INDEX, 0)


async def _wait_for_work(session, fleet, name):
    async def is_working():
        try:
            counters = await support.read_counters(session, fleet, name)
        except aiohttp.ClientConnectionError:
            return False  # the port is not open yet
        return counters['finished'] > 0

    await fleets.wait_for(is_working, f'new work at {name}')


async def test_each_signal_alone_drains_and_a_rejoin_gets_work(tmp_path):
    """Guards against a source that is not heard, and a drain that sticks."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_served_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        async with support.run_load(load, fleet.nodes):
            await support.wait_for_replies(load, 100)
            watched = {}

            async def signal_drain(name, **faults):
                watched[name] = Watched(time.monotonic())
                await support.control_upstream(
                    session, fleet, name, set=faults
                )

            await signal_drain(BY_STATUS, claimed_state='draining')
            await signal_drain(
                BY_REPLY, state='draining', claimed_state='ready'
            )
            await signal_drain(BY_VM_LIST, claimed_state='ready')
            await fleets.register_vm(
                session,
                fleet,
                'dc1',
                BY_VM_LIST,
                'upstream',
                fleet.upstreams[BY_VM_LIST],
                'leaving',
            )
            await signal_drain(BY_OPERATOR, claimed_state='ready')
            drain = await support.call_operators(
                fleet,
                'dc1-n0',
                'DrainUpstream',
                {'changeId': 'drain-1', 'replicaId': BY_OPERATOR},
            )
            await _check_drained(session, fleet, load, watched)
            # The VM list lags, so that it still says "leaving" when the
            # upstream has started anew.
            for name in (BY_STATUS, BY_REPLY, BY_VM_LIST):
                await _restart(fleet, name)
            await support.call_operators(
                fleet,
                'dc1-n1',
                'UndrainUpstream',
                {
                    'changeId': 'undrain-1',
                    'replicaId': BY_OPERATOR,
                    'expectedRevision': drain['revision'],
                },
            )
            before = watched[BY_OPERATOR].counters['finished']
            for name in (BY_STATUS, BY_REPLY, BY_VM_LIST):
                await _wait_for_work(session, fleet, name)

            # The choice between idle replicas goes by their latency, in
            # which this one may be the last.
            for name in fleet.upstreams.keys() - {BY_OPERATOR}:
                await support.control_upstream(
                    session, fleet, name, set={'slow': 4.0}
                )

            async def is_undrained():
                counters = await support.read_counters(
                    session, fleet, BY_OPERATOR
                )
                return counters['finished'] > before

            await fleets.wait_for(is_undrained, 'work after the drain')
        support.check_uncut(load)


async def test_upstream_drains_while_the_platform_is_down(tmp_path):
    """Guards against a drain that needs the store or the VM list."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_served_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        async with support.run_load(load, fleet.nodes):
            await support.wait_for_replies(load, 100)
            await support.set_kv_faults(session, fleet, outage='hang')
            fleets.signal_process(fleet, 'vms', signal.SIGSTOP)
            watched = {}
            for name, faults in (
                (BY_STATUS, {'claimed_state': 'draining'}),
                (BY_REPLY, {'state': 'draining', 'claimed_state': 'ready'}),
            ):
                watched[name] = Watched(time.monotonic())
                await support.control_upstream(
                    session, fleet, name, set=faults
                )
            await _check_drained(session, fleet, load, watched)
            for name in watched:
                await _restart(fleet, name)
            for name in watched:
                await _wait_for_work(session, fleet, name)
        support.check_uncut(load)
