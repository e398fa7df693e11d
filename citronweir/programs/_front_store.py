"""Wires a front node's configuration to the platform's store."""

import asyncio
from collections import abc
import dataclasses
import time

from citronweir import core
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _front_context as contexts
from citronweir.programs import _front_convictions as convictions
from citronweir.programs import _front_nodes as nodes

# A watch call returns after this time without a change. Changes must be in
# force within 3 s, also when the connection of a call has gone silent.
WATCH_TIMEOUT = 1.0  # seconds
# Changes within this time are read in one call. Otherwise a start of many
# nodes would cost each watcher one call for each record. The delay is a small
# part of the 3 s within which a change must be in force.
BATCH_DELAY = 0.1  # seconds
# Delays between calls while the store refuses them or does not answer; refused
# calls are billed too. The maximum is short enough to read a change within
# 3 s after the store is available again.
MIN_RETRY_DELAY = 0.2  # seconds
MAX_RETRY_DELAY = 1.0  # seconds
RETRY_JITTER = 0.25  # share of the delay
MAX_DOUBLINGS = 8


def make_config_dependencies(
    ctx: contexts.FrontContext, on_routes_changed: abc.Callable[[], None]
) -> service.ConfigDependencies:
    """Builds the dependencies of the configuration flows.

    Args:
        ctx: State of the node.
        on_routes_changed: Called when a new route table is in force.
    """

    async def read_all():
        reply = await platform.read_all(ctx.session, ctx.boot.store)
        _record_reply(ctx, reply)
        if isinstance(reply, platform.StoreCallError):
            return core.StoreError(f'{reply.fault.value}: {reply.detail}')
        batch, state = _make_batch(reply), ctx.config.state
        if _is_other_era(state, batch.complete_to):
            batch = core.carry_over(state.records, _decode_batch(batch))
        return _add_removals(batch, state)

    def on_change(new_records):
        _adopt_era(ctx)
        service.apply_records(
            ctx.catalogue, ctx.config.state, new_records, time.monotonic()
        )
        convictions.apply_records(ctx, new_records)
        versions = [
            item.body.version
            for item in new_records
            if isinstance(item.body, core.RouteTable)
        ]
        if versions:
            on_routes_changed()
            _restore_config(ctx, min(versions))

    def is_watcher():
        age = service.config_age(deps, ctx.config)
        return core.is_watcher(ctx.catalogue.nodes, ctx.own.node_id, age)

    deps = service.ConfigDependencies(
        now=time.monotonic,
        wall_now=time.time,
        sleep=asyncio.sleep,
        rng=ctx.rng,
        decode=platform.decode_record,
        encode=lambda record: record.value,
        read_all=read_all,
        read_one=_reject_call,
        write=_reject_call,
        watch=lambda position: _watch(ctx, position),
        pick_peer=lambda: nodes.pick_peer(ctx),
        push_local=lambda batch: None,
        push_remote=lambda batch: None,
        is_watcher=is_watcher,
        announce=lambda batch: nodes.announce(ctx, batch),
        on_change=on_change,
    )
    return deps


def _is_other_era(state, revision):
    known = state.complete_to
    return bool(known) and core.find_era(revision) != core.find_era(known)


def _decode_batch(batch):
    records = tuple(
        platform.decode_record(record)[0] for record in batch.records
    )
    return dataclasses.replace(batch, records=records)


def _adopt_era(ctx):
    """Drops what a former era of the store gave to this node.

    Leases are gone, and their numbers are given out again. Replicas and
    operators write what was lost again, as after an outage.
    """
    era = core.find_era(ctx.config.state.newest_revision)
    if era <= ctx.store_era:
        return
    is_start, ctx.store_era = not ctx.config.ready, era
    if is_start:
        return
    core.mark_registry_restored(ctx.catalogue.directory, time.monotonic())
    ctx.registration.lease = None
    ctx.convictions.stored.clear()
    telemetry.log(telemetry.Event.STORE_REWOUND, era=era)


def _restore_config(ctx, version):
    """Writes the configuration in force again if the store lost it.

    Nodes that start now would otherwise use the older one. Only the nodes
    that watch the store for all others write.
    """
    known = ctx.catalogue.routes_record
    is_lost = ctx.store_era and version < known.body.version
    watchers = core.list_watchers(ctx.catalogue.nodes, ctx.own.node_id)
    if not is_lost or ctx.own.node_id not in watchers:
        return
    copy = ctx.config.state.records.get(platform.config_copy_key())
    revision = copy.revision if copy and copy.value else core.NO_REVISION

    async def write():
        error = await platform.write_config_copy(
            ctx.session, ctx.boot.store, known.value, revision
        )
        outcome = 'ok' if error is None else error.fault.value
        telemetry.log(
            telemetry.Event.CONFIG_RESTORED,
            version=known.body.version,
            outcome=outcome,
        )

    ctx.config_write = asyncio.create_task(write())


async def _reject_call(*args):
    """Rejects a call: nodes only watch the store, operators write to it."""
    return core.StoreError('read-only')


async def _watch(ctx, position):
    """Yields changes after a revision until they are compacted or lost."""
    failures = 0
    while True:
        sent_at = service.read_boot_clock()
        reply = await platform.wait_changes(
            ctx.session, ctx.boot.store, position, WATCH_TIMEOUT
        )
        _record_reply(ctx, reply)
        if isinstance(reply, platform.Changes):
            failures = 0
            # Every key is watched, so a higher revision without a change
            # means that the store has omitted changes.
            if not reply.items and reply.revision > position:
                yield core.StoreError('the store omitted changes')
                return
            position = max(position, reply.revision)
            elapsed = service.read_boot_clock() - sent_at
            age = _compute_max_age(reply, elapsed)
            yield dataclasses.replace(_make_batch(reply), age=age)
            if reply.items:
                await asyncio.sleep(BATCH_DELAY)
        elif reply.fault is platform.StoreFault.COMPACTED:
            yield core.StoreError(reply.detail)
            return
        else:
            delay = min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * 2.0**failures)
            failures = min(failures + 1, MAX_DOUBLINGS)
            jitter = ctx.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
            await asyncio.sleep(delay * jitter)


def _compute_max_age(reply, elapsed):
    """Returns the maximum age of a reply in seconds.

    The store makes a reply without changes when the wait is over, and one
    with changes at any time during the call. A reply that the network has
    delayed must not count as new, since it confirms the configuration of all
    nodes.
    """
    if reply.items or elapsed < WATCH_TIMEOUT:
        return elapsed
    return elapsed - WATCH_TIMEOUT


def _make_batch(reply):
    return core.ConfigBatch(
        tuple(
            core.ConfigRecord(
                core.ConfigKey(item.key), item.value, item.revision
            )
            for item in reply.items
        ),
        reply.revision,
    )


def _add_removals(batch, state):
    """Adds a removal for each known key that is missing from a listing.

    Other nodes copy the records of this one and then continue from their
    revision. Without a record of a removal they would never learn of it.
    """
    listed_keys = {record.key for record in batch.records}
    removals = tuple(
        core.ConfigRecord(key, '', batch.complete_to)
        for key, record in state.records.items()
        if record.value
        and key not in listed_keys
        and record.revision < batch.complete_to
    )
    return dataclasses.replace(batch, records=batch.records + removals)


def _record_reply(ctx, reply):
    """Counts a reply; logs when the store is lost and when it is restored."""
    now = time.monotonic()
    fault = getattr(reply, 'fault', None)
    outcome = 'ok' if fault is None else fault.value
    telemetry.count(ctx.counters, 'store_calls', outcome=outcome)
    is_answer = (
        not isinstance(reply, platform.StoreCallError)
        or reply.fault is platform.StoreFault.COMPACTED
    )
    if is_answer and ctx.store_lost_at is not None:
        core.mark_registry_restored(ctx.catalogue.directory, now)
        telemetry.log(
            telemetry.Event.STORE_RESTORED, seconds=now - ctx.store_lost_at
        )
        ctx.store_lost_at = None
    elif not is_answer and ctx.store_lost_at is None:
        ctx.store_lost_at = now
        telemetry.log(
            telemetry.Event.STORE_LOST,
            revision=ctx.config.state.complete_to,
            error=f'{reply.fault.value}: {reply.detail}',
        )
