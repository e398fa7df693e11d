"""Talks to the key-value service in the JSON mapping of the etcd v3 API.

The mapping is widely published; a service with another one needs only
another module of these functions.
"""

import asyncio
import base64
from collections import abc
import dataclasses
import enum
import json
import time
import typing

import aiohttp

from citronweir.metastore import _limits as limits_

CALL_TIMEOUT = 2.0  # seconds

_GRPC_NOT_FOUND = 5


class KvFault(enum.Enum):
    """Why a call has no usable reply."""

    OVER_LIMIT = 'over_limit'
    UNREACHABLE = 'unreachable'
    LEASE_GONE = 'lease_gone'
    NO_REPLY = 'no_reply'
    MALFORMED = 'malformed'
    WATCH_ENDED = 'watch_ended'
    WATCH_SILENT = 'watch_silent'
    WATCH_COMPACTED = 'watch_compacted'


# With these a write has taken no effect and never will.
_NOT_APPLIED = frozenset(
    (KvFault.OVER_LIMIT, KvFault.UNREACHABLE, KvFault.LEASE_GONE)
)


@dataclasses.dataclass(frozen=True, slots=True)
class KvPair:
    """Key and value at the revision that last changed them."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A conditional write that took effect."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write that did not take effect.

    Attributes:
        current: What the key holds, or None if it is absent.
    """

    current: KvPair | None


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that was granted or kept alive.

    Attributes:
        ttl: Seconds that it lives from the reply.
    """

    lease_id: int
    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class KvError:
    """A call without a usable reply; a write may have taken effect."""

    detail: str
    fault: KvFault = KvFault.NO_REPLY


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """One call and how its reply is read."""

    kind: limits_.CallKind
    url: str
    body: dict[str, typing.Any]
    decode: abc.Callable[[dict[str, typing.Any]], typing.Any]


def is_not_applied(error: KvError) -> bool:
    """Returns whether a write with this error certainly has no effect."""
    return error.fault in _NOT_APPLIED


def make_session() -> aiohttp.ClientSession:
    """Builds the client session for the key-value service."""
    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


async def read_key(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    *,
    limits: limits_.CallLimits | None = None,
    timeout: float = CALL_TIMEOUT,
) -> tuple[KvPair | None, int] | KvError:
    """Reads one key.

    Args:
        session: Client session.
        url: Base URL of the service.
        key: Key to read.
        limits: Bound on the calls, or None for no bound.
        timeout: Seconds until the call is given up.

    Returns:
        The pair, or None if it is absent, and the store's revision of
        the read; or the error.
    """
    reply = await _read(session, url, {'key': encode(key)}, limits, timeout)
    if isinstance(reply, KvError):
        return reply
    pairs, revision = reply
    return (pairs[0] if pairs else None), revision


async def read_prefix(
    session: aiohttp.ClientSession,
    url: str,
    prefix: str,
    *,
    limits: limits_.CallLimits | None = None,
    timeout: float = CALL_TIMEOUT,
) -> tuple[list[KvPair], int] | KvError:
    """Reads all pairs under a prefix.

    Args:
        session: Client session.
        url: Base URL of the service.
        prefix: Prefix of the keys.
        limits: Bound on the calls, or None for no bound.
        timeout: Seconds until the call is given up.

    Returns:
        The pairs and the store's revision of the read, or the error.
    """
    body = {'key': encode(prefix), 'range_end': encode_end(prefix)}
    return await _read(session, url, body, limits, timeout)


async def compare_and_set(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    value: str,
    expected: int,
    lease: int = 0,
    *,
    keep_lease: bool = False,
    limits: limits_.CallLimits | None = None,
    cost: float = 1.0,
    timeout: float = CALL_TIMEOUT,
) -> Applied | Conflict | KvError:
    """Writes a pair if its key is still at the expected revision.

    Args:
        session: Client session.
        url: Base URL of the service.
        key: Key to write.
        value: New value.
        expected: Revision of the key, 0 if it must be absent.
        lease: Lease that the pair ends with, 0 for none.
        keep_lease: Whether the pair stays with the lease that it has;
            for keys that exist.
        limits: Bound on the calls, or None for no bound.
        cost: Writes that are paid for with this one.
        timeout: Seconds until the call is given up.

    Returns:
        Whether the write took effect; after an error it may have, unless
        ``is_not_applied`` says otherwise.
    """
    body = _encode_put(key, value, expected, lease, keep_lease)
    call = _Call(limits_.CallKind.TXN, f'{url}/v3/kv/txn', body, _decode_txn)
    return await _run(session, call, limits, timeout, cost)


async def grant_lease(
    session: aiohttp.ClientSession,
    url: str,
    ttl: float,
    *,
    limits: limits_.CallLimits | None = None,
    timeout: float = CALL_TIMEOUT,
) -> Lease | KvError:
    """Grants a lease; its pairs are deleted when it ends.

    Args:
        session: Client session.
        url: Base URL of the service.
        ttl: Seconds that the lease lives unless it is kept alive.
        limits: Bound on the calls, or None for no bound.
        timeout: Seconds until the call is given up.

    Returns:
        The lease, or the error; a lease without a reply ends by itself.
    """
    body = {'TTL': str(int(ttl)), 'ID': '0'}
    call = _Call(
        limits_.CallKind.GRANT, f'{url}/v3/lease/grant', body, _decode_lease
    )
    return await _run(session, call, limits, timeout)


async def acquire(bucket: limits_.Bucket | None, cost: float) -> bool:
    """Waits until a call is within the bound.

    Args:
        bucket: Bucket to take from, or None for no bound.
        cost: Calls that are paid for.

    Returns:
        Whether the call may be made.
    """
    if bucket is None or cost <= 0:
        return True
    wait = limits_.take(bucket, time.monotonic(), cost)
    if wait:
        await asyncio.sleep(wait)
    return wait is not None


def decode_pair(item: dict[str, typing.Any]) -> KvPair:
    """Decodes one pair of a reply.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has a wrong type.
        ValueError: A field has a wrong value.
    """
    return KvPair(
        decode(item['key']),
        decode(item.get('value', '')),
        int(item['mod_revision']),
    )


def encode(text: str) -> str:
    """Encodes a key or value as the mapping asks for."""
    return base64.b64encode(text.encode()).decode()


def decode(raw: str) -> str:
    """Decodes a key or value.

    Raises:
        ValueError: It is not base64 of UTF-8.
    """
    return base64.b64decode(raw, validate=True).decode()


def encode_end(prefix: str) -> str:
    """Encodes the exclusive end of the keys under a prefix."""
    raw = prefix.encode()
    end = raw[:-1] + bytes([raw[-1] + 1])
    return base64.b64encode(end).decode()


def _encode_put(key, value, expected, lease, keep_lease):
    raw_key = encode(key)
    put = {'key': raw_key, 'value': encode(value), 'lease': str(lease)}
    if keep_lease:
        put |= {'lease': '0', 'ignore_lease': True}
    compare = {
        'key': raw_key,
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expected),
    }
    return {
        'compare': [compare],
        'success': [{'request_put': put}],
        'failure': [{'request_range': {'key': raw_key}}],
    }


async def _read(session, url, body, limits, timeout):
    call = _Call(
        limits_.CallKind.RANGE, f'{url}/v3/kv/range', body, _decode_range
    )
    return await _run(session, call, limits, timeout)


async def _run(session, call, limits, timeout, cost=1.0):
    if limits is None:
        return _decode_reply(await _post(session, call, timeout), call.decode)
    is_read = call.kind is limits_.CallKind.RANGE
    if await acquire(limits.reads if is_read else limits.writes, cost):
        reply = await _post(session, call, timeout)
        result = _decode_reply(reply, call.decode)
    else:
        detail = 'over the share of this node'
        result = KvError(detail, KvFault.OVER_LIMIT)
    limits.record(call.kind, _name_result(result))
    return result


def _name_result(result):
    match result:
        case KvError():
            return result.fault.value
        case Conflict():
            return 'conflict'
    return 'ok'


async def _post(session, call, timeout) -> dict[str, typing.Any] | KvError:
    total = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.post(
            call.url, json=call.body, timeout=total
        ) as resp:
            reply = json.loads(await resp.read())
    except aiohttp.ClientConnectorError as exc:
        return KvError(str(exc), KvFault.UNREACHABLE)
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        return KvError(f'{type(exc).__name__}: {exc}')
    except RuntimeError as exc:  # closed session; JSON nested too deeply
        return KvError(f'{type(exc).__name__}: {exc}')
    if not isinstance(reply, dict):
        return KvError('not an object', KvFault.MALFORMED)
    if resp.status != 200:
        gone = reply.get('code') == _GRPC_NOT_FOUND
        fault = KvFault.LEASE_GONE if gone else KvFault.NO_REPLY
        return KvError(f'HTTP status {resp.status}', fault)
    return reply


def _decode_reply(reply, decode):
    if isinstance(reply, KvError):
        return reply
    try:
        return decode(reply)
    except (AttributeError, IndexError, KeyError) as exc:
        return KvError(f'malformed reply: {exc!r}', KvFault.MALFORMED)
    except (TypeError, ValueError) as exc:
        return KvError(f'malformed reply: {exc!r}', KvFault.MALFORMED)


def _decode_range(reply):
    pairs = [decode_pair(item) for item in reply.get('kvs', ())]
    return pairs, int(reply['header']['revision'])


def _decode_txn(reply):
    if reply.get('succeeded'):
        return Applied(int(reply['header']['revision']))
    pairs = reply['responses'][0]['response_range'].get('kvs', ())
    return Conflict(decode_pair(pairs[0]) if pairs else None)


def _decode_lease(fields):
    ttl = float(fields.get('TTL', 0))
    if ttl <= 0:
        return KvError('the lease has ended', KvFault.LEASE_GONE)
    return Lease(int(fields['ID']), ttl)
