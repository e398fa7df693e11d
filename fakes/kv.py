"""Fake key-value service that implements the JSON mapping of etcd v3.

``POST /faults`` sets the fields of ``Faults``. ``GET /calls`` returns the
number of calls by kind, in which a watch counts once, and the number of
open watches. One store can listen on several ports with separate faults
and counters, so that a test can partition part of the fleet from it.
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
# Seconds between checks of expired leases, hung calls and muted watches.
POLL_INTERVAL = 0.05


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults; the counts apply to the next calls.

    Attributes:
        outage: Empty, ``refuse`` (the connection of every call is closed)
            or ``hang`` (calls get no reply and do not run).
        slow: Latency added to every call, in seconds.
        lost_replies: Number of writes that take effect without a reply.
        delayed_writes: Number of writes without a reply that take effect
            after ``write_delay``.
        write_delay: Delay of delayed writes in seconds.
        dropped_writes: Number of writes without a reply or an effect.
        stale_reads: Number of reads that are ``stale_by`` revisions old.
        stale_by: Age of stale reads in revisions.
        watch_delay: Delay of watch events in seconds.
        mute_watches: Whether watches receive neither events nor progress
            notifications.
        lapse_leases: Expires all leases once, then is reset.
        break_watches: Closes all watch streams once, then is reset.
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
    """The store on one port, with the faults and counters of that port.

    Attributes:
        progress: Seconds without events after which a watch sends a
            progress notification.
        calls: Number of calls by kind.
        tasks: Delayed writes, referenced until they are done.
        streams: Transports of the open watches.
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
    """Builds the HTTP application of the fake."""
    app = web.Application(client_max_size=4 << 20)
    routes = {
        '/v3/kv/range': _make_call(service, 'range', _handle_range),
        '/v3/kv/txn': _make_call(service, 'txn', _handle_txn),
        '/v3/lease/grant': _make_call(service, 'grant', _handle_grant),
        '/v3/lease/keepalive': _make_call(
            service, 'keepalive', _handle_keep_alive
        ),
        '/v3/lease/revoke': _make_call(service, 'revoke', _handle_revoke),
        '/v3/watch': _make_watch(service),
        '/faults': _make_faults(service),
    }
    for path, handle in routes.items():
        app.router.add_post(path, handle)

    async def show_calls(http_req):
        watching = {'watching': len(service.streams)}
        return web.json_response(dict(service.calls) | watching)

    app.router.add_get('/calls', show_calls)
    app.cleanup_ctx.append(_make_expiry_context(service))
    return app


def _make_expiry_context(service):
    async def run_expiry():
        while True:
            stores.expire_leases(service.store, time.monotonic())
            await asyncio.sleep(POLL_INTERVAL)

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
        if not await _apply_outage(service, http_req):
            return web.Response()
        if kind == 'txn' and _consume_fault(service.faults, 'dropped_writes'):
            return _abort_connection(http_req)
        if kind == 'txn' and _consume_fault(service.faults, 'delayed_writes'):
            _run_delayed(service, lambda: run(service, body))
            return _abort_connection(http_req)
        try:
            reply = run(service, body)
        except stores.LeaseNotFound:
            return _make_error_response(
                404, GRPC_NOT_FOUND, 'requested lease not found'
            )
        except (KeyError, TypeError, ValueError) as exc:
            return _make_error_response(400, GRPC_INVALID_ARGUMENT, repr(exc))
        if kind == 'txn' and _consume_fault(service.faults, 'lost_replies'):
            return _abort_connection(http_req)
        header = {'header': {'revision': str(service.store.revision)}}
        return web.json_response(header | reply)

    return handle


async def _apply_outage(service, http_req):
    """Delays or drops a call; returns whether it may run."""
    if service.faults.slow:
        await asyncio.sleep(service.faults.slow)
    has_hung = False
    while service.faults.outage == 'hang':
        has_hung = True
        await asyncio.sleep(POLL_INTERVAL)
        if http_req.transport is None or http_req.transport.is_closing():
            return False
    # A hung call must not run after the outage: its client may have timed
    # out without this busy process having noticed.
    if has_hung or service.faults.outage == 'refuse':
        _abort_connection(http_req)
        return False
    return True


def _consume_fault(faults, name):
    """Returns whether a counted fault applies, and counts it down."""
    left = getattr(faults, name)
    if left:
        setattr(faults, name, left - 1)
    return left > 0


def _abort_connection(http_req):
    if http_req.transport is not None:
        http_req.transport.abort()
    return web.Response()


def _run_delayed(service, run):
    async def run_after_delay():
        await asyncio.sleep(service.faults.write_delay)
        try:
            run()
        except stores.LeaseNotFound:
            return

    task = asyncio.create_task(run_after_delay())
    service.tasks.add(task)
    task.add_done_callback(service.tasks.discard)


def _make_error_response(status, code, message):
    return web.json_response(
        {'error': message, 'code': code, 'message': message}, status=status
    )


def _handle_range(service, body):
    stale = _consume_fault(service.faults, 'stale_reads')
    behind = service.faults.stale_by if stale else 0
    return stores.run_range(service.store, body, behind)


def _handle_txn(service, body):
    return stores.run_txn(service.store, body)


def _handle_grant(service, body):
    lease_id = stores.grant(service.store, int(body['TTL']))
    return {'ID': str(lease_id), 'TTL': body['TTL']}


def _handle_keep_alive(service, body):
    lease = service.store.leases.get(int(body['ID']))
    result = {'header': {}, 'ID': body['ID']}
    if lease:
        lease.end = time.monotonic() + lease.ttl
        result['TTL'] = str(lease.ttl)
    return {'result': result}


def _handle_revoke(service, body):
    lease = service.store.leases.get(int(body['ID']))
    if lease is None:
        raise stores.LeaseNotFound
    lease.end = 0.0
    stores.expire_leases(service.store, time.monotonic())
    return {}


def _make_watch(service):
    async def handle(http_req):
        service.calls['watch'] += 1
        body = (await http_req.json())['create_request']
        if not await _apply_outage(service, http_req):
            return web.Response()
        resp = web.StreamResponse()
        resp.content_type = 'application/json'
        await resp.prepare(http_req)
        listener = asyncio.Event()
        service.store.listeners.add(listener)
        # The request's transport is None after the connection is lost.
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
    next_revision = int(body.get('start_revision', 0)) or store.revision + 1
    await _send_result(resp, store.revision, {'created': True})
    if next_revision <= store.compacted:
        end = {'canceled': True, 'compact_revision': str(store.compacted)}
        await _send_result(resp, store.revision, end)
        return
    idle_since = time.monotonic()
    while True:
        listener.clear()
        changes, wait = _list_due_changes(service, next_revision)
        if changes:
            next_revision = changes[-1].revision + 1
            events = _encode_events(body, changes)
            if events:
                await _send_result(resp, store.revision, {'events': events})
                idle_since = time.monotonic()
            continue
        idle_time_left = service.progress - (time.monotonic() - idle_since)
        if idle_time_left <= 0:
            if not _are_watches_muted(service) and not _has_pending_changes(
                store, next_revision
            ):
                await _send_result(resp, store.revision, {})
            idle_since = time.monotonic()
            continue
        try:
            await asyncio.wait_for(listener.wait(), min(wait, idle_time_left))
        except TimeoutError:
            pass


def _has_pending_changes(store, next_revision):
    return bool(stores.changes_since(store, next_revision))


def _list_due_changes(service, next_revision):
    """Returns the changes to send now and the wait for the next one."""
    if _are_watches_muted(service):
        return [], POLL_INTERVAL
    changes = stores.changes_since(service.store, next_revision)
    latest = time.monotonic() - service.faults.watch_delay
    if not changes:
        return [], float('inf')
    due_revisions = [
        item.revision for item in changes if item.changed_at <= latest
    ]
    # All changes of a revision are sent in one message.
    due = [
        item
        for item in changes
        if due_revisions and item.revision <= due_revisions[-1]
    ]
    return due, changes[0].changed_at - latest


def _are_watches_muted(service):
    return service.faults.mute_watches or bool(service.faults.outage)


def _encode_events(body, changes):
    lo, hi = stores.decode_range(body)
    return [
        _encode_watch_event(change)
        for change in changes
        if lo <= change.key < hi
    ]


def _encode_watch_event(change):
    if change.stored is not None:
        return {'kv': stores.encode_pair(change.key, change.stored)}
    key = base64.b64encode(change.key).decode()
    kv = {'key': key, 'mod_revision': str(change.revision)}
    return {'type': 'DELETE', 'kv': kv}


async def _send_result(resp, revision, result):
    header = {'header': {'revision': str(revision)}}
    line = json.dumps({'result': header | result}) + '\n'
    await resp.write(line.encode())


@contextlib.asynccontextmanager
async def serve(
    service: Service,
) -> abc.AsyncIterator[tuple[Service, str, aiohttp.ClientSession]]:
    """Serves the fake in this process, on a free port.

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
    """Runs the fake key-value service.

    Args:
        host: Address to listen on.
        port: Ports to listen on; repeat the option for several.
        progress: Seconds between two progress notifications.
    """
    asyncio.run(_run(host, port, progress))


if __name__ == '__main__':
    cyclopts.run(main)
