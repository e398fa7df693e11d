"""Tests of reading the settings file."""

from citronweir.settings import _settings as settings

VALID_SETTINGS = """
[node]
id = n1
data_centre = dc1
address = 127.0.0.1
callers_port = 7001
operators_port = 7002
nodes_port = 7003
metrics_port = 7004
seeds = 127.0.0.1:7103, 127.0.0.1:7203
[keys]
cluster = c
operator = o
[platform]
kv = http://127.0.0.1:2379
vms = http://127.0.0.1:2380
"""


def test_valid_file_is_read(tmp_path):
    """Guards against a default that fails its own validation."""
    path = tmp_path / 'node.ini'
    path.write_text(VALID_SETTINGS)
    cfg, errors = settings.read_settings(path)
    assert not errors
    assert [seed.port for seed in cfg.seeds] == [7103, 7203]


def test_all_errors_are_reported_together(tmp_path):
    """Guards against validation that stops at the first error."""
    path = tmp_path / 'node.ini'
    text = VALID_SETTINGS.replace('id = n1', 'idd = n1').replace(
        '7004', '70040'
    )
    path.write_text(text + '[shares]\nurgent = 0.9\n')
    cfg, errors = settings.read_settings(path)
    assert cfg is None
    found = {(error.section, error.key) for error in errors}
    assert found >= {
        ('node', 'id'),
        ('node', 'idd'),
        ('node', 'metrics_port'),
        ('shares', 'urgent, ordinary, deferrable'),
    }


def test_unreadable_file_is_an_error(tmp_path):
    """Guards against a traceback for a missing file."""
    cfg, errors = settings.read_settings(tmp_path / 'missing.ini')
    assert cfg is None
    assert errors[0].section == 'file'
