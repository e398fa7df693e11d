"""Checks the file that tells the platform how to build and run the system.

The platform reads it only when it deploys, so that a mistake in it would
show on the machines first.
"""

import dataclasses
import importlib.util
import pathlib
import re
import tomllib

from citronweir.platform import _boot as boots

_SERVES = frozenset({'front', 'control'})
_METRICS = re.compile(r'(\d+)/\S+')
MAX_ROLES = 2  # roles of a machine (page of the platform on deployment)


@dataclasses.dataclass(frozen=True, slots=True)
class DeployError:
    """One field of the deploy file that cannot be used."""

    field: str
    message: str

    def __str__(self) -> str:
        return f'{self.field}: {self.message}'


def check_deploy(path: pathlib.Path) -> list[DeployError]:
    """Checks a deploy file.

    Args:
        path: The file.

    Returns:
        Everything that is wrong with it.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        return [DeployError(str(path), str(exc))]
    errors = []
    if not _is_text(raw.get('build')):
        errors.append(DeployError('build', 'no command'))
    roles = raw.get('roles')
    if not isinstance(roles, dict) or not roles:
        return [*errors, DeployError('roles', 'no role')]
    for name, role in roles.items():
        errors += _check_role(f'roles.{name}', role)
    return errors or _check_classes(roles)


def _check_role(name, role):
    if not isinstance(role, dict):
        return [DeployError(name, 'no table')]
    checks = {
        'run': _check_run(role.get('run')),
        'on': '' if _is_text(role.get('on')) else 'no class of machines',
        'share': _check_number(role),
        'serves': _check_serves(role.get('serves', [])),
        'metrics': _check_metrics(role.get('metrics')),
    }
    return [
        DeployError(f'{name}.{field}', message)
        for field, message in checks.items()
        if message
    ]


def _check_run(command):
    words = command.split() if _is_text(command) else []
    if not words:
        return 'no program'
    if words[1:2] == ['-m']:
        module = words[2] if len(words) > 2 else ''
        if not _is_module(module):
            return f'no module {module!r}'
    return ''


def _is_module(name):
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def _check_number(role):
    share, count = role.get('share'), role.get('count')
    if (share is None) == (count is None):
        return 'either share or count is needed'
    if share is not None:
        is_good = _is_number(share) and 0 < share <= 1
        return '' if is_good else 'not above 0 and up to 1'
    is_good = isinstance(count, int) and _is_number(count) and count > 0
    return '' if is_good else 'count is no number of machines'


def _check_serves(serves):
    is_good = isinstance(serves, list) and all(
        isinstance(item, str) and item in _SERVES for item in serves
    )
    return '' if is_good else f'not among {sorted(_SERVES)}'


def _check_metrics(text):
    if text is None:
        return ''
    match = _METRICS.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        return 'not PORT/PATH'
    if int(match[1]) != boots.METRICS_PORT:
        return f'nodes listen on {boots.METRICS_PORT}'
    return ''


def _check_classes(roles):
    """Checks what the roles of one class of machines say together."""
    errors = []
    for name in {role['on'] for role in roles.values()}:
        same = [role for role in roles.values() if role['on'] == name]
        served = [item for role in same for item in role.get('serves', [])]
        if len(same) > MAX_ROLES:
            errors.append(DeployError(name, f'more than {MAX_ROLES} roles'))
        if len(served) > len(set(served)):
            errors.append(DeployError(name, 'two roles serve the same'))
    return errors


def _is_text(value: object) -> bool:
    return isinstance(value, str) and bool(value.strip())


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
