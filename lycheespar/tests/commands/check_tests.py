"""Tests of the commands that need no running process."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from lycheespar.__main__ import cli
from lycheespar.tests.config.settings_tests import CONTROL, NODE


@pytest.fixture
def run(tmp_path):
    """Run ``check`` on settings."""

    def check(given, *options: str):
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(given))
        return CliRunner().invoke(cli, ['check', str(path), *options])

    return check


def test_valid_settings_exit_with_0(run):
    given = NODE | {'seeds': ['127.0.0.1:1'], 'data_folder': 'data'}
    done = run(given)
    assert (done.exit_code, done.output) == (0, '')


def test_invalid_settings_exit_with_2_and_name_each_key(run):
    done = run({'name': 'node-1', 'colour': 'red'})
    assert done.exit_code == 2
    assert 'error: colour: there is no such setting' in done.output
    assert 'error: http: is missing' in done.output


def test_warnings_are_errors_only_in_strict_mode(run):
    assert run(CONTROL).exit_code == 0
    done = run(CONTROL, '--strict')
    assert done.exit_code == 2
    assert 'warning: peers: fewer than 3 bear no loss' in done.output


def test_the_role_is_found_by_the_keys(run):
    done = run(CONTROL, '--json')
    assert json.loads(done.output)['role'] == 'control'


def test_a_settings_file_that_is_missing_is_a_coded_error():
    done = CliRunner().invoke(cli, ['node', 'missing.json'])
    assert done.exit_code == 2
    assert done.output.startswith('settings_invalid: missing.json')


@pytest.mark.parametrize('role', ['hosted-node', 'hosted-control'])
def test_settings_of_the_platform_are_checked_too(run, role):
    done = run({'self': {}, 'network': {}}, '--role', role)
    assert done.exit_code == 2
    assert 'error: self.ip: must be a text' in done.output
    assert 'error: network.seed_nodes: must be a list' in done.output


def test_the_version_is_printed():
    done = CliRunner().invoke(cli, ['version', '--json'])
    assert json.loads(done.output)['protocol'] == 1
