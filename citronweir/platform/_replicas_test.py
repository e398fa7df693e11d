"""Tests of the codec for requests to replicas and their replies."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir import platform
from citronweir import upstreams

REQ = core.HttpRequest(
    core.RequestId('id-1'),
    'POST',
    'a.example',
    '/a/b?c=d',
    (('Accept', '*/*'),),
    b'body',
    1.5,
)
SIGNED = {'x-server-stamp': 'sig', 'x-request-id': 'id-1'}


def _reply(status, headers, body=b'x'):
    return platform.decode_reply(
        upstreams.RawReply(status, headers, body, True)
    )


def test_request_is_forwarded_unchanged_with_the_remaining_time():
    """Guards against altered requests and deadlines after the caller's."""
    encode = platform.make_encoder(REQ)
    head, _, body = encode(core.ReplicaId('i-1'), 0.2505).partition(
        b'\r\n\r\n'
    )
    assert body == b'body'
    assert head.split(b'\r\n') == [
        b'POST /a/b?c=d HTTP/1.1',
        b'Host: a.example',
        b'Accept: */*',
        b'X-Request-Id: id-1',
        b'Content-Length: 4',
        b'X-Deadline-Ms: 250',
        b'X-Expect-Instance: i-1',
    ]


def test_stated_refusal_means_not_run():
    """Guards G4: only an explicit refusal counts as not run."""
    assert _reply(503, {'x-not-executed': '1'}) == core.NotRun(
        core.NotRunReason.SHED
    )
    assert _reply(421, {}) == core.NotRun(core.NotRunReason.MISDIRECTED)
    assert isinstance(_reply(503, {}), core.Replied)


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize('headers', [{}, SIGNED])
def test_status_without_the_statement_promises_nothing(status, headers):
    """Guards G4: a caller repeats an order after these statuses."""
    stated = headers | {'x-not-executed': '1'}
    assert isinstance(_reply(status, stated), core.NotRun)
    assert _reply(status, headers | {'retry-after': '1'}) == core.Replied(
        core.Reply(502, (), b'', '')
    )


def test_success_needs_a_signature_and_no_encoding():
    """Guards G3: a body without the replica's signature is not forwarded."""
    assert isinstance(_reply(200, SIGNED), core.Replied)
    assert isinstance(_reply(200, {}), core.Lost)
    encoded = SIGNED | {'content-encoding': 'gzip'}
    assert isinstance(_reply(200, encoded), core.Lost)


def test_reply_to_another_request_does_not_match():
    """Guards G3 against a late second reply on the same connection."""
    matches = platform.make_reply_matcher(REQ.request_id)
    assert matches({'x-request-id': 'id-1'})
    assert not matches({'x-request-id': 'id-0'})


def _notice(status=200, **headers):
    headers = {name.replace('_', '-'): headers[name] for name in headers}
    return platform.decode_notice(
        upstreams.RawReply(status, SIGNED | headers, b'x', True)
    )


@given(st.text() | st.from_regex(r'-?[0-9]{1,25}(,-?[0-9.e]{1,25}){0,5}'))
def test_invalid_load_header_does_not_reject_the_reply(text):
    """Guards against losing a reply because of its load header."""
    outcome = _reply(200, SIGNED | {'x-server-load': text})
    assert isinstance(outcome, core.Replied)
    notice = _notice(x_server_load=text)
    assert notice.has_malformed_load == (notice.load is None)


@pytest.mark.parametrize(
    'text, load',
    [
        ('3,1,8', core.ReportedLoad(3, 1, 8)),
        ('3, 1, 8, 100', core.ReportedLoad(3, 1, 8, 1.0)),
        ('3,1,8,250', core.ReportedLoad(3, 1, 8, 2.5)),
        ('3,1,8,50,new', None),
        ('3,1', None),
        ('3,1,-8', None),
        ('3,1,8,0', None),
        ('3,1,8,nan', None),
    ],
)
def test_load_header_is_decoded(text, load):
    """Guards against confusing queue length, slots and slowdown."""
    notice = _notice(x_server_load=text)
    assert notice.load == load
    assert notice.has_malformed_load == (load is None)


def test_leaving_is_read_from_every_answer():
    """Guards G6 against a replica that leaves without the registry."""
    for status in (200, 421, 500, 503):
        assert _notice(status, server_leaving='1').is_leaving
    assert not _notice().is_leaving
    assert not _notice(server_leaving='0').is_leaving


@pytest.mark.parametrize(
    'status, text, seconds',
    [
        (503, '3', 3.0),
        (503, '0.25', 0.25),
        (503, '1e9', 1e9),
        (200, '3', None),
        (503, '-1', None),
        (503, 'nan', None),
        (503, 'inf', None),
        (503, 'Fri, 31 Dec 1999 23:59:59 GMT', None),
    ],
)
def test_pause_is_read_from_refusals(status, text, seconds):
    """Guards a replica that asks for a pause against more requests."""
    assert _notice(status, retry_after=text).pause == seconds
