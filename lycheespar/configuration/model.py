"""Templates, teams and what is taken out, as immutable values."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.configuration.routes import RoutePlan, ServiceProfile

DEFAULT_CLASS: Final = 'default'
# Requests that may wait at a target of a service in the plan: two rounds of
# the slots that such targets usually have.
PLANNED_QUEUE_LIMIT: Final = 24
# Longest wait there in milliseconds; routes' deadlines bound it further.
PLANNED_QUEUE_MS: Final = 300
# Retries and hedges as a share of fresh requests: a little over half of the
# fifth that targets of a plan bear, as calls of a repeated run count too.
PLANNED_RETRY_SHARE: Final = 0.12
# Ten probes a second of 6 ms each, so that a target that turns cold is found
# before it has got more than it bears.
PLANNED_PROBE_MS_PER_S: Final = 60


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Class of requests.

    Attributes
    ----------
    weight : float
        Weight of the class in the queue; a higher one goes first.
    """

    weight: float = 1


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Says how requests are handled whose method and path match.

    Attributes
    ----------
    method : str
        HTTP method, or ``*`` for all.
    path_prefix : str
        Start of the path.
    request_class : str
        Name of the requests' class.
    idempotent : bool
        Whether the requests may run more than once.
    deadline_ms : int
        Time for the whole answer's head, in milliseconds; 0 for the
        service's own.
    """

    method: str = '*'
    path_prefix: str = '/'
    request_class: str = DEFAULT_CLASS
    idempotent: bool = False
    deadline_ms: int = 0


class Parameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Parameters of a service: the template's, overridden by a team's.

    Attributes
    ----------
    deadline_ms : int
        Time for the head of an answer, in milliseconds.
    queue_limit : int
        Requests that may wait at a target's node.
    queue_ms : int
        Time a request may wait at a target's node, in milliseconds.
    cold_start_s : float
        Shortest time from a target's start to its full share, in seconds.
    cold_share : float
        Share of its slots that a target bears at its start, 0 to 1.
    retry_share : float
        Retries and hedges as a share of fresh requests, 0 to 1.
    hedge_after_ms : int
        Time after which an idempotent request is hedged; 0 for never.
    probe_budget_ms_per_s : float
        Time that probes may cost a target, in milliseconds a second.
    key_retention_s : float
        Time for which an idempotency key is remembered, in seconds.
    cold_per_s : float
        Requests a second that a cold target bears; 0 for no such bound.
    """

    deadline_ms: int = 2000
    queue_limit: int = 32
    queue_ms: int = 200
    cold_start_s: float = 10
    cold_share: float = 0.2
    retry_share: float = 0.1
    hedge_after_ms: int = 0
    probe_budget_ms_per_s: float = 6
    key_retention_s: float = 600
    cold_per_s: float = 0


class Template(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of service.

    Attributes
    ----------
    name : str
        Name of the kind.
    classes : dict[str, RequestClass]
        Classes of requests by name.
    routes : tuple[Route, ...]
        Routes; the first that matches counts.
    parameters : Parameters
        Defaults for all teams.
    """

    name: str
    classes: dict[str, RequestClass] = {}
    routes: tuple[Route, ...] = ()
    parameters: Parameters = Parameters()


class TeamService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team's use of a template.

    Attributes
    ----------
    template : str
        Name of the template.
    parameters : dict[str, float]
        Parameters that differ from the template's.
    """

    template: str
    parameters: dict[str, float] = {}


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer and the services it runs.

    Attributes
    ----------
    name : str
        Name of the team.
    services : dict[str, TeamService]
        Services by name.
    """

    name: str
    services: dict[str, TeamService] = {}


class Configuration(msgspec.Struct, frozen=True):
    """Whole configuration at one revision.

    Attributes
    ----------
    revision : int
        Number of changes accepted so far.
    templates : dict[str, Template]
        Templates by name.
    teams : dict[str, Team]
        Teams by name.
    data_centres_out : frozenset[str]
        Data centres that are taken out.
    targets_out : frozenset[str]
        Identities of the targets that are taken out.
    plan : RoutePlan
        Routes by host and path.
    """

    revision: int = 0
    templates: dict[str, Template] = {}
    teams: dict[str, Team] = {}
    data_centres_out: frozenset[str] = frozenset()
    targets_out: frozenset[str] = frozenset()
    plan: RoutePlan = RoutePlan()


class Service(msgspec.Struct, frozen=True):
    """A team's service with template and parameters put together.

    Attributes
    ----------
    name : str
        ``team/service``, or the name of a service in the plan.
    classes, routes
        As in `Template`.
    parameters : Parameters
        The template's, overridden by the team's.
    load_path : str
        Path at which a target tells its load; empty where it announces it.
    connections : int
        Connections that one target bears; 0 where it announces them.
    """

    name: str
    classes: dict[str, RequestClass]
    routes: tuple[Route, ...]
    parameters: Parameters
    load_path: str = ''
    connections: int = 0

    def weight(self, request_class: str) -> float:
        """Return the weight of a class, 1 for unknown ones."""
        found = self.classes.get(request_class)
        return 1 if found is None else found.weight


def resolve(configuration: Configuration) -> dict[str, Service]:
    """Put templates and teams together, and the services of the plan.

    Returns
    -------
    dict[str, Service]
        Services by their ``team/service`` name, or their name in the plan.
    """
    pairs = (
        (team, name, chosen)
        for team in configuration.teams.values()
        for name, chosen in team.services.items()
    )
    planned = {
        name: _planned_service(profile)
        for name, profile in configuration.plan.services.items()
    }
    return planned | {
        f'{team.name}/{name}': _service(configuration, team, name, chosen)
        for team, name, chosen in pairs
    }


def _planned_service(profile: ServiceProfile) -> Service:
    """Return a service that the plan names; its routes are the plan's."""
    return Service(
        name=profile.name,
        classes={},
        routes=(),
        parameters=Parameters(
            cold_start_s=0,
            # The rate bounds a cold target, not a share of its slots.
            cold_share=1,
            cold_per_s=profile.cold_per_s,
            retry_share=PLANNED_RETRY_SHARE,
            queue_limit=PLANNED_QUEUE_LIMIT,
            queue_ms=PLANNED_QUEUE_MS,
            probe_budget_ms_per_s=PLANNED_PROBE_MS_PER_S,
        ),
        load_path=profile.load_path,
        connections=profile.connections,
    )


def _service(
    configuration: Configuration,
    team: Team,
    name: str,
    chosen: TeamService,
) -> Service:
    template = configuration.templates[chosen.template]
    merged = msgspec.to_builtins(template.parameters) | chosen.parameters
    return Service(
        name=f'{team.name}/{name}',
        classes=template.classes,
        routes=template.routes,
        parameters=msgspec.convert(merged, Parameters, strict=False),
    )
