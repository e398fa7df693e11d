"""Encodes messages between nodes as frames and decodes them.

A frame is a 4-byte big-endian length and a msgpack map whose key ``t``
names the type. Unknown keys and types are ignored, so that nodes of
different versions can work together.
"""

from collections import abc
import math
import struct

import msgpack

from citronweir import core
from citronweir.nodes import _departures as departures
from citronweir.nodes import _groups as groups
from citronweir.nodes import _messages as messages
from citronweir.nodes import _quotas as quotas
from citronweir.nodes import _records as records
from citronweir.nodes import _reports as reports

MAX_FRAME_BYTES = 1 << 20
_HEADER = struct.Struct('>I')

_DECODE_ERRORS = (
    records.RecordError,
    msgpack.UnpackException,
    KeyError,
    TypeError,
    ValueError,
    RecursionError,
)


def encode(message: messages.Message, now: float) -> bytes:
    """Encodes a message as a frame.

    Args:
        message: The message.
        now: Monotonic second. Deadlines are encoded as the remaining time,
            since the clocks of nodes differ.

    Returns:
        The frame. The caller must check its length.
    """
    kind, encode_fields, _ = _CODECS[type(message)]
    fields = encode_fields(message, now)
    fields['t'] = kind
    body = msgpack.packb(fields)
    return _HEADER.pack(len(body)) + body


def decode(
    raw: bytes | memoryview, now: float
) -> messages.Message | messages.Malformed | messages.Ignored:
    """Decodes the body of a frame.

    Args:
        raw: msgpack map, without the length prefix.
        now: Monotonic second of the receiver.

    Returns:
        The message; Malformed for an invalid body, Ignored for an unknown
        type.
    """
    try:
        fields = msgpack.unpackb(raw)
        if type(fields) is not dict:
            return messages.Malformed('not a map')
        kind = records.check_str(fields['t'])
        decode_fields = _DECODERS.get(kind)
        if decode_fields is None:
            return messages.Ignored(kind[:32])
        return decode_fields(fields, now)
    except _DECODE_ERRORS as exc:
        return messages.Malformed(repr(exc)[:200])


def split_frames(
    buffer: bytearray, limit: int
) -> tuple[list[bytes], messages.Malformed | None]:
    """Removes the complete frames from the front of a buffer.

    Args:
        buffer: Received bytes. An incomplete frame at the end stays.
        limit: Largest accepted body, in bytes.

    Returns:
        The bodies of the frames, and an error if a length is out of range.
    """
    bodies = []
    position = 0
    size = len(buffer)
    error = None
    while size - position >= _HEADER.size:
        (length,) = _HEADER.unpack_from(buffer, position)
        if not 0 < length <= limit:
            error = messages.Malformed(f'frame of {length} bytes')
            break
        end = position + _HEADER.size + length
        if end > size:
            break
        bodies.append(bytes(buffer[position + _HEADER.size : end]))
        position = end
    del buffer[:position]
    return bodies, error


def _encode_call(message, now):
    sub = message.sub
    fields = {
        's': message.seq,
        'r': message.replica_id,
        'id': sub.request_id,
        'x': sub.index,
        'k': records.RANKS.index(sub.rank),
        'left': max(0.0, sub.deadline - now),
        'tp': sub.trace,
    }
    if isinstance(sub, core.SubOrder):
        fields['body'] = sub.body
        return fields
    fields['n'] = sub.snapshot
    fields['lo'] = sub.key_range.lo
    fields['hi'] = sub.key_range.hi
    fields['q'] = sub.query
    fields['l'] = sub.limit
    fields['sus'] = sub.suspect
    return fields


def _decode_call(fields, now):
    request_id = core.RequestId(records.check_str(fields['id']))
    index = core.IndexName(records.check_str(fields['x']))
    rank = records.decode_enum(records.RANKS, fields['k'])
    deadline = now + records.check_nonnegative(fields['left'])
    trace = records.check_str(fields.get('tp', ''))
    if 'body' in fields:
        body = records.check_str(fields['body'])
        sub = core.SubOrder(request_id, index, body, rank, deadline, trace)
    else:
        lo, hi = (
            records.check_uint(fields['lo']),
            records.check_uint(fields['hi']),
        )
        if not lo < hi <= core.KEY_SPACE_END:
            raise records.RecordError('not a key range')
        sub = core.SubSearch(
            request_id,
            index,
            core.SnapshotId(records.check_uint(fields['n'])),
            core.KeyRange(lo, hi),
            records.check_str(fields['q']),
            records.check_uint(fields['l']),
            rank,
            deadline,
            trace,
            records.check_bool(fields.get('sus', False)),
        )
    replica_id = core.ReplicaId(records.check_str(fields['r']))
    return messages.Call(records.check_uint(fields['s']), replica_id, sub)


def _encode_reply(message, now):
    answer = message.answer
    return {
        's': message.seq,
        'o': records.encode_outcome(answer.outcome),
        'lat': answer.latency,
        'svc': answer.service,
        'w': [
            [records.RANKS.index(rank), delay] for rank, delay in answer.delays
        ],
    }


def _decode_reply(fields, now):
    delays = tuple(
        (
            records.decode_enum(records.RANKS, rank),
            records.check_nonnegative(delay),
        )
        for rank, delay, *_ in records.check_list(fields.get('w', []))
    )
    answer = core.OwnerAnswer(
        records.decode_outcome(fields['o']),
        records.check_nonnegative(fields.get('lat', 0.0)),
        delays,
        records.check_nonnegative(fields.get('svc', 0.0)),
    )
    return messages.Reply(records.check_uint(fields['s']), answer)


def _encode_conf(message, now):
    batch = message.batch
    if batch is None:
        return {'s': message.seq}
    return {
        's': message.seq,
        'c': records.pack_configs(batch.records),
        'to': batch.complete_to,
        'from': batch.since,
        # None if the sender has never confirmed its records with the store.
        'age': batch.age if math.isfinite(batch.age) else None,
        'more': batch.more,
        'at': (
            batch.confirmed_boot
            if math.isfinite(batch.confirmed_boot)
            else None
        ),
    }


def _decode_conf(fields, now):
    seq = records.check_uint(fields['s'])
    if 'c' not in fields:
        return messages.Conf(seq, None)
    age, confirmed_boot = fields.get('age'), fields.get('at')
    batch = core.ConfigBatch(
        records.unpack_configs(fields['c']),
        core.Revision(records.check_uint(fields['to'])),
        core.Revision(records.check_uint(fields['from'])),
        math.inf if age is None else records.check_nonnegative(age),
        records.check_bool(fields.get('more', False)),
        -math.inf
        if confirmed_boot is None
        else records.check_finite(confirmed_boot),
    )
    return messages.Conf(seq, batch)


def _encode_pong(message, now):
    return {'s': message.seq, 'at': message.wall, 'bt': message.boot}


def _decode_pong(fields, now):
    return messages.Pong(
        records.check_uint(fields['s']),
        records.check_nonnegative(fields['at']),
        records.check_nonnegative(fields.get('bt', 0.0)),
    )


def _encode_suspect(message, now):
    record = message.record
    return {
        'f': record.fingerprint,
        'st': records.SUSPECT_STATES.index(record.state),
        'at': record.modified_wall,
        'until': record.expiry_wall,
    }


def _decode_suspect(fields, now):
    return messages.Suspect(
        core.Suspicion(
            core.Fingerprint(records.check_str(fields['f'])),
            records.decode_enum(records.SUSPECT_STATES, fields['st']),
            records.check_nonnegative(fields['at']),
            records.check_nonnegative(fields['until']),
        )
    )


def _encode_updates(updates):
    return [records.encode_update(update) for update in updates]


def _decode_updates(value):
    updates = (
        records.decode_update(item) for item in records.check_list(value)
    )
    return tuple(update for update in updates if update is not None)


# Encoding of a message field: attribute, key, encoder, decoder.
_Field = tuple[str, str, abc.Callable, abc.Callable]


def _unchanged(value):
    return value


_VERSION = ('version', 'v', _unchanged, records.check_uint)
_NODE = ('node_id', 'node', _unchanged, records.check_str)
_INCARNATION = ('incarnation', 'inc', _unchanged, records.check_uint)
_DC = ('dc', 'dc', _unchanged, records.check_str)
_MAC = ('mac', 'mac', _unchanged, records.check_bytes)
_NONCE = ('nonce', 'nonce', _unchanged, records.check_bytes)
_SEQ = ('seq', 's', _unchanged, records.check_uint)
_SENDER = ('sender', 'm', records.encode_member, records.decode_member)
_TARGET = ('target', 'tm', records.encode_member, records.decode_member)
_UPDATES = ('updates', 'u', _encode_updates, _decode_updates)
_COMPLETE_TO = ('complete_to', 'to', _unchanged, records.check_uint)
_SUMS = (
    'sums',
    'h',
    list,
    lambda value: tuple(map(records.check_uint, records.check_list(value))),
)
_IS_REPLY = ('is_reply', 'rep', _unchanged, records.check_bool)
_IS_JOIN = ('is_join', 'j', _unchanged, records.check_bool)


def _make_codec(kind, message_type, *fields: _Field):
    """Builds the codec of a message that is encoded field by field."""

    def encode_fields(message, now):
        return {
            key: pack(getattr(message, name)) for name, key, pack, _ in fields
        }

    def decode_fields(values, now):
        return message_type(
            *(unpack(values[key]) for _, key, _, unpack in fields)
        )

    return message_type, (kind, encode_fields, decode_fields)


_CODECS = dict(
    (
        _make_codec('challenge', messages.Challenge, _VERSION, _NONCE),
        _make_codec(
            'hello',
            messages.Hello,
            _VERSION,
            _NODE,
            _INCARNATION,
            _DC,
            _MAC,
            _NONCE,
        ),
        _make_codec(
            'welcome', messages.Welcome, _VERSION, _NODE, _INCARNATION, _MAC
        ),
        _make_codec('ping', messages.Ping, _SEQ),
        (messages.Pong, ('pong', _encode_pong, _decode_pong)),
        _make_codec('bye', messages.Bye),
        _make_codec('cancel', messages.Cancel, _SEQ),
        _make_codec('sync', messages.Sync, _SEQ, _COMPLETE_TO),
        _make_codec('probe', core.Probe, _SEQ, _SENDER, _UPDATES),
        _make_codec(
            'probereq', core.ProbeRequest, _SEQ, _SENDER, _TARGET, _UPDATES
        ),
        _make_codec('ack', core.Ack, _SEQ, _SENDER, _UPDATES),
        _make_codec('leave', core.Leave, _SENDER, _UPDATES),
        _make_codec('join', core.Join, _SENDER),
        _make_codec('table', core.Table, _SENDER, _UPDATES, _IS_JOIN),
        _make_codec('digest', core.Digest, _SENDER, _SUMS, _IS_REPLY),
        (messages.Call, ('sub', _encode_call, _decode_call)),
        (messages.Reply, ('subr', _encode_reply, _decode_reply)),
        (messages.Conf, ('conf', _encode_conf, _decode_conf)),
        (
            messages.Reports,
            ('reports', reports.encode_reports, reports.decode_reports),
        ),
        (
            messages.Departures,
            (
                'departures',
                departures.encode_departures,
                departures.decode_departures,
            ),
        ),
        (messages.Suspect, ('suspect', _encode_suspect, _decode_suspect)),
        (messages.Spend, ('spend', quotas.encode_spend, quotas.decode_spend)),
        (messages.Spent, ('spent', quotas.encode_spent, quotas.decode_spent)),
        (
            messages.Limited,
            ('limited', quotas.encode_limited, quotas.decode_limited),
        ),
        (
            messages.Gather,
            ('gather', groups.encode_gather, groups.decode_gather),
        ),
        (messages.Group, ('group', groups.encode_group, groups.decode_group)),
    )
)
_DECODERS = {kind: unpack for kind, _, unpack in _CODECS.values()}
