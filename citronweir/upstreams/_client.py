"""HTTP client for sub-requests to replicas and for their status.

Each call returns a tagged outcome; exceptions of the HTTP library do not
leave this package. A sub-request is reported as not run only if it got no
connection or the replica stated it.
"""

from collections import abc
import dataclasses
import time
import typing

import aiohttp

from citronweir import core
from citronweir.upstreams import _codec as codec
from citronweir.upstreams import _pool as pool

STATUS_TIMEOUT = 1.0  # seconds
# A reused connection that delivers no byte for this share of the remaining
# time is closed, since a connection can stop responding permanently.
IDLE_TIMEOUT_SHARE = 0.25
IDLE_TIMEOUT_MIN = 0.05  # seconds
MAX_REPLY_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class StatusError:
    """Failure to read the status of a replica."""

    detail: str


# Results of a reply with status 200 that is malformed or answers another
# request.
_MALFORMED = (core.SubFailed, core.SubUnknown, StatusError)


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """Request that may be attempted on more than one connection.

    Attributes:
        is_repeatable: Whether it may be sent again after bytes were sent.
        limit: Maximum number of connections to the replica.
        encode: Returns body and headers, given the remaining seconds.
        decode: Returns the value of a complete reply.
    """

    method: str
    path: str
    deadline: float
    is_repeatable: bool
    limit: int
    encode: abc.Callable[[float], tuple[bytes | None, dict[str, str]]]
    decode: abc.Callable[[int, codec.Headers, bytes], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    """Complete reply.

    Attributes:
        is_reusable: Whether the connection may carry another request.
    """

    value: typing.Any
    is_reusable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _NotSent:
    """Failure before any byte of the request was sent."""

    reason: core.NotRunReason


@dataclasses.dataclass(frozen=True, slots=True)
class _Lost:
    """Failure after bytes may have been sent, without a usable reply.

    Attributes:
        is_new: Whether the connection was new.
        is_silent: Whether the idle timeout expired.
        is_broken: Whether the connection was closed or reset.
    """

    is_new: bool
    is_silent: bool = False
    is_broken: bool = False
    detail: str = ''


async def send_search(
    pools: pool.Pools,
    replica: core.Replica,
    sub: core.SubSearch,
    direct: bool = False,
) -> core.SubReport:
    """Sends a sub-search to a replica.

    Args:
        pools: Connections of this node.
        replica: Destination.
        sub: The sub-search.
        direct: Whether another node owns the replica, which limits this
            node to a single connection.

    Returns:
        The replica's answer, or the reason why there is none.
    """
    return await _send(
        pools, replica, sub, direct, '/search', codec.decode_search_reply, True
    )


async def send_order(
    pools: pool.Pools,
    replica: core.Replica,
    sub: core.SubOrder,
    direct: bool = False,
) -> core.SubReport:
    """Sends a non-idempotent sub-request to a replica, at most once.

    It uses a new connection: an idle one may have stopped responding or may
    deliver a late reply, and the request cannot be sent again.

    Args:
        pools: Connections of this node.
        replica: Destination.
        sub: The sub-request.
        direct: Whether another node owns the replica, which limits this
            node to a single connection.

    Returns:
        The replica's result, or whether it certainly did not run.
    """
    return await _send(
        pools,
        replica,
        sub,
        direct,
        '/execute',
        codec.decode_order_reply,
        False,
    )


async def fetch_status(
    pools: pool.Pools, replica: core.Replica
) -> core.Replica | StatusError:
    """Reads the status of a replica.

    Args:
        pools: Connections of this node.
        replica: Current record of the replica.

    Returns:
        The record updated from the reported status, or the error.
    """

    def decode(status, headers, raw):
        if status != 200:
            return StatusError(f'HTTP status {status}')
        try:
            return codec.decode_status(replica, raw)
        except codec.DecodeError as exc:
            return StatusError(str(exc))

    call = _Call(
        'GET',
        '/status',
        time.monotonic() + STATUS_TIMEOUT,
        True,
        pool.conn_limit(replica),
        lambda remaining: (None, {}),
        decode,
    )
    result, _ = await _exchange(pools, replica, call)
    match result:
        case _Reply():
            return result.value
        case _NotSent():
            return StatusError(f'not sent: {result.reason.value}')
    return StatusError(f'no reply: {result.detail}')


async def _send(pools, replica, sub, direct, path, decode, is_repeatable):
    started = time.monotonic()
    limit = 1 if direct else pool.conn_limit(replica) - 1
    call = _Call(
        'POST',
        path,
        sub.deadline,
        is_repeatable,
        limit,
        lambda remaining: (
            codec.encode_sub(sub),
            codec.encode_headers(sub, remaining),
        ),
        lambda status, headers, raw: decode(sub, status, headers, raw),
    )
    result, is_broken = await _exchange(pools, replica, call)
    latency = time.monotonic() - started
    match result:
        case _Reply():
            return core.SubReport(result.value, latency, is_broken)
        case _NotSent():
            unreachable = result.reason is core.NotRunReason.UNREACHABLE
            outcome = core.SubNotRun(result.reason)
            if is_broken:
                outcome = core.SubUnknown(core.UnknownReason.REPLY_LOST)
            return core.SubReport(outcome, latency, is_broken, unreachable)
    return core.SubReport(_to_outcome(result), latency, is_broken)


def _to_outcome(lost):
    if lost.is_broken:
        return core.SubUnknown(core.UnknownReason.REPLY_LOST)
    if lost.detail:
        return core.SubFailed(lost.detail)
    return core.SubUnknown(core.UnknownReason.TIMEOUT)


async def _exchange(pools, replica, call):
    """Sends a call, with one retry on a new connection if it is repeatable.

    The failure of a reused connection says little about the replica; the
    failure of a new one does.

    Returns:
        The last result, and whether a connection broke during the call.
    """
    result = await _attempt(pools, replica, call, not call.is_repeatable)
    if not isinstance(result, _Lost):
        return result, False
    is_stale = result.is_silent or (result.is_broken and not result.is_new)
    if not (call.is_repeatable and is_stale):
        return result, result.is_broken
    conns = await pool.get_conns(pools, replica)
    await pool.close_idle(conns)
    second = await _attempt(pools, replica, call, True)
    if isinstance(second, _NotSent):
        # The call may have run on the first connection. If the second one is
        # refused, the replica has ended, even if the first one only timed out.
        refused = second.reason is core.NotRunReason.UNREACHABLE
        return (second, True) if refused else (result, result.is_broken)
    is_broken = result.is_broken or (
        isinstance(second, _Lost) and second.is_broken
    )
    return second, is_broken


async def _attempt(pools, replica, call, must_be_new):
    remaining = call.deadline - time.monotonic()
    if remaining <= 0:
        return _NotSent(core.NotRunReason.DEADLINE_PASSED)
    conns = await pool.get_conns(pools, replica)
    session = await pool.acquire(conns, call.limit, must_be_new)
    if session is None:
        return _NotSent(core.NotRunReason.OVERLOADED)
    result = None
    try:
        result = await _request(session, replica, call, remaining, must_be_new)
    finally:
        # After an incomplete or malformed reply, late bytes on the connection
        # could be taken for the reply to the next request.
        if isinstance(result, _Reply) and result.is_reusable:
            await pool.release(conns, session)
        else:
            await pool.discard(conns, session)
    return result


async def _request(session, replica, call, remaining, must_be_new):
    idle = max(IDLE_TIMEOUT_MIN, remaining * IDLE_TIMEOUT_SHARE)
    timeout = aiohttp.ClientTimeout(
        total=remaining,
        sock_connect=idle,
        sock_read=None if must_be_new else idle,
    )
    sent = pool.SendProgress()
    body, headers = call.encode(remaining)
    try:
        async with session.request(
            call.method,
            _make_url(replica, call.path),
            data=body,
            headers=headers | {'accept-encoding': 'identity'},
            timeout=timeout,
            # A redirect would run the request on another server.
            allow_redirects=False,
            trace_request_ctx=sent,
        ) as resp:
            raw = await _read_body(resp)
            if raw is None:
                return _Lost(sent.is_new, detail='reply too large')
            if codec.is_reply_to_other(headers, resp.headers):
                return _Lost(sent.is_new, detail='reply to another request')
            value = call.decode(resp.status, resp.headers, raw)
            malformed = resp.status == 200 and isinstance(value, _MALFORMED)
            return _Reply(value, not malformed)
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        return _classify(exc, sent)


def _classify(exc, sent):
    if not sent.is_connected:
        return _NotSent(core.NotRunReason.UNREACHABLE)
    match exc:
        case aiohttp.SocketTimeoutError():
            return _Lost(sent.is_new, is_silent=True)
        case TimeoutError():
            return _Lost(sent.is_new)
        case aiohttp.ClientResponseError() | ValueError():
            return _Lost(sent.is_new, detail=f'malformed reply: {exc!r}')
    return _Lost(sent.is_new, is_broken=True, detail=repr(exc))


async def _read_body(resp):
    """Returns the body, or None if it exceeds MAX_REPLY_BYTES."""
    raw = bytearray()
    async for chunk in resp.content.iter_any():
        raw += chunk
        if len(raw) > MAX_REPLY_BYTES:
            return None
    return bytes(raw)


def _make_url(replica, path):
    return f'http://{replica.address.host}:{replica.address.port}{path}'
