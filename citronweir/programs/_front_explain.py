"""Explains where a front node would send a request now, without sending it.

The functions that decide for requests are called on a copy of the node's
state, so that no token, counter or state of the node changes.
"""

from collections import abc
import copy
import dataclasses
import json
import random
import time

from citronweir import core
from citronweir import platform
from citronweir import service
from citronweir.programs import _front_context as contexts
from citronweir.programs import _front_notices as notices
from citronweir.programs import _front_requests as requests
from citronweir.programs import _front_tenants as tenants

MAX_SERVICES = 12  # services whose candidates are listed
DEFAULT_TARGET = '/'
DEFAULT_DEADLINE_MS = '1000'
MAX_DEADLINE_MS = 3_600_000
MAX_BODY_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision: what was decided, and the values that decided it."""

    name: str
    result: str
    values: dict[str, object] = dataclasses.field(default_factory=dict)


def answer_query(
    ctx: contexts.FrontContext,
    query: abc.Mapping[str, str],
    headers: abc.Mapping[str, str],
) -> tuple[int, bytes]:
    """Answers a query of an operator.

    Args:
        ctx: State of the node; it is not changed.
        query: ``host``, ``path``, ``method``, ``deadline_ms`` and ``bytes``.
        headers: Headers of the query; they carry the API key, so that no log
            of addresses holds it.

    Returns:
        HTTP status, and the steps as JSON.
    """
    try:
        req = core.HttpRequest(
            core.RequestId('explain'),
            query.get('method', 'GET'),
            query.get('host', ''),
            query.get('path', DEFAULT_TARGET),
            (),
            b'x' * _parse_bounded(query.get('bytes', '0'), MAX_BODY_BYTES),
            _parse_bounded(
                query.get('deadline_ms', DEFAULT_DEADLINE_MS), MAX_DEADLINE_MS
            )
            / 1000,
            credential=platform.read_credential(headers),
        )
    except ValueError as exc:
        return 400, json.dumps({'error': str(exc)}).encode()
    steps = [dataclasses.asdict(step) for step in explain(ctx, req)]
    return 200, json.dumps({'node': ctx.own.node_id, 'steps': steps}).encode()


def _parse_bounded(text, limit):
    number = int(text)
    if not 0 <= number <= limit:
        raise ValueError(f'{number} is not from 0 to {limit}')
    return number


def explain(
    ctx: contexts.FrontContext, req: core.HttpRequest
) -> abc.Iterator[Step]:
    """Lists the decisions about a request in their order."""
    ctx = _copy_state(ctx)
    index, config = ctx.catalogue.index, ctx.config
    if index is None:
        yield Step('configuration', 'declined: no_configuration')
        return
    key_list = tenants.find_key_list_state(ctx)
    yield Step(
        'configuration',
        f'version {index.table.version}',
        {
            'revision': config.state.complete_to,
            'age_seconds': round(key_list.age, 3),
        },
    )
    limits = index.table.limits
    if len(req.body) > limits.body_bytes:
        yield Step('limits', 'refused: 413', {'bytes': limits.body_bytes})
        return
    route = core.find_route(index, req.host, req.target)
    if route is None:
        yield Step('route', 'refused: 404')
        return
    yield Step('route', route.name, {'repeat': route.repeat.value})
    identified = tenants.identify_request(ctx, index, route, req)
    if not isinstance(identified, core.HttpRequest):
        yield Step('key', _name_outcome(identified))
        return
    tenant = identified.identity.tenant if identified.identity else ''
    route = core.apply_tenant(index, route, identified.identity)
    yield Step(
        'tenant',
        tenant or 'none',
        {'rank': route.rank.value, 'homes': sorted(route.homes)},
    )
    yield from _explain_suspect(ctx, identified)
    deps = requests.make_request_dependencies(ctx, None)
    declined = service.find_refusal(deps, index, route, req.budget)
    if declined is not None:
        yield Step(
            'admission',
            _name_outcome(declined),
            {'retry_after_seconds': round(declined.retry_after, 3)},
        )
    else:
        yield Step('admission', 'admitted')
        if tenant:
            yield _explain_quota(ctx, index.tenants[tenant])
    yield from _explain_services(ctx, deps, index, route)


def _copy_state(ctx):
    index = ctx.catalogue.index
    if index is not None:
        index = dataclasses.replace(
            index,
            current_weights_by_route=copy.deepcopy(
                index.current_weights_by_route
            ),
            tenant_routes=dict(index.tenant_routes),
        )
    return dataclasses.replace(
        ctx,
        catalogue=dataclasses.replace(ctx.catalogue, index=index),
        loads=copy.deepcopy(ctx.loads),
        pauses=copy.deepcopy(ctx.pauses),
        crash_reports=copy.deepcopy(ctx.crash_reports),
        plans=dict(ctx.plans),
        rng=random.Random(0),
    )


def _name_outcome(outcome):
    if isinstance(outcome, core.Unauthorised):
        return 'refused: 401'
    return f'declined: {outcome.reason.value}'


def _explain_suspect(ctx, req):
    if not ctx.crash_reports.entries:
        return
    status = core.classify_request(
        ctx.crash_reports,
        core.fingerprint_request(req),
        req.caller,
        time.monotonic(),
    )
    if status is not None:
        yield Step('crashes', status.state.value)


def _explain_quota(ctx, tenant):
    if not tenant.rate:
        return Step('quota', 'no limit')
    now, quotas = time.monotonic(), ctx.quotas
    keepers = tenants.list_keepers(ctx, tenant.name)
    values = {
        'rate': tenant.rate,
        'burst': tenant.burst,
        'keeper': keepers[0].node_id,
    }
    bucket = quotas.buckets.get(tenant.name)
    if bucket is not None:
        values['tokens_at_last_use'] = round(bucket.level, 1)
    if now < quotas.limited_until.get(tenant.name, 0.0):
        return Step('quota', 'asks the keeper first', values)
    return Step('quota', 'admitted and reported', values)


def _explain_services(ctx, deps, index, route):
    names = route.shards or (core.choose_service(index, route),)
    owners = {
        position: group.owners[0].node_id
        for group in (deps.plan_groups(route) if route.shards else ())
        if group.owners
        for position in group.shard_positions
    }
    for position, name in enumerate(names[:MAX_SERVICES]):
        chosen = deps.choose(name, (), route.homes)
        values = {
            'candidates': {
                replica.replica_id: _explain_replica(ctx, replica, route)
                for replica in ctx.catalogue.directory.replicas.values()
                if replica.service == name
            },
            'extra_attempt_tokens': round(ctx.extra.tokens.get(name, 0), 1),
        }
        if position in owners:
            values['asked_by_node'] = owners[position]
        first = 'no replica' if chosen is None else chosen[0].replica_id
        yield Step(f'service {name}', first, values)


def _explain_replica(ctx, replica, route):
    """Returns why a replica is out of the choice, or its expected time."""
    directory, now = ctx.catalogue.directory, time.monotonic()
    if replica.dc in directory.evacuated:
        return 'evacuated'
    if route.homes and ctx.locality.regions.get(replica.dc) not in route.homes:
        return 'not in a home region'
    if replica not in core.list_usable(directory, replica.service):
        return f'not usable: {replica.state.value} or leaving'
    if replica not in notices.list_available(ctx, replica.service):
        return 'paused'
    load = ctx.loads.get(replica.replica_id)
    if load is None:
        return 'not used yet'
    seconds = core.expected_time(load, replica.slots, now)
    state = 'avoided after failures' if core.is_avoided(load, now) else 'ok'
    limit = core.find_limit(load.capacity, replica.slots, now)
    return f'{state}, {seconds * 1000:.1f} ms expected, takes {limit:.1f}'
