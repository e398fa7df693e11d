"""Tests of reading the platform's settings file."""

import math
import tomllib

import hypothesis
from hypothesis import strategies as st

from citronweir import core
from citronweir import platform
from citronweir.platform import _boot as boot

TEXT = '''
node = "n1"
zone = "east"
ip = "10.1.0.9"
internal_ports = [7380, 7395]
unknown = 1
[zones]
east = "north"
[listen]
front = "10.1.0.9:8104"
readiness = "10.1.0.9:8108"
[bounds]
grace_s = 6
retry_ratio = 0.2
retry_slack = 56
[platform]
address = "10.200.1.7:8102"
'''


def _read(tmp_path, text):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    return platform.read_boot({'CITRONWEIR_BOOT': str(path)})


def test_fields_are_read_and_unknown_fields_ignored(tmp_path):
    """Guards against a failed start after the platform adds a field."""
    cfg = _read(tmp_path, TEXT)
    assert cfg.callers == core.Address('10.1.0.9', 8104)
    assert cfg.store == core.Address('10.200.1.7', 8102)
    assert cfg.regions == {'east': 'north'}
    assert (
        cfg.termination_grace,
        cfg.extra_attempt_ratio,
        cfg.extra_attempt_slack,
    ) == (
        6.0,
        0.2,
        56,
    )


def test_missing_field_is_named(tmp_path):
    """Guards against a traceback instead of the reason."""
    cfg = _read(tmp_path, TEXT.replace('zone = "east"', ''))
    assert cfg == boot.BootSettingsError('zone', 'missing')


def test_unreadable_file_is_an_error(tmp_path):
    """Guards against starting with an incomplete settings file."""
    assert isinstance(_read(tmp_path, 'node = '), platform.BootSettingsError)
    missing = platform.read_boot({'CITRONWEIR_BOOT': str(tmp_path / 'none')})
    assert isinstance(missing, platform.BootSettingsError)


NUMBERS = st.integers() | st.floats() | st.just(10**400)
ADDRESSES = st.builds('{}:{}'.format, st.text(max_size=3), st.integers())
VALUES = NUMBERS | st.booleans() | st.text(max_size=8) | ADDRESSES
FIELDS = {
    'node': VALUES,
    'zone': VALUES,
    'ip': VALUES,
    'internal_ports': VALUES | st.tuples(NUMBERS, NUMBERS).map(list),
    'zones': VALUES | st.dictionaries(st.just('east'), VALUES),
    'listen': VALUES
    | st.fixed_dictionaries({'front': VALUES}, optional={'readiness': VALUES}),
    'bounds': VALUES
    | st.dictionaries(
        st.sampled_from(['grace_s', 'retry_ratio', 'retry_slack']), NUMBERS
    ),
    'platform': VALUES | st.fixed_dictionaries({'address': VALUES}),
}


@hypothesis.given(
    name=st.sampled_from([*FIELDS]), data=st.data(), is_missing=st.booleans()
)
@hypothesis.settings(max_examples=400)
def test_any_settings_become_a_record_or_an_error(name, data, is_missing):
    """Guards the start against fields of an unexpected type or size."""
    raw = tomllib.loads(TEXT)
    del raw[name]
    if not is_missing:
        raw[name] = data.draw(FIELDS[name])
    cfg = boot.decode_boot(raw)
    assert isinstance(cfg, platform.BootSettings | platform.BootSettingsError)
    if isinstance(cfg, platform.BootSettings):
        ports = (cfg.callers.port, cfg.store.port, *cfg.node_ports)
        assert all(0 < port < 65536 for port in ports)
        assert cfg.node_ports[0] <= cfg.node_ports[1]
        bounds = (
            cfg.termination_grace,
            cfg.extra_attempt_ratio,
            cfg.extra_attempt_slack,
        )
        assert all(0 <= bound < math.inf for bound in bounds)
