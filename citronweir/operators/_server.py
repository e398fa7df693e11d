"""Serves the operators' RPCs as unary JSON calls of the Connect protocol.

This module only decodes calls and encodes replies. The logic is in the
handlers that are passed in, so other servers can use the same handlers.
"""

import asyncio
from collections import abc
import dataclasses
import functools
import hmac

from aiohttp import web
from google.protobuf import json_format

from citronweir import core
from citronweir import telemetry
from citronweir.operators import _codec as codec
from citronweir.operators import _errors as errors
from citronweir.operators import operators_pb2 as pb

PATH = '/citronweir.operators.v1.Operators/'
CONTENT_TYPE = 'application/json'
MAX_BODY_BYTES = 64 * 1024
BODY_READ_TIMEOUT = 10.0  # seconds to read a body


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """Functions that implement the operators' calls.

    Attributes:
        change: Applies a change to the configuration.
        records: Returns the configuration records that the node holds.
        settings: Returns the current fleet settings.
        status: Returns the status of the node.
    """

    change: abc.Callable[[core.Change], abc.Awaitable[core.ChangeOutcome]]
    records: abc.Callable[[], abc.Mapping[core.ConfigKey, core.ConfigRecord]]
    settings: abc.Callable[[], core.FleetSettings]
    status: abc.Callable[[], core.NodeStatus]


def make_app(handlers: Handlers, key: str) -> web.Application:
    """Builds the HTTP application for operators.

    Args:
        handlers: Functions that implement the calls.
        key: Secret that operators send as the bearer token.

    Returns:
        Application that serves the operators' calls.
    """
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    routes = _make_routes(handlers)

    async def handle(http_req):
        method = http_req.match_info['method']
        reply = await _serve_call(http_req, routes.get(method), key)
        if not isinstance(reply, errors.RpcError):
            return web.Response(
                text=json_format.MessageToJson(
                    reply, always_print_fields_with_no_presence=True
                ),
                content_type=CONTENT_TYPE,
            )
        telemetry.log(
            telemetry.Event.OPERATOR_REJECTED,
            method=method,
            code=reply.code.value,
        )
        return web.Response(
            status=errors.HTTP_STATUSES[reply.code],
            text=errors.encode_error(reply),
            content_type=CONTENT_TYPE,
        )

    app.router.add_post(PATH + '{method}', handle)
    return app


async def _serve_call(http_req, route, key):
    if not _is_authorised(http_req, key):
        return errors.RpcError(
            errors.Code.UNAUTHENTICATED, 'missing or wrong bearer key'
        )
    if route is None:
        return errors.RpcError(
            errors.Code.UNIMPLEMENTED, 'no such method of the service'
        )
    if http_req.content_type != CONTENT_TYPE:
        return errors.RpcError(
            errors.Code.INVALID_ARGUMENT,
            f'the content type must be {CONTENT_TYPE}',
        )
    message_type, call_method = route
    msg = await _read_message(http_req, message_type)
    if isinstance(msg, errors.RpcError):
        return msg
    return await call_method(msg)


def _is_authorised(http_req, key):
    authorization = http_req.headers.get('Authorization', '')
    # compare_digest accepts only ASCII in strings, so bytes are compared.
    return hmac.compare_digest(
        authorization.encode(errors='surrogateescape'),
        f'Bearer {key}'.encode(),
    )


async def _read_message(http_req, message_type):
    try:
        async with asyncio.timeout(BODY_READ_TIMEOUT):
            raw = await http_req.read()
        return json_format.Parse(raw.decode(), message_type())
    except TimeoutError:
        return errors.RpcError(
            errors.Code.DEADLINE_EXCEEDED, 'the body came too slowly'
        )
    except web.HTTPRequestEntityTooLarge:
        return errors.RpcError(
            errors.Code.RESOURCE_EXHAUSTED,
            f'the body is larger than {MAX_BODY_BYTES} bytes',
        )
    # Deeply nested JSON raises RecursionError.
    except (json_format.ParseError, RecursionError, ValueError) as exc:
        return errors.RpcError(
            errors.Code.INVALID_ARGUMENT, f'malformed message: {exc}'
        )


def _make_routes(handlers):
    change_methods = {
        'CreateContract': (pb.CreateContractRequest, codec.decode_create),
        'AmendContract': (pb.AmendContractRequest, codec.decode_amend),
        'WithdrawContract': (
            pb.WithdrawContractRequest,
            codec.decode_withdraw,
        ),
        'ChangeSettings': (pb.ChangeSettingsRequest, codec.decode_settings),
        'DrainUpstream': (pb.DrainUpstreamRequest, codec.decode_drain),
        'UndrainUpstream': (pb.UndrainUpstreamRequest, codec.decode_undrain),
    }
    read_methods = {
        'GetContract': (pb.GetContractRequest, _get_contract),
        'ListContracts': (pb.ListContractsRequest, _list_contracts),
        'GetSettings': (pb.GetSettingsRequest, _get_settings),
        'GetStatus': (pb.GetStatusRequest, _get_status),
    }
    routes = {
        name: (message_type, functools.partial(_run_change, handlers, decode))
        for name, (message_type, decode) in change_methods.items()
    }
    routes |= {
        name: (message_type, functools.partial(read, handlers))
        for name, (message_type, read) in read_methods.items()
    }
    return routes


async def _run_change(handlers, decode, msg):
    change, field_errors = decode(msg)
    if change is None:
        return errors.make_field_errors(field_errors)
    outcome = await handlers.change(change)
    if isinstance(outcome, core.ChangeAccepted):
        return codec.encode_record(outcome.record)
    return errors.make_change_error(outcome)


async def _get_contract(handlers, msg):
    key = core.contract_key(core.ContractId(msg.contract_id))
    record = handlers.records().get(key)
    if record is None or record.body is None:
        return errors.RpcError(errors.Code.NOT_FOUND, 'no such contract')
    return codec.encode_record(record)


async def _list_contracts(handlers, msg):
    page, field_errors = codec.encode_page(msg, handlers.records())
    return errors.make_field_errors(field_errors) if page is None else page


async def _get_settings(handlers, msg):
    record = handlers.records().get(core.SETTINGS_KEY)
    revision = record.revision if record else core.NO_REVISION
    return codec.encode_settings(handlers.settings(), revision)


async def _get_status(handlers, msg):
    return codec.encode_status(handlers.status())
