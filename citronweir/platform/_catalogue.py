"""Decodes what operators and replicas write into the platform's store.

Other writers may leave anything under these keys. What cannot be read is
named in an error and stands for nothing; the rest holds.
"""

import dataclasses
import json
import typing

from citronweir import core
from citronweir.platform import _boot as boot
from citronweir.platform import _names as names

_RANKS = tuple(core.Rank)
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError)


def decode_item(
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
    except (*_DECODE_ERRORS, RecursionError) as exc:
        return record, [f'{type(exc).__name__}: {exc}']
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
    """Decodes the entry of a replica; raises like ``decode_routes``."""
    return core.ListedReplica(
        replica_id,
        core.ServiceName(_text(fields['backend'])),
        boot.parse_address(_text(fields['address'])),
        core.DataCentre(_text(fields['zone'])),
        core.ListedState(fields['state']),
        max(1, _integer(fields['slots'])),
        _seconds(fields.get('warmup_left_ms', 0)),
        core.Epoch(_integer(fields.get('born', 0))),
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
        core.Repeat(item['kind']),
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


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'not an integer: {value!r}')
    return value


def _seconds(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'not a number: {value!r}')
    return value / 1000.0
