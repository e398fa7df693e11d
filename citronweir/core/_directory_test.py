"""Tests of which listed replicas take new requests."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.core import _directory as directories

SERVICE = core.ServiceName('s')


def _replica(name='r', state=core.ListedState.READY, port=1):
    return core.ListedReplica(
        core.ReplicaId(name),
        SERVICE,
        core.Address('127.0.0.1', port),
        core.DataCentre('dc'),
        state,
    )


def _usable(directory):
    return {item.replica_id for item in core.list_usable(directory, SERVICE)}


def test_drain_counts_at_once():
    """Guards G6: a draining replica must get no new request."""
    directory = core.Directory()
    core.update_entry(directory, _replica())
    core.update_entry(directory, _replica(state=core.ListedState.DRAINING))
    assert not _usable(directory)


def test_removal_counts_at_once_while_the_registry_answers():
    """Guards G6: some replicas leave without reporting it."""
    directory = core.Directory()
    core.update_entry(directory, _replica())
    core.remove_entry(directory, core.ReplicaId('r'), 100.0)
    assert not _usable(directory)


def test_entry_that_lapsed_in_an_outage_is_kept_until_its_return():
    """Guards against the loss of all replicas after an outage."""
    directory = core.Directory()
    core.update_entry(directory, _replica())
    core.note_registry_restored(directory, 100.0)
    core.remove_entry(directory, core.ReplicaId('r'), 100.1)
    core.expire_entries(directory, 101.9)
    assert _usable(directory) == {'r'}
    core.update_entry(directory, _replica())
    core.expire_entries(directory, 110.0)
    assert _usable(directory) == {'r'}


def test_entry_that_does_not_return_is_gone():
    """Guards G6: a replica that left during an outage stays away."""
    directory = core.Directory()
    core.update_entry(directory, _replica())
    core.note_registry_restored(directory, 100.0)
    core.remove_unlisted(directory, (), 100.1)
    due = 100.0 + directories.RETURN_TIME
    assert core.expire_entries(directory, due) == ['r']
    assert not _usable(directory)


def test_address_of_another_replica_is_not_used_until_the_entry_changes():
    """Guards against requests that all end at a replica which refuses."""
    directory = core.Directory()
    core.update_entry(directory, _replica())
    core.mark_misdirected(directory, _replica())
    assert not _usable(directory)
    core.update_entry(directory, _replica(port=2))
    assert _usable(directory) == {'r'}


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.sampled_from(['ready', 'draining', 'remove', 'restore']),
        )
    )
)
def test_usable_replicas_are_exactly_the_ready_ones(steps):
    """Guards against an index by service that strays from the entries."""
    directory, now = core.Directory(), 0.0
    for name, step in steps:
        now += 1.0
        if step == 'remove':
            core.remove_entry(directory, core.ReplicaId(name), now)
        elif step == 'restore':
            core.note_registry_restored(directory, now)
        else:
            core.update_entry(
                directory,
                dataclasses.replace(
                    _replica(name), state=core.ListedState(step)
                ),
            )
        core.expire_entries(directory, now)
        ready = {
            item.replica_id
            for item in directory.replicas.values()
            if item.state is core.ListedState.READY
        }
        assert _usable(directory) == ready
