"""Keeps one outgoing stream per node address, opened on demand.

A reply is accepted only on the stream that carried its request. Pending
requests are failed when their stream closes, so a node restarted at the
same address cannot answer a request sent to the previous process.
"""

import asyncio
import dataclasses
import enum
import functools
import random
import secrets
import time

from citronweir import core
from citronweir import telemetry
from citronweir.nodes import _codec as codec
from citronweir.nodes import _messages as messages
from citronweir.nodes import _streams as streams

PING_INTERVAL = 1.0  # seconds without traffic in one direction
MAX_MISSED_PINGS = 2
# An idle stream is closed and opened again on demand. Pings on a full mesh
# of 583 nodes would take more than twice the 14 KB/s allowed for control
# traffic.
IDLE_TIMEOUT = 20.0  # seconds
BACKOFF_MIN = 0.1  # seconds
BACKOFF_MAX = 5.0  # seconds
CLOCK_TOLERANCE = 0.5  # seconds
# A clock offset measured over a longer round trip is too inaccurate.
CLOCK_MAX_ROUND_TRIP = 0.25  # seconds
CLOCK_LOG_INTERVAL = 60.0  # seconds


class LinkState(enum.Enum):
    """State of the outgoing stream to an address."""

    CLOSED = 'closed'
    OPENING = 'opening'
    OPEN = 'open'
    BACKOFF = 'backoff'


class CallFailure(enum.Enum):
    """Reason why a request has no reply."""

    NOT_WRITTEN = 'not_written'
    REPLY_LOST = 'reply_lost'
    TIMEOUT = 'timeout'


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """State of the outgoing stream to one address.

    Attributes:
        node_id: Authenticated identity of the node at the other end.
        task: Opens the stream, and then reads it.
        failures: Failed attempts to connect since the last success.
        retry_at: Monotonic second from which a new attempt is allowed.
        seq: Sequence number of the last request.
        pending_replies: Futures of the callers by sequence number.
        queued: Messages to send once the stream is open.
        missed_pings: Pings sent since the last message was received.
        last_used: Monotonic second of the last use, pings excluded.
        pinged_at: Monotonic second of the last ping.
        clocks: Boot clock of the other node in its last pong, and of this
            node on its arrival, in seconds; None before the first pong.
        clock_logged_at: Monotonic second at which a clock difference was
            last logged.
    """

    address: core.Address
    state: LinkState = LinkState.CLOSED
    stream: streams.Stream | None = None
    node_id: core.NodeId = core.NodeId('')
    task: asyncio.Task | None = None
    failures: int = 0
    retry_at: float = 0.0
    seq: int = 0
    pending_replies: dict[int, asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    queued: list[messages.Message] = dataclasses.field(default_factory=list)
    missed_pings: int = 0
    last_used: float = 0.0
    pinged_at: float = 0.0
    clocks: tuple[float, float] | None = None
    clock_logged_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Links:
    """State of all outgoing streams.

    Attributes:
        rng: Source of jitter.
        draining: Links that only wait for pending replies, after a Bye.
    """

    identity: streams.Identity
    rng: random.Random
    by_address: dict[core.Address, Link] = dataclasses.field(
        default_factory=dict
    )
    draining: set[Link] = dataclasses.field(default_factory=set)
    sweep_task: asyncio.Task | None = None
    is_closed: bool = False


def open_links(identity: streams.Identity, rng: random.Random) -> Links:
    """Creates the state of the outgoing streams; opens none yet.

    Args:
        identity: This process.
        rng: Source of jitter.

    Returns:
        State of the outgoing streams.
    """
    links = Links(identity, rng)
    links.sweep_task = asyncio.create_task(_sweep(links))
    return links


def has_received(links: Links, address: core.Address, since: float) -> bool:
    """Returns whether a node has sent anything since a monotonic second."""
    link = links.by_address.get(address)
    return (
        link is not None
        and link.stream is not None
        and link.stream.last_received >= since
    )


def is_open(links: Links, address: core.Address, within: float) -> bool:
    """Returns whether a stream is open and has received data recently.

    Args:
        links: State of the outgoing streams.
        address: Listener of the other node.
        within: Longest time since the last frame received, in seconds.
    """
    link = links.by_address.get(address)
    return (
        link is not None
        and link.state is LinkState.OPEN
        and time.monotonic() - link.stream.last_received <= within
    )


def keep_open(links: Links, address: core.Address) -> None:
    """Opens the stream to a node, or restarts its idle timeout."""
    if not links.is_closed:
        get_link(links, address)


def reset_backoff(links: Links, address: core.Address) -> None:
    """Lets the next use of a link connect without further delay.

    Called when a message from the node shows that it is up again. The
    backoff after failed attempts could otherwise last as long as the
    node takes to start.
    """
    link = links.by_address.get(address)
    if link is not None and link.state is LinkState.BACKOFF:
        link.failures, link.retry_at = 0, 0.0


def count_open(links: Links) -> int:
    """Returns the number of open outgoing streams."""
    return sum(
        link.state is LinkState.OPEN for link in links.by_address.values()
    )


def ping_node(links: Links, address: core.Address) -> None:
    """Sends a ping to a node if a stream to it is open."""
    link = links.by_address.get(address)
    if link is not None and link.stream is not None:
        link.pinged_at = time.monotonic()
        streams.send(link.stream, codec.encode(messages.Ping(0), 0.0))


async def close_links(links: Links) -> None:
    """Closes all outgoing streams after writing their queued frames.

    Args:
        links: State of the outgoing streams.
    """
    links.is_closed = True
    links.sweep_task.cancel()
    all_links = [*links.by_address.values(), *links.draining]
    tasks = [link.task for link in all_links if link.task is not None]
    for link in all_links:
        if link.stream is not None:
            streams.flush(link.stream)
    for task in tasks:
        task.cancel()
    for link in all_links:
        _close_link(link)
    if tasks:
        await asyncio.wait(tasks, timeout=1.0)


def get_link(links: Links, address: core.Address) -> Link:
    """Returns the link to an address; starts to connect it if due."""
    link = links.by_address.get(address)
    if link is None:
        link = links.by_address[address] = Link(address)
    now = time.monotonic()
    link.last_used = now
    if link.state is LinkState.CLOSED or (
        link.state is LinkState.BACKOFF and now >= link.retry_at
    ):
        link.state = LinkState.OPENING
        link.task = asyncio.create_task(_open_link(links, link))
    return link


async def _open_link(links, link):
    detail = await _connect(links, link)
    if detail is None:
        return
    link.failures += 1
    delay = min(BACKOFF_MAX, BACKOFF_MIN * 2 ** min(link.failures, 16))
    link.retry_at = time.monotonic() + delay * links.rng.uniform(0.5, 1.0)
    link.state = LinkState.BACKOFF
    link.task = None
    link.queued.clear()
    telemetry.log(
        telemetry.Event.LINK_FAILED,
        address=f'{link.address.host}:{link.address.port}',
        error=detail,
    )


async def _connect(links, link):
    """Opens the stream; returns the error, or None on success."""
    stream = None
    try:
        async with asyncio.timeout(streams.HANDSHAKE_TIMEOUT):
            reader, writer = await asyncio.open_connection(
                link.address.host, link.address.port, limit=streams.READ_BYTES
            )
            stream = streams.make_stream(reader, writer)
            welcome = await _do_handshake(links.identity, stream)
    except (OSError, TimeoutError, ValueError) as exc:
        welcome = messages.Malformed(repr(exc))
    except asyncio.CancelledError:
        if stream is not None:
            streams.close(stream, is_abort=True)
        raise
    if isinstance(welcome, messages.Malformed):
        if stream is not None:
            streams.close(stream, is_abort=True)
        return welcome.detail
    _activate(links, link, stream, welcome)
    return None


def _activate(links, link, stream, welcome):
    link.state = LinkState.OPEN
    link.stream = stream
    link.node_id = welcome.node_id
    link.failures = link.missed_pings = 0
    now = stream.last_received = time.monotonic()
    link.pending_replies = {}
    for message in link.queued:
        streams.send(stream, codec.encode(message, now))
    link.queued.clear()
    # Measures the clock of the other node before anything depends on it.
    link.clocks, link.pinged_at = None, now
    streams.send(stream, codec.encode(messages.Ping(0), now))
    link.task = asyncio.create_task(_read_stream(links, link, stream))


async def _do_handshake(identity, stream):
    challenge = await streams.read_handshake_message(stream)
    if not isinstance(challenge, messages.Challenge):
        return messages.Malformed(
            f'expected a challenge, got {str(challenge)[:100]}'
        )
    nonce = secrets.token_bytes(streams.NONCE_BYTES)
    mac = streams.make_mac(
        identity,
        'connector',
        identity.node_id,
        identity.incarnation,
        challenge.nonce,
    )
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        identity.node_id,
        identity.incarnation,
        identity.dc,
        mac,
        nonce,
    )
    streams.send(stream, codec.encode(hello, 0.0))
    welcome = await streams.read_handshake_message(stream)
    if not isinstance(welcome, messages.Welcome):
        return messages.Malformed(
            f'expected a welcome, got {str(welcome)[:100]}'
        )
    if not streams.is_mac_valid(identity, 'listener', welcome, nonce):
        return messages.Malformed('cluster key of the listener does not match')
    return welcome


async def _read_stream(links, link, stream):
    handle = functools.partial(_handle, links, link)
    try:
        error = await streams.read_messages(stream, handle)
    finally:
        if link.stream is stream:
            _close_link(link)
        links.draining.discard(link)
    if error is not None:
        telemetry.log(
            telemetry.Event.STREAM_REJECTED,
            error=f'{link.node_id}: {error.detail}',
        )


def _handle(links, link, message):
    link.missed_pings = 0
    match message:
        case (
            messages.Reply()
            | messages.Conf()
            | messages.Group()
            | messages.Spent()
        ) if message.seq:
            future = link.pending_replies.pop(message.seq, None)
            if future is not None and not future.done():
                future.set_result(message)
            close_if_drained(links, link)
        case messages.Bye():
            if links.by_address.get(link.address) is link:
                del links.by_address[link.address]
            links.draining.add(link)
            close_if_drained(links, link)
        case messages.Pong():
            if message.boot:
                boot_now = time.clock_gettime(time.CLOCK_BOOTTIME)
                link.clocks = message.boot, boot_now
            _compare_clocks(link, message.wall)


def close_if_drained(links: Links, link: Link) -> None:
    """Closes a link that received a Bye once no reply is pending."""
    if link in links.draining and not link.pending_replies:
        _close_link(link)


def _close_link(link):
    """Closes the stream of a link and fails its pending requests."""
    stream, link.stream = link.stream, None
    link.task = None
    link.state = LinkState.CLOSED
    pending_replies, link.pending_replies = link.pending_replies, {}
    if stream is None:
        return
    unwritten = set(stream.unwritten)
    streams.close(stream, is_abort=bool(pending_replies))
    for seq, future in pending_replies.items():
        if not future.done():
            is_unwritten = seq in unwritten
            future.set_result(
                CallFailure.NOT_WRITTEN
                if is_unwritten
                else CallFailure.REPLY_LOST
            )


def _compare_clocks(link, wall):
    now = time.monotonic()
    round_trip = now - link.pinged_at
    offset = wall - (time.time() - round_trip / 2)
    if round_trip > CLOCK_MAX_ROUND_TRIP or abs(offset) < CLOCK_TOLERANCE:
        return
    if now - link.clock_logged_at >= CLOCK_LOG_INTERVAL:
        link.clock_logged_at = now
        telemetry.log(
            telemetry.Event.CLOCK_DIFFERS, node=link.node_id, offset=offset
        )


async def _sweep(links):
    while True:
        await asyncio.sleep(PING_INTERVAL * links.rng.uniform(0.9, 1.1))
        now = time.monotonic()
        for address, link in list(links.by_address.items()):
            is_idle = (
                not link.pending_replies
                and now - link.last_used > IDLE_TIMEOUT
            )
            if is_idle and link.state is not LinkState.OPENING:
                _close_link(link)
                del links.by_address[address]
            elif link.state is LinkState.OPEN:
                _ping_or_close(link, now)


def _ping_or_close(link, now):
    stream = link.stream
    if now - min(stream.last_received, stream.last_sent) < PING_INTERVAL:
        return
    if link.missed_pings >= MAX_MISSED_PINGS:
        telemetry.log(telemetry.Event.LINK_SILENT, node=link.node_id)
        _close_link(link)
        return
    link.missed_pings += 1
    link.pinged_at = now
    streams.send(stream, codec.encode(messages.Ping(link.missed_pings), now))
