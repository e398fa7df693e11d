"""Selects the route of a request and the service that serves it.

The index is built once per configuration version, because every request
does a lookup.
"""

from collections import abc
import dataclasses

from citronweir.core import _data as data


@dataclasses.dataclass(slots=True)
class RouteIndex:
    """Index of the routes of one configuration version.

    Attributes:
        by_host: Routes of each host, sorted by descending prefix length.
        current_weights_by_route: State of the smooth weighted round robin
            of each route that is split among services.
        tenants: Tenants by name.
        tenants_by_key: Tenant of each API key, by the digest of the key.
        tenant_routes: Cached routes with the rank and homes of a tenant.
    """

    table: data.RouteTable
    by_host: dict[str, tuple[data.Route, ...]]
    current_weights_by_route: dict[
        data.RouteName, dict[data.ServiceName, float]
    ] = dataclasses.field(default_factory=dict)
    tenants: dict[data.TenantName, data.Tenant] = dataclasses.field(
        default_factory=dict
    )
    tenants_by_key: dict[data.KeyDigest, data.Tenant] = dataclasses.field(
        default_factory=dict
    )
    tenant_routes: dict[tuple[data.RouteName, data.TenantName], data.Route] = (
        dataclasses.field(default_factory=dict)
    )


def index_routes(table: data.RouteTable) -> RouteIndex:
    """Builds the index of a route table."""
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
        tenants={tenant.name: tenant for tenant in table.tenants},
        tenants_by_key={
            digest: tenant
            for tenant in table.tenants
            for digest in tenant.key_digests
        },
    )


def find_route(index: RouteIndex, host: str, target: str) -> data.Route | None:
    """Finds the route with the longest prefix that matches the path.

    Args:
        index: Index of the route table in force.
        host: Host of the request, with or without a port.
        target: Request target: path and query string.

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
    """Chooses a service of a route by smooth weighted round robin.

    Each call adds every service's weight to its current weight, selects
    the service with the largest current weight and subtracts the sum of
    the weights from it. Every run of consecutive requests then follows
    the weights closely, which a random choice would not ensure.
    """
    if len(route.splits) == 1:
        return route.splits[0][0]
    current_weights = index.current_weights_by_route.setdefault(route.name, {})
    for service, weight in route.splits:
        current_weights[service] = current_weights.get(service, 0.0) + weight
    chosen = max(current_weights, key=current_weights.__getitem__)
    current_weights[chosen] -= sum(weight for _, weight in route.splits)
    return chosen


def list_services(table: data.RouteTable) -> abc.Set[data.ServiceName]:
    """Returns the services that at least one route sends requests to."""
    return {
        service
        for route in table.routes
        for service in (*route.shards, *(name for name, _ in route.splits))
    }
