"""Immutable model of the configuration, and the services it defines."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.configuration.routes import RoutePlan, ServiceProfile
from lycheespar.rollouts.order import Rollout

DEFAULT_CLASS: Final = 'default'
# Queue limit at each target of a service in the plan: twice the slots that
# such targets usually have.
PLAN_SERVICE_QUEUE_LIMIT: Final = 24
# Longest wait in that queue, in milliseconds. The deadline of the route may
# shorten it further.
PLAN_SERVICE_QUEUE_MS: Final = 300
# Retries and hedges as a share of fresh requests. Targets of a plan tolerate
# 20 %; the limit is a little over half of that, because calls made by a
# repeated run count towards the 20 % too.
PLAN_SERVICE_RETRY_SHARE: Final = 0.12
# Allows ten probes of 6 ms each per second, so that a target that turns cold
# is detected before it is overloaded.
PLAN_SERVICE_PROBE_MS_PER_S: Final = 60


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Class of requests.

    Attributes
    ----------
    weight : float
        Weight of the class in the queue; higher weights are served first.
    """

    weight: float = 1


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rule for handling the requests that match a method and a path prefix.

    Attributes
    ----------
    method : str
        HTTP method, or ``*`` for all.
    path_prefix : str
        Prefix of the path.
    request_class : str
        Name of the class to which the requests belong.
    idempotent : bool
        Whether the requests may run more than once.
    deadline_ms : int
        Time within which the answer must have arrived from the target, in
        milliseconds; 0 for the deadline of the service.
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
        Time within which an answer must have arrived from the target, in
        milliseconds.
    queue_limit : int
        Largest number of requests queued at a target's node.
    queue_ms : int
        Longest time that a request is queued at a target's node, in
        milliseconds.
    cold_start_s : float
        Shortest time from the start of a target until it can use all its
        slots, in seconds.
    cold_share : float
        Share of its slots that a target can use when it starts, 0 to 1.
    retry_share : float
        Limit of retries and hedges, as a share of fresh requests, 0 to 1.
    hedge_after_ms : int
        Time after which an idempotent request is hedged, in milliseconds; 0
        disables hedging.
    probe_budget_ms_per_s : float
        Time that a target may spend on probes, in milliseconds per second.
    key_retention_s : float
        Time for which an idempotency key is remembered, in seconds.
    cold_per_s : float
        Largest number of requests per second sent to a cold target; 0 for no
        limit.
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
    """One kind of service, filled in for each team.

    Attributes
    ----------
    name : str
        Name of the template.
    classes : dict[str, RequestClass]
        Classes of requests by name.
    routes : tuple[Route, ...]
        Routes in order; the first match applies.
    parameters : Parameters
        Defaults for all teams.
    refuse_by_cost : bool
        Whether requests wait and are refused by what that costs callers, and
        not by their deadlines alone.
    """

    name: str
    classes: dict[str, RequestClass] = {}
    routes: tuple[Route, ...] = ()
    parameters: Parameters = Parameters()
    refuse_by_cost: bool = False


class TeamService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service of a team: a template with the team's parameters.

    Attributes
    ----------
    template : str
        Name of the template.
    parameters : dict[str, float]
        Parameters that override those of the template.
    """

    template: str
    parameters: dict[str, float] = {}


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team, the owner of services.

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
    """The complete configuration at one revision.

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
        Route plan, which routes by host and path.
    rollouts : dict[str, Rollout]
        Latest roll-out of each service that had one.
    """

    revision: int = 0
    templates: dict[str, Template] = {}
    teams: dict[str, Team] = {}
    data_centres_out: frozenset[str] = frozenset()
    targets_out: frozenset[str] = frozenset()
    plan: RoutePlan = RoutePlan()
    rollouts: dict[str, Rollout] = {}


class Service(msgspec.Struct, frozen=True):
    """A service with all its parameters resolved.

    Attributes
    ----------
    name : str
        ``team/service``, or the name of a service in the plan.
    classes, routes
        As in `Template`.
    parameters : Parameters
        Parameters of the template, overridden by those of the team.
    load_path : str
        Path at which a target reports its load; empty if it announces it.
    connections : int
        Connections that one target accepts; 0 if it announces the number.
    refuses_by_cost : bool
        Whether requests wait and are refused by what that costs callers.
    """

    name: str
    classes: dict[str, RequestClass]
    routes: tuple[Route, ...]
    parameters: Parameters
    load_path: str = ''
    connections: int = 0
    refuses_by_cost: bool = False

    def weight(self, request_class: str) -> float:
        """Return the weight of a class, or 1 if the class is unknown."""
        known_class = self.classes.get(request_class)
        return 1 if known_class is None else known_class.weight


def resolve_services(configuration: Configuration) -> dict[str, Service]:
    """Build the services of all teams and of the route plan.

    Returns
    -------
    dict[str, Service]
        Services by name: ``team/service``, or the name in the plan.
    """
    team_services = (
        (team, name, team_service)
        for team in configuration.teams.values()
        for name, team_service in team.services.items()
    )
    plan_services = {
        name: _plan_service(
            profile, refuses_by_cost=configuration.plan.is_contended
        )
        for name, profile in configuration.plan.services.items()
    }
    return plan_services | {
        f'{team.name}/{name}': _team_service(
            configuration, team, name, team_service
        )
        for team, name, team_service in team_services
    }


def _plan_service(profile: ServiceProfile, *, refuses_by_cost: bool) -> Service:
    """Build a service of the plan; its routes are part of the plan."""
    return Service(
        name=profile.name,
        classes={},
        routes=(),
        parameters=Parameters(
            cold_start_s=0,
            # A cold target is limited by a rate, not by a share of its slots.
            cold_share=1,
            cold_per_s=profile.cold_per_s,
            retry_share=PLAN_SERVICE_RETRY_SHARE,
            queue_limit=PLAN_SERVICE_QUEUE_LIMIT,
            queue_ms=PLAN_SERVICE_QUEUE_MS,
            probe_budget_ms_per_s=PLAN_SERVICE_PROBE_MS_PER_S,
        ),
        load_path=profile.load_path,
        connections=profile.connections,
        refuses_by_cost=refuses_by_cost,
    )


def _team_service(
    configuration: Configuration,
    team: Team,
    name: str,
    team_service: TeamService,
) -> Service:
    template = configuration.templates[team_service.template]
    merged = msgspec.to_builtins(template.parameters) | team_service.parameters
    return Service(
        name=f'{team.name}/{name}',
        classes=template.classes,
        routes=template.routes,
        parameters=msgspec.convert(merged, Parameters, strict=False),
        refuses_by_cost=template.refuse_by_cost,
    )
