"""Tests of the connections to replicas against a replica that misbehaves."""

import asyncio
import contextlib
import time

import pytest

from citronweir import core
from citronweir import platform
from citronweir import upstreams
from fakes import platform_replica as replicas

RECORDS = b'0123456789abcdef' * 3


def _request(number=0, body=b''):
    return core.HttpRequest(
        core.RequestId(f'id-{number}'),
        'POST' if body else 'GET',
        'a.example',
        '/a/',
        (),
        body,
        1.0,
    )


class Client:
    """State of a test's client: its lanes and the replica that it uses."""

    def __init__(self, server, limit):
        port = server.sockets[0].getsockname()[1]
        self.lanes = upstreams.Lanes(time.monotonic)
        self.limit = limit
        self.replica = core.ListedReplica(
            core.ReplicaId('i-1'),
            core.ServiceName('s'),
            core.Address('127.0.0.1', port),
            core.DataCentre('dc'),
            core.ListedState.READY,
        )


def _submit(client, req, seconds=1.0, rank=core.Rank.URGENT, is_once=False):
    future = asyncio.get_running_loop().create_future()
    encode = platform.make_encoder(req)
    exchange = upstreams.Exchange(
        rank,
        time.monotonic() + seconds,
        lambda left: encode(client.replica.replica_id, left),
        platform.decode_reply,
        platform.make_reply_matcher(req.request_id),
        future.set_result,
        is_once,
    )
    upstreams.submit(client.lanes, client.replica, client.limit, exchange)
    return future, exchange


async def _send(client, number=0, seconds=1.0):
    return await _submit(client, _request(number), seconds)[0]


@contextlib.asynccontextmanager
async def _run(replica, limit=2):
    server = await replicas.start(replica)
    client = Client(server, limit)
    try:
        yield client
    finally:
        upstreams.close_all(client.lanes)
        server.close()


async def test_connection_is_used_again():
    """Guards replicas: each new connection costs them a slot for a moment."""
    replica = replicas.Replica('i-1', RECORDS)
    async with _run(replica) as client:
        for number in range(5):
            outcome = await _send(client, number)
            assert outcome.reply.body == RECORDS
            assert outcome.reply.signature == f'i-1.id-{number}'
    assert replica.conns == 1


@pytest.mark.parametrize(
    'fault, kind',
    [
        (replicas.Fault.SHED, core.NotRun),
        (replicas.Fault.ERROR, core.Replied),
        (replicas.Fault.SILENT, core.Lost),
        (replicas.Fault.RESET, core.Lost),
        (replicas.Fault.CUT, core.Lost),
        (replicas.Fault.EXTRA, core.Replied),
        (replicas.Fault.LATE_EXTRA, core.Replied),
        (replicas.Fault.UNFRAMED, core.Replied),
        (replicas.Fault.GARBAGE, core.Lost),
        (replicas.Fault.UNSIGNED, core.Lost),
    ],
)
@pytest.mark.parametrize('pause', [0.0, 0.05])
async def test_next_request_gets_its_own_reply_after_any_fault(
    fault, kind, pause
):
    """Guards G3: late, second, cut and foreign bytes belong to no request."""
    replica = replicas.Replica('i-1', RECORDS, faults=[fault])
    async with _run(replica) as client:
        outcome = await _send(client, 0, 0.2)
        assert isinstance(outcome, kind)
        await asyncio.sleep(pause)
        for number in range(1, 4):
            outcome = await _send(client, number)
            assert outcome.reply.signature == f'i-1.id-{number}'
            assert outcome.reply.body == RECORDS


async def test_replica_of_another_identity_does_not_run_the_request():
    """Guards against work at a service that took over an address."""
    replica = replicas.Replica('i-2', RECORDS)
    async with _run(replica) as client:
        outcome = await _send(client)
    assert outcome == core.NotRun(core.NotRunReason.MISDIRECTED)


async def test_connections_stay_within_the_limit_and_urgent_goes_first():
    """Guards the load pattern of more requests than connections."""
    replica = replicas.Replica('i-1', RECORDS, delay=0.02)
    async with _run(replica, limit=2) as client:
        ranks = [core.Rank.DEFERRABLE] * 6 + [core.Rank.URGENT] * 2
        ended = []
        futures = []
        for number, rank in enumerate(ranks):
            future, _ = _submit(client, _request(number), rank=rank)
            future.add_done_callback(lambda _, rank=rank: ended.append(rank))
            futures.append(future)
        await asyncio.gather(*futures)
    assert replica.conns == 2
    assert ended[:2] == [core.Rank.URGENT] * 2


async def test_unreachable_replica_refuses_each_request_at_once():
    """Guards against requests that wait for a replica which is gone."""
    replica = replicas.Replica('i-1')
    async with _run(replica) as client:
        pass
    futures = [_submit(client, _request(number))[0] for number in range(3)]
    outcomes = await asyncio.gather(*futures)
    refused = core.NotRun(core.NotRunReason.UNREACHABLE)
    assert outcomes == [refused] * 3
    assert upstreams.count_conns(client.lanes) == 0


async def test_caller_that_leaves_ends_the_work_at_the_replica():
    """Guards replicas against work that nobody waits for."""
    replica = replicas.Replica('i-1', RECORDS, delay=2.0)
    async with _run(replica) as client:
        future, exchange = _submit(client, _request(), 5.0)
        await asyncio.sleep(0.05)
        upstreams.leave(client.lanes, client.replica.replica_id, exchange)
        for _ in range(100):
            if replica.cancelled:
                break
            await asyncio.sleep(0.02)
    assert replica.cancelled == 1
    assert not future.done()


async def test_waiting_request_can_be_withdrawn():
    """Guards G4: only what has not left this node may be called not run."""
    replica = replicas.Replica('i-1', RECORDS, delay=0.05)
    async with _run(replica, limit=1) as client:
        first, sent = _submit(client, _request(1))
        second, waiting = _submit(client, _request(2))
        await asyncio.sleep(0.02)
        lane = client.replica.replica_id
        assert not upstreams.withdraw(client.lanes, lane, sent)
        assert upstreams.withdraw(client.lanes, lane, waiting)
        assert (await second).reason is core.NotRunReason.CANCELLED
        assert isinstance(await first, core.Replied)
    assert len(replica.seen) == 1


async def test_body_is_sent_whole():
    """Guards against a request that reaches the replica changed."""
    replica = replicas.Replica('i-1', RECORDS)
    async with _run(replica) as client:
        await _submit(client, _request(body=b'x' * 100_000))[0]
    assert replica.seen[0][2] == b'x' * 100_000


async def test_order_is_not_lost_on_a_connection_over_the_limit():
    """Guards G5 and callers: what was never sent is certain not to have run.

    The replica resets a connection beyond its limit right after it was
    opened.
    """
    replica = replicas.Replica('i-1', RECORDS, max_conns=0)
    async with _run(replica) as client:
        outcome = await _submit(client, _request(), is_once=True)[0]
    assert outcome == core.NotRun(core.NotRunReason.UNREACHABLE)
    assert replica.seen == []
    assert upstreams.count_conns(client.lanes) == 0


async def test_replica_that_resets_idle_connections_gets_few():
    """Guards replicas: after a loss of power they count old connections.

    83 nodes opened 14,000 idle connections in 8 s to replicas that were
    full, each of which cost a replica a slot for a moment.
    """
    replica = replicas.Replica('i-1', RECORDS, max_conns=0)
    async with _run(replica) as client:
        for _ in range(100):
            upstreams.warm(client.lanes, client.replica, client.limit)
            await asyncio.sleep(0.01)
    assert 1 <= client.lanes.opened_total <= 3


async def _list_ended(replica, fault, seconds=0.4):
    """Returns the requests during which the replica was seen to end."""
    ended = []
    async with _run(replica) as client:
        for number in range(2):
            assert isinstance(await _send(client, number), core.Replied)
        replica.faults.append(fault)
        replica.poison = '/a/' if fault is replicas.Fault.NONE else ''
        future, exchange = _submit(client, _request(9), 0.2)
        exchange.on_ended = lambda: ended.append(9)
        assert isinstance(await future, core.Lost)
        await asyncio.sleep(seconds)
    return ended


async def test_replica_that_ended_is_told_from_a_lost_answer():
    """Guards requests against the blame for an answer that was only lost."""
    assert await _list_ended(
        replicas.Replica('i-1', RECORDS), replicas.Fault.NONE
    ) == [9]
    for fault in (
        replicas.Fault.RESET,
        replicas.Fault.CUT,
        replicas.Fault.SILENT,
        replicas.Fault.GARBAGE,
    ):
        replica = replicas.Replica('i-1', RECORDS)
        assert await _list_ended(replica, fault) == [], fault


async def test_end_is_seen_after_the_caller_has_left():
    """Guards replicas against a caller that leaves before each end."""
    ended = []
    replica = replicas.Replica('i-1', RECORDS, delay=0.1)
    async with _run(replica) as client:
        _, exchange = _submit(client, _request(1))
        exchange.on_ended = lambda: ended.append(1)
        await asyncio.sleep(0.05)
        upstreams.leave(client.lanes, client.replica.replica_id, exchange)
        replicas.end(replica)
        await asyncio.sleep(0.2)
    assert ended == [1]
