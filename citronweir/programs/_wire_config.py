"""Wires the configuration to the store and to the other nodes."""

import asyncio
from collections import abc
import contextlib
import functools
import time

from citronweir import core
from citronweir import metastore
from citronweir import nodes
from citronweir import service
from citronweir.programs import _parts as parts_

# Two rounds of anti-entropy, 1.2 s apart at most, and one silent peer
# between them stay within the 3 s for a change to reach every node.
SYNC_TIMEOUT = 0.5  # seconds
# Share of the rounds of anti-entropy that ask another data centre, which
# brings changes to a data centre that is cut off from the store.
REMOTE_SHARE = 0.125


def make_config_peers(parts: parts_.Parts) -> service.ConfigDependencies:
    """Builds what the flows of the configuration need from outside."""
    store = _make_store(parts)
    return service.ConfigDependencies(
        now=time.monotonic,
        wall_now=time.time,
        sleep=asyncio.sleep,
        rng=parts.rng,
        decode=metastore.decode_record,
        encode=metastore.encode_record,
        pick_peer=lambda: _pick_peer(parts),
        push_local=lambda batch: _push(parts, parts_.list_peers(parts), batch),
        push_remote=lambda batch: _push(parts, _list_contacts(parts), batch),
        is_watcher=lambda: service.is_watcher(parts.routing, parts.membership),
        **store,
    )


def apply_config(parts: parts_.Parts) -> None:
    """Puts fleet settings and drains of the configuration in force."""
    state = parts.config.state
    fleet = core.fleet_settings(state, default_settings(parts))
    core.set_drains(parts.table, core.drained_replicas(state))
    parts.owner.shares = fleet.shares
    for owned in parts.owner.replicas.values():
        owned.queue.shares = fleet.shares
    for rank in core.Rank:
        parts.budgets[rank].hedges.share = fleet.hedge_budget
        parts.budgets[rank].extra.share = fleet.retry_budget


def default_settings(parts: parts_.Parts) -> core.FleetSettings:
    """Returns the fleet settings that hold until operators change them."""
    cfg = parts.cfg
    return core.FleetSettings(cfg.shares, cfg.hedge_budget, cfg.retry_budget)


def _make_store(parts) -> dict[str, abc.Callable]:
    session, url = parts.kv_session, parts.cfg.kv_url
    limits = parts.call_limits

    async def read_all():
        reply = await metastore.read_prefix(
            session, url, core.CONFIG_PREFIX, limits=limits
        )
        if isinstance(reply, metastore.KvError):
            return core.StoreError(reply.detail)
        pairs, revision = reply
        return core.ConfigBatch(
            tuple(_to_record(pair) for pair in pairs),
            core.Revision(revision),
        )

    async def read_one(key):
        reply = await metastore.read_key(session, url, key, limits=limits)
        if isinstance(reply, metastore.KvError):
            return core.StoreError(reply.detail)
        return reply[0] and metastore.decode_record(_to_record(reply[0]))[0]

    async def write(key, value, expected):
        reply = await metastore.put_if(
            session, url, key, value, expected, limits=limits
        )
        match reply:
            case metastore.Applied(revision):
                return core.StoreWritten(core.Revision(revision))
            case metastore.Conflict(current):
                return core.StoreConflict(current and _to_record(current))
        return core.StoreError(reply.detail)

    return {
        'read_all': read_all,
        'read_one': read_one,
        'write': write,
        'watch': functools.partial(_watch, parts),
    }


async def _watch(parts, from_revision):
    batches = metastore.watch_prefix(
        parts.kv_session,
        parts.cfg.kv_url,
        core.CONFIG_PREFIX,
        from_revision + 1,
        limits=parts.call_limits,
    )
    async with contextlib.aclosing(batches):
        async for batch in batches:
            if isinstance(batch, metastore.KvError):
                yield core.StoreError(batch.detail)
                return
            yield core.ConfigBatch(
                tuple(_to_record(pair) for pair in batch.pairs),
                core.Revision(batch.revision),
            )


def _to_record(pair):
    return core.ConfigRecord(
        core.ConfigKey(pair.key), pair.value, core.Revision(pair.revision)
    )


def _pick_peer(parts):
    local, remote = parts_.list_peers(parts), _list_contacts(parts)
    is_remote = parts.rng.random() < REMOTE_SHARE
    pool = remote if remote and (is_remote or not local) else local
    if not pool:
        return None
    member = parts.rng.choice(pool)

    async def ask(since):
        return await nodes.call_sync(parts.links, member, since, SYNC_TIMEOUT)

    return ask


def _list_contacts(parts):
    return [
        contact
        for dc in parts.membership.contacts
        for contact in core.list_contacts(parts.membership, dc)
    ]


def _push(parts, members, batch):
    for member in members:
        nodes.send_config(parts.links, member.address, batch)
