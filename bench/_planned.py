"""Extrapolates the cost of the data path to the planned size.

All figures are computed from the measured slopes and from the sizes on the
design page, so the tables always match the code.
"""

from collections import abc
import math

from bench import _fleet_data as fleet_data
from bench import _http_standin as http_standin
from bench import _page as page
from bench import _slopes as slopes
from citronweir import core
from citronweir.nodes import _codec as codec
from citronweir.nodes import _messages as messages
from citronweir.upstreams import _codec as upstream_codec

NODES = 7000
REPLICAS = 33_000
DCS = 12
DC_NODES = 583
DC_REPLICAS = 2750
SEARCHES_PER_SECOND = 1_200_000  # whole fleet
PIECES = 490
CHANGES_PER_DAY = 6400
RESTARTS_PER_DAY = 3400
# An assumption, because the design page gives no number of contracts.
CONTRACTS = 20_000
# In a data centre while an index is published: 2,750 replicas change twice
# each within 20 minutes.
REPLICA_CHANGES_PER_SECOND = 5.0
SECONDS_PER_DAY = 86_400.0
# Connections of an owner to a small replica: 25 less the reserve.
CONNS_PER_REPLICA = 20
# The request line and the headers that the HTTP client adds.
HTTP_HEADER_BYTES = 160
RELAYS_PER_DC = 24  # each for a group of about 24 nodes
BATCH_WINDOW = 0.005  # seconds that a relay may wait to fill a batch
HTTP_BATCH_SIZE = 64

SlopeMap = abc.Mapping[str, slopes.Slope]

SUBS_PER_NODE = SEARCHES_PER_SECOND * PIECES / NODES  # a second
SUBS_PER_REPLICA = SEARCHES_PER_SECOND * PIECES / REPLICAS  # a second
SEARCHES_PER_NODE = SEARCHES_PER_SECOND / NODES  # a second
OWNED_REPLICAS_PER_NODE = DC_REPLICAS / DC_NODES


def render_slopes(parts: abc.Mapping[str, list[slopes.Slope]]) -> str:
    """Renders the table of the slopes of each part."""
    rows = []
    for part, slope in [
        (part, slope)
        for part, part_slopes in parts.items()
        for slope in part_slopes
    ]:
        points = ', '.join(
            f'{size:g}: {page.format_number(value)}'
            for size, value in slope.points
        )
        rows.append(
            (
                f'`{slope.name}`',
                slope.title,
                f'{points} {slope.value_unit}',
                f'{page.format_number(slope.fit.intercept)} + '
                f'{page.format_number(slope.fit.slope)} {slope.value_unit}'
                f' by {slope.size_unit}',
                f'{slope.fit.error:.0%}',
                part,
            )
        )
    header = (
        'name',
        'operation',
        'measured by size',
        'line',
        'error',
        'part',
    )
    return page.render_table(header, rows)


def _list_sub_request_costs(measured):
    """Returns the CPU time of each step of a sub-request, microseconds."""
    owners = DC_NODES * (1 - math.exp(-PIECES / DC_NODES))
    batch_size = PIECES / owners
    return {
        'entry: plan, choice, fan-out, merge (`fanout`)': (
            slopes.predict(measured['fanout'], PIECES) / PIECES
        ),
        'entry: dispatch (`dispatch`)': measured['dispatch'].fit.slope,
        f'stream, {batch_size:.1f} sub-requests in a turn (`stream`)': (
            slopes.predict(measured['stream'], batch_size) / batch_size
        ),
        'owner: queue (`owner_queue`)': measured['owner_queue'].fit.slope,
        'owner: HTTP to the upstream (`upstream`)': slopes.predict(
            measured['upstream'], fleet_data.HITS
        ),
    }


def render_data_path(measured: SlopeMap) -> str:
    """Renders the CPU cores that a node needs for its sub-requests."""
    parts = _list_sub_request_costs(measured)
    parts['sum'] = sum(parts.values())
    rows = [
        (
            name,
            page.format_number(cpu_us),
            page.format_number(1e6 / cpu_us),
            page.format_number(cpu_us * SUBS_PER_NODE / 1e6),
        )
        for name, cpu_us in parts.items()
    ]
    header = (
        'part of a sub-request',
        'us',
        'a second on one core',
        f'cores for {SUBS_PER_NODE:,.0f} a second',
    )
    return page.render_table(header, rows)


def list_alternatives(measured: SlopeMap) -> list[tuple[str, float, str]]:
    """Lists the current and alternative designs of the data path.

    Returns:
        Name, CPU time of a sub-request in microseconds, and requirement or
        drawback of each design.
    """
    entry, dispatch, stream, queue, http = _list_sub_request_costs(
        measured
    ).values()
    batched_http = (
        slopes.predict(measured['http_batch'], HTTP_BATCH_SIZE)
        / HTTP_BATCH_SIZE
    )
    group_size = PIECES / RELAYS_PER_DC
    stream_intercept = max(0.0, measured['stream'].fit.intercept)
    group_call = stream_intercept + slopes.predict(
        measured['group_call'], group_size
    )
    tree_entry = (
        RELAYS_PER_DC * group_call
        + slopes.predict(measured['partial_merge'], RELAYS_PER_DC)
    ) / PIECES
    choice = measured['choice'].fit.slope
    # Each relay receives a part of each search from all nodes of the data
    # centre. It distributes what arrives in a window over its group.
    relay_batch = (
        DC_NODES
        * SEARCHES_PER_NODE
        / RELAYS_PER_DC
        * BATCH_WINDOW
        * group_size
        / RELAYS_PER_DC
    )
    relay_batch = max(1.0, relay_batch)
    relay = slopes.predict(measured['stream'], relay_batch) / relay_batch
    merge = measured['merge'].fit.slope
    tree_without_http = tree_entry + choice + relay + merge + queue
    visits_per_owner = PIECES / (DC_NODES * (1 - math.exp(-PIECES / DC_NODES)))
    owner_merge = entry + dispatch + stream / visits_per_owner + queue + http
    return [
        ('today', entry + dispatch + stream + queue + http, 'none'),
        (
            'owners merge what they own',
            owner_merge,
            f'a search meets an owner {visits_per_owner:.2f} times,'
            ' so little merges',
        ),
        (
            f'{HTTP_BATCH_SIZE} sub-requests in an HTTP request',
            entry + dispatch + stream + queue + batched_http,
            'the upstream protocol takes batches',
        ),
        (
            f'tree: {RELAYS_PER_DC} relays in a data centre',
            tree_without_http + http,
            f'waits {BATCH_WINDOW * 1000:g} ms at the relay',
        ),
        ('tree and HTTP batches', tree_without_http + batched_http, 'both'),
    ]


def render_alternatives(measured: SlopeMap) -> str:
    """Renders the cost of each design."""
    alternatives = list_alternatives(measured)
    current_us = alternatives[0][1]
    rows = []
    for name, cpu_us, condition in alternatives:
        cores = cpu_us * SUBS_PER_NODE / 1e6
        rows.append(
            (
                name,
                page.format_number(cpu_us),
                page.format_number(cores),
                f'{current_us / cpu_us:.2f}',
                math.ceil(cores),
                condition,
            )
        )
    header = (
        'way',
        'us for a sub-request',
        'cores for a node',
        'gain',
        'processes on a VM',
        'condition',
    )
    return page.render_table(header, rows)


def render_bytes() -> str:
    """Renders the bytes of a sub-request on each hop."""
    sub = fleet_data.make_sub_search(fleet_data.make_range(7, PIECES))
    answer = core.OwnerAnswer(
        fleet_data.make_answer(sub.key_range, PIECES),
        0.003,
        tuple((rank, 0.001) for rank in core.Rank),
    )
    replica_id = core.ReplicaId('readings-00007')
    headers = upstream_codec.encode_headers(sub, 0.3)
    header_bytes = sum(
        len(key) + len(value) + 4 for key, value in headers.items()
    )
    sizes = (
        (
            'stream',
            len(codec.encode(messages.Call(10**6, replica_id, sub), 0.0)),
            len(codec.encode(messages.Reply(10**6, answer), 0.0)),
        ),
        (
            'HTTP',
            len(upstream_codec.encode_sub(sub))
            + header_bytes
            + HTTP_HEADER_BYTES,
            len(http_standin.encode_answer(fleet_data.HITS)) + 110,
        ),
    )
    rows = [
        (
            hop,
            request,
            reply,
            page.format_number((request + reply) * SUBS_PER_NODE / 1e6),
        )
        for hop, request, reply in sizes
    ]
    header = ('hop', 'request B', 'reply B', 'MB a second for a node')
    return page.render_table(header, rows)
