"""Conversion of the platform's configuration documents."""

from __future__ import annotations

import json

import pytest

from lycheespar.configuration.changes import apply
from lycheespar.configuration.model import Configuration
from lycheespar.errors import ChangeInvalidError
from lycheespar.platform.documents import (
    decode_patch,
    decode_put,
    decode_rollout,
    encode_plan,
)
from lycheespar.rollouts.order import StartRollout


def route(name='r-1', **spec):
    """Build a route in the platform's format."""
    return {
        'resource_type': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': 'a.example',
            'path_prefix': f'/{name}/',
            'route_type': 'idempotent',
            'timeout': '1200ms',
            'target_latency': '0.2s',
            'priority': 2,
            'service': 'records',
            'max_attempts': 2,
        }
        | spec,
    }


def service(name='records', **spec):
    """Build a service in the platform's format."""
    return {
        'resource_type': 'services',
        'metadata': {'name': name},
        'spec': {
            'health_check_path': '/health',
            'max_connections': 240,
            'protocol': 'h1',
            'tls': False,
            'cold_start': '3s',
            'coldstart_per_s': 35.0,
        }
        | spec,
    }


def tenant(name='hule', **spec):
    """Build a tenant in the platform's format."""
    return {
        'resource_type': 'tenants',
        'metadata': {'name': name},
        'spec': {
            'api_keys': ['irth5', 'dded'],
            'priority': 1,
            'rate_per_s': 116,
            'burst': 58.5,
        }
        | spec,
    }


LIMITS = {
    'resource_type': 'limits',
    'metadata': {},
    'spec': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
}


def document(version='0000000c', base='00000000', *items):
    """Build a document with a complete configuration."""
    resources = items or (route(), service(), LIMITS)
    return {
        'version': version,
        'base_version': base,
        'resources': list(resources),
    }


def _body(given):
    return json.dumps(given).encode()


def test_configuration_is_read_back_as_it_was_sent():
    sent = document()
    configuration = apply(Configuration(), decode_put(_body(sent)))
    read = json.loads(encode_plan(configuration.plan))
    assert read['version'] == '0000000c'
    assert read['resources'] == sent['resources']


def test_patched_configuration_is_read_back_with_all_resources():
    first = apply(Configuration(), decode_put(_body(document())))
    changed = route(timeout='900ms', something_new=[1])
    patch = {
        'version': '0000000e',
        'base_version': '0000000c',
        'upsert': {'resources': [changed, route('r-2')]},
        'remove': {'routes': []},
    }
    second = apply(first, decode_patch(_body(patch)))
    read = json.loads(encode_plan(second.plan))
    assert read['version'] == '0000000e'
    assert read['resources'] == [changed, route('r-2'), service(), LIMITS]


def test_fields_are_converted():
    weighted = route(
        weighted_clusters=[
            {'service': 'records', 'weight': 90},
            {'service': 'other', 'weight': 10},
        ],
        route_type='non_idempotent',
    )
    items = (weighted, service(), service('other'), LIMITS)
    plan = decode_put(_body(document('0000000c', '00000000', *items))).plan
    found = plan.routes['r-1']
    assert (found.deadline_ms, found.objective_ms) == (1200, 200)
    assert not found.idempotent
    assert [part.weight for part in found.destinations] == [90, 10]
    assert plan.services['other'].cold_per_s == 35
    assert plan.limits.idle_timeout_s == 15


@pytest.mark.parametrize(
    'item',
    [
        route(route_type='sometimes'),
        route(timeout='soon'),
        route(timeout=1200),
        route(host=None),
        route(priority='2'),
        route(path_prefix='a/'),
        service(max_connections='many'),
        {'resource_type': 'unknown', 'metadata': {'name': 'x'}, 'spec': {}},
        {'resource_type': 'routes', 'metadata': {'name': 'x'}},
        'text',
    ],
)
def test_invalid_resource_makes_the_configuration_invalid(item):
    with pytest.raises(ChangeInvalidError):
        decode_put(_body(document('0000000c', '00000000', item, service())))


@pytest.mark.parametrize('cut', [1, 20, 200])
def test_truncated_configuration_is_invalid(cut):
    with pytest.raises(ChangeInvalidError):
        decode_put(_body(document())[:-cut])


@pytest.mark.parametrize('version', ['c', 12, None, '0000000g', '000000000c'])
def test_malformed_version_is_invalid(version):
    with pytest.raises(ChangeInvalidError):
        decode_put(_body(document(version)))


def test_tenants_become_teams_and_are_read_back_as_they_were_sent():
    sent = document('0000000c', '00000000', route(), service(), tenant())
    configuration = apply(Configuration(), decode_put(_body(sent)))
    team = configuration.plan.teams['hule']
    assert team.keys == ('irth5', 'dded')
    assert (team.priority, team.calls_per_s, team.burst) == (1, 116, 58.5)
    read = json.loads(encode_plan(configuration.plan))
    assert read['resources'] == sent['resources']


def test_a_patch_removes_tenants():
    sent = document('0000000c', '00000000', route(), service(), tenant())
    configuration = apply(Configuration(), decode_put(_body(sent)))
    patch = {
        'version': '0000000d',
        'base_version': '0000000c',
        'upsert': {'resources': [tenant('other', api_keys=['new'])]},
        'remove': {'tenants': ['hule']},
    }
    configuration = apply(configuration, decode_patch(_body(patch)))
    assert list(configuration.plan.teams) == ['other']


def test_two_tenants_with_one_key_are_invalid():
    sent = document('0000000c', '00000000', tenant(), tenant('other'))
    with pytest.raises(ChangeInvalidError):
        apply(Configuration(), decode_put(_body(sent)))


@pytest.mark.parametrize(
    'spec',
    [
        {'api_keys': 'secret'},
        {'api_keys': ['secret', 5]},
        {'rate_per_s': '5'},
        {'rate_per_s': -1},
        {'priority': 1.5},
    ],
)
def test_an_invalid_tenant_is_refused_without_naming_its_keys(spec):
    sent = document('0000000c', '00000000', tenant(**spec))
    with pytest.raises(ChangeInvalidError) as caught:
        apply(Configuration(), decode_put(_body(sent)))
    assert 'secret' not in str(caught.value)


def test_uploads_run_at_most_once():
    sent = document(
        '0000000c', '00000000', route(route_type='upload'), service()
    )
    plan = apply(Configuration(), decode_put(_body(sent))).plan
    assert not plan.routes['r-1'].idempotent


def test_public_routes_are_marked():
    sent = document('0000000c', '00000000', route(public=True), service())
    plan = apply(Configuration(), decode_put(_body(sent))).plan
    assert plan.routes['r-1'].public


def test_an_order_of_a_rollout_is_decoded():
    order = {'service': 'records', 'target_version': 'v2', 'duration': '12s'}
    assert decode_rollout(_body(order)) == StartRollout('records', 'v2', 12)


@pytest.mark.parametrize(
    'wrong', [{'duration': 'soon'}, {'service': 5}, {'target_version': None}]
)
def test_an_order_that_cannot_be_read_is_refused(wrong):
    order = {'service': 'records', 'target_version': 'v2', 'duration': '12s'}
    with pytest.raises(ChangeInvalidError):
        decode_rollout(_body(order | wrong))
