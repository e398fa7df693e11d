"""Watches keys of the key-value service over a streamed response.

A connection can stall indefinitely without an error, so a watch that
receives no message within the idle timeout ends with an error. The caller
then opens a new watch.
"""

import asyncio
from collections import abc
import dataclasses
import json

import aiohttp

from citronweir.metastore import _kv as kv
from citronweir.metastore import _limits as call_limits

# The service sends an event or a progress notification within this time.
WATCH_IDLE_TIMEOUT = 5.0  # seconds
# Room for several values of the maximum size, 1 MB, in base64.
MAX_MESSAGE_SIZE = 16 << 20  # bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Deletion:
    """Deletion of a key at a revision of the store."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes in the order of their revisions.

    A batch without changes is a progress notification.

    Attributes:
        revision: Revision up to which every change has been delivered.
        pairs: Keys that were written.
        deletions: Keys that were deleted.
    """

    revision: int
    pairs: tuple[kv.KvPair, ...] = ()
    deletions: tuple[Deletion, ...] = ()


async def watch_prefix(
    session: aiohttp.ClientSession,
    url: str,
    prefix: str,
    start_revision: int,
    *,
    limits: call_limits.CallLimits | None = None,
    idle_timeout: float = WATCH_IDLE_TIMEOUT,
) -> abc.AsyncIterator[WatchBatch | kv.KvError]:
    """Watches all keys under a prefix.

    Close the iterator (``contextlib.aclosing``) to end the watch early.

    Args:
        session: Client session.
        url: Base URL of the service.
        prefix: Prefix of the keys.
        start_revision: First revision whose changes are delivered.
        limits: Rate limits of the calls, or None for no limit.
        idle_timeout: Seconds without a message after which the watch ends.

    Yields:
        Batches and, as the last item, the error that ended the watch.
        After ``WATCH_COMPACTED`` the caller must read the prefix again.
    """
    record = limits.record if limits else _discard_record
    if not await kv.wait_for_tokens(limits.reads if limits else None, 1.0):
        record(call_limits.CallKind.WATCH, kv.KvFault.OVER_LIMIT.value)
        yield kv.KvError(
            'over the rate limit of this node', kv.KvFault.OVER_LIMIT
        )
        return
    resp = await _open(
        session,
        url,
        _encode_create_request(prefix, start_revision),
        idle_timeout,
    )
    if isinstance(resp, kv.KvError):
        record(call_limits.CallKind.WATCH, resp.fault.value)
        yield resp
        return
    record(call_limits.CallKind.WATCH, 'ok')
    try:
        buffer = bytearray()
        while True:
            item = await _next_item(resp, buffer, idle_timeout)
            if isinstance(item, kv.KvError):
                record(call_limits.CallKind.WATCH, item.fault.value)
            if item is not None:
                yield item
            if isinstance(item, kv.KvError):
                return
    finally:
        # An unfinished stream cannot return to the connection pool.
        resp.close()


def _discard_record(kind, result):
    pass


def _encode_create_request(prefix, start_revision):
    return {
        'create_request': {
            'key': kv.encode_base64(prefix),
            'range_end': kv.encode_range_end(prefix),
            'start_revision': str(start_revision),
            'progress_notify': True,
        }
    }


async def _open(session, url, body, idle_timeout):
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=idle_timeout)
    try:
        async with asyncio.timeout(idle_timeout):
            resp = await session.post(
                f'{url}/v3/watch', json=body, timeout=timeout
            )
    except TimeoutError:
        return kv.KvError(
            'timed out while opening the watch', kv.KvFault.WATCH_SILENT
        )
    except (aiohttp.ClientError, RuntimeError) as exc:
        return _end_error(exc)
    if resp.status != 200:
        resp.close()
        return _end_error(f'HTTP status {resp.status}')
    return resp


async def _next_item(resp, buffer, idle_timeout):
    try:
        async with asyncio.timeout(idle_timeout):
            line = await _read_line(resp.content, buffer)
    except TimeoutError:
        detail = f'no message on the watch for {idle_timeout} s'
        return kv.KvError(detail, kv.KvFault.WATCH_SILENT)
    except aiohttp.ClientError as exc:
        return _end_error(exc)
    if line is None:
        return _end_error('end of stream, or message too long')
    try:
        return _decode_message(json.loads(line))
    except (AttributeError, IndexError, KeyError, RecursionError) as exc:
        return kv.KvError(repr(exc), kv.KvFault.MALFORMED)
    except (TypeError, ValueError) as exc:
        return kv.KvError(repr(exc), kv.KvFault.MALFORMED)


async def _read_line(content, buffer):
    searched = 0
    while (end := buffer.find(b'\n', searched)) < 0:
        searched = len(buffer)
        chunk = await content.readany()
        if not chunk or searched > MAX_MESSAGE_SIZE:
            return None
        buffer += chunk
    line = bytes(buffer[:end])
    del buffer[: end + 1]
    return line


def _decode_message(message):
    if 'error' in message:
        return _end_error(message['error'])
    result = message['result']
    revision = int(result['header']['revision'])
    if result.get('canceled'):
        compacted = int(result.get('compact_revision', 0))
        if not compacted:
            return _end_error(result.get('cancel_reason', 'cancelled'))
        detail = f'changes up to revision {compacted} have been compacted'
        return kv.KvError(detail, kv.KvFault.WATCH_COMPACTED)
    if result.get('created'):
        return None
    events = result.get('events', ())
    if not events:
        return WatchBatch(revision)
    # The revision in the header may be ahead of events not yet delivered.
    last = int(events[-1]['kv']['mod_revision'])
    puts = [item['kv'] for item in events if item.get('type') != 'DELETE']
    deletes = [item['kv'] for item in events if item.get('type') == 'DELETE']
    return WatchBatch(
        last,
        tuple(kv.decode_pair(item) for item in puts),
        tuple(_decode_deletion(item) for item in deletes),
    )


def _decode_deletion(item):
    return Deletion(kv.decode_base64(item['key']), int(item['mod_revision']))


def _end_error(cause):
    return kv.KvError(f'watch ended: {cause}', kv.KvFault.WATCH_ENDED)
