"""Client of the operators' service of a node."""

import typing

import aiohttp
from google.protobuf import json_format
from google.protobuf import message
from google.protobuf import message_factory

from citronweir.operators import _errors as errors
from citronweir.operators import _server as server
from citronweir.operators import operators_pb2 as pb

# Longer than a node waits before it reports that the outcome of a change is
# unknown.
CALL_TIMEOUT = 15.0  # seconds

_SERVICE = pb.DESCRIPTOR.services_by_name['Operators']


async def call(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    method: str,
    msg: message.Message,
) -> typing.Any | errors.RpcError:
    """Makes one call.

    Args:
        session: Client session.
        url: Base URL of the operators' port of a node.
        key: Secret that operators send as the bearer token.
        method: Name of the method.
        msg: Request message of the method.

    Returns:
        Reply message of the method, or the error. After UNKNOWN, a
        change may still take effect; after UNAVAILABLE, it does not.
    """
    try:
        async with session.post(
            url.rstrip('/') + server.PATH + method,
            data=json_format.MessageToJson(msg),
            headers={
                'Authorization': f'Bearer {key}',
                'Content-Type': server.CONTENT_TYPE,
            },
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT),
        ) as resp:
            raw = await resp.read()
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
        return errors.RpcError(
            errors.Code.UNAVAILABLE, f'the node was not reached: {exc}'
        )
    except (aiohttp.ClientError, TimeoutError) as exc:
        return errors.RpcError(
            errors.Code.UNKNOWN, f'no reply: {type(exc).__name__}: {exc}'
        )
    if resp.status != 200:
        return errors.decode_error(raw, resp.status)
    reply_descriptor = _SERVICE.methods_by_name[method].output_type
    reply_type = message_factory.GetMessageClass(reply_descriptor)
    try:
        return json_format.Parse(raw, reply_type(), ignore_unknown_fields=True)
    except (json_format.ParseError, UnicodeDecodeError) as exc:
        return errors.RpcError(errors.Code.UNKNOWN, f'malformed reply: {exc}')
