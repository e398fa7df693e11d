"""Tests of the command line of the front node."""

import os
import subprocess
import sys

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
DEPLOY = """
build = "true"
[roles.query]
run = "python3 -m citronweir.programs.front"
on = "front"
count = 2
"""


@pytest.mark.parametrize(
    'text, status',
    [
        (SETTINGS, 0),
        (SETTINGS.replace('zone', 'place'), 2),
        ('no toml', 2),
    ],
)
def test_check_rejects_unusable_settings(
    text, status, tmp_path, monkeypatch, capsys
):
    """Guards against nodes that start with incomplete settings."""
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    boot = platform.read_boot({'CITRONWEIR_BOOT': str(path)})
    monkeypatch.setattr(platform, 'read_boot', lambda: boot)
    assert front.run(check=True) == status
    assert bool(capsys.readouterr().err) == (status == 2)


@pytest.mark.parametrize('text, status', [(DEPLOY, 0), ('build = 1', 2)])
def test_deploy_file_is_checked_without_starting_a_node(
    text, status, tmp_path, capsys
):
    """Guards against errors that show only after a deployment."""
    path = tmp_path / 'system.toml'
    path.write_text(text)
    assert front.run(deploy=path) == status
    assert bool(capsys.readouterr().err) == (status == 2)


def test_help_and_unknown_arguments(monkeypatch, capsys):
    """Guards against a command line that starts a node by mistake."""
    monkeypatch.setattr('sys.argv', ['citronweir-front', '--help'])
    with pytest.raises(SystemExit) as ended:
        front.main()
    assert not ended.value.code
    assert '--check' in capsys.readouterr().out
    monkeypatch.setattr('sys.argv', ['citronweir-front', '--wrong'])
    with pytest.raises(SystemExit) as ended:
        front.main()
    assert ended.value.code


PROGRAM = """
import atexit
from citronweir.programs import front
atexit.register(print, 'teardown')
front.run = lambda: print('served') or 3
front.main()
"""


def test_node_exits_without_interpreter_shutdown():
    """Guards against nodes that are killed while the interpreter shuts down.

    Shutdown takes 0.1 s of CPU time. Under load, SIGKILL came during it,
    after the node had finished its work.
    """
    done = subprocess.run(
        [sys.executable, '-c', PROGRAM], capture_output=True, check=False
    )
    assert (done.returncode, done.stdout) == (3, b'served\n')


def test_start_loads_no_certificates():
    """Guards the recovery time after a power failure.

    On import, aiohttp loads the certificates that these variables name.
    """
    code = 'from citronweir.programs import front; import ssl, os; '
    code += 'print(os.environ["SSL_CERT_FILE"], '
    code += 'len(ssl.create_default_context().get_ca_certs()))'
    env = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith('SSL_CERT_')
    }
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True, env=env
    )
    assert done.stdout.decode().split() == [os.devnull, '0']
