"""Lookup of teams by key."""

from __future__ import annotations

from collections.abc import Iterable

from lycheespar.teams.profile import TeamProfile


class KeyTable:
    """Finds the team that holds a key.

    Parameters
    ----------
    teams : Iterable[TeamProfile]
        All teams of a plan.
    """

    __slots__ = ('_by_key', '_has_teams')

    def __init__(self, teams: Iterable[TeamProfile] = ()) -> None:
        """Index the teams by their keys."""
        profiles = tuple(teams)
        self._has_teams = bool(profiles)
        self._by_key = {key: team for team in profiles for key in team.keys}

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, unless their route is public."""
        return self._has_teams

    def find(self, key: str) -> TeamProfile | None:
        """Return the team that holds a key, if any."""
        return self._by_key.get(key)
