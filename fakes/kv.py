"""Stand-in of the key-value service: the JSON mapping of etcd v3.

``POST /faults`` sets the fields of ``Faults``; ``GET /calls`` counts
the calls by kind, where a waiting watch counts as one, and the watches
that wait now. One store can
listen on several ports, each with faults and counters of its own, so
that a part of the fleet can be cut off from it.
"""

import asyncio
import base64
import collections
from collections import abc
import contextlib
import dataclasses
import json
import time

import aiohttp
from aiohttp import test_utils
from aiohttp import web
import cyclopts

from citronweir import metastore
from fakes import _store as stores

GRPC_NOT_FOUND = 5
GRPC_INVALID_ARGUMENT = 3
EXPIRY_INTERVAL = 0.05  # seconds


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that are in force.

    Attributes:
        outage: Empty, ``refuse`` (every call's connection is closed) or
            ``hang`` (no call is answered; it does not run).
        slow: Seconds that every call takes longer.
        lost_replies: Next writes that take effect without a reply.
        delayed_writes: Next writes that get no reply and take effect
            after ``write_delay``.
        write_delay: Seconds.
        dropped_writes: Next writes that get no reply and no effect.
        stale_reads: Next reads that are ``stale_by`` revisions behind.
        stale_by: Revisions.
        watch_delay: Seconds by which watch events are late.
        mute_watches: Whether watches get neither events nor progress.
        lapse_leases: Ends all leases now.
        break_watches: Ends all streams of watches now.
    """

    outage: str = ''
    slow: float = 0.0
    lost_replies: int = 0
    delayed_writes: int = 0
    write_delay: float = 0.2
    dropped_writes: int = 0
    stale_reads: int = 0
    stale_by: int = 1
    watch_delay: float = 0.0
    mute_watches: bool = False
    lapse_leases: bool = False
    break_watches: bool = False


@dataclasses.dataclass(slots=True)
class Service:
    """The store with its faults and counters.

    Attributes:
        progress: Seconds between two progress notifications of a watch.
        tasks: Delayed writes, kept until they are done.
        streams: Transports of the waiting watches.
    """

    store: stores.Store
    progress: float = 1.0
    faults: Faults = dataclasses.field(default_factory=Faults)
    calls: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    streams: set[asyncio.Transport] = dataclasses.field(default_factory=set)


def make_app(service: Service) -> web.Application:
    """Builds the HTTP application of the stand-in."""
    app = web.Application(client_max_size=4 << 20)
    routes = {
        '/v3/kv/range': _make_call(service, 'range', _range),
        '/v3/kv/txn': _make_call(service, 'txn', _txn),
        '/v3/lease/grant': _make_call(service, 'grant', _grant),
        '/v3/lease/keepalive': _make_call(service, 'keepalive', _keep_alive),
        '/v3/lease/revoke': _make_call(service, 'revoke', _revoke),
        '/v3/watch': _make_watch(service),
        '/faults': _make_faults(service),
    }
    for path, handle in routes.items():
        app.router.add_post(path, handle)

    async def show_calls(http_req):
        watching = {'watching': len(service.streams)}
        return web.json_response(dict(service.calls) | watching)

    app.router.add_get('/calls', show_calls)
    app.cleanup_ctx.append(_make_expiry(service))
    return app


def _make_expiry(service):
    async def run_expiry():
        while True:
            stores.expire_leases(service.store, time.monotonic())
            await asyncio.sleep(EXPIRY_INTERVAL)

    async def context(app):
        task = asyncio.create_task(run_expiry())
        yield
        for item in (task, *service.tasks):
            item.cancel()

    return context


def _make_faults(service):
    async def handle(http_req):
        for name, value in (await http_req.json()).items():
            setattr(service.faults, name, value)
        if service.faults.lapse_leases:
            service.faults.lapse_leases = False
            stores.expire_leases(service.store, float('inf'))
        if service.faults.break_watches:
            service.faults.break_watches = False
            for transport in service.streams:
                transport.abort()
        return web.json_response(dataclasses.asdict(service.faults))

    return handle


def _make_call(service, kind, run):
    async def handle(http_req):
        service.calls[kind] += 1
        body = await http_req.json()
        if not await _is_served(service, http_req):
            return web.Response()
        if kind == 'txn' and _take(service.faults, 'dropped_writes'):
            return _drop(http_req)
        if kind == 'txn' and _take(service.faults, 'delayed_writes'):
            _run_later(service, lambda: run(service, body))
            return _drop(http_req)
        try:
            reply = run(service, body)
        except stores.LeaseMissing:
            return _error(404, GRPC_NOT_FOUND, 'requested lease not found')
        except (KeyError, TypeError, ValueError) as exc:
            return _error(400, GRPC_INVALID_ARGUMENT, repr(exc))
        if kind == 'txn' and _take(service.faults, 'lost_replies'):
            return _drop(http_req)
        header = {'header': {'revision': str(service.store.revision)}}
        return web.json_response(header | reply)

    return handle


async def _is_served(service, http_req):
    if service.faults.slow:
        await asyncio.sleep(service.faults.slow)
    has_hung = False
    while service.faults.outage == 'hang':
        has_hung = True
        await asyncio.sleep(EXPIRY_INTERVAL)
        if http_req.transport is None or http_req.transport.is_closing():
            return False
    # A call that has hung must not run when the outage ends: its client
    # may have given it up while this process was busy.
    if has_hung or service.faults.outage == 'refuse':
        _drop(http_req)
        return False
    return True


def _take(faults, name):
    left = getattr(faults, name)
    if left:
        setattr(faults, name, left - 1)
    return left > 0


def _drop(http_req):
    if http_req.transport is not None:
        http_req.transport.abort()
    return web.Response()


def _run_later(service, run):
    async def run_delayed():
        await asyncio.sleep(service.faults.write_delay)
        try:
            run()
        except stores.LeaseMissing:
            return

    task = asyncio.create_task(run_delayed())
    service.tasks.add(task)
    task.add_done_callback(service.tasks.discard)


def _error(status, code, message):
    return web.json_response(
        {'error': message, 'code': code, 'message': message}, status=status
    )


def _range(service, body):
    stale = _take(service.faults, 'stale_reads')
    behind = service.faults.stale_by if stale else 0
    return stores.run_range(service.store, body, behind)


def _txn(service, body):
    return stores.run_txn(service.store, body)


def _grant(service, body):
    lease_id = stores.grant(service.store, int(body['TTL']))
    return {'ID': str(lease_id), 'TTL': body['TTL']}


def _keep_alive(service, body):
    lease = service.store.leases.get(int(body['ID']))
    result = {'header': {}, 'ID': body['ID']}
    if lease:
        lease.end = time.monotonic() + lease.ttl
        result['TTL'] = str(lease.ttl)
    return {'result': result}


def _revoke(service, body):
    lease = service.store.leases.get(int(body['ID']))
    if lease is None:
        raise stores.LeaseMissing
    lease.end = 0.0
    stores.expire_leases(service.store, time.monotonic())
    return {}


def _make_watch(service):
    async def handle(http_req):
        service.calls['watch'] += 1
        body = (await http_req.json())['create_request']
        if not await _is_served(service, http_req):
            return web.Response()
        resp = web.StreamResponse()
        resp.content_type = 'application/json'
        await resp.prepare(http_req)
        listener = asyncio.Event()
        service.store.listeners.add(listener)
        # The request no longer names its transport once that is lost.
        transport = http_req.transport
        service.streams.add(transport)
        try:
            await _stream(service, body, resp, listener)
        except ConnectionError:
            pass
        finally:
            service.store.listeners.discard(listener)
            service.streams.discard(transport)
        return resp

    return handle


async def _stream(service, body, resp, listener):
    store = service.store
    following = int(body.get('start_revision', 0)) or store.revision + 1
    await _send(resp, store.revision, {'created': True})
    if following <= store.compacted:
        end = {'canceled': True, 'compact_revision': str(store.compacted)}
        await _send(resp, store.revision, end)
        return
    quiet_since = time.monotonic()
    while True:
        listener.clear()
        changes, wait = _due(service, following)
        if changes:
            following = changes[-1].revision + 1
            events = _encode_events(body, changes)
            if events:
                await _send(resp, store.revision, {'events': events})
                quiet_since = time.monotonic()
            continue
        idle = service.progress - (time.monotonic() - quiet_since)
        if idle <= 0:
            if not _is_muted(service) and not _pending(store, following):
                await _send(resp, store.revision, {})
            quiet_since = time.monotonic()
            continue
        try:
            await asyncio.wait_for(listener.wait(), min(wait, idle))
        except TimeoutError:
            pass


def _pending(store, following):
    return bool(stores.changes_since(store, following))


def _due(service, following):
    if _is_muted(service):
        return [], EXPIRY_INTERVAL
    changes = stores.changes_since(service.store, following)
    latest = time.monotonic() - service.faults.watch_delay
    if not changes:
        return [], float('inf')
    ripe = [item.revision for item in changes if item.at <= latest]
    # Changes of one revision are sent together.
    due = [item for item in changes if ripe and item.revision <= ripe[-1]]
    return due, changes[0].at - latest


def _is_muted(service):
    return service.faults.mute_watches or bool(service.faults.outage)


def _encode_events(body, changes):
    lo, hi = stores.decode_range(body)
    return [
        _encode_event(change) for change in changes if lo <= change.key < hi
    ]


def _encode_event(change):
    if change.stored is not None:
        return {'kv': stores.encode_pair(change.key, change.stored)}
    key = base64.b64encode(change.key).decode()
    kv = {'key': key, 'mod_revision': str(change.revision)}
    return {'type': 'DELETE', 'kv': kv}


async def _send(resp, revision, result):
    header = {'header': {'revision': str(revision)}}
    line = json.dumps({'result': header | result}) + '\n'
    await resp.write(line.encode())


@contextlib.asynccontextmanager
async def serve(
    service: Service,
) -> abc.AsyncIterator[tuple[Service, str, aiohttp.ClientSession]]:
    """Serves the stand-in in this process, on a free port.

    Yields:
        The service, its base URL and a client session.
    """
    server = test_utils.TestServer(make_app(service))
    async with server, metastore.make_session() as session:
        yield service, str(server.make_url('')).rstrip('/'), session


async def _run(host, ports, progress):
    store = stores.Store()
    async with contextlib.AsyncExitStack() as stack:
        for port in ports:
            runner = web.AppRunner(make_app(Service(store, progress)))
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()


def main(
    *,
    host: str = '127.0.0.1',
    port: tuple[int, ...] = (2379,),
    progress: float = 1.0,
) -> None:
    """Runs the stand-in of the key-value service.

    Args:
        host: Address to listen on.
        port: Ports to listen on; repeat the option for several.
        progress: Seconds between two progress notifications.
    """
    asyncio.run(_run(host, port, progress))


if __name__ == '__main__':
    cyclopts.run(main)
