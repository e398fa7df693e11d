"""Tests of the decoders for records in the platform's store."""

import json
import random

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
REPLICA = {
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
CONVICTION_KEY = 'citronweir/convictions/' + 'ab' * 12
CONVICTION = {'crashes': [['c', 's', 'r', 'i', 1781735170866]]}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ROUTE, *CONFIG, *REPLICA]), inner)
    ),
    max_leaves=12,
)


def _decode(key, fields):
    value = fields if isinstance(fields, str) else json.dumps(fields)
    record = core.ConfigRecord(core.ConfigKey(key), value, core.Revision(2))
    return platform.decode_record(record)


def test_routes_are_decoded():
    """Guards against confusing two fields of a route."""
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
    """Guards against confusing two fields of a replica."""
    record, errors = _decode('servers/i-1', REPLICA)
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


def test_heartbeat_does_not_change_the_record():
    """Guards against handling writes that only increment a counter."""
    first, _ = _decode('servers/i-1', REPLICA)
    second, _ = _decode('servers/i-1', REPLICA | {'sequence': 5})
    assert first.body == second.body


@given(st.sampled_from(sorted(REPLICA)), JSON)
def test_replica_with_any_field_value_is_decoded_or_rejected(name, value):
    """Guards against a record of another system that stops a node."""
    record, errors = _decode('servers/i-1', REPLICA | {name: value})
    assert bool(errors) == (record.body is None)


@given(st.sampled_from(['op/config', 'servers/x', 'else']), JSON)
@hypothesis.settings(max_examples=300)
def test_any_value_is_decoded_or_reported(key, value):
    """Guards against values that raise an uncaught exception."""
    _decode(key, value)
    _decode(key, repr(value))


def test_deleted_key_has_no_body_and_no_error():
    """Guards against an error for each replica that is deregistered."""
    record, errors = _decode('servers/i-1', '')
    assert record.body is None and not errors


HUGE_INTEGER = 10**400
INVALID_FIELDS = [
    ('warmup_left_ms', HUGE_INTEGER),
    ('warmup_left_ms', -HUGE_INTEGER),
    ('warmup_left_ms', float('inf')),
    ('warmup_left_ms', float('nan')),
    ('warmup_left_ms', -1),
    ('slots', HUGE_INTEGER),
    ('slots', -1),
    ('born', HUGE_INTEGER),
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


@pytest.mark.parametrize('name, value', INVALID_FIELDS)
def test_replica_with_an_invalid_field_is_rejected(name, value):
    """Guards against a record that stops a node or its watch."""
    record, errors = _decode('servers/i-1', REPLICA | {name: value})
    assert record.body is None
    assert len(errors) == 1
    assert len(errors[0]) < 500  # logged as one line


@pytest.mark.parametrize('depth', [500, 900, 2000, 100_000])
@pytest.mark.parametrize('name', ['backend', 'slots', 'unknown'])
def test_deeply_nested_field_does_not_raise(name, depth):
    """Guards the watch against the JSON decoder's recursion limit."""
    nested = '[' * depth + ']' * depth
    fields = json.dumps({key: REPLICA[key] for key in REPLICA if key != name})
    record, errors = _decode(
        'servers/i-1', f'{fields[:-1]}, "{name}": {nested}}}'
    )
    assert bool(errors) == (record.body is None)
    assert all(len(error) < 500 for error in errors)


@pytest.mark.parametrize(
    'replica_id', ['', 'a b', 'a\r\nX-Y: z', 'é', '漢', 'x' * 300, '\ud800']
)
def test_replica_id_that_is_no_header_value_is_rejected(replica_id):
    """Guards against header injection: each request carries the id."""
    record, errors = _decode(f'servers/{replica_id}', REPLICA)
    assert record.body is None
    assert len(errors) == 1


_NAMES = st.text(
    st.characters(exclude_categories=['Cs']), min_size=1, max_size=200
)


@given(
    st.lists(
        st.tuples(_NAMES, _NAMES, _NAMES, _NAMES, st.integers(0, 1 << 41)),
        min_size=1,
        max_size=8,
    )
)
def test_conviction_is_decoded_as_it_was_encoded(rows):
    """Guards against crashes that a restarted node reads differently."""
    fingerprint = core.Fingerprint('ab' * 12)
    crashes = tuple(
        (
            core.ReplicaReport(core.ReportKind.ENDED, fingerprint, *names),
            millis / 1000,
        )
        for *names, millis in rows
    )
    conviction = core.Conviction(fingerprint, crashes)
    text = platform.encode_conviction(conviction)
    assert len(text.encode()) < 64_000  # far below the limit of a value
    record, errors = _decode(CONVICTION_KEY, text)
    assert not errors
    assert record.body == conviction


@pytest.mark.parametrize(
    'key, fields',
    [
        (CONVICTION_KEY + '0', CONVICTION),
        ('citronweir/convictions/x', CONVICTION),
        (CONVICTION_KEY, {}),
        (CONVICTION_KEY, {'crashes': []}),
        (CONVICTION_KEY, {'crashes': CONVICTION['crashes'] * 9}),
        (CONVICTION_KEY, {'crashes': [['c', 's', 'r', 'i', 1e400]]}),
        (CONVICTION_KEY, {'crashes': [['c', 's', 'r', 'i', -1]]}),
        (CONVICTION_KEY, {'crashes': [['c', 's', 'r', 5, 1]]}),
        (CONVICTION_KEY, {'crashes': [['c', 's', 'r' * 201, 'i', 1]]}),
    ],
)
def test_malformed_conviction_is_rejected(key, fields):
    """Guards nodes against an odd entry of another writer."""
    record, errors = _decode(key, fields)
    assert record.body is None and errors


@given(
    st.text(st.characters() | st.characters(categories=['Cs']), max_size=300),
    st.sampled_from(['', '10.0.0.1', '::1']),
)
def test_written_conviction_can_be_read(request_id, caller):
    """Guards the store against a record that is written again and again.

    A record that no node can read counts as missing.
    """
    fingerprint = core.Fingerprint('ab' * 12)
    reports, table = core.CrashReportTable(), core.ConvictionTable()
    for number in range(3):
        report = core.ReplicaReport(
            core.ReportKind.ENDED,
            fingerprint,
            core.CallerId(caller),
            core.ServiceName('s' * 200),
            core.RequestId(f'{number}{request_id}'),
            core.ReplicaId(f'{number}'.rjust(200, 'i')),
        )
        core.merge_report(reports, report, 1.0, 1.0)
    own = core.NodeId('n1')
    clocks = 5.0, 1.7e9
    write = core.choose_write(
        table, reports, own, [own], clocks, random.Random(1)
    )
    text = platform.encode_conviction(write.conviction)
    record, errors = _decode(CONVICTION_KEY, text)
    assert not errors
    # The record is known now, so nothing more is written.
    core.restore_conviction(table, reports, record.body, clocks)
    later = 60.0, 1.7e9 + 55.0
    assert (
        core.choose_write(table, reports, own, [own], later, random.Random(1))
        is None
    )
