"""State of the fake key-value service.

Values stay in base64 as in the JSON mapping. Keys are decoded, because
ranges compare them as bytes.
"""

import asyncio
import base64
import bisect
import dataclasses
import time

HISTORY_LIMIT = 100_000  # changes kept for watches and stale reads


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """Value of one key with its metadata.

    Attributes:
        value: Value in base64.
        revision: Revision of the last write.
        created: Revision at which the key was created.
        version: Number of writes since the key was created.
        lease: Id of the lease that the key is attached to, or 0.
    """

    value: str
    revision: int
    created: int
    version: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of a key.

    Attributes:
        stored: New value, None for a deletion.
        changed_at: Monotonic time of the change in seconds.
    """

    key: bytes
    revision: int
    stored: StoredValue | None
    changed_at: float


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease.

    Attributes:
        ttl: Time to live in seconds.
        end: Monotonic time of its expiry in seconds.
    """

    ttl: int
    end: float


@dataclasses.dataclass(slots=True)
class Store:
    """The store, its history and its leases.

    Attributes:
        compacted: Newest revision that the history no longer contains.
        listeners: One event for each watch, set at every change.
    """

    revision: int = 1
    pairs: dict[bytes, StoredValue] = dataclasses.field(default_factory=dict)
    history: list[Change] = dataclasses.field(default_factory=list)
    compacted: int = 0
    leases: dict[int, Lease] = dataclasses.field(default_factory=dict)
    last_lease_id: int = 7_000
    listeners: set[asyncio.Event] = dataclasses.field(default_factory=set)


class LeaseNotFound(Exception):
    """A write names a lease that does not exist."""


def decode_range(body: dict) -> tuple[bytes, bytes]:
    """Returns the first key of a request's range and the end, exclusive."""
    lo = base64.b64decode(body['key'])
    return lo, base64.b64decode(body.get('range_end', '')) or lo + b'\0'


def run_range(store: Store, body: dict, behind: int = 0) -> dict:
    """Answers a range request.

    Args:
        store: The store.
        body: Request in the JSON mapping.
        behind: Number of revisions by which the reply is stale.

    Returns:
        The reply in the JSON mapping.
    """
    lo, hi = decode_range(body)
    revision = max(store.compacted, store.revision - behind)
    pairs = _read_pairs_at(store, revision) if behind else store.pairs
    kvs = [
        encode_pair(key, stored)
        for key, stored in sorted(pairs.items())
        if lo <= key < hi
    ]
    return {
        'header': {'revision': str(revision)},
        'kvs': kvs,
        'count': str(len(kvs)),
    }


def run_txn(store: Store, body: dict) -> dict:
    """Runs a transaction.

    Args:
        store: The store.
        body: Request in the JSON mapping.

    Returns:
        The reply in the JSON mapping.

    Raises:
        LeaseMissing: A put names a lease that does not exist.
    """
    is_success = all(
        _compare(store, comparison) for comparison in body.get('compare', ())
    )
    ops = body.get('success' if is_success else 'failure', ())
    for op in ops:
        lease = int(op.get('request_put', {}).get('lease', 0))
        if lease and lease not in store.leases:
            raise LeaseNotFound
    if any('request_range' not in op for op in ops):
        store.revision += 1
    responses = [_run_op(store, op) for op in ops]
    _notify(store)
    return {
        'header': {'revision': str(store.revision)},
        'succeeded': is_success,
        'responses': responses,
    }


def grant(store: Store, ttl: int) -> int:
    """Grants a lease of some seconds and returns its id."""
    store.last_lease_id += 1
    end = time.monotonic() + ttl
    store.leases[store.last_lease_id] = Lease(ttl, end)
    return store.last_lease_id


def expire_leases(store: Store, now: float) -> None:
    """Removes the leases that have expired and deletes their keys."""
    due = [key for key, lease in store.leases.items() if lease.end <= now]
    for lease_id in due:
        del store.leases[lease_id]
        keys = [
            key
            for key, stored in store.pairs.items()
            if stored.lease == lease_id
        ]
        if keys:
            store.revision += 1
        for key in keys:
            _record(store, key, None)
    if due:
        _notify(store)


def changes_since(store: Store, revision: int) -> list[Change]:
    """Returns the changes since a revision, inclusive, oldest first."""
    start = bisect.bisect_left(
        store.history, revision, key=lambda change: change.revision
    )
    return store.history[start:]


def encode_pair(key: bytes, stored: StoredValue) -> dict:
    """Encodes a key and its value in the JSON mapping."""
    return {
        'key': base64.b64encode(key).decode(),
        'value': stored.value,
        'mod_revision': str(stored.revision),
        'create_revision': str(stored.created),
        'version': str(stored.version),
        'lease': str(stored.lease),
    }


def _read_pairs_at(store, revision):
    pairs = {
        key: stored
        for key, stored in store.pairs.items()
        if stored.revision <= store.compacted
    }
    for change in store.history:
        if change.revision > revision:
            break
        if change.stored is None:
            pairs.pop(change.key, None)
        else:
            pairs[change.key] = change.stored
    return pairs


def _compare(store, comparison):
    stored = store.pairs.get(base64.b64decode(comparison['key']))
    match comparison.get('target', 'VERSION'):
        case 'MOD':
            current, field_name = stored and stored.revision, 'mod_revision'
        case 'CREATE':
            current, field_name = stored and stored.created, 'create_revision'
        case 'VALUE':
            return bool(stored) and stored.value == comparison.get('value', '')
        case _:
            current, field_name = stored and stored.version, 'version'
    actual, expected = current or 0, int(comparison.get(field_name, 0))
    return {
        'EQUAL': actual == expected,
        'NOT_EQUAL': actual != expected,
        'GREATER': actual > expected,
        'LESS': actual < expected,
    }[comparison.get('result', 'EQUAL')]


def _run_op(store, op):
    if 'request_range' in op:
        return {'response_range': run_range(store, op['request_range'])}
    if 'request_delete_range' in op:
        lo, hi = decode_range(op['request_delete_range'])
        keys = [key for key in store.pairs if lo <= key < hi]
        for key in keys:
            _record(store, key, None)
        return {'response_delete_range': {'deleted': str(len(keys))}}
    put = op['request_put']
    key = base64.b64decode(put['key'])
    old = store.pairs.get(key)
    keep = put.get('ignore_lease') and old
    stored = StoredValue(
        put.get('value', ''),
        store.revision,
        old.created if old else store.revision,
        old.version + 1 if old else 1,
        old.lease if keep else int(put.get('lease', 0)),
    )
    _record(store, key, stored)
    return {'response_put': {}}


def _record(store, key, stored):
    if stored is None:
        del store.pairs[key]
    else:
        store.pairs[key] = stored
    store.history.append(Change(key, store.revision, stored, time.monotonic()))
    if len(store.history) > HISTORY_LIMIT:
        # Dropping half of the history at once avoids copying the list at
        # every change.
        compacted_revision = store.history[HISTORY_LIMIT // 2].revision
        store.compacted = compacted_revision
        store.history = [
            change
            for change in store.history
            if change.revision > compacted_revision
        ]


def _notify(store):
    for listener in store.listeners:
        listener.set()
