"""Measures CPU time, memory and traffic of the control plane."""

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
# With more nodes, the records of the simultaneous start are still being
# spread when the settling time of bench.membership ends.
NODE_COUNTS = (25, 50, 100, 200)
PLANNED_NODES = 583
# Replica records a second while an index is published.
PLANNED_CHANGE_RATE = 5.0
# At the planned change rate, every gossip queue stays full, so a longer
# settling time would not change the figures.
PLANNED_SETTLE = 120.0  # virtual seconds
CHANGE_RATE_NODES = 100
# Replica records a second. The rates stay below the capacity of gossip:
# each node sends 16 records a second and each record 3 log2(n + 1) times.
CHANGE_RATES = (0.0, 0.2, 0.4, 0.6, 0.8)
REPLICA_COUNTS = (250, 500, 1000, 2750)
MEMBER_COUNTS = (50, 100, 200, 583)
QUERY_COUNTS = (2500, 5000, 10000, 20000)
CONTRACT_COUNTS = (1000, 2000, 5000, 10000)
WALL_TIME = 1_796_380_000.0  # Unix seconds
RECORDS_PER_MESSAGE = 50


def measure_all() -> list[slopes.Slope]:
    """Measures the slopes of the control plane."""
    return [
        *_measure_idle_membership(),
        *_measure_change_rates(),
        _measure_replica_memory(),
        _measure_member_memory(),
        _measure_suspect_memory(),
        *_measure_configuration(),
    ]


def measure_planned_size() -> dict:
    """Measures the membership of a data centre of the planned size."""
    return membership.measure(
        PLANNED_NODES, SEED, PLANNED_CHANGE_RATE, PLANNED_SETTLE
    )


def _measure_idle_membership():
    rows = [membership.measure(size, SEED, 0.0) for size in NODE_COUNTS]

    def read_points(field):
        return [(row['nodes'], row[field]) for row in rows]

    cpu_points = [
        (
            row['nodes'],
            row['decision_us_per_second_and_node']
            + row['codec_us_per_second_and_node'],
        )
        for row in rows
    ]
    spread_points = [
        (row['nodes'], row['rounds_until_all_know']['max']) for row in rows
    ]
    return [
        slopes.make_slope(
            'member_bytes',
            'bytes of the membership without changes',
            'nodes',
            'B/s',
            read_points('bytes_per_second_and_node'),
        ),
        slopes.make_slope(
            'member_cpu',
            'processor time of the membership without changes',
            'nodes',
            'us/s',
            cpu_points,
        ),
        slopes.make_slope(
            'member_spread',
            'longest time until all nodes know a change',
            'nodes',
            's',
            spread_points,
        ),
    ]


def _measure_change_rates():
    rows = [
        membership.measure(CHANGE_RATE_NODES, SEED, rate)
        for rate in CHANGE_RATES
    ]
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


def _encode_tables(updates):
    """Encodes records, so that the decoded ones share no objects."""
    sender = fleet_data.make_members(2)[1]
    frames = [
        codec.encode(
            core.Table(
                sender,
                tuple(updates[index : index + RECORDS_PER_MESSAGE]),
                True,
            ),
            0.0,
        )
        for index in range(0, len(updates), RECORDS_PER_MESSAGE)
    ]
    return [frame[4:] for frame in frames]


def _make_membership():
    own = fleet_data.make_members(1)[0]
    return core.make_membership(
        own, (), core.merge_replica, random.Random(1), 0.0
    )


def _measure_replica_memory():
    points = []
    for count in REPLICA_COUNTS:
        encoded_messages = _encode_tables(
            [fleet_data.make_replica(index, 490) for index in range(count)]
        )
        tracemalloc.start()
        state, table = _make_membership(), core.ReplicaTable()
        for encoded_message in encoded_messages:
            step = core.handle_message(
                state, codec.decode(encoded_message, 0.0), 0.0
            )
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
    for count in MEMBER_COUNTS:
        encoded_messages = _encode_tables(fleet_data.make_members(count)[1:])
        tracemalloc.start()
        state = _make_membership()
        for encoded_message in encoded_messages:
            core.handle_message(state, codec.decode(encoded_message, 0.0), 0.0)
        points.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return slopes.make_slope(
        'member_memory', 'memory of the members', 'members', 'KB', points
    )


def _measure_suspect_memory():
    points = []
    for count in QUERY_COUNTS:
        tracemalloc.start()
        table = core.SuspectTable()
        for index in range(count):
            fingerprint = core.fingerprint_text(
                fleet_data.INDEX, f'pump line {index}'
            )
            core.clear_request(table, fingerprint, WALL_TIME)
        points.append((count, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    return slopes.make_slope(
        'suspect_memory',
        'memory of the queries that completed in the last minute',
        'queries',
        'KB',
        points,
    )


def _measure_configuration():
    memory_points, merge_points, apply_points, load_points = [], [], [], []
    for count in CONTRACT_COUNTS:
        encoded_records = [
            _make_record(index, index + 1) for index in range(count)
        ]
        tracemalloc.start()
        state = _load_config(encoded_records)
        memory_points.append(
            (count, tracemalloc.get_traced_memory()[0] / 1024)
        )
        tracemalloc.stop()
        change = metastore.decode_record(_make_record(0, count + 1))[0]
        merge_points.append((count, _time_merge(state, change)))
        apply_points.append((count, _time_apply(state)))
        load_points.append(
            (
                count,
                slopes.time_call(
                    functools.partial(_load_config, encoded_records)
                ),
            )
        )
    size_unit = 'contracts'
    return [
        slopes.make_slope(
            'config_memory',
            'memory of the configuration',
            size_unit,
            'KB',
            memory_points,
        ),
        slopes.make_slope(
            'config_merge',
            'merge of one changed record',
            size_unit,
            'us',
            merge_points,
        ),
        slopes.make_slope(
            'config_apply',
            'drains in force, each second',
            size_unit,
            'us',
            apply_points,
        ),
        slopes.make_slope(
            'config_load',
            'load of a whole configuration at the start',
            size_unit,
            'us',
            load_points,
        ),
    ]


def _make_record(number, revision):
    contract = fleet_data.make_contract(number, WALL_TIME)
    return fleet_data.make_contract_record(contract, core.Revision(revision))


def _load_config(encoded_records):
    records = tuple(
        metastore.decode_record(item)[0] for item in encoded_records
    )
    batch = core.ConfigBatch(records, core.Revision(len(encoded_records)))
    return core.merge_batch(core.ConfigState(), batch)[0]


def _time_merge(state, change):
    batch = core.ConfigBatch((change,))
    return slopes.time_call(functools.partial(core.merge_batch, state, batch))


def _time_apply(state):
    return slopes.time_call(functools.partial(core.drained_replicas, state))
