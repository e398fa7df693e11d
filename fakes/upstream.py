"""Fake upstream: a small inverted index that is served over HTTP.

``POST /control`` sets faults at run time, ``GET /counters`` returns
counters of requests and connections.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import time

from aiohttp import web
import cyclopts

from fakes import _index as index_data
from fakes import replica as replicas

STOP_TIMEOUT = 1.0  # seconds
SWAP_TIMEOUT = 0.1  # seconds that a reply waits for another to swap with
HOLD_POLL_INTERVAL = 0.01  # seconds
_CONTROL_ROUTES = ('/control', '/counters', '/orders', '/traces')


def make_app(upstream: replicas.Upstream) -> web.Application:
    """Builds the HTTP application of the fake."""

    async def status(http_req):
        if upstream.faults.status_fail:
            return web.Response(status=500)
        return web.json_response(replicas.read_status(upstream))

    async def search(http_req):
        body = await http_req.json()
        return await _serve(
            upstream, http_req, lambda: _search(upstream, http_req, body)
        )

    async def execute(http_req):
        body = await http_req.json()
        return await _serve(
            upstream, http_req, lambda: _execute(upstream, body)
        )

    async def orders(http_req):
        return web.json_response({'orders': upstream.orders})

    async def traceparents(http_req):
        return web.json_response({'traces': list(upstream.traceparents)})

    async def counters(http_req):
        runs = {
            order: upstream.orders.count(order)
            for order in set(upstream.orders)
        }
        fields = dataclasses.asdict(upstream.counters) | {'orders': runs}
        return web.json_response(fields)

    async def control(http_req):
        try:
            replicas.apply_control(upstream, await http_req.json())
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            return web.json_response({'error': repr(exc)}, status=400)
        return web.json_response({})

    app = web.Application(middlewares=[_make_fault_middleware(upstream)])
    app.router.add_get('/status', status)
    app.router.add_post('/search', search)
    app.router.add_post('/execute', execute)
    app.router.add_get('/orders', orders)
    app.router.add_get('/traces', traceparents)
    app.router.add_get('/counters', counters)
    app.router.add_post('/control', control)
    return app


def _make_fault_middleware(upstream):
    """Builds the middleware that injects faults of connections and replies.

    Requests to the routes of tests pass unchanged.
    """

    @web.middleware
    async def inject_faults(http_req, handler):
        if http_req.path in _CONTROL_ROUTES:
            return await handler(http_req)
        conn = http_req.protocol
        if conn not in upstream.conns:
            _count_conns(upstream)
            if upstream.counters.conns_open >= upstream.faults.max_conns:
                upstream.counters.conns_refused += 1
                http_req.transport.abort()
                return web.Response(status=503)
            upstream.conns.add(conn)
            upstream.counters.conns_accepted += 1
            _count_conns(upstream)
            await asyncio.sleep(upstream.faults.conn_ms / 1000)
        if conn in upstream.silent:
            await asyncio.Event().wait()
        if 'traceparent' in http_req.headers:
            upstream.traceparents.append(http_req.headers['traceparent'])
        resp = await handler(http_req)
        if 'x-request-id' in http_req.headers:
            request_id = http_req.headers['x-request-id']
            resp.headers['x-request-id'] = (
                'x' if upstream.faults.wrong_id else request_id
            )
            resp = await _delay_or_swap(upstream, resp)
        return resp

    return inject_faults


async def _delay_or_swap(upstream, resp):
    """Delays a reply or swaps it with that of another request."""
    if upstream.rng.random() < upstream.faults.late_share:
        upstream.counters.late += 1
        await asyncio.sleep(upstream.faults.late_ms / 1000)
    if not upstream.faults.cross:
        return resp
    if upstream.pending_swaps:
        other_future, other_resp = upstream.pending_swaps.pop()
        other_future.set_result(resp)
        upstream.counters.crossed += 1
        return other_resp
    entry = (asyncio.get_running_loop().create_future(), resp)
    upstream.pending_swaps.append(entry)
    try:
        async with asyncio.timeout(SWAP_TIMEOUT):
            return await entry[0]
    except TimeoutError:
        return resp
    finally:
        if entry in upstream.pending_swaps:
            upstream.pending_swaps.remove(entry)


def _count_conns(upstream):
    counters = upstream.counters
    upstream.conns = {
        conn for conn in upstream.conns if conn.transport is not None
    }
    upstream.silent &= upstream.conns
    counters.conns_open = len(upstream.conns)
    counters.conns_peak = max(counters.conns_peak, counters.conns_open)


async def _serve(upstream, http_req, work):
    """Runs a request in a slot, or responds that it was not run."""
    if upstream.faults.state == 'draining':
        upstream.counters.refused += 1
        return _make_not_run_response({'x-draining': '1'})
    if upstream.slots.locked() and upstream.waiting >= upstream.faults.queue:
        upstream.counters.shed += 1
        return _make_not_run_response({})
    remaining = float(http_req.headers.get('x-deadline-ms', 60_000)) / 1000
    upstream.waiting += 1
    try:
        async with asyncio.timeout(remaining):
            await upstream.slots.acquire()
    except TimeoutError:
        upstream.counters.expired += 1
        return web.json_response({}, status=504)
    finally:
        upstream.waiting -= 1
    upstream.running += 1
    upstream.counters.begun += 1
    upstream.counters.running_peak = max(
        upstream.counters.running_peak, upstream.running
    )
    try:
        resp = await work()
        upstream.counters.finished += 1
        return resp
    except asyncio.CancelledError:
        upstream.counters.cancelled += 1
        raise
    finally:
        upstream.running -= 1
        upstream.slots.release()


def _make_not_run_response(headers):
    return web.json_response(
        {}, status=503, headers={'x-not-run': '1'} | headers
    )


async def _search(upstream, http_req, body):
    shard = upstream.shards.get((body['snapshot'], body['lo'], body['hi']))
    if shard is None:
        return web.json_response({}, status=409)
    if (
        upstream.faults.poison
        and upstream.faults.poison in body['query'].split()
    ):
        upstream.crash()
        await asyncio.Event().wait()
    warming = time.monotonic() < upstream.warming_end
    factor = upstream.faults.slow * (
        upstream.faults.cold_slow if warming else 1.0
    )
    await _wait_while_held(upstream)
    await asyncio.sleep(
        upstream.rng.expovariate(1 / upstream.service_time) * factor
    )
    if upstream.rng.random() < upstream.faults.fail:
        return web.json_response({}, status=500)
    empty = warming and upstream.faults.cold_empty
    searched = 0 if empty else int(len(shard.docs) * upstream.faults.truncate)
    request_id = http_req.headers['x-request-id']
    hits = index_data.search_shard(
        shard, body['query'], body['limit'], searched
    )
    if upstream.faults.echo:
        for hit in hits:
            hit['text'] += f' [{body["query"]}]'
    return web.json_response(
        {
            'request_id': 'x' if upstream.faults.wrong_id else request_id,
            'snapshot': body['snapshot'],
            'lo': body['lo'],
            'hi': body['hi'],
            'docs_searched': searched,
            'docs': len(shard.docs),
            'total_docs': shard.total_docs,
            'hits': hits,
        }
    )


async def _wait_while_held(upstream):
    while upstream.faults.hold:
        await asyncio.sleep(HOLD_POLL_INTERVAL)


async def _execute(upstream, body):
    upstream.orders.append(body['order_id'])
    if (
        upstream.faults.poison
        and upstream.faults.poison in body['body'].split()
    ):
        upstream.crash()
        await asyncio.Event().wait()
    await _wait_while_held(upstream)
    await asyncio.sleep(upstream.service_time * upstream.faults.slow)
    result = f'order {len(upstream.orders)} accepted'
    return web.json_response({'order_id': body['order_id'], 'result': result})


@contextlib.asynccontextmanager
async def run_upstream(
    upstream: replicas.Upstream, host: str = '127.0.0.1', port: int = 0
) -> abc.AsyncIterator[int]:
    """Serves a fake upstream inside this process.

    A crash closes the port and the connections but not the process.

    Args:
        upstream: State of the replica.
        host: IP address to listen on.
        port: TCP port to listen on, 0 for any free one.

    Yields:
        The TCP port.
    """
    app = make_app(upstream)
    runner = web.AppRunner(
        app, handler_cancellation=True, shutdown_timeout=STOP_TIMEOUT
    )
    await runner.setup()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(runner.server, host, port)

    bound_port = server.sockets[0].getsockname()[1]

    def crash():
        server.close()
        for conn in list(upstream.conns):
            if conn.transport is not None:
                conn.transport.abort()

    async def reopen():
        nonlocal server
        server = await loop.create_server(runner.server, host, bound_port)

    upstream.crash, upstream.reopen = crash, reopen
    try:
        yield bound_port
    finally:
        server.close()
        await runner.cleanup()


def main(
    *,
    replica: str,
    index: str,
    shard: int = 0,
    shards: int = 1,
    slots: int = 2,
    service_ms: float = 5.0,
    docs: int = 200,
    host: str = '127.0.0.1',
    port: int,
    max_conns: int = 25,
    conn_ms: float = 0.0,
    queue: int = 1000,
    warm_s: float = 0.0,
    poison: str = '',
) -> None:
    """Runs a fake upstream."""
    upstream = replicas.make_upstream(
        replica, index, shard, shards, slots, service_ms, docs
    )
    upstream.faults = replicas.Faults(
        max_conns=max_conns, conn_ms=conn_ms, queue=queue, poison=poison
    )
    upstream.warming_end = time.monotonic() + warm_s
    web.run_app(
        make_app(upstream),
        host=host,
        port=port,
        print=None,
        handler_cancellation=True,
        shutdown_timeout=STOP_TIMEOUT,
    )


if __name__ == '__main__':
    cyclopts.run(main)
