"""Tests of the VM list with entries of another writer."""

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
GOOD = {'targets': ['127.0.0.1:80'], 'labels': LABELS}


@pytest.mark.parametrize(
    'odd',
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
            'labels': LABELS | {f'{vms.LABEL_PREFIX}state': 'odd'},
        },
    ],
)
def test_odd_entry_hides_no_other(odd):
    """Guards membership: one entry made the whole list unreadable."""
    assert [vm.name for vm in vms._decode_vms([odd, GOOD])] == ['n1']
