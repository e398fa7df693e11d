"""Pools the connections to each replica and queues requests for them.

A replica accepts a limited number of connections from all nodes together,
so each node has a small share of them and queues requests by rank. A
request whose caller has gone may still finish within a short time, which
keeps its connection usable: a new connection costs the replica more than
the rest of the reply.
"""

import asyncio
from collections import abc
import dataclasses
import functools
import math

from citronweir import core
from citronweir.upstreams import _exchange as exchanges

# A connection that is not established within this time counts as failed.
CONNECT_TIMEOUT = 0.5  # seconds
# A process that was paused or delayed finds the timeout expired together with
# the established connection, which asyncio takes some rounds of the event
# loop to hand over.
CONNECT_RESUME_TIME = 0.02  # seconds
# An idle connection is not reused this close to its keep-alive timeout,
# since the replica may close it while the request is in transit.
KEEP_ALIVE_MARGIN = 0.5  # seconds
# Keep-alive timeout of a replica that advertises none.
KEEP_ALIVE_DEFAULT = 30.0  # seconds
# A replica at its connection limit resets a new connection right after it
# was opened. A non-idempotent request is sent on a new connection only after
# this time: once its bytes are sent, it may have run.
SETTLE_DELAY = 0.01  # seconds
# A replica may reset every new connection for seconds: after nodes lost
# power, it still counts the connections of their processes. A new idle
# connection lost within EARLY_RESET_TIME delays the next one with
# exponential backoff.
EARLY_RESET_TIME = 0.1  # seconds
WARM_BACKOFF_MIN = 0.5  # seconds
WARM_BACKOFF_MAX = 4.0  # seconds
MAX_DOUBLINGS = 8
# If the replica process has ended, its other connections are reset within
# this time after the first lost request.
END_CHECK_DELAY = 0.02  # seconds
QUEUE_LIMIT = 64  # queued requests of each rank
# A request whose caller has gone is cancelled after this time.
ABANDON_TIMEOUT = 0.25  # seconds
# Cancelled requests of a replica that may still end it; older ones are no
# longer watched.
MAX_WATCHED = 64
_LOSS_REASONS = {
    exchanges.Loss.BROKEN: core.UnknownReason.CONNECTION_LOST,
    exchanges.Loss.MALFORMED: core.UnknownReason.REPLY_LOST,
}
_RANK_SHARES = {
    core.Rank.URGENT: 0.7,
    core.Rank.ORDINARY: 0.2,
    core.Rank.DEFERRABLE: 0.1,
}


def _find_none():
    return None


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request to one replica.

    Attributes:
        deadline: Monotonic time in seconds at which the request expires.
        encode: Serializes the request, given the seconds until its deadline.
        decode: Converts a complete reply to an outcome.
        is_own_reply: Returns whether the reply with these headers answers
            this request.
        on_outcome: Called once with the outcome.
        is_non_idempotent: Whether the request must not run twice.
        on_replica_ended: Called if the replica process ended while the
            request was in progress.
        find_refusal: Returns why the request must not be sent at this
            moment, or None. It is called right before the request is written.
        channel: Channel that it was submitted to.
        conn: Connection that carries the request, None until it is sent.
        entry: Entry in the queue of the channel, if it was ever queued.
        timer: Expires the request at its deadline.
        is_finished: Whether the request has its outcome.
        watched_until: Monotonic time in seconds until which the replica may
            run the request although this node has closed its connection.
    """

    rank: core.Rank
    deadline: float
    encode: abc.Callable[[float], bytes]
    decode: abc.Callable[[exchanges.RawReply], core.AttemptOutcome]
    is_own_reply: exchanges.IsOwnReply
    on_outcome: abc.Callable[[core.AttemptOutcome], None]
    is_non_idempotent: bool = False
    on_replica_ended: abc.Callable[[], None] | None = None
    find_refusal: abc.Callable[[], core.NotRunReason | None] = _find_none
    channel: 'Channel | None' = None
    conn: exchanges.Connection | None = None
    entry: core.QueueEntry | None = None
    timer: asyncio.TimerHandle | None = None
    is_finished: bool = False
    watched_until: float = -math.inf


@dataclasses.dataclass(slots=True, eq=False)
class Channel:
    """Connections of this node to one replica, and the requests for them.

    Attributes:
        limit: Maximum number of connections.
        queue: Requests that wait for a connection.
        opened: Number of connections that are open or being opened.
        opening: Number of connections that are being opened.
        early_resets: Number of consecutive idle connections that were lost
            within EARLY_RESET_TIME.
        next_warm_at: Monotonic time in seconds before which no connection is
            opened in advance.
        idle: Open connections without a request, last used at the end.
        busy: Connections with a request in progress.
        tasks: Tasks that open connections.
        settling: Non-idempotent requests on a new connection that are sent
            after SETTLE_DELAY.
        is_retired: Whether the replica has moved to another address.
        lost_exchanges: Requests without a reply for which it is not known
            yet whether the replica process has ended.
        watched: Cancelled requests that the replica may still run.
    """

    address: core.Address
    limit: int
    queue: core.RankQueue
    opened: int = 0
    opening: int = 0
    early_resets: int = 0
    next_warm_at: float = 0.0
    idle: list[exchanges.Connection] = dataclasses.field(default_factory=list)
    busy: set[exchanges.Connection] = dataclasses.field(default_factory=set)
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    settling: list[Exchange] = dataclasses.field(default_factory=list)
    is_retired: bool = False
    lost_exchanges: list[Exchange] = dataclasses.field(default_factory=list)
    watched: list[Exchange] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Channels:
    """Channels of this node to all replicas.

    Attributes:
        now: Monotonic clock, in seconds.
        opened_total: Number of connections opened so far.
        buffered: Size of the replies that are being read.
    """

    now: abc.Callable[[], float]
    by_replica: dict[core.ReplicaId, Channel] = dataclasses.field(
        default_factory=dict
    )
    opened_total: int = 0
    buffered: exchanges.BufferedBytes = dataclasses.field(
        default_factory=exchanges.BufferedBytes
    )


def submit(
    channels: Channels,
    replica: core.ListedReplica,
    limit: int,
    exchange: Exchange,
) -> None:
    """Sends a request on an idle connection, or queues it.

    Args:
        channels: Channels of this node.
        replica: Destination.
        limit: Maximum number of connections of this node to the replica.
        exchange: The request; its ``on_outcome`` is called with the outcome.
    """
    channel = exchange.channel = _find_lane(channels, replica, limit)
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
    _finish_expired(expired)
    _open_if_allowed(channels, channel)


def abandon(channels: Channels, exchange: Exchange) -> None:
    """Cancels a request whose caller has gone.

    A request that was not sent is cancelled at once. One in progress is
    cancelled after ABANDON_TIMEOUT, so that a short reply leaves a reusable
    connection.

    Args:
        channels: Channels of this node.
        exchange: The request.
    """
    if exchange.is_finished or cancel_waiting(exchange):
        return
    exchange.timer.cancel()
    exchange.timer = asyncio.get_running_loop().call_later(
        ABANDON_TIMEOUT,
        _expire,
        channels,
        exchange.channel,
        exchange,
        core.UnknownReason.ABANDONED,
    )


def cancel_waiting(exchange: Exchange) -> bool:
    """Cancels a request that was not sent yet.

    Returns:
        Whether it was cancelled; a request in progress continues.
    """
    if exchange.is_finished or exchange.conn is not None:
        return False
    core.cancel(exchange.channel.queue, exchange.entry)
    _finish(exchange, core.NotRun(core.NotRunReason.CANCELLED))
    return True


def reject_queued(
    channels: Channels,
    replica_id: core.ReplicaId,
    reason: core.NotRunReason,
) -> int:
    """Ends the requests that have not been sent to a replica yet.

    Args:
        channels: Channels of this node.
        replica_id: Replica that must not get them.
        reason: Reason that their outcomes state.

    Returns:
        Number of requests ended.
    """
    channel = channels.by_replica.get(replica_id)
    return 0 if channel is None else _reject_unsent(channel, reason)


def warm(channels: Channels, replica: core.ListedReplica, limit: int) -> None:
    """Opens a connection in advance to a replica without one.

    Does nothing during the backoff after early resets.
    """
    channel = _find_lane(channels, replica, limit)
    if not channel.opened and channels.now() >= channel.next_warm_at:
        _open(channels, channel)


def close_unlisted(
    channels: Channels, replicas: abc.Container[core.ReplicaId]
) -> None:
    """Closes the idle connections to replicas that are not in a container."""
    for replica_id, channel in list(channels.by_replica.items()):
        if replica_id in replicas:
            continue
        while channel.idle:
            _discard(channel, channel.idle.pop())
        is_waiting = (
            core.count_waiting(channel.queue) or channel.lost_exchanges
        )
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
    """Returns the number of connections that are open or being opened."""
    return sum(channel.opened for channel in channels.by_replica.values())


def _find_lane(channels, replica, limit):
    channel = channels.by_replica.get(replica.replica_id)
    if channel is None or channel.address != replica.address:
        former, queue = channel, core.make_queue(_RANK_SHARES, QUEUE_LIMIT)
        channel = Channel(replica.address, limit, queue)
        channels.by_replica[replica.replica_id] = channel
        if former is not None:
            _retire(former)
    channel.limit = max(1, limit)
    return channel


def _retire(channel):
    """Ends the use of a channel whose replica is at another address now."""
    channel.is_retired = True
    _reject_unsent(channel, core.NotRunReason.LEAVING)
    while channel.idle:
        _discard(channel, channel.idle.pop())


def _reject_unsent(channel, reason):
    waiting = [entry.item for entry in core.cancel_all(channel.queue)]
    unsent = [
        exchange
        for exchange in (*waiting, *channel.settling)
        if not exchange.is_finished
    ]
    for exchange in unsent:
        _finish(exchange, core.NotRun(reason))
    return len(unsent)


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
    on_idle_loss = functools.partial(_handle_idle_loss, channels, channel)
    conn, is_refused = None, False
    opening = loop.create_task(
        loop.create_connection(
            functools.partial(
                exchanges.Connection, on_idle_loss, channels.buffered
            ),
            channel.address.host,
            channel.address.port,
        )
    )
    try:
        await asyncio.wait((opening,), timeout=CONNECT_TIMEOUT)
        if not opening.done():
            await asyncio.wait((opening,), timeout=CONNECT_RESUME_TIME)
        if opening.done():
            _, conn = opening.result()
    except ConnectionRefusedError:
        is_refused = True
    except OSError:
        pass
    finally:
        opening.cancel()
        channel.opening -= 1
        is_open = conn is not None and not conn.is_closed
        if not is_open:
            channel.opened -= 1
    _finish_end_check(channels, channel, is_refused)
    if is_open:
        conn.idle_since = channels.now()
        _assign_new(channels, channel, conn)
    else:
        _fail_next(channels, channel)


def _assign_new(channels, channel, conn):
    entry, expired = core.dequeue(
        channel.queue, channels.now(), core.select_shares
    )
    _finish_expired(expired)
    if entry is None:
        _keep_idle(channel, conn)
    elif entry.item.is_non_idempotent:
        channel.settling.append(entry.item)
        asyncio.get_running_loop().call_later(
            SETTLE_DELAY,
            _send_after_delay,
            channels,
            channel,
            conn,
            entry.item,
        )
    else:
        _send(channels, channel, conn, entry.item)


def _send_after_delay(channels, channel, conn, exchange):
    channel.settling.remove(exchange)
    if conn.is_closed:
        channel.opened -= 1
        if not exchange.is_finished:
            refused = core.NotRun(core.NotRunReason.UNREACHABLE)
            _finish(exchange, refused)
        _open_if_allowed(channels, channel)
    elif exchange.is_finished:
        _assign_free(channels, channel, conn)
    else:
        _send(channels, channel, conn, exchange)


def _fail_next(channels, channel):
    """Fails the first queued request after a failed connection attempt."""
    if channel.opened > channel.opening:
        return  # another open connection serves the queue
    entry, expired = core.dequeue(
        channel.queue, channels.now(), core.select_shares
    )
    _finish_expired(expired)
    if entry is not None:
        refused = core.NotRun(core.NotRunReason.UNREACHABLE)
        _finish(entry.item, refused)
    _open_if_allowed(channels, channel)


def _handle_idle_loss(channels, channel, conn):
    if conn not in channel.idle:
        return
    channel.idle.remove(conn)
    channel.opened -= 1
    _schedule_end_check(channels, channel, _take_watched(channels, channel))
    now = channels.now()
    if now - conn.idle_since < EARLY_RESET_TIME:
        wait = min(
            WARM_BACKOFF_MAX, WARM_BACKOFF_MIN * 2.0**channel.early_resets
        )
        channel.next_warm_at = now + wait
        channel.early_resets = min(channel.early_resets + 1, MAX_DOUBLINGS)


def _assign_free(channels, channel, conn):
    entry, expired = core.dequeue(
        channel.queue, channels.now(), core.select_shares
    )
    if entry is None:
        _keep_idle(channel, conn)
    else:
        _send(channels, channel, conn, entry.item)
    _finish_expired(expired)


def _keep_idle(channel, conn):
    if channel.is_retired:
        _discard(channel, conn)
    else:
        channel.idle.append(conn)


def _send(channels, channel, conn, exchange):
    refusal = exchange.find_refusal()
    if refusal is not None:
        _finish(exchange, core.NotRun(refusal))
        _assign_free(channels, channel, conn)
        return
    exchange.conn = conn
    channel.busy.add(conn)
    remaining = exchange.deadline - channels.now()
    exchanges.start_exchange(
        conn,
        exchange.encode(remaining),
        exchange.is_own_reply,
        functools.partial(_handle_result, channels, channel, exchange),
    )


def _handle_result(channels, channel, exchange, result):
    conn = exchange.conn
    channel.busy.discard(conn)
    if isinstance(result, exchanges.Loss):
        channel.opened -= 1
        outcome = core.Lost(_LOSS_REASONS[result])
        if result is exchanges.Loss.BROKEN:
            _schedule_end_check(channels, channel, [exchange])
    else:
        outcome = exchange.decode(result)
        _release(channels, channel, conn, result)
    _finish(exchange, outcome)
    _open_if_allowed(channels, channel)


def _release(channels, channel, conn, reply):
    if not reply.is_reusable:
        channel.opened -= 1
        return
    channel.early_resets = 0
    conn.idle_since = channels.now()
    conn.keep_alive = _read_keep_alive(reply.headers.get('keep-alive', ''))
    if channels.by_replica and conn.keep_alive != 0:
        _assign_free(channels, channel, conn)
    else:
        _discard(channel, conn)


def _read_keep_alive(text):
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdigit():
            return float(value)
    return None


def _expire(channels, channel, exchange, reason=core.UnknownReason.TIMEOUT):
    """Ends a request that has expired and closes its connection."""
    if exchange.is_finished:
        return
    if exchange.conn is None:
        core.cancel(channel.queue, exchange.entry)
        _finish(exchange, core.NotRun(core.NotRunReason.DEADLINE_PASSED))
        return
    channel.busy.discard(exchange.conn)
    _discard(channel, exchange.conn)
    exchange.watched_until = exchange.deadline
    _schedule_end_check(channels, channel, [exchange])
    _finish(exchange, core.Lost(reason))
    _open_if_allowed(channels, channel)


def _schedule_end_check(channels, channel, lost):
    """Schedules a check of whether the replica of lost requests has ended.

    A lost reply, a reset by a device on the path and a reset at the
    connection limit all happen while the process runs. Only a refused
    connection, which means that no process listens on the port, shows that
    it has ended.
    """
    lost = [item for item in lost if item.on_replica_ended is not None]
    if not lost:
        return
    is_scheduled = bool(channel.lost_exchanges)
    channel.lost_exchanges += lost
    if not is_scheduled:
        asyncio.get_running_loop().call_later(
            END_CHECK_DELAY, _check_replica_ended, channels, channel
        )


def _check_replica_ended(channels, channel):
    if not channel.lost_exchanges or not channels.by_replica:
        return
    if channel.opened > channel.opening:
        # Another open connection shows that the process still runs.
        _finish_end_check(channels, channel, False)
    elif not channel.opening:
        _open(channels, channel)


def _finish_end_check(channels, channel, has_ended):
    """Reports the end of a replica to its lost requests.

    A replica that still runs may run those that this node has cancelled,
    and end later because of them. The loss of a connection then causes the
    next check.
    """
    lost, channel.lost_exchanges = channel.lost_exchanges, []
    if has_ended:
        for exchange in lost + _take_watched(channels, channel):
            exchange.on_replica_ended()
        return
    channel.watched += lost
    channel.watched = _take_watched(channels, channel)[-MAX_WATCHED:]


def _take_watched(channels, channel):
    """Takes the cancelled requests that the replica may still run."""
    watched, channel.watched = channel.watched, []
    now = channels.now()
    return [item for item in watched if item.watched_until > now]


def _finish_expired(entries):
    for entry in entries:
        late = core.NotRun(core.NotRunReason.DEADLINE_PASSED)
        _finish(entry.item, late)


def _finish(exchange, outcome):
    if exchange.is_finished:
        return
    exchange.is_finished = True
    if exchange.timer is not None:
        exchange.timer.cancel()
    exchange.on_outcome(outcome)
