"""Encodes requests to replicas and decodes their replies."""

from collections import abc
import math

from citronweir import core
from citronweir import upstreams
from citronweir.platform import _names as names

_NOT_RUN = names.NOT_RUN.lower()
_SIGNATURE = names.SIGNATURE.lower()
_REQUEST_ID = names.REQUEST_ID.lower()
_LOAD = names.LOAD.lower()
_LEAVING = names.LEAVING.lower()
_RETRY_AFTER = names.RETRY_AFTER.lower()
_BUSY_STATUS = 503
_USUAL_SLOWDOWN = 100.0  # percent
_MAX_LOAD = 1 << 20  # requests or slots
_MAX_SLOWDOWN = 1e6  # percent
_MISDIRECTED_STATUS = 421
# Statuses by which a caller is promised that its request has not run and never
# will. A replica promises that only with a 421 or with the header that says
# so; with these statuses alone it may have run the request.
_PROMISES = frozenset({408, 429, 503})
_BAD_GATEWAY_STATUS = 502
# Response headers that are forwarded to the caller.
_FORWARDED_HEADERS = ('content-type', 'retry-after')


def make_encoder(
    req: core.HttpRequest,
) -> abc.Callable[[core.ReplicaId, float], bytes]:
    """Builds the function that encodes a request for a replica.

    Args:
        req: Request of a caller.

    Returns:
        A function of the replica and of the seconds until the deadline.
    """
    lines = [f'{req.method} {req.target} HTTP/1.1', f'Host: {req.host}']
    lines += [f'{name}: {value}' for name, value in req.headers]
    lines.append(f'{names.REQUEST_ID}: {req.request_id}')
    if req.identity is not None:
        lines.append(f'{names.TENANT}: {req.identity.tenant}')
    if req.body or req.method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(req.body)}')
    head = '\r\n'.join(lines)

    def encode(replica_id, time_left):
        millis = max(1, int(time_left * 1000))
        text = (
            f'{head}\r\n{names.DEADLINE}: {millis}'
            f'\r\n{names.EXPECTED_REPLICA}: {replica_id}\r\n\r\n'
        )
        return text.encode('latin-1') + req.body

    return encode


def make_reply_matcher(
    request_id: core.RequestId,
) -> abc.Callable[[dict[str, str]], bool]:
    """Builds the check that a reply belongs to this request.

    A reply without a request id is taken to belong to it.
    """

    def matches(headers):
        return headers.get(_REQUEST_ID, request_id) == request_id

    return matches


def decode_reply(raw: upstreams.RawReply) -> core.AttemptOutcome:
    """Decodes a complete reply into the outcome of the attempt.

    A failure that callers would take for a promise that the request has not
    run becomes a 502, which promises nothing.
    """
    headers = raw.headers
    if raw.status == _MISDIRECTED_STATUS:
        return core.NotRun(core.NotRunReason.MISDIRECTED)
    if _NOT_RUN in headers:
        return core.NotRun(core.NotRunReason.SHED)
    if raw.status in _PROMISES:
        # Without the signature, since the status is not the replica's.
        failure = core.Reply(
            _BAD_GATEWAY_STATUS, (), b'', '', not raw.is_reusable
        )
        return core.Replied(failure)
    signature = headers.get(_SIGNATURE, '')
    is_success = 200 <= raw.status < 300
    if is_success and (not signature or 'content-encoding' in headers):
        return core.Lost(core.UnknownReason.REPLY_LOST)
    forwarded = tuple(
        (name, headers[name]) for name in _FORWARDED_HEADERS if name in headers
    )
    return core.Replied(
        core.Reply(
            raw.status,
            forwarded,
            raw.body,
            signature,
            not raw.is_reusable,
        )
    )


def decode_notice(raw: upstreams.RawReply) -> core.ReplicaNotice:
    """Decodes what a replica says about itself in a reply of any status."""
    headers = raw.headers
    text = headers.get(_LOAD)
    load = None if text is None else _parse_load(text)
    pause = None
    if raw.status == _BUSY_STATUS and _RETRY_AFTER in headers:
        pause = _parse_seconds(headers[_RETRY_AFTER])
    return core.ReplicaNotice(
        load,
        headers.get(_LEAVING, '').strip() == '1',
        pause,
        text is not None and load is None,
    )


def _parse_load(text):
    """Parses three counts and, from some replicas, a slowdown in percent."""
    try:
        counts = [int(part) for part in text.split(',')[:3]]
        rest = [float(part) for part in text.split(',')[3:]] or [
            _USUAL_SLOWDOWN
        ]
    except ValueError:
        return None
    if len(counts) != 3 or not all(0 <= item <= _MAX_LOAD for item in counts):
        return None
    if not 0.0 < rest[0] <= _MAX_SLOWDOWN:
        return None
    return core.ReportedLoad(*counts, rest[0] / _USUAL_SLOWDOWN)


def _parse_seconds(text):
    """Parses a delay; dates, negative and infinite values are ignored."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0.0 < seconds < math.inf else None
