"""Tests of the client over real sockets with injected faults."""

import asyncio
import contextlib
import json
import time

import pytest

from citronweir import core
from citronweir import upstreams
from fakes import replica as replica_state
from fakes import upstream as fake

HOST = '127.0.0.1'
INDEX = core.IndexName('parts')
NotRun = core.NotRunReason

# Seconds, for tests of the content of a reply. If the machine pauses the
# process for 0.4 s, the connection of a sub-request with 1 s left times out
# and the reply is not read.
LONG_BUDGET = 30.0


def _search(request_id='q1', budget=1.0, query='worn'):
    return core.SubSearch(
        core.RequestId(request_id),
        INDEX,
        core.SnapshotId(1),
        core.WHOLE_KEY_SPACE,
        query,
        10,
        core.Rank.URGENT,
        time.monotonic() + budget,
    )


def _order(request_id='o1', budget=0.5):
    return core.SubOrder(
        core.RequestId(request_id),
        INDEX,
        'replace',
        core.Rank.URGENT,
        time.monotonic() + budget,
    )


def _replica(port, max_conns=25):
    return core.Replica(
        core.ReplicaId('r0'),
        core.Address(HOST, port),
        core.ReplicaState.READY,
        max_conns=max_conns,
    )


@contextlib.asynccontextmanager
async def _run_fake(slots=2, service_ms=1.0, **faults):
    """Runs a fake upstream with faults and opens the pools of a node."""
    up = replica_state.make_upstream(
        'r0', 'parts', 0, 1, slots, service_ms, 50
    )
    replica_state.apply_control(up, {'set': faults})
    async with (
        fake.run_upstream(up) as port,
        upstreams.open_pools() as pools,
    ):
        yield up, pools, _replica(port)


@contextlib.asynccontextmanager
async def _raw_server(reply, late=lambda number: b''):
    """Runs a server that sends raw bytes, chosen by request number.

    Args:
        reply: Returns the bytes of the reply, or None to close the
            connection.
        late: Returns bytes to send afterwards, while the connection is idle.
    """
    requests = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).lower()
                length = head.partition(b'content-length: ')[2]
                length = int(length.partition(b'\r\n')[0] or 0)
                requests.append(await reader.readexactly(length))
                raw = reply(len(requests))
                if raw is None:
                    break
                writer.write(raw)
                await asyncio.sleep(0.005)
                writer.write(late(len(requests)))
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    async with server, upstreams.open_pools() as pools:
        port = server.sockets[0].getsockname()[1]
        yield pools, _replica(port), requests


def _http(body, status='200 OK', headers=''):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f'HTTP/1.1 {status}\r\ncontent-length: {len(raw)}\r\n{headers}\r\n'
    return head.encode() + raw


def _answer(request_id, **changes):
    fields = {
        'request_id': request_id,
        'snapshot': 1,
        'lo': 0,
        'hi': 1,
        'docs_searched': 1,
        'docs': 1,
        'total_docs': 1,
        'hits': [{'id': request_id, 'score': 1, 'text': ''}],
    }
    return fields | changes


async def test_silent_connections_are_not_failures_of_the_replica():
    """Guards against ejecting a replica whose new connections work.

    Only its old connections have stopped responding.
    """
    async with _run_fake() as (up, pools, replica):
        assert (await upstreams.send_search(pools, replica, _search())).outcome
        replica_state.apply_control(up, {'silence': True})
        report = await upstreams.send_search(pools, replica, _search('q2'))
        assert isinstance(report.outcome, core.SubAnswer)
        assert report.latency < 0.5
        assert not report.broken
        replica_state.apply_control(up, {'silence': True})
        done = await upstreams.send_order(pools, replica, _order())
        assert isinstance(done.outcome, core.SubDone)
        replica_state.apply_control(up, {'silence': True})
        status = await upstreams.fetch_status(pools, replica)
        assert isinstance(status, core.Replica)


async def test_crash_is_reported_with_the_request_in_flight():
    """Guards against a crash that is reported as a request not run."""
    async with _run_fake(poison='boom') as (up, pools, replica):
        await upstreams.send_search(pools, replica, _search())
        report = await upstreams.send_search(
            pools, replica, _search('q2', query='boom')
        )
        assert report.outcome == core.SubUnknown(core.UnknownReason.REPLY_LOST)
        assert report.broken
        assert report.unreachable
        after = await upstreams.send_order(pools, replica, _order())
        assert after.outcome == core.SubNotRun(NotRun.UNREACHABLE)
        assert not after.broken
        status = await upstreams.fetch_status(pools, replica)
        assert isinstance(status, upstreams.StatusError)


async def test_drain_shed_and_deadline_in_queue_are_not_run():
    """Guards against refusals that are reported as lost replies."""
    async with _run_fake(1, 300.0, queue=1) as (up, pools, replica):
        up.rng.expovariate = lambda rate: 1 / rate
        sends = [
            upstreams.send_search(pools, replica, _search(f'q{number}', 0.2))
            for number in range(3)
        ]
        reports = await asyncio.gather(*sends)
        reasons = {
            report.outcome.reason
            for report in reports
            if isinstance(report.outcome, core.SubNotRun)
        }
        assert NotRun.SHED in reasons
        replica_state.apply_control(up, {'set': {'state': 'draining'}})
        report = await upstreams.send_order(pools, replica, _order())
        assert report.outcome == core.SubNotRun(NotRun.DRAINING)
        assert up.orders == []


async def test_cancelling_the_caller_cancels_the_upstream():
    """Guards against work that continues after its caller disconnected."""
    async with _run_fake(1, 500.0) as (up, pools, replica):
        up.rng.expovariate = lambda rate: 1 / rate
        task = asyncio.create_task(
            upstreams.send_search(pools, replica, _search())
        )
        while not up.running:
            await asyncio.sleep(0.005)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        async with asyncio.timeout(0.3):
            while not up.counters.cancelled:
                await asyncio.sleep(0.005)
        assert up.counters.finished == 0


@pytest.mark.parametrize('direct', [False, True])
async def test_connections_stay_under_the_limit_and_its_reserve(direct):
    """Guards against a node that uses all connections of a replica."""
    async with _run_fake(slots=50, max_conns=10) as (up, pools, replica):
        replica = _replica(replica.address.port, max_conns=10)
        subs = [_search(f'q{number}') for number in range(30)]
        reports = await asyncio.gather(
            *(
                upstreams.send_search(pools, replica, sub, direct)
                for sub in subs
            )
        )
        if direct:
            assert up.counters.conns_peak == 1
        status = await upstreams.fetch_status(pools, replica)
        assert isinstance(status, core.Replica)
        counters = up.counters
        assert counters.conns_peak <= upstreams.conn_limit(replica) == 8
        for report in reports:
            assert isinstance(
                report.outcome, core.SubAnswer
            ) or report.outcome == core.SubNotRun(NotRun.OVERLOADED)
        accepted = counters.conns_accepted
        for number in range(5):
            await upstreams.send_search(pools, replica, _search(f's{number}'))
        assert counters.conns_accepted == accepted


@pytest.mark.parametrize('kind', ['lost', 'garbage', 'moved', 'silent'])
async def test_order_is_sent_once_after_any_fault(kind):
    """Guards against a second run of an order whose reply is lost."""
    replies = {
        'lost': None,
        'garbage': b'\0\1\2 garbage\r\n\r\n',
        'moved': _http({}, '307 Moved', 'location: /execute\r\n'),
        'silent': b'',
    }
    async with _raw_server(lambda number: replies[kind]) as (
        pools,
        replica,
        requests,
    ):
        report = await upstreams.send_order(pools, replica, _order())
        assert isinstance(report.outcome, core.SubUnknown | core.SubFailed)
        assert len(requests) == 1


MALFORMED_REPLIES = {
    'garbage': b'\0\1\2 garbage\r\n\r\n',
    'not JSON': _http(b'<html>'),
    'nested': _http(b'[' * 100_000),
    'array': _http([1]),
    'wrong id': _http(_answer('other')),
    'huge': _http(_answer('q1', padding='x' * (2 << 20))),
    'compressed': _http(b'x', headers='content-encoding: gzip\r\n'),
    'too many searched': _http(_answer('q1', docs_searched=2)),
    'negative': _http(_answer('q1', docs_searched=-1)),
    'infinite': _http(_answer('q1', snapshot=float('inf'))),
    'score': _http(
        _answer('q1', hits=[{'id': '', 'score': 'nan', 'text': ''}])
    ),
    'long header': _http({}, headers='x: ' + 'y' * 100_000 + '\r\n'),
    'moved': _http({}, '307 Moved', 'location: http://127.0.0.1:1/\r\n'),
}


@pytest.mark.parametrize('kind', MALFORMED_REPLIES)
async def test_malformed_replies_become_failures(kind):
    """Guards against a reply that raises an exception in a search."""
    async with _raw_server(lambda number: MALFORMED_REPLIES[kind]) as (
        pools,
        replica,
        _,
    ):
        report = await upstreams.send_search(
            pools, replica, _search(budget=LONG_BUDGET)
        )
        assert isinstance(report.outcome, core.SubFailed)
        # A redirect is read completely; the other replies leave the
        # connection in an unknown state.
        idle = pools.by_replica[replica.replica_id].idle
        assert bool(idle) == (kind == 'moved')
        status = await upstreams.fetch_status(pools, replica)
        assert isinstance(status, upstreams.StatusError)


@pytest.mark.parametrize('late', ['answer', 'not run'])
async def test_late_reply_never_reaches_another_request(late):
    """Guards against a reply or refusal of an earlier request.

    A second reply to the first request arrives while the connection is
    idle.
    """
    extra = _http(_answer('q1'))
    if late == 'not run':
        extra = _http({}, '503 Busy', 'x-not-run: 1\r\nx-request-id: q1\r\n')

    def reply(number):
        return _http(_answer(f'q{number}'))

    def send_late(number):
        return extra if number == 1 else b''

    async with _raw_server(reply, send_late) as (pools, replica, requests):
        first = await upstreams.send_search(pools, replica, _search('q1'))
        assert first.outcome.hits[0].doc_id == 'q1'
        await asyncio.sleep(0.02)
        second = await upstreams.send_search(pools, replica, _search('q2'))
        match second.outcome:
            case core.SubAnswer():
                assert second.outcome.hits[0].doc_id == 'q2'
            case _:
                assert isinstance(second.outcome, core.SubFailed)
        # The connection must not be reused for a third request.
        name = f'q{len(requests) + 1}'
        third = await upstreams.send_search(pools, replica, _search(name))
        assert third.outcome.hits[0].doc_id == name


async def test_search_is_retried_when_a_reused_connection_breaks():
    """Guards against a search that fails on an upstream's idle timeout."""

    def reply(number):
        return None if number == 2 else _http(_answer(f'q{min(number, 2)}'))

    async with _raw_server(reply) as (pools, replica, requests):
        await upstreams.send_search(pools, replica, _search('q1'))
        report = await upstreams.send_search(pools, replica, _search('q2'))
        assert isinstance(report.outcome, core.SubAnswer)
        assert report.broken
        assert not report.unreachable


async def test_truncated_head_is_not_an_answer():
    """Guards against an empty successful reply from an ended upstream.

    The connection closes after every fourth byte of the head.
    """
    whole = _http(_answer('q1'))

    def close(number):
        raise ConnectionResetError

    for size in range(1, whole.index(b'\r\n\r\n') + 4, 4):
        head = whole[:size]
        async with _raw_server(lambda number, head=head: head, close) as (
            pools,
            replica,
            _,
        ):
            report = await upstreams.send_search(
                pools, replica, _search(budget=LONG_BUDGET)
            )
        assert not isinstance(report.outcome, core.SubAnswer), head
