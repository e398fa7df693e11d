"""Tests of the blame for ends of replicas, over simulated fleets."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from citronweir import core
from citronweir.core import _crash_cause as ends
from citronweir.core import _crash_reports as crash_reports

REQ = core.HttpRequest(
    core.RequestId('id'), 'GET', 'a.example', '/a/x?y=1', (), b'', 1.0
)
PRINT = core.fingerprint_request(REQ)
CALLER = core.CallerId('c1')
SERVICE = core.ServiceName('s')
CONVICTED = core.SuspectState.CONVICTED
SUSPECT = core.SuspectState.SUSPECT


def _make_end(number, caller=CALLER, service=SERVICE, request=None):
    return core.ReplicaReport(
        core.ReportKind.ENDED,
        PRINT,
        caller,
        service,
        core.RequestId(f'r{number}' if request is None else request),
        core.ReplicaId(f'i{number}'),
    )


def _make_answer(caller=CALLER, service=SERVICE):
    return core.ReplicaReport(core.ReportKind.ANSWERED, PRINT, caller, service)


def _judge(table, now, caller=CALLER):
    """Judges once the reports of a moment ago count."""
    now += ends.SETTLE_TIME
    suspect_status = core.classify_request(table, PRINT, caller, now)
    return None if suspect_status is None else suspect_status.state


def _make_table(*reports):
    """Builds a table from reports and their seconds."""
    table = core.CrashReportTable()
    for report, at in reports:
        core.note_report(table, report, at, at)
    return table


@pytest.mark.parametrize(
    'change',
    [
        {'method': 'POST'},
        {'target': '/a/x?y=2'},
        {'target': '/a/x'},
        {'host': 'b.example'},
        {'body': b'x'},
    ],
)
def test_other_content_has_another_fingerprint(change):
    """Guards requests that differ from the guilty one in any part."""
    other = dataclasses.replace(REQ, **change)
    assert core.fingerprint_request(other) != PRINT


@pytest.mark.parametrize(
    'change',
    [
        {'request_id': core.RequestId('other')},
        {'headers': (('User-Agent', 'x'),)},
        {'budget': 2.0},
        {'host': 'A.example'},
    ],
)
def test_repeat_has_the_same_fingerprint(change):
    """Guards replicas against a repeat that looks new."""
    other = dataclasses.replace(REQ, **change)
    assert core.fingerprint_request(other) == PRINT


def test_third_end_of_repeats_convicts():
    """Guards replicas against a request that ends all which run it."""
    table = core.CrashReportTable()
    states = []
    for number in range(3):
        core.note_report(table, _make_end(number), number, number)
        states.append(_judge(table, number))
    assert states == [SUSPECT, SUSPECT, CONVICTED]
    assert _judge(table, 1199.0) is CONVICTED
    # It counts anew once the reports are too old.
    assert _judge(table, 1203.0) is None


def test_replicas_that_fail_together_convict_no_request():
    """Guards a request over shards that meets the loss of a rack."""
    found = [
        (_make_end(number, service=f's{number}', request='r'), 1.0)
        for number in range(20)
    ]
    table = _make_table(*found)
    assert _judge(table, 1.0) is SUSPECT
    # Its repeat meets another end, at a service that was not hit before.
    core.note_report(table, _make_end(20, service='s20'), 2.0, 2.0)
    assert _judge(table, 2.0) is SUSPECT


def test_answer_voids_the_ends_before_it_at_its_service():
    """Guards a request that is repeated often while replicas fail."""
    table = _make_table((_make_end(0), 0.0), (_make_end(1), 1.0))
    assert core.note_report(table, _make_answer(), 1.5, 1.5)
    assert _judge(table, 1.5) is None
    assert not core.note_report(table, _make_answer(), 1.6, 1.6)
    core.note_report(table, _make_end(2), 2.0, 2.0)
    assert _judge(table, 2.0) is SUSPECT


def test_answer_of_another_service_voids_nothing():
    """Guards the replicas of one shard where all others answer."""
    table = core.CrashReportTable()
    for number in range(3):
        core.note_report(table, _make_end(number), number, number)
        answer = _make_answer(service=core.ServiceName('other'))
        core.note_report(table, answer, number + 0.5, number + 0.5)
    assert _judge(table, 3.0) is CONVICTED


def test_answer_that_came_before_the_end_was_known_counts():
    """Guards a request whose retry is answered before the check is over."""
    table = core.CrashReportTable()
    core.record_lost_request(table, PRINT, 1.0)
    core.note_report(table, _make_answer(), 1.01, 1.01)
    assert not core.note_report(table, _make_end(0), 1.0, 1.02)
    assert _judge(table, 1.02) is None


def test_rival_with_about_as_many_ends_delays_the_conviction():
    """Guards a request that ran beside the guilty one each time."""
    rival = core.Fingerprint('rival')
    table = core.CrashReportTable()
    for number in range(3):
        end = _make_end(number)
        core.note_report(table, end, number, number)
        beside = dataclasses.replace(end, fingerprint=rival)
        core.note_report(table, beside, number, number)
    states = []
    for number in range(3, 5):
        core.note_report(table, _make_end(number), number, number)
        states.append(_judge(table, number))
    assert states == [SUSPECT, CONVICTED]
    suspect_status = core.classify_request(table, rival, CALLER, 5.0)
    assert suspect_status.state is SUSPECT


def test_same_content_of_another_caller_is_not_refused():
    """Guards callers that send what crashes replicas for one of them."""
    other = core.CallerId('c2')
    table = _make_table(*((_make_end(n), float(n)) for n in range(5)))
    assert _judge(table, 5.0) is CONVICTED
    assert _judge(table, 5.0, other) is SUSPECT
    core.note_report(table, _make_answer(other), 6.0, 6.0)
    assert _judge(table, 6.0, other) is None
    assert _judge(table, 6.0) is CONVICTED


def test_caller_that_comes_from_many_addresses_is_convicted():
    """Guards replicas where a balancer hides who calls."""
    found = [
        (_make_end(number, core.CallerId(f'c{number}')), float(number))
        for number in range(4)
    ]
    assert _judge(_make_table(*found), 4.0, core.CallerId('c9')) is CONVICTED


def test_repeats_under_one_id_are_convicted():
    """Guards replicas against a caller that does not change its ids."""
    found = [(_make_end(n, request='same'), 2.0 * n) for n in range(3)]
    assert _judge(_make_table(*found), 4.0) is CONVICTED
    together = [(_make_end(n, request='same'), 0.01 * n) for n in range(3)]
    assert _judge(_make_table(*together), 0.1) is SUSPECT


def test_reports_reach_another_table_whole():
    """Guards against blame that a node hears without what speaks against."""
    table = core.CrashReportTable()
    for number in range(40):
        at = float(number)
        core.note_report(table, _make_end(number), at, at)
        core.note_report(table, _make_answer(), at + 0.5, at + 0.5)
    assert core.list_reports(table, 32, 40.0) == []
    for number in range(50, 53):
        core.note_report(table, _make_end(number), number, number)
    other = core.CrashReportTable()
    for report, at in core.list_reports(table, 32, 53.0):
        core.note_report(other, report, at, 53.0)
    assert _judge(other, 53.0) is CONVICTED


def test_table_is_bounded_and_keeps_what_is_convicted():
    """Guards memory, and replicas while many requests are lost."""
    table = _make_table(*((_make_end(n), float(n)) for n in range(3)))
    assert _judge(table, 2.0) is CONVICTED
    for number in range(3 * crash_reports.MAX_ENTRIES):
        core.record_lost_request(table, core.Fingerprint(str(number)), 3.0)
    assert len(table.entries) == crash_reports.MAX_ENTRIES
    assert _judge(table, 3.0) is CONVICTED
    core.expire_reports(table, 60.0)
    assert len(table.entries) == 1
    core.expire_reports(table, 1300.0)
    assert not table.entries


def test_suspect_whose_verdict_is_due_goes_one_at_a_time():
    """Guards replicas against repeats that come before a verdict."""
    table = _make_table(*((_make_end(n, request='r'), 0.0) for n in range(3)))
    suspect_status = core.classify_request(table, PRINT, CALLER, 1.0)
    assert (
        suspect_status.state is SUSPECT
        and suspect_status.is_conviction_pending
    )
    waits = [
        core.throttle_suspect(table, PRINT, 1.0 + n / 10) for n in range(7)
    ]
    assert waits == pytest.approx([0.0, 0.4, 0.3, 0.2, 0.1, 0.0, 0.4])
    # An answer ends that, and fewer ends hold nobody up.
    few = _make_table((_make_end(0), 0.0), (_make_end(1), 0.0))
    assert not core.classify_request(
        few, PRINT, CALLER, 1.0
    ).is_conviction_pending


def test_one_node_tries_a_convicted_request_less_and_less_often():
    """Guards a request that met three ends by chance, and the replicas."""
    nodes = [core.NodeId(f'n{number}') for number in range(8)]
    table = _make_table(*((_make_end(n), float(n)) for n in range(3)))
    assert _judge(table, 3.0) is CONVICTED
    trials, now = [], 3.0
    while now < 1000.0:
        now += 0.5
        suspect_status = core.classify_request(table, PRINT, CALLER, now)
        if now < suspect_status.retry_at:
            continue
        if any(
            [
                core.start_trial(table, PRINT, node, nodes, now)
                for node in nodes
            ]
        ):
            trials.append(now)
            core.note_report(table, _make_end(100 + now), now, now)
    gaps = [b - a for a, b in zip([2.0, *trials], trials, strict=False)]
    assert gaps == pytest.approx([30.0, 60.0, 120.0, 240.0, 480.0], abs=1.0)
    core.note_report(table, _make_answer(), now, now)
    assert core.classify_request(table, PRINT, CALLER, now) is None


REPORTS = st.lists(
    st.tuples(
        st.one_of(
            st.builds(
                _make_end,
                st.integers(0, 5),
                st.sampled_from([CALLER, core.CallerId('c2')]),
                st.sampled_from(['s', 't']),
            ),
            st.builds(
                _make_answer,
                st.sampled_from([CALLER, core.CallerId('c2')]),
                st.sampled_from(['s', 't']),
            ),
        ),
        st.integers(1, 50).map(float),
    ),
    max_size=20,
)


@hypothesis.given(REPORTS, st.randoms())
def test_order_of_reports_does_not_matter(reports, rng):
    """Guards against nodes that disagree on what is refused."""
    first = {}
    for report, at in reports:
        # An end is seen once, by one node.
        if report.kind is core.ReportKind.ENDED:
            first.setdefault(report, at)
        else:
            first[report] = max(at, first.get(report, at))
    tables = core.CrashReportTable(), core.CrashReportTable()
    for table in tables:
        core.record_lost_request(table, PRINT, 50.0)
        items = list(first.items())
        rng.shuffle(items)
        for report, at in items:
            core.note_report(table, report, at, 50.0)
    for caller in (CALLER, core.CallerId('c2')):
        assert _judge(tables[0], 50.0, caller) == _judge(
            tables[1], 50.0, caller
        )


GUILTY = frozenset({core.Fingerprint('q0'), core.Fingerprint('q1')})


def _run_round(table, rng, step, late):
    """Sends each request to one replica, and once more where that ends.

    Returns:
        What the nodes report a round later, and how many replicas ended
        under guilty requests.
    """
    now, lost = float(step), 0
    prints = [core.Fingerprint(f'q{number}') for number in range(8)]
    running = [[] for _ in range(6)]
    for fingerprint in prints:
        suspect_status = core.classify_request(table, fingerprint, CALLER, now)
        if suspect_status is not None and suspect_status.state is CONVICTED:
            assert fingerprint in GUILTY
            continue
        running[rng.randrange(6)].append(fingerprint)
    by_itself = rng.randrange(6) if rng.random() < 0.3 else None
    ended = {
        number
        for number, here in enumerate(running)
        if GUILTY & set(here) or number == by_itself
    }
    for number, here in enumerate(running):
        lost += bool(GUILTY & set(here))
        for fingerprint in here:
            tried = [number]
            if number in ended and fingerprint not in GUILTY:
                tried.append(rng.choice([n for n in range(6) if n != number]))
            for place in tried:
                report = _make_answer()
                if place in ended:
                    report = _make_end(place, request=f'{fingerprint}-{step}')
                    report = dataclasses.replace(
                        report, replica_id=core.ReplicaId(f'{place}-{step}')
                    )
                report = dataclasses.replace(report, fingerprint=fingerprint)
                late.append((report, now + 0.01 * len(tried)))
    return lost


# In the last three, of 10,001 seeds, an innocent request is refused.
@pytest.mark.parametrize('seed', [*range(50), 6157, 6406, 6780])
def test_two_guilty_requests_are_refused_and_innocents_are_served(seed):
    """Guards against both: lost replicas, and requests refused for them.

    Two requests end each replica that runs them, and replicas end by
    themselves as well, sometimes the ones to which others are retried.
    """
    rng, table = random.Random(seed), core.CrashReportTable()
    lost, late = 0, []
    for step in range(60):
        for report, at in late:
            core.note_report(table, report, at, float(step))
        late = []
        lost += _run_round(table, rng, step, late)
    # Six, and more where they shared the ends of replicas.
    assert lost <= 2 * 2 * ends.MIN_ENDS
