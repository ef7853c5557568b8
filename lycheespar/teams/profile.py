"""Teams of the route plan, whose callers authenticate with keys."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec


class TeamProfile(msgspec.Struct, frozen=True):
    """A team that calls through the routes of the plan.

    Attributes
    ----------
    name : str
        Name of the team, which targets receive.
    keys : tuple[str, ...]
        Keys that authenticate the team's requests.
    priority : int | None
        Priority of the team's requests, 0 or less for the highest. None for
        the priority of the route.
    calls_per_s : float
        Calls per second that all nodes together admit; 0 for no limit.
    burst : float
        Calls that the team may send at once in addition to that rate.
    source : str
        The team as the operator sent it; returned when it is read.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    calls_per_s: float = 0.0
    burst: float = 0.0
    source: str = ''


def team_problems(teams: Iterable[TeamProfile]) -> Iterator[str]:
    """Validate the teams of a plan and yield their problems.

    The texts name teams only, never their keys. They are part of the
    replicated state, so they must not differ between versions.
    """
    profiles = tuple(teams)
    holders = Counter(key for team in profiles for key in frozenset(team.keys))
    for team in profiles:
        if any(holders[key] > 1 for key in team.keys):
            yield f'teams.{team.name}.keys: another team has the same key'
        if not 0 <= team.calls_per_s < float('inf'):
            yield f'teams.{team.name}.calls_per_s: must be at least 0'
        if not 0 <= team.burst < float('inf'):
            yield f'teams.{team.name}.burst: must be at least 0'
