"""Tests of the codec for requests to replicas and their replies."""

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


@given(st.text())
def test_invalid_load_header_does_not_reject_the_reply(text):
    """Guards against losing a reply because of its load header."""
    outcome = _reply(200, SIGNED | {'x-server-load': text})
    assert isinstance(outcome, core.Replied)


def test_load_header_is_decoded():
    """Guards against confusing queue length and slots."""
    outcome = _reply(200, SIGNED | {'x-server-load': '3,1,8'})
    assert outcome.reply.load == (3, 1, 8)
