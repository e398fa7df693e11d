"""Tests of the check of the deploy file."""

import pathlib

import pytest

from citronweir import platform

OWN_DEPLOY_FILE = pathlib.Path(__file__).parents[2] / 'deploy' / 'system.toml'
VALID_DEPLOY_FILE = """
build = "true"
[roles.query]
run = "python3 -m citronweir.programs.front"
on = "front"
share = 1.0
serves = ["front"]
metrics = "9464/metrics"
"""


def test_own_deploy_file_is_valid():
    """Guards against an invalid deploy file in the repository."""
    assert platform.check_deploy(OWN_DEPLOY_FILE) == []


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
def test_invalid_field_is_reported(old, new, field, tmp_path):
    """Guards against errors that first appear during a deployment."""
    path = tmp_path / 'system.toml'
    path.write_text(VALID_DEPLOY_FILE.replace(old, new, 1))
    errors = platform.check_deploy(path)
    assert errors
    assert errors[0].field == (field or str(path))


def test_roles_of_one_class_must_not_serve_the_same_listener(tmp_path):
    """Guards against two roles that the platform refuses to run."""
    path = tmp_path / 'system.toml'
    role = VALID_DEPLOY_FILE.partition('[roles.query]')[2]
    path.write_text(f'{VALID_DEPLOY_FILE}[roles.second]{role}')
    assert [error.field for error in platform.check_deploy(path)] == ['front']
