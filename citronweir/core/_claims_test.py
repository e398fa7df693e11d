"""Tests of decisions on claims; _orders_test.py tests the life cycle."""

import uuid

import pytest

from citronweir.core import _claims as claims
from citronweir.core import _data as data

NOW = 1_800_000_000.0
CONTRACT = data.ContractId('c')
OWN = data.Claim(
    data.ClaimState.CLAIMED, data.ClaimToken('t'), data.NodeId('n')
)


def _id(wall, version=7):
    stamp = round(wall * 1000) << 80
    return str(uuid.UUID(int=stamp | version << 76 | 2 << 62))


@pytest.mark.parametrize(
    ('age', 'decided'),
    [
        (-60.0, True),
        (-60.1, False),
        (23 * 3600.0, True),
        (23 * 3600.0 + 0.1, False),
    ],
)
def test_only_ids_within_the_retention_are_decided(age, decided):
    """A repeated order must not run again after its claim has expired."""
    result = claims.check_order_id(CONTRACT, _id(NOW - age), NOW)
    assert isinstance(result, data.ClaimKey) == decided
    if not decided:
        assert result == data.Unknown(data.UnknownReason.ID_EXPIRED)


def test_retention_exceeds_the_age_of_every_decided_id():
    """A lease must not expire while claims still decide its last id."""
    last_decision = (
        claims.LEASE_CLAIM_PERIOD + claims.MAX_ID_LEAD + claims.MAX_ID_AGE
    )
    assert last_decision + 200 < claims.LEASE_TTL


def test_all_spellings_of_an_id_share_a_claim():
    """A repeat with another spelling of the id must not run again."""
    keys = {
        claims.check_order_id(CONTRACT, spelling, NOW)
        for spelling in (_id(NOW), _id(NOW).upper(), '{' + _id(NOW) + '}')
    }
    assert len(keys) == 1


@pytest.mark.parametrize('bad', ['', 'x', '7', _id(NOW, 4), '\u0663' * 32])
def test_other_ids_are_refused(bad):
    """An id without a timestamp must be refused."""
    result = claims.check_order_id(CONTRACT, data.RequestId(bad), NOW)
    assert result == data.Refused(data.NotRunReason.INVALID_ID)


@pytest.mark.parametrize(
    ('result', 'kept'),
    [('x' * 4096, True), ('x' * 4097, False), ('\ud800', True)],
)
def test_result_is_kept_whole_or_not_at_all(result, kept):
    """A repeat must not get a truncated result as a complete one."""
    record, answer = claims.settle_claim(OWN, data.SubDone(result))
    assert answer.result == result
    step = data.WriteClaim(OWN, data.NO_REVISION)
    repeat = claims.after_write(step, data.ClaimConflict(record)).outcome
    not_kept = data.Failed(data.FailureReason.RESULT_NOT_KEPT)
    assert repeat == (answer if kept else not_kept)
