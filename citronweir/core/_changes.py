"""Validates operators' changes and decides what to write to the store.

Every write is conditional on the expected revision, and a record keeps the
ids of its last changes. A repeated change is therefore applied only once.
"""

import dataclasses
import math
import re

from citronweir.core import _data as data
from citronweir.core import _revisions as revisions

MAX_CHANGE_IDS = 8
MAX_LATENCY_TARGET = 60.0  # seconds
MAX_BATCH_NAME_CHARS = 128

_ID_PATTERN = re.compile(r'[A-Za-z0-9._:-]{1,128}')


def decide_change(
    current: data.ConfigRecord | None, change: data.Change, wall_now: float
) -> data.ConfigRecord | data.ChangeOutcome:
    """Decides which record to write for an operator's change.

    Args:
        current: Record in the store, or None.
        change: Change requested by the operator.
        wall_now: Wall-clock time, seconds since the epoch.

    Returns:
        The record to write, without its value and at the expected revision,
        or the outcome if there is nothing to write.
    """
    if current and change.change_id in current.change_ids:
        return data.ChangeAccepted(current)
    errors = _check_change(change, wall_now)
    if errors:
        return data.ChangeInvalid(tuple(errors))
    revision = current.revision if current else data.NO_REVISION
    if revision != change.expected:
        return data.ChangeConflict(current)
    old = current.body if current else None
    errors = _check_current(old, change.target)
    if errors:
        return data.ChangeInvalid(tuple(errors))
    body = change.target
    if isinstance(body, data.Withdrawal):
        body = dataclasses.replace(old, state=data.ContractState.WITHDRAWN)
    ids = (*(current.change_ids if current else ()), change.change_id)
    return data.ConfigRecord(
        revisions.config_key(body),
        '',
        revision,
        ids[-MAX_CHANGE_IDS:],
        wall_now,
        body,
    )


def interpret_read_back(
    current: data.ConfigRecord | None, change: data.Change
) -> data.ChangeAccepted | data.ChangeConflict | data.RetryWrite:
    """Interprets the record read after a write with an unknown result.

    Args:
        current: Record that was read, or None. A stale read may return a
            revision before the expected one, which shows nothing about the
            write.
        change: Change that was written.

    Returns:
        Whether the write took effect, lost to a conflicting one, or may be
        repeated because the read shows no change of the record.
    """
    revision = current.revision if current else data.NO_REVISION
    if revision <= change.expected:
        return data.RetryWrite()
    return interpret_conflict(current, change)


def interpret_conflict(
    current: data.ConfigRecord | None, change: data.Change
) -> data.ChangeAccepted | data.ChangeConflict:
    """Interprets the record that made a conditional write fail.

    Args:
        current: Record that the write found, or None.
        change: Change that was written.

    Returns:
        Acceptance if an earlier attempt of the same change took effect,
        otherwise the conflict.
    """
    if current and change.change_id in current.change_ids:
        return data.ChangeAccepted(current)
    return data.ChangeConflict(current)


def _check_change(change, wall_now):
    errors = []
    if not _ID_PATTERN.fullmatch(change.change_id):
        errors.append(_id_error('change_id'))
    if change.expected < 0:
        errors.append(
            data.FieldError('expected_revision', 'must be 0 or more')
        )
    match change.target:
        case data.Contract():
            errors += _check_contract(change.target, wall_now)
        case data.Withdrawal() if not _ID_PATTERN.fullmatch(
            change.target.contract_id
        ):
            errors.append(_id_error('contract_id'))
        case data.FleetSettings():
            errors += _check_settings(change.target)
        case data.Drain() if not _ID_PATTERN.fullmatch(
            change.target.replica_id
        ):
            errors.append(_id_error('replica_id'))
    return errors


def _check_current(old, target):
    if isinstance(target, data.Withdrawal) and old is None:
        return [data.FieldError('contract_id', 'no such contract')]
    withdrawn = (
        isinstance(old, data.Contract)
        and old.state is data.ContractState.WITHDRAWN
    )
    if withdrawn:
        return [data.FieldError('contract_id', 'the contract is withdrawn')]
    return []


def _check_contract(contract, wall_now):
    errors = []
    if not _ID_PATTERN.fullmatch(contract.contract_id):
        errors.append(_id_error('contract_id'))
    if not 0 < contract.latency_target <= MAX_LATENCY_TARGET:
        errors.append(
            data.FieldError(
                'latency_target_seconds',
                f'must be above 0 and at most {MAX_LATENCY_TARGET:g}',
            )
        )
    if not contract.start < contract.expiry:
        errors.append(data.FieldError('expiry', 'must be after start'))
    elif contract.expiry <= wall_now:
        errors.append(data.FieldError('expiry', 'must be in the future'))
    if len(contract.batch) > MAX_BATCH_NAME_CHARS:
        errors.append(
            data.FieldError(
                'batch', f'must have at most {MAX_BATCH_NAME_CHARS} characters'
            )
        )
    return errors


def _check_settings(settings):
    errors = []
    shares = [settings.shares.get(rank, math.nan) for rank in data.Rank]
    if not all(0 <= share <= 1 for share in shares) or not math.isclose(
        sum(shares), 1.0
    ):
        errors.append(
            data.FieldError(
                'shares', 'each must be from 0 to 1, and their sum 1'
            )
        )
    for name in ('hedge_budget', 'retry_budget'):
        if not 0 <= getattr(settings, name) <= 1:
            errors.append(data.FieldError(name, 'must be from 0 to 1'))
    return errors


def _id_error(field):
    return data.FieldError(
        field, 'must be 1 to 128 of letters, digits, "." "_" ":" "-"'
    )
