"""Reads and validates the settings of a node.

All errors are reported together, each with its section, key, value and the
allowed values, so that a file can be corrected after one dry run.
"""

from collections import abc
import configparser
import dataclasses
import ipaddress
import math
import pathlib
import types
import typing

from citronweir import core


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """An invalid or missing setting."""

    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f'[{self.section}] {self.key} = {self.value!r}: '
            f'allowed is {self.allowed}'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one node.

    Attributes:
        seeds: Addresses of nodes that may know the data centre's members.
        advertised: Address at which other nodes reach this node, or None
            if they use its own address and node port.
        stop_grace: Seconds for which a stopping node still accepts new
            requests, because the load balancer notices with a delay.
        shares: Guaranteed share of a replica's work, by rank.
        kv_reads: Reads per second that this node may use of the platform's
            rate limit; likewise kv_writes.
        max_searches: Maximum number of concurrent searches of each rank.
        hedge_budget: Maximum ratio of hedges to sub-requests.
        retry_budget: Maximum ratio of retries to sub-requests.
        trace_ratio: Fraction of traces that are recorded.
    """

    node_id: core.NodeId
    dc: core.DataCentre
    host: str
    callers_port: int
    operators_port: int
    nodes_port: int
    metrics_port: int
    seeds: tuple[core.Address, ...]
    advertised: core.Address | None
    cluster_key: str
    operator_key: str
    kv_url: str
    kv_reads: float
    kv_writes: float
    vms_url: str
    stop_grace: float
    shares: abc.Mapping[core.Rank, float]
    max_searches: int
    queue_limit: int
    hedge_budget: float
    retry_budget: float
    canary: bool
    max_body_bytes: int
    max_conns: int
    read_timeout: float
    log_level: str
    trace_ratio: float
    otlp_url: str


@dataclasses.dataclass(frozen=True, slots=True)
class _SettingSpec:
    """Parser, allowed values and default of one key."""

    field: str
    section: str
    key: str
    parse: abc.Callable[[str], typing.Any]
    allowed: str
    default: str | None = None


def _parse_text(raw):
    if not raw:
        raise ValueError('empty')
    return raw


def _parse_ip(raw):
    return str(ipaddress.ip_address(raw))


def _parse_addresses(raw):
    return tuple(
        _parse_address(part) for part in raw.replace(',', ' ').split()
    )


def _parse_address(raw):
    host, _, port = raw.rpartition(':')
    return core.Address(str(ipaddress.ip_address(host)), _parse_port(port))


def _parse_optional_address(raw):
    return _parse_address(raw) if raw else None


def _parse_in_range(parse, low, high):
    def parse_in_range(raw):
        value = parse(raw)
        if not low <= value <= high or not math.isfinite(value):
            raise ValueError('out of range')
        return value

    return parse_in_range


_parse_port = _parse_in_range(int, 1, 65535)


def _parse_url(raw):
    if not raw.startswith(('http://', 'https://')):
        raise ValueError('not an http or https URL')
    return raw.rstrip('/')


def _parse_optional_url(raw):
    return _parse_url(raw) if raw else ''


def _parse_flag(raw):
    return {'yes': True, 'no': False}[raw.lower()]


def _parse_log_level(raw):
    if raw not in _LOG_LEVELS:
        raise ValueError('unknown log level')
    return raw


_LOG_LEVELS = ('DEBUG', 'INFO', 'NOTICE', 'WARNING', 'ERROR')
_PORT_TEXT = 'a TCP port from 1 to 65535'
_parse_share = _parse_in_range(float, 0.0, 1.0)
_SHARE_TEXT = 'a number from 0 to 1'

_SPECS = (
    _SettingSpec(
        'node_id', 'node', 'id', _parse_text, 'a name unique in the fleet'
    ),
    _SettingSpec(
        'dc', 'node', 'data_centre', _parse_text, "the data centre's name"
    ),
    _SettingSpec('host', 'node', 'address', _parse_ip, 'an IP number'),
    _SettingSpec(
        'callers_port', 'node', 'callers_port', _parse_port, _PORT_TEXT
    ),
    _SettingSpec(
        'operators_port', 'node', 'operators_port', _parse_port, _PORT_TEXT
    ),
    _SettingSpec('nodes_port', 'node', 'nodes_port', _parse_port, _PORT_TEXT),
    _SettingSpec(
        'metrics_port', 'node', 'metrics_port', _parse_port, _PORT_TEXT
    ),
    _SettingSpec(
        'seeds', 'node', 'seeds', _parse_addresses, 'IP:port pairs', ''
    ),
    _SettingSpec(
        'advertised',
        'node',
        'advertised',
        _parse_optional_address,
        'an IP:port pair, or nothing',
        '',
    ),
    _SettingSpec(
        'stop_grace',
        'node',
        'stop_grace',
        _parse_in_range(float, 0.0, 300.0),
        'seconds from 0 to 300',
        '5',
    ),
    _SettingSpec(
        'cluster_key', 'keys', 'cluster', _parse_text, 'a shared secret'
    ),
    _SettingSpec('operator_key', 'keys', 'operator', _parse_text, 'a secret'),
    _SettingSpec(
        'kv_url', 'platform', 'kv', _parse_url, 'an http or https URL'
    ),
    _SettingSpec(
        'kv_reads',
        'platform',
        'kv_reads',
        _parse_in_range(float, 0.01, 10000.0),
        'calls a second from 0.01 to 10000',
        '100',
    ),
    _SettingSpec(
        'kv_writes',
        'platform',
        'kv_writes',
        _parse_in_range(float, 0.01, 10000.0),
        'calls a second from 0.01 to 10000',
        '40',
    ),
    _SettingSpec(
        'vms_url', 'platform', 'vms', _parse_url, 'an http or https URL'
    ),
    _SettingSpec(
        '_urgent', 'shares', 'urgent', _parse_share, _SHARE_TEXT, '0.7'
    ),
    _SettingSpec(
        '_ordinary', 'shares', 'ordinary', _parse_share, _SHARE_TEXT, '0.2'
    ),
    _SettingSpec(
        '_deferrable', 'shares', 'deferrable', _parse_share, _SHARE_TEXT, '0.1'
    ),
    _SettingSpec(
        'max_searches',
        'limits',
        'searches',
        _parse_in_range(int, 1, 100000),
        'a number from 1 to 100000',
        '256',
    ),
    _SettingSpec(
        'queue_limit',
        'limits',
        'queue',
        _parse_in_range(int, 1, 100000),
        'a number from 1 to 100000',
        '64',
    ),
    _SettingSpec(
        'hedge_budget', 'limits', 'hedges', _parse_share, _SHARE_TEXT, '0.05'
    ),
    _SettingSpec(
        'retry_budget', 'limits', 'retries', _parse_share, _SHARE_TEXT, '0.1'
    ),
    _SettingSpec(
        'canary', 'limits', 'canary', _parse_flag, 'yes or no', 'yes'
    ),
    _SettingSpec(
        'max_body_bytes',
        'limits',
        'body_bytes',
        _parse_in_range(int, 1024, 1 << 20),
        'bytes from 1024 to 1048576',
        '65536',
    ),
    _SettingSpec(
        'max_conns',
        'limits',
        'connections',
        _parse_in_range(int, 1, 100000),
        'a number from 1 to 100000',
        '2000',
    ),
    _SettingSpec(
        'read_timeout',
        'limits',
        'read_seconds',
        _parse_in_range(float, 0.1, 300.0),
        'seconds from 0.1 to 300',
        '10',
    ),
    _SettingSpec(
        'log_level',
        'telemetry',
        'level',
        _parse_log_level,
        ', '.join(_LOG_LEVELS),
        'INFO',
    ),
    _SettingSpec(
        'trace_ratio', 'telemetry', 'traces', _parse_share, _SHARE_TEXT, '0.01'
    ),
    _SettingSpec(
        'otlp_url',
        'telemetry',
        'otlp',
        _parse_optional_url,
        'an http or https URL, or nothing',
        '',
    ),
)


def read_settings(
    path: pathlib.Path,
) -> tuple[Settings | None, list[SettingsError]]:
    """Reads a settings file.

    Args:
        path: Path of the INI file.

    Returns:
        The settings, or None and all errors found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding='utf-8') as source:
            parser.read_file(source)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        allowed = f'a readable INI file ({type(exc).__name__})'
        return None, [SettingsError('file', 'path', str(path), allowed)]
    errors = _find_unknown_keys(parser)
    values = {}
    for spec in _SPECS:
        raw = parser.get(spec.section, spec.key, fallback=spec.default)
        try:
            values[spec.field] = spec.parse((raw or '').strip())
        except (KeyError, ValueError):
            errors.append(
                SettingsError(spec.section, spec.key, raw or '', spec.allowed)
            )
    errors += _check_combinations(values)
    if errors:
        return None, errors
    shares = {rank: values.pop(f'_{rank.value}') for rank in core.Rank}
    return Settings(shares=types.MappingProxyType(shares), **values), []


def render_reference() -> str:
    """Renders a Markdown table of all settings."""
    lines = [
        '| section | key | allowed | default |',
        '| --- | --- | --- | --- |',
    ]
    for spec in _SPECS:
        default = 'required' if spec.default is None else spec.default
        lines.append(
            f'| {spec.section} | {spec.key} | {spec.allowed} | {default} |'
        )
    return '\n'.join(lines) + '\n'


def _find_unknown_keys(parser):
    known = {(spec.section, spec.key) for spec in _SPECS}
    return [
        SettingsError(section, key, parser.get(section, key), 'not a setting')
        for section in parser.sections()
        for key in parser.options(section)
        if (section, key) not in known
    ]


def _check_combinations(values):
    errors = []
    shares = [values.get(f'_{rank.value}') for rank in core.Rank]
    if None not in shares and not math.isclose(sum(shares), 1.0):
        errors.append(
            SettingsError(
                'shares',
                'urgent, ordinary, deferrable',
                ', '.join(str(share) for share in shares),
                'a sum of 1',
            )
        )
    ports = [
        values.get(f'{name}_port')
        for name in ('callers', 'operators', 'nodes', 'metrics')
    ]
    if None not in ports and len(set(ports)) < len(ports):
        errors.append(
            SettingsError(
                'node',
                'callers_port, operators_port, nodes_port, metrics_port',
                ', '.join(str(port) for port in ports),
                'four different ports',
            )
        )
    return errors
