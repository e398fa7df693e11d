"""Accepts streams from other nodes and serves their requests.

All input is bounded. A malformed frame closes the stream that it came
on and has no other effect.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import functools
import secrets
import time

from citronweir import core
from citronweir import telemetry
from citronweir.nodes import _codec as codec
from citronweir.nodes import _messages as messages
from citronweir.nodes import _streams as streams

# The other end pings an idle stream each second. Five seconds without a
# complete frame mean a half-open connection or a peer that sends too slowly.
SILENCE_TIMEOUT = 5.0  # seconds
SWEEP_INTERVAL = 1.0  # seconds
CLOSE_TIMEOUT = 5.0  # seconds
REJECTION_LOG_INTERVAL = 1.0  # seconds between two logged rejections
# Encoded size above which a configuration batch is split.
CONFIG_CHUNK_BYTES = 256 << 10
# Most that the encoding adds to the key and value of a record.
_MAX_RECORD_OVERHEAD_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the resources that other nodes may use.

    Attributes:
        max_conns: Concurrent streams of authenticated nodes.
        max_handshakes: Concurrent handshakes. A further connection closes
            the oldest of them. The handshake of a node takes milliseconds,
            so this closes silent connections first, and they cannot keep
            nodes from connecting.
        max_requests: Concurrent requests on one stream.
    """

    max_conns: int = 4096
    max_handshakes: int = 256
    max_requests: int = 4096


async def _decline_group(query):
    declined = core.Declined(core.NotRunReason.NO_CONFIGURATION, 0.0)
    return core.GroupAnswer(declined, 0.0)


def _ignore_reports(dc, reports):
    """Drops reports; the owner of a replica determines why it ended."""


def _ignore_departures(dc, departures):
    """Drops departures; probes of the owner find out about them."""


def _decline_spend(dc, tenant, count, is_asking):
    return core.QuotaDecision(is_keeper=False)


def _ignore_limited(dc, tenant, seconds):
    """Drops notices; only nodes on the users' platform have tenants."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """Callbacks for the messages of other nodes.

    Attributes:
        run_sub: Runs a relayed sub-request; cancelled when the other
            node cancels it or its stream closes.
        on_gossip: Receives a membership message.
        on_config: Receives pushed configuration records and the data
            centre of the node that sent them.
        read_config: Returns records newer than a revision, as many as fit
            a message, or None without a complete configuration.
        on_suspect: Receives the record of a suspected request.
        on_reports: Receives reports about requests at replicas, each with
            the monotonic second of its observation, and the data centre
            of the node that sent them.
        on_departures: Receives the departures of replicas and the data
            centre of the node that sent them.
        run_group: Sends a query to a group of shards; cancelled like
            ``run_sub``.
        spend: Takes tokens from the quota of a tenant, given the data centre
            of the node that asks, their number and whether a request waits
            for the decision.
        on_limited: Receives the notice that a tenant is near its limit, with
            the seconds for which it holds, and the data centre of the node
            that sent it.
    """

    run_sub: abc.Callable[
        [core.ReplicaId, core.SubRequest], abc.Awaitable[core.OwnerAnswer]
    ]
    on_gossip: abc.Callable[[core.Gossip], None]
    on_config: abc.Callable[[core.DataCentre, core.ConfigBatch], None]
    read_config: abc.Callable[[core.Revision], core.ConfigBatch | None]
    on_suspect: abc.Callable[[core.Suspicion], None]
    run_group: abc.Callable[
        [core.GroupQuery], abc.Awaitable[core.GroupAnswer]
    ] = _decline_group
    on_reports: abc.Callable[
        [core.DataCentre, tuple[tuple[core.ReplicaReport, float], ...]], None
    ] = _ignore_reports
    on_departures: abc.Callable[
        [core.DataCentre, tuple[core.Departure, ...]], None
    ] = _ignore_departures
    spend: abc.Callable[
        [core.DataCentre, core.TenantName, float, bool], core.QuotaDecision
    ] = _decline_spend
    on_limited: abc.Callable[
        [core.DataCentre, core.TenantName, float], None
    ] = _ignore_limited


@dataclasses.dataclass(slots=True)
class Server:
    """State of the listener.

    Attributes:
        conns: Task of each accepted stream.
        handshakes: Streams in their handshake, the oldest first.
        authenticated_count: Number of streams after their handshake.
        next_log_at: Monotonic second from which a rejection is logged.
    """

    identity: streams.Identity
    handlers: Handlers
    limits: Limits
    conns: dict[streams.Stream, asyncio.Task]
    handshakes: dict[streams.Stream, None] = dataclasses.field(
        default_factory=dict
    )
    authenticated_count: int = 0
    listener: asyncio.Server | None = None
    sweep_task: asyncio.Task | None = None
    next_log_at: float = 0.0


async def start_server(
    address: core.Address,
    identity: streams.Identity,
    handlers: Handlers,
    limits: Limits = Limits(),
) -> Server:
    """Starts accepting streams from other nodes.

    Args:
        address: Address to listen on; port 0 selects a free port.
        identity: This process.
        handlers: Callbacks for received messages.
        limits: Limits on streams and requests.

    Returns:
        State of the listener.

    Raises:
        OSError: The address cannot be listened on.
    """
    server = Server(identity, handlers, limits, {})
    server.listener = await asyncio.start_server(
        functools.partial(_accept, server),
        address.host,
        address.port,
        limit=streams.READ_BYTES,
        backlog=1024,
    )
    server.sweep_task = asyncio.create_task(_sweep(server))
    return server


def get_port(server: Server) -> int:
    """Returns the port that the server listens on."""
    return server.listener.sockets[0].getsockname()[1]


async def close_server(server: Server, timeout: float = CLOSE_TIMEOUT) -> None:
    """Stops accepting, answers pending requests and closes all streams.

    Args:
        server: State of the listener.
        timeout: Seconds to wait for the other nodes to close.
    """
    server.listener.close()
    for stream in list(server.conns):
        _send(stream, messages.Bye())
    tasks = list(server.conns.values())
    if tasks:
        await asyncio.wait(tasks, timeout=timeout)
    server.sweep_task.cancel()
    for stream in list(server.conns):
        streams.close(stream, is_abort=True)
    tasks = list(server.conns.values())
    if tasks:
        await asyncio.wait(tasks, timeout=timeout)


def split_batch(batch: core.ConfigBatch) -> list[core.ConfigBatch]:
    """Splits configuration records into batches that fit a frame.

    Only the last batch states the revision up to which the records are
    complete, since only then does the receiver have all of them.

    Args:
        batch: The records.

    Returns:
        At least one batch.
    """
    chunks, size = [[]], 0
    for record in batch.records:
        length = len(record.key.encode()) + len(record.value.encode())
        length += _MAX_RECORD_OVERHEAD_BYTES
        if chunks[-1] and size + length > CONFIG_CHUNK_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(record)
        size += length
    *first, last = (tuple(chunk) for chunk in chunks)
    return [core.ConfigBatch(chunk, age=batch.age) for chunk in first] + [
        dataclasses.replace(batch, records=last)
    ]


async def _accept(server, reader, writer):
    stream = streams.make_stream(reader, writer)
    if server.authenticated_count >= server.limits.max_conns:
        _log_rejection(server, 'too many streams')
        streams.close(stream, is_abort=True)
        return
    if len(server.handshakes) >= server.limits.max_handshakes:
        oldest = next(iter(server.handshakes))
        del server.handshakes[oldest]
        _log_rejection(server, 'too many handshakes')
        streams.close(oldest, is_abort=True)
    server.handshakes[stream] = None
    server.conns[stream] = asyncio.current_task()
    try:
        hello, detail = await _do_handshake(server, stream)
        server.handshakes.pop(stream, None)
        if hello is not None:
            detail = await _serve_stream(server, stream, hello)
        if detail:
            _log_rejection(server, detail)
    except Exception as exc:  # must not affect other streams
        telemetry.log(
            telemetry.Event.INTERNAL_ERROR, task='stream', error=repr(exc)
        )
    finally:
        streams.close(stream, is_abort=True)
        server.handshakes.pop(stream, None)
        del server.conns[stream]


async def _serve_stream(server, stream, hello):
    """Serves an authenticated node; returns an error of its stream."""
    if server.authenticated_count >= server.limits.max_conns:
        return 'too many streams'
    tasks = {}
    handle = functools.partial(_handle, server, stream, tasks, hello.dc)
    server.authenticated_count += 1
    try:
        error = await streams.read_messages(stream, handle)
    finally:
        server.authenticated_count -= 1
        for task in tasks.values():
            task.cancel()
    return error and f'{hello.node_id}: {error.detail}'


async def _do_handshake(server, stream):
    identity = server.identity
    nonce = secrets.token_bytes(streams.NONCE_BYTES)
    _send(stream, messages.Challenge(messages.PROTOCOL_VERSION, nonce))
    try:
        async with asyncio.timeout(streams.HANDSHAKE_TIMEOUT):
            hello = await streams.read_handshake_message(stream)
    except (OSError, TimeoutError) as exc:
        return None, f'no hello received: {type(exc).__name__}'
    if not isinstance(hello, messages.Hello):
        return None, f'expected a hello, got {str(hello)[:100]}'
    if not streams.is_mac_valid(identity, 'connector', hello, nonce):
        return None, 'cluster key of the other node does not match'
    mac = streams.make_mac(
        identity,
        'listener',
        identity.node_id,
        identity.incarnation,
        hello.nonce,
    )
    _send(
        stream,
        messages.Welcome(
            min(messages.PROTOCOL_VERSION, hello.version),
            identity.node_id,
            identity.incarnation,
            mac,
        ),
    )
    stream.last_received = time.monotonic()
    return hello, None


def _handle(server, stream, tasks, dc, message):
    handlers = server.handlers
    match message:
        case messages.Call():
            _start_call(server, stream, tasks, message)
        case messages.Gather():
            _start_gather(server, stream, tasks, message)
        case messages.Cancel():
            task = tasks.pop(message.seq, None)
            if task is not None:
                task.cancel()
        case messages.Ping():
            boot = time.clock_gettime(time.CLOCK_BOOTTIME)
            _send(stream, messages.Pong(message.seq, time.time(), boot))
        case messages.Sync():
            batch = handlers.read_config(message.complete_to)
            _send(stream, messages.Conf(message.seq, batch))
        case messages.Conf(batch=core.ConfigBatch()):
            handlers.on_config(dc, message.batch)
        case messages.Suspect():
            handlers.on_suspect(message.record)
        case messages.Reports():
            handlers.on_reports(dc, message.reports)
        case messages.Departures():
            handlers.on_departures(dc, message.departures)
        case messages.Spend():
            decision = handlers.spend(
                dc, message.tenant, message.count, message.is_asking
            )
            _send(stream, messages.Spent(message.seq, decision))
        case messages.Limited():
            handlers.on_limited(dc, message.tenant, message.seconds)
        case _ if isinstance(message, core.Gossip):
            handlers.on_gossip(message)


def _start_call(server, stream, tasks, call):
    if call.seq in tasks or len(tasks) >= server.limits.max_requests:
        reason = core.NotRunReason.OVERLOADED
        reply = core.OwnerAnswer(core.SubNotRun(reason))
        _send(stream, messages.Reply(call.seq, reply))
        return
    tasks[call.seq] = asyncio.create_task(
        _run_call(server, stream, tasks, call)
    )


def _start_gather(server, stream, tasks, gather):
    if gather.seq in tasks or len(tasks) >= server.limits.max_requests:
        declined = core.Declined(core.NotRunReason.OVERLOADED, 0.0)
        answer = core.GroupAnswer(declined, 0.0)
        _send(stream, messages.Group(gather.seq, answer))
        return
    tasks[gather.seq] = asyncio.create_task(
        _run_gather(server, stream, tasks, gather)
    )


async def _run_gather(server, stream, tasks, gather):
    try:
        answer = await server.handlers.run_group(gather.query)
    except Exception as exc:  # the other node still needs an answer
        telemetry.log(
            telemetry.Event.INTERNAL_ERROR, task='group', error=repr(exc)
        )
        failed = core.Unanswered(core.FailureReason.INTERNAL_ERROR)
        answer = core.GroupAnswer(failed, 0.0)
    if tasks.get(gather.seq) is asyncio.current_task():
        del tasks[gather.seq]
        _send(
            stream, messages.Group(gather.seq, answer, gather.accepts_packed)
        )


async def _run_call(server, stream, tasks, call):
    try:
        reply = await server.handlers.run_sub(call.replica_id, call.sub)
    except Exception as exc:  # the other node still needs a reply
        telemetry.log(
            telemetry.Event.INTERNAL_ERROR, task='relay', error=repr(exc)
        )
        reply = core.OwnerAnswer(
            core.SubUnknown(core.UnknownReason.REPLY_LOST)
        )
    if tasks.get(call.seq) is asyncio.current_task():
        del tasks[call.seq]
        _send(stream, messages.Reply(call.seq, reply))


def _send(stream, message):
    frame = codec.encode(message, time.monotonic())
    if len(frame) > codec.MAX_FRAME_BYTES and isinstance(
        message, messages.Reply
    ):
        outcome = core.SubFailed(f'reply of {len(frame)} bytes')
        frame = codec.encode(
            messages.Reply(message.seq, core.OwnerAnswer(outcome)), 0.0
        )
    if not streams.send(stream, frame):
        # The peer does not read its replies. Closing the stream makes its
        # pending requests fail as REPLY_LOST.
        streams.close(stream, is_abort=True)


async def _sweep(server):
    last_sweep = time.monotonic()
    while True:
        await asyncio.sleep(SWEEP_INTERVAL)
        now = time.monotonic()
        # After a pause of this process, frames that came meanwhile are not
        # read yet, so the streams cannot be judged silent.
        was_paused = now - last_sweep > 2 * SWEEP_INTERVAL
        last_sweep = now
        for stream in list(server.conns):
            if now - stream.last_received > SILENCE_TIMEOUT and not was_paused:
                _log_rejection(server, 'no complete frame received in time')
                streams.close(stream, is_abort=True)


def _log_rejection(server, detail):
    # Limits the rate so that hostile input cannot fill the log.
    now = time.monotonic()
    if now >= server.next_log_at:
        server.next_log_at = now + REJECTION_LOG_INTERVAL
        with contextlib.suppress(ValueError):
            telemetry.log(telemetry.Event.STREAM_REJECTED, error=detail)
