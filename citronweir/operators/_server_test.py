"""Tests of the operators' calls over a TCP connection."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import subprocess
import sys

import aiohttp
from aiohttp import test_utils
import pytest

from citronweir import core
from citronweir import operators
from citronweir.operators import _server as server
from citronweir.operators import messages

ROOT = pathlib.Path(__file__).parents[2]
SCHEMA = 'citronweir/operators/operators.proto'
GENERATED_CODE = 'citronweir/operators/operators_pb2.py'
KEY = 'operators-key-é'
DEFAULTS = core.FleetSettings(dict.fromkeys(core.Rank, 1 / 3), 0.05, 0.1)
STATUS = core.NodeStatus('n1', 'dc1', 7, 3, float('inf'), (), (), False)


@contextlib.asynccontextmanager
async def _serve(answer=None):
    """Runs a server whose store is a dict; ``answer`` fixes the outcome."""
    records = {}

    async def change(wanted):
        if answer:
            return answer
        key = core.config_key(wanted.target)
        record = core.decide_change(records.get(key), wanted, 0.0)
        if not isinstance(record, core.ConfigRecord):
            return record
        record = dataclasses.replace(record, revision=record.revision + 1)
        records[key] = record
        return core.ChangeAccepted(record)

    handlers = operators.Handlers(
        change, lambda: records, lambda: DEFAULTS, lambda: STATUS
    )
    app = operators.make_app(handlers, KEY)
    async with (
        test_utils.TestServer(app, host='127.0.0.1') as srv,
        aiohttp.ClientSession() as session,
    ):
        yield str(srv.make_url('')), session


def _create(contract_id='c1', change_id='id1', rank=messages.RANK_URGENT):
    msg = messages.CreateContractRequest(change_id=change_id)
    msg.contract.contract_id = contract_id
    msg.contract.rank = rank
    msg.contract.latency_target_seconds = 0.25
    msg.contract.start.FromSeconds(100)
    msg.contract.expiry.FromMilliseconds(200_500)
    return msg


def _call(endpoint, method, msg, key=KEY):
    url, session = endpoint
    return operators.call(session, url, key, method, msg)


@pytest.mark.parametrize(
    ('headers', 'method', 'body', 'status', 'code'),
    [
        ({'Authorization': 'Bearer x'}, 'GetStatus', '{}', 401, 'unauthent'),
        ({'Authorization': ''}, 'GetStatus', '{}', 401, 'unauthent'),
        ({}, 'Frob', '{}', 501, 'unimplemented'),
        ({}, 'GetStatus', '{', 400, 'invalid_argument'),
        ({}, 'GetStatus', b'\xff', 400, 'invalid_argument'),
        ({}, 'GetStatus', '[' * 30000, 400, 'invalid_argument'),
        ({}, 'GetStatus', '{"frob": 1}', 400, 'invalid_argument'),
        ({'Content-Type': 'text/plain'}, 'GetStatus', '{}', 400, 'invalid'),
        ({}, 'GetStatus', ' ' * 65537, 429, 'resource_exhausted'),
    ],
)
async def test_invalid_calls_are_rejected(headers, method, body, status, code):
    """Guards against calls that bypass authentication or validation."""
    sent = {
        'Authorization': f'Bearer {KEY}',
        'Content-Type': 'application/json',
    } | headers
    async with _serve() as (url, session):
        path = url + server.PATH + method
        async with session.post(path, data=body, headers=sent) as resp:
            reply = await resp.json()
            assert resp.status == status
            assert reply['code'].startswith(code)
            assert reply['message']
        status_reply = await _call(
            (url, session), 'GetStatus', messages.GetStatusRequest()
        )
        assert status_reply.node_id == 'n1'
        assert not status_reply.HasField('config_age_seconds')


async def test_conflict_names_the_winning_change_and_repeats_succeed():
    """Guards against applying a change twice and unexplained conflicts."""
    async with _serve() as endpoint:
        first = await _call(endpoint, 'CreateContract', _create())
        assert first.revision == 1
        assert first.contract == _create().contract
        assert await _call(endpoint, 'CreateContract', _create()) == first
        lost = await _call(
            endpoint, 'CreateContract', _create(change_id='id2')
        )
        assert lost.code is operators.Code.ABORTED
        assert lost.detail.winning_revision == 1
        assert lost.detail.winning_change_id == 'id1'


async def test_invalid_fields_are_named():
    """Guards against errors that do not name the invalid field."""
    async with _serve() as endpoint:
        msg = _create('a/b', '')
        reply = await _call(endpoint, 'CreateContract', msg)
        assert reply.code is operators.Code.INVALID_ARGUMENT
        found = {item.field for item in reply.detail.errors}
        assert found == {'change_id', 'contract_id'}
        reply = await _call(endpoint, 'CreateContract', _create(rank=0))
        assert [item.field for item in reply.detail.errors] == ['rank']


async def test_unknown_and_unavailable_outcomes_are_distinguished():
    """Guards against reporting an unknown outcome as a refusal."""
    unknown = core.ChangeUnknown(core.ChangeId('id1'))
    async with _serve(unknown) as endpoint:
        reply = await _call(endpoint, 'CreateContract', _create())
        assert reply.code is operators.Code.UNKNOWN
        assert reply.detail.change_id == 'id1'
    async with _serve(core.ChangeUnavailable('down')) as endpoint:
        reply = await _call(endpoint, 'CreateContract', _create())
        assert reply.code is operators.Code.UNAVAILABLE
        _, session = endpoint
        closed = 'http://127.0.0.1:1', session
        reply = await _call(closed, 'CreateContract', _create())
        assert reply.code is operators.Code.UNAVAILABLE


async def test_contracts_are_listed_in_pages():
    """Guards against pages that skip or repeat a contract."""
    async with _serve() as endpoint:
        for number in range(5):
            msg = _create(f'c{number}')
            assert (await _call(endpoint, 'CreateContract', msg)).revision
        found, token = [], ''
        for _ in range(3):
            msg = messages.ListContractsRequest(page_size=2, page_token=token)
            page = await _call(endpoint, 'ListContracts', msg)
            found += [item.contract.contract_id for item in page.contracts]
            token = page.next_page_token
        assert found == ['c0', 'c1', 'c2', 'c3', 'c4']
        assert not token
        wrong = messages.ListContractsRequest(page_size=501)
        reply = await _call(endpoint, 'ListContracts', wrong)
        assert reply.detail.errors[0].field == 'page_size'


async def _admin(url, *args, key=KEY):
    proc = await asyncio.create_subprocess_exec(
        *f'{sys.executable} -m citronweir.programs.admin'.split(),
        *args,
        '--url',
        url,
        env={**os.environ, 'CITRONWEIR_OPERATOR_KEY': key},
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await asyncio.wait_for(proc.communicate(), 30)
    return proc.returncode, out.decode() + err.decode()


async def test_command_line_exit_statuses():
    """Guards scripts against mistaking a failure for success."""
    budgets = '--hedges 0.05 --retries 0.1 --expected 0'
    shares = f'settings change {budgets} --urgent 0.6 --ordinary 0.3'.split()
    change = (*shares, '--deferrable', '0.1')
    async with _serve() as (url, _):
        code, text = await _admin(url, *change, '--change-id', 'x1')
        assert (code, '"urgentShare": 0.6' in text) == (0, True)
        code, text = await _admin(url, *change)
        assert (code, "revision 1 by change 'x1'" in text) == (3, True)
        assert (await _admin(url, *shares, '--deferrable', '0.9'))[0] == 2
        assert (await _admin(url, 'status', '--frob'))[0] == 2
        assert (await _admin(url, 'status', key='wrong'))[0] == 6
        assert (await _admin(url, 'contract', 'get', 'c'))[0] == 2
        dates = '--start 2026-01-01T00:00:00Z --expiry 2027-01-01T00:00:00Z'
        create = f'contract create c --rank urgent --latency-ms 250 {dates}'
        code, text = await _admin(url, *create.split())
        assert (code, '"expiry": "2027-01-01T00:00:00Z"' in text) == (0, True)
        withdraw = ('contract', 'withdraw', 'c', '--expected', '1')
        code, text = await _admin(url, *withdraw)
        assert (code, 'CONTRACT_STATE_WITHDRAWN' in text) == (0, True)
        assert (await _admin(url, 'drain', 'r1'))[0] == 0
    assert (await _admin('http://127.0.0.1:1', 'status'))[0] == 5
    async with _serve(core.ChangeUnknown(core.ChangeId('i'))) as (url, _):
        assert (await _admin(url, 'undrain', 'r1', '--expected', '1'))[0] == 4


def test_generated_code_is_up_to_date(tmp_path):
    """Guards against schema changes without regenerated code."""
    args = f'--proto_path=. --python_out={tmp_path} {SCHEMA}'
    command = f'{sys.executable} -m grpc_tools.protoc {args}'
    subprocess.run(command.split(), cwd=ROOT, check=True)
    fresh = (tmp_path / GENERATED_CODE).read_text()
    assert (ROOT / GENERATED_CODE).read_text() == fresh
