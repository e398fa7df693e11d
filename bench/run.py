"""Measures a scenario and compares it with a baseline and a lower bound.

The fleet is scaled to one machine: service times are several times longer
than in production and 8 nodes serve one data centre, so that the capacity of
the upstreams is the limit and not the processors. Rates are given as shares
of that capacity.
"""

import asyncio
import dataclasses
import json
import pathlib
import random
import signal
import tempfile

import cyclopts

from bench import _bound as bounds
from bench import _fleet as bench_fleet
from bench import _phases as phases
from bench import _report as report
from bench import _scenarios as scenarios
from citronweir import core
from fakes import fleet as fleets

PROGRAMS = {'node': bench_fleet.NODE, 'baseline': bench_fleet.BASELINE}
MAX_START_TRIES = 3
# If the load generator falls further behind, the results reflect the machine
# instead of the query tier.
MAX_LAG = 0.1  # seconds

app = cyclopts.App(name='bench', help=__doc__)


@app.default
def main(
    scenario: str = '',
    *,
    seed: int = 1,
    baseline: bool = False,
    deployment: str = 'latency',
    seconds: float = 10.0,
    out: pathlib.Path | None = None,
    set_: tuple[str, ...] = (),
    list_: bool = False,
) -> int:
    """Measures a scenario.

    Args:
        scenario: Name of the scenario.
        seed: Seed of arrivals, queries and the balancer's choices.
        baseline: Also measure the baseline in place of the nodes.
        deployment: Name of the deployment, which sets the sizes.
        seconds: Length of each of the two measured phases.
        out: Directory for the JSON record and the plot.
        set_: Settings that override the nodes' defaults, as
            section.key=value.
        list_: List the scenarios and exit.

    Returns:
        Exit status.
    """
    if list_ or scenario not in scenarios.SCENARIOS:
        for name, item in scenarios.SCENARIOS.items():
            print(f'{name}: {item.title}')
        return 0 if list_ else 2
    # SIGTERM must unwind the stack, so that the fleet's processes are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    names = ('node', 'baseline') if baseline else ('node',)
    runs = {
        name: _run_with_retries(
            name, scenario, deployment, seconds, seed, set_
        )
        for name in names
    }
    record = make_record(scenario, deployment, seed, runs)
    print(render(record, scenario, deployment, runs))
    print(json.dumps(record, sort_keys=True))
    if out is not None:
        _write(out, record, scenario, deployment, seed, runs)
    return 0


def _run_with_retries(name, scenario, deployment, seconds, seed, assignments):
    """Runs the scenario, again if the fleet does not start.

    Another process may take a free port after it was chosen and before the
    node listens on it.
    """
    settings = _parse_settings(assignments)
    for tries_left in reversed(range(MAX_START_TRIES)):
        try:
            return asyncio.run(
                _run(name, scenario, deployment, seconds, seed, settings)
            )
        except TimeoutError:
            if not tries_left:
                raise


def _parse_settings(assignments):
    settings = {}
    for assignment in assignments:
        name, _, value = assignment.partition('=')
        section, _, key = name.partition('.')
        settings[section, key] = value
    return settings


async def _run(name, scenario, deployment, seconds, seed, settings):
    spec = bench_fleet.make_spec(
        scenarios.DEPLOYMENTS[deployment], PROGRAMS[name], settings
    )
    with tempfile.TemporaryDirectory() as folder:
        async with fleets.run_fleet(spec, pathlib.Path(folder)) as fleet:
            if name == 'node':
                targets = scenarios.compute_targets(spec.indexes[0])
                await bench_fleet.create_contracts(fleet, targets)
            await bench_fleet.wait_ready(fleet)
            return await phases.run_phases(
                fleet,
                scenarios.SCENARIOS[scenario],
                seconds,
                random.Random(seed),
            )


def make_record(
    scenario: str, deployment: str, seed: int, runs: dict[str, phases.Run]
) -> dict:
    """Collects the results of the runs.

    Args:
        scenario: Name of the scenario.
        deployment: Name of the deployment.
        seed: Seed of the runs.
        runs: Runs by kind of node.

    Returns:
        Fields to print as JSON.
    """
    index = scenarios.DEPLOYMENTS[deployment].index
    capacity = scenarios.compute_capacity(index)
    return {
        'scenario': scenario,
        'deployment': deployment,
        'seed': seed,
        'capacity': capacity,
        'service_ms': index.service_ms,
        'bound_ms': bounds.sample_bound(
            index.shards, index.service_ms, random.Random(seed)
        ),
        'runs': {
            name: {
                'reference': _summarise_phase(run.reference, index),
                'main': _summarise_phase(run.main, index),
                'worst_lag': run.worst_lag,
                'void': run.worst_lag > MAX_LAG,
                'invalid': run.invalid,
            }
            for name, run in runs.items()
        },
    }


def _summarise_phase(phase, index):
    targets = scenarios.compute_targets(index)
    ranks = report.summarise(phase.samples, targets)
    started = sum(item.outcome != 'refused' for item in phase.samples)
    answered = sum(item.coverage for item in phase.samples)
    on_time = [
        item for item in phase.samples if item.latency <= targets[item.rank]
    ]
    return {
        'ranks': {
            rank.value: dataclasses.asdict(item)
            for rank, item in ranks.items()
        },
        'begun': phase.sub_requests,
        'extra_load': phase.sub_requests / max(1, started * index.shards) - 1,
        'cpu_seconds': phase.cpu,
        'goodput': sum(item.coverage for item in on_time) / phase.seconds,
        'served_share': {
            rank.value: sum(
                item.coverage for item in phase.samples if item.rank is rank
            )
            / max(1.0, answered)
            for rank in ranks
        },
    }


def render(
    record: dict,
    scenario: str,
    deployment: str,
    runs: dict[str, phases.Run],
) -> str:
    """Renders the results of the runs as Markdown."""
    index = scenarios.DEPLOYMENTS[deployment].index
    targets = scenarios.compute_targets(index)
    bound = ', '.join(
        f'{name} {value:.0f} ms' for name, value in record['bound_ms'].items()
    )
    target_text = ', '.join(
        f'{rank.value} {target * 1000:.0f} ms'
        for rank, target in targets.items()
    )
    lines = [
        f'{scenario} ({scenarios.SCENARIOS[scenario].title}), {deployment}, '
        f'seed {record["seed"]}',
        f'scaled to the machine: {index.shards} shards of {index.replicas} '
        f'replicas with {index.slots} slots, mean service time '
        f'{index.service_ms:.0f} ms, capacity {record["capacity"]:.0f} '
        'searches a second',
        f'targets: {target_text}',
        f'bound by the service times alone: {bound}',
        '',
    ]
    for name, run in runs.items():
        for title in ('reference', 'main'):
            phase = getattr(run, title)
            fields = record['runs'][name][title]
            lines.append(
                report.render_table(
                    f'{name}, {title}',
                    report.summarise(phase.samples, targets),
                )
            )
            lines.append(
                f'extra load {fields["extra_load"]:.3f}, processor time '
                f'{fields["cpu_seconds"]:.1f} s, goodput '
                f'{fields["goodput"]:.1f} searches a second, served '
                + ', '.join(
                    f'{rank} {share:.2f}'
                    for rank, share in fields['served_share'].items()
                )
                + '\n'
            )
        lines.append(
            f'{name}: invalid answers {run.invalid}, worst lag of the load '
            f'generator {run.worst_lag * 1000:.0f} ms'
            + (
                ', run void: the machine is overloaded\n'
                if run.worst_lag > MAX_LAG
                else '\n'
            )
        )
    return '\n'.join(lines)


def _write(out, record, scenario, deployment, seed, runs):
    out.mkdir(parents=True, exist_ok=True)
    stem = f'{scenario}-{deployment}-{seed}'
    report.write_json(out / f'{stem}.json', record)
    samples = {
        f'{name}, {title}': getattr(run, title).samples
        for name, run in runs.items()
        for title in ('reference', 'main')
    }
    report.plot_latency(out / f'{stem}.png', samples, core.Rank.URGENT)


if __name__ == '__main__':
    raise SystemExit(app())
