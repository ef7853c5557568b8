"""Teams of a low priority while urgent teams fill the room."""

from __future__ import annotations

import pytest

from lycheespar.quotas import dispatch
from lycheespar.quotas.fair_share import RunShare, is_disadvantaged
from lycheespar.teams.profile import TeamProfile
from lycheespar.tests.quotas.fleet import Fleet

NODES = 78
# Calls per second for which the targets have room.
ROOM_PER_S = 200
# Operators tolerate a team that is served a quarter as often as all.
MIN_PART = 0.25
URGENT = TeamProfile('urgent', ('u',), 0, calls_per_s=500, burst=500)
PATIENT = TeamProfile('patient', ('p',), 2, calls_per_s=100, burst=100)
SMALL = TeamProfile('small', ('s',), 2, calls_per_s=4, burst=4)
RATES = {'urgent': 400.0, 'patient': 50.0, 'small': 2.0}


async def _run_under_twice_the_room(seconds: float) -> Fleet:
    fleet = Fleet(NODES, [URGENT, PATIENT, SMALL])
    fleet.limit_room(ROOM_PER_S)
    for name, rate in RATES.items():
        fleet.set_rate(name, rate)
    await fleet.run(seconds)
    return fleet


def _served_part(fleet: Fleet, *teams: str) -> float:
    served = sum(len(fleet.ran[team]) for team in teams)
    return served / sum(fleet.asked[team] for team in teams)


async def test_urgent_demand_above_the_room_starves_no_team():
    fleet = await _run_under_twice_the_room(30)
    all_part = _served_part(fleet, *RATES)
    for team in RATES:
        assert _served_part(fleet, team) >= MIN_PART * all_part, team


async def test_urgent_teams_still_get_most_of_the_room():
    """The floor for other teams must not undo the priorities."""
    fleet = await _run_under_twice_the_room(30)
    urgent = _served_part(fleet, 'urgent')
    assert urgent >= _served_part(fleet, 'patient')
    assert len(fleet.ran['urgent']) >= 0.8 * 30 * ROOM_PER_S


async def test_priorities_alone_would_starve_a_team(monkeypatch):
    """Shows that the play has a load that needs the floor."""
    monkeypatch.setattr(dispatch, 'is_disadvantaged', lambda *_: False)
    fleet = await _run_under_twice_the_room(30)
    all_part = _served_part(fleet, *RATES)
    assert _served_part(fleet, 'patient') < MIN_PART * all_part


def test_refusals_of_long_ago_do_not_count():
    runs = RunShare()
    for _ in range(20):
        runs.add_call(0)
        runs.add_refusal(0)
    assert runs.share(0) < 0.1
    runs.add_call(60)
    assert runs.share(60) > 0.95


def test_a_single_refusal_makes_no_team_disadvantaged():
    runs = RunShare()
    runs.add_call(0)
    runs.add_refusal(0)
    assert not is_disadvantaged(runs.share(0), 1)


@pytest.mark.parametrize(
    ('team_share', 'all_share', 'expected'),
    [(0.3, 0.7, True), (0.4, 0.7, False), (0.1, 0.1, False)],
)
def test_a_team_is_compared_with_all_teams(team_share, all_share, expected):
    """While nobody is served, priorities keep their order."""
    assert is_disadvantaged(team_share, all_share) is expected
