"""Tests that docs/operators.md agrees with the code."""

import os
import pathlib
import re
import subprocess
import sys

import aiohttp

from citronweir import settings
from citronweir import telemetry
from fakes import fleet as fleets

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / 'docs' / 'operators.md').read_text(encoding='utf-8')
COMMANDS = ('admin', 'check', 'query')
LEVELS = ('WARNING', 'ERROR')


def test_table_of_settings_is_the_rendered_one():
    """Guards against settings that are missing from the documentation."""
    head = '<!-- citronweir-check --reference -->\n'
    assert head + settings.render_reference() + '\n' in PAGE


def test_every_alarm_is_explained():
    """Guards against warnings and errors without documentation."""
    documented = re.findall(r'^\| (CW\d+ \w+) \| (\w+) \|', PAGE, re.MULTILINE)
    assert documented == [
        (f'CW{event.value.number} {event.name}', event.value.level)
        for event in sorted(telemetry.Event, key=lambda e: e.value.number)
        if event.value.level in LEVELS
    ]


async def test_commands_of_the_page_and_its_metrics(tmp_path):
    """Guards against commands that fail and undocumented metrics."""
    spec = fleets.FleetSpec(dcs=('dc1',))
    async with fleets.run_fleet(spec, tmp_path) as fleet:
        environment = _make_environment(fleet, 'dc1-n0')
        async with aiohttp.ClientSession() as session:

            async def is_ready():
                url = environment['CITRONWEIR'] + '/healthz'
                async with session.get(url) as resp:
                    return resp.status == 200

            await fleets.wait_for(is_ready, 'a ready node')
            result = _run_commands(environment, tmp_path)
            assert result.returncode == 0, result.stdout + result.stderr
            url = environment['CITRONWEIR_METRICS'] + '/metrics'
            async with session.get(url) as resp:
                metrics_text = await resp.text()
    exposed_names = re.findall(r'^# TYPE (\w+)', metrics_text, re.MULTILINE)
    documented = re.findall(r'^\| `(citronweir_\w+)` \|', PAGE, re.MULTILINE)
    assert set(exposed_names) <= set(documented)
    assert set(_list_instruments()) <= set(documented)
    assert len(documented) == len(
        set(exposed_names) | set(_list_instruments())
    )


def _make_environment(fleet, node):
    ports = fleet.nodes[node]
    return {
        'CITRONWEIR': fleet.url(node),
        'CITRONWEIR_OPERATORS_URL': f'http://{fleets.HOST}:{ports.operators}',
        'CITRONWEIR_OPERATOR_KEY': fleets.OPERATOR_KEY,
        'CITRONWEIR_METRICS': f'http://{fleets.HOST}:{ports.metrics}',
        'CITRONWEIR_SETTINGS': str(fleet.folder / f'{node}.ini'),
    }


def _run_commands(environment, folder):
    """Runs all shell blocks of the page as one script."""
    script = [
        f'citronweir-{name}() {{ '
        f'"{sys.executable}" -m citronweir.programs.{name} "$@"; }}\n'
        for name in COMMANDS
    ]
    script += re.findall(r'^```sh\n(.*?)^```$', PAGE, re.MULTILINE | re.DOTALL)
    return subprocess.run(
        ['bash', '-euo', 'pipefail', '-c', ''.join(script)],
        cwd=folder,
        env={**os.environ, 'PYTHONPATH': str(ROOT), **environment},
        capture_output=True,
        text=True,
        timeout=120,
    )


def _list_instruments():
    """Lists the names under which the instruments are exposed."""
    metrics = telemetry.make_metrics()
    for name in metrics.__slots__:
        instrument = getattr(metrics, name)
        if hasattr(instrument, 'add'):
            yield f'{instrument.name}_total'
        elif hasattr(instrument, 'record'):
            unit = '_seconds' if instrument.unit == 's' else ''
            yield f'{instrument.name}{unit}'
