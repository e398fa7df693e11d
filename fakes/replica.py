"""State of a replica that a fake upstream simulates."""

import asyncio
import collections
from collections import abc
import dataclasses
import os
import random
import time

from fakes import _index as index_data

CRASH_STATUS = 70  # exit status of the process
MAX_TRACES = 1000  # number of recorded traceparent headers


@dataclasses.dataclass(slots=True)
class Faults:
    """Behaviour that is set through the control route.

    Attributes:
        slow: Factor on the service time.
        conn_ms: Delay of the first request on a connection in
            milliseconds.
        queue: Number of requests that may wait for a slot; further ones
            are shed.
        max_conns: Limit of open connections; new ones beyond it are
            closed.
        state: State of the replica once it is warm.
        claimed_state: State reported instead of the true one, if set.
        claimed_load: Load reported instead of the true one, if not
            negative.
        lag_s: Age of the reported status in seconds.
        truncate: Share of the documents that a search reads.
        cold_slow: Factor on the service time of searches while warming.
        cold_empty: Whether searches read no documents while warming.
        poison: Word in a query or an order that crashes the replica.
        fail: Share of searches that return status 500.
        status_fail: Whether the status route returns status 500.
        wrong_id: Whether replies contain a wrong request id.
        down_s: Seconds from a crash to the restart of a replica that
            shares its process with others.
        echo: Whether the query is appended to the text of each hit.
        late_share: Share of requests whose reply is delayed.
        late_ms: Delay of such a reply, after the request has run.
        cross: Whether the replies of two concurrent requests are swapped.
        hold: Whether requests that have a slot wait until it is cleared.
    """

    slow: float = 1.0
    conn_ms: float = 0.0
    queue: int = 1000
    max_conns: int = 25
    state: str = 'ready'
    claimed_state: str = ''
    claimed_load: float = -1.0
    lag_s: float = 0.0
    truncate: float = 1.0
    cold_slow: float = 1.0
    cold_empty: bool = True
    poison: str = ''
    fail: float = 0.0
    status_fail: bool = False
    wrong_id: bool = False
    down_s: float = 2.0
    echo: bool = False
    late_share: float = 0.0
    late_ms: float = 0.0
    cross: bool = False
    hold: bool = False


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters of requests and connections.

    Attributes:
        begun: Requests that got a slot.
        shed: Requests rejected because the queue was full.
        refused: Requests rejected while draining.
        late: Replies that were delayed.
        crossed: Pairs of requests whose replies were swapped.
        expired: Requests whose deadline passed in the queue.
    """

    begun: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    refused: int = 0
    late: int = 0
    crossed: int = 0
    expired: int = 0
    conns_accepted: int = 0
    conns_open: int = 0
    conns_peak: int = 0
    conns_refused: int = 0
    running_peak: int = 0


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of the simulated replica.

    Attributes:
        service_time: Service time in seconds; the mean for searches.
        epoch: Start time in milliseconds, which identifies the process.
        crash: Simulates a crash; ends the process unless replaced.
        reopen: Listens again after a simulated crash.
        orders: Ids of the executed orders.
        warming_end: Monotonic time in seconds at which warming ends.
        status_history: Monotonic time and content of past statuses.
        pending_swaps: Replies that wait to be swapped with another one.
        conns: Protocols of the open connections.
        silent: Connections on which requests get no reply.
        traceparents: ``traceparent`` headers of the latest requests.
    """

    replica: str
    index: str
    slot_count: int
    service_time: float
    epoch: int
    shards: index_data.ShardMap
    rng: random.Random
    crash: abc.Callable[[], None]
    slots: asyncio.Semaphore
    reopen: abc.Callable[[], abc.Awaitable[None]] | None = None
    faults: Faults = dataclasses.field(default_factory=Faults)
    counters: Counters = dataclasses.field(default_factory=Counters)
    orders: list[str] = dataclasses.field(default_factory=list)
    running: int = 0
    waiting: int = 0
    warming_end: float = 0.0
    status_history: list[tuple[float, dict]] = dataclasses.field(
        default_factory=list
    )
    pending_swaps: list[tuple[asyncio.Future, object]] = dataclasses.field(
        default_factory=list
    )
    conns: set = dataclasses.field(default_factory=set)
    silent: set = dataclasses.field(default_factory=set)
    traceparents: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_TRACES)
    )


def make_upstream(
    replica: str,
    index: str,
    shard: int,
    shards: int,
    slots: int,
    service_ms: float,
    docs: int,
) -> Upstream:
    """Builds the state of a replica that holds one shard of snapshot 1."""
    lo = index_data.KEY_SPACE_END * shard // shards
    hi = index_data.KEY_SPACE_END * (shard + 1) // shards
    texts = index_data.sample_documents(index, 1, docs)
    return Upstream(
        replica,
        index,
        slots,
        service_ms / 1000,
        time.time_ns() // 1_000_000,
        {(1, lo, hi): index_data.build_shard(texts, lo, hi)},
        random.Random(replica),
        lambda: os._exit(CRASH_STATUS),
        asyncio.Semaphore(slots),
    )


def apply_control(upstream: Upstream, fields: dict) -> None:
    """Executes the commands of one control call.

    Args:
        upstream: State of the replica.
        fields: Arguments of each command by its name: ``set`` (faults by
            name), ``warm_s`` (seconds of warming), ``silence`` (a flag:
            open connections get no more replies), ``publish`` (snapshot,
            number of documents), ``retire`` (snapshot), ``split`` and
            ``merge`` (snapshot, lo, hi), ``crash`` (a flag).

    Raises:
        KeyError: ``set`` names an unknown fault.
    """
    for name, value in fields.get('set', {}).items():
        if name not in Faults.__slots__:
            raise KeyError(name)
        setattr(
            upstream.faults, name, type(getattr(upstream.faults, name))(value)
        )
    if 'warm_s' in fields:
        upstream.warming_end = time.monotonic() + float(fields['warm_s'])
    if fields.get('silence'):
        upstream.silent.update(upstream.conns)
    if 'publish' in fields:
        index_data.publish(upstream.shards, upstream.index, *fields['publish'])
    if 'retire' in fields:
        index_data.retire(upstream.shards, fields['retire'])
    if 'split' in fields:
        index_data.split(upstream.shards, *fields['split'])
    if 'merge' in fields:
        index_data.merge(upstream.shards, *fields['merge'])
    if fields.get('crash'):
        upstream.crash()


def read_status(upstream: Upstream) -> dict:
    """Returns the reported status, subject to the faults."""
    now = time.monotonic()
    upstream.status_history.append((now, _status(upstream)))
    latest = now - upstream.faults.lag_s
    old = [item for item in upstream.status_history if item[0] <= latest]
    # The newest status that is at least lag_s old, otherwise the oldest.
    selected = old[-1] if old else upstream.status_history[0]
    upstream.status_history = [
        item for item in upstream.status_history if item[0] >= selected[0]
    ]
    return selected[1]


def _status(upstream):
    warming = time.monotonic() < upstream.warming_end
    state = 'warming' if warming else upstream.faults.state
    load = (upstream.running + upstream.waiting) / upstream.slot_count
    is_load_overridden = upstream.faults.claimed_load >= 0
    return {
        'replica': upstream.replica,
        'epoch': upstream.epoch,
        'state': upstream.faults.claimed_state or state,
        'slots': upstream.slot_count,
        'max_conns': upstream.faults.max_conns,
        'load': upstream.faults.claimed_load if is_load_overridden else load,
        'holdings': [
            {
                'index': upstream.index,
                'snapshot': snapshot,
                'lo': lo,
                'hi': hi,
                'docs': len(shard.docs),
                'total_docs': shard.total_docs,
            }
            for (snapshot, lo, hi), shard in upstream.shards.items()
        ],
    }
