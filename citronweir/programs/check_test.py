"""Tests of citronweir-check and of the sample settings."""

import pathlib
import subprocess
import sys

import pytest

from citronweir import settings
from citronweir.programs import check

SAMPLE = pathlib.Path(__file__).parents[2] / 'conf' / 'node.ini'


def _run(*args):
    return subprocess.run(
        [sys.executable, '-m', 'citronweir.programs.check', *map(str, args)],
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_sample_is_valid():
    """Guards the sample file and the exit status that scripts rely on."""
    done = _run(SAMPLE)
    assert (done.returncode, done.stderr) == (0, '')
    assert done.stdout == f'{SAMPLE}: the settings are good\n'


def test_sample_shows_every_setting_with_its_default(tmp_path):
    """Guards against missing settings and wrong defaults in the sample."""
    lines = SAMPLE.read_text(encoding='utf-8').splitlines()
    shown = [line.removeprefix('#') for line in lines if line[:2] != '# ']
    path = tmp_path / 'node.ini'
    path.write_text('\n'.join(shown), encoding='utf-8')
    cfg, errors = settings.read_settings(path)
    assert errors == []
    rows = settings.render_reference().splitlines()[2:]
    for row in rows:
        _, _, key, _, default, _ = (cell.strip() for cell in row.split('|'))
        (line,) = (line for line in shown if line.split(' ')[0] == key)
        if default != 'required' and key != 'seeds':
            assert line.partition('=')[2].strip() == default
    plain, _ = settings.read_settings(SAMPLE)
    assert plain.shares == cfg.shares


def test_all_errors_are_reported_in_one_run(tmp_path, capsys):
    """Guards against a check that stops at the first error."""
    text = SAMPLE.read_text(encoding='utf-8')
    for old, new in (
        ('address = 127.0.0.1\n', 'address = localhost\n'),
        ('callers_port = 8080', 'callers_port = 99999'),
        ('cluster = change-me-cluster', 'cluster ='),
        ('#urgent = 0.7', 'urgent = 0.9'),
        ('#canary = yes', 'canary = perhaps'),
        ('#otlp =', 'otpl = http://127.0.0.1:4318'),
    ):
        assert text.count(old) == 1
        text = text.replace(old, new)
    path = tmp_path / 'node.ini'
    path.write_text(text, encoding='utf-8')
    assert check.check(path) == check.EXIT_SETTINGS
    out, err = capsys.readouterr()
    assert out == ''
    reported = [line.partition(' = ')[0] for line in err.splitlines()]
    assert reported == [
        '[telemetry] otpl',
        '[node] address',
        '[node] callers_port',
        '[keys] cluster',
        '[limits] canary',
        '[shares] urgent, ordinary, deferrable',
    ]


@pytest.mark.parametrize(
    ('args', 'status'),
    (
        ((), check.EXIT_SETTINGS),
        (('missing.ini',), check.EXIT_SETTINGS),
        (('--no-such-option',), check.EXIT_SETTINGS),
        (('--reference',), 0),
    ),
)
def test_exit_status(args, status):
    """Guards the exit statuses that docs/operators.md lists."""
    assert _run(*args).returncode == status
