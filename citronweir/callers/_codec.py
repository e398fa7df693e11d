"""Converts between the JSON of callers and the core types.

A malformed request yields an error for each invalid field, so that the
caller can correct them all at once.
"""

import collections
import json
import re
import typing
import uuid

from citronweir import core

MAX_QUERY_CHARS = 4096
MAX_LIMIT = 1000
MAX_BUDGET = 60.0  # seconds
MAX_ID_CHARS = 128
MAX_ERRORS = 20  # keeps the reply to many invalid fields short
# Ids are used in HTTP headers and in keys of the platform's store.
_ID = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')
_ID_TEXT = (
    f'must be 1 to {MAX_ID_CHARS} letters, digits, dots, underscores, '
    'colons or hyphens, the first a letter or digit'
)
_TRACE = re.compile(r'00-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-0[0-3]')
UUID_VERSION = 7

Fields = dict[str, typing.Any]


def decode_search(
    raw: bytes,
) -> tuple[core.SearchRequest | None, list[core.FieldError]]:
    """Decodes the body of ``POST /v1/search``.

    Args:
        raw: Body as received.

    Returns:
        The request, or None with an error for each invalid field.
    """
    fields, errors = _load_fields(raw)
    if fields is None:
        return None, errors
    known = ('contract', 'request_id', 'index', 'query', 'limit')
    errors += _find_unknown_fields(fields, (*known, 'deadline_ms'))
    for name in ('contract', 'request_id', 'index'):
        errors += _check_id(fields, name)
    errors += _check_text(fields, 'query', MAX_QUERY_CHARS)
    errors += _check_budget(fields)
    limit = fields.get('limit', 10)
    if not _is_int(limit) or not 1 <= limit <= MAX_LIMIT:
        errors.append(
            core.FieldError('limit', f'must be from 1 to {MAX_LIMIT}')
        )
    if errors:
        return None, errors
    req = core.SearchRequest(
        core.RequestId(fields['request_id']),
        core.ContractId(fields['contract']),
        core.IndexName(fields['index']),
        fields['query'],
        limit,
        _read_budget(fields),
    )
    return req, []


def decode_order(
    raw: bytes,
) -> tuple[core.OrderRequest | None, list[core.FieldError]]:
    """Decodes the body of ``POST /v1/orders``.

    Args:
        raw: Body as received.

    Returns:
        The request, or None with an error for each invalid field.
    """
    fields, errors = _load_fields(raw)
    if fields is None:
        return None, errors
    known = ('contract', 'request_id', 'index', 'body', 'first_attempt')
    errors += _find_unknown_fields(fields, (*known, 'deadline_ms'))
    is_first = fields.get('first_attempt', False)
    if not isinstance(is_first, bool):
        errors.append(
            core.FieldError('first_attempt', 'must be true or false')
        )
    for name in ('contract', 'index'):
        errors += _check_id(fields, name)
    errors += _check_order_id(fields)
    errors += _check_text(fields, 'body', MAX_QUERY_CHARS)
    errors += _check_budget(fields)
    if errors:
        return None, errors
    req = core.OrderRequest(
        core.RequestId(fields['request_id']),
        core.ContractId(fields['contract']),
        core.IndexName(fields['index']),
        fields['body'],
        _read_budget(fields),
        is_first,
    )
    return req, []


def decode_trace(header: str) -> str:
    """Returns a W3C ``traceparent``, or an empty string if malformed."""
    return header if _TRACE.fullmatch(header) else ''


def encode_outcome(
    request_id: core.RequestId, outcome: core.Outcome
) -> tuple[int, str]:
    """Encodes an outcome.

    Args:
        request_id: Id of the request.
        outcome: Outcome of the request.

    Returns:
        HTTP status and JSON body.
    """
    body: Fields = {'request_id': request_id}
    match outcome:
        case core.Complete():
            status = 200
            body |= {'outcome': 'complete'} | _encode_answer(outcome)
        case core.Executed(result):
            status = 200
            body |= {'outcome': 'complete', 'result': result}
        case core.Partial():
            status = 200
            body |= {'outcome': 'partial'} | _encode_answer(outcome)
        case core.Refused(reason):
            status = _REFUSED_STATUS.get(reason, 503)
            body |= {'outcome': 'refused', 'not_run': True}
            body['reason'] = reason.value
        case core.Unknown(reason):
            status = 504
            body |= {'outcome': 'unknown', 'reason': reason.value}
        case core.Failed(reason):
            status = 502
            body |= {'outcome': 'failed', 'reason': reason.value}
    return status, json.dumps(body)


def encode_errors(errors: list[core.FieldError]) -> str:
    """Encodes the errors of a malformed request as JSON."""
    return json.dumps(
        {
            'outcome': 'refused',
            'not_run': True,
            'reason': 'malformed',
            'errors': [
                {'field': error.field, 'message': error.message}
                for error in errors[:MAX_ERRORS]
            ],
        }
    )


_REFUSED_STATUS = {
    core.NotRunReason.INVALID_ID: 400,
    core.NotRunReason.INVALID_ID: 400,
    core.NotRunReason.NO_CONTRACT: 403,
    core.NotRunReason.NOT_IN_FORCE: 403,
    core.NotRunReason.QUARANTINED: 422,
    core.NotRunReason.OVERLOADED: 429,
    core.NotRunReason.DEADLINE_TOO_SHORT: 422,
}


def _encode_answer(outcome):
    total = outcome.total_docs
    return {
        'snapshot': outcome.snapshot,
        'coverage': outcome.docs_searched / total if total else 1.0,
        'docs_searched': outcome.docs_searched,
        'total_docs': total,
        'hits': [
            {'id': hit.doc_id, 'score': hit.score, 'text': hit.text}
            for hit in outcome.hits
        ],
    }


def _load_fields(raw):
    try:
        fields = json.loads(
            raw.decode('utf-8'),
            parse_constant=_reject_constant,
            object_pairs_hook=_reject_duplicates,
        )
    except _DuplicateFieldError as exc:
        name = str(exc)[:MAX_ID_CHARS]
        return None, [core.FieldError(name, 'is given twice')]
    except (ValueError, RecursionError):
        return None, [core.FieldError('body', 'is not valid JSON')]
    if not isinstance(fields, dict):
        return None, [core.FieldError('body', 'must be a JSON object')]
    return fields, []


class _DuplicateFieldError(Exception):
    """Raised for a duplicate field; parsers differ on which value wins."""


def _reject_constant(text):
    raise ValueError(f'{text} is not JSON')


def _reject_duplicates(pairs):
    fields = dict(pairs)
    if len(fields) < len(pairs):
        counts = collections.Counter(name for name, _ in pairs)
        raise _DuplicateFieldError(counts.most_common(1)[0][0])
    return fields


def _find_unknown_fields(fields, known):
    return [
        core.FieldError(name[:MAX_ID_CHARS], 'is not a field')
        for name in fields
        if name not in known
    ][:MAX_ERRORS]


def _check_id(fields, name):
    value = fields.get(name)
    if isinstance(value, str) and _ID.fullmatch(value):
        return []
    return [core.FieldError(name, _ID_TEXT)]


def _check_order_id(fields):
    """Checks that the id is a UUIDv7 in canonical form.

    Another spelling of the same id would create a second claim, and the
    order could run twice.
    """
    value = fields.get('request_id')
    try:
        parsed = uuid.UUID(value)
    except (AttributeError, TypeError, ValueError):
        parsed = None
    if parsed and parsed.version == UUID_VERSION and str(parsed) == value:
        return []
    message = 'must be a UUID of version 7 in lower case with hyphens'
    return [core.FieldError('request_id', message)]


def _check_text(fields, name, max_chars):
    value = fields.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= max_chars:
        message = f'must be a string of 1 to {max_chars} characters'
        return [core.FieldError(name, message)]
    try:
        value.encode()
    except UnicodeEncodeError:
        return [core.FieldError(name, 'has an unpaired surrogate')]
    return []


def _check_budget(fields):
    value = fields.get('deadline_ms')
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if value is None or (number and 0 < value <= MAX_BUDGET * 1000):
        return []
    message = f'must be above 0, at most {MAX_BUDGET * 1000:.0f} milliseconds'
    return [core.FieldError('deadline_ms', message)]


def _read_budget(fields):
    value = fields.get('deadline_ms')
    return None if value is None else value / 1000


def _is_int(value):
    return isinstance(value, int) and not isinstance(value, bool)
