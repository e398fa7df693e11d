"""Reads the VM list in the Prometheus HTTP service discovery format.

The list lags, so that it is only a source of addresses and of hints
that a VM is leaving.
"""

import dataclasses
import enum
import ipaddress
import json

import aiohttp

from citronweir import core
from citronweir import telemetry

LABEL_PREFIX = '__meta_citronweir_'
MAX_ERROR = 300  # characters of a line of the log


class VmRole(enum.Enum):
    """What a VM runs."""

    NODE = 'node'
    UPSTREAM = 'upstream'


class VmState(enum.Enum):
    """State of a VM in the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the VM list.

    Attributes:
        name: Node id or replica id, by the role.
    """

    name: str
    role: VmRole
    state: VmState
    dc: core.DataCentre
    address: core.Address


@dataclasses.dataclass(frozen=True, slots=True)
class VmsError:
    """A VM list that could not be read."""

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


def _decode_vms(groups):
    """Decodes the entries; one that cannot be read hides no other."""
    vms, errors = [], []
    for group in groups:
        try:
            vms.append(_decode_vm(group))
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            errors.append(exc)
    if errors:
        telemetry.log(
            telemetry.Event.VMS_MALFORMED,
            count=len(errors),
            error=repr(errors[0])[:MAX_ERROR],
        )
    return vms


def _decode_vm(group):
    labels = group['labels']
    host, _, port = group['targets'][0].rpartition(':')
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
        raise ValueError(f'no port: {text[:MAX_ERROR]!r}')
    return port
