"""Merges configuration records by revision.

The store numbers every write, so the higher revision of a key is the
later one in whatever order reads, watch events and messages arrive. A
state is complete up to ``complete_to``; a record at or below it that the
state lacks was superseded or compacted, and is refused. This is why a
compacted record needs no tombstone: an older one cannot reappear.
"""

from collections import abc
import dataclasses
import math

from citronweir.core import _data as data

CONFIG_PREFIX = '/citronweir/config/'
CONTRACTS_PREFIX = CONFIG_PREFIX + 'contracts/'
DRAINS_PREFIX = CONFIG_PREFIX + 'drains/'
SETTINGS_KEY = data.ConfigKey(CONFIG_PREFIX + 'settings')

# Answers to operators who ask about a contract stay possible for a week
# after its expiry; then the record only takes memory.
RETENTION = 7 * 86400.0  # seconds
# Leaves room for the rest of a message of at most 1 MiB between nodes.
MAX_BATCH_CHARS = 200_000
RECORD_OVERHEAD_CHARS = 64


def contract_key(contract_id: data.ContractId) -> data.ConfigKey:
    """Names the record of a contract."""
    return data.ConfigKey(CONTRACTS_PREFIX + contract_id)


def config_key(target: data.ConfigBody | data.Withdrawal) -> data.ConfigKey:
    """Names the record that a body or a withdrawal belongs to."""
    match target:
        case data.Contract() | data.Withdrawal():
            return contract_key(target.contract_id)
        case data.Drain():
            return data.ConfigKey(DRAINS_PREFIX + target.replica_id)
    return SETTINGS_KEY


def merge_batch(
    state: data.ConfigState, batch: data.ConfigBatch
) -> tuple[data.ConfigState, tuple[data.ConfigRecord, ...]]:
    """Merges a batch into a state.

    Args:
        state: Configuration of the node.
        batch: Records from the store or from another node.

    Returns:
        The merged state and the records of the batch that were new.
    """
    best = dict[data.ConfigKey, data.ConfigRecord]()
    for record in batch.records:
        rival = best.get(record.key)
        if is_new(state, record) and (
            rival is None or record.revision > rival.revision
        ):
            best[record.key] = record
    extends = batch.since <= state.complete_to < batch.complete_to
    gone = _find_gone(state, batch)
    if not best and not extends and not gone:
        return state, ()
    records = state.records
    if best or gone:
        kept = {k: v for k, v in records.items() if k not in gone}
        records = kept | best
    merged = data.ConfigState(
        records,
        batch.complete_to if extends else state.complete_to,
        max(
            [state.newest_revision, *(item.revision for item in best.values())]
        ),
    )
    return merged, tuple(best.values())


def _find_gone(state, batch):
    # A record that a whole configuration lacks was compacted. A page
    # shows nothing: a later one may carry the key's newer record.
    if batch.since or batch.more or not batch.complete_to:
        return frozenset()
    held = {record.key for record in batch.records}
    return {
        key
        for key, record in state.records.items()
        if record.revision <= batch.complete_to and key not in held
    }


def newer_records(
    state: data.ConfigState,
    since: data.Revision,
    age: float = math.inf,
    max_chars: int = MAX_BATCH_CHARS,
) -> data.ConfigBatch:
    """Collects what a node lacks that is complete up to a revision.

    Args:
        state: Configuration of the node that answers.
        since: Revision up to which the other node is complete, or where
            its last page ended.
        age: Seconds since the state was confirmed with the store.
        max_chars: Bound on the batch; the oldest records go first.

    Returns:
        The batch; ``more`` if not everything fitted.
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
            reach = data.Revision(record.revision - 1)
            return data.ConfigBatch(
                tuple(newer[:count]),
                min(state.complete_to, reach),
                since,
                more=True,
            )
    return data.ConfigBatch(tuple(newer), state.complete_to, since, age)


def next_since(batch: data.ConfigBatch) -> data.Revision:
    """Gives the revision after which the next page of a batch begins.

    Pushed records can lie above ``complete_to``, so it is not enough.
    """
    reached = (record.revision for record in batch.records)
    return max(batch.complete_to, batch.since, *reached)


def push_batches(
    records: abc.Iterable[data.ConfigRecord],
    max_chars: int = MAX_BATCH_CHARS,
) -> list[data.ConfigBatch]:
    """Makes bounded batches that claim nothing about completeness."""
    pages, size = [], max_chars
    for record in records:
        size += _count_chars(record)
        if size > max_chars:
            pages.append([])
            size = _count_chars(record)
        pages[-1].append(record)
    return [data.ConfigBatch(tuple(page)) for page in pages]


def compact(state: data.ConfigState, wall_now: float) -> data.ConfigState:
    """Drops contracts that expired longer than the retention ago.

    Only a record at or below ``complete_to`` is dropped, since above it
    an older record of the key would not be refused. The time is bounded
    by the newest change, which another node dated, so that one wrong
    clock drops nothing early. A node that was out of touch for half of
    the retention fetches a whole configuration instead of what is newer
    (``is_stale``), so it cannot keep an older record of a dropped one.

    Args:
        state: Configuration of the node.
        wall_now: Wall-clock time, seconds since the epoch.

    Returns:
        The state without those records.
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


def is_stale(age: float) -> bool:
    """Tells whether compaction may have passed a node's configuration.

    Args:
        age: Seconds since the configuration was confirmed.

    Returns:
        Whether the node must fetch a whole configuration.
    """
    return age > RETENTION / 2


def is_new(state: data.ConfigState, record: data.ConfigRecord) -> bool:
    """Tells whether a record would be new to a state."""
    known = state.records.get(record.key)
    return record.revision > (known.revision if known else state.complete_to)


def is_in_force(contract: data.Contract, wall_now: float) -> bool:
    """Tells whether a contract is in force at a wall-clock time."""
    return (
        contract.state is data.ContractState.ACTIVE
        and contract.start <= wall_now < contract.expiry
    )


def find_contract(
    state: data.ConfigState, contract_id: data.ContractId
) -> data.Contract | None:
    """Finds a contract that is not withdrawn, whatever its times."""
    record = state.records.get(contract_key(contract_id))
    body = record.body if record else None
    if not isinstance(body, data.Contract):
        return None
    return body if body.state is data.ContractState.ACTIVE else None


def contracts_in_force(
    state: data.ConfigState, wall_now: float
) -> tuple[data.Contract, ...]:
    """Lists the contracts in force at a wall-clock time, by id."""
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
    """Gives the fleet settings in force, or the node's own defaults."""
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
