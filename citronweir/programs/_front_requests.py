"""Wires the requests of a front node to the replicas."""

from collections import abc
import time

from citronweir import core
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir import upstreams
from citronweir.programs import _front_crash_reports as crash_reports
from citronweir.programs import _front_nodes as nodes
from citronweir.programs import _front_parts as parts_

# Spread of the estimates, so that nodes do not all choose one of two
# replicas that look alike.
JITTER = 0.15
# One uneventful request in so many is logged.
SAMPLE = 64
_UNEVENTFUL = (
    telemetry.Event.REQUEST_SERVED,
    telemetry.Event.GROUP_ANSWERED,
)
# Services without a replica that the line of a refused request names.
LACKING_NAMED = 3
# Share of a replica's connections that the nodes use between them.
CONNS_SHARE = 0.9
# Part of the connections that the owners of a shard leave to other nodes,
# which ask it where an owner is lost.
SPARE_FACTOR = 2


def make_request_peers(parts: parts_.FrontParts) -> service.RequestPeers:
    """Builds what requests need from outside."""
    directory = parts.catalogue.directory

    def choose(name, tried):
        return core.choose_listed_replica(
            parts.loads,
            parts.locality,
            core.list_usable(directory, name),
            tried,
            time.monotonic(),
            lambda: 1.0 + JITTER * parts.rng.random(),
        )

    def choose_trial(name, tried):
        usable = core.list_usable(directory, name)
        return core.choose_trial(parts.loads, usable, tried, time.monotonic())

    def list_far(node, name):
        regions = parts.locality.regions
        return frozenset(
            replica.replica_id
            for replica in core.list_usable(directory, name)
            if regions.get(replica.dc) != regions.get(node.dc)
        )

    return service.RequestPeers(
        now=time.monotonic,
        find_index=lambda: parts.catalogue.index,
        list_usable=lambda name: core.list_usable(directory, name),
        choose=choose,
        choose_trial=choose_trial,
        send=_make_send(parts),
        leave=lambda handle: upstreams.leave(parts.lanes, *handle),
        withdraw=lambda handle: upstreams.withdraw(parts.lanes, *handle),
        judge=lambda req: crash_reports.judge(parts, req),
        take_extra=lambda name, kind: core.take_extra(parts.extra, name, kind),
        earn_tokens=lambda name: core.earn_tokens(parts.extra, name),
        plan_groups=lambda route: nodes.plan_groups(parts, route),
        choose_owner=lambda owners: nodes.choose_owner(parts, owners),
        ask_group=lambda node, query: nodes.ask_group(parts, node, query),
        list_far=list_far,
        round_trip=lambda node: nodes.round_trip(parts, node),
        windows=parts.windows,
        group_windows=parts.group_windows,
        record=make_record(parts),
    )


def note_owned(parts: parts_.FrontParts) -> None:
    """Notes which shards owners ask, and which of them this node owns."""
    extra, regions = parts.extra, set(parts.locality.regions.values())
    routes = parts.catalogue.index.table.routes
    listed = nodes.list_nodes(parts)

    def list_usable(name):
        return core.list_usable(parts.catalogue.directory, name)

    extra.owners = core.MAX_GROUP_OWNERS * max(1, len(regions))
    extra.grouped = frozenset(
        name
        for route in routes
        if core.is_grouped(route)
        for name in route.shards
    )
    extra.owned = frozenset(
        route.shards[place]
        for route in routes
        if core.is_grouped(route)
        for place in core.list_owned_shards(
            route, list_usable, listed, parts.own.node_id, parts.locality
        )
    )
    now = time.monotonic()
    core.update_services(
        extra,
        core.list_services(parts.catalogue.index.table),
        now - parts.started,
        parts.boot.extra_attempt_window,
        now,
    )


def conn_limit(parts: parts_.FrontParts, name: core.ServiceName) -> int:
    """Returns the connections that this node may have to a replica.

    Where there is not one for each node, only the owners of a shard in
    each region use it steadily, and the others once in a while.
    """
    most = _max_conns(parts, name) * CONNS_SHARE
    users = parts.extra.nodes
    if most < users:
        regions = len(set(parts.locality.regions.values()))
        users = min(
            users, SPARE_FACTOR * core.MAX_GROUP_OWNERS * max(1, regions)
        )
    return max(1, int(most / users))


def is_kept_warm(
    parts: parts_.FrontParts,
    name: core.ServiceName,
    owned: abc.Container[core.ServiceName],
) -> bool:
    """Returns whether this node keeps connections to a service open."""
    is_shared = _max_conns(parts, name) * CONNS_SHARE >= parts.extra.nodes
    return is_shared or name in owned


def _max_conns(parts, name):
    index = parts.catalogue.index
    return 1 if index is None else index.table.max_conns.get(name, 1)


def _make_send(parts):
    encoders = {}

    def send(req, replica, route, deadline, take):
        # All attempts of a request follow one another closely, so only
        # the encoder of the last request is worth keeping.
        if encoders.get('id') is not req:
            encoders['id'] = req
            encoders['encode'] = platform.make_encoder(req)
            encoders['own'] = platform.make_reply_matcher(req.request_id)
        encode = encoders['encode']
        load = parts.loads[replica.replica_id]
        parts.sent += 1
        number, sent_at = parts.sent, time.monotonic()
        core.record_request_sent(load, number, sent_at)
        lost_at = None

        def on_end(outcome):
            nonlocal lost_at
            now = time.monotonic()
            match outcome:
                case core.Replied():
                    crash_reports.record_request_answered(
                        parts, req, replica.service
                    )
                case core.Lost():
                    lost_at = now
                    crash_reports.note_loss(parts, req)
            _learn(parts, replica, load, number, outcome, now)
            name = type(outcome).__name__.lower()
            telemetry.count(parts.counters, 'attempts', outcome=name)
            if not isinstance(outcome, core.Replied):
                _log_failure(parts, req, replica, load, outcome, now - sent_at)
            take(outcome, now - sent_at)

        def on_ended():
            at = time.monotonic() if lost_at is None else lost_at
            crash_reports.note_crash(parts, req, replica, at)

        exchange = upstreams.Exchange(
            route.rank,
            deadline,
            lambda left: encode(replica.replica_id, left),
            platform.decode_reply,
            encoders['own'],
            on_end,
            route.repeat is core.Idempotency.NON_IDEMPOTENT,
            on_ended,
        )
        upstreams.submit(
            parts.lanes, replica, conn_limit(parts, replica.service), exchange
        )
        return replica.replica_id, exchange

    return send


def _learn(parts, replica, load, number, outcome, now):
    match outcome:
        case core.Replied(reply):
            if reply.status >= 500:
                core.record_request_failed(load, number, now)
            else:
                core.record_request_answered(load, number, now)
            if reply.load is not None:
                core.record_reported_queue(load, reply.load[1], now)
        case core.NotRun(core.NotRunReason.MISDIRECTED):
            core.record_request_abandoned(load, number)
            core.mark_misdirected(parts.catalogue.directory, replica)
        case core.NotRun(core.NotRunReason.CANCELLED):
            core.record_request_abandoned(load, number)
        case core.NotRun(core.NotRunReason.DEADLINE_PASSED):
            core.record_request_abandoned(load, number)
        case core.NotRun(core.NotRunReason.QUEUE_FULL):
            core.record_request_abandoned(load, number)
        case _:
            core.record_request_failed(load, number, now)


def _log_failure(parts, req, replica, load, outcome, seconds):
    event = telemetry.Event.REPLICA_FAILED
    if outcome.reason is core.NotRunReason.CANCELLED:
        return
    if telemetry.may_log(parts.log_limits, event, time.monotonic()):
        telemetry.log(
            event,
            replica=replica.replica_id,
            service=replica.service,
            outcome=f'{type(outcome).__name__} {outcome.reason.value}',
            request=req.request_id,
            ms=round(seconds * 1000, 1),
            failures=load.failures,
        )


def make_record(
    parts: parts_.FrontParts,
) -> abc.Callable[[service.RequestReport], None]:
    """Builds what counts and logs the end of each request."""

    def record(report):
        event = _choose_event(report)
        _count(parts, report, event)
        if event in _UNEVENTFUL:
            if hash(report.request_id) % SAMPLE:
                return
        if telemetry.may_log(parts.log_limits, event, time.monotonic()):
            telemetry.log(event, **_describe(parts, report))

    return record


def _count(parts, report, event):
    counters, route = parts.counters, report.route
    rank = route.rank.value if route else ''
    kind = 'group' if report.is_group else 'request'
    outcome = event.name.partition('_')[2].lower()
    telemetry.count(counters, f'{kind}s', rank=rank, outcome=outcome)
    telemetry.observe(counters, f'{kind}_seconds', report.seconds, rank=rank)
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
    is_partial = report.parts < report.services
    if is_partial or report.seconds > report.route.target:
        return telemetry.Event.REQUEST_LATE
    return telemetry.Event.REQUEST_SERVED


def _describe(parts, report):
    index, route = parts.catalogue.index, report.route
    reason = getattr(report.outcome, 'reason', None)
    lacking = ()
    if reason is core.NotRunReason.NO_REPLICA:
        lacking = _list_lacking(parts, route)
    return {
        'request': report.request_id,
        'route': route.name if route else '',
        'version': index.table.version if index else 0,
        'ms': round(report.seconds * 1000, 1),
        'target': round(route.target * 1000) if route else 0,
        'attempts': route.max_attempts if route else 0,
        'repeat': route.repeat.value if route else '',
        'reason': reason.value if reason else '',
        'parts': report.parts,
        'services': report.services,
        'hedges': report.hedges,
        'retries': report.retries,
        'groups': report.groups,
        'lacking': ' '.join(lacking[:LACKING_NAMED]),
    }


def _list_lacking(parts, route):
    """Lists the services of a route without a replica that takes requests."""
    names = route.shards or [name for name, _ in route.splits]
    directory = parts.catalogue.directory
    return [name for name in names if not core.list_usable(directory, name)]
