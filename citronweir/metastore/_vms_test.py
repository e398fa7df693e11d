"""Tests of decoding a VM list with malformed entries."""

import pytest

from citronweir.metastore import _vms as vms

LABELS = {
    f'{vms.LABEL_PREFIX}{key}': value
    for key, value in {
        'name': 'n1',
        'role': 'node',
        'state': 'live',
        'dc': 'dc1',
    }.items()
}
VALID = {'targets': ['127.0.0.1:80'], 'labels': LABELS}


@pytest.mark.parametrize(
    'malformed',
    [
        None,
        [],
        {},
        {'targets': [], 'labels': LABELS},
        {'targets': ['127.0.0.1:70000'], 'labels': LABELS},
        {'targets': ['127.0.0.1:' + '9' * 5000], 'labels': LABELS},
        {'targets': ['host:80'], 'labels': LABELS},
        {'targets': [1], 'labels': LABELS},
        {
            'targets': ['127.0.0.1:80'],
            'labels': LABELS | {f'{vms.LABEL_PREFIX}state': 'unknown'},
        },
    ],
)
def test_malformed_entry_does_not_affect_other_entries(malformed):
    """Guards membership against losing the list to one malformed entry."""
    assert [vm.name for vm in vms._decode_vms([malformed, VALID])] == ['n1']
