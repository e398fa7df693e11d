"""Baseline query tier that the measurements compare against.

It sends sub-searches round robin in order of arrival, with a fixed timeout
per try and three retries, and has no hedges, owners or admission control. It
uses the product's codecs and merge, so that only the policy differs.
"""

import asyncio
import dataclasses
import json
import pathlib
import time

import aiohttp
from aiohttp import web
import cyclopts

from citronweir import callers
from citronweir import core
from citronweir import metastore
from citronweir import settings

TRY_TIMEOUT = 0.5  # seconds
TRIES = 4  # the first try and three retries
DEADLINE = 5.0  # seconds
STATUS_INTERVAL = 1.0  # seconds
CONNECTIONS_PER_REPLICA = 3  # an even share of 25 connections among 8 nodes


@dataclasses.dataclass(slots=True)
class ReplicaView:
    """Replicas as last polled and the state of the round robin.

    Attributes:
        next_choice: Counter that selects the next replica of a piece.
        sent: Number of sub-searches sent.
    """

    addresses: dict[core.ReplicaId, str] = dataclasses.field(
        default_factory=dict
    )
    holdings: list[tuple[core.ReplicaId, core.Holding]] = dataclasses.field(
        default_factory=list
    )
    next_choice: int = 0
    sent: int = 0


async def run_search(
    session: aiohttp.ClientSession, view: ReplicaView, req: core.SearchRequest
) -> core.Outcome:
    """Runs a search with the baseline policy.

    Args:
        session: Client session for requests to replicas.
        view: Replicas as last polled.
        req: Search of a caller.

    Returns:
        The outcome.
    """
    plan = core.choose_plan(req.index, view.holdings)
    if plan is None:
        return core.Refused(core.NotRunReason.NO_REPLICA)
    merge = core.Merge(plan)
    tasks = [
        asyncio.create_task(_search_piece(session, view, merge, piece, req))
        for piece in plan.pieces
    ]
    await asyncio.wait(tasks, timeout=DEADLINE)
    for task in tasks:
        task.cancel()
    return core.build_outcome(merge, req.limit)


async def _search_piece(session, view, merge, piece, req):
    for _ in range(TRIES):
        view.next_choice += 1
        replica_id = piece.candidates[view.next_choice % len(piece.candidates)]
        view.sent += 1
        answer = await _try_replica(session, view, replica_id, piece, req)
        if answer and core.accept_answer(merge, piece.key_range, answer):
            return


async def _try_replica(session, view, replica_id, piece, req):
    body = {
        'index': piece.index,
        'snapshot': piece.snapshot,
        'lo': piece.key_range.lo,
        'hi': piece.key_range.hi,
        'query': req.query,
        'limit': req.limit,
    }
    headers = {
        'x-request-id': req.request_id,
        'x-deadline-ms': str(int(TRY_TIMEOUT * 1000)),
    }
    url = f'http://{view.addresses[replica_id]}/search'
    try:
        async with session.post(url, json=body, headers=headers) as resp:
            if resp.status != 200:
                return None
            fields = await resp.json()
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None
    return core.SubAnswer(
        core.SnapshotId(fields['snapshot']),
        core.KeyRange(fields['lo'], fields['hi']),
        fields['docs_searched'],
        fields['docs'],
        fields['total_docs'],
        tuple(
            core.Hit(hit['id'], hit['score'], hit['text'])
            for hit in fields['hits']
        ),
    )


async def poll_status(
    session: aiohttp.ClientSession, view: ReplicaView, cfg: settings.Settings
) -> None:
    """Polls every replica of the data centre until cancelled."""
    while True:
        vms = await metastore.fetch_vms(session, cfg.vms_url)
        if not isinstance(vms, metastore.VmsError):
            holdings = []
            for vm in vms:
                if vm.role is metastore.VmRole.UPSTREAM and vm.dc == cfg.dc:
                    holdings += await _poll_replica_status(session, view, vm)
            view.holdings = holdings
        await asyncio.sleep(STATUS_INTERVAL)


async def _poll_replica_status(session, view, vm):
    address = f'{vm.address.host}:{vm.address.port}'
    try:
        async with session.get(f'http://{address}/status') as resp:
            fields = await resp.json()
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return []
    replica_id = core.ReplicaId(vm.name)
    view.addresses[replica_id] = address
    return [
        (
            replica_id,
            core.Holding(
                core.IndexName(item['index']),
                core.SnapshotId(item['snapshot']),
                core.KeyRange(item['lo'], item['hi']),
                item['docs'],
                item['total_docs'],
            ),
        )
        for item in fields['holdings']
    ]


def make_app(cfg: settings.Settings) -> web.Application:
    """Builds the HTTP application of the baseline."""
    view = ReplicaView()

    async def run_polling(app):
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=CONNECTIONS_PER_REPLICA
        )
        timeout = aiohttp.ClientTimeout(total=TRY_TIMEOUT)
        async with (
            aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session,
            # Separate connections, so that polls don't wait for searches.
            aiohttp.ClientSession(timeout=timeout) as polls,
        ):
            app['session'] = session
            poll = asyncio.create_task(poll_status(polls, view, cfg))
            yield
            poll.cancel()

    async def handle_search(http_req):
        req, errors = callers.decode_search(await http_req.read())
        if req is None:
            return web.Response(status=400, text=str(errors))
        outcome = await run_search(http_req.app['session'], view, req)
        status, body = callers.encode_outcome(req.request_id, outcome)
        return web.Response(
            status=status, text=body, content_type='application/json'
        )

    async def handle_health(http_req):
        return web.json_response({'ready': bool(view.holdings)})

    async def handle_metrics(http_req):
        return web.json_response(
            {'sent': view.sent, 'cpu': time.process_time()}
        )

    app = web.Application()
    app.cleanup_ctx.append(run_polling)
    app.router.add_post('/v1/search', handle_search)
    app.router.add_get('/healthz', handle_health)
    app.router.add_get('/bench', handle_metrics)
    return app


def main(config: pathlib.Path) -> None:
    """Runs the baseline with a node's settings file."""
    cfg, errors = settings.read_settings(config)
    if cfg is None:
        raise SystemExit(json.dumps([str(error) for error in errors]))
    web.run_app(
        make_app(cfg), host=cfg.host, port=cfg.callers_port, print=None
    )


if __name__ == '__main__':
    cyclopts.run(main)
