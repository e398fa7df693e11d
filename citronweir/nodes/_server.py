"""Accepts the streams of other nodes and serves their requests.

Every input is bounded, and what is malformed closes its own stream and
has no other effect.
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

# The other end pings each second, so that five seconds without a whole
# frame mean a half-open connection or a sender that drips bytes.
SILENCE_TIMEOUT = 5.0  # seconds
SWEEP_INTERVAL = 1.0  # seconds
CLOSE_TIMEOUT = 5.0  # seconds
REJECTION_LOG_INTERVAL = 1.0  # seconds between two logged rejections
# Encoded size from which a configuration batch is split, bytes.
CONFIG_CHUNK_BYTES = 256 << 10
# Bytes that a record adds to its key and value at most.
_MAX_RECORD_OVERHEAD = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what other nodes may use.

    Attributes:
        max_conns: Streams of authenticated nodes at the same time.
        max_handshakes: Streams in their handshake. One more ends the
            oldest of them: a node's own handshake takes milliseconds,
            so that silent connections go first and cannot keep the
            nodes out.
        max_requests: Requests in progress on one stream.
    """

    max_conns: int = 4096
    max_handshakes: int = 256
    max_requests: int = 4096


async def _decline_group(query):
    declined = core.Declined(core.NotRunReason.NO_CONFIGURATION, 0.0)
    return core.GroupAnswer(declined, 0.0)


def _ignore_reports(dc, reports):
    """Ends of replicas are judged by their owners."""


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What the streams of other nodes call.

    Attributes:
        run_sub: Runs a relayed sub-request; cancelled when the other
            node cancels or its stream breaks.
        on_gossip: Takes a message of the membership.
        on_config: Takes configuration records and the data centre of
            the node that pushed them.
        read_config: Records newer than a revision, as much as fits a
            message; None without a whole configuration.
        on_suspect: Takes the record of a suspected request.
        on_reports: Takes reports of ended replicas, each with its second,
            and the data centre of the node that sent them.
        run_group: Asks a group of shards; cancelled like ``run_sub``.
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


@dataclasses.dataclass(slots=True)
class Server:
    """State of the listener.

    Attributes:
        conns: Task of each accepted stream.
        handshakes: Those in their handshake, the oldest first.
        authenticated_count: Streams after their handshake.
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
    """Starts to accept streams of other nodes.

    Args:
        address: Where to listen; port 0 takes a free one.
        identity: This process.
        handlers: What the streams call.
        limits: Bounds.

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
    """Stops accepting, answers what was asked, closes all streams.

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

    Only the last batch states what is complete, since the receiver has
    everything up to that revision only then.

    Args:
        batch: Records.

    Returns:
        At least one batch.
    """
    chunks, size = [[]], 0
    for record in batch.records:
        length = len(record.key.encode()) + len(record.value.encode())
        length += _MAX_RECORD_OVERHEAD
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
    except Exception as exc:  # keeps an error on one stream to that stream
        telemetry.log(
            telemetry.Event.INTERNAL_ERROR, task='stream', error=repr(exc)
        )
    finally:
        streams.close(stream, is_abort=True)
        server.handshakes.pop(stream, None)
        del server.conns[stream]


async def _serve_stream(server, stream, hello):
    """Serves an authenticated node; returns what was wrong with its stream."""
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
        return None, f'no hello: {type(exc).__name__}'
    if not isinstance(hello, messages.Hello):
        return None, f'no hello: {str(hello)[:100]}'
    if not streams.is_mac_valid(identity, 'connector', hello, nonce):
        return None, 'wrong cluster key'
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
            _send(stream, messages.Pong(message.seq, time.time()))
        case messages.Sync():
            batch = handlers.read_config(message.complete_to)
            _send(stream, messages.Conf(message.seq, batch))
        case messages.Conf(batch=core.ConfigBatch()):
            handlers.on_config(dc, message.batch)
        case messages.Suspect():
            handlers.on_suspect(message.record)
        case messages.Reports():
            handlers.on_reports(dc, message.reports)
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
    except Exception as exc:  # the waiting node needs an answer all the same
        telemetry.log(
            telemetry.Event.INTERNAL_ERROR, task='group', error=repr(exc)
        )
        failed = core.Unanswered(core.FailureReason.INTERNAL_ERROR)
        answer = core.GroupAnswer(failed, 0.0)
    if tasks.get(gather.seq) is asyncio.current_task():
        del tasks[gather.seq]
        _send(stream, messages.Group(gather.seq, answer))


async def _run_call(server, stream, tasks, call):
    try:
        reply = await server.handlers.run_sub(call.replica_id, call.sub)
    except Exception as exc:  # the waiting node needs a reply all the same
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
        # The peer does not read its replies; it will see them as lost.
        streams.close(stream, is_abort=True)


async def _sweep(server):
    last_sweep = time.monotonic()
    while True:
        await asyncio.sleep(SWEEP_INTERVAL)
        now = time.monotonic()
        # After a pause of this process the frames of the meantime are
        # not read yet, and silence proves nothing.
        was_paused = now - last_sweep > 2 * SWEEP_INTERVAL
        last_sweep = now
        for stream in list(server.conns):
            if now - stream.last_received > SILENCE_TIMEOUT and not was_paused:
                _log_rejection(server, 'no whole frame in time')
                streams.close(stream, is_abort=True)


def _log_rejection(server, detail):
    # Hostile input must not fill the log.
    now = time.monotonic()
    if now >= server.next_log_at:
        server.next_log_at = now + REJECTION_LOG_INTERVAL
        with contextlib.suppress(ValueError):
            telemetry.log(telemetry.Event.STREAM_REJECTED, error=detail)
