"""A server for callers with limits, and connections without a network."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from aiohttp.web_protocol import RequestHandler

from lycheespar.call import Dispatch
from lycheespar.configuration.model import (
    Configuration,
    Route,
    Team,
    TeamService,
    Template,
)
from lycheespar.configuration.routes import CallerLimits, RoutePlan
from lycheespar.configuration.view import ConfigurationView
from lycheespar.http_limits.limits import RequestLimits
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.server import IngressServer
from lycheespar.settings.options import Address
from lycheespar.tests.ingress.callers import Caller, GatedDispatch

LIMITS = CallerLimits(max_header_bytes=16384)


class HeldTransport(asyncio.Transport):
    """Transport that sends nothing and only notes what it is asked to do."""

    def __init__(self) -> None:
        """Create an open transport."""
        own, self._other = socket.socketpair()
        super().__init__({'socket': own})
        self.reading = True
        self.closed = False
        self.written = bytearray()

    def pause_reading(self) -> None:
        """Receive nothing more."""
        self.reading = False

    def resume_reading(self) -> None:
        """Receive again."""
        self.reading = True

    def is_closing(self) -> bool:
        """Whether the transport was closed."""
        return self.closed

    def write(self, data: Any) -> None:
        """Note bytes that are to be sent."""
        self.written += data

    def writelines(self, chunks: Any) -> None:
        """Note bytes that are to be sent."""
        self.written += b''.join(chunks)

    def close(self) -> None:
        """Close the transport."""
        self.closed = True

    abort = close


def configuration(limits: CallerLimits, revision: int = 1) -> Configuration:
    """Return a configuration with limits for callers."""
    routes = (Route(path_prefix='/get', idempotent=True),)
    return Configuration(
        revision,
        {'counter': Template('counter', routes=routes)},
        {'team': Team('team', {'desk': TeamService('counter')})},
        plan=RoutePlan(limits=limits),
    )


def new_server(
    limits: CallerLimits = LIMITS,
    dispatch: Dispatch | None = None,
    view: ConfigurationView | None = None,
    limits_of_port: RequestLimits | None = None,
) -> IngressServer:
    """Return a server that is not started."""
    options: dict[str, Any] = (
        {} if limits_of_port is None else {'limits': limits_of_port}
    )
    view = view or ConfigurationView(configuration(limits))
    builder = CallBuilder(view, 1000)
    return IngressServer(builder, dispatch or GatedDispatch(), **options)


def open_connection(server: IngressServer) -> RequestHandler:
    """Return a connection whose other end never reads."""
    connection = server._server()
    connection.connection_made(HeldTransport())
    return connection


@asynccontextmanager
async def serving(server: IngressServer) -> AsyncIterator[IngressServer]:
    """Start a server on a free port."""
    await server.start(Address('127.0.0.1', 0))
    try:
        yield server
    finally:
        await server.stop()


@asynccontextmanager
async def caller_of(server: IngressServer) -> AsyncIterator[Caller]:
    """Connect a caller to a server."""
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    try:
        yield Caller(server, reader, writer)
    finally:
        writer.close()
