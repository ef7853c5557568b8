"""Server that accepts callers' connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from lycheespar.http_limits.limits import RequestLimits
from lycheespar.http_limits.server import BoundedServer
from lycheespar.ingress.connection import CallerConnection
from lycheespar.ingress.early_calls import EarlyCalls
from lycheespar.ingress.listener import accept_all_segments


class CallerServer(BoundedServer):
    """Creates the protocol for each connection from a caller.

    Parameters
    ----------
    handler : Callable
        Answers a request.
    early_calls : EarlyCalls
        Starts the calls of pipelined requests.
    limits : RequestLimits
        Limits of the server.
    **options : Any
        Options of the base class.
    """

    def __init__(
        self,
        handler: Callable[[Any], Awaitable[web.StreamResponse]],
        early_calls: EarlyCalls,
        limits: RequestLimits,
        **options: Any,
    ) -> None:
        """Create a server without connections."""
        super().__init__(handler, limits, **options)
        self._early_calls = early_calls

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        options: dict[str, Any] = self._kwargs
        return CallerConnection(
            self, self._early_calls, loop=self._loop, **options
        )

    @property
    def busy(self) -> bool:
        """Whether any connection has a request that is not yet answered."""
        return any(
            connection.busy
            for connection in self.connections
            if isinstance(connection, CallerConnection)
        )

    async def shutdown(self, timeout: float | None = None) -> None:
        """End all connections; abort requests after a time in seconds."""
        for connection in self.connections:
            if isinstance(connection, CallerConnection):
                connection.cut_report.reason = 'end of the stop'
        await super().shutdown(timeout)

    def accept_all_segments(self) -> None:
        """Let all connections receive what their callers send."""
        for connection in self.connections:
            if connection.transport is not None:
                accept_all_segments(
                    connection.transport.get_extra_info('socket')
                )
