"""Works out what each role of a node holds, sends and costs."""

from bench import _fleet_data as fleet_data
from bench import _page as page
from bench import _planned as planned
from bench import _slopes as slopes
from citronweir.core import _assignment as assignment
from citronweir.programs import _wire_replicas as wire_replicas


def render_roles(measured: planned.SlopeMap) -> str:
    """Renders state, messages, processor time and memory of each role."""
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
    subs = planned.SUBS_PER_NODE
    fanout = slopes.predict(measured['fanout'], planned.PIECES)
    queue = measured['owner_queue'].fit.slope
    http = slopes.predict(measured['upstream'], fleet_data.HITS)
    conns = planned.CONNS * planned.OWNED
    table = slopes.predict(measured['replica_memory'], planned.DC_REPLICAS)
    memory = slopes.predict(measured['conn_memory'], conns)
    return [
        (
            'entry of a search',
            f'{planned.PIECES} piece records for a search',
            f'{subs:,.0f} sub-requests/s',
            f'{fanout * planned.SEARCHES_PER_NODE / 1e6:.2f} cores',
            f'{page.format_number(table)} KB replica table',
            '`service/_search.py`, `_fanout.py`',
        ),
        (
            'owner of replicas',
            f'{planned.OWNED:.1f} queues',
            f'{subs:,.0f} sub-requests/s',
            f'{queue * subs / 1e6:.2f} cores',
            'waiting entries, bounded by the setting `queue`',
            '`service/_owner.py`',
        ),
        (
            'upstream connections',
            f'{conns:.0f} connections',
            f'{subs:,.0f} requests/s',
            f'{http * subs / 1e6:.1f} cores',
            f'{page.format_number(memory)} KB',
            '`upstreams/_client.py`, `_pool.py`',
        ),
    ]


def _list_control_roles(measured):
    nodes, contracts = planned.DC_NODES, planned.CONTRACTS
    rate = planned.CHANGES_A_DAY / planned.DAY
    entries = planned.NODES + planned.REPLICAS
    period = max(1.0, entries / wire_replicas.VMS_RATE)

    def at(name, size):
        return page.format_number(slopes.predict(measured[name], size))

    return [
        (
            'member',
            f'{nodes} members',
            '2 probes and acks/s',
            f'{at("member_cpu", nodes)} us/s at rest',
            f'{at("member_memory", nodes)} KB',
            '`core/_membership.py`',
        ),
        (
            'watcher',
            'one watch; the VM list',
            f'{rate * (nodes - 1):.0f} pushes/s; a list every {period:g} s',
            f'{at("vms", entries)} us for a list',
            f'{at("vms_bytes", entries)} KB while it reads',
            '`service/_config.py`, `metastore/_vms.py`',
        ),
        (
            'configuration relay',
            f'{contracts:,} records',
            f'{4 * rate:.2f} records/s, 1 round/s',
            f'{at("push", nodes - 1)} us to push a record to all',
            f'{at("config_memory", contracts)} KB',
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
