"""Tests of citronweir-query."""

import json
import pathlib

import pytest

from citronweir import callers
from citronweir import core
from citronweir.programs import query

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'callers.md'
SNAPSHOT = core.SnapshotId(1)


@pytest.mark.parametrize(
    ('reply', 'status'),
    [
        (core.Complete(SNAPSHOT, (), 1, 1), 0),
        (core.Executed('order 7 accepted'), 0),
        (core.Partial(SNAPSHOT, (), 1, 2), 3),
        (core.Refused(core.NotRunReason.OVERLOADED), 4),
        (core.Unknown(core.UnknownReason.TIMEOUT), 5),
        (core.Failed(core.FailureReason.NO_COVERAGE), 6),
        ({'outcome': 'refused', 'reason': 'malformed'}, 2),
        (callers.CallerError('refused connection'), 7),
    ],
)
async def test_exit_code_follows_the_outcome(reply, status, capsys):
    """Guards against scripts that take a partial answer for a complete one."""

    async def post(session, url, fields):
        if isinstance(reply, dict | callers.CallerError):
            return reply
        _, text = callers.encode_outcome(core.RequestId('r'), reply)
        return json.loads(text)

    fields = {'request_id': 'order-7'}
    assert await query._send(post, 'http://127.0.0.1:1', fields) == status
    assert ('order-7' in capsys.readouterr().err) == (status == 7)
    assert f'\n| {status} | ' in PAGE.read_text(encoding='utf-8')


def test_page_names_every_reason():
    """Guards against reasons that are missing from the page for callers."""
    page = PAGE.read_text(encoding='utf-8')
    kinds = (core.NotRunReason, core.UnknownReason, core.FailureReason)
    for reason in (item for kind in kinds for item in kind):
        assert f'`{reason.value}`' in page
