"""Tests of decoding callers' requests."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from citronweir.callers import _codec as codec

ORDER_ID = '0193a5b8-7c1d-7d3e-8f00-0123456789ab'
SEARCH = {'contract': 'c', 'request_id': 'r', 'index': 'parts', 'query': 'q'}
ORDER = {
    'contract': 'c',
    'request_id': ORDER_ID,
    'index': 'parts',
    'body': 'replace bearing 7',
}
SEARCH_FIELDS = (*SEARCH, 'limit', 'deadline_ms')

JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


@hypothesis.given(st.binary() | JSON.map(json.dumps).map(str.encode))
def test_any_body_is_decoded_or_yields_errors(raw):
    """Guards against a body that raises instead of yielding errors."""
    for decode in (codec.decode_search, codec.decode_order):
        req, errors = decode(raw)
        assert (req is None) == bool(errors)
        codec.encode_errors(errors).encode()


@hypothesis.given(st.sampled_from(SEARCH_FIELDS), JSON)
def test_invalid_value_names_its_field(name, value):
    """Guards against errors that name a field other than the invalid one."""
    raw = json.dumps(SEARCH | {name: value}).encode()
    req, errors = codec.decode_search(raw)
    if req is None:
        assert {error.field for error in errors} <= {name, 'body'}


@pytest.mark.parametrize(
    ('raw', 'field'),
    [
        (b'[' * 60000, 'body'),
        (b'{"limit":' * 5000, 'body'),
        (b'\xff{}', 'body'),
        (b'[]', 'body'),
        (b'{"deadline_ms": NaN}', 'body'),
        (b'{"query": "a", "query": "b"}', 'query'),
        (json.dumps(SEARCH | {'limit': True}).encode(), 'limit'),
        (json.dumps(SEARCH | {'limit': 1.0}).encode(), 'limit'),
        (json.dumps(SEARCH | {'deadline_ms': 10**400}).encode(), 'deadline'),
        (json.dumps(SEARCH | {'deadline_ms': True}).encode(), 'deadline_ms'),
        (json.dumps(SEARCH | {'contract': 'a/../b'}).encode(), 'contract'),
        (json.dumps(SEARCH | {'request_id': 'a\r\nb'}).encode(), 'request_id'),
        (json.dumps(SEARCH | {'query': '\ud800'}).encode(), 'query'),
        (json.dumps(SEARCH | {'rank': 'urgent'}).encode(), 'rank'),
    ],
)
def test_malformed_body_is_refused_by_field(raw, field):
    """Guards against values that fail in later processing."""
    req, errors = codec.decode_search(raw)
    assert req is None
    assert errors[0].field.startswith(field)


@pytest.mark.parametrize(
    'order_id', [ORDER_ID.upper(), ORDER_ID.replace('-', ''), 'r', 7]
)
def test_order_id_has_one_spelling(order_id):
    """Guards G5: two spellings of an id would create two claims."""
    req, _ = codec.decode_order(json.dumps(ORDER).encode())
    assert req is not None
    raw = json.dumps(ORDER | {'request_id': order_id}).encode()
    req, errors = codec.decode_order(raw)
    assert req is None
    assert errors[0].field == 'request_id'


def test_many_wrong_fields_get_a_short_reply():
    """Guards against error replies that grow with the request."""
    raw = json.dumps({f'x{number}': 0 for number in range(6000)}).encode()
    _, errors = codec.decode_search(raw)
    assert len(codec.encode_errors(errors)) < 4000
