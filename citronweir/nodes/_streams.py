"""Reads and writes frames on a TCP stream and computes handshake MACs.

Small writes dominate the cost of a sub-request, so all frames queued
in one iteration of the event loop go to the socket in a single write.
"""

import asyncio
from collections import abc
import dataclasses
import hashlib
import hmac
import time

from citronweir import core
from citronweir.nodes import _codec as codec
from citronweir.nodes import _messages as messages

# Unsent bytes that are buffered for a peer that does not read.
MAX_BUFFERED_BYTES = 4 << 20
READ_BYTES = 256 << 10
# Largest frame accepted from a peer that is not yet authenticated.
MAX_HANDSHAKE_FRAME_BYTES = 1024
HANDSHAKE_TIMEOUT = 2.0  # seconds, from the connect on
NONCE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this process towards other nodes.

    Attributes:
        incarnation: Wall-clock millisecond of the process start.
        cluster_key: Secret that all nodes share.
    """

    node_id: core.NodeId
    dc: core.DataCentre
    incarnation: core.Incarnation
    cluster_key: bytes


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    """State of one TCP stream.

    Attributes:
        buffer: Received bytes that are not decoded yet.
        outgoing: Frames to write in this iteration of the event loop.
        outgoing_bytes: Total size of ``outgoing``.
        unwritten: Sequence numbers of the requests in ``outgoing``, none
            of which can have reached the peer.
        last_received: Monotonic second of the last complete frame received.
        last_sent: Monotonic second of the last write.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    last_received: float
    last_sent: float
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    outgoing: list[bytes] = dataclasses.field(default_factory=list)
    outgoing_bytes: int = 0
    unwritten: set[int] = dataclasses.field(default_factory=set)
    is_closed: bool = False


def make_stream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Stream:
    """Builds the state of a new stream."""
    now = time.monotonic()
    return Stream(reader, writer, now, now)


def send(stream: Stream, frame: bytes, seq: int | None = None) -> bool:
    """Queues a frame for the write of this event loop iteration.

    Args:
        stream: The stream.
        frame: Encoded frame.
        seq: Sequence number, if the frame is a request.

    Returns:
        False if the frame was not queued, because the stream is closed,
        the frame is too long or the write buffer is full.
    """
    size = len(frame)
    if stream.is_closed or size > codec.MAX_FRAME_BYTES:
        return False
    buffered = stream.writer.transport.get_write_buffer_size()
    if buffered + stream.outgoing_bytes + size > MAX_BUFFERED_BYTES:
        return False
    if not stream.outgoing:
        asyncio.get_running_loop().call_soon(flush, stream)
    stream.outgoing.append(frame)
    stream.outgoing_bytes += size
    if seq is not None:
        stream.unwritten.add(seq)
    return True


def flush(stream: Stream) -> None:
    """Writes the queued frames in a single write."""
    if stream.is_closed or not stream.outgoing:
        return
    frames = b''.join(stream.outgoing)
    stream.outgoing.clear()
    stream.outgoing_bytes = 0
    stream.unwritten.clear()
    stream.last_sent = time.monotonic()
    stream.writer.write(frames)


def close(stream: Stream, *, is_abort: bool = False) -> None:
    """Closes a stream.

    Args:
        stream: The stream.
        is_abort: Whether to drop data that is not sent yet.
    """
    if stream.is_closed:
        return
    if is_abort:
        stream.is_closed = True
        stream.writer.transport.abort()
        return
    flush(stream)
    stream.is_closed = True
    stream.writer.close()


async def read_handshake_message(
    stream: Stream,
) -> messages.Message | messages.Malformed | messages.Ignored:
    """Reads one message of the handshake."""
    while True:
        size = len(stream.buffer)
        if size >= 4:
            length = int.from_bytes(stream.buffer[:4])
            if not 0 < length <= MAX_HANDSHAKE_FRAME_BYTES:
                return messages.Malformed(f'handshake frame of {length} bytes')
            if size >= 4 + length:
                body = bytes(stream.buffer[4 : 4 + length])
                del stream.buffer[: 4 + length]
                return codec.decode(body, time.monotonic())
        data = await stream.reader.read(READ_BYTES)
        if not data:
            return messages.Malformed('connection closed during the handshake')
        stream.buffer += data


async def read_messages(
    stream: Stream, handle: abc.Callable[[messages.Message], None]
) -> messages.Malformed | None:
    """Calls a function for each message until the stream ends.

    Args:
        stream: The stream, after its handshake.
        handle: Called for each message.

    Returns:
        The malformed frame, or None if the stream was closed.
    """
    while not stream.is_closed:
        bodies, error = codec.split_frames(
            stream.buffer, codec.MAX_FRAME_BYTES
        )
        if bodies:
            now = stream.last_received = time.monotonic()
            for body in bodies:
                message = codec.decode(body, now)
                if isinstance(message, messages.Malformed):
                    return message
                if not isinstance(message, messages.Ignored):
                    handle(message)
        if error is not None:
            return error
        try:
            data = await stream.reader.read(READ_BYTES)
        except OSError:
            return None
        if not data:
            return None
        stream.buffer += data
    return None


def make_mac(
    identity: Identity, role: str, node_id: str, incarnation: int, nonce: bytes
) -> bytes:
    """Computes the MAC that proves knowledge of the cluster key.

    Args:
        identity: Holds the cluster key.
        role: Name of the end that sends the MAC. It prevents reflection
            attacks, in which an end receives its own MAC back.
        node_id: Node that sends the MAC.
        incarnation: Incarnation of that node's process.
        nonce: Nonce from the end that verifies the MAC.

    Returns:
        The MAC, 32 bytes.
    """
    text = f'{role}\0{node_id}\0{incarnation}\0'.encode() + nonce
    return hmac.digest(identity.cluster_key, text, hashlib.sha256)


def is_mac_valid(
    identity: Identity,
    role: str,
    message: messages.Hello | messages.Welcome,
    nonce: bytes,
) -> bool:
    """Returns whether the MAC in a message of the other end is valid."""
    expected = make_mac(
        identity, role, message.node_id, message.incarnation, nonce
    )
    return hmac.compare_digest(expected, message.mac)
