"""Calls built for requests that match the routes of a plan."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp.test_utils import make_mocked_request
from msgspec.structs import replace

from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import (
    CallerLimits,
    Destination,
    HostRoute,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.configuration.stamp import Stamp
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    NoTargetError,
    StaleConfigurationError,
    UnknownKeyError,
    UnknownServiceError,
)
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.request import CallerRequest
from lycheespar.profile import HeaderProfile
from lycheespar.teams.profile import TeamProfile

PROFILE = HeaderProfile(deadline='X-Left-Ms', caller_service='X-Caller')
ROUTE = HostRoute(
    'records',
    'a.example',
    '/records/',
    idempotent=True,
    deadline_ms=800,
    objective_ms=200,
    priority=1,
    destinations=(Destination('records'),),
    max_attempts=2,
)


def _view(*routes: HostRoute) -> ConfigurationView:
    plan = RoutePlan(
        7,
        {route.name: route for route in routes},
        {'records': ServiceProfile('records')},
        CallerLimits(max_body_bytes=100),
    )
    return ConfigurationView(Configuration(1, plan=plan))


async def _build_call(
    view, path='/records/1?x=%2F', host='a.example', **headers
):
    mocked = make_mocked_request('GET', path, {'Host': host} | headers)
    loop = asyncio.get_running_loop()
    request = CallerRequest(
        mocked._message,
        mocked.content,
        mocked.protocol,
        mocked.writer,
        mocked.task,
        loop,
    )
    request.read_at = loop.time()
    builder = CallBuilder(view, 1000, PROFILE, 'desk')
    return await builder.build_call(request)


async def test_route_determines_the_call():
    call = await _build_call(_view(ROUTE))
    assert call.service == 'records'
    assert call.path == '/records/1?x=%2F'
    assert call.request_class == 'records'
    assert call.max_attempts == 2
    assert call.idempotent


async def test_caller_cannot_forge_its_service():
    call = await _build_call(_view(ROUTE), **{'x-caller': 'forged'})
    services = [
        text for name, text in call.headers if name.lower() == 'x-caller'
    ]
    assert services == ['desk']


@pytest.mark.parametrize(
    ('header_ms', 'expected_ms'), [('300', 300), ('5000', 800)]
)
async def test_shorter_of_header_and_route_deadline_applies(
    header_ms, expected_ms
):
    call = await _build_call(_view(ROUTE), **{'X-Left-Ms': header_ms})
    left_ms = (call.deadline - asyncio.get_running_loop().time()) * 1000
    assert expected_ms - 100 < left_ms <= expected_ms


async def test_request_without_any_configuration_is_refused_as_stale():
    with pytest.raises(StaleConfigurationError):
        await _build_call(ConfigurationView(Configuration()))


async def test_path_without_a_route_is_unknown():
    with pytest.raises(UnknownServiceError):
        await _build_call(_view(ROUTE), '/other/1')


async def test_host_without_a_dot_is_unknown():
    with pytest.raises(UnknownServiceError):
        await _build_call(_view(ROUTE), host='localhost')


async def test_unknown_route_is_refused_as_stale_while_the_node_is_behind():
    view = _view(ROUTE)
    view.accept_stamp(Stamp(1, 2, 1, 0))
    with pytest.raises(StaleConfigurationError):
        await _build_call(view, '/other/1')


TEAM = TeamProfile('hule', ('key-a',), priority=0)


def _team_view(route=ROUTE, *teams):
    plan = RoutePlan(
        7,
        {route.name: route},
        {'records': ServiceProfile('records')},
        teams={team.name: team for team in teams or (TEAM,)},
    )
    return ConfigurationView(Configuration(1, plan=plan))


def _values(call, name):
    return [text for key, text in call.headers if key.lower() == name]


async def test_target_gets_the_team_of_the_key_and_not_the_key():
    call = await _build_call(
        _team_view(), **{'X-Team-Key': 'key-a', 'x-team': 'forged'}
    )
    assert _values(call, 'x-team') == ['hule']
    assert not any('key-a' in text for _, text in call.headers)


@pytest.mark.parametrize('headers', [{}, {'X-Team-Key': 'other'}])
async def test_a_request_without_a_known_key_is_not_authorized(headers):
    with pytest.raises(UnknownKeyError) as caught:
        await _build_call(_team_view(), **headers)
    assert caught.value.status == 401


async def test_an_unknown_key_is_refused_as_stale_while_the_node_is_behind():
    view = _team_view()
    view.accept_stamp(Stamp(1, 2, 1, 0))
    with pytest.raises(StaleConfigurationError):
        await _build_call(view, **{'X-Team-Key': 'other'})


async def test_a_public_route_needs_no_key_and_hides_forged_teams_and_keys():
    view = _team_view(replace(ROUTE, public=True))
    call = await _build_call(view, **{'X-Team-Key': 'other', 'X-Team': 'no'})
    assert not _values(call, 'x-team')
    assert not _values(call, 'x-team-key')


async def test_without_teams_no_key_is_needed():
    call = await _build_call(_view(ROUTE), **{'X-Team': 'kept'})
    assert _values(call, 'x-team') == ['kept']


@pytest.mark.parametrize(
    ('priority', 'weight'), [(None, 0.5), (0, 1), (3, 0.25), (-1, 1)]
)
async def test_priority_of_the_team_goes_before_that_of_the_route(
    priority, weight
):
    view = _team_view(ROUTE, replace(TEAM, priority=priority))
    call = await _build_call(view, **{'X-Team-Key': 'key-a'})
    assert call.weight == weight


async def test_route_with_only_zero_weights_has_no_target():
    route = replace(ROUTE, destinations=(Destination('records', 0),))
    with pytest.raises(NoTargetError):
        await _build_call(_view(route))
