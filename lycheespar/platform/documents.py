"""Converts between the platform's configuration documents and route plans."""

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
from lycheespar.decoding import load_json
from lycheespar.errors import ChangeInvalidError
from lycheespar.platform.formats import (
    format_version,
    parse_ms,
    parse_s,
    parse_version,
)
from lycheespar.rollouts.order import StartRollout
from lycheespar.teams.profile import TeamProfile

# Whether requests of a route may run more than once, by the type of the route.
_IDEMPOTENT_BY_ROUTE_TYPE: Final = {
    'idempotent': True,
    'non_idempotent': False,
    'download': True,
    'upload': False,
}


def decode_put(body: bytes) -> PutRoutePlan:
    """Decode a document with a complete configuration.

    Raises
    ------
    ChangeInvalidError
        Some part of the document is invalid.
    """
    given = _decode_object(body)
    resources = _Resources(given.get('resources'))
    label, base = _decode_versions(given)
    return PutRoutePlan(
        RoutePlan(
            label,
            {route.name: route for route in resources.routes},
            {profile.name: profile for profile in resources.services},
            resources.limits or CallerLimits(),
            {team.name: team for team in resources.teams},
        ),
        base,
    )


def decode_patch(body: bytes) -> PatchRoutePlan:
    """Decode a document that changes or removes named resources.

    Raises
    ------
    ChangeInvalidError
        Some part of the document is invalid.
    """
    given = _decode_object(body)
    upsert = given.get('upsert', {})
    remove = given.get('remove', {})
    if not isinstance(upsert, Mapping) or not isinstance(remove, Mapping):
        raise ChangeInvalidError(('upsert and remove must be objects',))
    resources = _Resources(upsert.get('resources', []))
    label, base = _decode_versions(given)
    return PatchRoutePlan(
        label,
        base,
        tuple(resources.routes),
        tuple(resources.services),
        resources.limits,
        _removed_names(remove, 'routes'),
        _removed_names(remove, 'services'),
        tuple(resources.teams),
        _removed_names(remove, 'tenants'),
    )


def decode_rollout(body: bytes) -> StartRollout:
    """Decode an order to roll out a version.

    Raises
    ------
    ChangeInvalidError
        Some part of the document is invalid.
    """
    given = _decode_object(body)
    try:
        return StartRollout(
            _require_text(given['service']),
            _require_text(given['target_version']),
            parse_s(given['duration']),
        )
    except _DECODING_ERRORS as error:
        raise ChangeInvalidError((repr(error),)) from error


def encode_plan(plan: RoutePlan) -> bytes:
    """Encode a plan as a configuration document of the platform.

    Each resource is written as the operator sent it.
    """
    sources = ','.join(
        (
            *(route.source for route in plan.routes.values()),
            *(profile.source for profile in plan.services.values()),
            *(team.source for team in plan.teams.values()),
            *((plan.limits.source,) if plan.limits.source else ()),
        ),
    )
    version = format_version(plan.label)
    return f'{{"version":"{version}","resources":[{sources}]}}'.encode()


# Raised while decoding a resource that lacks a field or has a field of the
# wrong type.
_DECODING_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
)


class _Resources:
    """Decoded resources of a document, grouped by type."""

    def __init__(self, given: Any) -> None:
        self.routes: list[HostRoute] = []
        self.services: list[ServiceProfile] = []
        self.teams: list[TeamProfile] = []
        self.limits: CallerLimits | None = None
        if not isinstance(given, list):
            raise ChangeInvalidError(('resources: must be a list',))
        problems: list[str] = []
        for index, item in enumerate(given):
            try:
                self._add(item)
            except _DECODING_ERRORS as error:
                problems.append(f'resources[{index}]: {error!r}')
        if problems:
            raise ChangeInvalidError(tuple(problems))

    def _add(self, item: Mapping[str, Any]) -> None:
        source = json.dumps(item, separators=(',', ':'))
        name = item.get('metadata', {}).get('name', '')
        spec = item['spec']
        match item['resource_type']:
            case 'routes':
                self.routes.append(
                    _decode_route(_require_name(name), spec, source)
                )
            case 'services':
                self.services.append(
                    _decode_service(_require_name(name), spec, source)
                )
            case 'tenants':
                self.teams.append(
                    _decode_team(_require_name(name), spec, source)
                )
            case 'limits':
                self.limits = _decode_limits(spec, source)
            case other:
                raise ValueError(f"unknown resource type '{other}'")


def _decode_route(name: str, spec: Mapping[str, Any], source: str) -> HostRoute:
    prefix = spec['path_prefix']
    if not (prefix.startswith('/') and prefix.endswith('/')):
        raise ValueError('path_prefix: must begin and end with a slash')
    return HostRoute(
        name=name,
        host=_require_text(spec['host']),
        path_prefix=prefix,
        idempotent=_IDEMPOTENT_BY_ROUTE_TYPE[spec['route_type']],
        deadline_ms=parse_ms(spec['timeout']),
        objective_ms=parse_ms(spec['target_latency']),
        priority=_require_integer(spec['priority']),
        destinations=tuple(_decode_destinations(spec)),
        max_attempts=max(_require_integer(spec['max_attempts']), 1),
        source=source,
        public=spec.get('public', False) is True,
        upload=spec['route_type'] == 'upload',
    )


def _decode_destinations(spec: Mapping[str, Any]) -> Iterable[Destination]:
    weighted = spec.get('weighted_clusters')
    if weighted is None:
        yield Destination(_require_text(spec['service']))
        return
    for cluster in weighted:
        yield Destination(
            _require_text(cluster['service']),
            _require_number(cluster['weight']),
        )


def _decode_service(
    name: str,
    spec: Mapping[str, Any],
    source: str,
) -> ServiceProfile:
    return ServiceProfile(
        name=name,
        load_path=_require_text(spec['health_check_path']),
        connections=_require_integer(spec['max_connections']),
        cold_start_s=parse_s(spec.get('cold_start', '0ms')),
        cold_per_s=_require_number(spec.get('coldstart_per_s', 0)),
        source=source,
    )


def _decode_team(
    name: str,
    spec: Mapping[str, Any],
    source: str,
) -> TeamProfile:
    priority = spec.get('priority')
    return TeamProfile(
        name=name,
        keys=_require_keys(spec['api_keys']),
        priority=None if priority is None else _require_integer(priority),
        calls_per_s=_require_number(spec.get('rate_per_s', 0)),
        burst=_require_number(spec.get('burst', 0)),
        source=source,
    )


def _decode_limits(spec: Mapping[str, Any], source: str) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=_require_integer(spec['max_header_bytes']),
        max_body_bytes=_require_integer(spec['max_body_bytes']),
        header_timeout_s=parse_s(spec['header_timeout']),
        idle_timeout_s=parse_s(spec['idle_timeout']),
        source=source,
    )


def _decode_object(body: bytes) -> Mapping[str, Any]:
    try:
        given = load_json(body)
    except ValueError as error:
        raise ChangeInvalidError(
            (f'the body is not valid JSON: {error}',)
        ) from error
    if not isinstance(given, Mapping):
        raise ChangeInvalidError(('the body must be a JSON object',))
    return given


def _decode_versions(given: Mapping[str, Any]) -> tuple[int, int]:
    """Return the version of a document, and the one that it is based on."""
    base = given.get('base_version', 0)
    try:
        label = parse_version(given.get('version'))
        return label, base if base == 0 else parse_version(base)
    except ValueError as error:
        raise ChangeInvalidError((str(error),)) from error


def _removed_names(remove: Mapping[str, Any], kind: str) -> tuple[str, ...]:
    found = remove.get(kind, [])
    if not isinstance(found, list):
        raise ChangeInvalidError((f'remove.{kind}: must be a list',))
    return tuple(str(name) for name in found)


def _require_name(name: Any) -> str:
    if not _require_text(name):
        raise ValueError('metadata.name: must not be empty')
    return str(name)


def _require_text(given: Any) -> str:
    if not isinstance(given, str):
        raise TypeError(f"'{given}' is not a string")
    return given


def _require_keys(given: Any) -> tuple[str, ...]:
    """Return the keys of a team; errors do not contain them."""
    if not isinstance(given, list):
        raise TypeError('api_keys is not a list')
    if not all(isinstance(key, str) and key for key in given):
        raise TypeError('api_keys has an entry that is not a key')
    return tuple(given)


def _require_number(given: Any) -> float:
    if isinstance(given, bool) or not isinstance(given, int | float):
        raise TypeError(f"'{given}' is not a number")
    return float(given)


def _require_integer(given: Any) -> int:
    if isinstance(given, bool) or not isinstance(given, int):
        raise TypeError(f"'{given}' is not a whole number")
    return given
