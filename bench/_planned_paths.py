"""Extrapolates membership, connections, store calls and propagation."""

import math

from bench import _measure_control as measure_control
from bench import _page as page
from bench import _planned as planned
from bench import _slopes as slopes
from citronweir.core import _assignment as assignment
from citronweir.core import _gossip as gossip
from citronweir.metastore import _limits as limits
from citronweir.programs import _wire_config as wire_config
from citronweir.service import _config as configs

KV_READS = 2000.0  # a second, of the whole fleet
KV_WRITES = 300.0  # a second, of the whole fleet
KV_CALL_TIME = 0.005  # seconds for a call, without network delay
REGION_DELAY = 0.05  # seconds, one way between regions
LOCAL_DELAY = 0.001  # seconds, one way in a region
LEASES_PER_HOUR = 1.0  # for each node that takes orders
REMOTE_SYNC_SHARE = 0.125  # of anti-entropy rounds
MAX_PROPAGATION_TIME = 3.0  # seconds
DETECT_TIME = 2.0  # seconds until the probe of a lost member has failed
# A node sends two messages a second.
RECORDS_PER_SECOND = 2 * gossip.MAX_UPDATES_PER_MESSAGE
SYNC_INTERVAL = 1.2  # seconds, with the largest jitter
SERVICE_TIME = 0.006  # seconds for an answer of a small service
SMALL_CONNS = 25
LARGE_CONNS = 100


def render_membership(measured: planned.SlopeMap, membership_run: dict) -> str:
    """Renders extrapolated figures beside those of a planned-size run."""
    nodes = membership_run['nodes']
    rate = membership_run['replica_changes_per_second']
    # Each node sends a record several times, and the size of its messages
    # limits the records that it sends.
    sends_per_second = min(rate * _count_sends(nodes), RECORDS_PER_SECOND)
    equivalent_rate = sends_per_second / _count_sends(
        measure_control.CHANGE_RATE_NODES
    )

    def extrapolate(idle_slope, change_slope):
        idle_value = slopes.predict(measured[idle_slope], nodes)
        return idle_value + measured[change_slope].fit.slope * equivalent_rate

    cpu = (
        membership_run['decision_us_per_second_and_node']
        + membership_run['codec_us_per_second_and_node']
    )
    rows = (
        (
            'bytes a second and node',
            extrapolate('member_bytes', 'change_bytes'),
            membership_run['bytes_per_second_and_node'],
        ),
        (
            'us of processor a second and node',
            extrapolate('member_cpu', 'change_cpu'),
            cpu,
        ),
        (
            'seconds until all know a change, extrapolated at rest',
            _extrapolate_spread(measured, nodes),
            membership_run['rounds_until_all_know']['max'],
        ),
    )
    header = (
        'figure',
        f'extrapolated to {nodes} nodes',
        f'measured there, {rate:g} changes a second',
    )
    return page.render_table(
        header,
        [
            (
                name,
                page.format_number(value),
                page.format_number(measured_value),
            )
            for name, value, measured_value in rows
        ],
    )


def _count_sends(nodes):
    return gossip.RETRANSMIT_FACTOR * math.ceil(math.log2(nodes + 1))


def _extrapolate_spread(measured, nodes):
    points = measured['member_spread'].points
    fit = slopes.fit_line(
        [
            (math.log2(size + 1), seconds_until_known)
            for size, seconds_until_known in points
        ]
    )
    return fit.intercept + fit.slope * math.log2(nodes + 1)


def render_connections() -> str:
    """Renders how the connections of a replica are divided."""
    rows = []
    for name, conns in (('small', SMALL_CONNS), ('large', LARGE_CONNS)):
        reserve = max(1, int(conns * 0.2))
        max_rate = reserve / SERVICE_TIME
        rows.append(
            (
                name,
                conns,
                conns - reserve - 1,
                1,
                reserve,
                planned.DC_NODES - 1,
                page.format_number(max_rate),
                f'{max_rate / planned.SUBS_PER_REPLICA:.1%}',
            )
        )
    header = (
        'replica',
        'its limit',
        'owner: sub-requests',
        'owner: probe',
        'left for direct contact',
        'nodes that may try',
        'direct requests a second at 6 ms',
        'of the load of a replica',
    )
    return page.render_table(header, rows)


def render_platform(calls: list[tuple[str, int, int, int]]) -> str:
    """Renders the calls to the platform's store by event."""
    rows = [(f'one {event}', *counts, '') for event, *counts in calls]
    header = ('event', 'reads', 'writes', 'watches', 'remark')
    return page.render_table(
        header, [*rows, _make_ordinary_day_row(), *_list_start_rows()]
    )


def _make_ordinary_day_row():
    changes = planned.CHANGES_PER_DAY / planned.SECONDS_PER_DAY
    leases = planned.NODES * LEASES_PER_HOUR / 3600
    watches = assignment.WATCHER_COUNT * planned.DCS
    moves = planned.RESTARTS_PER_DAY * watches / planned.NODES
    return (
        'ordinary day, without orders',
        f'{changes + moves / planned.SECONDS_PER_DAY:.3f}/s',
        f'{changes + leases:.2f}/s',
        f'{watches} waiting',
        f'a lease an hour and node; {moves:.0f} watches a day move',
    )


def _list_start_rows():
    nodes, backoff = planned.DC_NODES, configs.MAX_BACKOFF
    watches = assignment.WATCHER_COUNT * planned.DCS
    return [
        (
            f'start of {nodes} nodes, contacts elsewhere answer',
            assignment.WATCHER_COUNT,
            0,
            assignment.WATCHER_COUNT,
            'the configuration comes from the contacts',
        ),
        (
            f'start of {nodes} nodes, no contact answers',
            f'{nodes} within {configs.START_TRIES * configs.START_WAIT:g} s',
            0,
            assignment.WATCHER_COUNT,
            f'again within {backoff:g} s each while the store fails',
        ),
        (
            'end of an outage of the store',
            f'{watches / backoff:.1f}/s',
            0,
            watches,
            f'each watch after a wait drawn from 0 to {backoff:g} s',
        ),
    ]


def render_shares() -> str:
    """Renders each node's share of the rate limits of the store."""
    rows = []
    for key, rate in (('kv_reads', KV_READS), ('kv_writes', KV_WRITES)):
        node_share = rate / planned.NODES
        burst = max(limits.MIN_BURST, node_share * limits.BURST_TIME)
        rows.append(
            (
                f'`{key}`',
                f'{rate:,.0f}',
                f'{node_share:.3f}',
                f'{burst:g}',
                f'{burst * planned.NODES:,.0f}',
                f'{burst * planned.NODES / rate:.0f}',
            )
        )
    header = (
        'setting',
        'fleet a second',
        'share of a node',
        'burst of a node',
        'burst of all nodes',
        'seconds of the store to serve it',
    )
    return page.render_table(header, rows)


def _count_sync_rounds(nodes):
    """Counts the rounds in which anti-entropy alone updates a data centre."""
    synced_share, rounds = 0.0, 0
    while synced_share < 1 - 1 / nodes:
        peer_share = (1 - REMOTE_SYNC_SHARE) * synced_share + REMOTE_SYNC_SHARE
        synced_share += (1 - synced_share) * peer_share
        rounds += 1
    return rounds


def render_configuration(measured: planned.SlopeMap) -> str:
    """Renders how long an accepted write takes to reach the last node."""
    rows = [*_list_hops(measured), *_list_faults()]
    table = [
        (
            name,
            f'{seconds:.3f}',
            'yes' if seconds <= MAX_PROPAGATION_TIME else '**no**',
            remark,
            f'`{module}`',
        )
        for name, seconds, remark, module in rows
    ]
    header = ('hop or fault', 'seconds', 'within 3 s', 'remark', 'module')
    return page.render_table(header, table)


def _list_hops(measured):
    peers = planned.DC_NODES - 1
    push = slopes.predict(measured['push'], peers) / 1e6
    merge = slopes.predict(measured['config_merge'], planned.CONTRACTS) / 1e6
    forward = merge + push + LOCAL_DELAY + merge
    return [
        (
            'reply of a store in another region, before acceptance',
            KV_CALL_TIME + 2 * REGION_DELAY,
            'the clock starts when it arrives',
            'metastore/_kv.py',
        ),
        (
            'push to all peers of the data centre',
            push + LOCAL_DELAY + merge,
            '',
            'service/_changes.py',
        ),
        (
            'push to 2 contacts of each other data centre, forwarded',
            REGION_DELAY + forward,
            'a lost contact costs nothing: the other forwards',
            'service/_config.py',
        ),
        (
            '2 watchers, forwarded',
            REGION_DELAY + forward,
            'with both contacts lost, or a write past all nodes',
            'service/_config.py',
        ),
    ]


def _list_faults():
    rounds = _count_sync_rounds(planned.DC_NODES)
    return [
        (
            'one node whose stream broke: next anti-entropy',
            SYNC_INTERVAL + 2 * LOCAL_DELAY,
            'a live peer is asked',
            'service/_config.py',
        ),
        (
            'the same, and the peer that it asks is lost too',
            2 * SYNC_INTERVAL + wire_config.SYNC_TIMEOUT,
            'a silent peer costs its timeout',
            'service/_config.py',
        ),
        (
            'both contacts and both watchers lost: anti-entropy alone',
            rounds * SYNC_INTERVAL,
            f'{rounds} rounds until the last of {planned.DC_NODES} nodes',
            'service/_config.py',
        ),
        (
            'both watchers lost, a write past all nodes',
            DETECT_TIME + gossip.SUSPICION_TIMEOUT + REGION_DELAY,
            'suspicion and death, then new watchers read the store',
            'core/_membership.py',
        ),
    ]
