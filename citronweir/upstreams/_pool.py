"""Pools the connections to each replica, within the replica's limit.

Each connection has its own client session, whose connector holds at most
one connection. aiohttp's shared pool neither tells which connection a
request will use nor closes the idle connections of a single replica.
"""

from collections import abc
import contextlib
import dataclasses

import aiohttp

from citronweir import core

KEEPALIVE_TIMEOUT = 30.0  # seconds
# Share of a replica's connections that is reserved for other nodes, which
# contact it directly while its owner changes.
RESERVE_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class SendProgress:
    """Progress of sending one request, set by aiohttp's trace hooks.

    Attributes:
        is_connected: Whether the request got a connection, so that bytes may
            have been sent.
        is_new: Whether that connection was new.
    """

    is_connected: bool = False
    is_new: bool = False


@dataclasses.dataclass(slots=True)
class ReplicaConns:
    """Connections to one replica.

    Attributes:
        idle: Unused sessions, the last used at the end.
        count: Number of sessions, used and unused.
        is_closed: Whether sessions in use are closed when they are released.
    """

    address: core.Address
    idle: list[aiohttp.ClientSession] = dataclasses.field(default_factory=list)
    count: int = 0
    is_closed: bool = False


@dataclasses.dataclass(slots=True)
class Pools:
    """Connections to all replicas that this node contacts."""

    by_replica: dict[core.ReplicaId, ReplicaConns] = dataclasses.field(
        default_factory=dict
    )


@contextlib.asynccontextmanager
async def open_pools() -> abc.AsyncIterator[Pools]:
    """Opens the pools of a node and closes their connections on exit."""
    pools = Pools()
    try:
        yield pools
    finally:
        for replica_id in list(pools.by_replica):
            await drop_replica(pools, replica_id)


async def drop_replica(pools: Pools, replica_id: core.ReplicaId) -> None:
    """Closes the connections to a replica, those in use on their release."""
    conns = pools.by_replica.pop(replica_id, None)
    if conns is not None:
        conns.is_closed = True
        await close_idle(conns)


def conn_limit(replica: core.Replica) -> int:
    """Returns the maximum number of connections of this node to a replica.

    One of them is reserved for probes, the others serve sub-requests.
    """
    reserve = max(1, int(replica.max_conns * RESERVE_SHARE))
    return max(2, replica.max_conns - reserve)


async def get_conns(pools: Pools, replica: core.Replica) -> ReplicaConns:
    """Returns the connections to a replica at its current address."""
    conns = pools.by_replica.get(replica.replica_id)
    if conns is not None and conns.address != replica.address:
        await drop_replica(pools, replica.replica_id)
        conns = None
    if conns is None:
        conns = ReplicaConns(replica.address)
        pools.by_replica[replica.replica_id] = conns
    return conns


async def acquire(
    conns: ReplicaConns, limit: int, must_be_new: bool
) -> aiohttp.ClientSession | None:
    """Takes a connection for one request.

    Args:
        conns: Connections to the replica.
        limit: Maximum number of connections to the replica.
        must_be_new: Whether an idle connection must not be reused.

    Returns:
        A session to release or discard after use, or None at the limit.
    """
    if conns.idle and not must_be_new:
        return conns.idle.pop()
    if conns.idle and conns.count >= limit:
        await discard(conns, conns.idle.pop(0))
    if conns.count >= limit:
        return None
    conns.count += 1
    return _make_session()


async def release(conns: ReplicaConns, session: aiohttp.ClientSession) -> None:
    """Returns a connection to the pool after a complete reply."""
    if conns.is_closed:
        await discard(conns, session)
    else:
        conns.idle.append(session)


async def discard(conns: ReplicaConns, session: aiohttp.ClientSession) -> None:
    """Closes a connection, which cancels the request on it."""
    try:
        await session.close()
    finally:
        conns.count -= 1


async def close_idle(conns: ReplicaConns) -> None:
    """Closes the idle connections."""
    while conns.idle:
        await discard(conns, conns.idle.pop())


def _make_session():
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_on_created)
    trace.on_connection_reuseconn.append(_on_reused)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=1, keepalive_timeout=KEEPALIVE_TIMEOUT
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[trace],
    )


async def _on_created(session, context, params):
    context.trace_request_ctx.is_connected = True
    context.trace_request_ctx.is_new = True


async def _on_reused(session, context, params):
    context.trace_request_ctx.is_connected = True
