"""Fake of the users' store, according to its published protocol.

It serves keys with revisions, leases, paged ranges, watches and
transactions over HTTP. Tests inject faults: error statuses and missing
replies, for all machines or for some of them, a compacted history, expired
leases, lost replies, delayed writes, stale reads, and watches without
events.
"""

import asyncio
import base64
import dataclasses
import enum
import itertools

from aiohttp import web

PAGE = 500  # items per page
MACHINE = web.AppKey('machine', str)


class Outage(enum.Enum):
    """How calls to the store fail.

    BUSY and MANY return status 503 and 429, SILENT sends no reply and
    RESET resets the connection.
    """

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    RESET = 'reset'


@dataclasses.dataclass(slots=True)
class Item:
    """Current value of one key, its revisions and its lease."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Store:
    """State of the store and the active faults.

    Attributes:
        history: Changes in order: revision, key, item or None if removed.
        compacted: Newest revision that the history no longer contains.
        page: Items per page.
        outage: How calls of machines not in ``machine_outages`` fail.
        machine_outages: How calls of some machines fail.
        are_watches_silent: Whether watches return no events.
        lost_reply_count: Number of next writes that take effect without a
            reply.
        delayed_write_count: Number of next writes that get no reply and
            are delayed.
        delayed_bodies: Bodies of the delayed writes, which take effect in
            ``apply_delayed_writes``.
        stale_state: Items and revision that are returned to reads that
            allow stale data.
        leases: Time to live of each lease in milliseconds. Leases expire
            only through ``end_lease``.
        calls: Number of calls by path.
        era: Number of times that the store returned from a copy; sent in all
            responses unless 0.
        changed: Set at the next change, then replaced by a new event.
    """

    items: dict[str, Item] = dataclasses.field(default_factory=dict)
    history: list[tuple[int, str, Item | None]] = dataclasses.field(
        default_factory=list
    )
    revision: int = 1
    compacted: int = 0
    page: int = PAGE
    outage: Outage = Outage.NONE
    machine_outages: dict[str, Outage] = dataclasses.field(
        default_factory=dict
    )
    are_watches_silent: bool = False
    lost_reply_count: int = 0
    delayed_write_count: int = 0
    delayed_bodies: list[dict] = dataclasses.field(default_factory=list)
    stale_state: tuple[dict[str, Item], int] | None = None
    leases: dict[int, float] = dataclasses.field(default_factory=dict)
    lease_ids: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(7000)
    )
    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    era: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def copy_state(store: Store) -> tuple[dict[str, Item], int, int]:
    """Copies the items and the revision, for ``return_from_copy``."""
    return dict(store.items), store.revision, len(store.history)


def return_from_copy(
    store: Store, copy: tuple[dict[str, Item], int, int]
) -> None:
    """Loses everything that was written since a copy, and all leases."""
    items, store.revision, length = copy
    store.items = {key: item for key, item in items.items() if not item.lease}
    del store.history[length:]
    store.leases.clear()
    store.era += 1
    _notify_watches(store)


def put(store: Store, key: str, value: bytes, lease: int = 0) -> int:
    """Writes a key and returns the new revision."""
    store.revision += 1
    existing = store.items.get(key)
    created = existing.created if existing else store.revision
    item = Item(value, store.revision, created, lease)
    store.items[key] = item
    _record(store, key, item)
    return store.revision


def remove(store: Store, key: str) -> None:
    """Removes a key if it exists."""
    if store.items.pop(key, None) is not None:
        store.revision += 1
        _record(store, key, None)


def drop_history(store: Store) -> None:
    """Drops the history; watches from an older revision get status 410."""
    store.compacted = store.revision
    store.history.clear()
    _notify_watches(store)


def end_lease(store: Store, lease: int) -> None:
    """Ends a lease and removes its keys."""
    store.leases.pop(lease, None)
    for key, item in list(store.items.items()):
        if item.lease == lease:
            remove(store, key)


def freeze_stale_reads(store: Store) -> None:
    """Makes reads that allow stale data return the present state."""
    store.stale_state = dict(store.items), store.revision


def apply_delayed_writes(store: Store) -> list[int]:
    """Runs the delayed writes and returns the status of each."""
    statuses = [
        _run_transaction(store, fields)[0] for fields in store.delayed_bodies
    ]
    store.delayed_bodies.clear()
    return statuses


def make_app(store: Store, machine: str = '') -> web.Application:
    """Builds the HTTP application of the fake.

    Args:
        store: State of the store.
        machine: Machine that calls this application, the key in
            ``Store.machine_outages``.
    """
    app = web.Application(client_max_size=4 << 20)
    for method, path, handle_call in (
        ('GET', '/citronweir/kv-key', _handle_key),
        ('GET', '/citronweir/kv-range', _handle_range),
        ('GET', '/citronweir/kv-watch', _handle_watch),
        ('POST', '/citronweir/kv-txn', _handle_txn),
        ('POST', '/citronweir/kv-lease', _handle_lease),
        ('POST', '/citronweir/kv-keep/{lease}', _handle_keep_alive),
        ('DELETE', '/citronweir/kv-lease-end/{lease}', _handle_lease_end),
    ):
        app.router.add_route(
            method, path, _make_handler(store, path, handle_call)
        )
    app[MACHINE] = machine
    return app


def _make_handler(store, path, handle_call):
    async def handle(request):
        store.calls[path] = store.calls.get(path, 0) + 1
        failure = await _apply_outage(store, request)
        response = failure
        if failure is None:
            response = await handle_call(store, request)
        if store.era:
            response.headers['Store-Era'] = str(store.era)
        return response

    return handle


async def _apply_outage(store, request):
    """Returns the response of a failing call, or None without an outage."""
    match store.machine_outages.get(request.app[MACHINE], store.outage):
        case Outage.BUSY:
            return web.Response(status=503)
        case Outage.MANY:
            return web.Response(status=429)
        case Outage.SILENT:
            await asyncio.sleep(3600)
        case Outage.RESET:
            request.transport.abort()
            return web.Response(status=503)
    return None


def _select_state(store, request):
    """Returns the items and the revision that a read is answered from."""
    if (
        store.stale_state is not None
        and request.query.get('allow_stale') == '1'
    ):
        return store.stale_state
    return store.items, store.revision


async def _handle_key(store, request):
    items, revision = _select_state(store, request)
    item = items.get(request.query['key'])
    if item is None:
        return web.Response(status=404)
    encoded = _encode_item(request.query['key'], item)
    return web.json_response(encoded | {'current_rev': revision})


async def _handle_range(store, request):
    items, revision = _select_state(store, request)
    prefix = request.query['path_prefix']
    after = request.query.get('after', '')
    keys = sorted(
        key for key in items if key.startswith(prefix) and key > after
    )
    page = keys[: store.page]
    return web.json_response(
        {
            'items': [_encode_item(key, items[key]) for key in page],
            'has_more': len(keys) > len(page),
            'current_rev': revision,
        }
    )


async def _handle_watch(store, request):
    prefix, after = request.query['path_prefix'], int(request.query['after'])
    loop = asyncio.get_running_loop()
    end = loop.time() + int(request.query['wait_ms']) / 1000
    while True:
        if after < store.compacted:
            return web.Response(status=410)
        events = [
            _encode_event(key, revision, item)
            for revision, key, item in store.history
            if revision > after and key.startswith(prefix)
        ]
        failure = await _apply_outage(store, request)
        if failure is not None:
            return failure
        remaining = end - loop.time()
        if (events and not store.are_watches_silent) or remaining <= 0:
            encoded = [] if store.are_watches_silent else events
            return web.json_response(
                {'events': encoded, 'current_rev': store.revision}
            )
        try:
            async with asyncio.timeout(remaining):
                await store.changed.wait()
        except TimeoutError:
            pass


async def _handle_txn(store, request):
    fields = await request.json()
    if store.delayed_write_count:
        store.delayed_write_count -= 1
        store.delayed_bodies.append(fields)
        request.transport.abort()
        return web.Response(status=503)
    status, reply = _run_transaction(store, fields)
    if store.lost_reply_count:
        store.lost_reply_count -= 1
        request.transport.abort()
    return web.json_response(reply, status=status)


def _run_transaction(store, fields):
    """Runs a transaction if its conditions hold.

    Returns:
        HTTP status and body of the reply.
    """
    conditions = fields.get('expect_rev', ())
    for row in conditions:
        item = store.items.get(row['key'])
        if (item.revision if item else 0) != row['revision']:
            items = [
                _encode_item(row['key'], store.items[row['key']])
                for row in conditions
                if row['key'] in store.items
            ]
            return 412, {'items': items}
    puts = fields.get('puts', ())
    for row in puts:
        if row.get('lease') and row['lease'] not in store.leases:
            return 404, {}
    for row in puts:
        value = base64.b64decode(row['value'], validate=True)
        put(store, row['key'], value, row.get('lease', 0))
    for key in fields.get('remove', ()):
        remove(store, key)
    return 200, {'revision': store.revision}


async def _handle_lease(store, request):
    ttl = (await request.json())['ttl_ms']
    lease = next(store.lease_ids)
    store.leases[lease] = ttl
    return web.json_response({'lease': lease, 'ttl_ms': ttl})


async def _handle_keep_alive(store, request):
    lease = int(request.match_info['lease'])
    if lease not in store.leases:
        return web.Response(status=404)
    return web.json_response({'ttl_ms': store.leases[lease]})


async def _handle_lease_end(store, request):
    end_lease(store, int(request.match_info['lease']))
    return web.json_response({})


def _record(store, key, item):
    store.history.append((store.revision, key, item))
    _notify_watches(store)


def _notify_watches(store):
    store.changed.set()
    store.changed = asyncio.Event()


def _encode_item(key, item):
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def _encode_event(key, revision, item):
    if item is None:
        return {'key': key, 'revision': revision, 'removed': True}
    return _encode_item(key, item)
