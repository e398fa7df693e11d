"""Tests that each check of the soak test can fail."""

import pytest

from bench import _soak_checks as checks
from fakes import platform_replica as replicas

Kind = checks.Kind
SERVICES = {'i-0a': 's0', 'i-0b': 's0', 'i-1a': 's1'}
RECORDS = {'i-0a': b'0' * 32, 'i-0b': b'0' * 32, 'i-1a': b'1' * 32}


def _reply(kind=Kind.ORDER, **fields):
    fields = {'sent_at': 1.0, 'ended_at': 1.5} | fields
    return checks.Reply(kind, 'q1', 'n1', **fields)


@pytest.mark.parametrize(
    'headers, sent_at, has_errors',
    [
        ({'X-Tenant': checks.TENANT}, 3.4, False),
        ({'X-Tenant': checks.TENANT}, 3.6, True),
        ({'X-Tenant': 'forged'}, 1.0, True),
        ({'X-Tenant': checks.TENANT, 'Authorization': 'k'}, 1.0, True),
    ],
)
def test_keys_stay_at_the_nodes_and_end_in_time(headers, sent_at, has_errors):
    """Guards against a withdrawn key that the soak test overlooks."""
    state = replicas.Replica('i-0a', ran=['q/key1'])
    state.seen.append(('GET /a/x HTTP/1.1', headers, b''))
    reply = checks.Reply(
        Kind.PLAIN, 'q/key1', 'n1', sent_at=sent_at, ended_at=9.0
    )
    errors = checks.check_identities([reply], [state], {'key1': 1.0})
    assert bool(errors) == has_errors


def _state(*arrivals, ran=()):
    """Builds a replica that received requests with these ids and times."""
    state = replicas.Replica('i-0a', ran=list(ran))
    for request_id, at in arrivals:
        state.seen.append(('GET /', {'X-Request-Id': request_id}, b''))
        state.seen_at.append(at)
    return state


@pytest.mark.parametrize(
    'status, ran, has_errors',
    [
        (200, ['q1'], False),
        (200, [], True),
        (200, ['q1', 'q1'], True),
        (503, [], False),
        (503, ['q1'], True),
        (502, ['q1'], False),
    ],
)
def test_orders_run_once_and_not_after_a_refusal(status, ran, has_errors):
    """Guards against a second execution that the soak test overlooks."""
    errors = checks.check_order_runs(
        [_reply(status=status)], [_state(ran=ran)]
    )
    assert bool(errors) == has_errors


@pytest.mark.parametrize(
    'signatures, missing, body, has_errors',
    [
        ('i-0a.q1, i-1a.q1', '0', b'1' * 32 + b'0' * 32, False),
        ('i-0a.q1', '1', b'0' * 32, False),
        ('i-0a.q2', '1', b'0' * 32, True),
        ('i-0a.q1, i-0b.q1', '0', b'0' * 64, True),
        ('i-0a.q1', '0', b'0' * 32, True),
        ('i-0a.q1, i-1a.q1', '0', b'0' * 32 + b'1' * 32, True),
        ('', '2', b'', True),
    ],
)
def test_replies_name_their_parts(signatures, missing, body, has_errors):
    """Guards against wrong coverage that the soak test overlooks."""
    headers = {'X-Part-Stamps': signatures, 'X-Parts-Missing': missing}
    reply = _reply(Kind.GATHER, status=200, headers=headers, body=body)
    errors = checks.check_replies([reply], RECORDS, SERVICES)
    assert bool(errors) == has_errors


@pytest.mark.parametrize(
    'status, headers, has_errors',
    [
        (404, {}, True),
        (503, {}, True),
        (503, {'Retry-After': '0.3'}, False),
    ],
)
def test_refusals_are_checked(status, headers, has_errors):
    """Guards against lost routes and refusals without Retry-After."""
    reply = _reply(status=status, headers=headers)
    errors = checks.check_replies([reply], RECORDS, SERVICES)
    assert bool(errors) == has_errors


@pytest.mark.parametrize(
    'error, arrivals, disturbance, has_errors',
    [
        ('reset', [('q1', 1.1)], None, True),
        ('reset', [], None, False),
        ('TimeoutError', [], None, True),
        ('reset', [('q1', 1.1)], ('n1', 1.2, 3.0), False),
        ('reset', [('q1', 1.1)], ('n2', 1.2, 3.0), True),
    ],
)
def test_lost_replies_are_found(error, arrivals, disturbance, has_errors):
    """Guards against replies that are lost when a node stops."""
    disturbances = (
        [checks.Disturbance(*disturbance, loses_replies=True)]
        if disturbance
        else []
    )
    errors = checks.check_lost_replies(
        [_reply(error=error)], [_state(*arrivals)], disturbances
    )
    assert bool(errors) == has_errors


def test_older_versions_are_found():
    """Guards against a process that reverts to an older configuration."""
    assert checks.check_versions([('n1', 7, 3), ('n1', 7, 2)])
    assert not checks.check_versions([('n1', 7, 3), ('n1', 8, 2)])


@pytest.mark.parametrize(
    'at, disturbance, has_errors',
    [
        (2.9, None, False),
        (3.1, None, True),
        (9.0, None, False),
        (5.0, ('n1', 1.0, 2.5), False),
        (5.6, ('n1', 1.0, 2.5), True),
    ],
)
def test_requests_after_a_drain_are_found(at, disturbance, has_errors):
    """Guards against new requests for a replica that is draining."""
    errors = checks.check_drains(
        [checks.Drain('i-0a', 0.0, 8.0)],
        {'i-0a': _state(('q1', at))},
        [checks.Disturbance(*disturbance)] if disturbance else [],
    )
    assert bool(errors) == has_errors


@pytest.mark.parametrize(
    'arrivals, disturbance, has_errors',
    [
        ([1.4, 1.4, 1.4, 4.1], None, False),
        ([1.6, 2.0], None, False),
        ([1.6, 2.0, 3.9], None, True),
        ([1.6, 2.0, 3.9], ('n1', 1.7, 1.8), False),
        ([1.6, 2.0, 3.9], ('n2', 1.7, 1.8), True),
    ],
)
def test_requests_in_a_pause_are_found(arrivals, disturbance, has_errors):
    """Guards replicas that ask for a pause and get none."""
    state = _state(('q1', 1.0), *(('q1', at) for at in arrivals))
    state.refusals.append((1.0, 'q1', 3.0))
    found = [checks.Disturbance(*disturbance)] if disturbance else []
    errors = checks.check_pauses([_reply()], [state], found)
    assert bool(errors) == has_errors


def test_extra_arrivals_are_counted_in_a_window():
    """Guards against hedges and retries that exceed their budget."""
    frequent = [('q1', number * 0.1) for number in range(60)]
    assert checks.check_extra_arrivals({'s0': [_state(*frequent)]})
    infrequent = [('q1', number * 1.0) for number in range(60)]
    assert not checks.check_extra_arrivals({'s0': [_state(*infrequent)]})


@pytest.mark.parametrize(
    'times, disturbances, has_errors',
    [
        ((0.0, 0.1, 0.2, 0.3, 4.1), (), False),
        ((0.0, 0.1, 0.2, 4.3, 5.0, 6.0), (), False),
        ((0.0, 0.1, 0.2, 4.3, 5.0, 6.0, 7.0), (), True),
        (
            (0.0, 0.1, 0.2, 4.3, 5.0, 6.0, 7.0),
            (checks.Disturbance('n1', 1.0, 3.5),),
            False,
        ),
        (
            (0.0, 0.1, 0.2, 4.3, 5.0, 6.0, 7.0),
            (checks.Disturbance('n2', 1.0, 3.5),),
            True,
        ),
    ],
)
def test_repeats_after_the_third_crash_are_counted(
    times, disturbances, has_errors
):
    """Guards against a request that crashes one replica after another."""
    state = _state(*((f'n1/{at}', at) for at in times), ('c1-1', 8.0))
    assert (
        bool(checks.check_crashes([state], disturbances, ('n1', 'n2')))
        == has_errors
    )
