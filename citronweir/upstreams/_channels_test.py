"""Tests of the channels against a fake replica with injected faults."""

import asyncio
import contextlib
import time

import pytest

from citronweir import core
from citronweir import platform
from citronweir import upstreams
from citronweir.upstreams import _channels as channels
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
    """Channels of a test and the replica that it sends requests to."""

    def __init__(self, server, limit):
        port = server.sockets[0].getsockname()[1]
        self.channels = upstreams.Channels(time.monotonic)
        self.limit = limit
        self.replica = core.ListedReplica(
            core.ReplicaId('i-1'),
            core.ServiceName('s'),
            core.Address('127.0.0.1', port),
            core.DataCentre('dc'),
            core.ListedState.READY,
        )


def _submit(
    client, req, seconds=1.0, rank=core.Rank.URGENT, is_non_idempotent=False
):
    future = asyncio.get_running_loop().create_future()
    encode = platform.make_encoder(req)
    exchange = upstreams.Exchange(
        rank,
        time.monotonic() + seconds,
        lambda left: encode(client.replica.replica_id, left),
        platform.decode_reply,
        platform.make_reply_matcher(req.request_id),
        future.set_result,
        is_non_idempotent,
    )
    upstreams.submit(client.channels, client.replica, client.limit, exchange)
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
        upstreams.close_all(client.channels)
        server.close()


async def test_connection_is_used_again():
    """Guards against a connection per request.

    Each new connection takes a slot of the replica for a short time.
    """
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
    """Guards G3: a reply must not reach a request that it does not answer.

    Late, duplicate, truncated and unrelated bytes on a connection are not
    taken for the reply to the next request.
    """
    replica = replicas.Replica('i-1', RECORDS, faults=[fault])
    async with _run(replica) as client:
        outcome = await _send(client, 0, 0.2)
        assert isinstance(outcome, kind)
        await asyncio.sleep(pause)
        for number in range(1, 4):
            outcome = await _send(client, number)
            assert outcome.reply.signature == f'i-1.id-{number}'
            assert outcome.reply.body == RECORDS


async def test_pause_while_connecting_fails_no_request():
    """Guards against a timeout that fires before an established connection.

    Both are due when a process continues after a pause.
    """
    async with _run(replicas.Replica('i-1', RECORDS)) as client:
        future, _ = _submit(client, _request(), seconds=5.0)
        await asyncio.sleep(0)  # the connection is being opened
        time.sleep(1.1 * channels.CONNECT_TIMEOUT)
        assert isinstance(await future, core.Replied)


async def test_queued_requests_leave_a_replica_that_takes_none():
    """Guards G6: requests that wait for a connection were never sent."""
    replica = replicas.Replica('i-1', RECORDS, delay=0.1)
    async with _run(replica, limit=1) as client:
        futures = [_submit(client, _request(n))[0] for n in range(4)]
        await asyncio.sleep(0.05)  # the first request is in progress
        reason = core.NotRunReason.LEAVING
        upstreams.reject_queued(client.channels, core.ReplicaId('i-1'), reason)
        outcomes = await asyncio.gather(*futures)
    assert isinstance(outcomes[0], core.Replied)
    assert outcomes[1:] == [core.NotRun(reason)] * 3
    assert len(replica.seen) == 1


async def test_replica_of_another_identity_does_not_run_the_request():
    """Guards against a request to another service at a reused address."""
    replica = replicas.Replica('i-2', RECORDS)
    async with _run(replica) as client:
        outcome = await _send(client)
    assert outcome == core.NotRun(core.NotRunReason.MISDIRECTED)


async def test_connections_stay_within_the_limit_and_urgent_goes_first():
    """Guards the case of more concurrent requests than connections."""
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
    """Guards against requests that stay queued for an ended replica."""
    replica = replicas.Replica('i-1')
    async with _run(replica) as client:
        pass
    futures = [_submit(client, _request(number))[0] for number in range(3)]
    outcomes = await asyncio.gather(*futures)
    refused = core.NotRun(core.NotRunReason.UNREACHABLE)
    assert outcomes == [refused] * 3
    assert upstreams.count_conns(client.channels) == 0


async def test_abandoned_request_is_cancelled_at_the_replica():
    """Guards replicas against work whose result nobody reads."""
    replica = replicas.Replica('i-1', RECORDS, delay=2.0)
    async with _run(replica) as client:
        future, exchange = _submit(client, _request(), 5.0)
        await asyncio.sleep(0.05)
        upstreams.abandon(client.channels, exchange)
        for _ in range(100):
            if replica.cancelled:
                break
            await asyncio.sleep(0.02)
    assert replica.cancelled == 1
    assert await future == core.Lost(core.UnknownReason.ABANDONED)


async def test_waiting_request_can_be_withdrawn():
    """Guards G4: only a request that was not sent is reported as not run."""
    replica = replicas.Replica('i-1', RECORDS, delay=0.05)
    async with _run(replica, limit=1) as client:
        first, sent = _submit(client, _request(1))
        second, waiting = _submit(client, _request(2))
        await asyncio.sleep(0.02)
        assert not upstreams.cancel_waiting(sent)
        assert upstreams.cancel_waiting(waiting)
        assert (await second).reason is core.NotRunReason.CANCELLED
        assert isinstance(await first, core.Replied)
    assert len(replica.seen) == 1


async def test_body_is_sent_whole():
    """Guards against a large body that is truncated or altered."""
    replica = replicas.Replica('i-1', RECORDS)
    async with _run(replica) as client:
        await _submit(client, _request(body=b'x' * 100_000))[0]
    assert replica.seen[0][2] == b'x' * 100_000


async def test_order_is_not_lost_on_a_connection_over_the_limit():
    """Guards G5: an order that was never sent is reported as not run.

    A replica at its limit resets a new connection right after it was opened.
    An order that was already written to it would have an unknown outcome.
    """
    replica = replicas.Replica('i-1', RECORDS, max_conns=0)
    async with _run(replica) as client:
        outcome = await _submit(client, _request(), is_non_idempotent=True)[0]
    assert outcome == core.NotRun(core.NotRunReason.UNREACHABLE)
    assert replica.seen == []
    assert upstreams.count_conns(client.channels) == 0


async def test_replica_that_resets_idle_connections_gets_few():
    """Guards against a flood of connections to replicas at their limit.

    After nodes lost power, replicas still counted the old connections. 83
    nodes opened 14,000 idle connections in 8 s, each of which took a slot of
    a replica for a short time.
    """
    replica = replicas.Replica('i-1', RECORDS, max_conns=0)
    async with _run(replica) as client:
        for _ in range(100):
            upstreams.warm(client.channels, client.replica, client.limit)
            await asyncio.sleep(0.01)
    assert 1 <= client.channels.opened_total <= 3


async def _list_ended(replica, fault, seconds=0.4):
    """Returns the requests for which the end of the replica was reported."""
    ended = []
    async with _run(replica) as client:
        for number in range(2):
            assert isinstance(await _send(client, number), core.Replied)
        replica.faults.append(fault)
        replica.poison = '/a/' if fault is replicas.Fault.NONE else ''
        future, exchange = _submit(client, _request(9), 0.2)
        exchange.on_replica_ended = lambda: ended.append(9)
        assert isinstance(await future, core.Lost)
        await asyncio.sleep(seconds)
    return ended


async def test_ended_replica_is_distinguished_from_a_lost_reply():
    """Guards against a lost reply that is counted as a crash by a request."""
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


async def _list_ended_after_abandoning(crash_delay, deadline):
    """Returns the requests whose replica ended after they were cancelled."""
    ended = []
    replica = replicas.Replica('i-1', RECORDS, delay=0.01)
    async with _run(replica) as client:
        await _send(client)
        replica.delay = 9.0
        _, exchange = _submit(client, _request(1), deadline)
        exchange.on_replica_ended = lambda: ended.append(1)
        await asyncio.sleep(0.05)
        upstreams.abandon(client.channels, exchange)
        await asyncio.sleep(crash_delay)
        replicas.end(replica)
        await asyncio.sleep(0.2)
    return ended


async def test_late_end_of_a_replica_is_reported_for_an_abandoned_request():
    """Guards against crashes after the connection was closed.

    A replica that does not drop the request may run it until its deadline,
    but no longer.
    """
    assert await _list_ended_after_abandoning(0.8, 5.0) == [1]
    assert await _list_ended_after_abandoning(0.8, 0.6) == []


async def test_replica_end_is_reported_for_an_abandoned_request():
    """Guards against crashes that go unreported for abandoned requests."""
    ended = []
    replica = replicas.Replica('i-1', RECORDS, delay=0.1)
    async with _run(replica) as client:
        _, exchange = _submit(client, _request(1))
        exchange.on_replica_ended = lambda: ended.append(1)
        await asyncio.sleep(0.05)
        upstreams.abandon(client.channels, exchange)
        replicas.end(replica)
        await asyncio.sleep(0.2)
    assert ended == [1]


async def test_order_on_a_new_connection_leaves_a_replica_that_takes_none():
    """Guards G6: an order is sent a moment after its connection opened.

    The replica may drain, leave or ask for a pause in that moment.
    """
    replica = replicas.Replica('i-1', RECORDS)
    async with _run(replica) as client:
        future, _ = _submit(client, _request(), is_non_idempotent=True)
        channel = client.channels.by_replica[client.replica.replica_id]
        while not channel.settling:
            await asyncio.sleep(0.001)
        reason = core.NotRunReason.LEAVING
        replica_id = client.replica.replica_id
        ended = upstreams.reject_queued(client.channels, replica_id, reason)
        assert ended == 1
        assert await future == core.NotRun(reason)
        await asyncio.sleep(5 * channels.SETTLE_DELAY)
        assert not channel.settling and len(channel.idle) == 1
    assert not replica.seen


async def test_requests_leave_the_former_address_of_a_replica():
    """Guards G6: a replica that moved left its queue and connections open."""
    replica = replicas.Replica('i-1', RECORDS, delay=0.2)
    moved = replicas.Replica('i-1', RECORDS)
    async with _run(replica, limit=1) as client, _run(moved) as other:
        futures = [_submit(client, _request(n))[0] for n in range(3)]
        await asyncio.sleep(0.05)  # the first request is in progress
        upstreams.warm(client.channels, other.replica, 1)
        outcomes = await asyncio.gather(*futures)
        await asyncio.sleep(0.05)
        assert replica.open_conns == 0
    assert isinstance(outcomes[0], core.Replied)
    assert outcomes[1:] == [core.NotRun(core.NotRunReason.LEAVING)] * 2
    assert len(replica.seen) == 1
