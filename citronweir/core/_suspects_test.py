"""Tests of suspects, over simulated replicas and one poison request."""

import functools
import random

import hypothesis
from hypothesis import strategies as st

from citronweir.core import _data as data
from citronweir.core import _suspects as suspects

POISON = data.Fingerprint('poison')
HARMLESS = tuple(data.Fingerprint(f'q{number}') for number in range(6))
REPLICAS = tuple(data.ReplicaId(f'r{number}') for number in range(8))


def _run_round(table, rng, now, sends):
    """Starts requests at replicas at the same time, then ends them.

    Returns:
        Crashed replicas and refused requests.
    """
    refused = set()
    for fingerprint, replica_id in sends:
        check = suspects.check_send(table, replica_id, fingerprint, now)
        if check is data.SendCheck.REFUSE:
            refused.add(fingerprint)
        elif check is data.SendCheck.SEND:
            suspects.start_request(table, replica_id, fingerprint)
    running = {item: list(count) for item, count in table.in_flight.items()}
    crashed = [item for item in running if POISON in running[item]]
    for replica_id in crashed:
        in_flight = suspects.list_in_flight(table, replica_id)
        suspects.report_crash(table, in_flight, now)
    for replica_id, fingerprints in running.items():
        for fingerprint in fingerprints:
            suspects.end_request(table, replica_id, fingerprint)
            if replica_id not in crashed and rng.random() < 0.5:
                suspects.clear_request(table, fingerprint, now)
    assert not table.in_flight
    return crashed, refused


@hypothesis.given(st.integers(0, 10_000), st.integers(1, 12))
def test_poison_crashes_two_replicas_and_harmless_requests_run(seed, width):
    """Guards against a request that is retried until all replicas are down.

    A suspicion reaches all nodes within one round. In each round the poison
    request is sent to at most one replica.
    """
    rng = random.Random(seed)
    table = suspects.SuspectTable()
    crash_count = 0
    for step in range(40):
        target = rng.choice(REPLICAS)
        sends = [(POISON, target)] if rng.random() < 0.5 else []
        for _ in range(width):
            replica_id = rng.choice((target, rng.choice(REPLICAS)))
            sends.append((rng.choice(HARMLESS), replica_id))
        rng.shuffle(sends)
        sends = list(dict.fromkeys(sends))
        crashed, refused = _run_round(table, rng, step * 1.0, sends)
        crash_count += len(crashed)
        assert refused <= {POISON}
    assert crash_count <= 2


def test_crashes_count_afresh_after_a_conviction_expires():
    """Guards against a permanent quarantine."""
    table = suspects.SuspectTable()
    for now in (0.0, 1.0):
        suspects.report_crash(table, [POISON], now)
    send = functools.partial(suspects.check_send, table, REPLICAS[0], POISON)
    assert send(600.0) is data.SendCheck.REFUSE
    assert send(601.0) is data.SendCheck.SEND


def test_canary_for_suspects_and_unseen_requests():
    """Guards against the fan-out of an unseen request that may crash all."""
    table = suspects.SuspectTable()
    assert suspects.needs_canary(table, POISON, 0.0, True)
    assert not suspects.needs_canary(table, POISON, 0.0, False)
    suspects.clear_request(table, POISON, 0.0)
    assert not suspects.needs_canary(table, POISON, 60.0, True)
    assert suspects.needs_canary(table, POISON, 61.0, True)
    suspects.report_crash(table, [POISON], 61.0)
    assert suspects.needs_canary(table, POISON, 61.0, False)
    suspects.clear_request(table, POISON, 62.0)
    assert not suspects.needs_canary(table, POISON, 62.0, True)


SUSPICIONS = st.builds(
    lambda state, at: data.Suspicion(POISON, state, at, at + 600.0),
    st.sampled_from(data.SuspectState),
    st.integers(1, 900),
)


@hypothesis.given(st.lists(SUSPICIONS, max_size=6), st.randoms())
def test_records_of_other_nodes_merge_in_any_order(records, rng):
    """Guards against nodes that disagree on which requests are refused."""
    tables = suspects.SuspectTable(), suspects.SuspectTable()
    for record in records:
        suspects.merge_record(tables[0], record, 0.0)
    for record in rng.sample(records, len(records)) + records:
        suspects.merge_record(tables[1], record, 0.0)
    assert tables[0].records == tables[1].records
