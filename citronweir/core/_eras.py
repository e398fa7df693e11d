"""Orders revisions across a store that returned from an older copy.

Such a store gives revisions out again, and states a higher era in its replies.
A revision of this project therefore begins with the era. Everything that
compares revisions then prefers what the store holds now, in whatever order two
nodes learn of the change, and nothing needs to be forgotten explicitly.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data

# Leaves 2**23 eras in 63 bits, the most that msgpack encodes in each language.
_REVISION_BITS = 40
MAX_ERA = (1 << 23) - 1
_MAX_STORE_REVISION = (1 << _REVISION_BITS) - 1


def join_revision(era: int, store_revision: int) -> data.Revision:
    """Builds a revision from an era and a revision of the store.

    Raises:
        ValueError: One of them is out of range.
    """
    if not 0 <= era <= MAX_ERA or not (
        0 <= store_revision <= _MAX_STORE_REVISION
    ):
        raise ValueError(f'revision {store_revision} of era {era}')
    return data.Revision(era << _REVISION_BITS | store_revision)


def find_era(revision: data.Revision) -> int:
    """Returns the era of a revision, 0 if the store states none."""
    return revision >> _REVISION_BITS


def find_store_revision(revision: data.Revision) -> int:
    """Returns the revision that the store knows."""
    return revision & _MAX_STORE_REVISION


def carry_over(
    known: abc.Mapping[data.ConfigKey, data.ConfigRecord],
    listing: data.ConfigBatch,
) -> data.ConfigBatch:
    """Keeps what must not revert when the store returns from a copy.

    The writers write their lost changes again, which takes seconds. Until
    then, a draining replica would seem ready, and an evacuation would lapse.
    The configuration is kept by its version instead.

    Args:
        known: Records of this node, from the former era.
        listing: All records of the store, decoded.

    Returns:
        The listing with the former values where they hold on.
    """
    records = {record.key: record for record in listing.records}
    for key, record in known.items():
        found = records.get(key)
        if record.value:
            holds_on = _holds_on(record.body, found and found.body)
        else:
            # What was removed since the copy was made is in it again.
            holds_on = found is not None and (
                find_store_revision(found.revision)
                < find_store_revision(record.revision)
            )
        if holds_on:
            revision = listing.complete_to if found is None else found.revision
            records[key] = dataclasses.replace(record, revision=revision)
    return dataclasses.replace(listing, records=tuple(records.values()))


def _holds_on(known, found):
    match known:
        case data.Evacuation():
            return found is None
        case data.ListedReplica(state=data.ListedState.DRAINING):
            return (
                isinstance(found, data.ListedReplica)
                and found.epoch == known.epoch
            )
    return False
