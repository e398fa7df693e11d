"""Tests of records and claims that another writer has left."""

import json

import pytest

from citronweir import core
from citronweir import metastore
from citronweir.metastore import _claim_records as claims

ODD = [
    '[' * 100_000,
    '{"state": ' + '[' * 100_000,
    '{"change_ids": 1' + '0' * 5000 + '}',
    '{"changed_wall": 1' + '0' * 400 + '}',
    '{"changed_wall": 1e999}',
    'null',
    '"text"',
    json.dumps({'state': []}),
]


@pytest.mark.parametrize('value', ODD, ids=range(len(ODD)))
def test_odd_record_is_named_and_stops_nothing(value):
    """Guards the watch against a record that its decoder cannot bear."""
    key = core.ConfigKey(f'{core.CONTRACTS_PREFIX}c1')
    record, errors = metastore.decode_record(
        core.ConfigRecord(key, value, core.Revision(1))
    )
    assert record.body is None and len(errors) == 1
    claim, errors = claims.decode_claim(value)
    assert claim is None and len(errors) == 1
