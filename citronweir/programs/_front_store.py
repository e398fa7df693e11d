"""Wires the configuration of a front node to the platform's store."""

import asyncio
from collections import abc
import dataclasses
import time

from citronweir import core
from citronweir import platform
from citronweir import service
from citronweir import telemetry
from citronweir.programs import _front_nodes as nodes
from citronweir.programs import _front_parts as parts_

# A watch ends after this time without a change. A connection that went
# silent must not hide a change for longer than the 3 s within which a
# change is in force.
WATCH_TIME = 1.0  # seconds
# Changes that follow each other within this time are read in one call; the
# start of many nodes otherwise takes a call of each watcher for each record.
# A change is in force within 3 s, of which this is a small part.
GATHER_TIME = 0.1  # seconds
# Time between calls while the store refuses or does not answer; refused
# calls are priced too. The limit leaves room to read a change within 3 s
# of the store's return.
RETRY_FIRST = 0.2  # seconds
RETRY_LIMIT = 1.0  # seconds
RETRY_SPREAD = 0.25  # share of the time
MAX_DOUBLINGS = 8


def make_config_peers(
    parts: parts_.FrontParts, on_routes: abc.Callable[[], None]
) -> service.ConfigPeers:
    """Builds what the flows of the configuration need from outside.

    Args:
        parts: State of the node.
        on_routes: Called when other routes are in force.
    """

    async def read_all():
        reply = await platform.read_all(parts.session, parts.boot.store)
        _note_reply(parts, reply)
        if isinstance(reply, platform.StoreCallError):
            return core.StoreError(f'{reply.fault.value}: {reply.detail}')
        return _add_removals(_make_batch(reply), parts.config.state)

    def on_change(fresh):
        service.take_records(
            parts.catalogue, parts.config.state, fresh, time.monotonic()
        )
        if any(isinstance(item.body, core.RouteTable) for item in fresh):
            on_routes()

    def is_watcher():
        age = service.config_age(peers, parts.config)
        return core.is_watcher(parts.catalogue.nodes, parts.own.node_id, age)

    peers = service.ConfigPeers(
        now=time.monotonic,
        wall_now=time.time,
        sleep=asyncio.sleep,
        rng=parts.rng,
        decode=platform.decode_record,
        encode=lambda record: record.value,
        read_all=read_all,
        read_one=_refuse,
        write=_refuse,
        watch=lambda position: _watch(parts, position),
        pick_peer=lambda: nodes.pick_peer(parts),
        push_local=lambda batch: None,
        push_remote=lambda batch: None,
        is_watcher=is_watcher,
        announce=lambda batch: nodes.announce(parts, batch),
        on_change=on_change,
    )
    return peers


async def _refuse(*args):
    """The store is read-only here: operators write to it themselves."""
    return core.StoreError('read-only')


async def _watch(parts, position):
    """Yields the changes after a revision until the history is dropped."""
    failures = 0
    while True:
        sent_at = time.monotonic()
        reply = await platform.wait_changes(
            parts.session, parts.boot.store, position, WATCH_TIME
        )
        _note_reply(parts, reply)
        if isinstance(reply, platform.Changes):
            failures = 0
            # Every key is watched, so a revision that moved without a
            # change means that the store has left some out.
            if not reply.items and reply.revision > position:
                yield core.StoreError('changes were left out')
                return
            position = max(position, reply.revision)
            age = _find_age(reply, time.monotonic() - sent_at)
            yield dataclasses.replace(_make_batch(reply), age=age)
            if reply.items:
                await asyncio.sleep(GATHER_TIME)
        elif reply.fault is platform.StoreFault.COMPACTED:
            yield core.StoreError(reply.detail)
            return
        else:
            wait = min(RETRY_LIMIT, RETRY_FIRST * 2.0**failures)
            failures = min(failures + 1, MAX_DOUBLINGS)
            spread = parts.rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
            await asyncio.sleep(wait * spread)


def _find_age(reply, elapsed):
    """Bounds the seconds since the store made a reply.

    A reply without changes was made when the wait was over, one with
    changes at any time of the call. A network that holds it up must not
    make it look new: it confirms the configuration of all nodes.
    """
    return elapsed if reply.items else max(0.0, elapsed - WATCH_TIME)


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
    """Adds what a listing shows to be gone as removals of its revision.

    The node hands its records on to others, which go on from the revision
    that they reach: without a record of it they never learn of a removal.
    """
    held = {record.key for record in batch.records}
    gone = tuple(
        core.ConfigRecord(key, '', batch.complete_to)
        for key, record in state.records.items()
        if record.value
        and key not in held
        and record.revision < batch.complete_to
    )
    return dataclasses.replace(batch, records=batch.records + gone)


def _note_reply(parts, reply):
    """Notes whether the store answers, and logs when that changes."""
    now = time.monotonic()
    fault = getattr(reply, 'fault', None)
    outcome = 'ok' if fault is None else fault.value
    telemetry.count(parts.counters, 'store_calls', outcome=outcome)
    is_answer = (
        not isinstance(reply, platform.StoreCallError)
        or reply.fault is platform.StoreFault.COMPACTED
    )
    if is_answer and parts.lost_at is not None:
        core.note_registry_restored(parts.catalogue.directory, now)
        telemetry.log(
            telemetry.Event.STORE_RESTORED, seconds=now - parts.lost_at
        )
        parts.lost_at = None
    elif not is_answer and parts.lost_at is None:
        parts.lost_at = now
        telemetry.log(
            telemetry.Event.STORE_LOST,
            revision=parts.config.state.complete_to,
            error=f'{reply.fault.value}: {reply.detail}',
        )
