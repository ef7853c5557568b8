"""Finds channels that are open but silent, and closes unused ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sized
from typing import Final

from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import Ping

# Time in seconds between two checks; a channel without streamed bodies is
# silent if nothing came in a whole period after a `Ping`.
PERIOD_S: Final = 0.5
# Periods without a message after which an idle channel sends a `Ping`; one
# with calls under way does so after the first.
IDLE_PERIODS: Final = 10
# Periods without a message that a streamed body bears after a `Ping`, as it
# can't be taken up again on another channel.
STREAM_PERIODS: Final = 6
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
        '_asked',
        '_bodies',
        '_calls',
        '_connection',
        '_heard',
        '_on_silent',
        '_quiet',
        '_retired',
        '_serial',
        '_task',
        '_used_at',
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
        self._asked = 0
        self._retired = False
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

    def retire(self) -> None:
        """Close the connection as soon as nothing is under way."""
        self._retired = True
        self._close_unused()

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
        self._count()
        patience = STREAM_PERIODS if self._streams else 1
        if self._asked > patience:
            self._on_silent()
            return True
        limit = 1 if self._calls or self._bodies else IDLE_PERIODS
        if self._quiet >= limit and not self._asked:
            self._asked = 1
            self._serial += 1
            self._connection.send(Ping(self._serial))
        return self._close_unused()

    @property
    def _streams(self) -> bool:
        return bool(self._bodies or self._connection.sends_bodies)

    def _count(self) -> None:
        """Count the periods without a message, and those since a `Ping`."""
        if self._heard:
            self._quiet = 0
            self._asked = 0
        else:
            self._quiet += 1
            self._asked += bool(self._asked)
        self._heard = False

    def _close_unused(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._calls or self._bodies:
            self._used_at = now
            return False
        if not self._retired and now - self._used_at < UNUSED_S:
            return False
        self._connection.close()
        return True
