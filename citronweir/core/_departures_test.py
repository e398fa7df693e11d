"""Tests of departures over stale, lost and restarted replicas."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _departures as departures

SERVICE = core.ServiceName('s')


def _make_replica(epoch=5, port=1):
    return core.ListedReplica(
        core.ReplicaId('r'),
        SERVICE,
        core.Address('127.0.0.1', port),
        core.DataCentre('dc'),
        core.ListedState.READY,
        epoch=core.Epoch(epoch),
    )


def _make_departure(epoch=5, name='r'):
    return core.Departure(core.ReplicaId(name), core.Epoch(epoch))


STEPS = st.one_of(
    st.tuples(st.just('list'), st.integers(0, 6)),
    st.tuples(st.just('drop'), st.just(0)),
    st.tuples(st.just('depart'), st.integers(0, 6)),
    st.tuples(st.just('outage'), st.just(0)),
    st.tuples(st.just('wait'), st.integers(1, 60)),
)


@given(st.lists(STEPS, max_size=30))
def test_departed_process_is_never_used_again(steps):
    """Guards G6: only a later process under the id may be used.

    The registry may still say ready, lose the entry and bring it back.
    """
    directory, now, epoch, departed = core.Directory(), 0.0, 0, -1
    for step, value in steps:
        match step:
            case 'list':
                epoch = max(epoch, value)  # the store never goes back
                core.update_entry(directory, _make_replica(epoch, epoch + 1))
            case 'drop':
                core.remove_entry(directory, core.ReplicaId('r'), now)
            case 'depart':
                core.mark_departed(directory, _make_departure(value), now)
                departed = max(departed, value)
            case 'outage':
                core.mark_registry_restored(directory, now)
            case 'wait':
                now += value
                core.expire_entries(directory, now)
                core.expire_departures(
                    directory.departures, directory.replicas, now
                )
        listed = directory.replicas.get(core.ReplicaId('r'))
        is_usable = bool(core.list_usable(directory, SERVICE))
        assert is_usable == (listed is not None and listed.epoch > departed)


def test_departure_before_the_entry_is_known_counts():
    """Guards a node that has just started and learns of it from a peer."""
    directory = core.Directory()
    assert core.mark_departed(directory, _make_departure(), 0.0)
    core.update_entry(directory, _make_replica())
    assert not core.list_usable(directory, SERVICE)
    assert not core.mark_departed(directory, _make_departure(), 1.0)


def test_departures_are_bounded_and_end():
    """Guards against a table that grows with each replaced replica."""
    table = departures.DepartureTable()
    for number in range(departures.MAX_DEPARTURES + 10):
        departure = _make_departure(name=f'r{number}')
        departures.merge_departure(table, departure, float(number))
    assert len(table.epochs) == departures.MAX_DEPARTURES
    latest = core.list_departures(table, 2)
    assert [item.replica_id for item in latest] == ['r4105', 'r4104']
    core.expire_departures(table, {}, number + departures.RETENTION)
    assert not table.epochs and not table.kept_until


def test_restarted_replica_ends_its_departure():
    """Guards a replica that starts again under its id."""
    table = departures.DepartureTable()
    departures.merge_departure(table, _make_departure(), 0.0)
    restarted = dataclasses.replace(_make_replica(), epoch=core.Epoch(6))
    assert not core.has_departed(table, restarted)
    core.expire_departures(table, {restarted.replica_id: restarted}, 1.0)
    assert not table.epochs
