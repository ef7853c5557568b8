"""Tests of route plans: validation, changes and route lookup."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from lycheespar.configuration.changes import apply
from lycheespar.configuration.model import Configuration, resolve_services
from lycheespar.configuration.route_table import RouteTable
from lycheespar.configuration.routes import (
    Destination,
    HostRoute,
    PatchRoutePlan,
    PutRoutePlan,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.errors import ChangeInvalidError

ROUTE = HostRoute(
    'records',
    'a.example',
    '/records/',
    destinations=(Destination('records'),),
)
SERVICE = ServiceProfile('records', '/load', 240, 3, 35)


def plan(label=1, *routes):
    """Build a plan with one service and the given routes."""
    plan_routes = routes or (ROUTE,)
    return RoutePlan(
        label,
        {route.name: route for route in plan_routes},
        {SERVICE.name: SERVICE},
    )


def test_put_replaces_the_whole_plan():
    first = apply(Configuration(), PutRoutePlan(plan(5), 0))
    second = apply(first, PutRoutePlan(plan(9), 5))
    assert (second.revision, second.plan.label) == (2, 9)


def test_patch_adds_replaces_and_removes_routes():
    first = apply(Configuration(), PutRoutePlan(plan(5), 0))
    added = replace(ROUTE, name='more', path_prefix='/more/')
    slower = replace(ROUTE, deadline_ms=900)
    second = apply(first, PatchRoutePlan(6, 5, (slower, added)))
    third = apply(second, PatchRoutePlan(8, 6, removed_routes=('more',)))
    assert list(second.plan.routes) == ['records', 'more']
    assert third.plan.routes == {'records': slower}


@pytest.mark.parametrize(
    'route',
    [
        replace(ROUTE, host=''),
        replace(ROUTE, deadline_ms=600_001),
        replace(ROUTE, objective_ms=ROUTE.deadline_ms + 60_000),
        replace(ROUTE, destinations=(Destination('unknown'),)),
        replace(ROUTE, destinations=(Destination('records', -1),)),
        replace(ROUTE, destinations=()),
    ],
)
def test_a_plan_with_an_invalid_route_is_refused(route):
    with pytest.raises(ChangeInvalidError):
        apply(Configuration(), PutRoutePlan(plan(1, route), 0))


def test_a_label_that_does_not_increase_is_refused():
    first = apply(Configuration(), PutRoutePlan(plan(5), 0))
    with pytest.raises(ChangeInvalidError):
        apply(first, PutRoutePlan(plan(5), 5))


def test_removal_of_a_service_that_a_route_uses_is_refused():
    first = apply(Configuration(), PutRoutePlan(plan(5), 0))
    with pytest.raises(ChangeInvalidError):
        apply(first, PatchRoutePlan(6, 5, removed_services=('records',)))


def test_services_of_a_plan_are_resolved():
    first = apply(Configuration(), PutRoutePlan(plan(5), 0))
    service = resolve_services(first)['records']
    assert service.load_path == '/load'
    assert service.parameters.cold_per_s == 35


def test_the_route_with_the_longest_prefix_is_found():
    inner = replace(ROUTE, name='inner', path_prefix='/records/old/')
    table = RouteTable((ROUTE, inner))
    assert table.find('A.example:80', '/records/new/1').name == 'records'
    assert table.find('a.example', '/records/old/1?x=/').name == 'inner'
    assert table.find('a.example', '/records') is None
    assert table.find('b.example', '/records/1') is None
