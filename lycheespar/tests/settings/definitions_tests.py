"""Tests of the settings of nodes and control hosts."""

from __future__ import annotations

import pytest

from lycheespar.errors import SettingsError
from lycheespar.settings.definitions import (
    ControlSettings,
    NodeSettings,
    list_options,
)
from lycheespar.settings.options import Address

NODE = {
    'name': 'node-1',
    'data_centre': 'rotterdam',
    'http': '127.0.0.1:8080',
    'announce': '127.0.0.1:8081',
    'inner': '127.0.0.1:8082',
    'gossip': '127.0.0.1:8083',
    'control': {'control-1': '127.0.0.1:9000'},
}
CONTROL = {
    'name': 'control-1',
    'data_centre': 'rotterdam',
    'http': '127.0.0.1:9001',
    'peers': {'control-1': '127.0.0.1:9000'},
    'data_folder': 'data',
}


def _problems(schema, given) -> tuple[str, ...]:
    with pytest.raises(SettingsError) as caught:
        schema.parse(given)
    return caught.value.problems


def test_missing_settings_have_their_defaults():
    settings = NodeSettings.parse(NODE)
    assert settings.http == Address('127.0.0.1', 8080)
    assert settings.drain_s == 30


def test_all_problems_are_reported_at_once(snapshot):
    given = NODE | {
        'http': 'localhost:80',
        'inner': '127.0.0.1:99999',
        'drain_s': 'long',
        'seeds': '127.0.0.1:1',
        'serve_stale': 1,
        'log_level': 'LOUD',
        'colour': 'red',
    }
    del given['name']
    assert _problems(NodeSettings, given) == snapshot


def test_contradictions_between_keys_are_reported(snapshot):
    assert _problems(NodeSettings, NODE | {'trace_share': 1}) == snapshot
    given = NODE | {'advertise_inner': '127.0.0.2:1'}
    assert _problems(NodeSettings, given) == snapshot
    given = CONTROL | {'name': 'control-9', 'heartbeat_s': 5}
    assert _problems(ControlSettings, given) == snapshot


def test_a_settings_file_may_contain_comments(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('// A node.\n{"name": 1, /* one */}')
    problems = _problems_of_file(path)
    assert 'name: must be a non-empty string' in problems


def test_duplicate_keys_are_refused(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('{"name": "a", "name": "b"}')
    (problem,) = _problems_of_file(path)
    assert 'name' in problem


def test_the_error_for_invalid_json_names_the_file(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('{"name": ')
    (problem,) = _problems_of_file(path)
    assert str(path) in problem


def _problems_of_file(path) -> tuple[str, ...]:
    with pytest.raises(SettingsError) as caught:
        NodeSettings.load(path)
    return caught.value.problems


@pytest.mark.parametrize('schema', [NodeSettings, ControlSettings])
def test_each_option_has_a_description(schema):
    assert all(option.doc.endswith('.') for _, option in list_options(schema))
