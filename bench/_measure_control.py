"""Measures memory, messages and processor time of the control roles."""

import functools
import random
import tracemalloc

from bench import _fleet_data as fleet_data
from bench import _slopes as slopes
from bench import membership
from citronweir import core
from citronweir import metastore
from citronweir.nodes import _codec as codec

SEED = 1
# With more nodes the records of the common start are still on their way
# after the settling time of the bench.
NODES = (25, 50, 100, 200)
PLANNED_NODES = 583
PLANNED_CHANGES = 5.0  # replica records a second while an index is published
# The changes keep every queue full, so that a longer time shows no more.
PLANNED_SETTLE = 120.0  # virtual seconds
CHANGE_NODES = 100
# Replica records a second, below what the messages carry: 16 records a
# second from each node, and 3 log2(n + 1) sends of each record.
CHANGES = (0.0, 0.2, 0.4, 0.6, 0.8)
REPLICAS = (250, 500, 1000, 2750)
MEMBERS = (50, 100, 200, 583)
QUERIES = (2500, 5000, 10000, 20000)
CONTRACTS = (1000, 2000, 5000, 10000)
WALL = 1_796_380_000.0
CHUNK = 50


def measure_all() -> list[slopes.Slope]:
    """Measures every slope of this module."""
    return [
        *_measure_membership(),
        *_measure_changes(),
        _measure_replica_memory(),
        _measure_member_memory(),
        _measure_suspect_memory(),
        *_measure_config(),
    ]


def measure_planned_size() -> dict:
    """Measures the membership at the planned size of a data centre."""
    return membership.measure(
        PLANNED_NODES, SEED, PLANNED_CHANGES, PLANNED_SETTLE
    )


def _measure_membership():
    rows = [membership.measure(size, SEED, 0.0) for size in NODES]

    def read(field):
        return [(row['nodes'], row[field]) for row in rows]

    cpu = [
        (
            row['nodes'],
            row['decision_us_per_second_and_node']
            + row['codec_us_per_second_and_node'],
        )
        for row in rows
    ]
    known = [
        (row['nodes'], row['rounds_until_all_know']['max']) for row in rows
    ]
    return [
        slopes.make_slope(
            'member_bytes',
            'bytes of the membership without changes',
            'nodes',
            'B/s',
            read('bytes_per_second_and_node'),
        ),
        slopes.make_slope(
            'member_cpu',
            'processor time of the membership without changes',
            'nodes',
            'us/s',
            cpu,
        ),
        slopes.make_slope(
            'member_spread',
            'longest time until all nodes know a change',
            'nodes',
            's',
            known,
        ),
    ]


def _measure_changes():
    rows = [membership.measure(CHANGE_NODES, SEED, rate) for rate in CHANGES]
    return [
        slopes.make_slope(
            'change_bytes',
            'bytes of the membership, 100 nodes',
            'changed records a second',
            'B/s',
            [
                (
                    row['replica_changes_per_second'],
                    row['bytes_per_second_and_node'],
                )
                for row in rows
            ],
        ),
        slopes.make_slope(
            'change_cpu',
            'processor time of the membership, 100 nodes',
            'changed records a second',
            'us/s',
            [
                (
                    row['replica_changes_per_second'],
                    row['decision_us_per_second_and_node']
                    + row['codec_us_per_second_and_node'],
                )
                for row in rows
            ],
        ),
    ]


def _decode_tables(updates):
    """Passes records through the codec, so that they share nothing."""
    sender = fleet_data.make_members(2)[1]
    frames = [
        codec.encode(
            core.Table(sender, tuple(updates[at : at + CHUNK]), True), 0.0
        )
        for at in range(0, len(updates), CHUNK)
    ]
    return [frame[4:] for frame in frames]


def _make_state():
    own = fleet_data.make_members(1)[0]
    return core.make_membership(
        own, (), core.merge_replica, random.Random(1), 0.0
    )


def _measure_replica_memory():
    points = []
    for count in REPLICAS:
        bodies = _decode_tables(
            [fleet_data.make_replica(at, 490) for at in range(count)]
        )
        tracemalloc.start()
        state, table = _make_state(), core.ReplicaTable()
        for body in bodies:
            step = core.handle_message(state, codec.decode(body, 0.0), 0.0)
            for update in step.changes:
                if isinstance(update, core.Replica):
                    core.update_replica(table, update, 0.0)
        core.plan_index(table, fleet_data.INDEX)
        del step, update
        points.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return slopes.make_slope(
        'replica_memory',
        'memory of the replica table, plan and gossip records',
        'replicas',
        'KB',
        points,
    )


def _measure_member_memory():
    points = []
    for count in MEMBERS:
        bodies = _decode_tables(fleet_data.make_members(count)[1:])
        tracemalloc.start()
        state = _make_state()
        for body in bodies:
            core.handle_message(state, codec.decode(body, 0.0), 0.0)
        points.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return slopes.make_slope(
        'member_memory', 'memory of the members', 'members', 'KB', points
    )


def _measure_suspect_memory():
    points = []
    for count in QUERIES:
        tracemalloc.start()
        table = core.SuspectTable()
        for at in range(count):
            fingerprint = core.fingerprint_text(
                fleet_data.INDEX, f'pump line {at}'
            )
            core.clear_request(table, fingerprint, WALL)
        points.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return slopes.make_slope(
        'suspect_memory',
        'memory of the queries that completed in the last minute',
        'queries',
        'KB',
        points,
    )


def _measure_config():
    memory, merge, apply, whole = [], [], [], []
    for count in CONTRACTS:
        raw = [_make_record(at, at + 1) for at in range(count)]
        tracemalloc.start()
        state = _load(raw)
        memory.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        change = metastore.decode_record(_make_record(0, count + 1))[0]
        merge.append((count, _time_merge(state, change)))
        apply.append((count, _time_apply(state)))
        whole.append((count, slopes.time_call(functools.partial(_load, raw))))
    size_unit = 'contracts'
    return [
        slopes.make_slope(
            'config_memory',
            'memory of the configuration',
            size_unit,
            'KB',
            memory,
        ),
        slopes.make_slope(
            'config_merge',
            'merge of one changed record',
            size_unit,
            'us',
            merge,
        ),
        slopes.make_slope(
            'config_apply',
            'drains in force, each second',
            size_unit,
            'us',
            apply,
        ),
        slopes.make_slope(
            'config_load',
            'load of a whole configuration at the start',
            size_unit,
            'us',
            whole,
        ),
    ]


def _make_record(number, revision):
    contract = fleet_data.make_contract(number, WALL)
    return fleet_data.make_record(contract, core.Revision(revision))


def _load(raw):
    records = tuple(metastore.decode_record(item)[0] for item in raw)
    batch = core.ConfigBatch(records, core.Revision(len(raw)))
    return core.merge_batch(core.ConfigState(), batch)[0]


def _time_merge(state, change):
    batch = core.ConfigBatch((change,))
    return slopes.time_call(functools.partial(core.merge_batch, state, batch))


def _time_apply(state):
    return slopes.time_call(functools.partial(core.drained_replicas, state))
