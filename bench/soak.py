"""Runs front nodes under random faults and checks what callers see.

The nodes are processes; their platform, replicas and the proxies between
run here. A seed decides which faults come when, but not how processes
interleave, so a seed that failed may need several runs to fail again.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import re
import sys
import tempfile
import time

import aiohttp
import cyclopts

from bench import _soak_checks as checks
from bench import _soak_faults as faults
from fakes import front_fleet as fleets

NODES = ('n1', 'n2', 'n3')
CALLERS = 6
PAUSE = 0.03  # seconds between two requests of a caller
CALLER_TIME = 4.0  # seconds; requests have 1 s
SAMPLE_INTERVAL = 0.3  # seconds
# After the last fault all nodes serve again within this time.
RECOVERY_TIME = 15.0  # seconds
STEADY_REQUESTS = 60  # requests that must all be served then
# Path of a request that ends each replica which begins to run it.
POISON = 'poison'
POISON_PAUSE = 0.2  # seconds between two repeats
CRASHING_COPIES = 'abcd'  # replicas of each service while they end
PATHS = {
    checks.Kind.GATHER: ('GET', '/a/x'),
    checks.Kind.PLAIN: ('GET', '/p/x'),
    checks.Kind.ORDER: ('POST', '/order/x'),
}
_VERSION = re.compile(r'^citronweir_configuration_version (\S+)', re.M)

app = cyclopts.App(help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a soak found.

    Attributes:
        errors: Promises that were broken.
        outcomes: Replies by status, or by the error without one.
        spans: Disturbances of nodes and of the store.
    """

    errors: list[str]
    outcomes: collections.Counter
    spans: int


async def run_seed(
    seed: int, seconds: float, folder: pathlib.Path, crashes: bool = False
) -> Result:
    """Runs one soak.

    Args:
        seed: Decides the faults.
        seconds: For which faults are injected.
        folder: Where settings and logs go.
        crashes: Whether replicas end, by themselves and under a request
            that its caller repeats. No proxy stands before them then.
    """
    rng = random.Random(seed)
    routes = faults.make_routes(3)
    copies = CRASHING_COPIES if crashes else 'ab'
    async with fleets.run(
        folder, NODES, routes, faults.GRACE, copies, crashes
    ) as fleet:
        world = faults.World(fleet, rng, is_crashing=crashes)
        replies, samples = [], []
        callers = [
            asyncio.create_task(_call(world, number, replies))
            for number in range(CALLERS)
        ]
        if crashes:
            callers.append(asyncio.create_task(_repeat_poison(world)))
        sampler = asyncio.create_task(_sample(fleet, samples))
        await faults.run_faults(world, seconds)
        errors = await _check_recovery(world)
        for task in (*callers, sampler):
            task.cancel()
        await asyncio.gather(*callers, sampler, return_exceptions=True)
        errors += [*world.errors, *_check(world, replies, samples)]
        outcomes = collections.Counter(
            str(reply.status or reply.error) for reply in replies
        )
        return Result(errors, outcomes, len(world.spans))


def _check(world, replies, samples):
    states = {
        name: replica.state for name, replica in world.fleet.replicas.items()
    }
    by_service = {}
    for replica in world.fleet.replicas.values():
        by_service.setdefault(replica.service, []).append(replica.state)
    records = {name: state.records for name, state in states.items()}
    services = {
        name: replica.service for name, replica in world.fleet.replicas.items()
    }
    return [
        *checks.check_runs(replies, states.values()),
        *checks.check_answers(replies, records, services),
        *checks.check_lost(replies, states.values(), world.spans),
        *checks.check_versions(samples),
        *checks.check_drains(world.drains, states, world.spans),
        *checks.check_extra(by_service),
        *checks.check_crashes(states.values(), world.spans, NODES),
    ]


async def _call(world, number, replies):
    """Sends requests one after another on connections of its own."""
    rng = random.Random(f'{number}')
    timeout = aiohttp.ClientTimeout(total=CALLER_TIME)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for count in range(1_000_000):
            await asyncio.sleep(PAUSE)
            kind = rng.choice(list(checks.Kind))
            name = rng.choice(NODES)
            request_id = f'c{number}-{count}'
            replies.append(
                await _ask(world.fleet, session, kind, name, request_id)
            )


async def _repeat_poison(world):
    """Sends a request again and again that ends what runs it."""
    rng = random.Random(world.rng.random())
    method, path = rng.choice(list(PATHS.values()))
    path = path.replace('/x', f'/{POISON}')
    for replica in world.fleet.replicas.values():
        replica.state.poison = POISON
    for count in range(1_000_000):
        await asyncio.sleep(POISON_PAUSE)
        name = rng.choice(NODES)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await fleets.send_request(
                world.fleet, name, path, f'{name}/{count}', method=method
            )


async def _ask(fleet, session, kind, name, request_id):
    method, path = PATHS[kind]
    sent_at = time.monotonic()
    try:
        status, headers, body = await fleets.send_request(
            fleet, name, path, request_id, session, method=method
        )
        seen = {'status': status, 'headers': headers, 'body': body}
    except (aiohttp.ClientError, TimeoutError) as exc:
        seen = {'error': type(exc).__name__}
    return checks.Reply(
        kind, request_id, name, sent_at, time.monotonic(), **seen
    )


async def _sample(fleet, samples):
    """Reads the version that each process has in force."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    while True:
        for name, node in fleet.nodes.items():
            pid = node.proc.pid
            try:
                async with fleet.session.get(
                    f'http://{node.host}:9464/metrics', timeout=timeout
                ) as resp:
                    found = _VERSION.search(await resp.text())
            except (aiohttp.ClientError, TimeoutError):
                continue
            if found and pid == node.proc.pid:
                samples.append((name, pid, int(float(found[1]))))
        await asyncio.sleep(SAMPLE_INTERVAL)


async def _check_recovery(world):
    """Checks that all nodes serve the newest version, and nothing older."""
    fleet, path = world.fleet, f'/v{world.version}/'
    errors = []
    for name in fleet.nodes:

        async def serves(name=name):
            try:
                return (await fleets.send_request(fleet, name, path))[0] == 200
            except aiohttp.ClientError:
                return False

        try:
            await fleets.wait_for(serves, RECOVERY_TIME)
        except TimeoutError:
            errors.append(f'{name} does not serve version {world.version}')
            continue
        if (
            world.version > 3
            and (await fleets.send_request(fleet, name, '/v3/'))[0] != 404
        ):
            errors.append(f'{name} serves the first version still')
    return errors or await _check_steady(fleet)


async def _check_steady(fleet):
    # Replicas that failed are tried again within a second or two.
    await asyncio.sleep(checks.APPLY_TIME)
    errors = []
    for number in range(STEADY_REQUESTS):
        name = NODES[number % len(NODES)]
        kind = list(checks.Kind)[number % len(checks.Kind)]
        reply = await _ask(fleet, fleet.session, kind, name, f'end-{number}')
        if reply.status != 200:
            seen = reply.status or reply.error
            errors.append(f'{kind.value} at {name} after the faults: {seen}')
    return errors


@app.default
def main(
    first: int = 1,
    count: int = 1,
    seconds: float = 15.0,
    crashes: bool = False,
) -> None:
    """Runs some seeds, one after another.

    Args:
        first: First seed.
        count: Number of seeds.
        seconds: For which faults are injected in each.
        crashes: Whether replicas end as well.
    """
    failed = 0
    for seed in range(first, first + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        result = asyncio.run(run_seed(seed, seconds, folder, crashes))
        failed += bool(result.errors)
        print(
            f'seed {seed}: {len(result.errors)} errors,'
            f' {result.spans} disturbances, replies'
            f' {dict(result.outcomes)}; logs in {folder}'
        )
        for error in result.errors:
            print(f'  {error}')
        sys.stdout.flush()
    sys.exit(bool(failed))


if __name__ == '__main__':
    app()
