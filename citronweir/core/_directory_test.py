"""Tests of the directory of registered replicas."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _directory as directories

SERVICE = core.ServiceName('s')


def _make_replica(name='r', state=core.ListedState.READY, port=1):
    return core.ListedReplica(
        core.ReplicaId(name),
        SERVICE,
        core.Address('127.0.0.1', port),
        core.DataCentre('dc'),
        state,
    )


def _list_usable_ids(directory):
    return {item.replica_id for item in core.list_usable(directory, SERVICE)}


def test_drain_takes_effect_immediately():
    """Guards G6: a draining replica must get no new requests."""
    directory = core.Directory()
    core.update_entry(directory, _make_replica())
    core.update_entry(
        directory, _make_replica(state=core.ListedState.DRAINING)
    )
    assert not _list_usable_ids(directory)


def test_removal_is_immediate_without_an_outage():
    """Guards G6: some replicas leave without reporting a drain."""
    directory = core.Directory()
    core.update_entry(directory, _make_replica())
    core.remove_entry(directory, core.ReplicaId('r'), 100.0)
    assert not _list_usable_ids(directory)


def test_entry_that_expired_in_an_outage_is_kept_for_reregistration():
    """Guards against the loss of all replicas after an outage.

    Their leases expire while the registry is unavailable, so that it
    lists none of them until they have registered again.
    """
    directory = core.Directory()
    core.update_entry(directory, _make_replica())
    core.mark_registry_restored(directory, 100.0)
    core.remove_entry(directory, core.ReplicaId('r'), 100.1)
    core.expire_entries(directory, 101.9)
    assert _list_usable_ids(directory) == {'r'}
    core.update_entry(directory, _make_replica())
    core.expire_entries(directory, 110.0)
    assert _list_usable_ids(directory) == {'r'}


def test_entry_without_reregistration_is_dropped():
    """Guards G6: a replica that left during an outage gets no requests."""
    directory = core.Directory()
    core.update_entry(directory, _make_replica())
    core.mark_registry_restored(directory, 100.0)
    core.remove_unlisted(directory, (), 100.1)
    due = 100.0 + directories.REREGISTRATION_TIME
    assert core.expire_entries(directory, due) == ['r']
    assert not _list_usable_ids(directory)


def test_misdirected_replica_is_unused_until_its_entry_changes():
    """Guards against requests to an address where they are all rejected."""
    directory = core.Directory()
    core.update_entry(directory, _make_replica())
    core.mark_misdirected(directory, _make_replica())
    assert not _list_usable_ids(directory)
    core.update_entry(directory, _make_replica(port=2))
    assert _list_usable_ids(directory) == {'r'}


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.sampled_from(['ready', 'draining', 'remove', 'restore']),
        )
    )
)
def test_usable_replicas_are_exactly_the_ready_ones(steps):
    """Guards against an index by service that differs from the entries."""
    directory, now = core.Directory(), 0.0
    for name, step in steps:
        now += 1.0
        if step == 'remove':
            core.remove_entry(directory, core.ReplicaId(name), now)
        elif step == 'restore':
            core.mark_registry_restored(directory, now)
        else:
            core.update_entry(
                directory,
                dataclasses.replace(
                    _make_replica(name), state=core.ListedState(step)
                ),
            )
        core.expire_entries(directory, now)
        ready = {
            item.replica_id
            for item in directory.replicas.values()
            if item.state is core.ListedState.READY
        }
        assert _list_usable_ids(directory) == ready


_STEPS = st.sampled_from(
    ['ready', 'draining', 'remove', 'restore', 'move', 'misdirect', 'depart']
)


def _apply_step(directory, name, step, now):
    """Applies a step to a replica; a move changes its port."""
    replica_id = core.ReplicaId(name)
    known = directory.replicas.get(replica_id)
    match step:
        case 'remove':
            core.remove_entry(directory, replica_id, now)
        case 'restore':
            core.mark_registry_restored(directory, now)
        case 'misdirect' if known is not None:
            core.mark_misdirected(directory, known)
        case 'depart':
            epoch = core.Epoch(int(now))
            departure = core.Departure(replica_id, epoch)
            core.mark_departed(directory, departure, now)
        case 'ready' | 'draining' | 'move':
            port = int(now) if step == 'move' else 1
            entry = _make_replica(name, port=port)
            if step == 'draining':
                state = core.ListedState.DRAINING
                entry = dataclasses.replace(entry, state=state)
            core.update_entry(directory, entry)
    core.expire_entries(directory, now)


@given(st.lists(st.tuples(st.sampled_from('abc'), _STEPS)))
def test_each_replica_that_takes_no_more_requests_is_reported(steps):
    """Guards G6: requests waited for replicas that had drained or moved."""
    reported = []
    directory = core.Directory(on_excluded=reported.append)

    def read_addresses():
        usable = core.list_usable(directory, SERVICE)
        return {item.replica_id: item.address for item in usable}

    for number, (name, step) in enumerate(steps, 2):
        before, reported[:] = read_addresses(), []
        _apply_step(directory, name, step, float(number))
        after = read_addresses()
        lost = [key for key in before if after.get(key) != before[key]]
        assert reported == lost
