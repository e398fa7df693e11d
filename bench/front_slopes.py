"""Measures how the CPU time of a front node grows with shards and nodes.

Prints the table in the section "Front node" of docs/CAPACITY.md: the CPU time
of a call at several sizes, in microseconds.
"""

from collections import abc
import random
import statistics
import time
import tracemalloc

from citronweir import core
from fakes import routes

ROUNDS = 5
SUSPECT_COUNTS = (10, 100, 1000)
MIN_ROUND_TIME = 0.05  # seconds of CPU time
REGIONS = {
    core.DataCentre(f'd{number}'): f'r{number % 4}' for number in range(12)
}
LOCALITY = core.Locality(core.DataCentre('d0'), REGIONS)


def _measure_operation(operation):
    call_times = []
    for _ in range(ROUNDS):
        count, start_time = 0, time.process_time()
        while time.process_time() - start_time < MIN_ROUND_TIME:
            operation()
            count += 1
        call_times.append((time.process_time() - start_time) / count)
    return statistics.median(call_times) * 1e6


def _make_replica(name, dc):
    return core.ListedReplica(
        core.ReplicaId(f'{name}-{dc}'),
        name,
        core.Address('127.0.0.1', 1),
        dc,
        core.ListedState.READY,
        slots=2,
    )


def _make_nodes(count):
    dcs = list(REGIONS)
    return tuple(
        core.ListedNode(
            core.NodeId(f'n{number}'),
            core.Address('127.0.0.1', 1),
            dcs[number % len(dcs)],
            core.Incarnation(1),
        )
        for number in range(count)
    )


def _make_replica_choice(count):
    loads = {}
    replicas = tuple(
        _make_replica(core.ServiceName('s'), dc)
        for dc in list(REGIONS)[:count]
    )
    return lambda: core.choose_listed_replica(
        loads, LOCALITY, replicas, (), 1.0, lambda: 1.0
    )


def _make_merge(count):
    route = routes.make_gather_route(count, top_k=50)
    replies = [
        core.Reply(200, (), bytes([number % 256]) * 1000, f'sig{number}')
        for number in range(count)
    ]
    return lambda: core.merge_parts(route, replies)


def _make_group_plan(count):
    route, nodes = routes.make_gather_route(490), _make_nodes(count)
    replicas = {
        name: tuple(_make_replica(name, dc) for dc in list(REGIONS)[:3])
        for name in route.shards
    }
    return lambda: core.plan_groups(
        route, replicas.__getitem__, nodes, nodes[0].node_id, LOCALITY
    )


def _make_announcement_targets(count):
    nodes = core.NodeList()
    listed = _make_nodes(count)
    for node in listed:
        core.upsert_node(nodes, core.ConfigKey(node.node_id), node)
    return lambda: core.list_announcement_targets(nodes, listed[0], REGIONS)


def _make_request(number):
    return core.HttpRequest(
        core.RequestId('id'),
        'GET',
        'a.example',
        f'/a/{number}?page=1',
        (),
        b'',
        1.0,
        core.CallerId('10.0.0.1'),
    )


def _make_crash_reports(count):
    """Builds a table of suspects that share the same three crashes."""
    table = core.CrashReportTable()
    for number in range(count):
        req = _make_request(number)
        for crash in range(3):
            report = core.ReplicaReport(
                core.ReportKind.ENDED,
                core.fingerprint_request(req),
                req.caller,
                core.ServiceName('s'),
                core.RequestId(f'{number}-{crash}'),
                core.ReplicaId(f'i{crash}'),
            )
            core.merge_report(table, report, 0.0, 0.0)
    return table


def _make_classification(count):
    table, req = _make_crash_reports(count), _make_request(0)
    return lambda: core.classify_request(
        table, core.fingerprint_request(req), req.caller, 1.0
    )


def _make_report_listing(count):
    table = _make_crash_reports(count)
    return lambda: core.list_reports(table, 32, 1.0)


def _make_conviction_check(count):
    """Checks suspects for a write to the store, at 7,000 nodes."""
    reports, table = _make_crash_reports(count), core.ConvictionTable()
    ids = [node.node_id for node in _make_nodes(7000)]
    rng = random.Random(1)
    return lambda: core.choose_write(
        table, reports, ids[0], ids, (1.0, 1.0), rng
    )


def _make_first_conviction_check(count):
    """Checks one suspect that was not checked before, by nodes."""
    reports = _make_crash_reports(1)
    ids = [node.node_id for node in _make_nodes(count)]
    rng = random.Random(1)
    return lambda: core.choose_write(
        core.ConvictionTable(), reports, ids[0], ids, (1.0, 1.0), rng
    )


def _make_broadcast_targets(count):
    nodes = core.NodeList()
    listed = _make_nodes(count)
    for node in listed:
        core.upsert_node(nodes, core.ConfigKey(node.node_id), node)
    return lambda: core.list_broadcast_targets(nodes, listed[0])


def _measure_memory(count):
    """Returns the memory of a table of suspects, KB."""
    tracemalloc.start()
    table = _make_crash_reports(count)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert len(table.entries) == count
    return memory_kb


MakeOperation = abc.Callable[[int], abc.Callable[[], object]]
OPERATIONS: tuple[tuple[str, MakeOperation, tuple[int, ...]], ...] = (
    ('choice of a replica, by replicas', _make_replica_choice, (2, 3, 6)),
    ('merge of parts of 1,000 B, by parts', _make_merge, (20, 90, 490)),
    ('split of 490 shards, by nodes', _make_group_plan, (89, 583, 7000)),
    (
        'receivers of a change, by nodes',
        _make_announcement_targets,
        (89, 583, 7000),
    ),
    (
        'receivers of an end, by nodes',
        _make_broadcast_targets,
        (89, 583, 7000),
    ),
    (
        'judgement of a suspect, by its rivals',
        _make_classification,
        (1, 10, 1000),
    ),
    (
        'check for a write of convictions, by suspects',
        _make_conviction_check,
        (1, 10, 1000),
    ),
    (
        'first check of a suspect, by nodes',
        _make_first_conviction_check,
        (89, 583, 7000),
    ),
    (
        'reports for another node, by suspects',
        _make_report_listing,
        (1, 10, 1000),
    ),
)


def main() -> None:
    """Prints the table."""
    print('| operation | us |')
    print('| --- | --- |')
    for name, make_operation, sizes in OPERATIONS:
        cells = (
            f'{size:,}: {_measure_operation(make_operation(size)):,.0f}'
            for size in sizes
        )
        print(f'| {name} | {"; ".join(cells)} |')
    cells = (
        f'{size:,}: {_measure_memory(size):,.0f}' for size in SUSPECT_COUNTS
    )
    print(f'| memory by suspects, KB | {"; ".join(cells)} |')


if __name__ == '__main__':
    main()
