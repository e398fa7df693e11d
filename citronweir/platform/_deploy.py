"""Checks the file that tells the platform how to build and run the system.

The platform reads the file only during a deployment, so without this check
an error in it would first appear on the VMs.
"""

import dataclasses
import importlib.util
import pathlib
import re
import tomllib

from citronweir.platform import _boot as boots

_ALLOWED_SERVES = frozenset({'front', 'control'})
_METRICS_ENDPOINT = re.compile(r'(\d+)/\S+')
MAX_ROLES_PER_VM = 2  # limit stated in the platform's documentation


@dataclasses.dataclass(frozen=True, slots=True)
class DeployError:
    """A missing or invalid field of the deploy file."""

    field: str
    message: str

    def __str__(self) -> str:
        return f'{self.field}: {self.message}'


def check_deploy(path: pathlib.Path) -> list[DeployError]:
    """Checks a deploy file.

    Args:
        path: Path of the file.

    Returns:
        All errors found.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        return [DeployError(str(path), str(exc))]
    errors = []
    if not _is_nonblank_text(raw.get('build')):
        errors.append(DeployError('build', 'a command is required'))
    roles = raw.get('roles')
    if not isinstance(roles, dict) or not roles:
        return [*errors, DeployError('roles', 'at least one role is required')]
    for name, role in roles.items():
        errors += _check_role(f'roles.{name}', role)
    return errors or _check_vm_classes(roles)


def _check_role(name, role):
    if not isinstance(role, dict):
        return [DeployError(name, 'not a table')]
    checks = {
        'run': _check_run(role.get('run')),
        'on': ''
        if _is_nonblank_text(role.get('on'))
        else 'a VM class is required',
        'share': _check_vm_count(role),
        'serves': _check_serves(role.get('serves', [])),
        'metrics': _check_metrics(role.get('metrics')),
    }
    return [
        DeployError(f'{name}.{field}', message)
        for field, message in checks.items()
        if message
    ]


def _check_run(command):
    words = command.split() if _is_nonblank_text(command) else []
    if not words:
        return 'a command is required'
    if words[1:2] == ['-m']:
        module = words[2] if len(words) > 2 else ''
        if not _is_module(module):
            return f'there is no module {module!r}'
    return ''


def _is_module(name):
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def _check_vm_count(role):
    share, count = role.get('share'), role.get('count')
    if (share is None) == (count is None):
        return 'exactly one of share and count is required'
    if share is not None:
        is_valid = _is_number(share) and 0 < share <= 1
        return '' if is_valid else 'must be above 0 and at most 1'
    is_valid = isinstance(count, int) and _is_number(count) and count > 0
    return '' if is_valid else 'count must be a positive integer'


def _check_serves(serves):
    is_valid = isinstance(serves, list) and all(
        isinstance(item, str) and item in _ALLOWED_SERVES for item in serves
    )
    return '' if is_valid else f'may list only {sorted(_ALLOWED_SERVES)}'


def _check_metrics(text):
    if text is None:
        return ''
    match = (
        _METRICS_ENDPOINT.fullmatch(text) if isinstance(text, str) else None
    )
    if match is None:
        return 'must have the form PORT/PATH'
    if int(match[1]) != boots.METRICS_PORT:
        return f'port must be {boots.METRICS_PORT}'
    return ''


def _check_vm_classes(roles):
    """Checks that the roles of each VM class are compatible."""
    errors = []
    for name in {role['on'] for role in roles.values()}:
        class_roles = [role for role in roles.values() if role['on'] == name]
        served = [
            item for role in class_roles for item in role.get('serves', [])
        ]
        if len(class_roles) > MAX_ROLES_PER_VM:
            errors.append(
                DeployError(name, f'has more than {MAX_ROLES_PER_VM} roles')
            )
        if len(served) > len(set(served)):
            errors.append(
                DeployError(name, 'two roles serve the same listener')
            )
    return errors


def _is_nonblank_text(value: object) -> bool:
    return isinstance(value, str) and bool(value.strip())


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
