"""Keeps a node's configuration up to date.

A record reaches a node in four ways: two nodes of each data centre watch
the store, the node that accepts a change pushes it, nodes forward records
that are new to them, and anti-entropy compares two nodes. All of them use
the same merge, so the order of arrival does not matter.
"""

from collections import abc
import contextlib
import dataclasses
import enum
import math
import random

from citronweir import core
from citronweir import telemetry
from citronweir.service import _clocks as clocks

# Attempts to load from peers before a starting node reads the store, so that
# a start of many nodes does not overload the store.
START_TRIES = 3
START_WAIT = 0.5  # seconds, longest wait between these attempts
# A watch resumes from a configuration that was confirmed within this time;
# an older one is read again in full. Stores keep at least 20 s of history.
MAX_RESUME_AGE = 10.0  # seconds
WATCH_CHECK_INTERVAL = 0.25  # seconds between checks whether this node watches
# Waits are drawn uniformly between 0 and these bounds, so that nodes do not
# reconnect in step after an outage.
INITIAL_BACKOFF = 0.5  # seconds
# A store that has recovered must be read well within the 3 s that a change
# may take to be in force everywhere.
MAX_BACKOFF = 2.0  # seconds
# Bound on the messages of one transfer. At 200 kB each, this is far more than
# the configuration that a node can hold.
MAX_PAGES = 1000


class RecordSource(enum.Enum):
    """Origin of records, which determines to whom they are forwarded."""

    STORE = 'store'
    LOCAL_PEER = 'local_peer'
    REMOTE_PEER = 'remote_peer'
    SYNC = 'sync'


# Records from these sources may be new to the whole data centre, so they are
# forwarded. A peer of the data centre has already sent its records to all.
FORWARDED_SOURCES = frozenset({RecordSource.STORE, RecordSource.REMOTE_PEER})


def _do_nothing(item):
    pass


AskPeer = abc.Callable[[core.Revision], abc.Awaitable[core.ConfigBatch | None]]


@dataclasses.dataclass(slots=True)
class Configuration:
    """Configuration of this node and the time of its last confirmation.

    Attributes:
        ready: Whether a whole configuration was fetched since the start.
        is_resumable: Whether a watch may resume from ``complete_to``.
        confirmed_boot: Boot-clock second of the last confirmation. Unlike the
            monotonic clock, the boot clock advances while the VM is
            suspended, and unlike the time of day it doesn't step.
    """

    state: core.ConfigState = core.ConfigState()
    ready: bool = False
    is_resumable: bool = False
    confirmed_boot: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDependencies:
    """Functions that the updates of the configuration call.

    Attributes:
        now: Returns the monotonic time, seconds.
        wall_now: Returns the wall-clock time, seconds since the epoch.
        boot_now: Returns the boot-clock time, seconds.
        sleep: Waits for a number of seconds.
        rng: Source of the jitter.
        decode: Parses a record's value; returns the record and its errors.
        encode: Serialises a record's value.
        read_all: Reads the whole configuration from the store.
        read_one: Reads one record from the store; None if absent.
        write: Writes a value if its key has the expected revision.
        watch: Yields the batches after a revision, in the order of the
            store, each with the revision reached. Ends after an error.
        pick_peer: Picks a random peer and returns a function that requests
            its records newer than a revision; None without peers. All
            pages of a transfer come from one peer: a page may omit a record
            because a later page holds a newer one, which another peer may
            lack.
        push_local: Sends records to every peer of the data centre.
        push_remote: Sends records to two nodes of each other data centre.
        is_watcher: Returns whether this node watches the store for its
            data centre.
        announce: Sends a batch of the watch to every peer, which also
            tells them that the configuration was confirmed.
        on_change: Called with the new records after each merge that
            changed the configuration.
    """

    now: abc.Callable[[], float]
    wall_now: abc.Callable[[], float]
    sleep: abc.Callable[[float], abc.Awaitable[None]]
    rng: random.Random
    decode: abc.Callable[
        [core.ConfigRecord], tuple[core.ConfigRecord, list[str]]
    ]
    encode: abc.Callable[[core.ConfigRecord], str]
    read_all: abc.Callable[
        [], abc.Awaitable[core.ConfigBatch | core.StoreError]
    ]
    read_one: abc.Callable[
        [core.ConfigKey],
        abc.Awaitable[core.ConfigRecord | core.StoreError | None],
    ]
    write: abc.Callable[
        [core.ConfigKey, str, core.Revision],
        abc.Awaitable[
            core.StoreWritten | core.StoreConflict | core.StoreError
        ],
    ]
    watch: abc.Callable[
        [core.Revision],
        abc.AsyncGenerator[core.ConfigBatch | core.StoreError, None],
    ]
    pick_peer: abc.Callable[[], AskPeer | None]
    push_local: abc.Callable[[core.ConfigBatch], None]
    push_remote: abc.Callable[[core.ConfigBatch], None]
    is_watcher: abc.Callable[[], bool]
    announce: abc.Callable[[core.ConfigBatch], None] = _do_nothing
    on_change: abc.Callable[[tuple[core.ConfigRecord, ...]], None] = (
        _do_nothing
    )
    boot_now: abc.Callable[[], float] = clocks.read_boot_clock


def config_age(deps: ConfigDependencies, config: Configuration) -> float:
    """Returns the seconds since any node confirmed the configuration."""
    return max(0.0, deps.boot_now() - config.confirmed_boot)


def receive_records(
    deps: ConfigDependencies,
    config: Configuration,
    batch: core.ConfigBatch,
    source: RecordSource,
) -> tuple[core.ConfigRecord, ...]:
    """Merges records into the configuration and forwards the new ones.

    Args:
        deps: Functions that the update calls.
        config: Configuration of this node.
        batch: Records; their values are decoded here.
        source: Origin of the records.

    Returns:
        The records that were new.
    """
    records = tuple(
        _decode(deps, record) if core.is_new(config.state, record) else record
        for record in batch.records
    )
    previous_records = config.state.records
    config.state, new_records = core.merge_batch(
        config.state, dataclasses.replace(batch, records=records)
    )
    if config.state.records is not previous_records:
        deps.on_change(new_records)
    if source in FORWARDED_SOURCES:
        for pushed in core.split_batches(new_records):
            deps.push_local(pushed)
    return new_records


def receive_announced(
    deps: ConfigDependencies, config: Configuration, batch: core.ConfigBatch
) -> None:
    """Merges a batch that a watcher announced.

    Its age on arrival is unknown: it may have waited in a buffer while this
    node was frozen or cut off. Only a time on this node's own clock counts.

    Args:
        deps: Functions that the update calls.
        config: Configuration of this node.
        batch: Batch of the watch, with the time of its confirmation.
    """
    receive_records(deps, config, batch, RecordSource.LOCAL_PEER)
    is_complete = 0 < batch.complete_to <= config.state.complete_to
    if config.ready and is_complete and batch.confirmed_boot < deps.boot_now():
        _confirm(config, batch.confirmed_boot)


def answer_sync(
    deps: ConfigDependencies, config: Configuration, since: core.Revision
) -> core.ConfigBatch | None:
    """Answers a peer that requests the records newer than a revision.

    Args:
        deps: Functions that the answer calls.
        config: Configuration of this node.
        since: Revision up to which the peer is complete.

    Returns:
        The batch, or None while this node has no whole configuration.
    """
    if not config.ready:
        return None
    return core.collect_newer_records(
        config.state, since, config_age(deps, config)
    )


async def load_config(deps: ConfigDependencies, config: Configuration) -> None:
    """Fetches the configuration of a starting node.

    Peers are tried first; the store is read only if none answers.

    Args:
        deps: Functions that the load calls.
        config: Configuration of this node, ready on return.
    """
    failures = 0
    while True:
        try:
            if await _try_load(deps, config):
                return
        except Exception as exc:  # an error must not stop the node's start
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR, task='load', error=repr(exc)
            )
        failures += 1
        await deps.sleep(draw_backoff(deps.rng, failures))


async def _try_load(deps, config):
    """Loads from peers or else from the store; returns whether it did."""
    for _ in range(START_TRIES):
        if deps.pick_peer() is None:
            break
        if await _load_from_peers(deps, config):
            return True
        await deps.sleep(deps.rng.uniform(0, START_WAIT))
    return await _load_from_store(deps, config)


async def sync_config(deps: ConfigDependencies, config: Configuration) -> None:
    """Runs one round of anti-entropy with one peer.

    Args:
        deps: Functions that the round calls.
        config: Configuration of this node.
    """
    age = config_age(deps, config)
    if config.ready and core.needs_full_fetch(age):
        telemetry.log(telemetry.Event.CONFIG_STALE, age=age)
        if not await _load_from_peers(deps, config):
            await _load_from_store(deps, config)
        return
    request_batch = deps.pick_peer()
    since = config.state.complete_to
    for _ in range(MAX_PAGES):
        asked_at = deps.boot_now()
        batch = await request_batch(since) if request_batch else None
        if batch is None:
            return
        receive_records(deps, config, batch, RecordSource.SYNC)
        since = core.next_since(batch)
        if not batch.more:
            _confirm(config, asked_at - batch.age)
            return


async def run_watch(deps: ConfigDependencies, config: Configuration) -> None:
    """Watches the store while this node is a watcher of its data centre.

    Args:
        deps: Functions that the watch calls.
        config: Configuration of this node.
    """
    failures = 0
    while True:
        if not config.ready or not deps.is_watcher():
            await deps.sleep(WATCH_CHECK_INTERVAL * deps.rng.uniform(0.5, 1.5))
            continue
        try:
            has_received = await watch_once(deps, config)
        except Exception as exc:  # an error must not end the watch for good
            has_received = config.is_resumable = False
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR, task='watch', error=repr(exc)
            )
        failures = 0 if has_received else failures + 1
        if not config.is_resumable:
            await deps.sleep(draw_backoff(deps.rng, failures))


async def watch_once(deps: ConfigDependencies, config: Configuration) -> bool:
    """Reads the store if necessary and watches it until the watch ends.

    Args:
        deps: Functions that the watch calls.
        config: Configuration of this node.

    Returns:
        Whether the watch delivered anything.
    """
    is_fresh = config_age(deps, config) < MAX_RESUME_AGE
    if not (config.is_resumable and is_fresh):
        previous = config.state.complete_to
        if not await _load_from_store(deps, config, RecordSource.STORE):
            return False
        _announce_newer(deps, config, previous)
    position = config.state.complete_to
    telemetry.log(telemetry.Event.WATCH_STARTED, revision=position)
    received = False
    async with contextlib.aclosing(deps.watch(position)) as batches:
        async for batch in batches:
            if isinstance(batch, core.StoreError):
                telemetry.log(telemetry.Event.WATCH_LOST, error=batch.detail)
                config.is_resumable = False
                return received
            received = True
            batch = dataclasses.replace(batch, since=position)
            position = max(position, batch.complete_to)
            receive_records(deps, config, batch, RecordSource.STORE)
            # A batch without an age is assumed to be delivered at once.
            age = batch.age if math.isfinite(batch.age) else 0.0
            confirmed_boot = deps.boot_now() - age
            _confirm(config, confirmed_boot)
            deps.announce(
                dataclasses.replace(
                    batch, age=age, confirmed_boot=confirmed_boot
                )
            )
            if not deps.is_watcher():
                break
    return received


def _announce_newer(deps, config, since):
    """Announces what a full read has found beyond a revision.

    Nodes that miss it can't follow the next batches of the watch, and would
    learn from random peers only, which takes several seconds.
    """
    while since:
        batch = core.collect_newer_records(config.state, since)
        deps.announce(
            dataclasses.replace(batch, confirmed_boot=config.confirmed_boot)
        )
        if not batch.more:
            return
        since = core.next_since(batch)


async def compact_config(
    deps: ConfigDependencies, config: Configuration
) -> None:
    """Drops contracts that expired long ago; to be run about hourly."""
    config.state = core.compact(config.state, deps.wall_now())


def draw_backoff(rng: random.Random, failures: int) -> float:
    """Draws the seconds to wait after a number of consecutive failures."""
    bound = INITIAL_BACKOFF * 2.0 ** min(failures, 10)
    return rng.uniform(0, min(MAX_BACKOFF, bound))


def _confirm(config, boot_at):
    config.confirmed_boot = max(config.confirmed_boot, boot_at)


def _decode(deps, record):
    decoded, errors = deps.decode(record)
    for error in errors:
        telemetry.log(
            telemetry.Event.CONFIG_MALFORMED, key=record.key, error=error
        )
    return decoded


async def _load_from_store(deps, config, source=RecordSource.SYNC):
    asked_at = deps.boot_now()
    batch = await deps.read_all()
    if isinstance(batch, core.StoreError):
        telemetry.log(
            telemetry.Event.PLATFORM_UNAVAILABLE,
            call='range',
            error=batch.detail,
        )
        return False
    batch = dataclasses.replace(batch, since=core.NO_REVISION, age=0.0)
    receive_records(deps, config, batch, source)
    _mark_ready(config, 'the store')
    _confirm(config, asked_at)
    config.is_resumable = True
    return True


async def _load_from_peers(deps, config):
    # The pages are collected before the merge, since only a whole
    # configuration shows which records of this node were superseded and
    # compacted.
    request_batch = deps.pick_peer()
    fetched, since = core.ConfigState(), core.NO_REVISION
    for _ in range(MAX_PAGES):
        asked_at = deps.boot_now()
        batch = await request_batch(since) if request_batch else None
        if batch is None or config.ready and core.needs_full_fetch(batch.age):
            return False
        fetched, _ = core.merge_batch(fetched, batch)
        since = core.next_since(batch)
        if not batch.more:
            break
    else:
        return False
    records = tuple(fetched.records.values())
    batch = core.ConfigBatch(records, fetched.complete_to, age=batch.age)
    receive_records(deps, config, batch, RecordSource.SYNC)
    _mark_ready(config, 'a peer')
    _confirm(config, asked_at - batch.age)
    return True


def _mark_ready(config, source):
    if not config.ready:
        telemetry.log(
            telemetry.Event.CONFIG_LOADED,
            revision=config.state.complete_to,
            source=source,
        )
    config.ready = True
