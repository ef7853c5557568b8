"""Conversion of the platform's settings file."""

from __future__ import annotations

import json

import pytest

from lycheespar.errors import SettingsError
from lycheespar.platform.settings import (
    control_settings,
    load_settings,
    node_settings,
)

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


def _load(tmp_path, **changes):
    given = json.loads(json.dumps(GIVEN))
    for table, fields in changes.items():
        given[table] |= fields
    path = tmp_path / 'local.json'
    path.write_text(json.dumps(given))
    return load_settings(path)


def test_a_node_gets_its_addresses_and_seeds(tmp_path):
    settings = node_settings(_load(tmp_path))
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
    other = control_settings(_load(tmp_path, self=disk))
    first = control_settings(_load(tmp_path, self=seed))
    later = control_settings(
        _load(tmp_path, self=seed | {'bootstrap': False}),
    )
    assert not other.founding
    assert first.founding
    assert not later.founding
    assert first.name == '10.1.0.42:7382'
    assert first.least_voters == 5


def test_all_invalid_fields_are_reported(tmp_path):
    with pytest.raises(SettingsError) as caught:
        _load(
            tmp_path,
            self={'ip': None},
            network={'seed_nodes': ['nowhere'], 'internal_port_range': 'no'},
            platform={'heartbeat_interval': 'soon'},
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
        control_settings(_load(tmp_path))


def test_truncated_file_is_rejected(tmp_path):
    path = tmp_path / 'local.json'
    path.write_text(json.dumps(GIVEN)[:-20])
    with pytest.raises(SettingsError):
        load_settings(path)


def test_retry_settings_stay_below_the_bounds(tmp_path):
    bounds = {'retry_budget_ratio': 0.1, 'budget_extra_retries': 30}
    settings = node_settings(_load(tmp_path, terms={'bounds': bounds}))
    assert settings.most_retry_share < 0.1
    assert settings.saved_retries < 30


def test_invalid_retry_bounds_are_reported(tmp_path):
    bounds = {'retry_budget_ratio': 'much', 'budget_extra_retries': -1}
    with pytest.raises(SettingsError) as caught:
        _load(tmp_path, terms={'bounds': bounds})
    assert len(caught.value.problems) == 2


def test_retry_share_is_at_most_one(tmp_path):
    bounds = {'retry_budget_ratio': 3}
    settings = node_settings(_load(tmp_path, terms={'bounds': bounds}))
    assert settings.most_retry_share == 1
