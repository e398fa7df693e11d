"""Decodes what operators and replicas write into the platform's store.

Other writers may leave anything under these keys. What cannot be read is
named in an error and stands for nothing; the rest holds.
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

_RANKS = tuple(core.Rank)
# Decoders run into limits of their own on what is too large or too deep.
_DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)
# An error becomes a line of the log.
_MAX_ERROR = 300  # characters
# The store allows 200 bytes for a key.
_MAX_NAME = 200  # characters
# An id goes into the head of requests.
_REPLICA_ID = re.compile(rf'[!-~]{{1,{_MAX_NAME}}}')
_MAX_SLOTS = 1 << 20
_MAX_MILLIS = 1 << 53  # whole in a float; 285,000 years


def decode_record(
    record: core.ConfigRecord,
) -> tuple[core.ConfigRecord, list[str]]:
    """Reads the value of a record.

    Args:
        record: Record as it came; an empty value is a removed key.

    Returns:
        The record with its body, None if it is removed or cannot be
        read, and what is wrong with it.
    """
    if not record.value:
        return record, []
    try:
        body = _decode(record.key, record.value)
    except _DECODE_ERRORS as exc:
        return record, [f'{type(exc).__name__}: {exc}'[:_MAX_ERROR]]
    return dataclasses.replace(record, body=body), []


def _decode(key, value):
    if key == names.CONFIG_KEY:
        return decode_routes(json.loads(value))
    if key.startswith(names.REPLICAS_PREFIX):
        replica_id = core.ReplicaId(key[len(names.REPLICAS_PREFIX) :])
        return decode_replica(replica_id, json.loads(value))
    if key.startswith(names.NODES_PREFIX):
        node_id = core.NodeId(key[len(names.NODES_PREFIX) :])
        return decode_node(node_id, json.loads(value))
    return None


def encode_node(node: core.ListedNode) -> str:
    """Renders the record of a node."""
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
        boot.parse_address(_text(fields['address'])),
        core.DataCentre(_text(fields['dc'])),
        core.Incarnation(_integer(fields['incarnation'])),
    )


def decode_routes(fields: dict[str, typing.Any]) -> core.RouteTable:
    """Decodes a version of the operators' configuration.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has a wrong type.
        ValueError: A field has a wrong value.
    """
    limits = fields.get('limits', {})
    return core.RouteTable(
        _integer(fields['version']),
        tuple(_decode_route(item) for item in fields['routes']),
        {
            core.ServiceName(_text(item['name'])): _integer(item['max_conns'])
            for item in fields['backends']
        },
        core.CallerLimits(
            _integer(limits.get('max_header_bytes', 16384)),
            _integer(limits.get('max_body_bytes', 262144)),
            _seconds(limits.get('header_timeout_ms', 3000)),
            _seconds(limits.get('idle_timeout_ms', 15000)),
        ),
    )


def decode_replica(
    replica_id: core.ReplicaId, fields: dict[str, typing.Any]
) -> core.ListedReplica:
    """Decodes the entry of a replica; raises like ``decode_routes``.

    Other writers may leave anything here, so each field is checked for what
    the node does with it later.
    """
    if not _REPLICA_ID.fullmatch(replica_id):
        raise ValueError('id is not of visible ASCII characters')
    address = boot.parse_address(_text(fields['address']))
    ipaddress.IPv4Address(address.host)  # a name would be looked up
    return core.ListedReplica(
        replica_id,
        core.ServiceName(_name(fields['backend'])),
        address,
        core.DataCentre(_name(fields['zone'])),
        core.ListedState(fields['state']),
        max(1, _within(_integer(fields['slots']), 0, _MAX_SLOTS)),
        _within(_seconds(fields.get('warmup_left_ms', 0)), 0.0, _MAX_MILLIS),
        core.Epoch(_within(_integer(fields.get('born', 0)), 0, _MAX_MILLIS)),
    )


def _decode_route(item):
    if item.get('gather'):
        splits, shards = (), tuple(map(core.ServiceName, item['gather']))
    elif item.get('traffic_split'):
        shards = ()
        splits = tuple(
            (core.ServiceName(_text(part['backend'])), float(part['weight']))
            for part in item['traffic_split']
        )
    else:
        splits, shards = ((core.ServiceName(_text(item['backend'])), 1.0),), ()
    return core.Route(
        core.RouteName(_text(item['name'])),
        _text(item['host']).lower(),
        _text(item['path_prefix']),
        core.Idempotency(item['kind']),
        _RANKS[min(_integer(item['priority']), len(_RANKS) - 1)],
        _seconds(item['goal_ms']),
        _seconds(item['timeout_ms']),
        max(1, _integer(item.get('max_attempts', 1))),
        splits,
        shards,
        _integer(item.get('top_k', 0)),
        float(item.get('min_shard_ratio', 0.0)),
    )


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f'not a text: {value!r}')
    return value


def _name(value):
    text = _text(value)
    if not text or len(text) > _MAX_NAME:
        raise ValueError(f'{len(text)} characters are no name')
    text.encode()  # a lone surrogate could not be written anywhere
    return text


def _within(value, least, most):
    if not least <= value <= most:
        raise ValueError(f'not from {least} to {most}')
    return value


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not an integer: {value!r}')
    return value


def _seconds(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'not a number: {value!r}')
    seconds = value / 1000.0
    if not math.isfinite(seconds):
        raise ValueError('not a finite number')
    return seconds
