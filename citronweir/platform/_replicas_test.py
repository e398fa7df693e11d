"""Tests of requests to replicas and of their replies."""

from hypothesis import given
from hypothesis import strategies as st

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


def test_request_goes_on_unchanged_with_what_is_left():
    """Guards against a changed request and a deadline beyond the caller's."""
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


def test_refusals_say_that_the_request_did_not_run():
    """Guards G4: only a stated refusal counts as not run."""
    assert _reply(503, {'x-not-executed': '1'}) == core.NotRun(
        core.NotRunReason.SHED
    )
    assert _reply(421, {}) == core.NotRun(core.NotRunReason.MISDIRECTED)
    assert isinstance(_reply(503, {}), core.Replied)


def test_success_needs_a_signature_and_no_encoding():
    """Guards G3: bytes that the replica did not vouch for are no answer."""
    assert isinstance(_reply(200, SIGNED), core.Replied)
    assert isinstance(_reply(200, {}), core.Lost)
    encoded = SIGNED | {'content-encoding': 'gzip'}
    assert isinstance(_reply(200, encoded), core.Lost)


def test_reply_to_another_request_is_not_ours():
    """Guards G3 against a late second reply on the same connection."""
    is_own = platform.make_reply_matcher(REQ.request_id)
    assert is_own({'x-request-id': 'id-1'})
    assert not is_own({'x-request-id': 'id-0'})


@given(st.text())
def test_any_load_is_read_or_left_out(text):
    """Guards against a field that stops a reply from being taken."""
    outcome = _reply(200, SIGNED | {'x-server-load': text})
    assert isinstance(outcome, core.Replied)


def test_load_is_read():
    """Guards placement against a queue that is read as slots."""
    outcome = _reply(200, SIGNED | {'x-server-load': '3,1,8'})
    assert outcome.reply.load == (3, 1, 8)
