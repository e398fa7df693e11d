"""Watches keys of the key-value service over a streamed response.

A connection can stop responding for ever without an error, so a watch
that is silent for too long ends; its caller opens another one.
"""

import asyncio
from collections import abc
import dataclasses
import json

import aiohttp

from citronweir.metastore import _kv as kv
from citronweir.metastore import _limits as limits_

# An event or a progress notification is due within this time.
WATCH_IDLE = 5.0  # seconds
# Several values of the largest size, 1 MB, in base64.
MAX_MESSAGE = 16 << 20  # bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Deletion:
    """Deletion of a key at a revision of the store."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes in the order of their revisions; none is progress only.

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
    limits: limits_.CallLimits | None = None,
    idle: float = WATCH_IDLE,
) -> abc.AsyncIterator[WatchBatch | kv.KvError]:
    """Watches all keys under a prefix.

    Close the iterator (``contextlib.aclosing``) to end the watch early.

    Args:
        session: Client session.
        url: Base URL of the service.
        prefix: Prefix of the keys.
        start_revision: First revision whose changes are of interest.
        limits: Bound on the calls, or None for no bound.
        idle: Seconds without a message after which the watch ends.

    Yields:
        Batches and, as the last item, the error that ended the watch;
        after ``WATCH_COMPACTED`` the prefix must be read anew.
    """
    record = limits.record if limits else _ignore
    if not await kv.acquire(limits.reads if limits else None, 1.0):
        record(limits_.CallKind.WATCH, kv.KvFault.OVER_LIMIT.value)
        yield kv.KvError('over the share of this node', kv.KvFault.OVER_LIMIT)
        return
    resp = await _open(session, url, _encode(prefix, start_revision), idle)
    if isinstance(resp, kv.KvError):
        record(limits_.CallKind.WATCH, resp.fault.value)
        yield resp
        return
    record(limits_.CallKind.WATCH, 'ok')
    try:
        pending = bytearray()
        while True:
            item = await _next_item(resp, pending, idle)
            if isinstance(item, kv.KvError):
                record(limits_.CallKind.WATCH, item.fault.value)
            if item is not None:
                yield item
            if isinstance(item, kv.KvError):
                return
    finally:
        # The rest of the stream is of no use to another call.
        resp.close()


def _ignore(kind, result):
    pass


def _encode(prefix, start_revision):
    return {
        'create_request': {
            'key': kv.encode(prefix),
            'range_end': kv.encode_end(prefix),
            'start_revision': str(start_revision),
            'progress_notify': True,
        }
    }


async def _open(session, url, body, idle):
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=idle)
    try:
        async with asyncio.timeout(idle):
            resp = await session.post(
                f'{url}/v3/watch', json=body, timeout=timeout
            )
    except TimeoutError:
        return kv.KvError('the watch did not open', kv.KvFault.WATCH_SILENT)
    except (aiohttp.ClientError, RuntimeError) as exc:
        return _ended(exc)
    if resp.status != 200:
        resp.close()
        return _ended(f'HTTP status {resp.status}')
    return resp


async def _next_item(resp, pending, idle):
    try:
        async with asyncio.timeout(idle):
            line = await _read_line(resp.content, pending)
    except TimeoutError:
        detail = f'no message from the watch for {idle} s'
        return kv.KvError(detail, kv.KvFault.WATCH_SILENT)
    except aiohttp.ClientError as exc:
        return _ended(exc)
    if line is None:
        return _ended('the stream has ended')
    try:
        return _decode_message(json.loads(line))
    except (AttributeError, IndexError, KeyError, RecursionError) as exc:
        return kv.KvError(repr(exc), kv.KvFault.MALFORMED)
    except (TypeError, ValueError) as exc:
        return kv.KvError(repr(exc), kv.KvFault.MALFORMED)


async def _read_line(content, pending):
    searched = 0
    while (end := pending.find(b'\n', searched)) < 0:
        searched = len(pending)
        chunk = await content.readany()
        if not chunk or searched > MAX_MESSAGE:
            return None
        pending += chunk
    line = bytes(pending[:end])
    del pending[: end + 1]
    return line


def _decode_message(message):
    if 'error' in message:
        return _ended(message['error'])
    result = message['result']
    revision = int(result['header']['revision'])
    if result.get('canceled'):
        oldest = int(result.get('compact_revision', 0))
        if not oldest:
            return _ended(result.get('cancel_reason', 'cancelled'))
        detail = f'changes up to revision {oldest} are gone'
        return kv.KvError(detail, kv.KvFault.WATCH_COMPACTED)
    if result.get('created'):
        return None
    events = result.get('events', ())
    if not events:
        return WatchBatch(revision)
    # The header's revision may be ahead of events that are still to come.
    last = int(events[-1]['kv']['mod_revision'])
    puts = [item['kv'] for item in events if item.get('type') != 'DELETE']
    gone = [item['kv'] for item in events if item.get('type') == 'DELETE']
    return WatchBatch(
        last,
        tuple(kv.decode_pair(item) for item in puts),
        tuple(_decode_deletion(item) for item in gone),
    )


def _decode_deletion(item):
    return Deletion(kv.decode(item['key']), int(item['mod_revision']))


def _ended(cause):
    return kv.KvError(f'watch ended: {cause}', kv.KvFault.WATCH_ENDED)
