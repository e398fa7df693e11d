"""Measures the cost of membership per node, by size of the data centre.

Runs the real protocol logic of all nodes in one process on a virtual clock and
encodes each message to measure its size. Prints JSON.
"""

import argparse
import json
import random
import statistics
import time

from bench import virtual
from citronweir import core
from citronweir.nodes import _codec as codec

SIZES = (10, 25, 50, 100, 200)
# The design size has 2,750 replicas and 583 nodes.
REPLICAS_PER_NODE = 4.7
SNAPSHOTS_PER_REPLICA = 2
SETTLE_TIME = 300.0  # virtual seconds
MEASURE_TIME = 60.0  # virtual seconds
MEASURED_CHANGES = 5
SPREAD_TIMEOUT = 120.0  # virtual seconds
POLL_INTERVAL = 0.1  # virtual seconds


def measure(
    size: int,
    seed: int,
    changes_per_second: float,
    settle: float = SETTLE_TIME,
) -> dict:
    """Measures one data centre size.

    Args:
        size: Number of nodes in the data centre.
        seed: Seed of all random choices.
        changes_per_second: Rate of changes of replica records during the
            measurement.
        settle: Virtual seconds between the start and the measurement.

    Returns:
        Measurements by name.
    """
    net = virtual.Network(random.Random(seed))
    seeds = [virtual.make_address(number) for number in range(3)]
    for number in range(size):
        address = virtual.make_address(number)
        virtual.add_node(net, f'entry-{number:05d}', address, seeds)
    virtual.run(net, 5.0)
    nodes = list(net.nodes.values())
    replicas = [
        _make_replica(number)
        for number in range(int(size * REPLICAS_PER_NODE))
    ]
    for node in nodes:
        for replica in replicas:
            core.handle_message(
                node.state,
                core.Table(_choose_sender(nodes, node), (replica,), True),
                net.now,
            )
    virtual.run(net, settle)
    traffic = _measure_traffic(net, replicas, changes_per_second)
    spread_times = [
        _measure_spread_time(net, replicas) for _ in range(MEASURED_CHANGES)
    ]
    return {
        'nodes': size,
        'replicas': len(replicas),
        'replica_changes_per_second': changes_per_second,
        **traffic,
        'rounds_until_all_know': {
            'mean': round(statistics.mean(spread_times), 1),
            'max': round(max(spread_times), 1),
        },
    }


def _choose_sender(nodes, node):
    other = nodes[0] if node is not nodes[0] else nodes[-1]
    return core.get_own_member(other.state.records)


def _make_replica(number):
    half = core.KEY_SPACE_END // 2
    holdings = tuple(
        core.Holding(
            core.IndexName('readings'),
            core.SnapshotId(1000 + at),
            core.KeyRange(0, half),
            100_000,
            200_000,
        )
        for at in range(SNAPSHOTS_PER_REPLICA)
    )
    return core.Replica(
        core.ReplicaId(f'readings-{number:05d}'),
        core.Address('127.0.0.1', 9000),
        core.ReplicaState.READY,
        holdings,
        core.Epoch(1),
        1,
        2,
        25,
    )


def _publish_change(net, replicas):
    at = net.rng.randrange(len(replicas))
    old = replicas[at]
    state = core.ReplicaState.READY
    new = core.Replica(
        old.replica_id,
        old.address,
        state,
        old.holdings,
        old.epoch,
        old.version + 1,
        old.slots,
        old.max_conns,
    )
    replicas[at] = new
    node = net.rng.choice(list(net.nodes.values()))
    virtual.step(net, node, core.publish_replica, node.state, new, net.now)
    return new


def _measure_traffic(net, replicas, changes_per_second):
    totals = {'bytes': 0, 'messages': 0, 'decide': 0.0, 'code': 0.0}

    def record_send(node, message):
        start = time.process_time()
        frame = codec.encode(message, 0.0)
        codec.decode(frame[4:], 0.0)
        totals['code'] += time.process_time() - start
        totals['bytes'] += len(frame)
        totals['messages'] += 1

    def time_decision(node, decide, *args):
        start = time.process_time()
        result = decide(*args)
        totals['decide'] += time.process_time() - start
        return result

    net.on_send, net.on_step = record_send, time_decision
    end, pending_changes = net.now + MEASURE_TIME, 0.0
    while net.now < end:
        virtual.run(net, 1.0)
        pending_changes += changes_per_second
        while pending_changes >= 1:
            pending_changes -= 1
            _publish_change(net, replicas)
    net.on_send = net.on_step = None
    node_seconds = len(net.nodes) * MEASURE_TIME
    return {
        'bytes_per_second_and_node': round(totals['bytes'] / node_seconds),
        'messages_per_second_and_node': round(
            totals['messages'] / node_seconds, 2
        ),
        'decision_us_per_second_and_node': round(
            totals['decide'] / node_seconds * 1e6
        ),
        'codec_us_per_second_and_node': round(
            totals['code'] / node_seconds * 1e6
        ),
    }


def _measure_spread_time(net, replicas):
    new = _publish_change(net, replicas)
    start = net.now
    while net.now - start < SPREAD_TIMEOUT:
        if all(
            node.state.records.replicas[new.replica_id] == new
            for node in net.nodes.values()
        ):
            break
        virtual.run(net, POLL_INTERVAL)
    return net.now - start


def main() -> None:
    """Prints the measurements of all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    parser.add_argument('--changes', type=float, default=0.0)
    args = parser.parse_args()
    rows = [measure(size, args.seed, args.changes) for size in args.sizes]
    print(json.dumps({'seed': args.seed, 'rows': rows}, indent=1))


if __name__ == '__main__':
    main()
