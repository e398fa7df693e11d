"""Sends operator calls and maps their results to exit statuses."""

import asyncio
import dataclasses
import os
import pathlib
import sys
import typing
import uuid

import aiohttp
import cyclopts
from google.protobuf import json_format
from google.protobuf import message

from citronweir import operators

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNAVAILABLE = 5
EXIT_UNAUTHORISED = 6

EXIT_STATUSES = {
    operators.Code.ABORTED: EXIT_CONFLICT,
    operators.Code.UNKNOWN: EXIT_UNKNOWN,
    operators.Code.INTERNAL: EXIT_UNKNOWN,
    operators.Code.DEADLINE_EXCEEDED: EXIT_UNAVAILABLE,
    operators.Code.UNAVAILABLE: EXIT_UNAVAILABLE,
    operators.Code.UNAUTHENTICATED: EXIT_UNAUTHORISED,
}
KEY_VARIABLE = 'CITRONWEIR_OPERATOR_KEY'
URL_VARIABLE = 'CITRONWEIR_OPERATORS_URL'


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Node that a call is sent to, and the key for it.

    Attributes:
        url: Base URL of a node's operators' port.
        key_file: File with the operators' key.
    """

    url: typing.Annotated[str, cyclopts.Parameter(env_var=URL_VARIABLE)]
    key_file: pathlib.Path | None = None


def send_change(
    target: Target,
    method: str,
    msg: message.Message,
    change_id: str | None,
) -> int:
    """Sends a change and prints its id and the reply.

    Args:
        target: Where the call goes.
        method: Method of the service.
        msg: Request message without its change id.
        change_id: Id of the change; a new one if None.

    Returns:
        Exit status.
    """
    msg.change_id = change_id or str(uuid.uuid4())
    print(f'change id: {msg.change_id}', file=sys.stderr)
    return _call(target, method, msg, EXIT_STATUSES)


def send_query(target: Target, method: str, msg: message.Message) -> int:
    """Sends a query and prints the reply.

    Args:
        target: Where the call goes.
        method: Method of the service.
        msg: Request message.

    Returns:
        Exit status.
    """
    # A query changes nothing, so an unknown outcome counts as unavailable.
    statuses = EXIT_STATUSES | {operators.Code.UNKNOWN: EXIT_UNAVAILABLE}
    return _call(target, method, msg, statuses)


def _call(target, method, msg, statuses):
    try:
        key = _read_key(target)
    except OSError as exc:
        print(f'no operators\' key: {exc}', file=sys.stderr)
        return EXIT_USAGE
    reply = asyncio.run(_send(target.url, key, method, msg))
    if isinstance(reply, operators.RpcError):
        print(f'{reply.code.value}: {reply.message}', file=sys.stderr)
        return statuses.get(reply.code, EXIT_USAGE)
    print(
        json_format.MessageToJson(
            reply, always_print_fields_with_no_presence=True
        )
    )
    return EXIT_OK


def _read_key(target):
    if target.key_file is None:
        return os.environ.get(KEY_VARIABLE, '')
    return target.key_file.read_text(encoding='utf-8').strip()


async def _send(url, key, method, msg):
    async with aiohttp.ClientSession() as session:
        return await operators.call(session, url, key, method, msg)
