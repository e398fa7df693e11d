"""Codecs for the records in the platform's store.

Other systems write most of these keys, so any value can occur. A value that
cannot be decoded is reported as an error and ignored; other records are not
affected.
"""

import dataclasses
import ipaddress
import json
import math
import re
import typing

from citronweir import core
from citronweir.platform import _boot as boot
from citronweir.platform import _names as names

_RANKS_BY_PRIORITY = tuple(core.Rank)
# Includes the errors that decoders raise for values that are too large or
# too deeply nested.
_DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)
# Errors are logged, one line each.
_MAX_ERROR_LENGTH = 300  # characters
# The store limits keys to 200 bytes.
_MAX_NAME_LENGTH = 200  # characters
# Replica ids are sent as a request header.
_REPLICA_ID = re.compile(rf'[!-~]{{1,{_MAX_NAME_LENGTH}}}')
_FINGERPRINT = re.compile('[0-9a-f]{24}')
_MAX_SLOTS = 1 << 20
_MAX_MILLISECONDS = 1 << 53  # 285,000 years; exact in a float


def decode_record(
    record: core.ConfigRecord,
) -> tuple[core.ConfigRecord, list[str]]:
    """Decodes the value of a record.

    Args:
        record: Record as read; an empty value means a deleted key.

    Returns:
        The record and the errors found in it. Its body is None if the key
        was deleted or the value cannot be decoded.
    """
    if not record.value:
        return record, []
    try:
        body = _decode_value(record.key, record.value)
    except _DECODE_ERRORS as exc:
        return record, [f'{type(exc).__name__}: {exc}'[:_MAX_ERROR_LENGTH]]
    return dataclasses.replace(record, body=body), []


def _decode_value(key, value):
    if key in (names.CONFIG_KEY, names.CONFIG_COPY_KEY):
        return decode_routes(json.loads(value))
    if key.startswith(names.EVACUATIONS_PREFIX):
        dc = _require_name(key[len(names.EVACUATIONS_PREFIX) :])
        return core.Evacuation(core.DataCentre(dc))
    if key.startswith(names.REPLICAS_PREFIX):
        replica_id = core.ReplicaId(key[len(names.REPLICAS_PREFIX) :])
        return decode_replica(replica_id, json.loads(value))
    if key.startswith(names.NODES_PREFIX):
        node_id = core.NodeId(key[len(names.NODES_PREFIX) :])
        return decode_node(node_id, json.loads(value))
    if key.startswith(names.CONVICTIONS_PREFIX):
        fingerprint = core.Fingerprint(key[len(names.CONVICTIONS_PREFIX) :])
        return decode_conviction(fingerprint, json.loads(value))
    return None


def encode_node(node: core.ListedNode) -> str:
    """Encodes the record of a node."""
    fields = {
        'address': f'{node.address.host}:{node.address.port}',
        'dc': node.dc,
        'incarnation': node.incarnation,
    }
    return json.dumps(fields, separators=(',', ':'))


def decode_node(
    node_id: core.NodeId, fields: dict[str, typing.Any]
) -> core.ListedNode:
    """Decodes the record of a node; raises like ``decode_routes``."""
    return core.ListedNode(
        node_id,
        boot.parse_address(_require_text(fields['address'])),
        core.DataCentre(_require_text(fields['dc'])),
        core.Incarnation(_require_integer(fields['incarnation'])),
    )


def encode_conviction(conviction: core.Conviction) -> str:
    """Encodes the record of a request that crashes replicas."""
    rows = [
        [
            report.caller,
            report.service,
            report.request_id,
            report.replica_id,
            round(wall_at * 1000),
        ]
        for report, wall_at in conviction.crashes
    ]
    return json.dumps({'crashes': rows}, separators=(',', ':'))


def decode_conviction(
    fingerprint: core.Fingerprint, fields: dict[str, typing.Any]
) -> core.Conviction:
    """Decodes a record of a conviction; raises like ``decode_routes``."""
    if not _FINGERPRINT.fullmatch(fingerprint):
        raise ValueError('not a fingerprint')
    rows = fields['crashes']
    if not isinstance(rows, list):
        raise TypeError('crashes are not a list')
    _require_range(len(rows), 1, core.MAX_RECORD_CRASHES)
    return core.Conviction(
        fingerprint, tuple(_decode_crash(fingerprint, row) for row in rows)
    )


def _decode_crash(fingerprint, row):
    caller, service, request_id, replica_id, millis = row
    report = core.ReplicaReport(
        core.ReportKind.ENDED,
        fingerprint,
        core.CallerId(_require_short(caller)),
        core.ServiceName(_require_name(service)),
        core.RequestId(_require_name(request_id)),
        core.ReplicaId(_require_name(replica_id)),
    )
    millis = _require_range(_require_integer(millis), 0, _MAX_MILLISECONDS)
    return report, millis / 1000


def decode_routes(fields: dict[str, typing.Any]) -> core.RouteTable:
    """Decodes the routing configuration that operators write.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        ValueError: A field has an invalid value.
    """
    limits = fields.get('limits', {})
    return core.RouteTable(
        _require_integer(fields['version']),
        tuple(_decode_route(item) for item in fields['routes']),
        {
            core.ServiceName(_require_text(item['name'])): _require_integer(
                item['max_conns']
            )
            for item in fields['backends']
        },
        core.CallerLimits(
            _require_integer(limits.get('max_header_bytes', 16384)),
            _require_integer(limits.get('max_body_bytes', 262144)),
            _seconds_from_ms(limits.get('header_timeout_ms', 3000)),
            _seconds_from_ms(limits.get('idle_timeout_ms', 15000)),
        ),
        tuple(_decode_tenant(item) for item in fields.get('tenants') or ()),
    )


def decode_replica(
    replica_id: core.ReplicaId, fields: dict[str, typing.Any]
) -> core.ListedReplica:
    """Decodes the record of a replica; raises like ``decode_routes``.

    Other systems write these records, so each field is validated for how the
    node uses it later.
    """
    if not _REPLICA_ID.fullmatch(replica_id):
        raise ValueError('id is empty, too long or not visible ASCII')
    address = boot.parse_address(_require_text(fields['address']))
    ipaddress.IPv4Address(address.host)  # rejects host names, which need DNS
    return core.ListedReplica(
        replica_id,
        core.ServiceName(_require_name(fields['backend'])),
        address,
        core.DataCentre(_require_name(fields['zone'])),
        core.ListedState(fields['state']),
        max(
            1, _require_range(_require_integer(fields['slots']), 0, _MAX_SLOTS)
        ),
        _require_range(
            _seconds_from_ms(fields.get('warmup_left_ms', 0)),
            0.0,
            _MAX_MILLISECONDS,
        ),
        core.Epoch(
            _require_range(
                _require_integer(fields.get('born', 0)), 0, _MAX_MILLISECONDS
            )
        ),
    )


def _decode_route(item):
    if item.get('gather'):
        splits, shards = (), tuple(map(core.ServiceName, item['gather']))
    elif item.get('traffic_split'):
        shards = ()
        splits = tuple(
            (
                core.ServiceName(_require_text(part['backend'])),
                float(part['weight']),
            )
            for part in item['traffic_split']
        )
    else:
        splits, shards = (
            ((core.ServiceName(_require_text(item['backend'])), 1.0),),
            (),
        )
    return core.Route(
        core.RouteName(_require_text(item['name'])),
        _require_text(item['host']).lower(),
        _require_text(item['path_prefix']),
        core.Idempotency(item['kind']),
        _decode_rank(item['priority']),
        _seconds_from_ms(item['goal_ms']),
        _seconds_from_ms(item['timeout_ms']),
        max(1, _require_integer(item.get('max_attempts', 1))),
        splits,
        shards,
        _require_integer(item.get('top_k', 0)),
        float(item.get('min_shard_ratio', 0.0)),
        item.get('public') is True,
        _decode_regions(item),
    )


def _decode_tenant(item):
    priority = item.get('priority')
    return core.Tenant(
        core.TenantName(_require_visible(item['name'])),
        frozenset(
            core.KeyDigest(_require_name(digest))
            for digest in item.get('key_digests', ())
        ),
        None if priority is None else _decode_rank(priority),
        _require_nonnegative(item.get('rate_per_s') or 0),
        _require_nonnegative(item.get('burst') or 0),
        _decode_regions(item),
    )


def _decode_regions(item):
    return frozenset(
        core.Region(_require_name(region))
        for region in item.get('allowed_regions') or ()
    )


def _decode_rank(priority):
    last = len(_RANKS_BY_PRIORITY) - 1
    return _RANKS_BY_PRIORITY[
        _require_range(min(_require_integer(priority), last), 0, last)
    ]


def _require_nonnegative(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'not a number: {value!r}')
    return float(_require_range(value, 0, _MAX_MILLISECONDS))


def _require_visible(value):
    """Requires a text that can be sent as a request header."""
    text = _require_name(value)
    if not _REPLICA_ID.fullmatch(text):
        raise ValueError('not visible ASCII')
    return text


def _require_text(value):
    if not isinstance(value, str):
        raise TypeError(f'not a string: {value!r}')
    return value


def _require_name(value):
    text = _require_short(value)
    if not text:
        raise ValueError('an empty name')
    return text


def _require_short(value):
    text = _require_text(value)
    if len(text) > _MAX_NAME_LENGTH:
        raise ValueError(f'{len(text)} characters are too many for a name')
    text.encode()  # rejects lone surrogates, which cannot be encoded
    return text


def _require_range(value, low, high):
    if not low <= value <= high:
        raise ValueError(f'not in the range {low} to {high}')
    return value


def _require_integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not an integer: {value!r}')
    return value


def _seconds_from_ms(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'not a number: {value!r}')
    seconds = value / 1000.0
    if not math.isfinite(seconds):
        raise ValueError('not a finite number')
    return seconds
