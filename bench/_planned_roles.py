"""Extrapolates the state, messages and cost of each role of a node."""

from bench import _fleet_data as fleet_data
from bench import _page as page
from bench import _planned as planned
from bench import _slopes as slopes
from citronweir.core import _assignment as assignment
from citronweir.programs import _wire_replicas as wire_replicas


def render_roles(measured: planned.SlopeMap) -> str:
    """Renders the state, messages, CPU time and memory of each role."""
    header = (
        'role',
        'state',
        'messages',
        'processor time',
        'memory',
        'module',
    )
    rows = [*_list_search_roles(measured), *_list_control_roles(measured)]
    return page.render_table(header, rows)


def _list_search_roles(measured):
    subs_per_node = planned.SUBS_PER_NODE
    fanout_us = slopes.predict(measured['fanout'], planned.PIECES)
    queue_us = measured['owner_queue'].fit.slope
    request_us = slopes.predict(measured['upstream'], fleet_data.HITS)
    conns = planned.CONNS_PER_REPLICA * planned.OWNED_REPLICAS_PER_NODE
    table_kb = slopes.predict(measured['replica_memory'], planned.DC_REPLICAS)
    conns_kb = slopes.predict(measured['conn_memory'], conns)
    return [
        (
            'entry of a search',
            f'{planned.PIECES} piece records for a search',
            f'{subs_per_node:,.0f} sub-requests/s',
            f'{fanout_us * planned.SEARCHES_PER_NODE / 1e6:.2f} cores',
            f'{page.format_number(table_kb)} KB replica table',
            '`service/_search.py`, `_fanout.py`',
        ),
        (
            'owner of replicas',
            f'{planned.OWNED_REPLICAS_PER_NODE:.1f} queues',
            f'{subs_per_node:,.0f} sub-requests/s',
            f'{queue_us * subs_per_node / 1e6:.2f} cores',
            'waiting entries, bounded by the setting `queue`',
            '`service/_owner.py`',
        ),
        (
            'upstream connections',
            f'{conns:.0f} connections',
            f'{subs_per_node:,.0f} requests/s',
            f'{request_us * subs_per_node / 1e6:.1f} cores',
            f'{page.format_number(conns_kb)} KB',
            '`upstreams/_client.py`, `_pool.py`',
        ),
    ]


def _list_control_roles(measured):
    nodes, contracts = planned.DC_NODES, planned.CONTRACTS
    rate = planned.CHANGES_PER_DAY / planned.SECONDS_PER_DAY
    entries = planned.NODES + planned.REPLICAS
    period = max(1.0, entries / wire_replicas.VMS_RATE)

    def predict_at(name, size):
        return page.format_number(slopes.predict(measured[name], size))

    return [
        (
            'member',
            f'{nodes} members',
            '2 probes and acks/s',
            f'{predict_at("member_cpu", nodes)} us/s at rest',
            f'{predict_at("member_memory", nodes)} KB',
            '`core/_membership.py`',
        ),
        (
            'watcher',
            'one watch; the VM list',
            f'{rate * (nodes - 1):.0f} pushes/s; a list every {period:g} s',
            f'{predict_at("vms", entries)} us for a list',
            f'{predict_at("vms_bytes", entries)} KB while it reads',
            '`service/_config.py`, `metastore/_vms.py`',
        ),
        (
            'configuration relay',
            f'{contracts:,} records',
            f'{4 * rate:.2f} records/s, 1 round/s',
            f'{predict_at("push", nodes - 1)} us to push a record to all',
            f'{predict_at("config_memory", contracts)} KB',
            '`service/_config.py`, `core/_revisions.py`',
        ),
        (
            "platform's store",
            f'{contracts:,} records; claims of 24 hours',
            f'{assignment.WATCHER_COUNT * planned.DCS} watches',
            'not part of the system',
            'not part of the system',
            '`metastore/_kv.py`',
        ),
    ]
