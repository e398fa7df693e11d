"""Tests of the VM list's "leaving"."""

import pytest

from citronweir.core import _listing as listing

NONE = listing.UNKNOWN_EPOCH
LONG = listing.LAG_LIMIT


@pytest.mark.parametrize(
    ('readings', 'drained'),
    [
        # Guards against a "leaving" that is seen and not acted on.
        ([(0, False, 1), (1, True, 1)], [False, True]),
        # Guards against a lost drain of an upstream whose first status
        # came between two readings.
        ([(0, False, NONE), (1, True, 7)], [False, True]),
        ([(0, False, NONE), (1, True, NONE), (2, True, 7)], [False] * 2 + [1]),
        # Guards against a drain of an upstream that has just come back,
        # while the list still names its previous epoch as leaving.
        ([(0, False, 1), (1, True, 1), (2, True, 2)], [False, True, False]),
        ([(0, False, 1), (1, True, 2)], [False, False]),
        ([(0, True, 2)], [False]),
        # Guards against an upstream that never drains because the change
        # to leaving was not seen.
        ([(0, True, 2), (1, True, 2), (LONG, True, 2)], [False, False, True]),
        # Guards against a lag counted from before the last start.
        ([(0, True, 2), (LONG - 1, True, 3), (LONG, True, 3)], [False] * 3),
    ],
)
def test_leaving_drains_the_epoch_that_it_is_about(readings, drained):
    """Guards against the two ways to misread an entry that lags."""
    kept, found = None, []
    for now, is_leaving, epoch in readings:
        kept, is_drained = listing.evaluate_vm_list_entry(
            kept, is_leaving, epoch, now
        )
        found.append(is_drained)
    assert found == drained
