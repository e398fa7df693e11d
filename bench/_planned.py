"""Works out the data path and the control cost at the planned size.

Every figure comes from the measured slopes and from the sizes of the
design page, so that the tables cannot drift from the code.
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
SEARCHES = 1_200_000  # a second, whole fleet
PIECES = 490
CHANGES_A_DAY = 6400
RESTARTS_A_DAY = 3400
# The design page gives no number of contracts; this one is assumed.
CONTRACTS = 20_000
# Records of replicas that change each second in a data centre while an
# index is published: 2 changes of 2,750 replicas within 20 minutes.
REPLICA_CHANGES = 5.0
DAY = 86_400.0
CONNS = 20  # of an owner to a small replica: 25 less the reserve
# Bytes of a request line and of the headers that the client adds.
HTTP_HEAD_BYTES = 160
RELAYS = 24  # groups of about 24 nodes in a data centre
WINDOW = 0.005  # seconds that a batch may wait
HTTP_BATCH = 64

SlopeMap = abc.Mapping[str, slopes.Slope]

SUBS_PER_NODE = SEARCHES * PIECES / NODES  # a second
SUBS_PER_REPLICA = SEARCHES * PIECES / REPLICAS  # a second
SEARCHES_PER_NODE = SEARCHES / NODES  # a second
OWNED = DC_REPLICAS / DC_NODES


def render_slopes(parts: abc.Mapping[str, list[slopes.Slope]]) -> str:
    """Renders the table of the slopes of each part."""
    rows = []
    for part, slope in [
        (part, slope) for part, found in parts.items() for slope in found
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


def _per_piece(measured):
    """Processor microseconds of today's parts of one sub-request."""
    owners = DC_NODES * (1 - math.exp(-PIECES / DC_NODES))
    batch = PIECES / owners
    return {
        'entry: plan, choice, fan-out, merge (`fanout`)': (
            slopes.predict(measured['fanout'], PIECES) / PIECES
        ),
        'entry: dispatch (`dispatch`)': measured['dispatch'].fit.slope,
        f'stream, {batch:.1f} sub-requests in a turn (`stream`)': (
            slopes.predict(measured['stream'], batch) / batch
        ),
        'owner: queue (`owner_queue`)': measured['owner_queue'].fit.slope,
        'owner: HTTP to the upstream (`upstream`)': slopes.predict(
            measured['upstream'], fleet_data.HITS
        ),
    }


def render_data_path(measured: SlopeMap) -> str:
    """Renders the cores that a node needs today for its sub-requests."""
    parts = _per_piece(measured)
    parts['sum'] = sum(parts.values())
    rows = [
        (
            name,
            page.format_number(us),
            page.format_number(1e6 / us),
            page.format_number(us * SUBS_PER_NODE / 1e6),
        )
        for name, us in parts.items()
    ]
    header = (
        'part of a sub-request',
        'us',
        'a second on one core',
        f'cores for {SUBS_PER_NODE:,.0f} a second',
    )
    return page.render_table(header, rows)


def list_alternatives(measured: SlopeMap) -> list[tuple[str, float, str]]:
    """Lists ways to carry sub-requests with their cost and condition.

    Returns:
        Name, processor microseconds for a sub-request, condition.
    """
    entry, dispatch, stream, queue, http = _per_piece(measured).values()
    batched = slopes.predict(measured['http_batch'], HTTP_BATCH) / HTTP_BATCH
    group = PIECES / RELAYS
    stream_base = max(0.0, measured['stream'].fit.intercept)
    call = stream_base + slopes.predict(measured['group_call'], group)
    tree_entry = (
        RELAYS * call + slopes.predict(measured['partial_merge'], RELAYS)
    ) / PIECES
    choice = measured['choice'].fit.slope
    # A relay hears from all nodes of the data centre with a share of
    # each search, and spreads what came in a window over its group.
    waiting = DC_NODES * SEARCHES_PER_NODE / RELAYS * WINDOW * group / RELAYS
    waiting = max(1.0, waiting)
    relay = slopes.predict(measured['stream'], waiting) / waiting
    merge = measured['merge'].fit.slope
    tree = tree_entry + choice + relay + merge + queue
    fewer = PIECES / (DC_NODES * (1 - math.exp(-PIECES / DC_NODES)))
    partial = entry + dispatch + stream / fewer + queue + http
    return [
        ('today', entry + dispatch + stream + queue + http, 'none'),
        (
            'owners merge what they own',
            partial,
            f'a search meets an owner {fewer:.2f} times, so little merges',
        ),
        (
            f'{HTTP_BATCH} sub-requests in an HTTP request',
            entry + dispatch + stream + queue + batched,
            'the upstream protocol takes batches',
        ),
        (
            f'tree: {RELAYS} relays in a data centre',
            tree + http,
            f'waits {WINDOW * 1000:g} ms at the relay',
        ),
        ('tree and HTTP batches', tree + batched, 'both'),
    ]


def render_alternatives(measured: SlopeMap) -> str:
    """Renders what each way would cost."""
    alternatives = list_alternatives(measured)
    today = alternatives[0][1]
    rows = []
    for name, us, condition in alternatives:
        cores = us * SUBS_PER_NODE / 1e6
        rows.append(
            (
                name,
                page.format_number(us),
                page.format_number(cores),
                f'{today / us:.2f}',
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
    sub = fleet_data.make_sub(fleet_data.make_range(7, PIECES))
    answer = core.OwnerAnswer(
        fleet_data.make_answer(sub.key_range, PIECES),
        0.003,
        tuple((rank, 0.001) for rank in core.Rank),
    )
    name = core.ReplicaId('readings-00007')
    headers = upstream_codec.encode_headers(sub, 0.3)
    head = sum(len(key) + len(value) + 4 for key, value in headers.items())
    sizes = (
        (
            'stream',
            len(codec.encode(messages.Call(10**6, name, sub), 0.0)),
            len(codec.encode(messages.Reply(10**6, answer), 0.0)),
        ),
        (
            'HTTP',
            len(upstream_codec.encode_sub(sub)) + head + HTTP_HEAD_BYTES,
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
