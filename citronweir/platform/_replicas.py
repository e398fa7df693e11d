"""Renders requests to replicas and reads their replies."""

from collections import abc

from citronweir import core
from citronweir import upstreams
from citronweir.platform import _names as names

_NOT_RUN = names.NOT_RUN.lower()
_SIGNATURE = names.SIGNATURE.lower()
_REQUEST_ID = names.REQUEST_ID.lower()
_LOAD = names.LOAD.lower()
_MISDIRECTED = 421
# Fields of a reply that go back to the caller.
_KEPT = ('content-type', 'retry-after')


def make_encoder(
    req: core.HttpRequest,
) -> abc.Callable[[core.ReplicaId, float], bytes]:
    """Builds the function that renders a request for a replica.

    Args:
        req: Request of a caller.

    Returns:
        A function of the replica and the seconds that are left.
    """
    lines = [f'{req.method} {req.target} HTTP/1.1', f'Host: {req.host}']
    lines += [f'{name}: {value}' for name, value in req.headers]
    lines.append(f'{names.REQUEST_ID}: {req.request_id}')
    if req.body or req.method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(req.body)}')
    head = '\r\n'.join(lines)

    def encode(replica_id, left):
        millis = max(1, int(left * 1000))
        text = (
            f'{head}\r\n{names.DEADLINE}: {millis}'
            f'\r\n{names.EXPECTED_REPLICA}: {replica_id}\r\n\r\n'
        )
        return text.encode('latin-1') + req.body

    return encode


def make_reply_matcher(
    request_id: core.RequestId,
) -> abc.Callable[[dict[str, str]], bool]:
    """Builds the check that a reply is to this request."""

    def is_own(headers):
        return headers.get(_REQUEST_ID, request_id) == request_id

    return is_own


def decode_reply(raw: upstreams.RawReply) -> core.AttemptOutcome:
    """Reads what a whole reply says of the request."""
    headers = raw.headers
    if raw.status == _MISDIRECTED:
        return core.NotRun(core.NotRunReason.MISDIRECTED)
    if _NOT_RUN in headers:
        return core.NotRun(core.NotRunReason.SHED)
    signature = headers.get(_SIGNATURE, '')
    is_success = 200 <= raw.status < 300
    if is_success and (not signature or 'content-encoding' in headers):
        return core.Lost(core.UnknownReason.REPLY_LOST)
    kept = tuple((name, headers[name]) for name in _KEPT if name in headers)
    return core.Replied(
        core.Reply(
            raw.status,
            kept,
            raw.body,
            signature,
            _read_load(headers.get(_LOAD, '')),
            not raw.is_reusable,
        )
    )


def _read_load(text):
    parts = text.split(',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots
