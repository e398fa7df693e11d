"""Tests of the encoding of messages between nodes."""

import math
import random
import zlib

import hypothesis
from hypothesis import strategies as st
import msgpack

from citronweir import core
from citronweir.nodes import _codec as codec
from citronweir.nodes import _messages as messages

ADDRESS = core.Address('127.0.0.1', 7003)
MEMBER = core.Member(
    core.NodeId('n1'),
    ADDRESS,
    core.DataCentre('dc1'),
    core.MemberState.SUSPECT,
    core.Incarnation(1_796_380_000_000),
)
REPLICA = core.Replica(
    core.ReplicaId('r1'),
    ADDRESS,
    core.ReplicaState.DRAINING,
    (core.Holding(core.IndexName('i'), 3, core.WHOLE_KEY_SPACE, 5, 9),),
    core.Epoch(4),
    7,
    2,
    25,
)
SEARCH = core.SubSearch(
    core.RequestId('q1'),
    core.IndexName('i'),
    core.SnapshotId(3),
    core.KeyRange(0, 9),
    'søk',
    10,
    core.Rank.DEFERRABLE,
    107.0,
    'trace',
    True,
)
ORDER = core.SubOrder(SEARCH.request_id, 'i', 'b', core.Rank.URGENT, 107.0)
ANSWER = core.SubAnswer(
    3, core.KeyRange(0, 9), 4, 5, 6, (core.Hit('d', -1.5, 't'),)
)
OUTCOMES = (
    ANSWER,
    core.SubDone('done'),
    core.SubNotRun(core.NotRunReason.SHED),
    core.SubGone(),
    core.SubUnknown(core.UnknownReason.TIMEOUT),
    core.SubFailed('detail'),
)
QUERY = core.GroupQuery(
    7,
    core.RouteName('r'),
    (0, 3),
    core.HttpRequest(
        core.RequestId('id'),
        'GET',
        'a.example',
        '/a/',
        (('X-Name', 'v'),),
        b'\xff',
        7.0,
        arrival=core.ArrivalId(3),
    ),
    103.0,
    107.0,
)
GROUP_OUTCOMES = (
    core.Gathered(b'\xff', ('sig',), 1),
    core.Declined(core.NotRunReason.NO_REPLICA, 0.5),
    core.Unanswered(core.FailureReason.UPSTREAM_ERROR),
)
RECORD = core.ConfigRecord(core.ConfigKey('k'), '{}', core.Revision(5))
MESSAGES = (
    messages.Challenge(1, b'nonce'),
    messages.Hello(1, 'n1', 5, 'dc1', b'mac', b'nonce'),
    messages.Welcome(1, 'n1', 5, b'mac'),
    messages.Ping(1),
    messages.Pong(1, 1.5, 7.25),
    messages.Bye(),
    messages.Call(1, core.ReplicaId('r1'), SEARCH),
    messages.Call(2, core.ReplicaId('r1'), ORDER),
    *(
        messages.Reply(
            3, core.OwnerAnswer(item, 0.25, ((core.Rank.URGENT, 0.5),))
        )
        for item in OUTCOMES
    ),
    messages.Cancel(4),
    messages.Sync(5, core.Revision(9)),
    messages.Conf(0, core.ConfigBatch((RECORD,))),
    messages.Conf(5, core.ConfigBatch((RECORD,), 9, 3, 0.5, True)),
    messages.Conf(
        0, core.ConfigBatch((RECORD,), 9, 3, 0.5, confirmed_boot=-4.5)
    ),
    messages.Reports(
        (
            (
                core.ReplicaReport(
                    core.ReportKind.ENDED,
                    core.Fingerprint('f'),
                    core.CallerId('c'),
                    core.ServiceName('s'),
                    core.RequestId('r'),
                    core.ReplicaId('i'),
                ),
                99.0,
            ),
        )
    ),
    messages.Departures((core.Departure(core.ReplicaId('i'), core.Epoch(7)),)),
    messages.Suspect(
        core.Suspicion('f', core.SuspectState.CONVICTED, 1.0, 2.0)
    ),
    messages.Gather(6, QUERY),
    *(
        messages.Group(6, core.GroupAnswer(item, 0.25, (1,)))
        for item in GROUP_OUTCOMES
    ),
    core.Probe(1, MEMBER, (MEMBER, REPLICA)),
    core.ProbeRequest(2, MEMBER, MEMBER),
    core.Ack(3, MEMBER),
    core.Leave(MEMBER),
    core.Join(MEMBER),
    core.Table(MEMBER, (REPLICA,), True),
    core.Digest(MEMBER, (1, 2, 3), True),
    messages.Spend(4, core.TenantName('t'), -1.0, True),
    messages.Spent(4, core.QuotaDecision(True, False, 0.5, 2.0)),
    messages.Limited(core.TenantName('t'), 2.0),
)


def _body(message, now=100.0):
    return codec.encode(message, now)[4:]


def test_every_message_is_read_as_it_was_written():
    """Guards against a field that is lost or swapped by the codec."""
    assert {type(item) for item in MESSAGES} == set(codec._CODECS)
    for message in MESSAGES:
        assert codec.decode(_body(message), 100.0) == message


def _make_batch(count):
    return core.ConfigBatch(
        tuple(
            core.ConfigRecord(
                core.ConfigKey(f'servers/i-{number}'),
                f'{{"backend": "s{number}", "state": "ready", "slots": 2}}',
                core.Revision(number + 1),
            )
            for number in range(count)
        ),
        core.Revision(count),
    )


def test_large_batches_of_the_configuration_travel_compressed():
    """Guards against needless traffic between data centres.

    With 89 nodes, announcements of replicas were most of this traffic.
    """
    message = messages.Conf(0, _make_batch(600))
    body = _body(message)
    assert len(body) < 0.25 * len(repr(message.batch.records))
    assert len(body) < 12_000
    assert codec.decode(body, 100.0) == message


def test_signatures_of_an_answer_travel_compressed():
    """Guards against needless traffic between regions.

    Nodes of earlier versions don't ask for compressed signatures.
    """
    rng = random.Random(1)
    signatures = tuple(f'{rng.randrange(1 << 64):016x}' for _ in range(30))
    answer = core.GroupAnswer(core.Gathered(b'', signatures, 0), 0.1)
    packed = _body(messages.Group(1, answer))
    plain = _body(messages.Group(1, answer, is_packed=False))
    assert len(packed) < 0.75 * len(plain)
    assert codec.decode(packed, 0.0) == codec.decode(plain, 0.0)
    fields = msgpack.unpackb(_body(messages.Gather(6, QUERY)))
    del fields['z']
    assert not codec.decode(msgpack.packb(fields), 0.0).accepts_packed


def test_compressed_bytes_of_a_peer_are_bounded():
    """Guards against memory exhaustion by a decompression bomb.

    Truncated and invalid compressed data must be rejected as well.
    """
    fields = msgpack.unpackb(_body(messages.Conf(0, _make_batch(600))))
    bomb = zlib.compress(msgpack.packb([['k', 'x' * (8 << 20), 1]]))
    for wrong in (bomb, fields['c'][:-4], b'no deflate'):
        raw = msgpack.packb(fields | {'c': wrong})
        assert isinstance(codec.decode(raw, 0.0), messages.Malformed)


def test_deadline_travels_as_time_left():
    """Guards against a deadline read on the sender's monotonic clock."""
    call = codec.decode(_body(MESSAGES[6], now=100.0), 5000.0)
    assert call.sub.deadline == 5007.0


def test_unknown_keys_types_and_trailing_elements_are_ignored():
    """Guards against streams closed by an earlier version on new fields."""
    for message in MESSAGES:
        fields = msgpack.unpackb(_body(message))
        fields['later'] = {'x': [1]}
        for key in ('u', 'm', 'tm', 'o'):
            if key in fields:
                fields[key] = _extend(fields[key], key)
        assert codec.decode(msgpack.packb(fields), 100.0) == message
    raw = msgpack.packb({'t': 'later', 's': 1})
    assert codec.decode(raw, 0.0) == messages.Ignored('later')


def _extend(value, key):
    if key == 'u':
        return [[*item, 'later'] for item in value] + [[99, 'later']]
    return [*value, 'later']


def test_outcome_of_a_later_version_is_unknown_but_not_run_stays():
    """Guards against wrong retries between nodes of different versions.

    A request that may have run must not be retried, and one that did not
    run must stay retryable.
    """
    fields = msgpack.unpackb(
        _body(messages.Reply(1, core.OwnerAnswer(ANSWER)))
    )
    fields['o'] = ['later', 1]
    outcome = codec.decode(msgpack.packb(fields), 0.0).answer.outcome
    assert outcome == core.SubUnknown(core.UnknownReason.REPLY_LOST)
    fields['o'] = ['not_run', 'later reason']
    outcome = codec.decode(msgpack.packb(fields), 0.0).answer.outcome
    assert isinstance(outcome, core.SubNotRun)


def test_numbers_that_are_not_finite_or_in_range_are_malformed():
    """Guards against a NaN deadline, which never compares as passed."""
    for key, value in (
        ('left', math.nan),
        ('left', math.inf),
        ('left', -1.0),
        ('left', True),
        ('s', -1),
        ('s', 1.0),
        ('hi', 1 << 33),
        ('k', 3),
        ('id', b'q1'),
    ):
        fields = msgpack.unpackb(_body(MESSAGES[6]))
        fields[key] = value
        message = codec.decode(msgpack.packb(fields), 0.0)
        assert isinstance(message, messages.Malformed), (key, value)


def test_host_name_is_malformed():
    """Guards against a host name, which asyncio would resolve on a thread."""
    raw = _body(core.Join(MEMBER)).replace(b'127.0.0.1', b'localhost')
    assert isinstance(codec.decode(raw, 0.0), messages.Malformed)


@hypothesis.given(st.binary(max_size=200))
def test_random_bytes_give_a_tagged_result(raw):
    """Guards against an exception that escapes the decoder."""
    codec.decode(raw, 0.0)
    codec.split_frames(bytearray(raw), 100)


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    st.sampled_from(MESSAGES),
    st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=6),
    st.integers(0, 400),
)
def test_mutated_messages_give_a_tagged_result(message, changes, cut):
    """Guards against a type or range that the decoder does not check."""
    raw = bytearray(_body(message))
    for position, value in changes:
        raw[position % len(raw)] = value
    decoded = codec.decode(bytes(raw[: max(1, len(raw) - cut % 8)]), 100.0)
    if not isinstance(decoded, (messages.Malformed, messages.Ignored)):
        # An accepted message must be safe to use and to encode again.
        again = codec.decode(_body(decoded), 100.0)
        assert again == decoded


@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=50), max_size=8),
    st.lists(st.integers(1, 30)),
)
def test_frames_survive_any_cut_of_the_stream(bodies, sizes):
    """Guards against frames lost or merged at the boundary of two reads."""
    raw = b''.join(len(body).to_bytes(4) + body for body in bodies)
    buffer, found, at = bytearray(), [], 0
    for size in [*sizes, len(raw)]:
        buffer += raw[at : at + size]
        at += size
        parts, error = codec.split_frames(buffer, 50)
        assert error is None
        found += parts
    assert found == bodies


def test_length_out_of_bounds_is_malformed_before_the_body_comes():
    """Guards against memory allocated for an unchecked length."""
    for length in (0, 101, 0xFFFFFFFF):
        _, error = codec.split_frames(bytearray(length.to_bytes(4)), 100)
        assert isinstance(error, messages.Malformed)
