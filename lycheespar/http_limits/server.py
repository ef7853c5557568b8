"""HTTP server whose connections share limits."""

from __future__ import annotations

import asyncio
import heapq
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from lycheespar.errors import RequestError
from lycheespar.http_limits.connection import BoundedConnection
from lycheespar.http_limits.head_queue import HeadQueue
from lycheespar.http_limits.limits import RequestLimits, port_limits
from lycheespar.line_budget import LineBudget
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.limit_events import ConnectionRejected

# Time in seconds between two checks of the time limits.
CHECK_INTERVAL_S: Final = 1
# Heads that need less memory than this are always kept.
SMALL_HEAD_BYTES: Final = 16 * 1024
# Share of the connections that are closed together to make room.
RELEASED_SHARE: Final = 1 / 32


class BoundedServer(web.Server):
    """Server that bounds its connections and what they hold.

    Parameters
    ----------
    handler : Callable
        Answers a request.
    limits : RequestLimits
        Limits of the server.
    **options : Any
        Options of the base class.

    Attributes
    ----------
    rejected : Counter[str]
        Connections outside the limits, by the code of the error.
    """

    def __init__(
        self,
        handler: Callable[[Any], Awaitable[web.StreamResponse]],
        limits: RequestLimits,
        **options: Any,
    ) -> None:
        """Create a server without connections."""
        super().__init__(handler, **options)
        self._limits = limits
        self.rejected: Counter[str] = Counter()
        self._held_bytes = 0
        self._lines = LineBudget(self._loop.time())
        self._check: asyncio.TimerHandle | None = None
        self._checked_at = self._loop.time()

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        options: dict[str, Any] = self._kwargs
        return BoundedConnection(
            self, HeadQueue(self.admits_head), loop=self._loop, **options
        )

    @property
    def limits(self) -> RequestLimits:
        """Limits in force."""
        return self._limits

    def change_limits(self, limits: RequestLimits) -> None:
        """Put limits in force, for open connections too."""
        self._limits = limits

    @property
    def held_bytes(self) -> int:
        """Memory that unfinished and waiting requests use."""
        return self._held_bytes

    @property
    def memory_is_scarce(self) -> bool:
        """Whether half of the memory for requests is in use."""
        return self._held_bytes * 2 > self.limits.held_bytes

    @property
    def memory_is_exhausted(self) -> bool:
        """Whether all memory for requests is in use."""
        return self._held_bytes > self.limits.held_bytes

    def admits_head(self, size: int) -> bool:
        """Return whether a head may be kept.

        Parameters
        ----------
        size : int
            Memory in bytes that it needs.
        """
        if size <= SMALL_HEAD_BYTES:
            return True
        return self._held_bytes + size <= self.limits.held_bytes

    def change_held(self, change: int) -> None:
        """Note that a connection holds more or fewer bytes than before."""
        self._held_bytes += change

    def count_rejected(self, error: BaseException) -> None:
        """Count a connection that is read no further after an error."""
        code = error.code if isinstance(error, RequestError) else 'internal'
        self.rejected[code] += 1
        events.write(ConnectionRejected(code, len(self._connections)))

    def spend_lines(self, lines: int) -> float:
        """Charge lines of bodies; return for how many seconds to pause."""
        return self._lines.spend(lines, self._loop.time())

    def connection_made(
        self, handler: RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Add a connection; close others if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > self.limits.connections:
            self._make_room(handler)
        if self._check is None:
            self._checked_at = self._loop.time()
            self._schedule_check()

    def release_unfinished(self) -> None:
        """Close the quietest connections with a request that is not whole."""
        unfinished = (
            connection
            for connection in self._bounded_connections()
            if connection.is_unfinished
        )
        self._close_quietest(unfinished)

    def _make_room(self, newest: RequestHandler) -> None:
        """Close the quietest connections without a request in progress."""
        open_connections = [
            connection
            for connection in self._bounded_connections()
            if not connection.is_closing
        ]
        if len(open_connections) <= self.limits.connections:
            return
        self.rejected['connections_over_limit'] += 1
        events.write(
            ConnectionRejected('connections_over_limit', len(open_connections))
        )
        waiting = (
            connection
            for connection in open_connections
            if connection.awaits_request or connection.is_unfinished
        )
        if not self._close_quietest(waiting):
            newest.force_close()

    def _close_quietest(self, candidates: Iterator[BoundedConnection]) -> int:
        """Close some of the connections; return how many were closed."""
        count = max(int(self.limits.connections * RELEASED_SHARE), 1)
        closed = heapq.nsmallest(count, candidates, key=_quiet_since)
        for connection in closed:
            connection.force_close()
        return len(closed)

    def _bounded_connections(self) -> Iterator[BoundedConnection]:
        return (
            connection
            for connection in tuple(self._connections)
            if isinstance(connection, BoundedConnection)
        )

    def _schedule_check(self) -> None:
        self._check = self._loop.call_later(
            CHECK_INTERVAL_S, self._check_connections
        )

    def _check_connections(self) -> None:
        """End the connections that have exceeded a time limit."""
        self._check = None
        now = self._loop.time()
        unsent_bytes = 0
        for connection in self._bounded_connections():
            connection.enforce(now, self._checked_at)
            unsent_bytes += connection.unsent_bytes
        if unsent_bytes > self.limits.unsent_bytes:
            self._abort_stalled(now - 2 * CHECK_INTERVAL_S)
        self._checked_at = now
        if self._connections:
            self._schedule_check()

    def _abort_stalled(self, since: float) -> None:
        """Abort all connections that have accepted no byte since a time."""
        for connection in self._bounded_connections():
            stalled_since = connection.stalled_since
            if stalled_since is not None and stalled_since < since:
                connection.abort()


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a server with limits."""

    async def _make_server(self) -> web.Server:
        await super()._make_server()
        app = self.app
        handler: Any = app._handle  # noqa: SLF001
        return BoundedServer(
            handler,
            port_limits(),
            request_factory=app._make_request,  # noqa: SLF001
            **self._kwargs,
        )


def _quiet_since(connection: BoundedConnection) -> tuple[bool, float]:
    return connection.quiet_since
