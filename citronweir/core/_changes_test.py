"""Tests the validation of operators' changes and their conflicts."""

import dataclasses
import functools

from citronweir.core import _changes as changes
from citronweir.core import _data as data
from citronweir.core import _revisions as revisions

CONTRACT = data.Contract(
    data.ContractId('c'), data.Rank.URGENT, 0.3, 100.0, 200.0
)
KEY = revisions.contract_key(CONTRACT.contract_id)


def _decide(current, target, expected=0, change_id='new', now=50.0):
    change = data.Change(data.ChangeId(change_id), expected, target)
    return changes.decide_change(current, change, now)


def test_wrong_fields_are_reported_together():
    """Guards against writing a change with invalid fields."""
    wrong = data.Contract(
        data.ContractId('a/b'), data.Rank.URGENT, float('nan'), 2.0, 1.0
    )
    outcome = _decide(None, wrong, change_id='')
    assert {item.field for item in outcome.errors} == {
        'change_id',
        'contract_id',
        'latency_target_seconds',
        'expiry',
    }
    shares = dict.fromkeys(data.Rank, 0.5)
    outcome = _decide(None, data.FleetSettings(shares, 2.0, float('nan')))
    assert [item.field for item in outcome.errors] == [
        'shares',
        'hedge_budget',
        'retry_budget',
    ]
    expired = _decide(None, CONTRACT, now=200.0)
    assert [item.field for item in expired.errors] == ['expiry']


def test_change_ids_are_bounded_and_final():
    """Guards against a repeated change that is applied again."""
    record = None
    for turn in range(12):
        revision = record.revision if record else 0
        record = _decide(record, CONTRACT, revision, f'id{turn}')
        record = dataclasses.replace(record, revision=revision + 1)
    assert record.change_ids == tuple(f'id{turn}' for turn in range(4, 12))
    repeat = functools.partial(_decide, record, CONTRACT, 3)
    assert repeat('id4', 999.0) == data.ChangeAccepted(record)
    assert repeat('other') == data.ChangeConflict(record)


def test_withdrawn_contract_stays_withdrawn():
    """Guards against an amendment that revives a contract."""
    withdrawal = data.Withdrawal(CONTRACT.contract_id)
    assert isinstance(_decide(None, withdrawal), data.ChangeInvalid)
    record = data.ConfigRecord(KEY, '', data.Revision(3), (), 0.0, CONTRACT)
    record = _decide(record, withdrawal, 3)
    assert record.body.state is data.ContractState.WITHDRAWN
    assert isinstance(_decide(record, CONTRACT, 3, 'x'), data.ChangeInvalid)


def test_stale_read_back_reports_no_conflict():
    """Guards against a conflict with a revision before the expected one."""
    change = data.Change(data.ChangeId('own'), data.Revision(5), CONTRACT)
    older = data.ConfigRecord(KEY, '', data.Revision(3), ('old',))
    assert isinstance(
        changes.interpret_read_back(older, change), data.RetryWrite
    )
    assert isinstance(
        changes.interpret_read_back(None, change), data.RetryWrite
    )
    newer = dataclasses.replace(older, revision=data.Revision(6))
    assert changes.interpret_read_back(newer, change) == data.ChangeConflict(
        newer
    )
    own = dataclasses.replace(newer, change_ids=('own', 'later'))
    assert changes.interpret_read_back(own, change) == data.ChangeAccepted(own)
    # A failed write, unlike a stale read, returns the current record.
    outcome = changes.interpret_conflict(older, change)
    assert outcome == data.ChangeConflict(older)
