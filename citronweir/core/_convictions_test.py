"""Tests of the convictions that the store holds."""

import dataclasses
import random

import pytest

from citronweir import core
from citronweir.core import _convictions as convictions
from citronweir.core import _crash_cause as crash_cause
from citronweir.core import _crash_reports as crash_reports

FINGERPRINT = core.Fingerprint('ab' * 12)
CALLER = core.CallerId('c1')
SERVICE = core.ServiceName('s')
NODES = [core.NodeId(f'n{number}') for number in range(8)]
WALL = 1.7e9  # wall-clock second at monotonic second 0
CRASHED_AT = 100.0  # monotonic second of the first crash
NOW = 110.0


def _make_crash(number, request_id=None, fingerprint=FINGERPRINT):
    return core.ReplicaReport(
        core.ReportKind.ENDED,
        fingerprint,
        CALLER,
        SERVICE,
        core.RequestId(request_id or f'r{number}'),
        core.ReplicaId(f'i{number}'),
    )


ANSWER = core.ReplicaReport(
    core.ReportKind.ANSWERED, FINGERPRINT, CALLER, SERVICE
)


@dataclasses.dataclass
class Node:
    """Tables of one node and what it knows of the store."""

    node_id: core.NodeId
    reports: core.CrashReportTable = dataclasses.field(
        default_factory=core.CrashReportTable
    )
    table: core.ConvictionTable = dataclasses.field(
        default_factory=core.ConvictionTable
    )


def _make_node(node_id, crashes=3, fingerprint=FINGERPRINT):
    node = Node(node_id)
    for number in range(crashes):
        at = CRASHED_AT + number
        report = _make_crash(number, fingerprint=fingerprint)
        core.merge_report(node.reports, report, at, at)
    return node


def _choose(node, now=NOW):
    return core.choose_write(
        node.table,
        node.reports,
        node.node_id,
        NODES,
        (now, WALL + now),
        random.Random(1),
    )


def _restore(node, conviction, now, wall=WALL):
    return core.restore_conviction(
        node.table, node.reports, conviction, (now, wall + now)
    )


def _classify(node, now):
    return core.classify_request(node.reports, FINGERPRINT, CALLER, now)


def _find_first_write(nodes, now=NOW, seconds=30.0):
    """Returns the node that writes first, the second, and what it writes."""
    end = now + seconds
    while now < end:
        for node in nodes:
            write = _choose(node, now)
            if write is not None:
                return node, now, write
        now += 0.25
    return None


def _make_conviction(crashes=3):
    _, _, write = _find_first_write([_make_node(n, crashes) for n in NODES])
    return write.conviction


def test_conviction_is_written_by_one_node_at_once():
    """Guards the store against a write of every node for one conviction."""
    nodes = [_make_node(node_id) for node_id in NODES]
    writer, at, write = _find_first_write(nodes)
    assert at == NOW
    assert len(write.conviction.crashes) == 3
    others = [node for node in nodes if node is not writer]
    for node in nodes:
        _restore(node, write.conviction, at + 0.5)
    assert _find_first_write(nodes, at + 0.5) is None
    assert len(others) == len(NODES) - 1


def test_conviction_is_written_although_the_first_writers_are_lost():
    """Guards a refusal that only other nodes know against its loss."""
    nodes = [_make_node(node_id) for node_id in NODES]
    first = []
    for _ in range(convictions.FIRST_WRITERS):
        writer, at, _ = _find_first_write(nodes)
        first.append((writer, at - NOW))
        nodes.remove(writer)
    assert [delay for _, delay in first] == [0.0, 1.0, 2.0]
    # A further node decides only if it was asked for the request.
    assert _find_first_write(nodes) is None
    assert _classify(nodes[0], NOW).state is core.SuspectState.CONVICTED
    writer, at, _ = _find_first_write(nodes)
    assert writer is nodes[0]
    limit = len(NODES) / convictions.LATER_WRITES + 0.25
    assert 0.0 <= at - NOW - convictions.FIRST_WRITERS <= limit


def test_node_without_other_state_refuses_what_the_store_records():
    """Guards replicas against a request whose crashes all nodes forgot."""
    node = Node(NODES[0])
    conviction = _make_conviction()
    assert _restore(node, conviction, now=5.0, wall=WALL + NOW)
    status = _classify(node, 5.0)
    assert status.state is core.SuspectState.CONVICTED
    # The delay of the trial goes on from the last crash.
    last_crash = 5.0 - (NOW + 5.0 - CRASHED_AT - 2.0)
    delay = crash_cause.FIRST_TRIAL_DELAY
    assert status.retry_at == pytest.approx(last_crash + delay, abs=0.01)
    assert not _restore(node, conviction, now=6.0)  # known by now


def test_trial_after_a_restart_waits_until_the_nodes_know_each_other():
    """Guards replicas against a trial of each node that has just started."""
    node, now = Node(NODES[0]), 1000.0
    _restore(node, _make_conviction(), now)
    assert now > _classify(node, now).retry_at
    for seconds, is_started in (
        (1.0, False),
        (crash_cause.MIN_TRIAL_INTERVAL, True),
    ):
        assert is_started == core.start_trial(
            node.reports,
            FINGERPRINT,
            node.node_id,
            [node.node_id],
            now + seconds,
        )


def test_crash_of_a_trial_is_added_to_the_record():
    """Guards the growing delay of trials against a restart."""
    nodes = [_make_node(node_id) for node_id in NODES]
    _, at, write = _find_first_write(nodes)
    for node in nodes:
        _restore(node, write.conviction, at)
        core.merge_report(node.reports, _make_crash(9), at + 40.0, at + 40.0)
    _, _, write = _find_first_write(nodes, at + 41.0)
    assert len(write.conviction.crashes) == 4
    node = Node(NODES[0])
    _restore(node, write.conviction, at + 42.0)
    retry_at = _classify(node, at + 42.0).retry_at
    delay = 2 * crash_cause.FIRST_TRIAL_DELAY
    assert retry_at == pytest.approx(at + 40.0 + delay, abs=0.01)


def test_record_is_removed_once_the_request_is_answered():
    """Guards callers against a refusal that comes back after a restart."""
    nodes = [_make_node(node_id) for node_id in NODES]
    _, at, write = _find_first_write(nodes)
    for node in nodes:
        _restore(node, write.conviction, at)
        core.merge_report(node.reports, ANSWER, at + 40.0, at + 40.0)
        assert _classify(node, at + 40.0) is None
        core.expire_reports(node.reports, at + 41.0)
    _, _, write = _find_first_write(nodes, at + 41.0)
    assert write == core.ConvictionWrite(FINGERPRINT, None)
    # A node that has not heard of the answer follows the removal.
    late = Node(NODES[0])
    _restore(late, _make_conviction(), at + 41.0)
    assert _classify(late, at + 41.0) is not None
    assert core.drop_conviction(late.table, late.reports, FINGERPRINT)
    assert _classify(late, at + 41.0) is None


def test_removal_keeps_a_crash_that_the_record_did_not_hold():
    """Guards against the loss of a crash after the removal was decided."""
    node = Node(NODES[0])
    _restore(node, _make_conviction(), NOW)
    core.merge_report(node.reports, _make_crash(9), NOW, NOW)
    core.drop_conviction(node.table, node.reports, FINGERPRINT)
    status = _classify(node, NOW + 1.0)
    assert status.state is core.SuspectState.SUSPECT


def test_expired_record_is_removed_and_refuses_nothing():
    """Guards the store against records that nobody removes."""
    now = NOW + crash_cause.REPORT_LIFETIME + 1.0
    nodes = [Node(node_id) for node_id in NODES]
    conviction = _make_conviction()
    for node in nodes:
        assert not _restore(node, conviction, now)
        assert _classify(node, now) is None
    _, _, write = _find_first_write(nodes, now)
    assert write == core.ConvictionWrite(FINGERPRINT, None)


def test_write_without_an_answer_is_repeated():
    """Guards a conviction against an outage of the store."""
    writer, at, write = _find_first_write([_make_node(n) for n in NODES])
    assert _choose(writer, at + 0.25) is None
    core.retry_write(writer.table, write, at + 0.25)
    assert _choose(writer, at + 0.5) is None
    seconds = convictions.WRITE_INTERVAL + 0.25
    assert _choose(writer, at + seconds).conviction is not None


def test_record_and_number_of_records_are_bounded():
    """Guards the store against callers with many requests or long ids."""
    node = Node(NODES[0])
    for number in range(convictions.MAX_RECORD_CRASHES + 4):
        at = CRASHED_AT + number
        report = _make_crash(number, request_id=f'{number}' + 'x' * 9000)
        core.merge_report(node.reports, report, at, at)
    nodes = [Node(node_id, node.reports) for node_id in NODES]
    _, _, write = _find_first_write(nodes, 200.0)
    crashes = write.conviction.crashes
    assert len(crashes) == convictions.MAX_RECORD_CRASHES
    ids = {report.request_id for report, _ in crashes}
    assert len(ids) == len(crashes)
    assert max(map(len, ids)) <= convictions.MAX_REQUEST_ID
    full = _make_node(NODES[0])
    for number in range(convictions.MAX_RECORDS):
        fingerprint = core.Fingerprint(f'{number:024x}')
        report = _make_crash(number, fingerprint=fingerprint)
        crash = report, WALL + NOW
        _restore(full, convictions.Conviction(fingerprint, (crash,)), NOW)
    _classify(full, NOW)
    assert _find_first_write([full]) is None


def test_conviction_that_other_requests_share_is_restored():
    """Guards a conviction that needs the reports of other requests.

    They are unknown after a restart, and a request with fewer crashes than
    a new conviction needs could not be told from a harmless one.
    """
    node = Node(NODES[0])
    _restore(node, _make_conviction(), NOW)
    other = core.Fingerprint('cd' * 12)
    for number in range(3):
        report = _make_crash(number, fingerprint=other)
        at = CRASHED_AT + number
        core.merge_report(node.reports, report, at, NOW)
    assert _classify(node, NOW).state is core.SuspectState.CONVICTED
    assert crash_reports.is_convicted_for_any(node.reports, FINGERPRINT)
