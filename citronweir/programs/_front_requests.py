"""Wires request handling in a front node to the replicas."""

from collections import abc
import functools
import time

from citronweir import core
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _front_context as contexts
from citronweir.programs import _front_crash_reports as crash_reports
from citronweir.programs import _front_nodes as nodes
from citronweir.programs import _front_notices as notices
from citronweir.programs import _front_tenants as tenants

# Relative random spread of the latency estimates. Without it, all nodes would
# choose the same one of two replicas with similar estimates.
LATENCY_JITTER = 0.15
# Weight of the newest sample of the usual time of a route, and the multiple to
# which samples are cut.
USUAL_SMOOTHING = 0.02
MAX_USUAL_RATIO = 4.0
# Of the requests that ended as planned, one in this many is logged.
LOG_SAMPLE_INTERVAL = 64
_SAMPLED_EVENTS = (
    telemetry.Event.REQUEST_SERVED,
    telemetry.Event.GROUP_ANSWERED,
)
# Maximum number of services without a replica in the log line of a declined
# request.
MAX_LOGGED_SERVICES = 3
# Share of a replica's connections that the nodes together may use.
USABLE_CONNS_SHARE = 0.9
# Number of nodes per shard owner that the connections are divided among. The
# owners use half of them; other nodes, which ask the shard when an owner is
# lost, use the rest.
NON_OWNER_FACTOR = 2
# Reasons that end an attempt before its replica has received it.
_LOCAL_REASONS = frozenset(
    {
        core.NotRunReason.CANCELLED,
        core.NotRunReason.DEADLINE_PASSED,
        core.NotRunReason.QUEUE_FULL,
        core.NotRunReason.LEAVING,
        core.NotRunReason.PAUSED,
        core.NotRunReason.KEY_WITHDRAWN,
        core.NotRunReason.UNCONFIRMED,
    }
)
# Reasons that are not failures of the replica; they are logged elsewhere.
_EXPECTED_REASONS = frozenset(
    {
        core.NotRunReason.CANCELLED,
        core.NotRunReason.LEAVING,
        core.NotRunReason.PAUSED,
        core.NotRunReason.KEY_WITHDRAWN,
        core.NotRunReason.UNCONFIRMED,
        core.UnknownReason.ABANDONED,
    }
)


def make_request_dependencies(
    ctx: contexts.FrontContext, quota_deps: service.QuotaDependencies
) -> service.RequestDependencies:
    """Builds the dependencies of request handling."""

    def choose(name, tried, homes):
        return core.choose_listed_replica(
            ctx.loads,
            ctx.locality,
            notices.list_available(ctx, name, homes),
            tried,
            time.monotonic(),
            lambda: 1.0 + LATENCY_JITTER * ctx.rng.random(),
        )

    def choose_trial(name, tried, homes):
        available = notices.list_available(ctx, name, homes)
        return core.choose_trial(ctx.loads, available, tried, time.monotonic())

    def list_excluded(node, name, homes, request_id, max_attempts):
        return core.list_excluded(
            notices.list_usable(ctx, name, homes),
            ctx.locality.regions,
            node.dc,
            request_id,
            max_attempts,
        )

    return service.RequestDependencies(
        now=time.monotonic,
        find_index=lambda: ctx.catalogue.index,
        identify=lambda index, route, req: tenants.identify_request(
            ctx, index, route, req
        ),
        find_key_refusal=lambda identity: tenants.find_key_refusal(
            ctx, identity
        ),
        admit_tenant=lambda name: service.admit_tenant(
            quota_deps, ctx.quotas, name
        ),
        return_token=lambda name: service.report_tokens(
            quota_deps, ctx.quotas, name, -1.0
        ),
        list_usable=lambda name, homes: notices.list_usable(ctx, name, homes),
        find_pause=lambda name, homes: notices.find_pause(ctx, name, homes),
        choose=choose,
        choose_trial=choose_trial,
        send=_make_send(ctx),
        abandon=lambda handle: upstreams.abandon(ctx.channels, handle),
        cancel_waiting=upstreams.cancel_waiting,
        find_suspect_status=lambda req: crash_reports.find_suspect_status(
            ctx, req
        ),
        take_extra=lambda name, kind: core.take_extra(ctx.extra, name, kind),
        earn_tokens=lambda name: core.earn_tokens(ctx.extra, name),
        plan_groups=lambda route: nodes.plan_groups(ctx, route),
        choose_owner=lambda owners: nodes.choose_owner(ctx, owners),
        ask_group=lambda node, query: nodes.ask_group(ctx, node, query),
        list_excluded=list_excluded,
        own=ctx.own,
        find_stop=lambda: ctx.stop_at,
        open_requests=set(),
        answer_delay=core.AnswerDelay(),
        round_trip=lambda node: nodes.estimate_round_trip(ctx, node),
        windows=ctx.windows,
        group_windows=ctx.group_windows,
        record=make_request_recorder(ctx),
    )


def update_owned_shards(ctx: contexts.FrontContext) -> None:
    """Updates the shards that this node queries for others in its region.

    Owners query the shards of large routes for all nodes. The token buckets
    of hedges and retries depend on them and are updated as well.
    """
    extra, regions = ctx.extra, set(ctx.locality.regions.values())
    routes = ctx.catalogue.index.table.routes
    listed = nodes.list_nodes(ctx)

    def list_usable(name):
        return core.list_usable(ctx.catalogue.directory, name)

    extra.owners = core.MAX_GROUP_OWNERS * max(1, len(regions))
    extra.grouped = frozenset(
        name
        for route in routes
        if core.is_grouped(route)
        for name in route.shards
    )
    extra.owned = frozenset(
        route.shards[position]
        for route in routes
        if core.is_grouped(route)
        for position in core.list_owned_shards(
            route, list_usable, listed, ctx.own.node_id, ctx.locality
        )
    )
    now = time.monotonic()
    core.update_services(
        extra,
        core.list_services(ctx.catalogue.index.table),
        now - ctx.started_at,
        ctx.boot.extra_attempt_window,
        now,
    )


def conn_limit(ctx: contexts.FrontContext, name: core.ServiceName) -> int:
    """Returns the connections that this node may have to a replica.

    If a replica has fewer connections than there are nodes, they are divided
    among the owners of its shard in each region, with a reserve for other
    nodes, which use it only occasionally.
    """
    usable_conns = _max_conns(ctx, name) * USABLE_CONNS_SHARE
    sharing_nodes = ctx.extra.nodes
    if usable_conns < sharing_nodes:
        regions = len(set(ctx.locality.regions.values()))
        sharing_nodes = min(
            sharing_nodes,
            NON_OWNER_FACTOR * core.MAX_GROUP_OWNERS * max(1, regions),
        )
    return max(1, int(usable_conns / sharing_nodes))


def is_kept_warm(
    ctx: contexts.FrontContext,
    name: core.ServiceName,
    owned: abc.Container[core.ServiceName],
) -> bool:
    """Returns whether this node keeps idle connections to a service open."""
    is_shared = _max_conns(ctx, name) * USABLE_CONNS_SHARE >= ctx.extra.nodes
    return is_shared or name in owned


def _max_conns(ctx, name):
    index = ctx.catalogue.index
    return 1 if index is None else index.table.max_conns.get(name, 1)


def _make_send(ctx):
    # Request that was sent last, and the functions made for it.
    last = {}

    def send(req, replica, route, deadline, report_outcome):
        # The attempts of a request follow each other closely, so only the
        # functions of the last request are cached.
        if last.get('req') is not req:
            last['req'] = req
            last['encode'] = platform.make_encoder(req)
            last['is_own_reply'] = platform.make_reply_matcher(req.request_id)
        encode = last['encode']
        load = ctx.loads[replica.replica_id]
        ctx.last_request_number += 1
        number, sent_at = ctx.last_request_number, time.monotonic()
        concurrency = core.find_concurrency(load, sent_at) + 1
        core.record_request_sent(load, number, sent_at)
        lost_at = None

        def on_outcome(outcome):
            nonlocal lost_at
            now = time.monotonic()
            match outcome:
                case core.Replied(reply):
                    crash_reports.record_answer(ctx, req, replica.service)
                    if reply.status < 500:
                        _record_capacity(
                            ctx,
                            replica,
                            load,
                            route,
                            concurrency,
                            now - sent_at,
                        )
                case core.Lost(reason):
                    if reason is not core.UnknownReason.ABANDONED:
                        lost_at = now
                    crash_reports.record_loss(ctx, req)
            _update_load(ctx, replica, route, load, number, outcome, now)
            name = type(outcome).__name__.lower()
            telemetry.count(ctx.counters, 'attempts', outcome=name)
            if not isinstance(outcome, core.Replied):
                _log_failure(ctx, req, replica, load, outcome, now - sent_at)
            report_outcome(outcome, now - sent_at)

        def on_crash():
            at = time.monotonic() if lost_at is None else lost_at
            crash_reports.record_crash(ctx, req, replica, at)

        def decode(raw):
            notices.receive_notice(ctx, replica, platform.decode_notice(raw))
            outcome = platform.decode_reply(raw)
            if isinstance(outcome, core.Replied):
                _log_replaced(ctx, req, replica, raw.status, outcome.reply)
            return outcome

        exchange = upstreams.Exchange(
            route.rank,
            deadline,
            lambda remaining: encode(replica.replica_id, remaining),
            decode,
            last['is_own_reply'],
            on_outcome,
            route.repeat is core.Idempotency.NON_IDEMPOTENT,
            on_crash,
        )
        if req.identity is not None:
            exchange.find_refusal = functools.partial(
                tenants.find_key_refusal, ctx, req.identity
            )
        upstreams.submit(
            ctx.channels, replica, conn_limit(ctx, replica.service), exchange
        )
        return exchange

    return send


def _record_capacity(ctx, replica, load, route, concurrency, seconds):
    """Compares the time of an answer with the usual time of its route."""
    key = route.name, replica.dc
    usual = ctx.usual_times.get(key, seconds)
    sample = min(seconds, MAX_USUAL_RATIO * usual)
    ctx.usual_times[key] = usual + USUAL_SMOOTHING * (sample - usual)
    core.record_capacity(
        load,
        replica.slots,
        concurrency,
        seconds / max(1e-6, usual),
        time.monotonic(),
    )


def _update_load(ctx, replica, route, load, number, outcome, now):
    match outcome:
        case core.Replied(reply):
            if reply.status >= 500:
                core.record_request_failed(load, number, now)
            else:
                core.record_request_answered(load, number, now)
                core.record_answer_after_pause(
                    ctx.pauses, replica.replica_id, now
                )
        case core.NotRun(core.NotRunReason.MISDIRECTED):
            core.record_request_abandoned(load, number)
            core.mark_misdirected(ctx.catalogue.directory, replica)
        case core.NotRun(reason) if reason in _LOCAL_REASONS:
            core.record_request_abandoned(load, number)
        case core.Lost(core.UnknownReason.ABANDONED) if (
            # Only a trial could show that the replica works after all, and
            # non-idempotent requests have none.
            route.repeat is core.Idempotency.NON_IDEMPOTENT
            or not core.is_late(load, now - load.in_flight.get(number, now))
        ):
            core.record_request_abandoned(load, number)
        case _:
            core.record_request_failed(load, number, now)


def _log_failure(ctx, req, replica, load, outcome, seconds):
    event = telemetry.Event.REPLICA_FAILED
    if outcome.reason in _EXPECTED_REASONS:
        return
    if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            replica=replica.replica_id,
            service=replica.service,
            outcome=f'{type(outcome).__name__} {outcome.reason.value}',
            request=req.request_id,
            ms=round(seconds * 1000, 1),
            failures=load.failures,
        )


def _log_replaced(ctx, req, replica, status, reply):
    """Logs that a reply is passed on with another status."""
    event = telemetry.Event.REPLY_REPLACED
    if status != reply.status and telemetry.may_log(
        ctx.log_limits, event, time.monotonic()
    ):
        telemetry.log(
            event,
            replica=replica.replica_id,
            service=replica.service,
            request=req.request_id,
            status=status,
            replaced=reply.status,
        )


def make_request_recorder(
    ctx: contexts.FrontContext,
) -> abc.Callable[[service.RequestReport], None]:
    """Builds the function that counts and logs each finished request."""

    def record(report):
        event = _choose_event(report)
        _count_request(ctx, report, event)
        if event in _SAMPLED_EVENTS:
            if hash(report.request_id) % LOG_SAMPLE_INTERVAL:
                return
        if telemetry.may_log(ctx.log_limits, event, time.monotonic()):
            telemetry.log(event, **_make_log_fields(ctx, report))

    return record


def _count_request(ctx, report, event):
    counters, route = ctx.counters, report.route
    rank = route.rank.value if route else ''
    kind = 'group' if report.is_group else 'request'
    outcome = event.name.partition('_')[2].lower()
    telemetry.count(counters, f'{kind}s', rank=rank, outcome=outcome)
    telemetry.observe(counters, f'{kind}_seconds', report.seconds, rank=rank)
    if isinstance(report.outcome, core.Declined):
        reason = report.outcome.reason.value
        telemetry.count(counters, f'{kind}s_not_run', reason=reason)
    if report.services:
        missing = report.services - report.parts
        telemetry.count(counters, 'services_asked', report.services, rank=rank)
        telemetry.count(counters, 'services_missing', missing, rank=rank)
        telemetry.count(counters, 'hedges', report.hedges, rank=rank)
        telemetry.count(counters, 'retries', report.retries, rank=rank)
        telemetry.count(counters, 'groups', report.groups, rank=rank)


def _choose_event(report):
    if report.is_group:
        if report.parts < report.services:
            return telemetry.Event.GROUP_PARTIAL
        return telemetry.Event.GROUP_ANSWERED
    match report.outcome:
        case core.Declined():
            return telemetry.Event.REQUEST_DECLINED
        case core.Unanswered():
            return telemetry.Event.REQUEST_FAILED
        case core.NoRoute():
            return telemetry.Event.REQUEST_UNROUTED
        case core.Unauthorised():
            return telemetry.Event.REQUEST_UNAUTHORISED
    is_partial = report.parts < report.services
    if is_partial or report.seconds > report.route.target:
        return telemetry.Event.REQUEST_LATE
    return telemetry.Event.REQUEST_SERVED


def _make_log_fields(ctx, report):
    index, route = ctx.catalogue.index, report.route
    reason = getattr(report.outcome, 'reason', None)
    unavailable = ()
    if reason is core.NotRunReason.NO_REPLICA:
        unavailable = _list_unavailable_services(ctx, route)
    return {
        'request': report.request_id,
        'route': route.name if route else '',
        'version': index.table.version if index else 0,
        'ms': round(report.seconds * 1000, 1),
        'target': round(route.target * 1000) if route else 0,
        'attempts': route.max_attempts if route else 0,
        'repeat': route.repeat.value if route else '',
        'reason': reason.value if reason else '',
        'tenant': report.tenant,
        'parts': report.parts,
        'services': report.services,
        'hedges': report.hedges,
        'retries': report.retries,
        'groups': report.groups,
        'lacking': ' '.join(unavailable[:MAX_LOGGED_SERVICES]),
    }


def _list_unavailable_services(ctx, route):
    """Lists the services of a route that have no usable replica."""
    names = route.shards or [name for name, _ in route.splits]
    directory = ctx.catalogue.directory
    return [name for name in names if not core.list_usable(directory, name)]
