"""Translates between configuration records and the core types.

A value is a JSON object with the fields of its body and the ids of the
last changes under ``change_ids``, with the time of the last one.
"""

import dataclasses
import json
import math

from citronweir import core

CONTRACTS_PREFIX = core.CONTRACTS_PREFIX


def encode_contract(contract: core.Contract) -> str:
    """Encodes a contract as the JSON value of its record."""
    return json.dumps(_contract_fields(contract))


def encode_record(record: core.ConfigRecord) -> str:
    """Encodes the body and the change ids of a record as its value."""
    match record.body:
        case core.Contract():
            fields = _contract_fields(record.body)
        case core.FleetSettings():
            fields = _settings_fields(record.body)
        case core.Drain():
            fields = dataclasses.asdict(record.body)
        case _:
            raise ValueError('a record without a body has no value')
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
    """Reads the body and the change ids from a record's value.

    Args:
        record: Record with key, value and revision.

    Returns:
        The whole record; without a body, and with what is wrong, if the
        value cannot be read. Such a record keeps its revision, so that
        all nodes agree on it.
    """
    try:
        fields = json.loads(record.value)
        ids = tuple(
            core.ChangeId(str(item)) for item in fields.get('change_ids', ())
        )
        changed_wall = _to_number(fields.get('changed_wall', 0.0))
        body = _to_body(record.key, fields)
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as exc:
        return record, [f'malformed record {record.key}: {exc!r}']
    whole = dataclasses.replace(
        record, change_ids=ids, changed_wall=changed_wall, body=body
    )
    return whole, []


def _to_body(key, fields):
    if key.startswith(core.CONTRACTS_PREFIX):
        body = _to_contract(fields)
    elif key == core.SETTINGS_KEY:
        body = core.FleetSettings(
            {
                rank: _to_number(fields['shares'][rank.value])
                for rank in core.Rank
            },
            _to_number(fields['hedge_budget']),
            _to_number(fields['retry_budget']),
        )
    else:
        body = core.Drain(
            core.ReplicaId(str(fields['replica_id'])),
            fields['drained'] is True,
        )
    if core.config_key(body) != key:
        raise ValueError('the value names another record')
    return body


def _to_number(field):
    # json reads NaN and Infinity, which no comparison can handle.
    number = float(field)
    if not math.isfinite(number):
        raise ValueError('not a finite number')
    return number


def _settings_fields(settings):
    shares = {rank.value: share for rank, share in settings.shares.items()}
    return {
        'shares': shares,
        'hedge_budget': settings.hedge_budget,
        'retry_budget': settings.retry_budget,
    }


def _contract_fields(contract):
    return {
        'contract_id': contract.contract_id,
        'rank': contract.rank.value,
        'latency_target': contract.latency_target,
        'start': contract.start,
        'expiry': contract.expiry,
        'batch': contract.batch,
        'state': contract.state.value,
    }


def _to_contract(fields):
    return core.Contract(
        core.ContractId(str(fields['contract_id'])),
        core.Rank(fields['rank']),
        _to_number(fields['latency_target']),
        _to_number(fields['start']),
        _to_number(fields['expiry']),
        str(fields.get('batch', '')),
        core.ContractState(fields['state']),
    )
