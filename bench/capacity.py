"""Measures the slopes of the capacity page and rewrites its tables.

The measurements run one after the other and report CPU time. The stub server
that replaces the upstreams runs in a second process, which only waits for
requests.
"""

import argparse
import asyncio
import subprocess
import sys

from bench import _measure_control as measure_control
from bench import _measure_platform as measure_platform
from bench import _measure_search as measure_search
from bench import _measure_trials as measure_trials
from bench import _measure_wire as measure_wire
from bench import _page as page
from bench import _planned as planned
from bench import _planned_control as planned_control
from bench import _planned_gaps as planned_gaps
from bench import _planned_paths as planned_paths
from bench import _planned_roles as planned_roles
from bench import _slopes as slopes
from fakes import fleet

PAGE = fleet.ROOT / 'docs' / 'CAPACITY.md'
MEASUREMENTS_BY_PART = {
    'search': measure_search.measure_all,
    'trials': measure_trials.measure_all,
    'wire': measure_wire.measure_all,
    'control': measure_control.measure_all,
    'platform': measure_platform.measure_all,
}
_PRINT_PROCESS_STATUS = (
    'import citronweir.programs.node; print(open("/proc/self/status").read())'
)


def measure_idle_memory() -> tuple[float, float]:
    """Returns the resident memory of a node process that is idle.

    Returns:
        KB of anonymous pages, and KB of file-backed pages, which the
        processes of a VM share.
    """
    completed = subprocess.run(
        [sys.executable, '-c', _PRINT_PROCESS_STATUS],
        cwd=fleet.ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    fields = dict(
        line.split(':', 1) for line in completed.stdout.splitlines() if line
    )
    anonymous, file_backed = (
        float(fields[name].split()[0]) for name in ('RssAnon', 'RssFile')
    )
    return anonymous, file_backed


def measure_reference_time() -> float:
    """Returns the CPU time of a fixed computation, in microseconds.

    Other load on the machine increases CPU times too. The ratio of the
    reference times of two runs makes their figures comparable.
    """
    return slopes.time_call(
        lambda: sum(number % 7 for number in range(10_000))
    )


def measure_tables() -> dict[str, str]:
    """Runs all measurements and returns the rendered tables by name."""
    reference_before = measure_reference_time()
    parts = {name: measure() for name, measure in MEASUREMENTS_BY_PART.items()}
    membership_run = measure_control.measure_planned_size()
    reference_after = measure_reference_time()
    measured = {slope.name: slope for part in parts.values() for slope in part}
    calls = asyncio.run(measure_platform.count_calls())
    return {
        'reference': page.render_table(
            ('', 'us'),
            [
                ('at the start', page.format_number(reference_before)),
                ('at the end', page.format_number(reference_after)),
            ],
        ),
        'slopes': planned.render_slopes(parts),
        'roles': planned_roles.render_roles(measured),
        'control': planned_control.render_control(
            measured, membership_run, measure_idle_memory()
        ),
        'data_path': planned.render_data_path(measured),
        'gaps': planned_gaps.render_gaps(measured),
        'ways': planned.render_alternatives(measured),
        'bytes': planned.render_bytes(),
        'membership': planned_paths.render_membership(
            measured, membership_run
        ),
        'connections': planned_paths.render_connections(),
        'platform': planned_paths.render_platform(calls),
        'shares': planned_paths.render_shares(),
        'configuration': planned_paths.render_configuration(measured),
    }


def main() -> None:
    """Rewrites the tables of the capacity page, or prints them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--print', action='store_true', help='leave the page as it is'
    )
    parser.add_argument(
        '--only',
        choices=MEASUREMENTS_BY_PART,
        help='print the slopes of one part',
    )
    args = parser.parse_args()
    if args.only:
        print(
            planned.render_slopes(
                {args.only: MEASUREMENTS_BY_PART[args.only]()}
            )
        )
        return
    tables = measure_tables()
    if args.print:
        print('\n'.join(f'{name}\n\n{text}' for name, text in tables.items()))
        return
    text = PAGE.read_text(encoding='utf-8')
    PAGE.write_text(page.rewrite_tables(text, tables), encoding='utf-8')


if __name__ == '__main__':
    main()
