"""Reads the settings file that the platform provides for each process.

The file has the platform's format and names; ``BootSettings`` has ours.
Unknown fields are ignored, since the platform may add new ones.
"""

from collections import abc
import dataclasses
import math
import os
import pathlib
import tomllib

from citronweir import core
from citronweir.platform import _names as names

# The platform's settings have no metrics port, so deploy/system.toml states
# this one, a customary port of metrics exporters.
METRICS_PORT = 9464
# Share of the time for withdrawals that covers the difference between the
# rates of two clocks, and the time between the check of a key and the write to
# the connection.
KEY_AGE_MARGIN = 0.02
# Used where the settings state no limits of the machine.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4096
_DEFAULT_PATH = '/etc/citronweir/settings.toml'


@dataclasses.dataclass(frozen=True, slots=True)
class BootSettings:
    """Location of a node, its addresses, and the platform's limits.

    Attributes:
        regions: Region of each data centre.
        host: IP address of the node.
        callers: Address to listen on for callers.
        readiness: Address to listen on for the platform's readiness checks.
        node_ports: First and last port that nodes may use among themselves.
        store: Address of the platform's store.
        termination_grace: Seconds between SIGTERM and SIGKILL.
        extra_attempt_ratio: Attempts beyond the first that may arrive at a
            service for each request, over all nodes.
        extra_attempt_slack: Extra attempts that are allowed in a window in
            addition to the ratio.
        extra_attempt_window: Length of the window, seconds.
        max_key_age: Age, in seconds, from which the list of API keys must
            not be used; infinity if withdrawn keys may be used for longer.
        memory_bytes: Memory from which the platform ends the process.
        max_fds: Descriptors that the process may have open.
        quota_bounds: How far the quotas of tenants may be exceeded.
    """

    node_id: core.NodeId
    dc: core.DataCentre
    regions: abc.Mapping[core.DataCentre, str]
    host: str
    callers: core.Address
    readiness: core.Address | None
    node_ports: tuple[int, int]
    store: core.Address
    termination_grace: float
    extra_attempt_ratio: float
    extra_attempt_slack: float
    extra_attempt_window: float
    max_key_age: float = math.inf
    memory_bytes: int = DEFAULT_MEMORY_MB << 20
    max_fds: int = DEFAULT_MAX_FDS
    quota_bounds: core.QuotaBounds = core.QuotaBounds()


@dataclasses.dataclass(frozen=True, slots=True)
class BootSettingsError:
    """A missing or invalid field of the settings file."""

    field: str
    message: str

    def __str__(self) -> str:
        return f'{self.field}: {self.message}'


def read_boot(
    environ: abc.Mapping[str, str] = os.environ,
) -> BootSettings | BootSettingsError:
    """Reads the settings file given by the environment."""
    path = environ.get(names.SETTINGS_VARIABLE, _DEFAULT_PATH)
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        return BootSettingsError(path, str(exc))
    return decode_boot(raw)


def decode_boot(
    raw: abc.Mapping[str, object],
) -> BootSettings | BootSettingsError:
    """Decodes the fields of the settings file."""
    try:
        return _decode_settings(raw)
    except KeyError as exc:
        return BootSettingsError(str(exc.args[0]), 'missing')
    except (AttributeError, OverflowError, TypeError, ValueError) as exc:
        return BootSettingsError('settings', str(exc))


def parse_address(text: str) -> core.Address:
    """Parses an address of the form ``host:port``.

    Raises:
        ValueError: The text has another form.
    """
    host, _, port = text.rpartition(':')
    if not host:
        raise ValueError(f'not a host:port address: {text!r}')
    return core.Address(host, _parse_port(port))


def _decode_settings(raw):
    bounds, listen = raw.get('bounds', {}), raw['listen']
    limits = raw.get('limits', {})
    readiness = listen.get('readiness')
    return BootSettings(
        node_id=core.NodeId(raw['node']),
        dc=core.DataCentre(raw['zone']),
        regions={
            core.DataCentre(zone): str(region)
            for zone, region in raw.get('zones', {}).items()
        },
        host=str(raw['ip']),
        callers=parse_address(listen['front']),
        readiness=parse_address(readiness) if readiness else None,
        node_ports=_parse_ports(*raw['internal_ports']),
        store=parse_address(raw['platform']['address']),
        termination_grace=_parse_nonnegative(bounds, 'grace_s', 6.0),
        extra_attempt_ratio=_parse_nonnegative(bounds, 'retry_ratio', 0.1),
        extra_attempt_slack=_parse_nonnegative(bounds, 'retry_slack', 20.0),
        extra_attempt_window=_parse_nonnegative(
            bounds, 'retry_window_s', 10.0
        ),
        max_key_age=_decode_max_key_age(bounds),
        memory_bytes=int(
            _parse_nonnegative(limits, 'memory_mb', DEFAULT_MEMORY_MB)
            * (1 << 20)
        ),
        max_fds=int(_parse_nonnegative(limits, 'max_fds', DEFAULT_MAX_FDS)),
        quota_bounds=core.QuotaBounds(
            _parse_nonnegative(bounds, 'quota_window_s', 1.0),
            _parse_nonnegative(bounds, 'quota_excess', 0.0),
            _parse_nonnegative(bounds, 'quota_slack', 0.0),
        ),
    )


def _decode_max_key_age(bounds):
    if bounds.get('strict_revoke') is not True:
        return math.inf
    limit = _parse_nonnegative(bounds, 'revoke_ms', 5000.0) / 1000
    return limit * (1 - KEY_AGE_MARGIN)


def _parse_ports(first, last):
    ports = _parse_port(first), _parse_port(last)
    if ports[0] > ports[1]:
        raise ValueError(f'not a port range: {first} to {last}')
    return ports


def _parse_port(value):
    port = int(value)
    if not 0 < port < 1 << 16:
        raise ValueError(f'not a port number: {value!r}')
    return port


def _parse_nonnegative(fields, name, default):
    bound = float(fields.get(name, default))
    if not 0 <= bound < math.inf:
        raise ValueError(f'{name} must be finite and not negative: {bound}')
    return bound
