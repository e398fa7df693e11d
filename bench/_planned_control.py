"""Extrapolates the control plane cost of a node to the planned size."""

from collections import abc
import dataclasses

from bench import _fleet_data as fleet_data
from bench import _http_standin as http_standin
from bench import _page as page
from bench import _planned as planned
from bench import _slopes as slopes
from citronweir import core
from citronweir.core import _suspects as suspects
from citronweir.nodes import _codec as codec
from citronweir.nodes import _messages as messages
from citronweir.programs import _wire_replicas as wire_replicas

BUDGET_CORE_SHARE = 0.029
BUDGET_MEMORY_KB = 64 * 1024
BUDGET_BYTES_PER_SECOND = 14_000
# Probes and anti-entropy keep these streams open even without searches: they
# contact two new peers a second, and an idle stream closes after 20 s.
CONTROL_STREAMS = 40
# Two contacts and two watchers push each change to a node.
PUSHES_PER_CHANGE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CostItem:
    """Cost of one part of the control plane.

    Attributes:
        name: Description in the table.
        core_share: CPU time as a share of a core.
        memory_kb: Memory in KB.
        bytes_per_second: Network traffic.
        module: Path of the module that causes the cost.
    """

    name: str
    core_share: float = 0.0
    memory_kb: float = 0.0
    bytes_per_second: float = 0.0
    module: str = ''


def render_control(
    measured: planned.SlopeMap,
    membership_run: dict,
    idle_memory: tuple[float, float],
) -> str:
    """Renders the control plane cost of a node against its budget.

    Args:
        measured: Slopes by name.
        membership_run: Figures of the membership at the planned size.
        idle_memory: KB of anonymous and of file-backed pages of an idle
            process.

    Returns:
        The table.
    """
    items = [
        *_list_membership_items(measured, membership_run),
        *_list_replica_items(measured),
        *_list_config_items(measured),
        *_list_stream_items(measured),
    ]
    total_item = _sum_items('sum of the items', items)
    anonymous, file_backed = idle_memory
    process_items = [
        CostItem('interpreter and modules, own pages', memory_kb=anonymous),
        CostItem(
            'interpreter and modules, pages of files', memory_kb=file_backed
        ),
    ]
    items += [
        total_item,
        *process_items,
        _sum_items('sum with the interpreter', [total_item, *process_items]),
        CostItem(
            'budget',
            BUDGET_CORE_SHARE,
            BUDGET_MEMORY_KB,
            BUDGET_BYTES_PER_SECOND,
        ),
        *_list_watcher_items(measured),
    ]
    rows = [
        (
            item.name,
            f'{item.core_share:.3%}',
            page.format_number(item.memory_kb / 1024),
            page.format_number(item.bytes_per_second),
            f'`{item.module}`' if item.module else '',
        )
        for item in items
    ]
    header = ('item', 'of a core', 'MB', 'B/s', 'module')
    return page.render_table(header, rows)


def _sum_items(name: str, items: abc.Iterable[CostItem]) -> CostItem:
    items = list(items)
    return CostItem(
        name,
        sum(item.core_share for item in items),
        sum(item.memory_kb for item in items),
        sum(item.bytes_per_second for item in items),
    )


def _list_membership_items(measured, membership_run):
    cpu_us = (
        membership_run['decision_us_per_second_and_node']
        + membership_run['codec_us_per_second_and_node']
    )
    restarts = planned.RESTARTS_PER_DAY / planned.DCS / planned.SECONDS_PER_DAY
    nodes = planned.DC_NODES
    owner_change_us = slopes.predict(measured['owner_change'], nodes)
    return [
        CostItem(
            f'membership, {planned.REPLICA_CHANGES_PER_SECOND:g}'
            ' changed replicas a second',
            cpu_us / 1e6,
            slopes.predict(measured['member_memory'], nodes),
            membership_run['bytes_per_second_and_node'],
            'core/_membership.py',
        ),
        CostItem(
            'owners after a node left or joined',
            2 * restarts * owner_change_us / 1e6,
            module='core/_assignment.py',
        ),
    ]


def _list_replica_items(measured):
    owned, replicas = planned.OWNED_REPLICAS_PER_NODE, planned.DC_REPLICAS
    status_bytes = len(http_standin.encode_status('readings-00007'))
    probes_us = slopes.predict(measured['probes'], owned)
    list_owned_us = slopes.predict(measured['list_owned'], replicas)
    return [
        CostItem(
            'replica table',
            memory_kb=slopes.predict(measured['replica_memory'], replicas),
            module='core/_replicas.py',
        ),
        CostItem(
            f'probes of {owned:.1f} owned replicas a second',
            (probes_us + list_owned_us) / 1e6,
            0.0,
            (status_bytes + planned.HTTP_HEADER_BYTES) * owned,
            'service/_probes.py',
        ),
        CostItem(
            f'{planned.CONNS_PER_REPLICA} connections to each owned replica',
            memory_kb=slopes.predict(
                measured['conn_memory'], planned.CONNS_PER_REPLICA * owned
            ),
            module='upstreams/_pool.py',
        ),
        CostItem(
            f'queries of the last minute, {suspects.SEEN_LIMIT:,} at most',
            memory_kb=slopes.predict(
                measured['suspect_memory'], suspects.SEEN_LIMIT
            ),
            module='core/_suspects.py',
        ),
    ]


def _list_config_items(measured):
    rate = planned.CHANGES_PER_DAY / planned.SECONDS_PER_DAY
    contracts = planned.CONTRACTS
    sync_bytes = _count_bytes(
        messages.Sync(10**6, core.Revision(10**6)),
        messages.Conf(10**6, core.ConfigBatch()),
    )
    # Each node asks one peer a second and answers one.
    sync_us = slopes.predict(measured['stream'], 1) + slopes.predict(
        measured['config_apply'], contracts
    )
    merge_us = slopes.predict(measured['config_merge'], contracts)
    return [
        CostItem(
            'anti-entropy and drains, each second',
            sync_us / 1e6,
            0.0,
            2 * sync_bytes,
            'service/_config.py',
        ),
        CostItem(
            f'configuration, {contracts:,} contracts',
            rate * merge_us / 1e6,
            slopes.predict(measured['config_memory'], contracts),
            PUSHES_PER_CHANGE * rate * _count_push_bytes(),
            'core/_revisions.py',
        ),
    ]


def _list_stream_items(measured):
    peers = planned.DC_NODES - 1
    ping_bytes = _count_bytes(messages.Ping(1), messages.Pong(1, 1.8e9))
    return [
        CostItem(
            f'{peers} streams in, {peers} out',
            2 * measured['stream_open'].fit.slope / 1e6,
            slopes.predict(measured['stream_memory'], peers),
            2 * CONTROL_STREAMS * ping_bytes,
            'nodes/_links.py',
        )
    ]


def _list_watcher_items(measured):
    rate = planned.CHANGES_PER_DAY / planned.SECONDS_PER_DAY
    peers = planned.DC_NODES - 1
    entries = planned.NODES + planned.REPLICAS
    period = max(1.0, entries / wire_replicas.VMS_RATE)
    list_kb = slopes.predict(measured['vms_bytes'], entries)
    return [
        CostItem(
            f'watcher, more: push of each change to {peers} peers',
            rate * slopes.predict(measured['push'], peers) / 1e6,
            0.0,
            rate * peers * _count_push_bytes(),
            'service/_config.py',
        ),
        CostItem(
            f'watcher, more: VM list of {entries:,} entries every'
            f' {period:g} s',
            slopes.predict(measured['vms'], entries) / 1e6 / period,
            list_kb,
            list_kb * 1024 / period,
            'metastore/_vms.py',
        ),
    ]


def _count_push_bytes():
    contract = fleet_data.make_contract(1, 1.8e9)
    record = fleet_data.make_contract_record(contract, core.Revision(10**6))
    return _count_bytes(messages.Conf(0, core.ConfigBatch((record,))))


def _count_bytes(*sent_messages):
    return sum(len(codec.encode(message, 0.0)) for message in sent_messages)
