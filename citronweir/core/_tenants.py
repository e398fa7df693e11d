"""Decides whose request it is and whether its API key may be used now.

Operators withdraw keys while nodes are cut off from the store, paused or
turned away by it. A node therefore relies on its list of keys only for a
limited time after the store has confirmed it, and a key is checked once more
at each sending to a replica.
"""

import dataclasses

from citronweir.core import _data as data
from citronweir.core import _routes as routes

# A key that is not listed is refused as unknown only if the list was confirmed
# within this time. It may have been added since.
MAX_UNKNOWN_KEY_AGE = 5.0  # seconds
RETRY_AFTER_UNCONFIRMED = 0.2  # seconds; another node may have a newer list
# Stands for the homes of a route and a tenant that have none in common.
_NO_REGION = data.Region('\0')


@dataclasses.dataclass(frozen=True, slots=True)
class KeyListState:
    """How far a node may rely on its list of keys.

    Attributes:
        age: Seconds since the store confirmed the list. Suspensions of the VM
            count; steps of the time of day don't.
        max_age: Age from which keys are not used, infinity for no limit.
    """

    age: float
    max_age: float


def is_confirmed(state: KeyListState) -> bool:
    """Returns whether a node may use its list of keys."""
    return state.age < state.max_age


def identify_request(
    index: routes.RouteIndex,
    route: data.Route,
    req: data.HttpRequest,
    state: KeyListState,
) -> data.HttpRequest | data.Unauthorised | data.Declined:
    """Replaces what a request states about its caller by the tenant.

    Args:
        index: Index of the route table in force.
        route: Route of the request.
        req: Request as the caller sent it.
        state: How far the list of keys can be relied on.

    Returns:
        The request without its key, or why it must not run.
    """
    if not index.tenants:
        return dataclasses.replace(
            req,
            headers=req.headers + req.identity_headers,
            identity_headers=(),
            credential=None,
        )
    plain = dataclasses.replace(req, identity_headers=(), credential=None)
    if route.is_public and req.credential is None:
        return plain
    if not is_confirmed(state):
        return data.Declined(
            data.NotRunReason.UNCONFIRMED, RETRY_AFTER_UNCONFIRMED
        )
    if req.credential is None or isinstance(req.credential, data.InvalidKey):
        return data.Unauthorised()
    tenant = index.tenants_by_key.get(req.credential)
    if tenant is not None:
        identity = data.Identity(tenant.name, req.credential)
        return dataclasses.replace(plain, identity=identity)
    if state.age > MAX_UNKNOWN_KEY_AGE:
        return data.Declined(
            data.NotRunReason.UNCONFIRMED, RETRY_AFTER_UNCONFIRMED
        )
    return data.Unauthorised()


def check_identity(
    index: routes.RouteIndex, identity: data.Identity, state: KeyListState
) -> data.NotRunReason | None:
    """Checks at the moment of sending whether a key is still valid.

    Requests wait for connections and for other nodes, and hedges and retries
    follow later. A permission that was valid on arrival may have ended.

    Returns:
        The reason why the request must not be sent, or None.
    """
    if not is_confirmed(state):
        return data.NotRunReason.UNCONFIRMED
    tenant = index.tenants_by_key.get(identity.digest)
    if tenant is None or tenant.name != identity.tenant:
        return data.NotRunReason.KEY_WITHDRAWN
    return None


def apply_tenant(
    index: routes.RouteIndex,
    route: data.Route,
    identity: data.Identity | None,
) -> data.Route:
    """Returns a route with the rank and the homes that hold for a tenant.

    The rank of the tenant replaces the one of the route. Where both have home
    regions, both bind. An intersection without a region leaves no replica.
    """
    tenant = None if identity is None else index.tenants.get(identity.tenant)
    if tenant is None or (tenant.rank is None and not tenant.homes):
        return route
    key = route.name, tenant.name
    cached = index.tenant_routes.get(key)
    if cached is None:
        homes = route.homes or tenant.homes
        if route.homes and tenant.homes:
            homes = route.homes & tenant.homes or frozenset({_NO_REGION})
        cached = dataclasses.replace(
            route, rank=tenant.rank or route.rank, homes=homes
        )
        index.tenant_routes[key] = cached
    return cached
