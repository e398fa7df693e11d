"""Builds routes that gather from several services."""

from citronweir import core


def make_gather_route(shards: int, **fields) -> core.Route:
    """Builds a route that gathers from several shards.

    Args:
        shards: Number of shards, which are named s0, s1 and so on.
        **fields: Fields of the route that override the defaults.
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
