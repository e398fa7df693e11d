"""Tests that late or swapped replies reach no other caller (G3)."""

import itertools
import signal

from fakes import fleet as fleets
from tests import support

INDEX = fleets.IndexSpec('parts', shards=2, replicas=3, service_ms=10.0)
# A reply that is this late arrives after the idle timeout of its connection,
# a quarter of the deadline, and in half of the cases after the deadline.
DEADLINE_MS = 400
LATE_MS = 410.0
RESTARTS = 3


def _make_query_factory():
    numbers = itertools.count()

    def make_fields():
        # No document contains the second word; it makes the query unique.
        query = f'worn q{next(numbers)}'
        return support.make_search_fields(query, DEADLINE_MS)

    return make_fields


async def _enable_echo(session, fleet):
    for name in fleet.upstreams:
        await support.control_upstream(
            session, fleet, name, set={'echo': True}
        )


async def test_node_restarted_in_place_mixes_up_no_replies(tmp_path):
    """Guards against matching a reply with a previous process's request.

    The node is killed while its peers have requests pending at it, and
    restarts on the same address and ports.
    """
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,))
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        await _enable_echo(session, fleet)
        load = support.Load(fleet, is_echo_expected=True)
        others = ('dc1-n0', 'dc1-n2')
        async with support.run_load(
            load, others, callers=8, make_fields=_make_query_factory()
        ):
            for _ in range(RESTARTS):
                await support.wait_for_replies(load, 100)
                fleets.signal_process(fleet, 'dc1-n1', signal.SIGKILL)
                fleets.wait_process(fleet, 'dc1-n1')
                fleets.start_node(fleet, 'dc1', 'dc1-n1')
                await support.wait_until_serving(session, fleet, 'dc1-n1')
            await support.wait_for_replies(load, 100)
        assert not load.wrong_hits
        assert not load.errors
        assert set(load.outcomes) <= {'complete', 'partial'}, (
            load.incomplete_replies
        )
        assert load.outcomes['complete'] > 0.9 * load.outcomes.total()


async def test_late_and_crossed_replies_reach_no_other_caller(tmp_path):
    """Guards against an old reply that arrives on a reused connection."""
    spec = fleets.FleetSpec(('dc1',), 3, (INDEX,))
    async with support.run_serving_fleet(spec, tmp_path) as (fleet, session):
        await _enable_echo(session, fleet)
        late = [name for name in fleet.upstreams if name.endswith('-0')]
        crossed = [name for name in fleet.upstreams if name.endswith('-1')]
        for names, faults in (
            (late, {'late_share': 0.3, 'late_ms': LATE_MS}),
            (crossed, {'cross': True}),
        ):
            for name in names:
                await support.control_upstream(
                    session, fleet, name, set=faults
                )
        load = support.Load(fleet, is_echo_expected=True)
        async with support.run_load(
            load, fleet.nodes, callers=8, make_fields=_make_query_factory()
        ):
            await support.wait_for_replies(load, 1000)
        for names, counter in ((late, 'late'), (crossed, 'crossed')):
            counts = [
                await support.read_counters(session, fleet, name)
                for name in names
            ]
            assert sum(count[counter] for count in counts) > 0, counter
        assert not load.wrong_hits
        assert not load.errors
        assert load.outcomes['complete'] > 0, load.outcomes
