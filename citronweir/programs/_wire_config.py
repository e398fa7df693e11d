"""Wires the configuration to the store and to other nodes."""

import asyncio
from collections import abc
import contextlib
import functools
import time

from citronweir import core
from citronweir import metastore
from citronweir import nodes
from citronweir import service
from citronweir.programs import _node_context as contexts

# Two rounds of anti-entropy, at most 1.2 s apart, and a timeout of one peer
# fit into the 3 s within which a change must reach every node.
SYNC_TIMEOUT = 0.5  # seconds
# Share of the anti-entropy rounds with a peer in another data centre, so that
# changes reach a data centre without access to the store.
REMOTE_SHARE = 0.125


def make_config_dependencies(
    ctx: contexts.NodeContext,
) -> service.ConfigDependencies:
    """Builds the dependencies of the configuration flows."""
    store = _make_store(ctx)
    return service.ConfigDependencies(
        now=time.monotonic,
        wall_now=time.time,
        sleep=asyncio.sleep,
        rng=ctx.rng,
        decode=metastore.decode_record,
        encode=metastore.encode_record,
        pick_peer=lambda: _pick_peer(ctx),
        push_local=lambda batch: _push(ctx, contexts.list_peers(ctx), batch),
        push_remote=lambda batch: _push(
            ctx, _list_remote_contacts(ctx), batch
        ),
        is_watcher=lambda: service.is_watcher(ctx.assignment, ctx.membership),
        **store,
    )


def apply_config(ctx: contexts.NodeContext) -> None:
    """Applies the fleet settings and drains of the configuration."""
    state = ctx.config.state
    fleet = core.fleet_settings(state, default_settings(ctx))
    core.set_drains(ctx.table, core.drained_replicas(state))
    ctx.owner.shares = fleet.shares
    for owned in ctx.owner.replicas.values():
        owned.queue.shares = fleet.shares
    for rank in core.Rank:
        ctx.budgets[rank].hedges.share = fleet.hedge_budget
        ctx.budgets[rank].extra.share = fleet.retry_budget


def default_settings(ctx: contexts.NodeContext) -> core.FleetSettings:
    """Returns the fleet settings to use until operators change them."""
    cfg = ctx.cfg
    return core.FleetSettings(cfg.shares, cfg.hedge_budget, cfg.retry_budget)


def _make_store(ctx) -> dict[str, abc.Callable]:
    session, url = ctx.kv_session, ctx.cfg.kv_url
    limits = ctx.call_limits

    async def read_all():
        reply = await metastore.read_prefix(
            session, url, core.CONFIG_PREFIX, limits=limits
        )
        if isinstance(reply, metastore.KvError):
            return core.StoreError(reply.detail)
        pairs, revision = reply
        return core.ConfigBatch(
            tuple(_make_record(pair) for pair in pairs),
            core.Revision(revision),
        )

    async def read_one(key):
        reply = await metastore.read_key(session, url, key, limits=limits)
        if isinstance(reply, metastore.KvError):
            return core.StoreError(reply.detail)
        return reply[0] and metastore.decode_record(_make_record(reply[0]))[0]

    async def write(key, value, expected):
        reply = await metastore.compare_and_set(
            session, url, key, value, expected, limits=limits
        )
        match reply:
            case metastore.Applied(revision):
                return core.StoreWritten(core.Revision(revision))
            case metastore.Conflict(current):
                return core.StoreConflict(current and _make_record(current))
        return core.StoreError(reply.detail)

    return {
        'read_all': read_all,
        'read_one': read_one,
        'write': write,
        'watch': functools.partial(_watch, ctx),
    }


async def _watch(ctx, from_revision):
    batches = metastore.watch_prefix(
        ctx.kv_session,
        ctx.cfg.kv_url,
        core.CONFIG_PREFIX,
        from_revision + 1,
        limits=ctx.call_limits,
    )
    async with contextlib.aclosing(batches):
        async for batch in batches:
            if isinstance(batch, metastore.KvError):
                yield core.StoreError(batch.detail)
                return
            yield core.ConfigBatch(
                tuple(_make_record(pair) for pair in batch.pairs),
                core.Revision(batch.revision),
            )


def _make_record(pair):
    return core.ConfigRecord(
        core.ConfigKey(pair.key), pair.value, core.Revision(pair.revision)
    )


def _pick_peer(ctx):
    local, remote = contexts.list_peers(ctx), _list_remote_contacts(ctx)
    is_remote = ctx.rng.random() < REMOTE_SHARE
    candidates = remote if remote and (is_remote or not local) else local
    if not candidates:
        return None
    member = ctx.rng.choice(candidates)

    async def ask(since):
        return await nodes.fetch_config(ctx.links, member, since, SYNC_TIMEOUT)

    return ask


def _list_remote_contacts(ctx):
    return [
        contact
        for dc in ctx.membership.contacts
        for contact in core.list_contacts(ctx.membership, dc)
    ]


def _push(ctx, members, batch):
    for member in members:
        nodes.send_config(ctx.links, member.address, batch)
