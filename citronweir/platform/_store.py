"""HTTP client for the platform's key-value store.

Calls have a cost and may be refused, delayed or lost. Each call therefore
returns a result or a StoreCallError within its timeout and is not retried
here: the caller decides what to do next.
"""

import asyncio
import base64
import dataclasses
import enum
import json

import aiohttp

from citronweir import core
from citronweir.platform import _catalogue as catalogue
from citronweir.platform import _keys as keys
from citronweir.platform import _names as names

CALL_TIMEOUT = 1.0  # seconds, for each call or page but a watch
# Added to the time for which a watch is asked to wait.
WATCH_TIMEOUT_MARGIN = 1.0  # seconds
MAX_PAGES = 200  # about 100,000 entries


class StoreFault(enum.Enum):
    """Reason why a call has no usable reply."""

    COMPACTED = 'compacted'
    GONE = 'gone'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    NO_REPLY = 'no_reply'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallError:
    """Error of a call that has no usable reply."""

    fault: StoreFault
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """Decoded reply and the era that the store stated with it."""

    fields: dict
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease in the store; the keys attached to it are deleted when it ends.

    Attributes:
        ttl: Seconds after the last renewal until the lease expires.
    """

    number: int
    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """Key with its value; an empty value means that the key was deleted."""

    key: str
    value: str
    revision: core.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All keys, each as of ``revision`` or later; not a snapshot."""

    items: tuple[KeyValue, ...]
    revision: core.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a given revision, up to and including ``revision``."""

    items: tuple[KeyValue, ...]
    revision: core.Revision


def make_store_session() -> aiohttp.ClientSession:
    """Builds the HTTP session for calls to the store."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=4, use_dns_cache=False),
        auto_decompress=False,
    )


async def read_all(
    session: aiohttp.ClientSession, store: core.Address
) -> Listing | StoreCallError:
    """Reads all keys, page by page.

    The returned revision is that of the first page, so changes made while
    later pages are read are seen again by a watch from that revision.
    """
    items, revision, after = [], None, None
    for _ in range(MAX_PAGES):
        params = {'path_prefix': ''}
        if after is not None:
            params['after'] = after
        reply = await _get_json(
            session, store, names.RANGE_PATH, params, CALL_TIMEOUT
        )
        if isinstance(reply, StoreCallError):
            return reply
        fields = reply.fields
        try:
            page = [
                _decode_key_value(item, reply.era) for item in fields['items']
            ]
            if revision is None:
                revision = _decode_revision(fields['current_rev'], reply.era)
            if reply.era != core.find_era(revision):
                return _make_era_error()
            has_more = bool(fields['has_more'])
        except (KeyError, TypeError, ValueError) as exc:
            return StoreCallError(StoreFault.MALFORMED, repr(exc))
        items += page
        if not has_more or not page:
            break
        after = page[-1].key
    return Listing(tuple(items), revision)


async def wait_changes(
    session: aiohttp.ClientSession,
    store: core.Address,
    after: core.Revision,
    wait: float,
) -> Changes | StoreCallError:
    """Waits for changes after a revision.

    Args:
        session: Client session.
        store: Address of the store.
        after: Last revision that the caller has seen.
        wait: Seconds after which the store replies even without a change.

    Returns:
        The changes, possibly none. After COMPACTED the caller must read
        all keys again; so it is if the store returned from an older copy.
    """
    params = {
        'path_prefix': '',
        'after': str(core.find_store_revision(after)),
        'wait_ms': str(round(wait * 1000)),
    }
    reply = await _get_json(
        session, store, names.WATCH_PATH, params, wait + WATCH_TIMEOUT_MARGIN
    )
    if isinstance(reply, StoreCallError):
        return reply
    fields, era = reply.fields, reply.era
    if era != core.find_era(after):
        return _make_era_error()
    try:
        return Changes(
            tuple(_decode_key_value(item, era) for item in fields['events']),
            _decode_revision(fields['current_rev'], era),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return StoreCallError(StoreFault.MALFORMED, repr(exc))


async def grant_lease(
    session: aiohttp.ClientSession, store: core.Address, ttl: float
) -> Lease | StoreCallError:
    """Requests a lease.

    Args:
        session: Client session.
        store: Address of the store.
        ttl: Seconds until the lease expires unless it is renewed.
    """
    body = {'ttl_ms': round(ttl * 1000)}
    reply = await _call_json(
        session, store, 'POST', names.GRANT_PATH, CALL_TIMEOUT, json=body
    )
    if isinstance(reply, StoreCallError):
        return reply
    fields = reply.fields
    try:
        return Lease(int(fields['lease']), int(fields['ttl_ms']) / 1000)
    except (KeyError, TypeError, ValueError) as exc:
        return StoreCallError(StoreFault.MALFORMED, repr(exc))


async def renew_lease(
    session: aiohttp.ClientSession, store: core.Address, lease: Lease
) -> Lease | StoreCallError:
    """Renews a lease; the error is GONE if it has ended."""
    fields = await _call_json(
        session,
        store,
        'POST',
        f'{names.RENEW_PATH}/{lease.number}',
        CALL_TIMEOUT,
    )
    return fields if isinstance(fields, StoreCallError) else lease


async def end_lease(
    session: aiohttp.ClientSession, store: core.Address, lease: Lease
) -> None:
    """Ends a lease, deleting its keys; if the call is lost, it expires."""
    await _call_json(
        session,
        store,
        'DELETE',
        f'{names.END_PATH}/{lease.number}',
        CALL_TIMEOUT,
    )


async def write_node(
    session: aiohttp.ClientSession,
    store: core.Address,
    node: core.ListedNode,
    lease: Lease,
) -> StoreCallError | None:
    """Writes the record of a node, attached to its lease.

    A late or repeated write is harmless: only the node itself writes the
    key, and as long as the lease exists the record is about that process.
    """
    key = names.NODES_PREFIX + node.node_id
    value = base64.b64encode(catalogue.encode_node(node).encode()).decode()
    put_fields = {'key': key, 'value': value, 'lease': lease.number}
    fields = await _call_json(
        session,
        store,
        'POST',
        names.WRITE_PATH,
        CALL_TIMEOUT,
        json={'expect_rev': [], 'puts': [put_fields], 'remove': []},
    )
    return fields if isinstance(fields, StoreCallError) else None


def conviction_key(fingerprint: core.Fingerprint) -> core.ConfigKey:
    """Returns the key of the record of a conviction."""
    return core.ConfigKey(names.CONVICTIONS_PREFIX + fingerprint)


async def write_conviction(
    session: aiohttp.ClientSession,
    store: core.Address,
    write: core.ConvictionWrite,
    revision: core.Revision,
) -> StoreCallError | None:
    """Writes or removes the record of a conviction.

    Args:
        session: Client session.
        store: Address of the store.
        write: New record, or the removal.
        revision: Revision of the record that is replaced, 0 if there is
            none. The error is CONFLICT if the store has another one.
    """
    key = conviction_key(write.fingerprint)
    body = {
        'expect_rev': [
            {'key': key, 'revision': core.find_store_revision(revision)}
        ],
        'puts': [],
        'remove': [],
    }
    if write.conviction is None:
        body['remove'] = [key]
    else:
        text = catalogue.encode_conviction(write.conviction)
        value = base64.b64encode(text.encode()).decode()
        body['puts'] = [{'key': key, 'value': value, 'lease': 0}]
    fields = await _call_json(
        session, store, 'POST', names.WRITE_PATH, CALL_TIMEOUT, json=body
    )
    return fields if isinstance(fields, StoreCallError) else None


async def write_config_copy(
    session: aiohttp.ClientSession,
    store: core.Address,
    value: str,
    revision: core.Revision,
) -> StoreCallError | None:
    """Writes the configuration in force that the store has lost.

    Nodes may not write the operator's key, so it gets one of its own.

    Args:
        session: Client session.
        store: Address of the store.
        value: Configuration with digests in place of its keys.
        revision: Revision of the copy that is replaced, 0 if there is none.
    """
    raw = base64.b64encode(value.encode()).decode()
    expected = core.find_store_revision(revision)
    body = {
        'expect_rev': [{'key': names.CONFIG_COPY_KEY, 'revision': expected}],
        'puts': [{'key': names.CONFIG_COPY_KEY, 'value': raw, 'lease': 0}],
        'remove': [],
    }
    reply = await _call_json(
        session, store, 'POST', names.WRITE_PATH, CALL_TIMEOUT, json=body
    )
    return reply if isinstance(reply, StoreCallError) else None


def config_copy_key() -> core.ConfigKey:
    """Returns the key of the configuration that nodes have written again."""
    return core.ConfigKey(names.CONFIG_COPY_KEY)


async def _get_json(session, store, path, params, timeout_seconds):
    return await _call_json(
        session, store, 'GET', path, timeout_seconds, params=params
    )


async def _call_json(session, store, method, path, timeout_seconds, **fields):
    url = f'http://{store.host}:{store.port}{path}'
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    try:
        async with session.request(
            method, url, timeout=timeout, **fields
        ) as resp:
            raw = await resp.read()
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as exc:
        return StoreCallError(StoreFault.NO_REPLY, type(exc).__name__)
    if resp.status == 404:
        return StoreCallError(StoreFault.GONE, 'no such lease')
    if resp.status == 410:
        return StoreCallError(StoreFault.COMPACTED, 'history dropped')
    if resp.status == 412:
        return StoreCallError(StoreFault.CONFLICT, 'another revision')
    if resp.status != 200:
        return StoreCallError(StoreFault.REFUSED, f'HTTP status {resp.status}')
    try:
        fields = json.loads(raw)
    except (RecursionError, ValueError) as exc:
        return StoreCallError(StoreFault.MALFORMED, str(exc))
    if not isinstance(fields, dict):
        return StoreCallError(StoreFault.MALFORMED, 'not an object')
    return _Reply(fields, _decode_era(resp.headers.get(names.STORE_ERA, '0')))


def _decode_era(text):
    return int(text) if text.isascii() and text.isdigit() else 0


def _make_era_error():
    return StoreCallError(StoreFault.COMPACTED, 'another era of the store')


def _decode_revision(value, era):
    return core.join_revision(era, int(value))


def _decode_key_value(fields, era):
    key = fields['key']
    revision = _decode_revision(fields['revision'], era)
    if fields.get('removed'):
        return KeyValue(key, '', revision)
    value = _decode_value(fields['value'])
    if key == names.CONFIG_KEY:
        value = keys.redact_keys(value)
    return KeyValue(key, value, revision)


def _decode_value(raw):
    """Decodes a value.

    Values that are empty or not valid text become U+FFFD, which no codec
    accepts, since an empty value means a deleted key.
    """
    try:
        text = base64.b64decode(raw, validate=True).decode()
    except ValueError:
        return '\ufffd'
    return text or '\ufffd'
