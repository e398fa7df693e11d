"""Selects the route of a request and the service that serves it.

The table is indexed once for each version of the configuration, since a
lookup is on the path of every request.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data


@dataclasses.dataclass(slots=True)
class RouteIndex:
    """Routes of one version, ready for lookups.

    Attributes:
        by_host: Routes of each host, the longest prefix first.
        credits: Turns that each service of a split route is owed.
    """

    table: data.RouteTable
    by_host: dict[str, tuple[data.Route, ...]]
    credits: dict[data.RouteName, dict[data.ServiceName, float]] = (
        dataclasses.field(default_factory=dict)
    )


def index_routes(table: data.RouteTable) -> RouteIndex:
    """Builds the index of a version of the configuration."""
    by_host: dict[str, list[data.Route]] = {}
    for route in table.routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteIndex(
        table,
        {
            host: tuple(
                sorted(routes, key=lambda item: len(item.prefix), reverse=True)
            )
            for host, routes in by_host.items()
        },
    )


def find_route(index: RouteIndex, host: str, target: str) -> data.Route | None:
    """Finds the route with the longest prefix that begins a path.

    Args:
        index: Routes in force.
        host: Host that the caller asks for, with or without a port.
        target: Path and query of the request.

    Returns:
        The route, or None if none matches.
    """
    name = host.partition(':')[0].lower()
    path = target.partition('?')[0]
    for route in index.by_host.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(index: RouteIndex, route: data.Route) -> data.ServiceName:
    """Chooses the service of a route with a split by smooth round robin.

    Each choice adds every weight to its service's credit and takes the
    sum from the winner, so that any run of requests has the proportions
    of the weights, without the spread of a random draw.
    """
    if len(route.splits) == 1:
        return route.splits[0][0]
    owed = index.credits.setdefault(route.name, {})
    for service, weight in route.splits:
        owed[service] = owed.get(service, 0.0) + weight
    chosen = max(owed, key=owed.__getitem__)
    owed[chosen] -= sum(weight for _, weight in route.splits)
    return chosen


def list_services(table: data.RouteTable) -> abc.Set[data.ServiceName]:
    """Lists the services that some route sends requests to."""
    return {
        service
        for route in table.routes
        for service in (*route.shards, *(name for name, _ in route.splits))
    }
