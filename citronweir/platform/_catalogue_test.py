"""Tests of the decoders of what others write into the store."""

import json

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir import platform

ROUTE = {
    'name': 'r',
    'host': 'A.example',
    'path_prefix': '/a/',
    'kind': 'idempotent',
    'timeout_ms': 400,
    'goal_ms': 84.2,
    'priority': 0,
    'gather': ['s1', 's2'],
    'max_attempts': 2,
    'top_k': 5,
    'min_shard_ratio': 0.75,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'backends': [{'name': 's1', 'max_conns': 26}],
    'limits': {'max_body_bytes': 10, 'idle_timeout_ms': 15000},
}
ENTRY = {
    'backend': 's1',
    'address': '10.0.0.1:80',
    'zone': 'dc',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 1500,
    'sequence': 4,
    'born': 1781735170866,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ROUTE, *CONFIG, *ENTRY]), inner)
    ),
    max_leaves=12,
)


def _decode(key, fields):
    value = fields if isinstance(fields, str) else json.dumps(fields)
    record = core.ConfigRecord(core.ConfigKey(key), value, core.Revision(2))
    return platform.decode_record(record)


def test_routes_are_decoded_into_our_words():
    """Guards the promises of a route against a field read as another."""
    record, errors = _decode('op/config', CONFIG)
    assert not errors
    (route,) = record.body.routes
    assert route == core.Route(
        core.RouteName('r'),
        'a.example',
        '/a/',
        core.Idempotency.IDEMPOTENT,
        core.Rank.URGENT,
        0.0842,
        0.4,
        2,
        (),
        (core.ServiceName('s1'), core.ServiceName('s2')),
        5,
        0.75,
    )
    assert record.body.limits.idle_timeout == 15.0


def test_replica_is_decoded():
    """Guards placement against a field that was read as another one."""
    record, errors = _decode('servers/i-1', ENTRY)
    assert not errors
    assert record.body == core.ListedReplica(
        core.ReplicaId('i-1'),
        core.ServiceName('s1'),
        core.Address('10.0.0.1', 80),
        core.DataCentre('dc'),
        core.ListedState.READY,
        2,
        1.5,
        core.Epoch(1781735170866),
    )


def test_heartbeat_changes_nothing():
    """Guards against work for each write that only counts up."""
    first, _ = _decode('servers/i-1', ENTRY)
    second, _ = _decode('servers/i-1', ENTRY | {'sequence': 5})
    assert first.body == second.body


@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_entry_with_a_strange_field_names_no_replica_or_a_whole_one(
    name, value
):
    """Guards against an entry of another writer that stops a node."""
    record, errors = _decode('servers/i-1', ENTRY | {name: value})
    assert bool(errors) == (record.body is None)


@given(st.sampled_from(['op/config', 'servers/x', 'else']), JSON)
@hypothesis.settings(max_examples=300)
def test_any_value_is_decoded_or_named(key, value):
    """Guards against bytes that raise where nothing catches them."""
    _decode(key, value)
    _decode(key, repr(value))


def test_removed_key_has_no_body_and_no_error():
    """Guards against an alarm for each replica that leaves."""
    record, errors = _decode('servers/i-1', '')
    assert record.body is None and not errors


HUGE = 10**400
ODD_FIELDS = [
    ('warmup_left_ms', HUGE),
    ('warmup_left_ms', -HUGE),
    ('warmup_left_ms', float('inf')),
    ('warmup_left_ms', float('nan')),
    ('warmup_left_ms', -1),
    ('slots', HUGE),
    ('slots', -1),
    ('born', HUGE),
    ('born', -1),
    ('born', 1.5),
    ('address', '10.0.0.1:70000'),
    ('address', '10.0.0.1:0'),
    ('address', '10.0.0.1:-80'),
    ('address', '10.0.0.1:' + '9' * 5000),
    ('address', 'host.example:80'),
    ('address', 'a\0b:80'),
    ('address', '.' * 300 + ':80'),
    ('address', '\ud800:80'),
    ('backend', '\ud800'),
    ('backend', ''),
    ('backend', 'x' * 100_000),
    ('zone', '\ud800'),
    ('state', []),
    ('state', {}),
]


@pytest.mark.parametrize('name, value', ODD_FIELDS)
def test_odd_field_names_no_replica(name, value):
    """Guards a node against an entry that stops it or its watch."""
    record, errors = _decode('servers/i-1', ENTRY | {name: value})
    assert record.body is None
    assert len(errors) == 1
    assert len(errors[0]) < 500  # it becomes a line of the log


@pytest.mark.parametrize('depth', [500, 900, 2000, 100_000])
@pytest.mark.parametrize('name', ['backend', 'slots', 'unknown'])
def test_deeply_nested_field_stops_nothing(name, depth):
    """Guards the watch against an error of the decoder's own limits."""
    nested = '[' * depth + ']' * depth
    fields = json.dumps({key: ENTRY[key] for key in ENTRY if key != name})
    record, errors = _decode(
        'servers/i-1', f'{fields[:-1]}, "{name}": {nested}}}'
    )
    assert bool(errors) == (record.body is None)
    assert all(len(error) < 500 for error in errors)


@pytest.mark.parametrize(
    'replica_id', ['', 'a b', 'a\r\nX-Y: z', 'é', '漢', 'x' * 300, '\ud800']
)
def test_key_that_is_no_header_value_names_no_replica(replica_id):
    """Guards replicas: the id goes into the head of each request."""
    record, errors = _decode(f'servers/{replica_id}', ENTRY)
    assert record.body is None
    assert len(errors) == 1
