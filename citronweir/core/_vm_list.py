"""Decides when a "leaving" entry in the VM list drains an upstream.

The VM list lags, so a leaving entry may predate the last start of the
upstream. Since a drain is final within an epoch, it must not apply to an
upstream that has just restarted.
"""

import dataclasses

from citronweir.core import _data as data

# Maximum lag of the VM list. An entry that has been leaving for longer
# refers to the current epoch.
MAX_LIST_LAG = 60.0  # seconds
# Epoch of an upstream that has not reported its status yet.
UNKNOWN_EPOCH = data.Epoch(0)


@dataclasses.dataclass(frozen=True, slots=True)
class VmListEntry:
    """Last reading of an upstream's entry in the VM list.

    Attributes:
        is_leaving: Whether the entry marked the upstream as leaving.
        epoch: Epoch of the upstream known at that time.
        since: Monotonic second of the first reading with this content.
    """

    is_leaving: bool
    epoch: data.Epoch
    since: float


def evaluate_vm_list_entry(
    previous: VmListEntry | None,
    is_leaving: bool,
    epoch: data.Epoch,
    now: float,
) -> tuple[VmListEntry | None, bool]:
    """Evaluates a reading of an upstream's entry.

    An upstream drains if its entry changed to leaving within the known
    epoch, or has been leaving for at least the maximum lag of the list.

    Args:
        previous: Entry returned for the previous reading, or None.
        is_leaving: Whether the list marks the upstream as leaving.
        epoch: Known epoch of the upstream.
        now: Monotonic clock, seconds.

    Returns:
        The entry to keep for the next reading, and whether the upstream
        drains in its epoch.
    """
    if is_leaving and epoch == UNKNOWN_EPOCH:
        return previous, False  # no known epoch to drain
    if previous is not None and (previous.is_leaving, previous.epoch) == (
        is_leaving,
        epoch,
    ):
        return previous, is_leaving and now - previous.since >= MAX_LIST_LAG
    has_changed_to_leaving = (
        is_leaving
        and previous is not None
        and not previous.is_leaving
        and previous.epoch in (UNKNOWN_EPOCH, epoch)
    )
    return VmListEntry(is_leaving, epoch, now), has_changed_to_leaving
