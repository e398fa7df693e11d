"""Tests of decoding records and claims with malformed values."""

import json

import pytest

from citronweir import core
from citronweir import metastore
from citronweir.metastore import _claim_records as claims

MALFORMED_VALUES = [
    '[' * 100_000,
    '{"state": ' + '[' * 100_000,
    '{"change_ids": 1' + '0' * 5000 + '}',
    '{"changed_wall": 1' + '0' * 400 + '}',
    '{"changed_wall": 1e999}',
    'null',
    '"text"',
    json.dumps({'state': []}),
]


@pytest.mark.parametrize(
    'value', MALFORMED_VALUES, ids=range(len(MALFORMED_VALUES))
)
def test_malformed_value_is_returned_as_an_error(value):
    """Guards against a malformed record that ends the watch.

    The values make the JSON parser, the number conversion or the field
    lookup raise.
    """
    key = core.ConfigKey(f'{core.CONTRACTS_PREFIX}c1')
    record, errors = metastore.decode_record(
        core.ConfigRecord(key, value, core.Revision(1))
    )
    assert record.body is None and len(errors) == 1
    claim, errors = claims.decode_claim(value)
    assert claim is None and len(errors) == 1
