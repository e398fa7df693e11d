"""Shares the connections to each replica among the requests of a node.

A replica accepts few connections from all nodes together, so a node
queues by rank for the few that are its own. A request that nobody waits
for any more keeps its connection to the end where that is short: a new
connection costs the replica more than the rest of the reply.
"""

import asyncio
from collections import abc
import dataclasses
import functools

from citronweir import core
from citronweir.upstreams import _exchange as exchanges

# A connection that is not open within this time counts as refused.
CONNECT_TIME = 0.5  # seconds
# An idle connection is not used within this time of its end: the replica
# may close it while the request is on its way.
KEEP_ALIVE_MARGIN = 0.5  # seconds
# Keep-alive time of a replica that states none.
KEEP_ALIVE_DEFAULT = 30.0  # seconds
# A replica over its limit resets a connection right after it was opened.
# A request that must not run twice is sent on a new connection only after
# this time: once its bytes are out, it may have run.
SETTLE_TIME = 0.01  # seconds
# A replica may also go on resetting: after a loss of power it counts the
# connections of processes that are gone for seconds. Idle connections are
# then opened again after a time that doubles up to a limit.
RESET_TIME = 0.1  # seconds
WARM_FIRST = 0.5  # seconds
WARM_LIMIT = 4.0  # seconds
MAX_DOUBLINGS = 8
# After a request was lost, the other connections of a process that has ended
# are reset within this time.
CHECK_DELAY = 0.02  # seconds
QUEUE_LIMIT = 64  # waiting requests of each rank
# After the caller has left, a request may run on for this time.
LEAVE_TIME = 0.25  # seconds
_LOSSES = {
    exchanges.Loss.BROKEN: core.UnknownReason.CONNECTION_LOST,
    exchanges.Loss.MALFORMED: core.UnknownReason.REPLY_LOST,
}
_SHARES = {
    core.Rank.URGENT: 0.7,
    core.Rank.ORDINARY: 0.2,
    core.Rank.DEFERRABLE: 0.1,
}


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request to one replica.

    Attributes:
        encode: Renders the request for the seconds that are left.
        decode: Turns a whole reply into an outcome.
        is_own: Tells from a reply's fields whether it is to this request.
        on_end: Takes the outcome, once.
        on_ended: Called if the replica has ended with the request running.
        is_once: Whether the request must not run twice.
        deadline: Monotonic second after which the reply is of no use.
        conn: Connection that carries it, or None while it waits.
    """

    rank: core.Rank
    deadline: float
    encode: abc.Callable[[float], bytes]
    decode: abc.Callable[[exchanges.RawReply], core.AttemptOutcome]
    is_own: exchanges.IsOwn
    on_end: abc.Callable[[core.AttemptOutcome], None]
    is_once: bool = False
    on_replica_ended: abc.Callable[[], None] | None = None
    conn: exchanges.Connection | None = None
    entry: core.QueueEntry | None = None
    timer: asyncio.TimerHandle | None = None
    is_over: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Channel:
    """Connections of this node to one replica.

    Attributes:
        limit: Connections that this node may have.
        opened: Connections that are open or being opened.
        resets: Idle connections in succession that were lost at once.
        warm_at: Monotonic second from which an idle one may be opened.
        unanswered: Lost requests for which it is not known yet whether the
            replica has ended.
    """

    address: core.Address
    limit: int
    queue: core.RankQueue
    opened: int = 0
    opening: int = 0
    resets: int = 0
    warm_at: float = 0.0
    idle: list[exchanges.Connection] = dataclasses.field(default_factory=list)
    busy: set[exchanges.Connection] = dataclasses.field(default_factory=set)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    unanswered: list[Exchange] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Channels:
    """Connections of this node to all replicas.

    Attributes:
        now: Monotonic clock, seconds.
        buffered: Bytes of the replies that are being read.
    """

    now: abc.Callable[[], float]
    by_replica: dict[core.ReplicaId, Channel] = dataclasses.field(
        default_factory=dict
    )
    opened_total: int = 0
    buffered: exchanges.Buffered = dataclasses.field(
        default_factory=exchanges.Buffered
    )


def submit(
    channels: Channels,
    replica: core.ListedReplica,
    limit: int,
    exchange: Exchange,
) -> None:
    """Sends a request as soon as a connection is free.

    Args:
        lanes: Connections of this node.
        replica: Where to send it.
        limit: Connections that this node may have to the replica.
        exchange: The request; its ``on_end`` takes the outcome.
    """
    channel = _find_lane(channels, replica, limit)
    exchange.timer = asyncio.get_running_loop().call_later(
        max(0.0, exchange.deadline - channels.now()),
        _expire,
        channels,
        channel,
        exchange,
    )
    conn = _take_idle(channels, channel)
    if conn is not None:
        _send(channels, channel, conn, exchange)
        return
    exchange.entry = core.QueueEntry(
        exchange.rank, exchange.deadline, exchange
    )
    expired = core.enqueue(channel.queue, exchange.entry, channels.now())
    if expired is None:
        _finish(exchange, core.NotRun(core.NotRunReason.QUEUE_FULL))
        return
    _end_expired(expired)
    _open_if_allowed(channels, channel)


def abandon(
    channels: Channels, lane_of: core.ReplicaId, exchange: Exchange
) -> None:
    """Drops a request whose caller has gone.

    Args:
        lanes: Connections of this node.
        lane_of: Where it was sent.
        exchange: The request; its ``on_end`` is not called any more.
    """
    if exchange.is_over:
        return
    channel = channels.by_replica.get(lane_of)
    exchange.on_end = _ignore
    if exchange.conn is None:
        if channel is not None:
            core.cancel(channel.queue, exchange.entry)
        _finish(exchange, core.NotRun(core.NotRunReason.CANCELLED))
        return
    exchange.timer.cancel()
    exchange.timer = asyncio.get_running_loop().call_later(
        LEAVE_TIME, _expire, channels, channel, exchange
    )


def withdraw(
    channels: Channels, lane_of: core.ReplicaId, exchange: Exchange
) -> bool:
    """Takes back a request that still waits for a connection.

    Returns:
        Whether it was withdrawn; otherwise it runs on to its end.
    """
    channel = channels.by_replica.get(lane_of)
    if exchange.is_over or exchange.conn is not None or channel is None:
        return False
    core.cancel(channel.queue, exchange.entry)
    _finish(exchange, core.NotRun(core.NotRunReason.CANCELLED))
    return True


def warm(channels: Channels, replica: core.ListedReplica, limit: int) -> None:
    """Opens a connection to a replica that has none, unless it resets them."""
    channel = _find_lane(channels, replica, limit)
    if not channel.opened and channels.now() >= channel.warm_at:
        _open(channels, channel)


def close_unlisted(
    channels: Channels, replicas: abc.Container[core.ReplicaId]
) -> None:
    """Closes the idle connections to replicas that are gone."""
    for replica_id, channel in list(channels.by_replica.items()):
        if replica_id in replicas:
            continue
        while channel.idle:
            _discard(channel, channel.idle.pop())
        is_waiting = core.count_waiting(channel.queue) or channel.unanswered
        if not channel.opened and not is_waiting:
            del channels.by_replica[replica_id]


def close_all(channels: Channels) -> None:
    """Closes every connection at once."""
    for channel in channels.by_replica.values():
        for task in channel.tasks:
            task.cancel()
        for conn in (*channel.idle, *channel.busy):
            exchanges.close(conn)
    channels.by_replica.clear()


def count_conns(channels: Channels) -> int:
    """Returns the connections that are open or being opened."""
    return sum(channel.opened for channel in channels.by_replica.values())


def _find_lane(channels, replica, limit):
    channel = channels.by_replica.get(replica.replica_id)
    if channel is None or channel.address != replica.address:
        channel = Channel(
            replica.address, limit, core.make_queue(_SHARES, QUEUE_LIMIT)
        )
        channels.by_replica[replica.replica_id] = channel
    channel.limit = max(1, limit)
    return channel


def _take_idle(channels, channel):
    now = channels.now()
    while channel.idle:
        conn = channel.idle.pop()
        keep_alive = conn.keep_alive or KEEP_ALIVE_DEFAULT
        if now - conn.idle_since < keep_alive - KEEP_ALIVE_MARGIN:
            return conn
        _discard(channel, conn)
    return None


def _discard(channel, conn):
    channel.opened -= 1
    exchanges.close(conn)


def _open_if_allowed(channels, channel):
    if channel.opened < channel.limit and channel.opening < core.count_waiting(
        channel.queue
    ):
        _open(channels, channel)


def _open(channels, channel):
    channel.opened += 1
    channel.opening += 1
    channels.opened_total += 1
    task = asyncio.get_running_loop().create_task(_connect(channels, channel))
    channel.tasks.add(task)
    task.add_done_callback(channel.tasks.discard)


async def _connect(channels, channel):
    loop = asyncio.get_running_loop()
    on_idle_loss = functools.partial(_lose_idle, channels, channel)
    conn, is_refused = None, False
    try:
        async with asyncio.timeout(CONNECT_TIME):
            _, conn = await loop.create_connection(
                functools.partial(
                    exchanges.Connection, on_idle_loss, channels.buffered
                ),
                channel.address.host,
                channel.address.port,
            )
    except ConnectionRefusedError:
        is_refused = True
    except (OSError, TimeoutError):
        pass
    finally:
        channel.opening -= 1
        is_open = conn is not None and not conn.is_closed
        if not is_open:
            channel.opened -= 1
    _settle_check(channel, is_refused)
    if is_open:
        conn.idle_since = channels.now()
        _use_new(channels, channel, conn)
    else:
        _refuse_next(channels, channel)


def _use_new(channels, channel, conn):
    entry, expired = core.dequeue(
        channel.queue, channels.now(), core.select_shares
    )
    _end_expired(expired)
    if entry is None:
        channel.idle.append(conn)
    elif entry.item.is_once:
        asyncio.get_running_loop().call_later(
            SETTLE_TIME, _send_settled, channels, channel, conn, entry.item
        )
    else:
        _send(channels, channel, conn, entry.item)


def _send_settled(channels, channel, conn, exchange):
    if conn.is_closed:
        channel.opened -= 1
        if not exchange.is_over:
            refused = core.NotRun(core.NotRunReason.UNREACHABLE)
            _finish(exchange, refused)
        _open_if_allowed(channels, channel)
    elif exchange.is_over:
        _use_free(channels, channel, conn)
    else:
        _send(channels, channel, conn, exchange)


def _refuse_next(channels, channel):
    """Ends the waiting request that the failed connection was meant for."""
    if channel.opened > channel.opening:
        return  # another connection still serves the queue
    entry, expired = core.dequeue(
        channel.queue, channels.now(), core.select_shares
    )
    _end_expired(expired)
    if entry is not None:
        refused = core.NotRun(core.NotRunReason.UNREACHABLE)
        _finish(entry.item, refused)
    _open_if_allowed(channels, channel)


def _lose_idle(channels, channel, conn):
    if conn not in channel.idle:
        return
    channel.idle.remove(conn)
    channel.opened -= 1
    now = channels.now()
    if now - conn.idle_since < RESET_TIME:
        wait = min(WARM_LIMIT, WARM_FIRST * 2.0**channel.resets)
        channel.warm_at = now + wait
        channel.resets = min(channel.resets + 1, MAX_DOUBLINGS)


def _use_free(channels, channel, conn):
    entry, expired = core.dequeue(
        channel.queue, channels.now(), core.select_shares
    )
    if entry is None:
        channel.idle.append(conn)
    else:
        _send(channels, channel, conn, entry.item)
    _end_expired(expired)


def _send(channels, channel, conn, exchange):
    exchange.conn = conn
    channel.busy.add(conn)
    left = exchange.deadline - channels.now()
    exchanges.start_exchange(
        conn,
        exchange.encode(left),
        exchange.is_own,
        functools.partial(_take_end, channels, channel, exchange),
    )


def _take_end(channels, channel, exchange, result):
    conn = exchange.conn
    channel.busy.discard(conn)
    if isinstance(result, exchanges.Loss):
        channel.opened -= 1
        outcome = core.Lost(_LOSSES[result])
        if result is exchanges.Loss.BROKEN:
            _check_later(channels, channel, exchange)
    else:
        outcome = exchange.decode(result)
        _release(channels, channel, conn, result)
    _finish(exchange, outcome)
    _open_if_allowed(channels, channel)


def _release(channels, channel, conn, reply):
    if not reply.is_reusable:
        channel.opened -= 1
        return
    channel.resets = 0
    conn.idle_since = channels.now()
    conn.keep_alive = _read_keep_alive(reply.headers.get('keep-alive', ''))
    if channels.by_replica and conn.keep_alive != 0:
        _use_free(channels, channel, conn)
    else:
        _discard(channel, conn)


def _read_keep_alive(text):
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdigit():
            return float(value)
    return None


def _expire(channels, channel, exchange):
    """Ends a request whose time is up, with its connection."""
    if exchange.is_over:
        return
    if exchange.conn is None:
        core.cancel(channel.queue, exchange.entry)
        _finish(exchange, core.NotRun(core.NotRunReason.DEADLINE_PASSED))
        return
    channel.busy.discard(exchange.conn)
    _discard(channel, exchange.conn)
    _check_later(channels, channel, exchange)
    _finish(exchange, core.Lost(core.UnknownReason.TIMEOUT))
    _open_if_allowed(channels, channel)


def _check_later(channels, channel, exchange):
    """Finds out whether the replica of a lost request has ended.

    A lost answer, a reset by something in between and a refused connection
    over the limit leave the process running; only a port that nobody listens
    on shows its end.
    """
    if exchange.on_replica_ended is None:
        return
    channel.unanswered.append(exchange)
    if len(channel.unanswered) == 1:
        asyncio.get_running_loop().call_later(
            CHECK_DELAY, _check, channels, channel
        )


def _check(channels, channel):
    if not channel.unanswered or not channels.by_replica:
        return
    if channel.opened > channel.opening:
        channel.unanswered.clear()  # another connection to it is open
    elif not channel.opening:
        _open(channels, channel)


def _settle_check(channel, has_ended):
    lost, channel.unanswered = channel.unanswered, []
    if has_ended:
        for exchange in lost:
            exchange.on_replica_ended()


def _end_expired(entries):
    for entry in entries:
        late = core.NotRun(core.NotRunReason.DEADLINE_PASSED)
        _finish(entry.item, late)


def _finish(exchange, outcome):
    if exchange.is_over:
        return
    exchange.is_over = True
    if exchange.timer is not None:
        exchange.timer.cancel()
    exchange.on_end(outcome)


def _ignore(outcome):
    pass
