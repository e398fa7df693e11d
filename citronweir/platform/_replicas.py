"""Encodes requests to replicas and decodes their replies."""

from collections import abc

from citronweir import core
from citronweir import upstreams
from citronweir.platform import _names as names

_NOT_RUN = names.NOT_RUN.lower()
_SIGNATURE = names.SIGNATURE.lower()
_REQUEST_ID = names.REQUEST_ID.lower()
_LOAD = names.LOAD.lower()
_MISDIRECTED_STATUS = 421
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
    """Decodes a complete reply into the outcome of the attempt."""
    headers = raw.headers
    if raw.status == _MISDIRECTED_STATUS:
        return core.NotRun(core.NotRunReason.MISDIRECTED)
    if _NOT_RUN in headers:
        return core.NotRun(core.NotRunReason.SHED)
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
            _parse_load(headers.get(_LOAD, '')),
            not raw.is_reusable,
        )
    )


def _parse_load(text):
    parts = text.split(',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots
