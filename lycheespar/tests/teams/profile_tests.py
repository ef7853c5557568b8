"""Teams of a plan: validation and lookup by key."""

from __future__ import annotations

import pytest

from lycheespar.configuration.changes import apply, find_change_problems
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.routes import (
    PatchRoutePlan,
    PutRoutePlan,
    RoutePlan,
)
from lycheespar.teams.key_table import KeyTable
from lycheespar.teams.profile import TeamProfile

FIRST = TeamProfile('first', ('key-a', 'key-b'), calls_per_s=5, burst=2)
SECOND = TeamProfile('second', ('key-c',))


def _plan(*teams: TeamProfile) -> PutRoutePlan:
    return PutRoutePlan(
        RoutePlan(1, teams={team.name: team for team in teams}), 0
    )


def _patched(configuration, label, **changes):
    change = PatchRoutePlan(label, configuration.plan.label, **changes)
    return apply(configuration, change)


def test_each_key_finds_its_team():
    table = KeyTable((FIRST, SECOND))
    found = [table.find(key) for key in ('key-a', 'key-b', 'key-c', 'other')]
    assert found == [FIRST, FIRST, SECOND, None]


def test_keys_are_required_only_if_there_are_teams():
    assert not KeyTable().requires_keys
    assert KeyTable((TeamProfile('no-keys'),)).requires_keys


@pytest.mark.parametrize(
    'wrong',
    [
        TeamProfile('other', ('key-a',)),
        TeamProfile('other', ('key-d',), calls_per_s=-1),
        TeamProfile('other', ('key-d',), burst=float('nan')),
    ],
)
def test_an_invalid_team_is_refused_without_naming_its_keys(wrong):
    problems = find_change_problems(Configuration(), _plan(FIRST, wrong))
    assert problems
    assert not any('key-' in problem for problem in problems)


def test_a_patch_that_gives_a_second_team_the_same_key_is_invalid():
    configuration = apply(Configuration(), _plan(FIRST))
    thief = TeamProfile('thief', ('key-b',))
    change = PatchRoutePlan(2, 1, teams=(thief,))
    assert find_change_problems(configuration, change)


def test_a_patch_replaces_keys_and_removes_teams():
    configuration = apply(Configuration(), _plan(FIRST, SECOND))
    shortened = TeamProfile('first', ('key-b',))
    configuration = _patched(configuration, 2, teams=(shortened,))
    assert configuration.plan.teams == {'first': shortened, 'second': SECOND}
    configuration = _patched(configuration, 3, removed_teams=('second',))
    assert configuration.plan.teams == {'first': shortened}


def test_removing_an_unknown_team_is_invalid():
    configuration = apply(Configuration(), _plan(FIRST))
    change = PatchRoutePlan(2, 1, removed_teams=('second',))
    assert find_change_problems(configuration, change)
