"""Keeps a node's configuration up to date.

Four ways lead a record to a node: the watch of the store on two nodes
of its data centre, the push of the node that accepted a change, the
forwarding of what was new, and anti-entropy. All end in the same merge,
so their order does not matter.
"""

from collections import abc
import contextlib
import dataclasses
import enum
import math
import random

from citronweir import core
from citronweir import telemetry

# Peers get this many chances before a starting node reads the store, so
# that the start of many nodes does not load the store.
START_TRIES = 3
START_WAIT = 0.5  # seconds
# A watch goes on from a configuration that was confirmed this lately,
# without reading everything again; stores keep 20 s of history or more.
RESUME_TIME = 10.0  # seconds
WATCH_CHECK = 0.25  # seconds between checks whether this node watches
# Waits are drawn from the whole span below these bounds, so that nodes
# do not reconnect in step after an outage.
BACKOFF_FIRST = 0.5  # seconds
# A store that is back must be read again well within the 3 s for a change.
MAX_BACKOFF = 2.0  # seconds
# Bound on the messages of one transfer; at 200 kB each it is far above
# the configuration that a node can hold.
MAX_PAGES = 1000


class RecordSource(enum.Enum):
    """Where records came from, which decides who hears of them next."""

    STORE = 'store'
    LOCAL_PEER = 'local_peer'
    REMOTE_PEER = 'remote_peer'
    SYNC = 'sync'


# A record from these is new to the whole data centre, so it is forwarded.
# A peer of the data centre has already sent its records to everyone.
FORWARDED = frozenset({RecordSource.STORE, RecordSource.REMOTE_PEER})


def _ignore(item):
    pass


AskPeer = abc.Callable[[core.Revision], abc.Awaitable[core.ConfigBatch | None]]


@dataclasses.dataclass(slots=True)
class Configuration:
    """Configuration of this node and when it was confirmed.

    Attributes:
        ready: Whether a whole configuration was fetched since the start.
        is_resumable: Whether a watch may go on from ``complete_to``.
        confirmed_at: Monotonic second of the last confirmation.
        confirmed_wall: The same on the wall clock, which also counts
            the time for which the VM was suspended.
    """

    state: core.ConfigState = core.ConfigState()
    ready: bool = False
    is_resumable: bool = False
    confirmed_at: float = -math.inf
    confirmed_wall: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigDependencies:
    """What the flows of the configuration need from outside.

    Attributes:
        now: Monotonic clock, seconds.
        wall_now: Wall clock, seconds since the epoch.
        sleep: Waits for some seconds.
        rng: Source of the jitter.
        decode: Reads a record's value; gives what is wrong with it.
        encode: Renders a record's value.
        read_all: Reads the whole configuration from the store.
        read_one: Reads one record from the store, None if absent.
        write: Writes a value if its key has the expected revision.
        watch: Batches after a revision, in the order of the store, each
            with the revision reached; ends after an error.
        pick_peer: Picks a peer at random and gives a call that asks it
            for what is newer than a revision; None without peers. All
            pages of a transfer come from that peer, since another one
            may lack the newer record for which a page left one out.
        push_local: Sends records to every peer of the data centre.
        push_remote: Sends records to two nodes of each other one.
        is_watcher: Whether this node watches for its data centre.
        announce: Sends a batch of the watch to every peer; it tells them
            as well that the configuration was confirmed.
        on_change: Takes the records that were new, after each merge that
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
    announce: abc.Callable[[core.ConfigBatch], None] = _ignore
    on_change: abc.Callable[[tuple[core.ConfigRecord, ...]], None] = _ignore


def config_age(peers: ConfigDependencies, config: Configuration) -> float:
    """Gives the seconds since some node confirmed the configuration."""
    return max(
        peers.now() - config.confirmed_at,
        peers.wall_now() - config.confirmed_wall,
        0.0,
    )


def receive_records(
    peers: ConfigDependencies,
    config: Configuration,
    batch: core.ConfigBatch,
    source: RecordSource,
) -> tuple[core.ConfigRecord, ...]:
    """Merges records into the configuration and forwards the new ones.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.
        batch: Records; change ids and bodies are read here.
        source: Where they came from.

    Returns:
        The records that were new.
    """
    records = tuple(
        _decode(peers, record) if core.is_new(config.state, record) else record
        for record in batch.records
    )
    before = config.state.records
    config.state, fresh = core.merge_batch(
        config.state, dataclasses.replace(batch, records=records)
    )
    if config.state.records is not before:
        peers.on_change(fresh)
    if source in FORWARDED:
        for pushed in core.split_batches(fresh):
            peers.push_local(pushed)
    return fresh


def receive_announced(
    peers: ConfigDependencies, config: Configuration, batch: core.ConfigBatch
) -> None:
    """Merges a batch that a watcher announced.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.
        batch: Batch of the watch; its age is that of the confirmation.
    """
    receive_records(peers, config, batch, RecordSource.LOCAL_PEER)
    if config.ready and 0 < batch.complete_to <= config.state.complete_to:
        _confirm(config, peers.now() - batch.age, peers.wall_now() - batch.age)


def answer_sync(
    peers: ConfigDependencies, config: Configuration, since: core.Revision
) -> core.ConfigBatch | None:
    """Answers a peer that asks for what is newer than a revision.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.
        since: Revision up to which the peer is complete.

    Returns:
        The batch, or None while this node has no whole configuration.
    """
    if not config.ready:
        return None
    return core.collect_newer_records(
        config.state, since, config_age(peers, config)
    )


async def load_config(
    peers: ConfigDependencies, config: Configuration
) -> None:
    """Fetches the configuration of a starting node.

    Peers are asked first; the store is read only if none answers.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node, ready on return.
    """
    failures = 0
    while True:
        for _ in range(START_TRIES):
            if peers.pick_peer() is None:
                break
            if await _load_from_peers(peers, config):
                return
            await peers.sleep(peers.rng.uniform(0, START_WAIT))
        if await _load_from_store(peers, config):
            return
        failures += 1
        await peers.sleep(draw_backoff(peers.rng, failures))


async def sync_config(
    peers: ConfigDependencies, config: Configuration
) -> None:
    """Does one round of anti-entropy with one peer.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.
    """
    age = config_age(peers, config)
    if config.ready and core.needs_full_fetch(age):
        telemetry.log(telemetry.Event.CONFIG_STALE, age=age)
        if not await _load_from_peers(peers, config):
            await _load_from_store(peers, config)
        return
    ask = peers.pick_peer()
    since = config.state.complete_to
    for _ in range(MAX_PAGES):
        asked_at, asked_wall = peers.now(), peers.wall_now()
        batch = await ask(since) if ask else None
        if batch is None:
            return
        receive_records(peers, config, batch, RecordSource.SYNC)
        since = core.next_since(batch)
        if not batch.more:
            _confirm(config, asked_at - batch.age, asked_wall - batch.age)
            return


async def run_watch(peers: ConfigDependencies, config: Configuration) -> None:
    """Watches the store while this node is a watcher of its data centre.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.
    """
    failures = 0
    while True:
        if not config.ready or not peers.is_watcher():
            await peers.sleep(WATCH_CHECK * peers.rng.uniform(0.5, 1.5))
            continue
        try:
            has_heard = await watch_once(peers, config)
        except Exception as exc:  # a node must not stop following changes
            has_heard = config.is_resumable = False
            telemetry.log(
                telemetry.Event.INTERNAL_ERROR, task='watch', error=repr(exc)
            )
        failures = 0 if has_heard else failures + 1
        if not config.is_resumable:
            await peers.sleep(draw_backoff(peers.rng, failures))


async def watch_once(peers: ConfigDependencies, config: Configuration) -> bool:
    """Reads the store, if need be, and watches it until the watch ends.

    Args:
        peers: What the flow needs from outside.
        config: Configuration of this node.

    Returns:
        Whether the watch delivered anything.
    """
    is_fresh = config_age(peers, config) < RESUME_TIME
    if not (config.is_resumable and is_fresh):
        if not await _load_from_store(peers, config, RecordSource.STORE):
            return False
    position = config.state.complete_to
    telemetry.log(telemetry.Event.WATCH_STARTED, revision=position)
    heard = False
    async with contextlib.aclosing(peers.watch(position)) as batches:
        async for batch in batches:
            if isinstance(batch, core.StoreError):
                telemetry.log(telemetry.Event.WATCH_LOST, error=batch.detail)
                config.is_resumable = False
                return heard
            heard = True
            batch = dataclasses.replace(batch, since=position)
            position = max(position, batch.complete_to)
            receive_records(peers, config, batch, RecordSource.STORE)
            # A watch that does not tell is taken to deliver at once.
            age = batch.age if math.isfinite(batch.age) else 0.0
            _confirm(config, peers.now() - age, peers.wall_now() - age)
            peers.announce(dataclasses.replace(batch, age=age))
            if not peers.is_watcher():
                break
    return heard


async def compact_config(
    peers: ConfigDependencies, config: Configuration
) -> None:
    """Drops contracts that expired long ago; once an hour is enough."""
    config.state = core.compact(config.state, peers.wall_now())


def draw_backoff(rng: random.Random, failures: int) -> float:
    """Draws the seconds to wait after some failures in a row."""
    bound = BACKOFF_FIRST * 2.0 ** min(failures, 10)
    return rng.uniform(0, min(MAX_BACKOFF, bound))


def _confirm(config, at, wall):
    config.confirmed_at = max(config.confirmed_at, at)
    config.confirmed_wall = max(config.confirmed_wall, wall)


def _decode(peers, record):
    whole, errors = peers.decode(record)
    for error in errors:
        telemetry.log(
            telemetry.Event.CONFIG_MALFORMED, key=record.key, error=error
        )
    return whole


async def _load_from_store(peers, config, source=RecordSource.SYNC):
    asked_at, asked_wall = peers.now(), peers.wall_now()
    batch = await peers.read_all()
    if isinstance(batch, core.StoreError):
        telemetry.log(
            telemetry.Event.PLATFORM_UNAVAILABLE,
            call='range',
            error=batch.detail,
        )
        return False
    batch = dataclasses.replace(batch, since=core.NO_REVISION, age=0.0)
    receive_records(peers, config, batch, source)
    _set_ready(config, 'the store')
    _confirm(config, asked_at, asked_wall)
    config.is_resumable = True
    return True


async def _load_from_peers(peers, config):
    # The pages are gathered apart, since only a whole configuration
    # shows which records of this node were superseded and compacted.
    ask = peers.pick_peer()
    whole, since = core.ConfigState(), core.NO_REVISION
    for _ in range(MAX_PAGES):
        asked_at, asked_wall = peers.now(), peers.wall_now()
        batch = await ask(since) if ask else None
        if batch is None or config.ready and core.needs_full_fetch(batch.age):
            return False
        whole, _ = core.merge_batch(whole, batch)
        since = core.next_since(batch)
        if not batch.more:
            break
    else:
        return False
    records = tuple(whole.records.values())
    batch = core.ConfigBatch(records, whole.complete_to, age=batch.age)
    receive_records(peers, config, batch, RecordSource.SYNC)
    _set_ready(config, 'a peer')
    _confirm(config, asked_at - batch.age, asked_wall - batch.age)
    return True


def _set_ready(config, source):
    if not config.ready:
        telemetry.log(
            telemetry.Event.CONFIG_LOADED,
            revision=config.state.complete_to,
            source=source,
        )
    config.ready = True
