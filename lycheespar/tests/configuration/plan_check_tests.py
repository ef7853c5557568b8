"""Checks of a plan before it is sent."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from lycheespar.configuration.plan_check import check_plan, findings
from lycheespar.configuration.routes import (
    CallerLimits,
    Destination,
    HostRoute,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.teams.profile import TeamProfile

ROUTE = HostRoute(
    'r-1', 'a.example', '/a/', True, destinations=(Destination('records'),)
)
TEAM = TeamProfile('hule', ('secret',), calls_per_s=5, burst=5)
PLAN = RoutePlan(
    2,
    {'r-1': ROUTE},
    {'records': ServiceProfile('records')},
    teams={'hule': TEAM},
)


def _with_route(**changes):
    route = replace(ROUTE, name='r-2', **{'path_prefix': '/b/'} | changes)
    return replace(PLAN, routes={'r-1': ROUTE, 'r-2': route})


def _with_team(**changes):
    return replace(PLAN, teams={'hule': replace(TEAM, **changes)})


def test_a_sound_plan_has_no_findings():
    report = check_plan(PLAN, replace(PLAN, label=1))
    assert report.is_clean
    assert not list(findings(report))


@pytest.mark.parametrize(
    'plan',
    [
        _with_route(destinations=(Destination('unknown'),)),
        _with_route(deadline_ms=0),
        replace(PLAN, label=1),
    ],
)
def test_what_control_hosts_would_refuse_is_an_error(plan):
    assert check_plan(plan, replace(PLAN, label=1)).errors


@pytest.mark.parametrize(
    ('plan', 'found'),
    [
        (_with_route(path_prefix='/a/', host='A.example'), 'matches first'),
        (
            _with_route(destinations=(Destination('records', 0),)),
            'all weights are 0',
        ),
        (
            _with_route(
                destinations=(Destination('records'), Destination('other', 0))
            ),
            "the weight of 'other' is 0",
        ),
        (
            replace(PLAN, services=PLAN.services | {'x': ServiceProfile('x')}),
            'services.x: no route',
        ),
        (_with_team(keys=()), 'teams.hule: has no key'),
    ],
)
def test_entries_that_can_never_match_are_found(plan, found):
    (line,) = check_plan(plan, RoutePlan()).unreachable
    assert found in line


@pytest.mark.parametrize(
    ('plan', 'found'),
    [
        (_with_route(objective_ms=3000, deadline_ms=2000), 'objective_ms 3000'),
        (_with_route(idempotent=False, max_attempts=2), 'max_attempts is 2'),
        (_with_team(burst=0.5), 'below one call'),
        (_with_team(calls_per_s=0), 'no effect without calls_per_s'),
        (
            replace(
                PLAN,
                services={'records': ServiceProfile('records', cold_start_s=3)},
            ),
            'needs cold_per_s',
        ),
        (
            replace(
                PLAN,
                limits=CallerLimits(header_timeout_s=5, idle_timeout_s=2),
            ),
            'below header_timeout_s',
        ),
    ],
)
def test_limits_that_contradict_each_other_are_found(plan, found):
    (line,) = check_plan(plan, RoutePlan()).contradictions
    assert found in line


def test_differences_from_the_plan_in_force_are_listed_without_keys():
    changed = replace(
        _with_route(),
        teams={'hule': replace(TEAM, keys=('new', 'newer'), calls_per_s=9)},
        limits=CallerLimits(max_body_bytes=7),
    )
    del changed.routes['r-1']
    report = check_plan(changed, replace(PLAN, label=1))
    assert report.differences == (
        'routes.r-1: removed',
        'routes.r-2: added',
        'teams.hule.calls_per_s: 5 -> 9',
        'teams.hule.keys: 2 added, 1 removed',
        'limits.max_body_bytes: 0 -> 7',
    )
