"""Turns a caller's HTTP request into a call."""

from __future__ import annotations

import asyncio
import random
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
    StaleConfigurationError,
    UnknownServiceError,
)
from lycheespar.ingress.body import read_body
from lycheespar.ingress.headers import REQUEST_CLASS, call_depth, forwarded
from lycheespar.ingress.split import WeightedSplit
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile

IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
TRACEPARENT: Final = 'traceparent'
MS_PER_S: Final = 1000
# Methods that are idempotent by definition (RFC 9110, section 9.2.2) and safe.
SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_CALL_ID_BYTES: Final = 16
_REQUEST_ID_BYTES: Final = 8
# Part of its objective that a request waits before it is hedged: a second run
# of usual length still fits in the rest.
HEDGE_SHARE: Final = 0.5
_DEFAULT_ROUTES: Final = {
    True: Route(idempotent=True),
    False: Route(),
}


def service_name(host: str) -> str:
    """Return the ``team/service`` that a ``Host`` header names.

    Parameters
    ----------
    host : str
        ``service.team``, with a domain and a port behind it if need be.

    Raises
    ------
    BadRequestError
        The header doesn't name a service and a team.
    """
    labels = host.partition(':')[0].split('.')
    if len(labels) < 2 or not all(labels[:2]):
        raise BadRequestError("the Host header must be 'service.team'")
    return f'{labels[1]}/{labels[0]}'


def find_route(service: Service, method: str, path: str) -> Route:
    """Return the first route that matches, or one by the HTTP method."""
    for route in service.routes:
        if route.method in {'*', method} and path.startswith(
            route.path_prefix,
        ):
            return route
    return _DEFAULT_ROUTES[method in SAFE_METHODS]


class Classifier:
    """Turns requests into calls.

    Parameters
    ----------
    configuration : ConfigurationView
        Services and their routes.
    max_body_bytes : int
        Largest body of a request, in bytes.
    profile : HeaderProfile
        Names of the headers.
    own_service : str
        Service of this host's target, told to the targets of calls that
        begin here; empty if it is not told.
    """

    __slots__ = (
        '_configuration',
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
        """Keep the parts."""
        self._configuration = configuration
        self._max_body_bytes = max_body_bytes
        self._profile = profile
        self._own_service = own_service
        self._split = WeightedSplit()

    @property
    def configuration(self) -> ConfigurationView:
        """Configuration by which requests are classified."""
        return self._configuration

    def request_id(self, request: web.BaseRequest) -> str:
        """Return the caller's id of a request, or a new one."""
        name = self._profile.request_id
        given = request.headers.get(name, '') if name else ''
        return given or random.randbytes(_REQUEST_ID_BYTES).hex()

    async def classify(self, request: web.BaseRequest, request_id: str) -> Call:
        """Build the call that a request asks for.

        Parameters
        ----------
        request : web.BaseRequest
            The request.
        request_id : str
            Its id for logs.

        Raises
        ------
        UnknownServiceError
            There is no such service or route.
        StaleConfigurationError
            There may be such a service by now.
        NoTargetError
            The route leads nowhere.
        BadRequestError
            A header can't be understood.
        BodyTooLargeError
            The body is longer than allowed.
        LoopDetectedError
            Too many calls are above this one.
        """
        host = request.headers.get(hdrs.HOST, '')
        route = self._configuration.routes.find(host, request.raw_path)
        if route is None:
            call = await self._by_service(request, host)
        else:
            call = await self._by_route(request, route)
        call.request_id = request_id
        return call

    async def _by_route(
        self,
        request: web.BaseRequest,
        route: HostRoute,
    ) -> Call:
        """Build the call of a request that a route of the plan takes."""
        service = self._split.choose(route)
        if not service:
            raise NoTargetError(f"route '{route.name}' has no weight")
        deadline = self._deadline(request, route.deadline_ms)
        body = await self._body(request)
        depth = call_depth(request.headers)
        return Call(
            call_id=random.randbytes(_CALL_ID_BYTES),
            service=service,
            method=request.method,
            path=request.raw_path,
            headers=self._headers(request, depth, route.name),
            body=body,
            request_class=route.name,
            weight=1 / (1 + route.priority),
            idempotent=route.idempotent,
            deadline=deadline,
            fingerprint=_fingerprint(request, service, body),
            traceparent=request.headers.get(TRACEPARENT, ''),
            max_attempts=route.max_attempts,
            objective_at=deadline - _margin_s(route),
            hedge_after_s=route.objective_ms * HEDGE_SHARE / MS_PER_S,
        )

    async def _by_service(
        self,
        request: web.BaseRequest,
        host: str,
    ) -> Call:
        """Build the call of a request that names a service and its team."""
        configuration = self._configuration
        current = configuration.is_current and not configuration.is_behind
        if not configuration.current.revision or not current:
            self._require_service(host)
        name, service = self._named_service(host)
        headers = request.headers
        route = find_route(service, request.method, request.raw_path)
        depth = call_depth(headers)
        request_class = _request_class(request, service, route, depth)
        deadline = self._deadline(
            request,
            route.deadline_ms or service.parameters.deadline_ms,
        )
        body = await self._body(request)
        return Call(
            call_id=random.randbytes(_CALL_ID_BYTES),
            service=name,
            method=request.method,
            path=request.raw_path,
            headers=self._headers(request, depth, request_class),
            body=body,
            request_class=request_class,
            weight=service.weight(request_class),
            # The route may have changed since the configuration was current.
            idempotent=route.idempotent and configuration.is_current,
            deadline=deadline,
            idempotency_key=headers.get(IDEMPOTENCY_KEY, ''),
            fingerprint=_fingerprint(request, name, body),
            traceparent=headers.get(TRACEPARENT, ''),
        )

    def _require_service(self, host: str) -> None:
        """Refuse what an older configuration lacks: it may exist by now."""
        try:
            known = service_name(host) in self._configuration.services
        except BadRequestError:
            known = False
        if not known:
            raise StaleConfigurationError(f"'{host}' may be new")

    def _named_service(self, host: str) -> tuple[str, Service]:
        """Return the service that a host names.

        Raises
        ------
        UnknownServiceError
            There is none, nor a route for the host.
        BadRequestError
            The host names no service, and there are no routes by host.
        """
        try:
            name = service_name(host)
        except BadRequestError as error:
            if len(self._configuration.routes):
                raise UnknownServiceError(host) from error
            raise
        service = self._configuration.services.get(name)
        if service is None:
            raise UnknownServiceError(name)
        return name, service

    async def _body(self, request: web.BaseRequest) -> Body:
        limit = self._configuration.current.plan.limits.max_body_bytes
        return await read_body(request, limit or self._max_body_bytes)

    def _deadline(self, request: web.BaseRequest, longest_ms: float) -> float:
        """Return the instant at which the time of a request is up."""
        budget_ms = longest_ms
        given = request.headers.get(self._profile.deadline)
        if given is not None:
            if not given.isdecimal():
                raise BadRequestError(
                    f'{self._profile.deadline} must be whole milliseconds',
                )
            budget_ms = min(int(given), longest_ms)
        now = asyncio.get_running_loop().time()
        return now + budget_ms / MS_PER_S

    def _headers(
        self,
        request: web.BaseRequest,
        depth: int,
        request_class: str,
    ) -> Headers:
        kept = forwarded(request.headers, request.remote, depth, request_class)
        name = self._profile.caller_service
        if not name:
            return kept
        lowered = name.lower()
        return (
            *(pair for pair in kept if pair[0].lower() != lowered),
            (name, self._own_service),
        )


def _request_class(
    request: web.BaseRequest,
    service: Service,
    route: Route,
    depth: int,
) -> str:
    """Return the class of a request; a deep one keeps that of its caller."""
    inherited = request.headers.get(REQUEST_CLASS, '')
    if depth and inherited in service.classes:
        return inherited
    return route.request_class or DEFAULT_CLASS


def _margin_s(route: HostRoute) -> float:
    """Return the time from the objective of a request to its deadline.

    A caller that waits for less than the route's time has likely spent the
    rest on an earlier try, which counts against the objective.
    """
    return max(route.deadline_ms - route.objective_ms, 0) / MS_PER_S


def _fingerprint(request: web.BaseRequest, name: str, body: Body) -> bytes:
    digest = xxhash.xxh3_128()
    digest.update(f'{name} {request.method} {request.raw_path} '.encode())
    if isinstance(body, bytes):
        digest.update(body)
    return digest.digest()
