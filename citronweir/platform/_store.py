"""Reads the platform's store over its HTTP interface.

Calls are priced and may be refused, delayed or lost, so each ends in a
tagged result within its time and the caller decides what to do next.
"""

import asyncio
import base64
import dataclasses
import enum
import json

import aiohttp

from citronweir import core
from citronweir.platform import _catalogue as catalogue
from citronweir.platform import _names as names

READ_TIME = 1.0  # seconds for one page
# What a watch may take beyond the time that it was asked to wait.
WATCH_SLACK = 1.0  # seconds
MAX_PAGES = 200  # about 100,000 entries


class StoreFault(enum.Enum):
    """Why a call has no usable reply."""

    COMPACTED = 'compacted'
    GONE = 'gone'
    REFUSED = 'refused'
    NO_REPLY = 'no_reply'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCallError:
    """A call without a usable reply."""

    fault: StoreFault
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease of the store; its keys go when it ends.

    Attributes:
        ttl: Seconds after the last renewal at which it ends.
    """

    number: int
    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """Key that was written; an empty value means that it was removed."""

    key: str
    value: str
    revision: core.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items as of some revision or later; it is no snapshot."""

    items: tuple[KeyValue, ...]
    revision: core.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes after a revision, up to the one reached."""

    items: tuple[KeyValue, ...]
    revision: core.Revision


def make_store_session() -> aiohttp.ClientSession:
    """Builds the session for calls of the store."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=4, use_dns_cache=False),
        auto_decompress=False,
    )


async def read_all(
    session: aiohttp.ClientSession, store: core.Address
) -> Listing | StoreCallError:
    """Reads all items, page by page.

    The revision is that of the first page: what changed while the pages
    were read comes again with the changes after it.
    """
    items, revision, after = [], None, None
    for _ in range(MAX_PAGES):
        params = {'path_prefix': ''}
        if after is not None:
            params['after'] = after
        fields = await _get(
            session, store, names.RANGE_PATH, params, READ_TIME
        )
        if isinstance(fields, StoreCallError):
            return fields
        try:
            page = [_decode_item(item) for item in fields['items']]
            if revision is None:
                revision = int(fields['current_rev'])
            has_more = bool(fields['has_more'])
        except (KeyError, TypeError, ValueError) as exc:
            return StoreCallError(StoreFault.MALFORMED, repr(exc))
        items += page
        if not has_more or not page:
            break
        after = page[-1].key
    return Listing(tuple(items), core.Revision(revision))


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
        after: Revision up to which the caller has everything.
        wait: Seconds after which the store answers without a change.

    Returns:
        The changes, maybe none. After COMPACTED the caller must read
        everything anew.
    """
    params = {
        'path_prefix': '',
        'after': str(after),
        'wait_ms': str(round(wait * 1000)),
    }
    fields = await _get(
        session, store, names.WATCH_PATH, params, wait + WATCH_SLACK
    )
    if isinstance(fields, StoreCallError):
        return fields
    try:
        return Changes(
            tuple(_decode_item(item) for item in fields['events']),
            core.Revision(int(fields['current_rev'])),
        )
    except (KeyError, TypeError, ValueError) as exc:
        return StoreCallError(StoreFault.MALFORMED, repr(exc))


async def grant_lease(
    session: aiohttp.ClientSession, store: core.Address, ttl: float
) -> Lease | StoreCallError:
    """Asks for a lease.

    Args:
        session: Client session.
        store: Address of the store.
        ttl: Seconds after which it ends unless it is renewed.
    """
    body = {'ttl_ms': round(ttl * 1000)}
    fields = await _call(
        session, store, 'POST', names.GRANT_PATH, READ_TIME, json=body
    )
    if isinstance(fields, StoreCallError):
        return fields
    try:
        return Lease(int(fields['lease']), int(fields['ttl_ms']) / 1000)
    except (KeyError, TypeError, ValueError) as exc:
        return StoreCallError(StoreFault.MALFORMED, repr(exc))


async def renew_lease(
    session: aiohttp.ClientSession, store: core.Address, lease: Lease
) -> Lease | StoreCallError:
    """Renews a lease; GONE if it has ended."""
    fields = await _call(
        session, store, 'POST', f'{names.RENEW_PATH}/{lease.number}', READ_TIME
    )
    return fields if isinstance(fields, StoreCallError) else lease


async def end_lease(
    session: aiohttp.ClientSession, store: core.Address, lease: Lease
) -> None:
    """Ends a lease with its keys; if the call is lost it runs out."""
    await _call(
        session, store, 'DELETE', f'{names.END_PATH}/{lease.number}', READ_TIME
    )


async def write_node(
    session: aiohttp.ClientSession,
    store: core.Address,
    node: core.ListedNode,
    lease: Lease,
) -> StoreCallError | None:
    """Writes the record of a node under its lease.

    Only the node itself writes the key, so a late or repeated write does
    no harm: it stands for the same process as long as the lease lives.
    """
    key = names.NODES_PREFIX + node.node_id
    value = base64.b64encode(catalogue.encode_node(node).encode()).decode()
    put = {'key': key, 'value': value, 'lease': lease.number}
    fields = await _call(
        session,
        store,
        'POST',
        names.WRITE_PATH,
        READ_TIME,
        json={'expect_rev': [], 'puts': [put], 'remove': []},
    )
    return fields if isinstance(fields, StoreCallError) else None


async def _get(session, store, path, params, seconds):
    return await _call(session, store, 'GET', path, seconds, params=params)


async def _call(session, store, method, path, seconds, **fields):
    url = f'http://{store.host}:{store.port}{path}'
    timeout = aiohttp.ClientTimeout(total=seconds)
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
    if resp.status != 200:
        return StoreCallError(StoreFault.REFUSED, f'HTTP status {resp.status}')
    try:
        fields = json.loads(raw)
    except (RecursionError, ValueError) as exc:
        return StoreCallError(StoreFault.MALFORMED, str(exc))
    if not isinstance(fields, dict):
        return StoreCallError(StoreFault.MALFORMED, 'not an object')
    return fields


def _decode_item(fields):
    key, revision = fields['key'], core.Revision(int(fields['revision']))
    if fields.get('removed'):
        return KeyValue(key, '', revision)
    return KeyValue(key, _decode_value(fields['value']), revision)


def _decode_value(raw):
    """Decodes a value; bytes that are no text can name nothing of ours."""
    try:
        text = base64.b64decode(raw, validate=True).decode()
    except ValueError:
        return '\ufffd'
    return text or '\ufffd'
