"""Defines the errors of operators' calls in the Connect protocol."""

import base64
import binascii
import dataclasses
import enum
import json

from google.protobuf import json_format
from google.protobuf import message

from citronweir import core
from citronweir.operators import operators_pb2 as pb

_PACKAGE = 'citronweir.operators.v1.'


class Code(enum.Enum):
    """Error codes of the Connect protocol that this service uses."""

    INVALID_ARGUMENT = 'invalid_argument'
    NOT_FOUND = 'not_found'
    ABORTED = 'aborted'
    RESOURCE_EXHAUSTED = 'resource_exhausted'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    UNAUTHENTICATED = 'unauthenticated'
    UNAVAILABLE = 'unavailable'
    UNIMPLEMENTED = 'unimplemented'
    UNKNOWN = 'unknown'
    INTERNAL = 'internal'


# HTTP status of each code according to the Connect protocol.
HTTP_STATUSES = {
    Code.INVALID_ARGUMENT: 400,
    Code.NOT_FOUND: 404,
    Code.ABORTED: 409,
    Code.RESOURCE_EXHAUSTED: 429,
    Code.DEADLINE_EXCEEDED: 504,
    Code.UNAUTHENTICATED: 401,
    Code.UNAVAILABLE: 503,
    Code.UNIMPLEMENTED: 501,
    Code.UNKNOWN: 500,
    Code.INTERNAL: 500,
}

Detail = pb.FieldErrors | pb.Conflict | pb.UnknownOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class RpcError:
    """Error of an operators' call.

    Attributes:
        detail: Error detail message, or None.
    """

    code: Code
    message: str
    detail: Detail | None = None


def make_field_errors(errors: list[core.FieldError]) -> RpcError:
    """Builds the error for invalid fields."""
    detail = pb.FieldErrors(
        errors=[
            pb.FieldErrors.FieldError(field=item.field, message=item.message)
            for item in errors
        ]
    )
    text = '; '.join(f'{item.field}: {item.message}' for item in errors)
    return RpcError(Code.INVALID_ARGUMENT, text, detail)


def make_change_error(outcome: core.ChangeOutcome) -> RpcError:
    """Builds the error for a change that was not accepted."""
    match outcome:
        case core.ChangeInvalid(errors):
            return make_field_errors(list(errors))
        case core.ChangeConflict(winner):
            return _make_conflict_error(winner)
        case core.ChangeUnknown(change_id):
            return RpcError(
                Code.UNKNOWN,
                'the change may yet take effect; repeat it with change id '
                + change_id,
                pb.UnknownOutcome(change_id=change_id),
            )
        case core.ChangeUnavailable(text):
            return RpcError(
                Code.UNAVAILABLE, f'the change was not made: {text}'
            )
    return RpcError(Code.INTERNAL, 'unexpected outcome of the change')


def _make_conflict_error(winner):
    if winner is None:
        return RpcError(
            Code.ABORTED, 'the record does not exist', pb.Conflict()
        )
    last_id = winner.change_ids[-1] if winner.change_ids else ''
    return RpcError(
        Code.ABORTED,
        f'the record is at revision {winner.revision} by change {last_id!r}',
        pb.Conflict(
            key=winner.key,
            winning_revision=winner.revision,
            winning_change_id=last_id,
        ),
    )


def encode_error(error: RpcError) -> str:
    """Encodes an error as Connect error JSON."""
    fields = {'code': error.code.value, 'message': error.message}
    if error.detail is not None:
        raw = base64.b64encode(error.detail.SerializeToString())
        fields['details'] = [
            {
                'type': error.detail.DESCRIPTOR.full_name,
                'value': raw.decode().rstrip('='),
                'debug': json_format.MessageToDict(error.detail),
            }
        ]
    return json.dumps(fields)


def decode_error(raw: bytes, status: int) -> RpcError:
    """Decodes Connect error JSON.

    Args:
        raw: Body of the reply.
        status: HTTP status, for the message if the body is not a Connect
            error.

    Returns:
        The error. A body that cannot be decoded means an unknown outcome.
    """
    try:
        fields = json.loads(raw)
        code, text = Code(fields['code']), str(fields.get('message', ''))
        details = [_decode_detail(item) for item in fields.get('details', ())]
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        binascii.Error,
        message.DecodeError,
    ):
        return RpcError(Code.UNKNOWN, f'unreadable reply, HTTP {status}')
    known_details = [item for item in details if item is not None]
    return RpcError(code, text, known_details[0] if known_details else None)


def _decode_detail(item):
    for detail_type in (pb.FieldErrors, pb.Conflict, pb.UnknownOutcome):
        if item['type'] == _PACKAGE + detail_type.DESCRIPTOR.name:
            raw = item['value']
            return detail_type.FromString(
                base64.b64decode(raw + '=' * (-len(raw) % 4))
            )
    return None
