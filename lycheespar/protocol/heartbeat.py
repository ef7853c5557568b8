"""Finds channels that are open but silent, and closes unused ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sized
from typing import Final

from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import Ping

# Time in seconds between two checks; a channel is silent if nothing came in a
# whole period after a `Ping`.
PERIOD_S: Final = 0.5
# Periods without a message after which an idle channel sends a `Ping`; one
# with calls under way does so after the first.
IDLE_PERIODS: Final = 10
# Time in seconds without calls after which a channel is closed.
UNUSED_S: Final = 60


class Heartbeat:
    """Watches one channel from its calling side.

    Parameters
    ----------
    connection : FrameConnection
        The connection.
    calls : Sized
        Calls under way.
    on_silent : Callable[[], None]
        Called if the other node does not answer.
    """

    __slots__ = (
        '_bodies',
        '_calls',
        '_connection',
        '_heard',
        '_on_silent',
        '_quiet',
        '_serial',
        '_task',
        '_used_at',
        '_waiting',
    )

    def __init__(
        self,
        connection: FrameConnection,
        calls: Sized,
        on_silent: Callable[[], None],
    ) -> None:
        """Start the task."""
        self._connection = connection
        self._calls = calls
        self._on_silent = on_silent
        self._bodies = 0
        self._heard = False
        self._waiting = False
        self._quiet = 0
        self._serial = 0
        self._used_at = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    def note(self) -> None:
        """Note that a message came."""
        self._heard = True

    def enter(self) -> None:
        """Note that the body of an answer is being received."""
        self._bodies += 1

    def leave(self) -> None:
        """Note that a body has ended."""
        self._bodies -= 1

    def stop(self) -> None:
        """Stop to watch."""
        self._task.cancel()

    async def _run(self) -> None:
        while not self._connection.closing:
            await asyncio.sleep(PERIOD_S)
            if self._check():
                return

    def _check(self) -> bool:
        """Check the channel; say whether it was given up."""
        if self._waiting and not self._heard:
            self._on_silent()
            return True
        self._quiet = 0 if self._heard else self._quiet + 1
        self._heard = False
        limit = 1 if self._calls or self._bodies else IDLE_PERIODS
        self._waiting = self._quiet >= limit
        if self._waiting:
            self._serial += 1
            self._connection.send(Ping(self._serial))
        return self._close_unused()

    def _close_unused(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._calls or self._bodies:
            self._used_at = now
        if now - self._used_at < UNUSED_S:
            return False
        self._connection.close()
        return True
