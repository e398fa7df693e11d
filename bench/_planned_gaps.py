"""Compares the required and achievable rates at the planned size."""

from bench import _fleet_data as fleet_data
from bench import _page as page
from bench import _planned as planned
from bench import _slopes as slopes

SMALL_SLOTS = 2
LARGE_SLOTS = 4
SERVICE_TIME = 0.006  # seconds that an upstream currently takes to answer


def render_gaps(measured: planned.SlopeMap) -> str:
    """Renders the required and achievable rates of the data path."""
    subs_per_node, subs_per_replica = (
        planned.SUBS_PER_NODE,
        planned.SUBS_PER_REPLICA,
    )
    alternatives = {
        name: cpu_us for name, cpu_us, _ in planned.list_alternatives(measured)
    }
    tree_and_batches_us = alternatives['tree and HTTP batches']
    request_us = slopes.predict(measured['upstream'], fleet_data.HITS)
    single_us = slopes.predict(measured['stream'], 1)
    batched_us = measured['stream'].fit.slope
    rows = [
        (
            'HTTP requests of a node, client end',
            subs_per_node,
            1e6 / request_us,
        ),
        (
            'stream messages of a node, one in a turn',
            subs_per_node,
            1e6 / single_us,
        ),
        (
            'stream messages of a node, many in a turn',
            subs_per_node,
            1e6 / batched_us,
        ),
        (
            'sub-requests of a node, today',
            subs_per_node,
            1e6 / alternatives['today'],
        ),
        (
            'sub-requests of a node, tree and HTTP batches',
            subs_per_node,
            1e6 / tree_and_batches_us,
        ),
        (
            f'small replica, {SMALL_SLOTS} slots at 6 ms',
            subs_per_replica,
            SMALL_SLOTS / SERVICE_TIME,
        ),
        (
            f'large replica, {LARGE_SLOTS} slots at 6 ms',
            subs_per_replica,
            LARGE_SLOTS / SERVICE_TIME,
        ),
    ]
    table = [
        (
            name,
            page.format_number(needed),
            page.format_number(achievable),
            f'{needed / achievable:.1f}',
            'yes' if needed <= achievable else '**no**',
        )
        for name, needed, achievable in rows
    ]
    header = ('figure', 'needed a second', 'possible', 'short by', 'closes')
    return page.render_table(header, table)
