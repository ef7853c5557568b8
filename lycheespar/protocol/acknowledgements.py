"""Acknowledgements of requests, left out where the answer comes first."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import Accepted

# Time in seconds for which an acknowledgement waits for its answer; far below
# the time after which the calling node takes the channel for silent.
DELAY_S: Final = 0.05
# Time in seconds past which one is sent at once, so that the calling node
# always has a recent clock of this one.
PERIOD_S: Final = 1
MS_PER_S: Final = 1000


class Acknowledgements:
    """Acknowledges the requests of one channel.

    Parameters
    ----------
    connection : FrameConnection
        The channel's connection.
    """

    __slots__ = ('_connection', '_loop', '_sent_at', '_timer', '_waiting')

    def __init__(self, connection: FrameConnection) -> None:
        """Start without requests."""
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[bytes, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = float('-inf')

    def add(self, call_id: bytes, *, repeated: bool) -> None:
        """Acknowledge a request, at once if it was sent before."""
        if repeated or self._loop.time() - self._sent_at > PERIOD_S:
            self._send(call_id)
            return
        self._waiting[call_id] = None
        if self._timer is None:
            self._timer = self._loop.call_later(DELAY_S, self._send_waiting)

    def answered(self, call_id: bytes) -> None:
        """Note that a request needs no acknowledgement any more."""
        self._waiting.pop(call_id, None)

    def stop(self) -> None:
        """Send nothing more."""
        self._waiting.clear()
        if self._timer is not None:
            self._timer.cancel()

    def _send_waiting(self) -> None:
        self._timer = None
        for call_id in self._waiting:
            self._send(call_id)
        self._waiting.clear()

    def _send(self, call_id: bytes) -> None:
        self._sent_at = self._loop.time()
        clock_ms = int(self._sent_at * MS_PER_S)
        self._connection.send(Accepted(call_id, clock_ms))
