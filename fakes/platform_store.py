"""Stand-in of the users' store, by its published protocol.

Keys with revisions, leases, paged ranges, watches and transactions over
HTTP, with faults that a test sets: refusals, silence, also towards some
machines only, dropped history, lapsed leases, lost and late writes, stale
reads, and watches that hear nothing.
"""

import asyncio
import base64
import dataclasses
import enum
import itertools

from aiohttp import web

PAGE = 500  # items of one page
MACHINE = web.AppKey('machine', str)


class Outage(enum.Enum):
    """How the store fails."""

    NONE = 'none'
    BUSY = 'busy'
    MANY = 'many'
    SILENT = 'silent'
    RESET = 'reset'


@dataclasses.dataclass(slots=True)
class Item:
    """One key as it was last written."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Store:
    """State of the store and the faults in force.

    Attributes:
        history: Changes in order: revision, key, item or None if removed.
        compacted: Revision up to which the history is dropped.
        page: Items of one page.
        refused: Machines towards which the store fails, and how.
        is_mute: Whether watches hear nothing.
        lost_writes: Next writes that take effect without an answer.
        late_writes: Next writes that get no answer and are done later.
        delayed: The bodies of late writes until ``do_delayed``.
        stale: Items and revision that reads get which allow it.
        calls: Calls that came, by path.
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
    delayed: list[dict] = dataclasses.field(default_factory=list)
    stale: tuple[dict[str, Item], int] | None = None
    leases: dict[int, float] = dataclasses.field(default_factory=dict)
    lease_ids: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(7000)
    )
    calls: dict[str, int] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def put(store: Store, key: str, value: bytes, lease: int = 0) -> int:
    """Writes a key; returns the revision."""
    store.revision += 1
    known = store.items.get(key)
    created = known.created if known else store.revision
    item = Item(value, store.revision, created, lease)
    store.items[key] = item
    _record(store, key, item)
    return store.revision


def remove(store: Store, key: str) -> None:
    """Removes a key if it is there."""
    if store.items.pop(key, None) is not None:
        store.revision += 1
        _record(store, key, None)


def drop_history(store: Store) -> None:
    """Drops the history; waiting watches are cut."""
    store.compacted = store.revision
    store.history.clear()
    _wake(store)


def end_lease(store: Store, lease: int) -> None:
    """Ends a lease with its keys."""
    store.leases.pop(lease, None)
    for key, item in list(store.items.items()):
        if item.lease == lease:
            remove(store, key)


def freeze_stale_reads(store: Store) -> None:
    """Lets reads that allow it see the store as it is now."""
    store.stale = dict(store.items), store.revision


def apply_delayed_writes(store: Store) -> list[int]:
    """Does the late writes; returns the status of each."""
    statuses = [_write(store, fields)[0] for fields in store.delayed]
    store.delayed.clear()
    return statuses


def make_app(store: Store, machine: str = '') -> web.Application:
    """Builds the HTTP application of the stand-in.

    Args:
        store: State of the store.
        machine: Machine that this application serves, if the store is to
            refuse some of them.
    """
    app = web.Application(client_max_size=4 << 20)
    for method, path, answer in (
        ('GET', '/citronweir/kv-key', _key),
        ('GET', '/citronweir/kv-range', _range),
        ('GET', '/citronweir/kv-watch', _watch),
        ('POST', '/citronweir/kv-txn', _txn),
        ('POST', '/citronweir/kv-lease', _lease),
        ('POST', '/citronweir/kv-keep/{lease}', _keep),
        ('DELETE', '/citronweir/kv-lease-end/{lease}', _end),
    ):
        app.router.add_route(method, path, _make_handler(store, path, answer))
    app[MACHINE] = machine
    return app


def _make_handler(store, path, answer):
    async def handle(request):
        store.calls[path] = store.calls.get(path, 0) + 1
        refusal = await _fail(store, request)
        return await answer(store, request) if refusal is None else refusal

    return handle


async def _fail(store, request):
    """Returns the refusal of a call, or None while the store works."""
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


def _read(store, request):
    """Returns the items and the revision that a read sees."""
    if store.stale is not None and request.query.get('allow_stale') == '1':
        return store.stale
    return store.items, store.revision


async def _key(store, request):
    items, revision = _read(store, request)
    item = items.get(request.query['key'])
    if item is None:
        return web.Response(status=404)
    shown = _show(request.query['key'], item)
    return web.json_response(shown | {'current_rev': revision})


async def _range(store, request):
    items, revision = _read(store, request)
    prefix = request.query['path_prefix']
    after = request.query.get('after', '')
    keys = sorted(
        key for key in items if key.startswith(prefix) and key > after
    )
    page = keys[: store.page]
    return web.json_response(
        {
            'items': [_show(key, items[key]) for key in page],
            'has_more': len(keys) > len(page),
            'current_rev': revision,
        }
    )


async def _watch(store, request):
    prefix, after = request.query['path_prefix'], int(request.query['after'])
    loop = asyncio.get_running_loop()
    end = loop.time() + int(request.query['wait_ms']) / 1000
    while True:
        if after < store.compacted:
            return web.Response(status=410)
        events = [
            _show_event(key, revision, item)
            for revision, key, item in store.history
            if revision > after and key.startswith(prefix)
        ]
        refusal = await _fail(store, request)
        if refusal is not None:
            return refusal
        left = end - loop.time()
        if (events and not store.are_watches_silent) or left <= 0:
            shown = [] if store.are_watches_silent else events
            return web.json_response(
                {'events': shown, 'current_rev': store.revision}
            )
        try:
            async with asyncio.timeout(left):
                await store.changed.wait()
        except TimeoutError:
            pass


async def _txn(store, request):
    fields = await request.json()
    if store.delayed_write_count:
        store.delayed_write_count -= 1
        store.delayed.append(fields)
        request.transport.abort()
        return web.Response(status=503)
    status, reply = _write(store, fields)
    if store.lost_reply_count:
        store.lost_reply_count -= 1
        request.transport.abort()
    return web.json_response(reply, status=status)


def _write(store, fields):
    """Does a write if its conditions hold; returns status and reply."""
    rows = fields.get('expect_rev', ())
    for row in rows:
        item = store.items.get(row['key'])
        if (item.revision if item else 0) != row['revision']:
            items = [
                _show(row['key'], store.items[row['key']])
                for row in rows
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


async def _lease(store, request):
    ttl = (await request.json())['ttl_ms']
    lease = next(store.lease_ids)
    store.leases[lease] = ttl
    return web.json_response({'lease': lease, 'ttl_ms': ttl})


async def _keep(store, request):
    lease = int(request.match_info['lease'])
    if lease not in store.leases:
        return web.Response(status=404)
    return web.json_response({'ttl_ms': store.leases[lease]})


async def _end(store, request):
    end_lease(store, int(request.match_info['lease']))
    return web.json_response({})


def _record(store, key, item):
    store.history.append((store.revision, key, item))
    _wake(store)


def _wake(store):
    store.changed.set()
    store.changed = asyncio.Event()


def _show(key, item):
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def _show_event(key, revision, item):
    if item is None:
        return {'key': key, 'revision': revision, 'removed': True}
    return _show(key, item)
