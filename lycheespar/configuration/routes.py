"""Routes by host and path to weighted services, as one labelled plan."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final, TypeVar

import msgspec

Item = TypeVar('Item')

# Longest time for which an operator may keep callers waiting: ten minutes,
# the limit of the parameter `deadline_ms`.
LONGEST_DEADLINE_MS: Final = 600_000
# An objective this far beyond the deadline is a mistake of units.
OBJECTIVE_MARGIN_MS: Final = 60_000


class Destination(msgspec.Struct, frozen=True):
    """One of the services that a route leads to.

    Attributes
    ----------
    service : str
        Name of the service in the plan.
    weight : float
        Share of the requests, relative to the other destinations.
    """

    service: str
    weight: float = 1.0


class HostRoute(msgspec.Struct, frozen=True):
    """Says which requests a route takes and how they are handled.

    Attributes
    ----------
    name : str
        Name within the plan.
    host : str
        ``Host`` header without a port, in lower case.
    path_prefix : str
        Start of the path; the longest that fits counts.
    idempotent : bool
        Whether the requests may run more than once.
    deadline_ms : float
        Longest time that a caller is kept waiting, in milliseconds.
    objective_ms : float
        Time within which an answer is of full use, in milliseconds.
    priority : int
        Rank among the routes; 0 is the most urgent.
    destinations : tuple[Destination, ...]
        Services, with the share of each.
    max_attempts : int
        Targets to which one request may be sent.
    source : str
        The route as the operator sent it, for reading it back.
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


class ServiceProfile(msgspec.Struct, frozen=True):
    """What is known of all targets of a service.

    Attributes
    ----------
    name : str
        Name within the plan.
    load_path : str
        Path at which a target tells its health and load.
    connections : int
        Connections that one target bears from all callers together.
    cold_start_s : float
        Time for which a started target is cold, in seconds.
    cold_per_s : float
        Requests a second that a cold target bears.
    source : str
        The profile as the operator sent it, for reading it back.
    """

    name: str
    load_path: str = ''
    connections: int = 64
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    source: str = ''


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds of what callers may send, and how long they may take.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and body of a request, in bytes; 0 for no bound.
    header_timeout_s, idle_timeout_s : float
        Longest time for a head, and between two requests of a connection, in
        seconds; 0 for no bound.
    source : str
        The limits as the operator sent them, for reading them back.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0
    source: str = ''


class RoutePlan(msgspec.Struct, frozen=True):
    """All routes and the services that they lead to.

    Attributes
    ----------
    label : int
        Version that the operator gave the plan; grows with each.
    routes : dict[str, HostRoute]
        Routes by name.
    services : dict[str, ServiceProfile]
        Services by name.
    limits : CallerLimits
        Bounds for callers.
    """

    label: int = 0
    routes: dict[str, HostRoute] = {}
    services: dict[str, ServiceProfile] = {}
    limits: CallerLimits = CallerLimits()


class PutRoutePlan(msgspec.Struct, frozen=True, tag='put_route_plan'):
    """Replaces the whole plan.

    Attributes
    ----------
    plan : RoutePlan
        The new plan, with its label.
    base_label : int
        Label of the plan that it replaces; 0 for none.
    """

    plan: RoutePlan
    base_label: int


class PatchRoutePlan(msgspec.Struct, frozen=True, tag='patch_route_plan'):
    """Replaces, adds and removes single items of the plan.

    Attributes
    ----------
    label : int
        Label of the plan that results.
    base_label : int
        Label of the plan that is changed.
    routes : tuple[HostRoute, ...]
        Routes to add or to replace.
    services : tuple[ServiceProfile, ...]
        Services to add or to replace.
    limits : CallerLimits | None
        New bounds for callers; None leaves them.
    removed_routes, removed_services : tuple[str, ...]
        Names of what is removed.
    """

    label: int
    base_label: int
    routes: tuple[HostRoute, ...] = ()
    services: tuple[ServiceProfile, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[str, ...] = ()
    removed_services: tuple[str, ...] = ()


PlanChange = PutRoutePlan | PatchRoutePlan


def changed_plan(plan: RoutePlan, change: PlanChange) -> RoutePlan:
    """Return the plan after a change."""
    match change:
        case PutRoutePlan(new_plan):
            return new_plan
        case PatchRoutePlan():
            return _patched(plan, change)


def plan_problems(plan: RoutePlan, change: PlanChange) -> Iterator[str]:
    """List what is wrong with a change of a plan, one line for each key."""
    changed = changed_plan(plan, change)
    if changed.label <= plan.label:
        yield f'label: {changed.label} is not above {plan.label}'
    if isinstance(change, PatchRoutePlan):
        yield from _removal_problems(plan, change)
    for name, route in changed.routes.items():
        yield from (
            f'routes.{name}.{problem}'
            for problem in _route_problems(route, changed.services)
        )


def _patched(plan: RoutePlan, change: PatchRoutePlan) -> RoutePlan:
    routes = plan.routes | {route.name: route for route in change.routes}
    services = plan.services | {
        profile.name: profile for profile in change.services
    }
    return RoutePlan(
        change.label,
        _without(routes, change.removed_routes),
        _without(services, change.removed_services),
        plan.limits if change.limits is None else change.limits,
    )


def _without(
    table: dict[str, Item],
    names: Iterable[str],
) -> dict[str, Item]:
    removed = frozenset(names)
    return {name: kept for name, kept in table.items() if name not in removed}


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


def _route_problems(
    route: HostRoute,
    services: dict[str, ServiceProfile],
) -> Iterator[str]:
    if not route.host:
        yield 'host: must not be empty'
    if not 0 < route.deadline_ms <= LONGEST_DEADLINE_MS:
        yield f'deadline_ms: must be above 0 and at most {LONGEST_DEADLINE_MS}'
    if route.objective_ms >= route.deadline_ms + OBJECTIVE_MARGIN_MS:
        yield 'objective_ms: is far above deadline_ms'
    if not route.destinations:
        yield 'destinations: must name a service'
    for destination in route.destinations:
        if destination.service not in services:
            yield f"destinations: there is no service '{destination.service}'"
        if not 0 <= destination.weight < float('inf'):
            yield f"destinations: the weight of '{destination.service}' is bad"
