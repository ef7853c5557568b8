"""Connection of an HTTP server that bounds what unfinished requests cost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web
from aiohttp.helpers import DEFAULT_CHUNK_SIZE

from lycheespar.errors import HeadTimeoutError, RequestsOverMemoryError
from lycheespar.http_limits.head_queue import HeadQueue
from lycheespar.http_limits.reading import BoundedReading

if TYPE_CHECKING:
    from lycheespar.http_limits.server import BoundedServer

# Memory that a connection may use in any case.
FAIR_BYTES: Final = 64 * 1024
# Memory of a body that is received faster than it is read.
BODY_BYTES: Final = 2 * DEFAULT_CHUNK_SIZE
# Times that the text of a body is kept which is received whole.
BODY_COPIES: Final = 2
# Memory that the parser needs for a byte of an unfinished head.
_PARSER_BYTES: Final = 4


class BoundedConnection(BoundedReading):
    """Protocol of one connection, with the limits of its server.

    Adds limits of time and of the memory of all connections together.

    Parameters
    ----------
    manager : BoundedServer
        Server that has accepted the connection.
    queue : HeadQueue
        Holds the requests until their turn.
    loop : asyncio.AbstractEventLoop
        The event loop.
    **options : Any
        Options of the base class.
    """

    __slots__ = (
        '_body_begun_at',
        '_body_bytes',
        '_head_begun_at',
        '_held_bytes',
        '_quiet_since',
        '_stalled_since',
        '_unsent_bytes',
    )

    def __init__(
        self,
        manager: BoundedServer,
        queue: HeadQueue,
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        """Create the protocol of a new connection."""
        super().__init__(manager, queue, loop=loop, **options)
        self._held_bytes = 0
        self._quiet_since = loop.time()
        self._head_begun_at: float | None = None
        self._body_begun_at: float | None = None
        self._body_bytes = 0
        self._stalled_since: float | None = None
        self._unsent_bytes = 0

    @property
    def awaits_request(self) -> bool:
        """Whether all requests of the connection are answered."""
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    @property
    def quiet_since(self) -> tuple[bool, float]:
        """Order in which connections are closed to make room.

        Those without a whole request so far come first, then those whose last
        answer was sent the longest time ago.
        """
        return self._request_count > 0, self._quiet_since

    @property
    def is_closing(self) -> bool:
        """Whether the connection is about to be closed."""
        return self._force_close or self.transport is None

    @property
    def is_unfinished(self) -> bool:
        """Whether a part of a request was received, or bytes that are none."""
        if self.awaits_request:
            return self._framing.head_bytes > 0
        if self._broken and not (self._messages or self._current_request):
            return True
        return self._whole_bodies and self._framing.body is not None

    @property
    def stalled_since(self) -> float | None:
        """When bytes that wait to be sent were accepted last, if any wait."""
        return self._stalled_since

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be sent while writing is paused."""
        if not self._paused or self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop to read."""
        if self._reading_later is not None:
            self._reading_later.cancel()
        super().connection_lost(exc)

    def force_close(self) -> None:
        """Close the connection at once; release what it holds."""
        super().force_close()
        self._framing.clear()
        self._server.change_held(-self._held_bytes)
        self._held_bytes = 0

    def enforce(self, now: float, checked_at: float) -> None:
        """End the connection if it has exceeded a time limit.

        Parameters
        ----------
        now : float
            Current time in seconds.
        checked_at : float
            Time of the previous check. A limit must have been exceeded then,
            so that bytes which arrived since have been read.
        """
        self._check_reading(now, checked_at)
        self._check_writing(now)

    def abort(self) -> None:
        """Close the connection and discard what is not sent."""
        if self.transport is not None:
            self.transport.abort()

    def _read(self, parse: Callable[[bytes], None], *, new_data: bool) -> None:
        super()._read(parse, new_data=new_data)
        framing = self._framing
        if framing.body is None:
            self._body_begun_at = None
        elif self._whole_bodies:
            self._body_bytes = framing.body.total_bytes * BODY_COPIES
            if self._body_begun_at is None:
                self._body_begun_at = self._loop.time()
        if not framing.head_bytes or framing.body is not None:
            self._head_begun_at = None
        elif self._head_begun_at is None:
            self._head_begun_at = self._loop.time()
        if self._update_held() and self._server.memory_is_exhausted:
            self._release_memory()

    def _update_held(self) -> bool:
        """Tell the server how much memory the connection holds.

        Returns
        -------
        bool
            Whether it is more than before.
        """
        framing = self._framing
        held_bytes = (
            len(framing)
            + framing.head_bytes * _PARSER_BYTES
            + self._queue.held_bytes
            + self._body_bytes
        )
        if self._reading_paused:
            held_bytes += BODY_BYTES
        change = held_bytes - self._held_bytes
        if not change or self._force_close:
            return False
        self._held_bytes = held_bytes
        self._server.change_held(change)
        return change > 0

    def _release_memory(self) -> None:
        """Release memory of unfinished requests, or of this connection."""
        self._server.release_unfinished()
        exhausted = self._server.memory_is_exhausted
        if exhausted and self._held_bytes > FAIR_BYTES and self._framing:
            self.reject(RequestsOverMemoryError())
            self._update_held()

    def _check_reading(self, now: float, checked_at: float) -> None:
        """End the connection if a head, a body or a request is overdue."""
        limits = self._server.limits
        if self._buffer_paused or self._reading_paused:
            # The rest of the head may have arrived.
            self._head_begun_at = self._head_begun_at and now
        elif _exceeds(self._head_begun_at, limits.head_timeout_s, checked_at):
            self._head_begun_at = None
            self.reject(HeadTimeoutError())
            self._update_held()
        elif _exceeds(self._body_begun_at, limits.body_timeout_s, checked_at):
            self.abort()
        elif self._is_idle and _exceeds(
            self._quiet_since, limits.idle_timeout_s, checked_at
        ):
            self.force_close()

    @property
    def _is_idle(self) -> bool:
        """Whether no request has begun to arrive."""
        begun = self._framing or self._framing.head_bytes
        return self.awaits_request and not begun

    @property
    def _whole_bodies(self) -> bool:
        """Whether requests are handled once they are received whole."""
        return self._server.limits.body_timeout_s > 0

    def _check_writing(self, now: float) -> None:
        """Abort the connection if it has accepted no byte for too long."""
        unsent_bytes = self.unsent_bytes
        if not unsent_bytes or unsent_bytes != self._unsent_bytes:
            self._stalled_since = now if unsent_bytes else None
        elif (
            self._stalled_since is not None
            and self._stalled_since + self._server.limits.write_timeout_s < now
        ):
            self.abort()
        self._unsent_bytes = unsent_bytes

    async def _handle_request(
        self, request: web.BaseRequest, *arguments: Any
    ) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(request, *arguments)
        finally:
            self._quiet_since = self._loop.time()
            self._body_bytes = 0
            self._queue.release_taken()
            self._update_held()

    def _process_keepalive(self) -> None:
        """Leave idle connections to `enforce`."""
        self._keepalive_handle = None


def _exceeds(
    begun_at: float | None, timeout_s: float, checked_at: float
) -> bool:
    """Whether something took longer than a limit; 0 for no limit."""
    if begun_at is None or not timeout_s:
        return False
    return begun_at + timeout_s < checked_at
