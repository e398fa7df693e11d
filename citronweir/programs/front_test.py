"""Tests of the command line of the front node."""

import pytest

from citronweir import platform
from citronweir.programs import front

SETTINGS = '''
node = "n1"
zone = "east"
ip = "127.0.0.1"
internal_ports = [1, 2]
[listen]
front = "127.0.0.1:1"
[platform]
address = "127.0.0.1:2"
'''


@pytest.mark.parametrize(
    'arguments, text, status',
    [
        (['--check'], SETTINGS, 0),
        (['--check'], SETTINGS.replace('zone', 'place'), 2),
        ([], 'no toml', 2),
        (['--help'], SETTINGS, 2),
    ],
)
def test_wrong_settings_and_arguments_end_with_2(
    arguments, text, status, tmp_path, monkeypatch, capsys
):
    """Guards a build against a node that starts with half of a file."""
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    monkeypatch.setenv('CITRONWEIR_BOOT', str(path))
    monkeypatch.setattr('sys.argv', ['citronweir-front', *arguments])
    # The default of the reader is the environment at import time.
    boot = platform.read_boot({'CITRONWEIR_BOOT': str(path)})
    monkeypatch.setattr(platform, 'read_boot', lambda: boot)
    assert front.main() == status
    assert bool(capsys.readouterr().err) == (status == 2)
