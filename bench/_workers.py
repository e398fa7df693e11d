"""Sends the load of a run from several processes.

A single process cannot send a flood of ten times the capacity without
delaying the searches of other ranks, and that delay would count as latency of
the query tier. Each process therefore sends at a bounded rate, and a flood is
sent by processes of its own.
"""

import asyncio
from concurrent import futures
import dataclasses
import json
import multiprocessing
import pathlib
import random

from bench import _check as checks
from bench import _load as load
from fakes import fleet as fleets

MAX_RATE = 200.0  # searches per second and process
REFRESH_INTERVAL = 0.1  # seconds between two reads of the balancer's list


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load that one process sends.

    Attributes:
        run_start: Monotonic time at which the run starts, seconds. The
            monotonic clock is common to all processes of the machine.
        urls_path: File with the URLs of the ready nodes.
    """

    arrivals: list[tuple[float, load.Stream]]
    run_start: float
    seed: int
    urls_path: pathlib.Path
    index: fleets.IndexSpec


def split_arrivals(
    arrivals: list[tuple[float, load.Stream]],
) -> list[list[tuple[float, load.Stream]]]:
    """Splits arrivals so that no process sends a flood above MAX_RATE.

    Streams up to MAX_RATE share the first part; each faster one is divided
    among parts of its own.
    """
    flood_parts, shared_part = [], []
    by_stream = {}
    for due, stream in arrivals:
        by_stream.setdefault(stream, []).append((due, stream))
    for stream, stream_arrivals in by_stream.items():
        if stream.rate <= MAX_RATE:
            shared_part += stream_arrivals
            continue
        count = int(stream.rate // MAX_RATE) + 1
        flood_parts += [
            stream_arrivals[number::count] for number in range(count)
        ]
    return [sorted(shared_part, key=lambda item: item[0]), *flood_parts]


async def run_workers(
    arrivals: list[tuple[float, load.Stream]],
    index: fleets.IndexSpec,
    urls_path: pathlib.Path,
    run_start: float,
    rng: random.Random,
) -> load.LoadResult:
    """Sends all arrivals from worker processes and collects the samples.

    Args:
        arrivals: Arrival times and their streams.
        index: Index to search.
        urls_path: File with the URLs of the ready nodes.
        run_start: Monotonic time at which the run starts, seconds.
        rng: Source of the processes' seeds.

    Returns:
        A sample for each search.
    """
    worker_loads = [
        WorkerLoad(
            stream_arrivals, run_start, rng.getrandbits(32), urls_path, index
        )
        for stream_arrivals in split_arrivals(arrivals)
    ]
    loop = asyncio.get_running_loop()
    # Forked processes would inherit the open sockets of this event loop.
    context = multiprocessing.get_context('spawn')
    with futures.ProcessPoolExecutor(len(worker_loads), context) as pool:
        results = await asyncio.gather(
            *(
                loop.run_in_executor(pool, run_worker, worker_load)
                for worker_load in worker_loads
            )
        )
    return load.LoadResult(
        tuple(sample for result in results for sample in result.samples),
        max(result.worst_lag for result in results),
    )


def run_worker(worker_load: WorkerLoad) -> load.LoadResult:
    """Sends the load of one process; runs in the worker process."""
    return asyncio.run(_run_worker(worker_load))


async def _run_worker(worker_load):
    ready_urls = json.loads(worker_load.urls_path.read_text(encoding='utf-8'))

    async def refresh():
        while True:
            await asyncio.sleep(REFRESH_INTERVAL)
            ready_urls[:] = json.loads(
                worker_load.urls_path.read_text(encoding='utf-8')
            )

    task = asyncio.create_task(refresh())
    try:
        return await load.run_load(
            worker_load.arrivals,
            lambda: ready_urls,
            random.Random(worker_load.seed),
            checks.make_check(worker_load.index),
            worker_load.run_start,
        )
    finally:
        task.cancel()
