"""Conversion of the platform's settings file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from lycheespar.errors import SettingsError
from lycheespar.platform.settings import control_settings, node_settings
from lycheespar.platform.settings_file import (
    load_control,
    load_gossip_seeds,
    load_node,
)
from lycheespar.tests.odd_values import UNKNOWN_VALUES, with_unknown_fields

# The file may hold numbers out of range where this project does not look.
FIELD_VALUES = (*UNKNOWN_VALUES, 10**400, float('inf'))
GIVEN = {
    'self': {
        'node_id': 'side-1',
        'ip': '10.1.0.38',
        'zone': 'ijmuiden',
        'bootstrap': True,
        'data_dir': None,
        'service': 'records',
        'something_new': 1,
    },
    'network': {
        'listen_addrs': {
            'outbound': '10.1.0.38:8147',
            'ready_addr': '10.1.0.38:8141',
            'control_plane': '10.1.0.38:8144',
        },
        'internal_port_range': [7380, 7395],
        'seed_nodes': ['10.1.0.42:8144', '10.2.0.44:8144'],
    },
    'platform': {'heartbeat_interval': '1500ms'},
    'terms': {
        'fault_tolerance': {'machines': 2},
        'bounds': {'grace_period': '6s'},
    },
}


def _node_settings(path):
    return node_settings(load_node(path))


def _control_settings(path):
    return control_settings(load_control(path))


def _settings_of_all_roles(path):
    return _node_settings(path).values, _control_settings(path).values


def _changed(tmp_path, **changes):
    given = json.loads(json.dumps(GIVEN))
    for table, fields in changes.items():
        given[table] |= fields
    return _write(tmp_path, given)


def test_a_node_gets_its_addresses_and_seeds(tmp_path):
    settings = _node_settings(_changed(tmp_path))
    assert str(settings.http) == '10.1.0.38:8147'
    assert str(settings.inner) == '10.1.0.38:7380'
    assert [str(seed) for seed in settings.seeds] == [
        '10.1.0.42:7381',
        '10.2.0.44:7381',
    ]
    assert [str(host) for host in settings.control.values()] == [
        '10.1.0.42:7382',
        '10.2.0.44:7382',
    ]
    assert settings.drain_s < 6


def test_only_a_seed_founds_a_group_and_only_at_the_first_start(tmp_path):
    disk = {'data_dir': '/data/x'}
    seed = disk | {'ip': '10.1.0.42'}
    other = _control_settings(_changed(tmp_path, self=disk))
    first = _control_settings(_changed(tmp_path, self=seed))
    later = _control_settings(
        _changed(tmp_path, self=seed | {'bootstrap': False}),
    )
    assert not other.founding
    assert first.founding
    assert not later.founding
    assert first.name == '10.1.0.42:7382'
    assert first.least_voters == 5


def test_all_invalid_fields_are_reported(tmp_path):
    with pytest.raises(SettingsError) as caught:
        _node_settings(
            _changed(
                tmp_path,
                self={'ip': None},
                network={
                    'seed_nodes': ['nowhere'],
                    'internal_port_range': 'no',
                },
                platform={'heartbeat_interval': 'soon'},
            )
        )
    reported = {problem.partition(':')[0] for problem in caught.value.problems}
    assert reported == {
        'self.ip',
        'network.seed_nodes[0]',
        'network.internal_port_range',
        'platform.heartbeat_interval',
    }


def test_a_control_host_needs_a_disk(tmp_path):
    with pytest.raises(SettingsError):
        _control_settings(_changed(tmp_path))


def test_truncated_file_is_rejected(tmp_path):
    path = tmp_path / 'local.json'
    path.write_text(json.dumps(GIVEN)[:-20])
    for load in (load_node, load_control, load_gossip_seeds):
        with pytest.raises(SettingsError):
            load(path)


def test_retry_settings_stay_below_the_bounds(tmp_path):
    bounds = {'retry_budget_ratio': 0.1, 'budget_extra_retries': 30}
    settings = _node_settings(_changed(tmp_path, terms={'bounds': bounds}))
    assert settings.most_retry_share < 0.1
    assert settings.saved_retries < 30


def test_invalid_retry_bounds_are_reported(tmp_path):
    bounds = {'retry_budget_ratio': 'much', 'budget_extra_retries': -1}
    with pytest.raises(SettingsError) as caught:
        _node_settings(_changed(tmp_path, terms={'bounds': bounds}))
    assert len(caught.value.problems) == 2


def test_retry_share_is_at_most_one(tmp_path):
    bounds = {'retry_budget_ratio': 3}
    settings = _node_settings(_changed(tmp_path, terms={'bounds': bounds}))
    assert settings.most_retry_share == 1


def _write(tmp_path: Path, given: Any) -> Path:
    path = tmp_path / 'local.json'
    path.write_text(json.dumps(given))
    return path


@pytest.mark.parametrize('value', FIELD_VALUES, ids=repr)
def test_an_unknown_field_at_any_depth_keeps_no_program_from_starting(
    tmp_path, value
):
    given = json.loads(json.dumps(GIVEN))
    given['self']['data_dir'] = '/data/x'
    expected = _settings_of_all_roles(_write(tmp_path, given))
    for changed in with_unknown_fields(given, value):
        assert _settings_of_all_roles(_write(tmp_path, changed)) == expected


@pytest.mark.parametrize('value', FIELD_VALUES, ids=repr)
@pytest.mark.parametrize(
    'field',
    [
        ('self', 'node_id'),
        ('self', 'service'),
        ('network', 'listen_addrs', 'outbound'),
        ('network', 'listen_addrs', 'ready_addr'),
        ('platform', 'heartbeat_interval'),
        ('terms', 'bounds', 'retry_budget_ratio'),
        ('terms', 'bounds', 'budget_extra_retries'),
        ('terms', 'bounds', 'quota_slack'),
    ],
    ids='.'.join,
)
def test_a_field_of_nodes_keeps_no_control_host_from_starting(
    tmp_path, field, value
):
    given = json.loads(json.dumps(GIVEN))
    given['self']['data_dir'] = '/data/x'
    expected = _control_settings(_write(tmp_path, given)).values
    *path, name = field
    table = given
    for key in path:
        table = table[key]
    table[name] = value
    assert _control_settings(_write(tmp_path, given)).values == expected


@pytest.mark.parametrize('value', FIELD_VALUES, ids=repr)
@pytest.mark.parametrize(
    ('table', 'name'),
    [('self', 'data_dir'), ('terms', 'fault_tolerance')],
)
def test_a_field_of_control_hosts_keeps_no_node_from_starting(
    tmp_path, table, name, value
):
    expected = _node_settings(_write(tmp_path, GIVEN)).values
    given = json.loads(json.dumps(GIVEN))
    given[table][name] = value
    assert _node_settings(_write(tmp_path, given)).values == expected


@pytest.mark.parametrize('empty', ['', None, [], {}], ids=repr)
@pytest.mark.parametrize(
    'name',
    [
        'grace_period',
        'retry_budget_ratio',
        'budget_extra_retries',
        'exposure_share',
        'quota_slack',
    ],
)
def test_an_empty_bound_is_read_as_not_given(tmp_path, name, empty):
    given = json.loads(json.dumps(GIVEN))
    given['self']['data_dir'] = '/data/x'
    expected = _settings_of_all_roles(_write(tmp_path, given))
    given['terms']['bounds'][name] = empty
    assert _settings_of_all_roles(_write(tmp_path, given)) == expected


def test_new_seeds_are_read_beside_fields_that_are_wrong(tmp_path):
    given = json.loads(json.dumps(GIVEN))
    given['self'] = given['terms'] = given['network']['listen_addrs'] = ''
    given['network']['seed_nodes'] = ['10.9.0.1:8144']
    seeds = load_gossip_seeds(_write(tmp_path, given))
    assert [str(seed) for seed in seeds] == ['10.9.0.1:7381']


@pytest.mark.parametrize(
    ('table', 'name', 'value', 'path'),
    [
        ('network', 'listen_addrs', {}, 'network.listen_addrs.outbound'),
        (
            'network',
            'listen_addrs',
            GIVEN['network']['listen_addrs'] | {'outbound': ''},
            'network.listen_addrs.outbound',
        ),
        ('network', 'internal_port_range', [True, 9], 'internal_port_range'),
        ('self', 'service', 7, 'self.service'),
        ('terms', 'bounds', {'retry_budget_ratio': True}, 'retry_budget_ratio'),
        ('terms', 'bounds', {'quota_slack': 10**400}, 'quota_slack'),
        ('terms', 'bounds', {'quota_slack': float('nan')}, 'quota_slack'),
    ],
)
def test_a_used_field_that_is_wrong_is_reported_with_its_path(
    tmp_path, table, name, value, path
):
    given = json.loads(json.dumps(GIVEN))
    given[table][name] = value
    with pytest.raises(SettingsError) as caught:
        _node_settings(_write(tmp_path, given))
    assert path in caught.value.detail
