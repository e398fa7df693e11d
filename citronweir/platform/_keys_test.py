"""Tests that API keys don't get beyond the store client."""

import json

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core
from citronweir.platform import _catalogue as catalogue
from citronweir.platform import _keys as keys

TOKEN = st.text('abcdefghij0123456789', min_size=12, max_size=24)


def _config(**fields):
    return json.dumps({'version': 7, 'routes': [], 'backends': []} | fields)


@given(api_keys=st.lists(TOKEN, min_size=1, unique=True))
def test_redacted_configuration_holds_digests_only(api_keys):
    """Guards records, messages and logs against keys."""
    tenant = {'name': 't', 'api_keys': api_keys, 'rate_per_s': 5, 'burst': 2}
    text = keys.redact_keys(_config(tenants=[tenant]))
    assert not any(key in text for key in api_keys)
    table = catalogue.decode_routes(json.loads(text))
    credentials = {
        keys.decode_credential([f'Bearer {key}']) for key in api_keys
    }
    assert table.tenants[0].key_digests == credentials
    assert (table.tenants[0].rate, table.tenants[0].burst) == (5.0, 2.0)


@given(
    tenants=st.recursive(
        st.none() | st.integers() | TOKEN,
        lambda inner: (
            st.lists(inner)
            | st.dictionaries(
                st.sampled_from(['name', 'api_keys', 'priority', 'burst']),
                inner,
            )
        ),
    )
)
def test_odd_tenants_are_an_error_without_their_keys(tenants):
    """Guards the readers of the configuration, and the log of its errors."""
    text = keys.redact_keys(_config(tenants=tenants))
    record = core.ConfigRecord(
        core.ConfigKey('op/config'), text, core.Revision(2)
    )
    decoded, errors = catalogue.decode_record(record)
    assert (decoded.body is None) == bool(errors)


def test_configuration_without_tenants_is_unchanged():
    """Guards deployments without tenants."""
    assert keys.redact_keys(_config()) == _config()
    assert keys.redact_keys('[' * 100_000) == keys.UNREADABLE


def test_only_one_well_formed_key_counts():
    """Guards against requests with several keys or another scheme."""
    assert keys.decode_credential([]) is None
    digest = keys.digest_key(b'key')
    for good in ('Bearer key', 'bearer  key ', 'BEARER key'):
        assert keys.decode_credential([good]) == digest
    for bad in ('key', 'Basic key', 'Bearer', 'Bearer a b', 'Bearer k\xe9y'):
        assert keys.decode_credential([bad]) == core.InvalidKey()
    twice = ['Bearer key', 'Bearer key']
    assert keys.decode_credential(twice) == core.InvalidKey()
