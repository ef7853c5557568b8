"""Turns a caller's HTTP request into a call."""

from __future__ import annotations

import asyncio
import random
from typing import Final

import xxhash
from aiohttp import hdrs, web

from lycheespar.call import Body, Call
from lycheespar.configuration.model import DEFAULT_CLASS, Route, Service
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    BadRequestError,
    StaleConfigurationError,
    UnknownServiceError,
)
from lycheespar.ingress.body import read_body
from lycheespar.ingress.headers import REQUEST_CLASS, call_depth, forwarded
from lycheespar.targets.headers import DEADLINE

IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
TRACEPARENT: Final = 'traceparent'
MS_PER_S: Final = 1000
# Methods that are idempotent by definition (RFC 9110, section 9.2.2) and safe.
SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))
_CALL_ID_BYTES: Final = 16
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


async def classify(
    request: web.BaseRequest,
    configuration: ConfigurationView,
    max_body_bytes: int,
) -> Call:
    """Build the call that a request asks for.

    Raises
    ------
    UnknownServiceError
        There is no such service.
    StaleConfigurationError
        There may be such a service by now.
    BadRequestError
        A header can't be understood.
    BodyTooLargeError
        The body is longer than `max_body_bytes`.
    LoopDetectedError
        Too many calls are above this one.
    """
    headers = request.headers
    name = service_name(headers.get(hdrs.HOST, ''))
    service = configuration.services.get(name)
    current = configuration.is_current
    if service is None and not current:
        raise StaleConfigurationError(f"'{name}' may be new")
    if service is None:
        raise UnknownServiceError(name)
    route = find_route(service, request.method, request.raw_path)
    depth = call_depth(headers)
    request_class = _request_class(request, service, route, depth)
    budget_s = _budget_ms(request, service, route) / MS_PER_S
    deadline = asyncio.get_running_loop().time() + budget_s
    body = await read_body(request, max_body_bytes)
    return Call(
        call_id=random.randbytes(_CALL_ID_BYTES),
        service=name,
        method=request.method,
        path=request.raw_path,
        headers=forwarded(headers, request.remote, depth, request_class),
        body=body,
        request_class=request_class,
        weight=service.weight(request_class),
        # The route may have changed since the configuration was current.
        idempotent=route.idempotent and current,
        deadline=deadline,
        idempotency_key=headers.get(IDEMPOTENCY_KEY, ''),
        fingerprint=_fingerprint(request, name, body),
        traceparent=headers.get(TRACEPARENT, ''),
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


def _budget_ms(
    request: web.BaseRequest,
    service: Service,
    route: Route,
) -> float:
    budget_ms = route.deadline_ms or service.parameters.deadline_ms
    given = request.headers.get(DEADLINE)
    if given is None:
        return budget_ms
    if not given.isdecimal():
        raise BadRequestError(f'{DEADLINE} must be whole milliseconds')
    return min(int(given), budget_ms)


def _fingerprint(request: web.BaseRequest, name: str, body: Body) -> bytes:
    digest = xxhash.xxh3_128()
    digest.update(f'{name} {request.method} {request.raw_path} '.encode())
    if isinstance(body, bytes):
        digest.update(body)
    return digest.digest()
