"""Builds routes over many shards for tests and measurements."""

from citronweir import core


def make_gather_route(shards: int, **fields) -> core.Route:
    """Builds a route whose requests go to some shards.

    Args:
        shards: Number of shards, s0 and on.
        **fields: Fields of the route that differ.
    """
    values = {
        'name': core.RouteName(f'r{shards}'),
        'host': 'a.example',
        'prefix': '/',
        'repeat': core.Idempotency.IDEMPOTENT,
        'rank': core.Rank.URGENT,
        'target': 0.1,
        'timeout': 0.4,
        'max_attempts': 2,
        'shards': tuple(core.ServiceName(f's{n}') for n in range(shards)),
        'min_coverage': 0.9,
    }
    return core.Route(**(values | fields))
