"""Builds calls from callers' HTTP requests."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Final

import xxhash
from aiohttp import hdrs, web

from lycheespar.call import Body, Call, Headers
from lycheespar.configuration.model import DEFAULT_CLASS, Route, Service
from lycheespar.configuration.routes import HostRoute
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    BadRequestError,
    NoTargetError,
    RequestError,
    StaleConfigurationError,
    UnknownServiceError,
)
from lycheespar.ingress.body import read_body
from lycheespar.ingress.headers import (
    REQUEST_CLASS,
    call_depth,
    forwarded_headers,
)
from lycheespar.ingress.request import CallerRequest
from lycheespar.ingress.split import WeightedSplit
from lycheespar.ingress.team_keys import TeamKeys, priority_of
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile

IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
# A deadline with more digits is longer than the limit of any route.
MAX_DEADLINE_DIGITS: Final = 15
TRACEPARENT: Final = 'traceparent'
MS_PER_S: Final = 1000
# Methods that are both safe and idempotent by definition (RFC 9110, sections
# 9.2.1 and 9.2.2).
SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_CALL_ID_BYTES: Final = 16
_REQUEST_ID_BYTES: Final = 8
# Share of a route's latency objective after which an unanswered request is
# hedged: a second attempt of usual length still fits in the rest.
HEDGE_DELAY_SHARE: Final = 0.5
# Routes for requests that match no route of their service, by whether the HTTP
# method is safe.
_ROUTES_BY_SAFETY: Final = {
    True: Route(idempotent=True),
    False: Route(),
}


def service_from_host(host: str) -> str:
    """Return the name of a service, ``team/service``, from a ``Host`` header.

    Parameters
    ----------
    host : str
        ``service.team``, optionally followed by a domain and a port.

    Raises
    ------
    BadRequestError
        The header doesn't name a service and a team.
    """
    host_parts = host.partition(':')[0].split('.')
    if len(host_parts) < 2 or not all(host_parts[:2]):
        raise BadRequestError("the Host header must begin with 'service.team'")
    return f'{host_parts[1]}/{host_parts[0]}'


def find_route(service: Service, method: str, path: str) -> Route:
    """Return the first matching route of a service.

    Without one, the HTTP method decides whether the request is idempotent.
    """
    for route in service.routes:
        if route.method in {'*', method} and path.startswith(
            route.path_prefix,
        ):
            return route
    return _ROUTES_BY_SAFETY[method in SAFE_METHODS]


class CallBuilder:
    """Builds the call for a request from the configuration in force.

    Parameters
    ----------
    configuration : ConfigurationView
        Services and routes in force.
    max_body_bytes : int
        Largest body of a request in bytes, unless the plan sets a limit.
    profile : HeaderProfile
        Names of the headers.
    own_service : str
        Service of this host's target, sent to targets as the caller's
        service; empty if it is not known.
    """

    __slots__ = (
        '_configuration',
        '_keys',
        '_max_body_bytes',
        '_own_service',
        '_profile',
        '_split',
    )

    def __init__(
        self,
        configuration: ConfigurationView,
        max_body_bytes: int,
        profile: HeaderProfile = DEFAULT_PROFILE,
        own_service: str = '',
    ) -> None:
        """Create a builder that reads the given configuration."""
        self._configuration = configuration
        self._max_body_bytes = max_body_bytes
        self._profile = profile
        self._own_service = own_service
        self._keys = TeamKeys(configuration, profile)
        self._split = WeightedSplit(random.Random())

    @property
    def configuration(self) -> ConfigurationView:
        """Configuration from which calls are built."""
        return self._configuration

    @property
    def max_body_bytes(self) -> int:
        """Largest length in bytes of a request's body."""
        limit = self._configuration.current.plan.limits.max_body_bytes
        return limit or self._max_body_bytes

    def request_id(self, request: CallerRequest) -> str:
        """Return the id that the caller gave the request, or a new one."""
        if not request.request_id:
            request.request_id = (
                self.given_id(request.headers)
                or random.randbytes(_REQUEST_ID_BYTES).hex()
            )
        return request.request_id

    def given_id(self, headers: Mapping[str, str]) -> str:
        """Return the id that a caller gave a request; empty if none."""
        name = self._profile.request_id
        return headers.get(name, '') if name else ''

    def is_idempotent(self, request: web.BaseRequest) -> bool:
        """Return whether a request may run more than once."""
        host = request.headers.get(hdrs.HOST, '')
        route = self._configuration.routes.find(host, request.raw_path)
        if route is not None:
            return route.idempotent
        try:
            _, service = self._find_service(host)
        except RequestError:
            return False
        found = find_route(service, request.method, request.raw_path)
        return found.idempotent and self._configuration.is_current

    async def build_call(self, request: CallerRequest) -> Call:
        """Build the call for a request.

        Routes of the plan come first; without a match, the host names the
        service and its team.

        Parameters
        ----------
        request : CallerRequest
            The caller's request.

        Raises
        ------
        UnknownServiceError
            No service or route matches the request.
        StaleConfigurationError
            No service or route matches, but the configuration may be out of
            date.
        NoTargetError
            All destinations of the route have weight 0.
        UnknownKeyError
            The route needs the key of a team, and the request has none.
        BadRequestError
            A header is invalid, or the request's body ended early.
        BodyTooLargeError
            The body is longer than allowed.
        LoopDetectedError
            The chain of calls above this request is too long.
        """
        if request.method == hdrs.METH_CONNECT:
            raise BadRequestError('tunnels are not supported')
        host = request.headers.get(hdrs.HOST, '')
        route = self._configuration.routes.find(host, request.raw_path)
        if route is None:
            call = await self._call_by_service(request, host)
        else:
            call = await self._call_by_route(request, route)
        call.request_id = self.request_id(request)
        return call

    async def _call_by_route(
        self,
        request: CallerRequest,
        route: HostRoute,
    ) -> Call:
        """Build the call for a request that matches a route of the plan.

        Raises
        ------
        UnknownKeyError
            The route needs the key of a team, and the request has none.
        """
        service = self._split.choose_service(route)
        if not service:
            raise NoTargetError(
                f"all destinations of route '{route.name}' have weight 0",
            )
        team = self._keys.find_team(request.headers, route)
        deadline = self._deadline(request, route.deadline_ms)
        body = await self._read_body(request)
        depth = call_depth(request.headers)
        return Call(
            call_id=random.randbytes(_CALL_ID_BYTES),
            service=service,
            method=request.method,
            path=request.raw_path,
            headers=self._keys.replace_key(
                self._target_headers(request, depth, route.name), team
            ),
            body=body,
            request_class=route.name,
            weight=1 / (1 + priority_of(route, team)),
            idempotent=route.idempotent,
            deadline=deadline,
            fingerprint=_fingerprint(request, service, body),
            traceparent=request.headers.get(TRACEPARENT, ''),
            max_attempts=route.max_attempts,
            objective_at=deadline - _objective_margin_s(route),
            hedge_after_s=route.objective_ms * HEDGE_DELAY_SHARE / MS_PER_S,
            team='' if team is None else team.name,
        )

    async def _call_by_service(
        self,
        request: CallerRequest,
        host: str,
    ) -> Call:
        """Build the call for a request whose host names team and service."""
        configuration = self._configuration
        current = configuration.is_current and not configuration.is_behind
        if not configuration.current.revision or not current:
            self._require_known_service(host)
        name, service = self._find_service(host)
        headers = request.headers
        route = find_route(service, request.method, request.raw_path)
        depth = call_depth(headers)
        request_class = _request_class(request, service, route, depth)
        deadline = self._deadline(
            request,
            route.deadline_ms or service.parameters.deadline_ms,
        )
        body = await self._read_body(request)
        return Call(
            call_id=random.randbytes(_CALL_ID_BYTES),
            service=name,
            method=request.method,
            path=request.raw_path,
            headers=self._target_headers(request, depth, request_class),
            body=body,
            request_class=request_class,
            weight=service.weight(request_class),
            # The route may have changed if the configuration is out of date, so
            # the request must not run more than once then.
            idempotent=route.idempotent and configuration.is_current,
            deadline=deadline,
            idempotency_key=headers.get(IDEMPOTENCY_KEY, ''),
            fingerprint=_fingerprint(request, name, body),
            traceparent=headers.get(TRACEPARENT, ''),
        )

    def _require_known_service(self, host: str) -> None:
        """Refuse a host whose service the configuration doesn't have.

        The configuration may be out of date and the service may have been
        added since, so the caller gets an error that may be retried.
        """
        try:
            known = service_from_host(host) in self._configuration.services
        except BadRequestError:
            known = False
        if not known:
            raise StaleConfigurationError(
                f"no service is known for host '{host}', but the "
                'configuration may be out of date',
            )

    def _find_service(self, host: str) -> tuple[str, Service]:
        """Return name and configuration of the service that a host names.

        Raises
        ------
        UnknownServiceError
            There is no such service, nor a route for the host.
        BadRequestError
            The host doesn't name a service and a team, and the plan has no
            routes.
        """
        try:
            name = service_from_host(host)
        except BadRequestError as error:
            if len(self._configuration.routes):
                raise UnknownServiceError(host) from error
            raise
        service = self._configuration.services.get(name)
        if service is None:
            raise UnknownServiceError(name)
        return name, service

    async def _read_body(self, request: CallerRequest) -> Body:
        return await read_body(request, self.max_body_bytes)

    def _deadline(self, request: CallerRequest, limit_ms: float) -> float:
        """Return the deadline of a request, by the clock of the event loop.

        The time starts when the request was read, also if it waited behind
        others on its connection. A header of the caller may shorten the
        given limit, but not extend it.
        """
        budget_ms = limit_ms
        header_text = request.headers.get(self._profile.deadline)
        if header_text is not None:
            if not header_text.isdecimal():
                raise BadRequestError(
                    f'{self._profile.deadline} must be a whole number of '
                    'milliseconds',
                )
            if len(header_text) <= MAX_DEADLINE_DIGITS:
                budget_ms = min(int(header_text), limit_ms)
        return request.read_at + budget_ms / MS_PER_S

    def _target_headers(
        self,
        request: web.BaseRequest,
        depth: int,
        request_class: str,
    ) -> Headers:
        pairs = forwarded_headers(
            request.headers, request.remote, depth, request_class
        )
        name = self._profile.caller_service
        if not name:
            return pairs
        lowered = name.lower()
        return (
            *(pair for pair in pairs if pair[0].lower() != lowered),
            (name, self._own_service),
        )


def _request_class(
    request: web.BaseRequest,
    service: Service,
    route: Route,
    depth: int,
) -> str:
    """Return the class of a request.

    A request that is part of another call inherits the class of that call.
    """
    inherited = request.headers.get(REQUEST_CLASS, '')
    if depth and inherited in service.classes:
        return inherited
    return route.request_class or DEFAULT_CLASS


def _objective_margin_s(route: HostRoute) -> float:
    """Return the time between the objective and the deadline of a request.

    The objective is counted back from the deadline: a caller that waits for
    less than the route's deadline has likely spent the rest on an earlier
    attempt, which counts against the objective.
    """
    return max(route.deadline_ms - route.objective_ms, 0) / MS_PER_S


def _fingerprint(request: web.BaseRequest, name: str, body: Body) -> bytes:
    digest = xxhash.xxh3_128()
    digest.update(f'{name} {request.method} {request.raw_path} '.encode())
    if isinstance(body, bytes):
        digest.update(body)
    return digest.digest()
