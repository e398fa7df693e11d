"""Tests of the drain by a "leaving" entry in the VM list."""

import pytest

from citronweir.core import _vm_list as vm_list

UNKNOWN = vm_list.UNKNOWN_EPOCH
MAX_LAG = vm_list.MAX_LIST_LAG


@pytest.mark.parametrize(
    ('readings', 'expected'),
    [
        # Guards against a change to leaving that does not drain.
        ([(0, False, 1), (1, True, 1)], [False, True]),
        # Guards against a missing drain of an upstream whose first status
        # arrived between two readings.
        ([(0, False, UNKNOWN), (1, True, 7)], [False, True]),
        (
            [(0, False, UNKNOWN), (1, True, UNKNOWN), (2, True, 7)],
            [False] * 2 + [1],
        ),
        # Guards against the drain of an upstream that has just restarted
        # while the list still marks its previous epoch as leaving.
        ([(0, False, 1), (1, True, 1), (2, True, 2)], [False, True, False]),
        ([(0, False, 1), (1, True, 2)], [False, False]),
        ([(0, True, 2)], [False]),
        # Guards against an upstream that never drains because the change
        # to leaving was not observed.
        (
            [(0, True, 2), (1, True, 2), (MAX_LAG, True, 2)],
            [False, False, True],
        ),
        # Guards against a lag that is measured from before the last start.
        (
            [(0, True, 2), (MAX_LAG - 1, True, 3), (MAX_LAG, True, 3)],
            [False] * 3,
        ),
    ],
)
def test_leaving_entry_drains_only_its_epoch(readings, expected):
    """Guards against the drain of a wrong epoch and a missing drain."""
    entry, drained = None, []
    for now, is_leaving, epoch in readings:
        entry, is_drained = vm_list.evaluate_vm_list_entry(
            entry, is_leaving, epoch, now
        )
        drained.append(is_drained)
    assert drained == expected
