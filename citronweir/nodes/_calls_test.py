"""Tests of requests between nodes over TCP on the loopback interface."""

import asyncio
import contextlib
import random
import time

import pytest

from citronweir import core
from citronweir import nodes
from citronweir.nodes import _codec as codec
from citronweir.nodes import _links as links_
from citronweir.nodes import _messages as messages
from citronweir.nodes import _server as server_
from citronweir.nodes import _streams as streams

KEY = b'cluster key'
REPLICA = core.ReplicaId('r1')
UNREACHABLE = core.SubNotRun(core.NotRunReason.OWNER_UNREACHABLE)
REPLY_LOST = core.SubUnknown(core.UnknownReason.REPLY_LOST)


def _identity(name, key=KEY):
    return streams.Identity(core.NodeId(name), core.DataCentre('d'), 5, key)


def _order(body, budget=5.0):
    deadline = time.monotonic() + budget
    return core.SubOrder(body, 'i', body, core.Rank.URGENT, deadline)


async def _echo(replica_id, sub):
    return core.OwnerAnswer(core.SubDone(sub.body))


def _handlers(run_sub=_echo, state=None, got=None):
    got = [] if got is None else got
    return nodes.Handlers(
        run_sub,
        got.append,
        lambda dc, batch: got.append(batch),
        lambda since: state and core.collect_newer_records(state, since, 0.5),
        got.append,
    )


async def _start_server(run_sub=_echo, port=0, name='b', key=KEY, **more):
    limits = more.pop('limits', server_.Limits())
    server = await nodes.start_server(
        core.Address('127.0.0.1', port),
        _identity(name, key),
        _handlers(run_sub, **more),
        limits,
    )
    return server, _member(nodes.get_port(server), name)


def _member(port, name='b'):
    return core.Member(
        core.NodeId(name),
        core.Address('127.0.0.1', port),
        core.DataCentre('d'),
        core.MemberState.ALIVE,
        core.Incarnation(5),
    )


@contextlib.asynccontextmanager
async def _open_links(name='a', key=KEY):
    links = nodes.open_links(_identity(name, key), random.Random(1))
    try:
        yield links
    finally:
        await nodes.close_links(links)


async def _call(links, member, body, budget=5.0):
    answer = await nodes.call_sub(links, member, REPLICA, _order(body, budget))
    return answer.outcome


async def _wait_until(condition, limit=5.0):
    end = time.monotonic() + limit
    while not condition():
        assert time.monotonic() < end, 'condition not met in time'
        await asyncio.sleep(0.005)


async def test_replies_reach_their_own_requests_in_any_order():
    """Guards against a reply matched to another request (G3)."""

    async def run_sub(replica_id, sub):
        await asyncio.sleep(random.Random(sub.body).uniform(0, 0.02))
        return await _echo(replica_id, sub)

    server, member = await _start_server(run_sub)
    async with _open_links() as links:
        bodies = [str(number) for number in range(300)]
        outcomes = await asyncio.gather(
            *(_call(links, member, body) for body in bodies)
        )
        assert [item.result for item in outcomes] == bodies
        assert len(server.conns) == 1
    await nodes.close_server(server)


async def test_restarted_node_does_not_answer_for_its_predecessor():
    """Guards against replies matched across a reconnect (G3, G5).

    A node restarted at the same address must not answer earlier requests.
    """
    gate = asyncio.Event()

    async def hold(replica_id, sub):
        await gate.wait()
        return core.OwnerAnswer(core.SubDone('predecessor'))

    server, member = await _start_server(hold)
    async with _open_links() as links:
        first = asyncio.create_task(_call(links, member, 'first'))
        await _wait_until(lambda: links.by_address.get(member.address))
        await _wait_until(
            lambda: links.by_address[member.address].pending_replies
        )
        await asyncio.sleep(0.05)
        await nodes.close_server(server, timeout=0.01)
        assert await first == REPLY_LOST
        server, member = await _start_server(port=member.address.port)
        gate.set()
        outcomes = [
            await _call(links, member, str(number)) for number in range(3)
        ]
        assert [item.result for item in outcomes] == ['0', '1', '2']
    await nodes.close_server(server)


async def test_request_that_was_not_written_is_not_run():
    """Guards against Unknown for an order that was never sent (G4)."""
    server, member = await _start_server()
    port = member.address.port
    async with _open_links() as links:
        assert await _call(links, _member(port, 'other'), 'x') == UNREACHABLE
        link = links.by_address[member.address]
        task = asyncio.create_task(_call(links, member, 'y'))
        await asyncio.sleep(0)
        # The frame is queued until the end of this event loop iteration.
        assert link.stream.unwritten
        links_._close_link(link)
        assert await task == UNREACHABLE
        await nodes.close_server(server)
        assert await _call(links, member, 'z') == UNREACHABLE


async def test_late_reply_to_a_cancelled_request_is_dropped():
    """Guards against a cancelled request that keeps running.

    Its late reply must not be matched to the next request either.
    """
    ended = []

    async def run_sub(replica_id, sub):
        try:
            if sub.body == 'slow':
                await asyncio.sleep(30)
        finally:
            ended.append(sub.body)
        return await _echo(replica_id, sub)

    server, member = await _start_server(run_sub)
    async with _open_links() as links:
        task = asyncio.create_task(_call(links, member, 'slow'))
        await _call(links, member, 'fast')
        task.cancel()
        await _wait_until(lambda: 'slow' in ended)
        link = links.by_address[member.address]
        assert not link.pending_replies
        reply = core.OwnerAnswer(core.SubDone('late'))
        links_._handle(links, link, messages.Reply(1, reply))
        assert (await _call(links, member, 'next')).result == 'next'
    await nodes.close_server(server)


async def test_deadline_ends_a_call_and_cancels_it():
    """Guards against a call that outlives its deadline without a reply."""
    server, member = await _start_server(lambda *_: asyncio.sleep(30))
    async with _open_links() as links:
        outcome = await _call(links, member, 'x', budget=0.1)
        assert outcome == core.SubUnknown(core.UnknownReason.TIMEOUT)
    await nodes.close_server(server)


async def test_shutdown_of_the_listener_cuts_off_no_request():
    """Guards against a request lost while the listener shuts down (G7)."""

    async def run_sub(replica_id, sub):
        await asyncio.sleep(0.05)
        return await _echo(replica_id, sub)

    server, member = await _start_server(run_sub)
    async with _open_links() as links:
        await _call(links, member, 'open')
        tasks = []
        closing = None
        for number in range(60):
            tasks.append(
                asyncio.create_task(_call(links, member, str(number)))
            )
            if number == 20:
                closing = asyncio.create_task(nodes.close_server(server))
            await asyncio.sleep(0.002)
        outcomes = await asyncio.gather(*tasks)
        await closing
        assert REPLY_LOST not in outcomes
        done = [item for item in outcomes if item != UNREACHABLE]
        assert len(done) > 20
        assert all(isinstance(item, core.SubDone) for item in done)


async def test_wrong_key_opens_no_stream_in_either_direction():
    """Guards against a peer without the cluster key, at either end."""
    server, member = await _start_server(key=b'other key')
    async with _open_links() as links:
        assert await _call(links, member, 'x') == UNREACHABLE
    await nodes.close_server(server)


async def test_configuration_larger_than_a_frame_arrives_whole():
    """Guards against records that exceed the 1 MiB frame limit (G8)."""
    sent = tuple(
        core.ConfigRecord(f'k{number}', 'v' * 400_000, core.Revision(number))
        for number in range(1, 6)
    )
    state, _ = core.merge_batch(
        core.ConfigState(), core.ConfigBatch(sent, core.Revision(5))
    )
    server, member = await _start_server(state=state)
    got, since = [], core.Revision(0)
    async with _open_links() as links:
        for _ in sent:
            batch = await nodes.fetch_config(links, member, since, 5.0)
            got += batch.records
            since = core.next_since(batch)
            assert batch.more == (len(got) < len(sent))
    assert tuple(got) == sent
    assert (batch.complete_to, batch.age) == (5, 0.5)
    await nodes.close_server(server)


async def test_node_without_configuration_says_so():
    """Guards against a missing configuration taken for an empty one (G8)."""
    server, member = await _start_server()
    async with _open_links() as links:
        reply = await nodes.fetch_config(links, member, core.Revision(0), 5.0)
    assert reply is None
    await nodes.close_server(server)


async def test_messages_sent_before_the_stream_opens_arrive_in_order():
    """Guards against updates lost while the stream is being opened."""
    got = []
    server, member = await _start_server(got=got)
    async with _open_links() as links:
        sent = [core.Ack(number, member) for number in range(20)]
        for message in sent:
            assert nodes.send_gossip(links, member.address, message)
        suspicion = core.Suspicion('f', core.SuspectState.SUSPECT, 1.0, 2.0)
        nodes.send_suspect(links, member.address, suspicion)
        await _wait_until(lambda: len(got) == 21)
        assert got == [*sent, suspicion]
    await nodes.close_server(server)


async def test_too_many_requests_on_a_stream_are_not_run():
    """Guards against memory exhaustion by the requests of one node."""
    limits = server_.Limits(max_requests=5)
    gate = asyncio.Event()

    async def run_sub(replica_id, sub):
        await gate.wait()
        return await _echo(replica_id, sub)

    server, member = await _start_server(run_sub, limits=limits)
    async with _open_links() as links:
        tasks = [
            asyncio.create_task(_call(links, member, str(number)))
            for number in range(9)
        ]
        await _wait_until(lambda: sum(task.done() for task in tasks) == 4)
        gate.set()
        outcomes = await asyncio.gather(*tasks)
    refused = core.SubNotRun(core.NotRunReason.OVERLOADED)
    assert outcomes.count(refused) == 4
    await nodes.close_server(server)


async def _raw_stream(member, handshake=True):
    reader, writer = await asyncio.open_connection(
        member.address.host, member.address.port
    )
    stream = streams.make_stream(reader, writer)
    if handshake:
        welcome = await links_._do_handshake(_identity('c'), stream)
        assert isinstance(welcome, messages.Welcome)
    return stream


MALFORMED_INPUTS = (
    b'GET / HTTP/1.1\r\n\r\n',
    b'\xff\xff\xff\xff',
    b'\0\0\0\0',
    b'\0\0\0\x02\xc1\xc1',
    codec.encode(messages.Call(1, REPLICA, _order('x')), 0.0)[:-3]
    + b'\xff' * 3,
)


@pytest.mark.parametrize('has_handshake', (False, True))
@pytest.mark.parametrize('raw', MALFORMED_INPUTS)
async def test_malformed_input_closes_its_stream_and_nothing_else(
    raw, has_handshake
):
    """Guards against malformed input that affects other streams."""
    server, member = await _start_server()
    async with _open_links() as links:
        assert (await _call(links, member, 'x')).result == 'x'
        stream = await _raw_stream(member, has_handshake)
        stream.writer.write(raw)
        async with asyncio.timeout(1.0):
            while await stream.reader.read(1000):
                pass
        assert (await _call(links, member, 'y')).result == 'y'
        assert len(server.conns) == 1
        streams.close(stream)
    await nodes.close_server(server)


async def test_slow_and_silent_senders_are_closed_in_time(monkeypatch):
    """Guards against connections held open by silent or very slow peers."""
    monkeypatch.setattr(server_, 'SILENCE_TIMEOUT', 0.3)
    monkeypatch.setattr(server_, 'SWEEP_INTERVAL', 0.05)
    monkeypatch.setattr(streams, 'HANDSHAKE_TIMEOUT', 0.3)
    server, member = await _start_server()
    no_handshake = await _raw_stream(member, handshake=False)
    half_open = await _raw_stream(member)
    slow_sender = await _raw_stream(member)
    frame = codec.encode(messages.Call(1, REPLICA, _order('x' * 99)), 0.0)
    start = time.monotonic()
    position = 0
    while server.conns:
        assert time.monotonic() - start < 2.0, 'a stream stayed open'
        with contextlib.suppress(OSError):
            slow_sender.writer.write(frame[position : position + 1])
        position += 1
        await asyncio.sleep(0.02)
    for stream in (no_handshake, half_open, slow_sender):
        streams.close(stream, is_abort=True)
    await nodes.close_server(server)


async def test_peer_that_does_not_read_is_closed(monkeypatch):
    """Guards against unbounded buffering of replies for a stopped peer."""
    monkeypatch.setattr(streams, 'MAX_BUFFERED_BYTES', 1 << 20)
    large = core.OwnerAnswer(core.SubDone('x' * 500_000))

    async def run_sub(replica_id, sub):
        return large

    server, member = await _start_server(run_sub)
    stream = await _raw_stream(member)
    for seq in range(40):
        call = messages.Call(seq, REPLICA, _order('x'))
        stream.writer.write(codec.encode(call, time.monotonic()))
    await _wait_until(lambda: not server.conns)
    streams.close(stream, is_abort=True)
    await nodes.close_server(server)


async def test_silent_listener_is_noticed_by_pings(monkeypatch):
    """Guards against waiting on a connection whose peer stopped answering."""
    monkeypatch.setattr(links_, 'PING_INTERVAL', 0.05)
    server, member = await _start_server(lambda *_: asyncio.sleep(30))
    async with _open_links() as links:
        task = asyncio.create_task(_call(links, member, 'x'))
        await _wait_until(lambda: links.by_address.get(member.address))
        await _wait_until(
            lambda: links.by_address[member.address].pending_replies
        )
        await asyncio.sleep(0.5)
        assert not task.done()
        for stream in server.conns:
            stream.writer.transport.pause_reading()
        start = time.monotonic()
        assert await task == REPLY_LOST
        assert time.monotonic() - start < 1.0
    await nodes.close_server(server, timeout=0.01)


async def test_streams_beyond_the_limit_are_refused():
    """Guards against a flood of connections that uses up file descriptors."""
    server, member = await _start_server(limits=server_.Limits(max_conns=3))
    raw = [await _raw_stream(member) for _ in range(3)]
    with pytest.raises((AssertionError, OSError)):
        await _raw_stream(member)
    assert len(server.conns) == 3
    for stream in raw:
        streams.close(stream)
    await nodes.close_server(server)


async def test_reconnects_back_off():
    """Guards against a connection attempt for each request to a down node."""
    server, member = await _start_server()
    await nodes.close_server(server)
    async with _open_links() as links:
        for _ in range(50):
            assert await _call(links, member, 'x') == UNREACHABLE
        link = links.by_address[member.address]
        assert link.state is links_.LinkState.BACKOFF
        assert link.failures == 1


async def test_message_from_a_node_ends_its_backoff():
    """Guards against a reply to a restarted node dropped during backoff.

    The node asks for the membership table to join. The table was dropped
    until the backoff after failed connects had passed.
    """
    server, member = await _start_server()
    await nodes.close_server(server)
    async with _open_links() as links:
        for _ in range(3):
            await _call(links, member, 'x')
            link = links.by_address[member.address]
            link.retry_at = 0.0
        assert link.failures > 1
        link.retry_at = time.monotonic() + links_.BACKOFF_MAX
        nodes.reset_backoff(links, member.address)
        assert nodes.send_config(links, member.address, core.ConfigBatch(()))
        assert link.state is links_.LinkState.OPENING
