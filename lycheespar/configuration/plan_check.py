"""Checks of a route plan before it is sent to the control hosts."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from typing import Any

import msgspec
from msgspec.structs import replace

from lycheespar.configuration.routes import (
    HostRoute,
    PutRoutePlan,
    RoutePlan,
    plan_problems,
)
from lycheespar.teams.profile import TeamProfile


class PlanReport(msgspec.Struct, frozen=True):
    """Result of the check of a plan, one line per finding.

    Attributes
    ----------
    errors : tuple[str, ...]
        Reasons for which control hosts would refuse the plan.
    unreachable : tuple[str, ...]
        Entries that can never match a request.
    contradictions : tuple[str, ...]
        Limits that contradict each other.
    differences : tuple[str, ...]
        What differs from the plan in force.
    """

    errors: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    contradictions: tuple[str, ...] = ()
    differences: tuple[str, ...] = ()

    @property
    def is_clean(self) -> bool:
        """Whether nothing but differences was found."""
        return not (self.errors or self.unreachable or self.contradictions)


def check_plan(plan: RoutePlan, in_force: RoutePlan) -> PlanReport:
    """Check a plan that is to replace the one in force.

    Parameters
    ----------
    plan : RoutePlan
        The new plan.
    in_force : RoutePlan
        The plan that it replaces; empty if there is none.
    """
    change = PutRoutePlan(plan, in_force.label)
    return PlanReport(
        tuple(plan_problems(in_force, change)),
        tuple(_unreachable(plan)),
        tuple(_contradictions(plan)),
        tuple(_differences(in_force, plan)),
    )


def _unreachable(plan: RoutePlan) -> Iterator[str]:
    """Yield the entries that can never match a request."""
    first_routes: dict[tuple[str, str], str] = {}
    for name, route in plan.routes.items():
        key = (route.host.lower(), route.path_prefix)
        first = first_routes.setdefault(key, name)
        if first != name:
            yield (
                f"routes.{name}: '{first}' has the same host and path_prefix "
                'and matches first'
            )
        yield from (
            f'routes.{name}.{finding}' for finding in _never_served(route)
        )
    used = _used_services(plan.routes.values())
    yield from (
        f'services.{service}: no route sends requests to it'
        for service in plan.services
        if service not in used
    )
    yield from (
        f'teams.{team.name}: has no key, so no request belongs to it'
        for team in plan.teams.values()
        if not team.keys
    )


def _used_services(routes: Iterable[HostRoute]) -> frozenset[str]:
    return frozenset(
        destination.service
        for route in routes
        for destination in route.destinations
        if destination.weight > 0
    )


def _never_served(route: HostRoute) -> Iterator[str]:
    weights = [destination.weight for destination in route.destinations]
    if weights and not any(weight > 0 for weight in weights):
        yield 'destinations: all weights are 0, so each request is refused'
        return
    yield from (
        f"destinations: the weight of '{destination.service}' is 0"
        for destination in route.destinations
        if not destination.weight
    )


def _contradictions(plan: RoutePlan) -> Iterator[str]:
    """Yield the limits that contradict each other."""
    for route in plan.routes.values():
        yield from _route_contradictions(route)
    for team in plan.teams.values():
        yield from _team_contradictions(team)
    yield from (
        f'services.{profile.name}: cold_start_s needs cold_per_s'
        for profile in plan.services.values()
        if profile.cold_start_s and not profile.cold_per_s
    )
    if 0 < plan.limits.idle_timeout_s < plan.limits.header_timeout_s:
        yield 'limits: idle_timeout_s is below header_timeout_s'


def _route_contradictions(route: HostRoute) -> Iterator[str]:
    if route.objective_ms > route.deadline_ms:
        yield (
            f'routes.{route.name}: objective_ms {route.objective_ms:g} is '
            f'above deadline_ms {route.deadline_ms:g}, so no answer is late'
        )
    if not route.idempotent and route.max_attempts > 1:
        yield (
            f'routes.{route.name}: max_attempts is {route.max_attempts}, but '
            'requests that may run once are sent again only if they did not run'
        )


def _team_contradictions(team: TeamProfile) -> Iterator[str]:
    if team.calls_per_s and team.burst < 1:
        yield (
            f'teams.{team.name}: burst {team.burst:g} is below one call, '
            'though calls_per_s is limited'
        )
    if team.burst and not team.calls_per_s:
        yield f'teams.{team.name}: burst has no effect without calls_per_s'


def _differences(old: RoutePlan, new: RoutePlan) -> Iterator[str]:
    """Yield what differs between two plans; keys of teams are not shown."""
    yield from chain(
        _table_differences('routes', old.routes, new.routes),
        _table_differences('services', old.services, new.services),
        _table_differences(
            'teams', _without_keys(old.teams), _without_keys(new.teams)
        ),
        _key_differences(old, new),
        _field_differences('limits', _fields(old.limits), _fields(new.limits)),
    )


def _table_differences(
    table: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f'{table}.{name}: removed'
        elif name not in old:
            yield f'{table}.{name}: added'
        else:
            yield from _field_differences(
                f'{table}.{name}', _fields(old[name]), _fields(new[name])
            )


def _key_differences(old: RoutePlan, new: RoutePlan) -> Iterator[str]:
    for name in sorted(old.teams.keys() & new.teams.keys()):
        before = frozenset(old.teams[name].keys)
        after = frozenset(new.teams[name].keys)
        if before != after:
            yield (
                f'teams.{name}.keys: {len(after - before)} added, '
                f'{len(before - after)} removed'
            )


def _field_differences(
    name: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    yield from (
        f'{name}.{field}: {old[field]} -> {new[field]}'
        for field in new
        if old[field] != new[field]
    )


def _fields(entry: Any) -> dict[str, Any]:
    """Return the fields of an entry but for the text that was sent."""
    fields: dict[str, Any] = msgspec.to_builtins(replace(entry, source=''))
    return fields


def _without_keys(teams: Mapping[str, Any]) -> dict[str, Any]:
    return {name: replace(team, keys=()) for name, team in teams.items()}


def findings(report: PlanReport) -> Iterable[str]:
    """Return all findings with their kind, one line each."""
    return chain(
        (f'error: {line}' for line in report.errors),
        (f'never matches: {line}' for line in report.unreachable),
        (f'contradiction: {line}' for line in report.contradictions),
        (f'differs: {line}' for line in report.differences),
    )
