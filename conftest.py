"""Configures the profiles of hypothesis and skips known failures."""

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).with_name('KNOWN-RED.txt')

# Deterministic examples, so that CI results are reproducible.
hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
# For long manual runs; hypothesis prints a blob that reproduces a failure.
hypothesis.settings.register_profile(
    'long', max_examples=5000, deadline=None, print_blob=True
)
hypothesis.settings.load_profile('ci')


def pytest_addoption(parser):
    """Adds the option that runs known failures too."""
    parser.addoption(
        '--known-red',
        action='store_true',
        help='also run the tests that KNOWN-RED.txt lists',
    )


def read_known_red():
    """Returns the test ids in the ``test: ID`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return {
        line.partition(':')[2].strip()
        for line in lines
        if line.startswith('test:')
    }


def pytest_collection_modifyitems(config, items):
    """Skips exactly the tests that KNOWN-RED.txt lists."""
    if config.getoption('--known-red'):
        return
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.skip(reason='KNOWN-RED.txt'))


def pytest_terminal_summary(terminalreporter):
    """Prints the ids of the known failures."""
    for nodeid in sorted(read_known_red()):
        terminalreporter.write_line(f'KNOWN-RED, not run: {nodeid}')
