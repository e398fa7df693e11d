"""Wires keys and quotas of tenants in a front node."""

import time

from citronweir import core
from citronweir import nodes
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _front_context as contexts

# Seconds since its confirmation within which a node may grant tokens.
MAX_GRANT_AGE = 5.0


def find_key_list_state(ctx: contexts.FrontContext) -> core.KeyListState:
    """Returns how far this node may rely on its list of keys."""
    age = service.read_boot_clock() - ctx.config.confirmed_boot
    return core.KeyListState(max(0.0, age), ctx.boot.max_key_age)


def identify_request(
    ctx: contexts.FrontContext,
    index: core.RouteIndex,
    route: core.Route,
    req: core.HttpRequest,
) -> core.HttpRequest | core.Unauthorised | core.Declined:
    """Replaces what a request states about its caller by the tenant."""
    return core.identify_request(index, route, req, find_key_list_state(ctx))


def find_key_refusal(
    ctx: contexts.FrontContext, identity: core.Identity
) -> core.NotRunReason | None:
    """Returns why requests of an identity must not be sent now, or None."""
    return core.check_identity(
        ctx.catalogue.index, identity, find_key_list_state(ctx)
    )


def serves_tenants(ctx: contexts.FrontContext) -> bool:
    """Returns whether requests with keys are served, if there are any."""
    index = ctx.catalogue.index
    if index is None or not index.tenants:
        return True
    return core.is_confirmed(find_key_list_state(ctx))


def make_quota_dependencies(
    ctx: contexts.FrontContext,
) -> service.QuotaDependencies:
    """Builds the dependencies of the quotas."""

    def find_tenant(name):
        index = ctx.catalogue.index
        return None if index is None else index.tenants.get(name)

    async def spend(node, name, count, is_asking, timeout):
        return await nodes.spend(
            ctx.links, node, name, count, is_asking, timeout
        )

    def notify(name, seconds):
        telemetry.count(ctx.counters, 'tenants_limited')
        event = telemetry.Event.TENANT_LIMITED
        if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
            telemetry.log(event, tenant=name, seconds=seconds)
        for node in core.list_broadcast_targets(ctx.catalogue.nodes, ctx.own):
            nodes.send_limited(ctx.links, node.address, name, seconds)

    return service.QuotaDependencies(
        now=time.monotonic,
        rng=ctx.rng,
        own=ctx.own,
        find_tenant=find_tenant,
        list_keepers=lambda name: list_keepers(ctx, name),
        count_dcs=lambda: max(1, len(ctx.boot.regions)),
        count_nodes=lambda: ctx.extra.nodes,
        is_confirmed=lambda: _is_recently_confirmed(ctx),
        spend=spend,
        notify=notify,
        bounds=ctx.boot.quota_bounds,
    )


def receive_limited(
    ctx: contexts.FrontContext,
    quota_deps: service.QuotaDependencies,
    dc: core.DataCentre,
    name: core.TenantName,
    seconds: float,
) -> None:
    """Receives the notice that a tenant is near its limit.

    One from another data centre is forwarded to the nodes of this one.
    """
    service.receive_limited(quota_deps, ctx.quotas, name, seconds)
    if dc != ctx.own.dc:
        for node in core.list_in_data_centre(ctx.catalogue.nodes, ctx.own):
            nodes.send_limited(ctx.links, node.address, name, seconds)


def _is_recently_confirmed(ctx):
    return find_key_list_state(ctx).age < MAX_GRANT_AGE


def list_keepers(
    ctx: contexts.FrontContext, name: core.TenantName
) -> list[core.ListedNode]:
    """Lists the nodes that may keep a quota, the preferred one first."""
    by_id = {
        node.node_id: node
        for node in core.list_others(ctx.catalogue.nodes, ctx.own.node_id)
    }
    by_id[ctx.own.node_id] = ctx.own
    ranked = core.rank_nodes(by_id, f'quota/{name}')
    return [by_id[node_id] for node_id in ranked[: service.MAX_KEEPERS]]
