"""Merges configuration records by revision.

The store assigns increasing revisions to its writes, so the highest
revision of a key is the latest one, in whatever order reads, watch events
and messages arrive. A state is complete up to ``complete_to``: a record at
or below it that is missing from the state was superseded or compacted, and
is rejected. Compacted records therefore need no tombstones, since older
ones cannot reappear.
"""

from collections import abc
import dataclasses
import math

from citronweir.core import _data as data

CONFIG_PREFIX = '/citronweir/config/'
CONTRACTS_PREFIX = CONFIG_PREFIX + 'contracts/'
DRAINS_PREFIX = CONFIG_PREFIX + 'drains/'
SETTINGS_KEY = data.ConfigKey(CONFIG_PREFIX + 'settings')

# Operators can query a contract for a week after its expiry. After that, the
# record is dropped to save memory.
RETENTION = 7 * 86400.0  # seconds
# Leaves room for the other parts of a message between nodes, which is
# limited to 1 MiB.
MAX_BATCH_CHARS = 200_000
RECORD_OVERHEAD_CHARS = 64


def contract_key(contract_id: data.ContractId) -> data.ConfigKey:
    """Returns the key of a contract's record."""
    return data.ConfigKey(CONTRACTS_PREFIX + contract_id)


def config_key(target: data.ConfigBody | data.Withdrawal) -> data.ConfigKey:
    """Returns the key of the record that a body or withdrawal belongs to."""
    match target:
        case data.Contract() | data.Withdrawal():
            return contract_key(target.contract_id)
        case data.Drain():
            return data.ConfigKey(DRAINS_PREFIX + target.replica_id)
    return SETTINGS_KEY


def merge_batch(
    state: data.ConfigState, batch: data.ConfigBatch
) -> tuple[data.ConfigState, tuple[data.ConfigRecord, ...]]:
    """Merges a batch of records into a configuration state.

    Args:
        state: Configuration of the node.
        batch: Records from the store or from another node.

    Returns:
        The merged state and the records of the batch that were new.
    """
    newest_by_key = dict[data.ConfigKey, data.ConfigRecord]()
    for record in batch.records:
        previous = newest_by_key.get(record.key)
        if is_new(state, record) and (
            previous is None or record.revision > previous.revision
        ):
            newest_by_key[record.key] = record
    extends = batch.since <= state.complete_to < batch.complete_to
    compacted = _find_compacted(state, batch)
    if not newest_by_key and not extends and not compacted:
        return state, ()
    records = state.records
    if newest_by_key or compacted:
        kept = {k: v for k, v in records.items() if k not in compacted}
        records = kept | newest_by_key
    merged = data.ConfigState(
        records,
        batch.complete_to if extends else state.complete_to,
        max(
            [
                state.newest_revision,
                *(item.revision for item in newest_by_key.values()),
            ]
        ),
    )
    return merged, tuple(newest_by_key.values())


def _find_compacted(state, batch):
    # A record that is missing from a full configuration was compacted.
    # Nothing follows from a single page: a later one may hold a newer record
    # of the key.
    if batch.since or batch.more or not batch.complete_to:
        return frozenset()
    batch_keys = {record.key for record in batch.records}
    return {
        key
        for key, record in state.records.items()
        if record.revision <= batch.complete_to and key not in batch_keys
    }


def collect_newer_records(
    state: data.ConfigState,
    since: data.Revision,
    age: float = math.inf,
    max_chars: int = MAX_BATCH_CHARS,
) -> data.ConfigBatch:
    """Collects the records after a revision for another node.

    Args:
        state: Configuration of the node that answers.
        since: Revision up to which the other node is complete, or where
            its last page ended.
        age: Seconds since the state was confirmed with the store.
        max_chars: Size limit of the batch; older records come first.

    Returns:
        The batch, with ``more`` set if the limit cut it off.
    """
    if state.newest_revision <= since:
        return data.ConfigBatch((), state.complete_to, since, age)
    newer = sorted(
        (item for item in state.records.values() if item.revision > since),
        key=lambda item: item.revision,
    )
    size = 0
    for count, record in enumerate(newer):
        size += _count_chars(record)
        if count and size > max_chars:
            last_revision = data.Revision(record.revision - 1)
            return data.ConfigBatch(
                tuple(newer[:count]),
                min(state.complete_to, last_revision),
                since,
                more=True,
            )
    return data.ConfigBatch(tuple(newer), state.complete_to, since, age)


def next_since(batch: data.ConfigBatch) -> data.Revision:
    """Returns the revision after which the next page begins.

    It can be above ``complete_to``, since pushed records can be.
    """
    revisions = (record.revision for record in batch.records)
    return max(batch.complete_to, batch.since, *revisions)


def split_batches(
    records: abc.Iterable[data.ConfigRecord],
    max_chars: int = MAX_BATCH_CHARS,
) -> list[data.ConfigBatch]:
    """Splits records into batches of limited size for a push.

    The batches make no claim about completeness.
    """
    pages, size = [], max_chars
    for record in records:
        size += _count_chars(record)
        if size > max_chars:
            pages.append([])
            size = _count_chars(record)
        pages[-1].append(record)
    return [data.ConfigBatch(tuple(page)) for page in pages]


def compact(state: data.ConfigState, wall_now: float) -> data.ConfigState:
    """Drops contracts whose expiry is longer ago than the retention.

    Only records at or below ``complete_to`` are dropped: above it, an older
    record of the key would not be rejected. The wall-clock time is capped at
    the time of the newest change, which another node recorded, so that one
    wrong clock does not drop records early. A node that was disconnected for
    half of the retention fetches the full configuration instead of only
    newer records (see ``needs_full_fetch``), so that it cannot keep an older
    record of a dropped contract.

    Args:
        state: Configuration of the node.
        wall_now: Wall-clock time, seconds since the epoch.

    Returns:
        The state without the dropped records.
    """
    changes = (item.changed_wall for item in state.records.values())
    limit = min(wall_now, max(changes, default=0.0)) - RETENTION
    kept = {
        key: record
        for key, record in state.records.items()
        if not isinstance(record.body, data.Contract)
        or record.revision > state.complete_to
        or limit < record.body.expiry
    }
    if len(kept) == len(state.records):
        return state
    return dataclasses.replace(state, records=kept)


def needs_full_fetch(age: float) -> bool:
    """Returns whether a node must fetch the full configuration.

    Other nodes may have compacted records that this node still holds.

    Args:
        age: Seconds since the configuration was confirmed.
    """
    return age > RETENTION / 2


def is_new(state: data.ConfigState, record: data.ConfigRecord) -> bool:
    """Returns whether a record is new to a state."""
    known = state.records.get(record.key)
    return record.revision > (known.revision if known else state.complete_to)


def is_in_force(contract: data.Contract, wall_now: float) -> bool:
    """Returns whether a contract is in force at a wall-clock time."""
    return (
        contract.state is data.ContractState.ACTIVE
        and contract.start <= wall_now < contract.expiry
    )


def find_contract(
    state: data.ConfigState, contract_id: data.ContractId
) -> data.Contract | None:
    """Finds a contract that is not withdrawn, even outside its period."""
    record = state.records.get(contract_key(contract_id))
    body = record.body if record else None
    if not isinstance(body, data.Contract):
        return None
    return body if body.state is data.ContractState.ACTIVE else None


def contracts_in_force(
    state: data.ConfigState, wall_now: float
) -> tuple[data.Contract, ...]:
    """Lists the contracts in force at a wall-clock time, sorted by id."""
    found = [
        record.body
        for record in state.records.values()
        if isinstance(record.body, data.Contract)
        and is_in_force(record.body, wall_now)
    ]
    return tuple(sorted(found, key=lambda item: item.contract_id))


def fleet_settings(
    state: data.ConfigState, defaults: data.FleetSettings
) -> data.FleetSettings:
    """Returns the configured fleet settings, or the node's defaults."""
    record = state.records.get(SETTINGS_KEY)
    body = record.body if record else None
    return body if isinstance(body, data.FleetSettings) else defaults


def drained_replicas(
    state: data.ConfigState,
) -> frozenset[data.ReplicaId]:
    """Lists the replicas that the operators have drained."""
    return frozenset(
        record.body.replica_id
        for record in state.records.values()
        if isinstance(record.body, data.Drain) and record.body.drained
    )


def _count_chars(record):
    return len(record.key) + len(record.value) + RECORD_OVERHEAD_CHARS
