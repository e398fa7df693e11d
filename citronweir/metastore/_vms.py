"""Fetches the VM list in the Prometheus HTTP service discovery format.

The list lags behind the real state, so it serves only as a source of
addresses and of hints that a VM is leaving.
"""

import dataclasses
import enum
import ipaddress
import json

import aiohttp

from citronweir import core
from citronweir import telemetry

LABEL_PREFIX = '__meta_citronweir_'
MAX_ERROR_LENGTH = 300  # characters of an error in a log line


class VmRole(enum.Enum):
    """Role of a VM: the kind of process that it runs."""

    NODE = 'node'
    UPSTREAM = 'upstream'


class VmState(enum.Enum):
    """State of a VM as given in the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the VM list.

    Attributes:
        name: Node id or replica id, depending on the role.
    """

    name: str
    role: VmRole
    state: VmState
    dc: core.DataCentre
    address: core.Address


@dataclasses.dataclass(frozen=True, slots=True)
class VmsError:
    """Failure to fetch or decode the VM list."""

    detail: str


async def fetch_vms(
    session: aiohttp.ClientSession, url: str
) -> list[Vm] | VmsError:
    """Fetches the VM list.

    Args:
        session: Client session.
        url: Base URL of the service.

    Returns:
        The entries, or the error.
    """
    try:
        async with session.get(f'{url}/vms') as resp:
            raw = await resp.read()
        if resp.status != 200:
            return VmsError(f'HTTP status {resp.status}')
        return _decode_vms(json.loads(raw))
    except (aiohttp.ClientError, TimeoutError, RuntimeError) as exc:
        return VmsError(f'{type(exc).__name__}: {exc}')
    except (TypeError, ValueError) as exc:
        return VmsError(f'malformed list: {exc!r}')


def _decode_vms(target_groups):
    """Decodes the list, leaving out and logging malformed entries."""
    vms, errors = [], []
    for target_group in target_groups:
        try:
            vms.append(_decode_vm(target_group))
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            errors.append(exc)
    if errors:
        telemetry.log(
            telemetry.Event.VMS_MALFORMED,
            count=len(errors),
            error=repr(errors[0])[:MAX_ERROR_LENGTH],
        )
    return vms


def _decode_vm(target_group):
    labels = target_group['labels']
    host, _, port = target_group['targets'][0].rpartition(':')
    return Vm(
        str(labels[LABEL_PREFIX + 'name']),
        VmRole(labels[LABEL_PREFIX + 'role']),
        VmState(labels[LABEL_PREFIX + 'state']),
        core.DataCentre(str(labels[LABEL_PREFIX + 'dc'])),
        core.Address(str(ipaddress.ip_address(host)), _parse_port(port)),
    )


def _parse_port(text):
    port = int(text)
    if not 0 < port < 1 << 16:
        raise ValueError(f'invalid port: {text[:MAX_ERROR_LENGTH]!r}')
    return port
