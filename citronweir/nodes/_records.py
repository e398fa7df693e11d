"""Encodes core records as positional msgpack arrays and decodes them.

Arrays take about a third of the bytes of maps with named keys. New
fields are appended, and a decoder ignores trailing elements that it
does not know.
"""

from collections import abc
import functools
import ipaddress
import math
import zlib

import msgpack

from citronweir import core

# Configuration records are JSON with the same names in each, and every change
# is sent to all nodes, so batches of at least this size are compressed.
COMPRESSION_THRESHOLD_BYTES = 512
COMPRESSION_LEVEL = 1  # the fastest one
# Largest decompressed size accepted from one frame, bytes.
MAX_UNPACKED_BYTES = 4 << 20
# Number of encoded batches cached, since a watcher sends each to many nodes.
PACK_CACHE_SIZE = 2

# Enum members are encoded as positions in these tuples. Append only: an
# older node rejects a position that it does not know.
RANKS = (core.Rank.URGENT, core.Rank.ORDINARY, core.Rank.DEFERRABLE)
_MEMBER_STATES = (
    core.MemberState.ALIVE,
    core.MemberState.SUSPECT,
    core.MemberState.LEAVING,
    core.MemberState.DEAD,
)
_REPLICA_STATES = (
    core.ReplicaState.WARMING,
    core.ReplicaState.READY,
    core.ReplicaState.DRAINING,
    core.ReplicaState.FAILED,
)
SUSPECT_STATES = (
    core.SuspectState.CLEARED,
    core.SuspectState.SUSPECT,
    core.SuspectState.CONVICTED,
)
_MEMBER_KIND = 0
_REPLICA_KIND = 1
_MAX_INT = 1 << 63


class RecordError(Exception):
    """A value of the wrong type or out of range."""


def check_str(value: object) -> str:
    """Checks that a value is a string."""
    if type(value) is not str:
        raise RecordError('not a string')
    return value


def check_uint(value: object) -> int:
    """Checks that a value is a non-negative 63-bit integer."""
    if type(value) is not int or not 0 <= value < _MAX_INT:
        raise RecordError('not a non-negative integer')
    return value


def check_nonnegative(value: object) -> float:
    """Checks that a value is a finite, non-negative number."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise RecordError('not a finite number')
    if value < 0:
        raise RecordError('negative')
    return float(value)


def check_finite(value: object) -> float:
    """Checks that a value is a finite number of either sign."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise RecordError('not a finite number')
    return float(value)


def check_bool(value: object) -> bool:
    """Checks that a value is a boolean."""
    if type(value) is not bool:
        raise RecordError('not a boolean')
    return value


def check_bytes(value: object) -> bytes:
    """Checks that a value is a byte string."""
    if type(value) is not bytes:
        raise RecordError('not bytes')
    return value


def check_list(value: object) -> list:
    """Checks that a value is an array."""
    if type(value) is not list:
        raise RecordError('not an array')
    return value


def decode_enum(choices: tuple, value: object) -> object:
    """Returns the enum member at a position."""
    position = check_uint(value)
    if position >= len(choices):
        raise RecordError('unknown enum position')
    return choices[position]


def encode_update(update: core.Update) -> list:
    """Encodes a record that is spread by gossip."""
    match update:
        case core.Member():
            return [_MEMBER_KIND, *encode_member(update)]
        case core.Replica():
            return [_REPLICA_KIND, *_encode_replica(update)]


def decode_update(value: object) -> core.Update | None:
    """Decodes a record that is spread by gossip.

    Args:
        value: Array as received.

    Returns:
        The record, or None for a kind added by a later version.

    Raises:
        RecordError: The array is malformed.
    """
    kind, *fields = check_list(value)
    match check_uint(kind):
        case 0:
            return decode_member(fields)
        case 1:
            return _decode_replica(fields)
    return None


def encode_member(member: core.Member) -> list:
    """Encodes a member."""
    return [
        member.node_id,
        member.address.host,
        member.address.port,
        member.dc,
        _MEMBER_STATES.index(member.state),
        member.incarnation,
    ]


def decode_member(value: object) -> core.Member:
    """Decodes a member; raises RecordError if it is malformed."""
    node_id, host, port, dc, state, incarnation, *_ = check_list(value)
    return core.Member(
        core.NodeId(check_str(node_id)),
        _decode_address(host, port),
        core.DataCentre(check_str(dc)),
        decode_enum(_MEMBER_STATES, state),
        core.Incarnation(check_uint(incarnation)),
    )


def encode_outcome(outcome: core.SubOutcome) -> list:
    """Encodes the outcome of a sub-request."""
    match outcome:
        case core.SubAnswer():
            return [
                'answer',
                outcome.snapshot,
                outcome.key_range.lo,
                outcome.key_range.hi,
                outcome.docs_searched,
                outcome.docs,
                outcome.total_docs,
                [[hit.doc_id, hit.score, hit.text] for hit in outcome.hits],
            ]
        case core.SubDone():
            return ['done', outcome.result]
        case core.SubNotRun():
            return ['not_run', outcome.reason.value]
        case core.SubGone():
            return ['gone']
        case core.SubUnknown():
            return ['unknown', outcome.reason.value]
        case core.SubFailed():
            return ['failed', outcome.detail]


def decode_outcome(value: object) -> core.SubOutcome:
    """Decodes the outcome of a sub-request.

    An outcome added by a later version becomes SubUnknown, since the
    request may have run.

    Args:
        value: Array as received.

    Returns:
        The outcome.

    Raises:
        RecordError: The array is malformed.
    """
    match check_list(value):
        case ['answer', *fields]:
            return _decode_answer(fields)
        case ['done', result, *_]:
            return core.SubDone(check_str(result))
        case ['not_run', reason, *_]:
            # The request did not run, even if the reason is unknown to this
            # version.
            return core.SubNotRun(
                _to_enum(
                    core.NotRunReason, reason, core.NotRunReason.OVERLOADED
                )
            )
        case ['gone', *_]:
            return core.SubGone()
        case ['unknown', reason, *_]:
            return core.SubUnknown(
                _to_enum(
                    core.UnknownReason, reason, core.UnknownReason.REPLY_LOST
                )
            )
        case ['failed', detail, *_]:
            return core.SubFailed(check_str(detail))
        case [str(), *_]:
            return core.SubUnknown(core.UnknownReason.REPLY_LOST)
    raise RecordError('not an outcome')


def decode_config(value: object) -> core.ConfigRecord:
    """Decodes a configuration record; raises RecordError."""
    key, json_text, revision, *_ = check_list(value)
    return core.ConfigRecord(
        core.ConfigKey(check_str(key)),
        check_str(json_text),
        core.Revision(check_uint(revision)),
    )


def pack_configs(config_records: tuple[core.ConfigRecord, ...]) -> object:
    """Packs configuration records and compresses large batches."""
    return _pack_configs(
        tuple((item.key, item.value, item.revision) for item in config_records)
    )


@functools.lru_cache(maxsize=PACK_CACHE_SIZE)
def _pack_configs(fields):
    packed = msgpack.packb(fields)
    if len(packed) < COMPRESSION_THRESHOLD_BYTES:
        return fields
    return zlib.compress(packed, COMPRESSION_LEVEL)


def unpack_configs(value: object) -> tuple[core.ConfigRecord, ...]:
    """Unpacks configuration records; raises RecordError."""
    if type(value) is bytes:
        value = _decompress(value)
    return tuple(map(decode_config, check_list(value)))


def pack_texts(texts: abc.Collection[str]) -> object:
    """Packs texts and compresses them if that makes them shorter."""
    packed = msgpack.packb(list(texts))
    compressed = zlib.compress(packed, COMPRESSION_LEVEL)
    return compressed if len(compressed) < len(packed) else list(texts)


def unpack_texts(value: object) -> tuple[str, ...]:
    """Unpacks texts; raises RecordError."""
    if type(value) is bytes:
        value = _decompress(value)
    return tuple(map(check_str, check_list(value)))


def _decompress(value):
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(value, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise RecordError('invalid compressed data') from exc
    if not decompressor.eof:
        raise RecordError('compressed data truncated or too large')
    return msgpack.unpackb(packed)


def _encode_replica(replica):
    return [
        replica.replica_id,
        replica.address.host,
        replica.address.port,
        _REPLICA_STATES.index(replica.state),
        replica.epoch,
        replica.version,
        replica.slots,
        replica.max_conns,
        [
            [
                holding.index,
                holding.snapshot,
                holding.key_range.lo,
                holding.key_range.hi,
                holding.docs,
                holding.total_docs,
            ]
            for holding in replica.holdings
        ],
    ]


def _decode_replica(value):
    replica_id, host, port, state, epoch, version, *more = value
    slots, max_conns, holdings, *_ = more
    return core.Replica(
        core.ReplicaId(check_str(replica_id)),
        _decode_address(host, port),
        decode_enum(_REPLICA_STATES, state),
        tuple(_decode_holding(holding) for holding in check_list(holdings)),
        core.Epoch(check_uint(epoch)),
        check_uint(version),
        check_uint(slots),
        check_uint(max_conns),
    )


def _decode_holding(value):
    index, snapshot, lo, hi, docs, total_docs, *_ = check_list(value)
    return core.Holding(
        core.IndexName(check_str(index)),
        core.SnapshotId(check_uint(snapshot)),
        _decode_range(lo, hi),
        check_uint(docs),
        check_uint(total_docs),
    )


def _decode_answer(fields):
    snapshot, lo, hi, searched, docs, total_docs, hits, *_ = fields
    return core.SubAnswer(
        core.SnapshotId(check_uint(snapshot)),
        _decode_range(lo, hi),
        check_uint(searched),
        check_uint(docs),
        check_uint(total_docs),
        tuple(_decode_hit(hit) for hit in check_list(hits)),
    )


def _decode_hit(value):
    doc_id, score, body, *_ = check_list(value)
    return core.Hit(check_str(doc_id), check_finite(score), check_str(body))


def _decode_range(lo, hi):
    if not check_uint(lo) < check_uint(hi) <= core.KEY_SPACE_END:
        raise RecordError('not a key range')
    return core.KeyRange(lo, hi)


def _decode_address(host, port):
    if not 0 < check_uint(port) < 65536:
        raise RecordError('not a port number')
    return core.Address(_check_ip(check_str(host)), port)


@functools.lru_cache(maxsize=16384)
def _check_ip(host):
    # asyncio would resolve a host name on a thread.
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise RecordError('not an IP address') from exc
    return host


def _to_enum(enum_type, value, default):
    try:
        return enum_type(value)
    except ValueError:
        return default
