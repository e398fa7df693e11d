"""Decides when the VM list's "leaving" drains an upstream.

The list lags, so that an entry that says leaving may be older than the
upstream's last start. A drain is final within an epoch and must not hit
an upstream that has just come back.
"""

import dataclasses

from citronweir.core import _data as data

# Longest lag of the VM list, seconds. An entry that says leaving for
# longer than this is of the present epoch.
LAG_LIMIT = 60.0
UNKNOWN_EPOCH = data.Epoch(0)


@dataclasses.dataclass(frozen=True, slots=True)
class VmListEntry:
    """Entry of an upstream as it was last read.

    Attributes:
        epoch: Epoch in which the upstream was then known.
        since: Monotonic second of the first reading with this content.
    """

    is_leaving: bool
    epoch: data.Epoch
    since: float


def evaluate_vm_list_entry(
    before: VmListEntry | None, is_leaving: bool, epoch: data.Epoch, now: float
) -> tuple[VmListEntry | None, bool]:
    """Judges a reading of an upstream's entry.

    Args:
        before: What was kept of the previous reading.
        is_leaving: Whether the list names the upstream as leaving.
        epoch: Epoch in which the upstream is known.
        now: Monotonic clock, seconds.

    Returns:
        What is to be kept, and whether the upstream drains in its
        epoch: a change to leaving was seen within the epoch, or the
        entry has said so for longer than the list can lag.
    """
    if is_leaving and epoch == UNKNOWN_EPOCH:
        return before, False  # no epoch that could drain is known yet
    if before is not None and (before.is_leaving, before.epoch) == (
        is_leaving,
        epoch,
    ):
        return before, is_leaving and now - before.since >= LAG_LIMIT
    has_left = (
        is_leaving
        and before is not None
        and not before.is_leaving
        and before.epoch in (UNKNOWN_EPOCH, epoch)
    )
    return VmListEntry(is_leaving, epoch, now), has_left
