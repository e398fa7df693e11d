"""Measures how the work of a front node grows with shards and nodes.

Prints the table of docs/CAPACITY.md, section "Front node": microseconds
of processor time of one call at several sizes.
"""

from collections import abc
import statistics
import time
import tracemalloc

from citronweir import core
from fakes import routes

ROUNDS = 5
SUSPECTS = (10, 100, 1000)
SECONDS = 0.05  # of processor time for each round
REGIONS = {
    core.DataCentre(f'd{number}'): f'r{number % 4}' for number in range(12)
}
LOCALITY = core.Locality(core.DataCentre('d0'), REGIONS)


def _measure(call):
    values = []
    for _ in range(ROUNDS):
        count, started = 0, time.process_time()
        while time.process_time() - started < SECONDS:
            call()
            count += 1
        values.append((time.process_time() - started) / count)
    return statistics.median(values) * 1e6


def _replica(name, dc):
    return core.ListedReplica(
        core.ReplicaId(f'{name}-{dc}'),
        name,
        core.Address('127.0.0.1', 1),
        dc,
        core.ListedState.READY,
        slots=2,
    )


def _nodes(count):
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


def _make_choice(count):
    loads = {}
    replicas = tuple(
        _replica(core.ServiceName('s'), dc) for dc in list(REGIONS)[:count]
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


def _make_plan(count):
    route, nodes = routes.make_gather_route(490), _nodes(count)
    replicas = {
        name: tuple(_replica(name, dc) for dc in list(REGIONS)[:3])
        for name in route.shards
    }
    return lambda: core.plan_groups(
        route, replicas.__getitem__, nodes, nodes[0].node_id, LOCALITY
    )


def _make_receivers(count):
    nodes = core.NodeList()
    listed = _nodes(count)
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


def _make_blame(count):
    """Builds a table of suspects that shared the same three ends."""
    table = core.CrashReportTable()
    for number in range(count):
        req = _make_request(number)
        for end in range(3):
            report = core.ReplicaReport(
                core.ReportKind.ENDED,
                core.fingerprint_request(req),
                req.caller,
                core.ServiceName('s'),
                core.RequestId(f'{number}-{end}'),
                core.ReplicaId(f'i{end}'),
            )
            core.merge_report(table, report, 0.0, 0.0)
    return table


def _make_judgement(count):
    table, req = _make_blame(count), _make_request(0)
    return lambda: core.classify_request(
        table, core.fingerprint_request(req), req.caller, 1.0
    )


def _make_listing(count):
    table = _make_blame(count)
    return lambda: core.list_reports(table, 32, 1.0)


def _make_informed(count):
    nodes = core.NodeList()
    listed = _nodes(count)
    for node in listed:
        core.upsert_node(nodes, core.ConfigKey(node.node_id), node)
    return lambda: core.list_broadcast_targets(nodes, listed[0])


def _measure_memory(count):
    """Returns the KB of a table of suspects."""
    tracemalloc.start()
    table = _make_blame(count)
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    assert len(table.entries) == count
    return size


Make = abc.Callable[[int], abc.Callable[[], object]]
ROWS: tuple[tuple[str, Make, tuple[int, ...]], ...] = (
    ('choice of a replica, by replicas', _make_choice, (2, 3, 6)),
    ('merge of parts of 1,000 B, by parts', _make_merge, (20, 90, 490)),
    ('split of 490 shards, by nodes', _make_plan, (89, 583, 7000)),
    ('receivers of a change, by nodes', _make_receivers, (89, 583, 7000)),
    ('receivers of an end, by nodes', _make_informed, (89, 583, 7000)),
    ('judgement of a suspect, by its rivals', _make_judgement, (1, 10, 1000)),
    ('reports for another node, by suspects', _make_listing, (1, 10, 1000)),
)


def main() -> None:
    """Prints the table."""
    print('| operation | us |')
    print('| --- | --- |')
    for name, make, sizes in ROWS:
        cells = (f'{size:,}: {_measure(make(size)):,.0f}' for size in sizes)
        print(f'| {name} | {"; ".join(cells)} |')
    cells = (f'{size:,}: {_measure_memory(size):,.0f}' for size in SUSPECTS)
    print(f'| memory by suspects, KB | {"; ".join(cells)} |')


if __name__ == '__main__':
    main()
