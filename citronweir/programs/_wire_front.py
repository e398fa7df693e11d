"""Wires the flows behind the callers', operators' and nodes' ports."""

import functools
import time
import uuid

from citronweir import callers
from citronweir import core
from citronweir import metastore
from citronweir import nodes
from citronweir import operators
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _hops as hops
from citronweir.programs import _parts as parts_
from citronweir.programs import _wire_config as wire_config

# Seconds for which the expected wait of a plan is kept. Working it out
# takes all candidates of all pieces, up to 490 for each search.
WAIT_LIFE = 0.02
NO_CONFIGURATION = core.Refused(core.NotRunReason.NO_CONFIGURATION)
# Seconds after which a node serves without the table of another node:
# the VM list may only name nodes that are gone.
JOIN_LIMIT = 3.0
_USABLE = (core.ReplicaState.READY, core.ReplicaState.WARMING)


def make_search_peers(
    parts: parts_.Parts, dispatch: service.DispatchDependencies
) -> service.SearchDependencies:
    """Builds what a search needs from outside."""
    table, suspects = parts.table, parts.suspects

    def retile(index, snapshot, within):
        held = core.list_holdings(table, index, _USABLE)
        return core.cover_range(index, snapshot, within, held)

    def choose(piece, tried, rank):
        return core.choose_replica(
            table,
            piece.candidates,
            tried,
            rank,
            time.monotonic(),
            parts.rng,
        )

    def is_quarantined(req):
        state = core.find_state(suspects, _fingerprint(req), time.time())
        return state is core.SuspectState.CONVICTED

    def needs_canary(req):
        return core.needs_canary(
            suspects, _fingerprint(req), time.time(), parts.cfg.canary
        )

    return service.SearchDependencies(
        now=time.monotonic,
        wall_now=time.time,
        find_contract=functools.partial(_find_contract, parts),
        plan=functools.partial(core.plan_index, table),
        retile=retile,
        choose_replica=choose,
        send=functools.partial(service.dispatch_sub, dispatch),
        expected_wait=_make_expected_wait(parts),
        needs_canary=needs_canary,
        is_quarantined=is_quarantined,
        record=functools.partial(telemetry.record_search, parts.metrics),
        budgets=parts.budgets,
        admission=parts.admission,
    )


def make_order_peers(
    parts: parts_.Parts, dispatch: service.DispatchDependencies
) -> service.OrderPeers:
    """Builds what an order needs from outside."""
    claims = metastore.make_claim_store(
        parts.kv_session, parts.cfg.kv_url, parts.call_limits
    )

    async def write_claim(key, step, deadline):
        reply = await claims.write(key, step, deadline)
        telemetry.record_claim(parts.metrics, step.claim.state, reply)
        return reply

    def choose(index):
        held = core.list_holdings(
            parts.table, index, (core.ReplicaState.READY,)
        )
        return core.choose_replica(
            parts.table,
            {replica_id for replica_id, _ in held},
            (),
            core.Rank.URGENT,
            time.monotonic(),
            parts.rng,
        )

    return service.OrderPeers(
        parts.cfg.node_id,
        time.monotonic,
        time.time,
        lambda: core.ClaimToken(uuid.uuid4().hex),
        functools.partial(_find_contract, parts),
        choose,
        claims.read,
        write_claim,
        functools.partial(service.dispatch_sub, dispatch),
    )


def make_caller_handlers(
    parts: parts_.Parts,
    search_peers: service.SearchDependencies,
    order_peers: service.OrderPeers,
    config_peers: service.ConfigDependencies,
) -> callers.Handlers:
    """Builds what the callers' port calls."""

    async def search(req, trace):
        if not parts.config.ready:
            return NO_CONFIGURATION
        with service.count_work(parts.stop, service.WorkKind.REQUEST):
            outcome = await service.run_search(search_peers, req, trace)
        if isinstance(outcome, core.Complete):
            _clear_suspect(parts, req)
        return outcome

    async def order(req, trace):
        if not parts.config.ready:
            return core.answer_unchecked(req, NO_CONFIGURATION)
        with service.count_work(parts.stop, service.WorkKind.REQUEST):
            outcome = await service.run_order(order_peers, req, trace)
        telemetry.record_order(parts.metrics, outcome)
        return outcome

    return callers.Handlers(
        search=search,
        order=order,
        is_ready=_make_is_ready(parts),
        is_stopping=functools.partial(service.is_stopping, parts.stop),
        config_age=lambda: service.config_age(config_peers, parts.config),
    )


def _make_is_ready(parts):
    """Builds the check of ``/healthz``.

    A starting node is not ready until it has a configuration, the table
    of another node and a ready replica: it would answer with the
    coverage of those few replicas that it knows. The loss of all
    replicas later does not make it unready, since the balancer would
    take every node away at once.
    """
    until = time.monotonic() + JOIN_LIMIT
    has_started = False

    def is_started():
        is_joined = parts.membership.is_joined
        return (
            parts.config.ready
            and (is_joined or time.monotonic() >= until)
            and any(
                replica.state is core.ReplicaState.READY
                for replica in parts.table.replicas.values()
            )
        )

    def is_ready():
        nonlocal has_started
        has_started = has_started or is_started()
        return has_started and not service.is_stopping(parts.stop)

    return is_ready


def make_operator_handlers(
    parts: parts_.Parts, config_peers: service.ConfigDependencies
) -> operators.Handlers:
    """Builds what the operators' port calls."""

    async def change(wish):
        outcome = await service.run_change(config_peers, parts.config, wish)
        wire_config.apply_config(parts)
        return outcome

    def settings():
        defaults = wire_config.default_settings(parts)
        return core.fleet_settings(parts.config.state, defaults)

    def status():
        return core.NodeStatus(
            parts.cfg.node_id,
            parts.cfg.dc,
            parts.identity.incarnation,
            parts.config.state.complete_to,
            service.config_age(config_peers, parts.config),
            tuple(core.list_members(parts.membership, *core.MemberState)),
            tuple(parts.table.replicas.values()),
            service.is_stopping(parts.stop),
        )

    return operators.Handlers(
        change, lambda: parts.config.state.records, settings, status
    )


def make_node_handlers(
    parts: parts_.Parts,
    gossip: service.MembershipDependencies,
    owner_peers: service.OwnerDependencies,
    config_peers: service.ConfigDependencies,
) -> nodes.Handlers:
    """Builds what the streams of other nodes call."""

    async def run_sub(replica_id, sub):
        submit = functools.partial(
            service.submit, parts.owner, owner_peers, replica_id
        )
        with service.count_work(parts.stop, service.WorkKind.RELAY):
            return await hops.run_hop('owner', replica_id, sub, submit)

    def on_config(dc, batch):
        is_local = dc == parts.cfg.dc
        source = (
            service.RecordSource.LOCAL_PEER
            if is_local
            else service.RecordSource.REMOTE_PEER
        )
        if service.receive_records(config_peers, parts.config, batch, source):
            wire_config.apply_config(parts)

    def on_suspect(record):
        core.merge_record(parts.suspects, record, time.time())

    def on_gossip(message):
        if not isinstance(message, core.Leave):
            nodes.end_backoff(parts.links, message.sender.address)
        service.handle_gossip(gossip, parts.membership, message)

    return nodes.Handlers(
        run_sub=run_sub,
        on_gossip=on_gossip,
        on_config=on_config,
        read_config=functools.partial(
            service.answer_sync, config_peers, parts.config
        ),
        on_suspect=on_suspect,
    )


def _find_contract(parts, contract_id):
    return core.find_contract(parts.config.state, contract_id)


def _fingerprint(req):
    return core.fingerprint_text(req.index, req.query)


def _clear_suspect(parts, req):
    cleared = core.clear_request(
        parts.suspects, _fingerprint(req), time.time()
    )
    if cleared is not None:
        for member in parts_.list_peers(parts):
            nodes.send_suspect(parts.links, member.address, cleared)


def _make_expected_wait(parts):
    kept = {}

    def expected_wait(plan, rank):
        now = time.monotonic()
        key = (plan.index, plan.snapshot, rank)
        wait, until = kept.get(key, (0.0, 0.0))
        if now >= until:
            wait = _find_worst_wait(parts.table, plan, rank, now)
            kept[key] = (wait, now + WAIT_LIFE)
        return wait

    return expected_wait


def _find_worst_wait(table, plan, rank, now):
    observed = table.observed
    worst = 0.0
    for piece in plan.pieces:
        waits = [
            core.queue_delay(observed[replica_id], rank, now)
            for replica_id in piece.candidates
            if replica_id in observed
        ]
        worst = max(worst, min(waits, default=0.0))
    return worst
