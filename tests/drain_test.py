"""Tests that draining upstreams receive no new work (guarantee G6)."""

import asyncio
import dataclasses
import signal
import time

import aiohttp

from fakes import fleet as fleets
from tests import support

# Seconds within which every node must stop sending.
DRAIN_LIMIT = 3.0
INDEX = fleets.IndexSpec('parts', shards=1, replicas=6, service_ms=20.0)
# A hedge would cancel running work on the draining replica.
SETTINGS = {('limits', 'hedges'): '0'}
BY_STATUS = 'dc1-parts-0-0'
BY_REPLY = 'dc1-parts-0-1'
BY_OPERATOR = 'dc1-parts-0-2'
BY_VM_LIST = 'dc1-parts-0-3'


@dataclasses.dataclass(slots=True)
class ReceivedWork:
    """Work that an upstream received since its drain was signalled.

    Attributes:
        signalled_at: Monotonic time of the signal.
        last_received_at: Monotonic time at which new work was last seen.
        counters: The latest counters of the upstream.
    """

    signalled_at: float
    last_received_at: float = 0.0
    counters: dict = dataclasses.field(default_factory=dict)


def _count_received(counters):
    return counters['begun'] + counters['refused'] + counters['shed']


async def _poll_counters(session, fleet, received_work):
    while True:
        for name, work in received_work.items():
            counters = await support.read_counters(session, fleet, name)
            before = work.counters
            if before and _count_received(counters) > _count_received(before):
                work.last_received_at = time.monotonic()
            work.counters = counters
        await asyncio.sleep(fleets.POLL_INTERVAL)


async def _check_drained(session, fleet, load, received_work):
    """Asserts that no new work arrives after the limit and none is lost."""
    task = asyncio.create_task(_poll_counters(session, fleet, received_work))
    started = time.monotonic()

    async def is_limit_passed():
        return time.monotonic() > started + DRAIN_LIMIT + 0.5

    await fleets.wait_for(is_limit_passed, 'the drain limit to pass')
    sent_counts = dict(load.sent_counts)
    await support.wait_for_replies(load, 100)
    assert all(
        load.sent_counts[node] > sent_counts[node] for node in fleet.nodes
    )
    task.cancel()
    for name, work in received_work.items():
        assert work.last_received_at - work.signalled_at < DRAIN_LIMIT, name
        assert work.counters['cancelled'] == 0, name
        assert work.counters['finished'] == work.counters['begun'], name


async def _restart(fleet, name):
    """Restarts an upstream, which gives it a higher epoch."""
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


async def test_each_drain_signal_suffices_and_ends(tmp_path):
    """Guards against ignoring a drain source, and a drain that never ends."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        async with support.run_load(load, fleet.nodes):
            await support.wait_for_replies(load, 100)
            received_work = {}

            async def signal_drain(name, **faults):
                received_work[name] = ReceivedWork(time.monotonic())
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
            drain = await support.call_operators_api(
                fleet,
                'dc1-n0',
                'DrainUpstream',
                {'changeId': 'drain-1', 'replicaId': BY_OPERATOR},
            )
            await _check_drained(session, fleet, load, received_work)
            # The VM list lags: it still says "leaving" after the upstream
            # has restarted.
            for name in (BY_STATUS, BY_REPLY, BY_VM_LIST):
                await _restart(fleet, name)
            await support.call_operators_api(
                fleet,
                'dc1-n1',
                'UndrainUpstream',
                {
                    'changeId': 'undrain-1',
                    'replicaId': BY_OPERATOR,
                    'expectedRevision': drain['revision'],
                },
            )
            before = received_work[BY_OPERATOR].counters['finished']
            for name in (BY_STATUS, BY_REPLY, BY_VM_LIST):
                await _wait_for_work(session, fleet, name)

            # Idle replicas are chosen by latency, and this one may be the
            # slowest; slowing the others ensures that it is used.
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
        support.check_all_complete(load)


async def test_upstream_drains_while_the_platform_is_down(tmp_path):
    """Guards against a drain that needs the store or the VM list."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,), SETTINGS)
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        load = support.Load(fleet)
        async with support.run_load(load, fleet.nodes):
            await support.wait_for_replies(load, 100)
            await support.set_kv_faults(session, fleet, outage='hang')
            fleets.signal_process(fleet, 'vms', signal.SIGSTOP)
            received_work = {}
            for name, faults in (
                (BY_STATUS, {'claimed_state': 'draining'}),
                (BY_REPLY, {'state': 'draining', 'claimed_state': 'ready'}),
            ):
                received_work[name] = ReceivedWork(time.monotonic())
                await support.control_upstream(
                    session, fleet, name, set=faults
                )
            await _check_drained(session, fleet, load, received_work)
            for name in received_work:
                await _restart(fleet, name)
            for name in received_work:
                await _wait_for_work(session, fleet, name)
        support.check_all_complete(load)
