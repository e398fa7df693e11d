"""Encodes the queries for groups of shards and their answers."""

from citronweir import core
from citronweir.nodes import _messages as messages
from citronweir.nodes import _records as records

_GATHERED = 0
_DECLINED = 1
_UNANSWERED = 2
# Enums travel as positions in these tuples. Append only: an older node
# rejects a position that it does not know.
_REASONS = (
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
)
_FAILURES = (
    core.FailureReason.DEADLINE_PASSED,
    core.FailureReason.NO_COVERAGE,
    core.FailureReason.UPSTREAM_ERROR,
    core.FailureReason.INTERNAL_ERROR,
)


def encode_gather(message: messages.Gather, now: float) -> dict:
    """Encodes a query; its times travel as the seconds that are left."""
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
        'due': max(0.0, query.due - now),
        'left': max(0.0, query.deadline - now),
    }


def decode_gather(fields: dict, now: float) -> messages.Gather:
    """Decodes a query.

    Raises:
        KeyError: A field is missing.
        RecordError: A field has a wrong type.
        ValueError: A field has a wrong form.
    """
    method, host, target, *_ = map(records.text, records.items(fields['q']))
    left = records.real(fields['left'])
    headers = tuple(_decode_pair(item) for item in records.items(fields['h']))
    req = core.HttpRequest(
        core.RequestId(records.text(fields['id'])),
        method,
        host,
        target,
        headers,
        records.blob(fields['b']),
        left,
        core.CallerId(records.text(fields.get('c', ''))),
    )
    query = core.GroupQuery(
        records.number(fields['v']),
        core.RouteName(records.text(fields['r'])),
        tuple(map(records.number, records.items(fields['x']))),
        req,
        now + records.real(fields['due']),
        now + left,
    )
    return messages.Gather(records.number(fields['s']), query)


def encode_group(message: messages.Group, now: float) -> dict:
    """Encodes an answer."""
    answer = message.answer
    return {
        's': message.seq,
        'o': _encode_outcome(answer.outcome),
        'lat': answer.seconds,
        'a': list(answer.missing_positions),
    }


def decode_group(fields: dict, now: float) -> messages.Group:
    """Decodes an answer; raises like ``decode_gather``."""
    answer = core.GroupAnswer(
        _decode_outcome(records.items(fields['o'])),
        records.real(fields['lat']),
        tuple(map(records.number, records.items(fields.get('a', [])))),
    )
    return messages.Group(records.number(fields['s']), answer)


def _decode_pair(item):
    name, value, *_ = records.items(item)
    return records.text(name), records.text(value)


def _encode_outcome(outcome):
    match outcome:
        case core.Gathered(body, signatures, missing):
            return [_GATHERED, body, list(signatures), missing]
        case core.Declined(reason, retry_after):
            place = _REASONS.index(reason) if reason in _REASONS else 0
            return [_DECLINED, place, retry_after]
        case core.Unanswered(reason):
            place = _FAILURES.index(reason) if reason in _FAILURES else 0
            return [_UNANSWERED, place]


def _decode_outcome(fields):
    kind, *rest = fields
    match records.number(kind):
        case 0:
            body, signatures, missing, *_ = rest
            return core.Gathered(
                records.blob(body),
                tuple(map(records.text, records.items(signatures))),
                records.number(missing),
            )
        case 1:
            place, retry_after, *_ = rest
            return core.Declined(
                records.pick(_REASONS, place), records.real(retry_after)
            )
        case 2:
            return core.Unanswered(records.pick(_FAILURES, rest[0]))
    raise records.RecordError('unknown outcome')
