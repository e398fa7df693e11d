"""Works out the control cost of a node at the planned size."""

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

BUDGET_CORE = 0.029
BUDGET_KB = 64 * 1024
BUDGET_BYTES = 14_000  # a second
# Streams that probes and anti-entropy keep open without searches: two
# new peers a second, each idle for 20 s before it closes.
CONTROL_STREAMS = 40
# Peers that push a change to a node: two contacts and two watchers.
COPIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Cost of one part of the control.

    Attributes:
        share: Processor time as a share of a core.
        kb: Memory in KB.
        rate: Bytes a second.
    """

    name: str
    share: float = 0.0
    kb: float = 0.0
    rate: float = 0.0
    module: str = ''


def render_control(
    measured: planned.SlopeMap, check: dict, base: tuple[float, float]
) -> str:
    """Renders the control cost of a node against the budget.

    Args:
        measured: Slopes by name.
        check: Figures of the membership at the planned size.
        base: KB of a process that runs nothing, its own and of files.

    Returns:
        The table.
    """
    items = [
        *_list_members(measured, check),
        *_list_replicas(measured),
        *_list_config(measured),
        *_list_streams(measured),
    ]
    total = _add('sum of the items', items)
    own, files = base
    process = [
        Item('interpreter and modules, own pages', kb=own),
        Item('interpreter and modules, pages of files', kb=files),
    ]
    items += [
        total,
        *process,
        _add('sum with the interpreter', [total, *process]),
        Item('budget', BUDGET_CORE, BUDGET_KB, BUDGET_BYTES),
        *_list_watcher(measured),
    ]
    rows = [
        (
            item.name,
            f'{item.share:.3%}',
            page.format_number(item.kb / 1024),
            page.format_number(item.rate),
            f'`{item.module}`' if item.module else '',
        )
        for item in items
    ]
    header = ('item', 'of a core', 'MB', 'B/s', 'module')
    return page.render_table(header, rows)


def _add(name: str, items: abc.Iterable[Item]) -> Item:
    items = list(items)
    return Item(
        name,
        sum(item.share for item in items),
        sum(item.kb for item in items),
        sum(item.rate for item in items),
    )


def _list_members(measured, check):
    cpu = (
        check['decision_us_per_second_and_node']
        + check['codec_us_per_second_and_node']
    )
    restarts = planned.RESTARTS_A_DAY / planned.DCS / planned.DAY
    nodes = planned.DC_NODES
    change = slopes.predict(measured['owner_change'], nodes)
    return [
        Item(
            f'membership, {planned.REPLICA_CHANGES:g} changed replicas'
            ' a second',
            cpu / 1e6,
            slopes.predict(measured['member_memory'], nodes),
            check['bytes_per_second_and_node'],
            'core/_membership.py',
        ),
        Item(
            'owners after a node left or joined',
            2 * restarts * change / 1e6,
            module='core/_assignment.py',
        ),
    ]


def _list_replicas(measured):
    owned, replicas = planned.OWNED, planned.DC_REPLICAS
    status = len(http_standin.encode_status('readings-00007'))
    probes = slopes.predict(measured['probes'], owned)
    listed = slopes.predict(measured['list_owned'], replicas)
    return [
        Item(
            'replica table',
            kb=slopes.predict(measured['replica_memory'], replicas),
            module='core/_replicas.py',
        ),
        Item(
            f'probes of {owned:.1f} owned replicas a second',
            (probes + listed) / 1e6,
            0.0,
            (status + planned.HTTP_HEAD_BYTES) * owned,
            'service/_probes.py',
        ),
        Item(
            f'{planned.CONNS} connections to each owned replica',
            kb=slopes.predict(measured['conn_memory'], planned.CONNS * owned),
            module='upstreams/_pool.py',
        ),
        Item(
            f'queries of the last minute, {suspects.SEEN_LIMIT:,} at most',
            kb=slopes.predict(measured['suspect_memory'], suspects.SEEN_LIMIT),
            module='core/_suspects.py',
        ),
    ]


def _list_config(measured):
    rate = planned.CHANGES_A_DAY / planned.DAY
    contracts = planned.CONTRACTS
    sync = _count_bytes(
        messages.Sync(10**6, core.Revision(10**6)),
        messages.Conf(10**6, core.ConfigBatch()),
    )
    # Each node asks one peer a second and answers one.
    round_time = slopes.predict(measured['stream'], 1) + slopes.predict(
        measured['config_apply'], contracts
    )
    merge = slopes.predict(measured['config_merge'], contracts)
    return [
        Item(
            'anti-entropy and drains, each second',
            round_time / 1e6,
            0.0,
            2 * sync,
            'service/_config.py',
        ),
        Item(
            f'configuration, {contracts:,} contracts',
            rate * merge / 1e6,
            slopes.predict(measured['config_memory'], contracts),
            COPIES * rate * _push_bytes(),
            'core/_revisions.py',
        ),
    ]


def _list_streams(measured):
    peers = planned.DC_NODES - 1
    pings = _count_bytes(messages.Ping(1), messages.Pong(1, 1.8e9))
    return [
        Item(
            f'{peers} streams in, {peers} out',
            2 * measured['stream_open'].fit.slope / 1e6,
            slopes.predict(measured['stream_memory'], peers),
            2 * CONTROL_STREAMS * pings,
            'nodes/_links.py',
        )
    ]


def _list_watcher(measured):
    rate = planned.CHANGES_A_DAY / planned.DAY
    peers = planned.DC_NODES - 1
    entries = planned.NODES + planned.REPLICAS
    period = max(1.0, entries / wire_replicas.VMS_RATE)
    list_kb = slopes.predict(measured['vms_bytes'], entries)
    return [
        Item(
            f'watcher, more: push of each change to {peers} peers',
            rate * slopes.predict(measured['push'], peers) / 1e6,
            0.0,
            rate * peers * _push_bytes(),
            'service/_config.py',
        ),
        Item(
            f'watcher, more: VM list of {entries:,} entries every'
            f' {period:g} s',
            slopes.predict(measured['vms'], entries) / 1e6 / period,
            list_kb,
            list_kb * 1024 / period,
            'metastore/_vms.py',
        ),
    ]


def _push_bytes():
    contract = fleet_data.make_contract(1, 1.8e9)
    record = fleet_data.make_contract_record(contract, core.Revision(10**6))
    return _count_bytes(messages.Conf(0, core.ConfigBatch((record,))))


def _count_bytes(*sent):
    return sum(len(codec.encode(message, 0.0)) for message in sent)
