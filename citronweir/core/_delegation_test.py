"""Tests of the replicas that two nodes may use for one shard."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core

REGIONS = {
    core.DataCentre('a1'): 'a',
    core.DataCentre('a2'): 'a',
    core.DataCentre('b1'): 'b',
    core.DataCentre('c1'): 'c',
}


def _make_replica(number, dc):
    return core.ListedReplica(
        core.ReplicaId(f'i-{number}'),
        core.ServiceName('s'),
        core.Address('10.0.0.1', 1),
        dc,
        core.ListedState.READY,
    )


def _list_allowed(replicas, owner_dc, request_id, limit):
    excluded = core.list_excluded(
        replicas, REGIONS, owner_dc, core.RequestId(request_id), limit
    )
    return {replica.replica_id for replica in replicas} - excluded


@given(
    st.lists(st.sampled_from(sorted(REGIONS)), max_size=6),
    st.sampled_from(sorted(REGIONS)),
    st.text(max_size=8),
    st.integers(1, 4),
    st.randoms(),
)
def test_both_nodes_use_the_same_replicas(dcs, owner_dc, key, limit, rng):
    """Guards a shard against more replicas than the route allows."""
    replicas = [_make_replica(*item) for item in enumerate(dcs)]
    allowed = _list_allowed(replicas, owner_dc, key, limit)
    assert len(allowed) == min(limit, len(replicas))
    rng.shuffle(replicas)
    assert allowed == _list_allowed(replicas, owner_dc, key, limit)


def test_replicas_in_the_region_of_the_owner_are_used_first():
    """Guards against answers of replicas that cross regions needlessly."""
    dcs = ('b1', 'a1', 'c1', 'a2')
    replicas = [_make_replica(*item) for item in enumerate(dcs)]
    for key in ('x', 'y', 'z'):
        allowed = _list_allowed(replicas, core.DataCentre('a1'), key, 2)
        assert allowed == {'i-1', 'i-3'}


def test_requests_are_spread_over_the_replicas_of_a_region():
    """Guards the replicas that rank first against all of the load."""
    replicas = [_make_replica(number, 'a1') for number in range(3)]
    uses = collections.Counter()
    for number in range(300):
        uses.update(
            _list_allowed(replicas, core.DataCentre('a1'), f'r{number}', 2)
        )
    assert min(uses.values()) > 150
