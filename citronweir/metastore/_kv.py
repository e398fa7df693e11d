"""Client of the key-value service, in the JSON mapping of the etcd v3 API.

The mapping is publicly documented. Supporting a service with a different
API takes only another module with the same functions.
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

from citronweir.metastore import _limits as call_limits

CALL_TIMEOUT = 2.0  # seconds

_GRPC_NOT_FOUND = 5


class KvFault(enum.Enum):
    """Reasons why a call has no usable reply."""

    OVER_LIMIT = 'over_limit'
    UNREACHABLE = 'unreachable'
    LEASE_GONE = 'lease_gone'
    NO_REPLY = 'no_reply'
    MALFORMED = 'malformed'
    WATCH_ENDED = 'watch_ended'
    WATCH_SILENT = 'watch_silent'
    WATCH_COMPACTED = 'watch_compacted'


# Faults after which a write has not taken effect and never will.
_NOT_APPLIED = frozenset(
    (KvFault.OVER_LIMIT, KvFault.UNREACHABLE, KvFault.LEASE_GONE)
)


@dataclasses.dataclass(frozen=True, slots=True)
class KvPair:
    """Key and value with the revision that last modified the key."""

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
        current: Current pair of the key, or None if the key is absent.
    """

    current: KvPair | None


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that was granted or kept alive.

    Attributes:
        ttl: Seconds until the lease expires, counted from the reply.
    """

    lease_id: int
    ttl: float


@dataclasses.dataclass(frozen=True, slots=True)
class KvError:
    """A call without a usable reply.

    A write may still have taken effect; see ``is_not_applied``.
    """

    detail: str
    fault: KvFault = KvFault.NO_REPLY


@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """Request of one call and the decoder of its reply."""

    kind: call_limits.CallKind
    url: str
    body: dict[str, typing.Any]
    decode: abc.Callable[[dict[str, typing.Any]], typing.Any]


def is_not_applied(error: KvError) -> bool:
    """Returns whether a write that failed with this error had no effect.

    False means that the outcome of the write is unknown.
    """
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
    limits: call_limits.CallLimits | None = None,
    timeout: float = CALL_TIMEOUT,
) -> tuple[KvPair | None, int] | KvError:
    """Reads one key.

    Args:
        session: Client session.
        url: Base URL of the service.
        key: Key to read.
        limits: Rate limits of the calls, or None for no limit.
        timeout: Seconds until the call times out.

    Returns:
        The pair, or None if the key is absent, with the store's revision
        at the time of the read; or the error.
    """
    reply = await _read_range(
        session, url, {'key': encode_base64(key)}, limits, timeout
    )
    if isinstance(reply, KvError):
        return reply
    pairs, revision = reply
    return (pairs[0] if pairs else None), revision


async def read_prefix(
    session: aiohttp.ClientSession,
    url: str,
    prefix: str,
    *,
    limits: call_limits.CallLimits | None = None,
    timeout: float = CALL_TIMEOUT,
) -> tuple[list[KvPair], int] | KvError:
    """Reads all pairs under a prefix.

    Args:
        session: Client session.
        url: Base URL of the service.
        prefix: Prefix of the keys.
        limits: Rate limits of the calls, or None for no limit.
        timeout: Seconds until the call times out.

    Returns:
        The pairs with the store's revision at the time of the read, or
        the error.
    """
    body = {
        'key': encode_base64(prefix),
        'range_end': encode_range_end(prefix),
    }
    return await _read_range(session, url, body, limits, timeout)


async def compare_and_set(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    value: str,
    expected: int,
    lease: int = 0,
    *,
    keep_lease: bool = False,
    limits: call_limits.CallLimits | None = None,
    cost: float = 1.0,
    timeout: float = CALL_TIMEOUT,
) -> Applied | Conflict | KvError:
    """Writes a pair if its key is at the expected revision.

    Args:
        session: Client session.
        url: Base URL of the service.
        key: Key to write.
        value: New value.
        expected: Revision of the key, 0 if it must be absent.
        lease: Lease to attach the pair to, 0 for none.
        keep_lease: Whether to keep the lease that the pair already has;
            valid only for an existing key.
        limits: Rate limits of the calls, or None for no limit.
        cost: Tokens that the call takes from the bucket of writes.
        timeout: Seconds until the call times out.

    Returns:
        Whether the write took effect. After an error the outcome is
        unknown, unless ``is_not_applied`` returns True.
    """
    body = _encode_put(key, value, expected, lease, keep_lease)
    call = _Call(
        call_limits.CallKind.TXN, f'{url}/v3/kv/txn', body, _decode_txn
    )
    return await _send(session, call, limits, timeout, cost)


async def grant_lease(
    session: aiohttp.ClientSession,
    url: str,
    ttl: float,
    *,
    limits: call_limits.CallLimits | None = None,
    timeout: float = CALL_TIMEOUT,
) -> Lease | KvError:
    """Grants a lease; the pairs attached to it are deleted when it expires.

    Args:
        session: Client session.
        url: Base URL of the service.
        ttl: Seconds until the lease expires unless it is kept alive.
        limits: Rate limits of the calls, or None for no limit.
        timeout: Seconds until the call times out.

    Returns:
        The lease, or the error. A lease whose reply was lost expires on
        its own.
    """
    body = {'TTL': str(int(ttl)), 'ID': '0'}
    call = _Call(
        call_limits.CallKind.GRANT,
        f'{url}/v3/lease/grant',
        body,
        _decode_lease,
    )
    return await _send(session, call, limits, timeout)


async def wait_for_tokens(
    bucket: call_limits.TokenBucket | None, cost: float
) -> bool:
    """Takes tokens from a bucket, waiting for them if need be.

    Args:
        bucket: Bucket to take from, or None for no limit.
        cost: Tokens to take.

    Returns:
        Whether the call may be made.
    """
    if bucket is None or cost <= 0:
        return True
    wait = call_limits.take_tokens(bucket, time.monotonic(), cost)
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
        decode_base64(item['key']),
        decode_base64(item.get('value', '')),
        int(item['mod_revision']),
    )


def encode_base64(text: str) -> str:
    """Encodes a key or value as base64, as the JSON mapping requires."""
    return base64.b64encode(text.encode()).decode()


def decode_base64(raw: str) -> str:
    """Decodes a key or value.

    Raises:
        ValueError: It is not base64 of UTF-8.
    """
    return base64.b64decode(raw, validate=True).decode()


def encode_range_end(prefix: str) -> str:
    """Encodes the exclusive end of the range of keys under a prefix."""
    raw = prefix.encode()
    end = raw[:-1] + bytes([raw[-1] + 1])
    return base64.b64encode(end).decode()


def _encode_put(key, value, expected, lease, keep_lease):
    raw_key = encode_base64(key)
    put = {'key': raw_key, 'value': encode_base64(value), 'lease': str(lease)}
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


async def _read_range(session, url, body, limits, timeout):
    call = _Call(
        call_limits.CallKind.RANGE, f'{url}/v3/kv/range', body, _decode_range
    )
    return await _send(session, call, limits, timeout)


async def _send(session, call, limits, timeout, cost=1.0):
    if limits is None:
        return _decode_reply(await _post(session, call, timeout), call.decode)
    is_read = call.kind is call_limits.CallKind.RANGE
    if await wait_for_tokens(limits.reads if is_read else limits.writes, cost):
        reply = await _post(session, call, timeout)
        result = _decode_reply(reply, call.decode)
    else:
        detail = 'over the rate limit of this node'
        result = KvError(detail, KvFault.OVER_LIMIT)
    limits.record(call.kind, _result_label(result))
    return result


def _result_label(result):
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
    # A closed session, or a RecursionError from deeply nested JSON.
    except RuntimeError as exc:
        return KvError(f'{type(exc).__name__}: {exc}')
    if not isinstance(reply, dict):
        return KvError('the reply is not a JSON object', KvFault.MALFORMED)
    if resp.status != 200:
        is_lease_gone = reply.get('code') == _GRPC_NOT_FOUND
        fault = KvFault.LEASE_GONE if is_lease_gone else KvFault.NO_REPLY
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
        return KvError('the lease has expired', KvFault.LEASE_GONE)
    return Lease(int(fields['ID']), ttl)
