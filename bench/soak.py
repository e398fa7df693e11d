"""Soak test: runs front nodes under random faults and checks guarantees.

The nodes are child processes. The platform stand-ins, the replicas and the
proxies between them run in this process. The seed decides the sequence of
faults but not how processes are scheduled, so a failing seed may need several
runs to fail again.
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
REQUEST_INTERVAL = 0.03  # seconds between two requests of a caller
CALLER_TIMEOUT = 4.0  # seconds; the deadline of a request is 1 s
SAMPLE_INTERVAL = 0.3  # seconds
# Time after the last fault within which all nodes must serve again.
RECOVERY_TIMEOUT = 15.0  # seconds
STEADY_REQUESTS = 60  # requests after recovery, all of which must be served
# Path of a request that crashes each replica that starts to execute it.
POISON = 'poison'
POISON_INTERVAL = 0.2  # seconds between two repetitions
CRASH_REPLICA_SUFFIXES = 'abcd'  # more replicas, since some are down
PATHS = {
    checks.Kind.GATHER: ('GET', '/a/x'),
    checks.Kind.PLAIN: ('GET', '/p/x'),
    checks.Kind.ORDER: ('POST', '/order/x'),
}
LASTING_KEY_SHARE = 0.7  # of the requests
STRICT_BOUNDS = (
    f'strict_revoke = true\nrevoke_ms = {checks.REVOKE_TIME * 1000:.0f}'
)
_VERSION = re.compile(r'^citronweir_configuration_version (\S+)', re.M)

app = cyclopts.App(help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of a soak run.

    Attributes:
        errors: Descriptions of the guarantees that were violated.
        outcomes: Number of requests by status, or by error without a reply.
        disturbances: Number of disturbances of nodes and of the store.
    """

    errors: list[str]
    outcomes: collections.Counter
    disturbances: int


async def run_seed(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    crashes: bool = False,
    notices: bool = False,
    tenants: bool = False,
) -> SoakResult:
    """Runs the soak test with one seed.

    Args:
        seed: Seed of the faults.
        seconds: Time for which faults are injected.
        folder: Directory for settings and logs.
        crashes: Whether replicas also crash, both at random times and from
            a request that its caller repeats. Nodes then connect to the
            replicas directly, without proxies.
        notices: Whether replicas also leave or ask for a pause.
        tenants: Whether requests carry API keys, some of which are withdrawn.
    """
    rng = random.Random(seed)
    routes = faults.make_routes(3)
    replica_suffixes = CRASH_REPLICA_SUFFIXES if crashes else 'ab'
    async with fleets.run(
        folder,
        NODES,
        routes,
        faults.GRACE_PERIOD,
        replica_suffixes,
        crashes,
        STRICT_BOUNDS if tenants else '',
    ) as fleet:
        soak_run = faults.SoakRun(
            fleet, rng, is_crashing=crashes, has_notices=notices
        )
        if tenants:
            await _add_tenant(soak_run)
        replies, samples = [], []
        callers = [
            asyncio.create_task(_run_caller(soak_run, number, replies))
            for number in range(CALLERS)
        ]
        if crashes:
            callers.append(
                asyncio.create_task(_repeat_poison_request(soak_run))
            )
        sampler = asyncio.create_task(_sample_versions(fleet, samples))
        await faults.run_faults(soak_run, seconds)
        errors = await _check_recovery(soak_run)
        for task in (*callers, sampler):
            task.cancel()
        await asyncio.gather(*callers, sampler, return_exceptions=True)
        errors += [*soak_run.errors, *_run_checks(soak_run, replies, samples)]
        outcomes = collections.Counter(
            str(reply.status or reply.error) for reply in replies
        )
        return SoakResult(errors, outcomes, len(soak_run.disturbances))


async def _add_tenant(soak_run):
    soak_run.keys += ['key0', 'key1']
    soak_run.version += 1
    faults.put_config(soak_run)
    await asyncio.sleep(checks.APPLY_TIME)
    for replica in soak_run.fleet.replicas.values():
        replica.state.seen.clear()
        replica.state.seen_at.clear()


def _run_checks(soak_run, replies, samples):
    states = {
        name: replica.state
        for name, replica in soak_run.fleet.replicas.items()
    }
    by_service = {}
    for replica in soak_run.fleet.replicas.values():
        by_service.setdefault(replica.service, []).append(replica.state)
    records = {name: state.records for name, state in states.items()}
    services = {
        name: replica.service
        for name, replica in soak_run.fleet.replicas.items()
    }
    identity_errors = []
    if soak_run.keys:
        identity_errors = checks.check_identities(
            replies, states.values(), soak_run.withdrawn
        )
    return [
        *identity_errors,
        *checks.check_order_runs(replies, states.values()),
        *checks.check_replies(replies, records, services),
        *checks.check_lost_replies(
            replies, states.values(), soak_run.disturbances
        ),
        *checks.check_versions(samples),
        *checks.check_drains(soak_run.drains, states, soak_run.disturbances),
        *checks.check_drains(
            soak_run.departures,
            states,
            [*soak_run.disturbances, *soak_run.link_faults],
        ),
        *checks.check_pauses(replies, states.values(), soak_run.disturbances),
        *checks.check_extra_arrivals(by_service),
        *checks.check_crashes(states.values(), soak_run.disturbances, NODES),
    ]


async def _run_caller(soak_run, number, replies):
    """Sends requests one after another over the caller's own connections."""
    rng = random.Random(f'{number}')
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for count in range(1_000_000):
            await asyncio.sleep(REQUEST_INTERVAL)
            kind = rng.choice(list(checks.Kind))
            name = rng.choice(NODES)
            key = _choose_key(soak_run, rng)
            request_id = f'c{number}-{count}/{key}'
            replies.append(
                await _send_request(
                    soak_run.fleet, session, kind, name, request_id, key
                )
            )


def _choose_key(soak_run, rng):
    """Chooses the lasting key, or one of the latest, maybe a withdrawn one."""
    if not soak_run.keys or rng.random() < LASTING_KEY_SHARE:
        return soak_run.keys[0] if soak_run.keys else ''
    return rng.choice(soak_run.keys[-3:])


async def _repeat_poison_request(soak_run):
    """Repeats a request that crashes the replica that executes it."""
    rng = random.Random(soak_run.rng.random())
    method, path = rng.choice(list(PATHS.values()))
    path = path.replace('/x', f'/{POISON}')
    for replica in soak_run.fleet.replicas.values():
        replica.state.poison = POISON
    for count in range(1_000_000):
        await asyncio.sleep(POISON_INTERVAL)
        name = rng.choice(NODES)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await fleets.send_request(
                soak_run.fleet, name, path, f'{name}/{count}', method=method
            )


async def _send_request(fleet, session, kind, name, request_id, key=''):
    method, path = PATHS[kind]
    headers = {'Authorization': f'Bearer {key}'} if key else None
    sent_at = time.monotonic()
    try:
        status, headers, body = await fleets.send_request(
            fleet,
            name,
            path,
            request_id,
            session,
            headers=headers,
            method=method,
        )
        outcome = {'status': status, 'headers': headers, 'body': body}
    except (aiohttp.ClientError, TimeoutError) as exc:
        outcome = {'error': type(exc).__name__}
    return checks.Reply(
        kind, request_id, name, sent_at, time.monotonic(), **outcome
    )


async def _sample_versions(fleet, samples):
    """Polls the configuration version that each process has in force."""
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


async def _check_recovery(soak_run):
    """Checks that all nodes serve the newest configuration and no older."""
    fleet, path = soak_run.fleet, f'/v{soak_run.version}/'
    errors = []
    for name in fleet.nodes:

        async def serves_newest(name=name):
            try:
                return (await fleets.send_request(fleet, name, path))[0] == 200
            except aiohttp.ClientError:
                return False

        try:
            await fleets.wait_for(serves_newest, RECOVERY_TIMEOUT)
        except TimeoutError:
            errors.append(f'{name} does not serve version {soak_run.version}')
            continue
        if (
            soak_run.version > 3
            and (await fleets.send_request(fleet, name, '/v3/'))[0] != 404
        ):
            errors.append(f'{name} still serves version 3')
    return errors or await _check_steady_service(soak_run)


async def _check_steady_service(soak_run):
    fleet, key = soak_run.fleet, (soak_run.keys or [''])[0]
    # Nodes retry replicas that failed within one to two seconds.
    await asyncio.sleep(checks.APPLY_TIME)
    errors = []
    for number in range(STEADY_REQUESTS):
        name = NODES[number % len(NODES)]
        kind = list(checks.Kind)[number % len(checks.Kind)]
        reply = await _send_request(
            fleet, fleet.session, kind, name, f'end-{number}', key
        )
        if reply.status != 200:
            outcome = reply.status or reply.error
            errors.append(
                f'{kind.value} at {name} after the faults: {outcome}'
            )
    return errors


@app.default
def main(
    first: int = 1,
    count: int = 1,
    seconds: float = 15.0,
    crashes: bool = False,
    notices: bool = False,
    tenants: bool = False,
) -> None:
    """Runs consecutive seeds one after another.

    Args:
        first: First seed.
        count: Number of seeds.
        seconds: Time for which faults are injected with each seed.
        crashes: Whether replicas also crash.
        notices: Whether replicas also leave or ask for a pause.
        tenants: Whether requests carry API keys, some of which are withdrawn.
    """
    failed = 0
    for seed in range(first, first + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        result = asyncio.run(
            run_seed(seed, seconds, folder, crashes, notices, tenants)
        )
        failed += bool(result.errors)
        print(
            f'seed {seed}: {len(result.errors)} errors,'
            f' {result.disturbances} disturbances, replies'
            f' {dict(result.outcomes)}; logs in {folder}'
        )
        for error in result.errors:
            print(f'  {error}')
        sys.stdout.flush()
    sys.exit(bool(failed))


if __name__ == '__main__':
    app()
