"""Sends open-loop load to nodes and records the outcomes.

Arrivals follow a Poisson process that does not depend on the replies, and
latency counts from the scheduled arrival. A stalled system therefore does not
look like an idle one (coordinated omission).
"""

import asyncio
from collections import abc
import dataclasses
import random
import time

import aiohttp
import uuid6

from citronweir import callers
from citronweir import core

CLIENT_TIMEOUT = 15.0  # seconds


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Load of one rank.

    Attributes:
        rate: Searches per second.
        target: Latency target in seconds.
        query: Query text, or empty for random queries.
        start: Second of the run at which the load starts.
        end: Second of the run at which it ends, exclusive.
    """

    rank: core.Rank
    rate: float
    target: float
    index: str
    query: str = ''
    start: float = 0.0
    end: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one search.

    Attributes:
        due: Scheduled arrival, seconds from the start of the run.
        latency: Seconds from the scheduled arrival to the reply.
        outcome: Outcome in the reply, ``no_reply`` if there is none.
        is_valid: Whether the reply passed the check of its coverage and
            hits.
        is_poison: Whether the search crashes upstreams.
    """

    rank: core.Rank
    due: float
    latency: float
    outcome: str
    coverage: float
    snapshot: int
    is_valid: bool = True
    is_poison: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Samples of a run and the lag of the load generator.

    Attributes:
        worst_lag: Longest delay between a scheduled arrival and its send,
            seconds. A run with a large lag is void.
    """

    samples: tuple[Sample, ...]
    worst_lag: float


# Query word that crashes an upstream once the fault is armed.
POISON = 'poison'
_WORDS = ('valve', 'bearing', 'parts', 'pump', 'worn', 'leaking', 'gasket')


def draw_arrivals(
    streams: abc.Iterable[Stream], duration: float, rng: random.Random
) -> list[tuple[float, Stream]]:
    """Draws the arrivals of a run.

    Args:
        streams: Load by rank.
        duration: Length of the run in seconds.
        rng: Source of the arrivals.

    Returns:
        Arrival times in seconds from the start, ascending, with their
        streams.
    """
    arrivals = []
    for stream in streams:
        due = stream.start
        while stream.rate > 0:
            due += rng.expovariate(stream.rate)
            if due >= min(duration, stream.end):
                break
            arrivals.append((due, stream))
    return sorted(arrivals, key=lambda item: item[0])


async def run_load(
    arrivals: list[tuple[float, Stream]],
    urls: abc.Callable[[], abc.Sequence[str]],
    rng: random.Random,
    check: abc.Callable[[dict], bool],
    run_start: float,
) -> LoadResult:
    """Sends searches at their scheduled times and awaits all replies.

    Args:
        arrivals: Arrival times and their streams.
        urls: Returns the base URLs that a balancer would choose from now.
        rng: Source of queries and of the balancer's choice.
        check: Returns whether a reply is valid.
        run_start: Monotonic time at which the run starts, seconds.

    Returns:
        A sample for each search.
    """
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT)
    worst_lag = 0.0
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        tasks = []
        for due, stream in arrivals:
            delay = run_start + due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            worst_lag = max(worst_lag, time.monotonic() - run_start - due)
            url = rng.choice(urls())
            fields = _make_search_fields(stream, rng)
            tasks.append(
                asyncio.create_task(
                    _send(session, url, fields, stream, run_start, due, check)
                )
            )
        samples = await asyncio.gather(*tasks)
    return LoadResult(tuple(samples), worst_lag)


def _make_search_fields(stream, rng):
    return {
        'contract': f'bench-{stream.rank.value}',
        'request_id': str(uuid6.uuid7()),
        'index': stream.index,
        'query': stream.query or ' '.join(rng.choices(_WORDS, k=2)),
    }


async def _send(session, url, fields, stream, run_start, due, check):
    reply = await callers.post_search(session, url, fields)
    latency = time.monotonic() - run_start - due
    if isinstance(reply, callers.CallerError):
        return Sample(stream.rank, due, latency, 'no_reply', 0.0, 0)
    return Sample(
        stream.rank,
        due,
        latency,
        reply.get('outcome', 'no_reply'),
        reply.get('coverage', 0.0),
        reply.get('snapshot', 0),
        check(reply),
        bool(stream.query),
    )
