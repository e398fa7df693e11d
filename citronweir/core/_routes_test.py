"""Tests of route lookup and of weighted service selection."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from citronweir import core


def _route(name, host='a.example', prefix='/', splits=()):
    return core.Route(
        core.RouteName(name),
        host,
        prefix,
        core.Idempotency.IDEMPOTENT,
        core.Rank.URGENT,
        0.1,
        0.4,
        2,
        splits,
    )


def _index(*routes):
    return core.index_routes(core.RouteTable(1, routes, {}))


def test_longest_prefix_wins():
    """A shorter prefix must not take requests of a longer one."""
    index = _index(
        _route('short', prefix='/a/'), _route('long', prefix='/a/b/')
    )
    assert core.find_route(index, 'A.example:80', '/a/b/c?q=/').name == 'long'
    assert core.find_route(index, 'a.example', '/a/bc').name == 'short'


def test_prefix_is_not_matched_in_the_query_or_on_another_host():
    """A route must not match a query string or another host."""
    index = _index(_route('only', prefix='/a/'))
    assert core.find_route(index, 'a.example', '/?/a/') is None
    assert core.find_route(index, 'b.example', '/a/') is None


@given(
    st.lists(st.integers(1, 9), min_size=2, max_size=4),
    st.integers(50, 300),
)
def test_split_keeps_its_proportions_in_every_run(weights, count):
    """The share of a service must follow its weight in short runs too."""
    splits = tuple(
        (core.ServiceName(f's{number}'), float(weight))
        for number, weight in enumerate(weights)
    )
    route = _route('split', splits=splits)
    index = _index(route)
    chosen = collections.Counter(
        core.choose_service(index, route) for _ in range(count)
    )
    for name, weight in splits:
        expected = count * weight / sum(weights)
        assert abs(chosen[name] - expected) <= len(weights)
