"""Lists what closes at the planned size and by how much the rest fails."""

from bench import _fleet_data as fleet_data
from bench import _page as page
from bench import _planned as planned
from bench import _slopes as slopes

SMALL_SLOTS = 2
LARGE_SLOTS = 4
SERVICE_TIME = 0.006  # seconds of an answer, today


def render_gaps(measured: planned.SlopeMap) -> str:
    """Renders needed and possible rates of the data path."""
    subs, replica = planned.SUBS_PER_NODE, planned.SUBS_PER_REPLICA
    alternatives = {
        name: us for name, us, _ in planned.list_alternatives(measured)
    }
    both = alternatives['tree and HTTP batches']
    http = slopes.predict(measured['upstream'], fleet_data.HITS)
    message = slopes.predict(measured['stream'], 1)
    batched = measured['stream'].fit.slope
    rows = [
        ('HTTP requests of a node, client end', subs, 1e6 / http),
        ('stream messages of a node, one in a turn', subs, 1e6 / message),
        ('stream messages of a node, many in a turn', subs, 1e6 / batched),
        ('sub-requests of a node, today', subs, 1e6 / alternatives['today']),
        ('sub-requests of a node, tree and HTTP batches', subs, 1e6 / both),
        (
            f'small replica, {SMALL_SLOTS} slots at 6 ms',
            replica,
            SMALL_SLOTS / SERVICE_TIME,
        ),
        (
            f'large replica, {LARGE_SLOTS} slots at 6 ms',
            replica,
            LARGE_SLOTS / SERVICE_TIME,
        ),
    ]
    table = [
        (
            name,
            page.format_number(needed),
            page.format_number(possible),
            f'{needed / possible:.1f}',
            'yes' if needed <= possible else '**no**',
        )
        for name, needed, possible in rows
    ]
    header = ('figure', 'needed a second', 'possible', 'short by', 'closes')
    return page.render_table(header, table)
