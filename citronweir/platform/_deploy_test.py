"""Tests of the check of the deploy file."""

import pathlib

import pytest

from citronweir import platform

OWN = pathlib.Path(__file__).parents[2] / 'deploy' / 'system.toml'
GOOD = """
build = "true"
[roles.query]
run = "python3 -m citronweir.programs.front"
on = "front"
share = 1.0
serves = ["front"]
metrics = "9464/metrics"
"""


def test_own_file_can_be_used():
    """Guards a deployment against the file in the repository."""
    assert platform.check_deploy(OWN) == []


@pytest.mark.parametrize(
    'old, new, field',
    [
        ('build = "true"', '', 'build'),
        ('build = "true"', 'build = ""', 'build'),
        ('programs.front', 'programs.nowhere', 'roles.query.run'),
        (' -m citronweir.programs.front', ' -m', 'roles.query.run'),
        ('python3 -m citronweir.programs.front', '', 'roles.query.run'),
        ('on = "front"', '', 'roles.query.on'),
        ('share = 1.0', '', 'roles.query.share'),
        ('share = 1.0', 'share = 0', 'roles.query.share'),
        ('share = 1.0', 'share = 1.1', 'roles.query.share'),
        ('share = 1.0', 'share = true', 'roles.query.share'),
        ('share = 1.0', 'share = 1.0\ncount = 1', 'roles.query.share'),
        ('share = 1.0', 'count = 0', 'roles.query.share'),
        ('["front"]', '["back"]', 'roles.query.serves'),
        ('["front"]', '"front"', 'roles.query.serves'),
        ('["front"]', '[["front"]]', 'roles.query.serves'),
        ('["front"]', '["front", "front"]', 'front'),
        ('9464/metrics', 'metrics', 'roles.query.metrics'),
        ('9464/metrics', '9465/metrics', 'roles.query.metrics'),
        ('[roles.query]', '[roles]', 'roles.run'),
        ('[roles.query]', '[jobs.query]', 'roles'),
        ('build', 'build build', ''),
    ],
)
def test_mistake_is_named(old, new, field, tmp_path):
    """Guards a deployment against a file that only the platform reads."""
    path = tmp_path / 'system.toml'
    path.write_text(GOOD.replace(old, new, 1))
    errors = platform.check_deploy(path)
    assert errors
    assert errors[0].field == (field or str(path))


def test_roles_of_one_class_serve_different_callers(tmp_path):
    """Guards callers against two roles that the platform refuses to run."""
    path = tmp_path / 'system.toml'
    role = GOOD.partition('[roles.query]')[2]
    path.write_text(f'{GOOD}[roles.second]{role}')
    assert [error.field for error in platform.check_deploy(path)] == ['front']
