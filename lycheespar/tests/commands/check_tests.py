"""Tests of the `check` and `version` commands and of settings errors."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from lycheespar.__main__ import cli
from lycheespar.tests.settings.definitions_tests import CONTROL, NODE


@pytest.fixture
def run(tmp_path):
    """Return a function that runs `check` on a file with given settings."""

    def check(given, *options: str):
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(given))
        return CliRunner().invoke(cli, ['check', str(path), *options])

    return check


def test_valid_settings_exit_with_0(run):
    given = NODE | {'seeds': ['127.0.0.1:1'], 'data_folder': 'data'}
    result = run(given)
    assert (result.exit_code, result.output) == (0, '')


def test_invalid_settings_exit_with_2_and_name_each_key(run):
    result = run({'name': 'node-1', 'colour': 'red'})
    assert result.exit_code == 2
    assert 'error: colour: there is no such setting' in result.output
    assert 'error: http: is missing' in result.output


def test_warnings_are_errors_only_in_strict_mode(run):
    assert run(CONTROL).exit_code == 0
    result = run(CONTROL, '--strict')
    assert result.exit_code == 2
    assert (
        'warning: peers: fewer than 3 hosts tolerate no failure'
        in result.output
    )


def test_the_role_is_detected_from_the_keys(run):
    result = run(CONTROL, '--json')
    assert json.loads(result.output)['role'] == 'control'


def test_a_missing_settings_file_gives_an_error_code():
    result = CliRunner().invoke(cli, ['node', 'missing.json'])
    assert result.exit_code == 2
    assert result.output.startswith('settings_invalid: missing.json')


@pytest.mark.parametrize('role', ['hosted-node', 'hosted-control'])
def test_platform_settings_are_checked(run, role):
    result = run({'self': {}, 'network': {}}, '--role', role)
    assert result.exit_code == 2
    assert 'error: self.ip: must be a non-empty string' in (result.output)
    assert 'error: network.seed_nodes: must be a list' in result.output


def test_the_version_is_printed():
    result = CliRunner().invoke(cli, ['version', '--json'])
    assert json.loads(result.output)['protocol'] == 1
