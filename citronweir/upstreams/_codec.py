"""Converts between the JSON of upstreams and the core types."""

from collections import abc
import dataclasses
import json
import math
import typing

from citronweir import core

# Holdings read from a status; further ones are ignored.
MAX_HOLDINGS = 4096


class DecodeError(Exception):
    """Raised for a malformed message of an upstream."""


Headers = abc.Mapping[str, str]

_MALFORMED = (DecodeError, KeyError, TypeError, ValueError, OverflowError)


def encode_sub(sub: core.SubRequest) -> bytes:
    """Encodes the body of a sub-request."""
    match sub:
        case core.SubSearch():
            fields = {
                'index': sub.index,
                'snapshot': sub.snapshot,
                'lo': sub.key_range.lo,
                'hi': sub.key_range.hi,
                'query': sub.query,
                'limit': sub.limit,
            }
        case core.SubOrder():
            fields = {
                'index': sub.index,
                'order_id': sub.request_id,
                'body': sub.body,
            }
    return json.dumps(fields).encode()


def encode_headers(sub: core.SubRequest, remaining: float) -> dict[str, str]:
    """Encodes the headers of a sub-request.

    Args:
        sub: The sub-request.
        remaining: Seconds until its deadline.

    Returns:
        HTTP headers by name.
    """
    headers = {
        'content-type': 'application/json',
        'x-request-id': sub.request_id,
        'x-deadline-ms': str(max(1, int(remaining * 1000))),
    }
    if sub.trace:
        headers['traceparent'] = sub.trace
    return headers


def is_reply_to_other(sent: Headers, headers: Headers) -> bool:
    """Returns whether a reply carries the id of another request.

    Args:
        sent: Headers of the request.
        headers: Headers of the reply, which may omit the id.
    """
    own = sent.get('x-request-id')
    return own is not None and headers.get('x-request-id', own) != own


def decode_search_reply(
    sub: core.SubSearch, status: int, headers: Headers, raw: bytes
) -> core.SubOutcome:
    """Decodes the reply to a sub-search.

    Args:
        sub: The sub-search that was sent.
        status: HTTP status.
        headers: HTTP headers.
        raw: Body.

    Returns:
        The answer, or the reason why there is none.
    """
    if status != 200:
        return _decode_refusal(status, headers)
    try:
        fields = _load(raw)
        if fields['request_id'] != sub.request_id:
            return core.SubFailed('reply to another request')
        answer = core.SubAnswer(
            core.SnapshotId(int(fields['snapshot'])),
            core.KeyRange(int(fields['lo']), int(fields['hi'])),
            int(fields['docs_searched']),
            int(fields['docs']),
            int(fields['total_docs']),
            tuple(_decode_hit(hit) for hit in fields['hits'][: sub.limit]),
        )
    except _MALFORMED as exc:
        return core.SubFailed(f'malformed answer: {exc!r}')
    if not 0 <= answer.docs_searched <= answer.docs <= answer.total_docs:
        return core.SubFailed('impossible numbers of documents')
    return answer


def decode_order_reply(
    sub: core.SubOrder, status: int, headers: Headers, raw: bytes
) -> core.SubOutcome:
    """Decodes the reply to a non-idempotent sub-request.

    Args:
        sub: The sub-request that was sent.
        status: HTTP status.
        headers: HTTP headers.
        raw: Body.

    Returns:
        The result, or whether the sub-request certainly did not run.
    """
    if status != 200:
        return _decode_refusal(status, headers)
    try:
        fields = _load(raw)
        if fields['order_id'] != sub.request_id:
            return core.SubUnknown(core.UnknownReason.REPLY_LOST)
        return core.SubDone(str(fields['result']))
    except _MALFORMED:
        return core.SubUnknown(core.UnknownReason.REPLY_LOST)


def decode_status(replica: core.Replica, raw: bytes) -> core.Replica:
    """Decodes the status of a replica.

    Args:
        replica: Current record of the replica.
        raw: Body of ``GET /status``.

    Returns:
        The record updated from the reported status.

    Raises:
        DecodeError: The body is malformed or describes another replica.
    """
    fields = _load(raw)
    try:
        if fields['replica'] != replica.replica_id:
            raise DecodeError('status of another replica')
        return dataclasses.replace(
            replica,
            state=core.ReplicaState(fields['state']),
            epoch=core.Epoch(int(fields['epoch'])),
            slots=max(1, int(fields['slots'])),
            max_conns=max(1, int(fields['max_conns'])),
            holdings=tuple(
                _decode_holding(holding)
                for holding in fields['holdings'][:MAX_HOLDINGS]
            ),
        )
    except _MALFORMED as exc:
        raise DecodeError(f'malformed status: {exc!r}') from exc


def _decode_refusal(status, headers):
    if not 200 <= status < 600:
        # No status of HTTP, so its headers say nothing either.
        return core.SubUnknown(core.UnknownReason.REPLY_LOST)
    if headers.get('x-not-run') == '1':
        if headers.get('x-draining') == '1':
            return core.SubNotRun(core.NotRunReason.DRAINING)
        return core.SubNotRun(core.NotRunReason.SHED)
    if status == 409:
        return core.SubGone()
    if status == 504:
        return core.SubNotRun(core.NotRunReason.DEADLINE_PASSED)
    return core.SubFailed(f'HTTP status {status}')


def _decode_hit(fields):
    score = float(fields['score'])
    if not math.isfinite(score):
        raise ValueError('score is not finite')
    return core.Hit(str(fields['id']), score, str(fields['text']))


def _decode_holding(fields):
    holding = core.Holding(
        core.IndexName(str(fields['index'])),
        core.SnapshotId(int(fields['snapshot'])),
        core.KeyRange(int(fields['lo']), int(fields['hi'])),
        int(fields['docs']),
        int(fields['total_docs']),
    )
    key_range = holding.key_range
    if not 0 <= key_range.lo < key_range.hi <= core.KEY_SPACE_END:
        raise ValueError('range outside the key space')
    if not 0 <= holding.docs <= holding.total_docs:
        raise ValueError('impossible numbers of documents')
    return holding


def _load(raw) -> dict[str, typing.Any]:
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise DecodeError('not JSON') from exc
    if not isinstance(fields, dict):
        raise DecodeError('not a JSON object')
    return fields
