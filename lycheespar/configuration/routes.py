"""The route plan: routes by host and path to weighted services."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final, TypeVar

import msgspec

from lycheespar.teams.profile import TeamProfile, team_problems

Item = TypeVar('Item')

# Highest `deadline_ms` of a route: ten minutes, as for the parameter
# `deadline_ms` of a service.
MAX_DEADLINE_MS: Final = 600_000
# `objective_ms` must be less than this far above `deadline_ms`. A greater
# value is probably given in the wrong unit.
MAX_OBJECTIVE_EXCESS_MS: Final = 60_000


class Destination(msgspec.Struct, frozen=True):
    """A service to which a route sends requests.

    Attributes
    ----------
    service : str
        Name of the service in the plan.
    weight : float
        Share of the requests, relative to the weights of the other
        destinations.
    """

    service: str
    weight: float = 1.0


class HostRoute(msgspec.Struct, frozen=True):
    """Rule for the requests to a host and path prefix.

    Attributes
    ----------
    name : str
        Name of the route within the plan.
    host : str
        ``Host`` header without a port, in lower case.
    path_prefix : str
        Prefix of the path; the route with the longest match applies.
    idempotent : bool
        Whether the requests may run more than once.
    deadline_ms : float
        Longest time that a caller waits for an answer, in milliseconds.
    objective_ms : float
        Latency objective: time within which an answer has its full value, in
        milliseconds.
    priority : int
        Priority among the routes; 0 is the highest.
    destinations : tuple[Destination, ...]
        Services to which requests are sent, with their weights.
    max_attempts : int
        Largest number of targets to which one request is sent.
    source : str
        The route as the operator sent it; returned when it is read.
    public : bool
        Whether requests need no key, even if the plan has teams.
    upload : bool
        Whether requests have large bodies.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool = False
    deadline_ms: float = 2000.0
    objective_ms: float = 1000.0
    priority: int = 0
    destinations: tuple[Destination, ...] = ()
    max_attempts: int = 1
    source: str = ''
    public: bool = False
    upload: bool = False


class ServiceProfile(msgspec.Struct, frozen=True):
    """Properties that all targets of a service share.

    Attributes
    ----------
    name : str
        Name of the service within the plan.
    load_path : str
        Path at which a target reports its health and load.
    connections : int
        Connections that one target accepts from all callers together.
    cold_start_s : float
        Time after its start for which a target is cold, in seconds.
    cold_per_s : float
        Requests per second that a cold target can handle.
    source : str
        The profile as the operator sent it; returned when it is read.
    """

    name: str
    load_path: str = ''
    connections: int = 64
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    source: str = ''


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of callers' requests.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest size of the head and of the body of a request, in bytes; 0
        for no limit.
    header_timeout_s, idle_timeout_s : float
        Longest time for receiving the head of a request, and between two
        requests on a connection, in seconds; 0 for no limit.
    source : str
        The limits as the operator sent them; returned when they are read.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0
    source: str = ''


class RoutePlan(msgspec.Struct, frozen=True):
    """All routes and the services to which they send requests.

    Attributes
    ----------
    label : int
        Version number that the operator gives the plan; each new plan has a
        greater one.
    routes : dict[str, HostRoute]
        Routes by name.
    services : dict[str, ServiceProfile]
        Services by name.
    limits : CallerLimits
        Limits for callers.
    teams : dict[str, TeamProfile]
        Teams by name; without any, requests need no key.
    """

    label: int = 0
    routes: dict[str, HostRoute] = {}
    services: dict[str, ServiceProfile] = {}
    limits: CallerLimits = CallerLimits()
    teams: dict[str, TeamProfile] = {}

    @property
    def is_contended(self) -> bool:
        """Whether callers compete by more than their deadlines.

        They do if they belong to teams, or if some requests are uploads,
        which take far more of a target's time and link than others.
        """
        return bool(self.teams) or any(
            route.upload for route in self.routes.values()
        )


class PutRoutePlan(msgspec.Struct, frozen=True, tag='put_route_plan'):
    """Replaces the whole plan.

    Attributes
    ----------
    plan : RoutePlan
        The new plan, with its label.
    base_label : int
        Label of the plan to replace; 0 if there is none.
    """

    plan: RoutePlan
    base_label: int


class PatchRoutePlan(msgspec.Struct, frozen=True, tag='patch_route_plan'):
    """Adds, replaces and removes single items of the plan.

    Attributes
    ----------
    label : int
        Label of the plan after the change.
    base_label : int
        Label of the plan before the change.
    routes : tuple[HostRoute, ...]
        Routes to add or to replace.
    services : tuple[ServiceProfile, ...]
        Services to add or to replace.
    limits : CallerLimits | None
        New limits for callers; None keeps the present ones.
    removed_routes, removed_services : tuple[str, ...]
        Names of the routes and services to remove.
    teams : tuple[TeamProfile, ...]
        Teams to add or to replace.
    removed_teams : tuple[str, ...]
        Names of the teams to remove.
    """

    label: int
    base_label: int
    routes: tuple[HostRoute, ...] = ()
    services: tuple[ServiceProfile, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()
    teams: tuple[TeamProfile, ...] = ()
    removed_teams: tuple[str, ...] = ()


PlanChange = PutRoutePlan | PatchRoutePlan


def apply_plan_change(plan: RoutePlan, change: PlanChange) -> RoutePlan:
    """Apply a change and return the resulting plan."""
    match change:
        case PutRoutePlan(new_plan):
            return new_plan
        case PatchRoutePlan():
            return _apply_patch(plan, change)


def plan_problems(plan: RoutePlan, change: PlanChange) -> Iterator[str]:
    """Validate a change of a plan and yield its problems, one line per key.

    As in `changes.find_change_problems`, the texts must not differ between
    versions.
    """
    changed = apply_plan_change(plan, change)
    if changed.label <= plan.label:
        yield f'label: {changed.label} is not above {plan.label}'
    if isinstance(change, PatchRoutePlan):
        yield from _removal_problems(plan, change)
    for name, route in changed.routes.items():
        yield from (
            f'routes.{name}.{problem}'
            for problem in _route_problems(route, changed.services)
        )
    yield from team_problems(changed.teams.values())


def _apply_patch(plan: RoutePlan, change: PatchRoutePlan) -> RoutePlan:
    routes = plan.routes | {route.name: route for route in change.routes}
    services = plan.services | {
        profile.name: profile for profile in change.services
    }
    return RoutePlan(
        change.label,
        _without(routes, change.removed_routes),
        _without(services, change.removed_services),
        plan.limits if change.limits is None else change.limits,
        _without(
            plan.teams | {team.name: team for team in change.teams},
            change.removed_teams,
        ),
    )


def _without(
    table: dict[str, Item],
    names: Iterable[str],
) -> dict[str, Item]:
    removed = frozenset(names)
    return {name: item for name, item in table.items() if name not in removed}


def _removal_problems(
    plan: RoutePlan,
    change: PatchRoutePlan,
) -> Iterator[str]:
    for name in change.removed_routes:
        if name not in plan.routes:
            yield f"removed_routes: there is no route '{name}'"
    for service in change.removed_services:
        if service not in plan.services:
            yield f"removed_services: there is no service '{service}'"
    for team in change.removed_teams:
        if team not in plan.teams:
            yield f"removed_teams: there is no team '{team}'"


def _route_problems(
    route: HostRoute,
    services: dict[str, ServiceProfile],
) -> Iterator[str]:
    if not route.host:
        yield 'host: must not be empty'
    if not 0 < route.deadline_ms <= MAX_DEADLINE_MS:
        yield f'deadline_ms: must be above 0 and at most {MAX_DEADLINE_MS}'
    if route.objective_ms >= route.deadline_ms + MAX_OBJECTIVE_EXCESS_MS:
        yield 'objective_ms: is far above deadline_ms'
    if not route.destinations:
        yield 'destinations: must name a service'
    for destination in route.destinations:
        if destination.service not in services:
            yield f"destinations: there is no service '{destination.service}'"
        if not 0 <= destination.weight < float('inf'):
            yield f"destinations: the weight of '{destination.service}' is bad"
