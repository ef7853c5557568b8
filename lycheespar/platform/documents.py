"""Configurations as the platform writes them, and the product's plans."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any, Final

from lycheespar.configuration.routes import (
    CallerLimits,
    Destination,
    HostRoute,
    PatchRoutePlan,
    PutRoutePlan,
    RoutePlan,
    ServiceProfile,
)
from lycheespar.errors import ChangeInvalidError
from lycheespar.platform.durations import (
    format_version,
    parse_ms,
    parse_s,
    parse_version,
)

# Kinds of routes, and whether their requests may run more than once.
_REPEATABLE: Final = {
    'idempotent': True,
    'non_idempotent': False,
    'download': True,
}


def put_from(body: bytes) -> PutRoutePlan:
    """Decode a complete configuration.

    Raises
    ------
    ChangeInvalidError
        It can't be read in full.
    """
    given = _object(body)
    items = _Items(given.get('resources'))
    label, base = _versions(given)
    return PutRoutePlan(
        RoutePlan(
            label,
            {route.name: route for route in items.routes},
            {profile.name: profile for profile in items.services},
            items.limits or CallerLimits(),
        ),
        base,
    )


def patch_from(body: bytes) -> PatchRoutePlan:
    """Decode a change of named items.

    Raises
    ------
    ChangeInvalidError
        It can't be read in full.
    """
    given = _object(body)
    upsert = given.get('upsert', {})
    removed = given.get('remove', {})
    if not isinstance(upsert, Mapping) or not isinstance(removed, Mapping):
        raise ChangeInvalidError(('upsert and remove must be objects',))
    items = _Items(upsert.get('resources', []))
    label, base = _versions(given)
    return PatchRoutePlan(
        label,
        base,
        tuple(items.routes),
        tuple(items.services),
        items.limits,
        _names(removed, 'routes'),
        _names(removed, 'services'),
    )


def plan_body(plan: RoutePlan) -> bytes:
    """Write a plan as the platform reads configurations, item by item."""
    sources = ','.join(
        (
            *(route.source for route in plan.routes.values()),
            *(profile.source for profile in plan.services.values()),
            *((plan.limits.source,) if plan.limits.source else ()),
        ),
    )
    version = format_version(plan.label)
    return f'{{"version":"{version}","resources":[{sources}]}}'.encode()


# What an item raises that lacks a field or has one of another type.
_UNREADABLE: Final = (KeyError, TypeError, ValueError, AttributeError)


class _Items:
    """Items of a list of resources, sorted by kind."""

    def __init__(self, given: Any) -> None:
        self.routes: list[HostRoute] = []
        self.services: list[ServiceProfile] = []
        self.limits: CallerLimits | None = None
        if not isinstance(given, list):
            raise ChangeInvalidError(('resources: must be a list',))
        problems: list[str] = []
        for index, item in enumerate(given):
            try:
                self._take(item)
            except _UNREADABLE as error:
                problems.append(f'resources[{index}]: {error!r}')
        if problems:
            raise ChangeInvalidError(tuple(problems))

    def _take(self, item: Mapping[str, Any]) -> None:
        source = json.dumps(item, separators=(',', ':'))
        name = item.get('metadata', {}).get('name', '')
        spec = item['spec']
        match item['resource_type']:
            case 'routes':
                self.routes.append(_route(_named(name), spec, source))
            case 'services':
                self.services.append(_service(_named(name), spec, source))
            case 'limits':
                self.limits = _limits(spec, source)
            case other:
                raise ValueError(f"there is no kind '{other}'")


def _route(name: str, spec: Mapping[str, Any], source: str) -> HostRoute:
    prefix = spec['path_prefix']
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise ValueError('path_prefix: must begin and end with a slash')
    return HostRoute(
        name=name,
        host=_text(spec['host']),
        path_prefix=prefix,
        idempotent=_REPEATABLE[spec['route_type']],
        deadline_ms=parse_ms(spec['timeout']),
        objective_ms=parse_ms(spec['target_latency']),
        priority=_whole(spec['priority']),
        destinations=tuple(_destinations(spec)),
        max_attempts=max(_whole(spec['max_attempts']), 1),
        source=source,
    )


def _destinations(spec: Mapping[str, Any]) -> Iterable[Destination]:
    weighted = spec.get('weighted_clusters')
    if weighted is None:
        yield Destination(_text(spec['service']))
        return
    for part in weighted:
        yield Destination(_text(part['service']), _number(part['weight']))


def _service(
    name: str,
    spec: Mapping[str, Any],
    source: str,
) -> ServiceProfile:
    return ServiceProfile(
        name=name,
        load_path=_text(spec['health_check_path']),
        connections=_whole(spec['max_connections']),
        cold_start_s=parse_s(spec.get('cold_start', '0ms')),
        cold_per_s=_number(spec.get('coldstart_per_s', 0)),
        source=source,
    )


def _limits(spec: Mapping[str, Any], source: str) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=_whole(spec['max_header_bytes']),
        max_body_bytes=_whole(spec['max_body_bytes']),
        header_timeout_s=parse_s(spec['header_timeout']),
        idle_timeout_s=parse_s(spec['idle_timeout']),
        source=source,
    )


def _object(body: bytes) -> Mapping[str, Any]:
    try:
        given = json.loads(body)
    except ValueError as error:
        raise ChangeInvalidError((f'the body is no JSON: {error}',)) from error
    if not isinstance(given, Mapping):
        raise ChangeInvalidError(('the body must be one object',))
    return given


def _versions(given: Mapping[str, Any]) -> tuple[int, int]:
    base = given.get('base_version', 0)
    try:
        label = parse_version(given.get('version'))
        return label, base if base == 0 else parse_version(base)
    except ValueError as error:
        raise ChangeInvalidError((str(error),)) from error


def _names(removed: Mapping[str, Any], kind: str) -> tuple[str, ...]:
    found = removed.get(kind, [])
    if not isinstance(found, list):
        raise ChangeInvalidError((f'remove.{kind}: must be a list',))
    return tuple(str(name) for name in found)


def _named(name: Any) -> str:
    if not _text(name):
        raise ValueError('metadata.name: must not be empty')
    return str(name)


def _text(given: Any) -> str:
    if not isinstance(given, str):
        raise TypeError(f"'{given}' is no text")
    return given


def _number(given: Any) -> float:
    if isinstance(given, bool) or not isinstance(given, int | float):
        raise TypeError(f"'{given}' is no number")
    return float(given)


def _whole(given: Any) -> int:
    if isinstance(given, bool) or not isinstance(given, int):
        raise TypeError(f"'{given}' is no whole number")
    return given
