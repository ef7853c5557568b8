"""Finds the team of a request by its key, and tells the target its name."""

from __future__ import annotations

from multidict import CIMultiDictProxy

from lycheespar.call import Headers
from lycheespar.configuration.routes import HostRoute
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import StaleConfigurationError, UnknownKeyError
from lycheespar.profile import HeaderProfile
from lycheespar.teams.profile import TeamProfile


class TeamKeys:
    """Checks the keys of requests against the teams of the plan in force.

    Parameters
    ----------
    configuration : ConfigurationView
        Provides the teams.
    profile : HeaderProfile
        Names of the headers with the key and with the team's name.
    """

    __slots__ = ('_configuration', '_hidden', '_profile')

    def __init__(
        self, configuration: ConfigurationView, profile: HeaderProfile
    ) -> None:
        """Create a check of the given configuration."""
        self._configuration = configuration
        self._profile = profile
        self._hidden = frozenset((profile.key.lower(), profile.team.lower()))

    def find_team(
        self, headers: CIMultiDictProxy[str], route: HostRoute
    ) -> TeamProfile | None:
        """Return the team that holds a request's key.

        None for requests without a known key on public routes, and if the plan
        has no teams.

        Raises
        ------
        UnknownKeyError
            The key is missing or unknown, and the route is not public.
        StaleConfigurationError
            As above, but a newer configuration may know the key.
        """
        keys = self._configuration.keys
        if not keys.requires_keys:
            return None
        given = headers.getall(self._profile.key, ())
        team = keys.find(given[0]) if len(given) == 1 else None
        if team is not None or route.public:
            return team
        if self._configuration.is_behind or not self._configuration.is_current:
            raise StaleConfigurationError(
                'the key is unknown, but the configuration may be out of date',
            )
        raise UnknownKeyError

    def replace_key(self, pairs: Headers, team: TeamProfile | None) -> Headers:
        """Replace the key in a request's headers by the name of its team."""
        if not self._configuration.keys.requires_keys:
            return pairs
        kept = tuple(
            pair for pair in pairs if pair[0].lower() not in self._hidden
        )
        if team is None:
            return kept
        return (*kept, (self._profile.team, team.name))


def priority_of(route: HostRoute, team: TeamProfile | None) -> int:
    """Return the priority of a request: its team's if that has one.

    Priorities below 0 count as 0, the highest one.
    """
    if team is None or team.priority is None:
        return max(route.priority, 0)
    return max(team.priority, 0)
