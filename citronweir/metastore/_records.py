"""Encodes and decodes configuration records.

A value is a JSON object with the fields of the record's body, the ids of
its most recent changes under ``change_ids`` and the time of the last change
under ``changed_wall``.
"""

import dataclasses
import json
import math

from citronweir import core

CONTRACTS_PREFIX = core.CONTRACTS_PREFIX


def encode_contract(contract: core.Contract) -> str:
    """Encodes a contract as the JSON value of its record."""
    return json.dumps(_encode_contract_fields(contract))


def encode_record(record: core.ConfigRecord) -> str:
    """Encodes the body, change ids and change time of a record as JSON.

    Raises:
        ValueError: The record has no body.
    """
    match record.body:
        case core.Contract():
            fields = _encode_contract_fields(record.body)
        case core.FleetSettings():
            fields = _encode_settings_fields(record.body)
        case core.Drain():
            fields = dataclasses.asdict(record.body)
        case _:
            raise ValueError('cannot encode a record without a body')
    return json.dumps(
        fields
        | {
            'change_ids': record.change_ids,
            'changed_wall': record.changed_wall,
        }
    )


def decode_record(
    record: core.ConfigRecord,
) -> tuple[core.ConfigRecord, list[str]]:
    """Decodes the body, change ids and change time from a record's value.

    Args:
        record: Record with key, value and revision.

    Returns:
        The decoded record and no errors. If the value is malformed, the
        record without a body, and the errors; such a record keeps its
        revision, so that all nodes agree on it.
    """
    try:
        fields = json.loads(record.value)
        ids = tuple(
            core.ChangeId(str(item)) for item in fields.get('change_ids', ())
        )
        changed_wall = _parse_finite(fields.get('changed_wall', 0.0))
        body = _decode_body(record.key, fields)
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        return record, [f'malformed record {record.key}: {exc!r}']
    decoded = dataclasses.replace(
        record, change_ids=ids, changed_wall=changed_wall, body=body
    )
    return decoded, []


def _decode_body(key, fields):
    if key.startswith(core.CONTRACTS_PREFIX):
        body = _decode_contract(fields)
    elif key == core.SETTINGS_KEY:
        body = core.FleetSettings(
            {
                rank: _parse_finite(fields['shares'][rank.value])
                for rank in core.Rank
            },
            _parse_finite(fields['hedge_budget']),
            _parse_finite(fields['retry_budget']),
        )
    else:
        body = core.Drain(
            core.ReplicaId(str(fields['replica_id'])),
            fields['drained'] is True,
        )
    if core.config_key(body) != key:
        raise ValueError('the value does not belong to this key')
    return body


def _parse_finite(field):
    # The json module accepts NaN and Infinity, which break comparisons.
    number = float(field)
    if not math.isfinite(number):
        raise ValueError('not a finite number')
    return number


def _encode_settings_fields(settings):
    shares = {rank.value: share for rank, share in settings.shares.items()}
    return {
        'shares': shares,
        'hedge_budget': settings.hedge_budget,
        'retry_budget': settings.retry_budget,
    }


def _encode_contract_fields(contract):
    return {
        'contract_id': contract.contract_id,
        'rank': contract.rank.value,
        'latency_target': contract.latency_target,
        'start': contract.start,
        'expiry': contract.expiry,
        'batch': contract.batch,
        'state': contract.state.value,
    }


def _decode_contract(fields):
    return core.Contract(
        core.ContractId(str(fields['contract_id'])),
        core.Rank(fields['rank']),
        _parse_finite(fields['latency_target']),
        _parse_finite(fields['start']),
        _parse_finite(fields['expiry']),
        str(fields.get('batch', '')),
        core.ContractState(fields['state']),
    )
