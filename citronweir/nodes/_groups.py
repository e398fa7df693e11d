"""Encodes and decodes queries for groups of shards and their answers."""

from citronweir import core
from citronweir.nodes import _messages as messages
from citronweir.nodes import _records as records

_GATHERED = 0
_DECLINED = 1
_UNANSWERED = 2
# Enum members are encoded as positions in these tuples. Append only: an
# older node rejects a position that it does not know.
_NOT_RUN_REASONS = (
    core.NotRunReason.OVERLOADED,
    core.NotRunReason.NO_CONFIGURATION,
    core.NotRunReason.NO_REPLICA,
    core.NotRunReason.DEADLINE_TOO_SHORT,
    core.NotRunReason.DEADLINE_PASSED,
    core.NotRunReason.STOPPING,
    core.NotRunReason.SHED,
    core.NotRunReason.UNREACHABLE,
    core.NotRunReason.QUEUE_FULL,
    core.NotRunReason.MISDIRECTED,
    core.NotRunReason.CANCELLED,
    core.NotRunReason.QUARANTINED,
    core.NotRunReason.LEAVING,
    core.NotRunReason.PAUSED,
    core.NotRunReason.KEY_WITHDRAWN,
    core.NotRunReason.UNCONFIRMED,
    core.NotRunReason.OVER_QUOTA,
)
_FAILURE_REASONS = (
    core.FailureReason.DEADLINE_PASSED,
    core.FailureReason.NO_COVERAGE,
    core.FailureReason.UPSTREAM_ERROR,
    core.FailureReason.INTERNAL_ERROR,
)


def encode_gather(message: messages.Gather, now: float) -> dict:
    """Encodes a query, with its times as remaining seconds."""
    query = message.query
    req = query.req
    return {
        's': message.seq,
        'v': query.version,
        'r': query.route,
        'x': list(query.shard_positions),
        'id': req.request_id,
        'q': [req.method, req.host, req.target],
        'h': [list(pair) for pair in req.headers],
        'b': req.body,
        'c': req.caller,
        'k': _encode_identity(req.identity),
        'n': req.arrival,
        'due': max(0.0, query.due - now),
        'left': max(0.0, query.deadline - now),
        'z': message.accepts_packed,
    }


def decode_gather(fields: dict, now: float) -> messages.Gather:
    """Decodes a query.

    Raises:
        KeyError: A field is missing.
        RecordError: A field has the wrong type.
        ValueError: An array has the wrong length.
    """
    method, host, target, *_ = map(
        records.check_str, records.check_list(fields['q'])
    )
    left = records.check_nonnegative(fields['left'])
    headers = tuple(
        _decode_header(item) for item in records.check_list(fields['h'])
    )
    req = core.HttpRequest(
        core.RequestId(records.check_str(fields['id'])),
        method,
        host,
        target,
        headers,
        records.check_bytes(fields['b']),
        left,
        core.CallerId(records.check_str(fields.get('c', ''))),
        identity=_decode_identity(fields.get('k')),
        arrival=core.ArrivalId(records.check_uint(fields.get('n', 0))),
    )
    query = core.GroupQuery(
        records.check_uint(fields['v']),
        core.RouteName(records.check_str(fields['r'])),
        tuple(map(records.check_uint, records.check_list(fields['x']))),
        req,
        now + records.check_nonnegative(fields['due']),
        now + left,
    )
    return messages.Gather(
        records.check_uint(fields['s']),
        query,
        records.check_bool(fields.get('z', False)),
    )


def encode_group(message: messages.Group, now: float) -> dict:
    """Encodes an answer."""
    answer = message.answer
    return {
        's': message.seq,
        'o': _encode_outcome(answer.outcome, message.is_packed),
        'lat': answer.seconds,
        'a': list(answer.missing_positions),
    }


def decode_group(fields: dict, now: float) -> messages.Group:
    """Decodes an answer; raises the same errors as ``decode_gather``."""
    answer = core.GroupAnswer(
        _decode_outcome(records.check_list(fields['o'])),
        records.check_nonnegative(fields['lat']),
        tuple(
            map(records.check_uint, records.check_list(fields.get('a', [])))
        ),
    )
    return messages.Group(records.check_uint(fields['s']), answer)


def _encode_identity(identity):
    return None if identity is None else [identity.tenant, identity.digest]


def _decode_identity(value):
    if value is None:
        return None
    tenant, digest, *_ = records.check_list(value)
    return core.Identity(
        core.TenantName(records.check_str(tenant)),
        core.KeyDigest(records.check_str(digest)),
    )


def _decode_header(item):
    name, value, *_ = records.check_list(item)
    return records.check_str(name), records.check_str(value)


def _encode_outcome(outcome, is_packed):
    match outcome:
        case core.Gathered(body, signatures, missing):
            # Signatures are most of the bytes that an answer takes between
            # regions.
            packed = list(signatures)
            if is_packed:
                packed = records.pack_texts(signatures)
            return [_GATHERED, body, packed, missing]
        case core.Declined(reason, retry_after):
            position = (
                _NOT_RUN_REASONS.index(reason)
                if reason in _NOT_RUN_REASONS
                else 0
            )
            return [_DECLINED, position, retry_after]
        case core.Unanswered(reason):
            position = (
                _FAILURE_REASONS.index(reason)
                if reason in _FAILURE_REASONS
                else 0
            )
            return [_UNANSWERED, position]


def _decode_outcome(fields):
    kind, *rest = fields
    match records.check_uint(kind):
        case 0:
            body, signatures, missing, *_ = rest
            return core.Gathered(
                records.check_bytes(body),
                records.unpack_texts(signatures),
                records.check_uint(missing),
            )
        case 1:
            position, retry_after, *_ = rest
            return core.Declined(
                records.decode_enum(_NOT_RUN_REASONS, position),
                records.check_nonnegative(retry_after),
            )
        case 2:
            return core.Unanswered(
                records.decode_enum(_FAILURE_REASONS, rest[0])
            )
    raise records.RecordError('unknown outcome')
