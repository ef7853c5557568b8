"""Detects channels that have gone silent and closes unused ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sized
from typing import Final

from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.delivery import Delivery
from lycheespar.protocol.messages import Ping

# Time in seconds between two checks. A channel without streamed bodies counts
# as silent if nothing arrives for a whole period after a `Ping`. Periods in
# which the `Ping` moves on behind other bytes do not count.
PERIOD_S: Final = 0.5
# Periods in which nothing arrives after which an idle channel sends a `Ping`. A
# channel with pending calls sends it after one period.
IDLE_PING_PERIODS: Final = 10
# Periods in which nothing arrives after a `Ping` past which a channel with
# streamed bodies counts as silent. The limit is higher than for other channels
# because a streamed body can't be resumed on another channel.
STREAM_SILENT_PERIODS: Final = 6
# Time in seconds without calls after which a channel is closed.
UNUSED_TIMEOUT_S: Final = 60


class Heartbeat:
    """Monitors one channel from its calling side.

    Parameters
    ----------
    connection : FrameConnection
        The connection.
    calls : Sized
        Calls that wait for the heads of their answers.
    on_silent : Callable[[], None]
        Called if the other node does not respond.
    """

    __slots__ = (
        '_calls',
        '_connection',
        '_on_silent',
        '_open_bodies',
        '_periods_since_ping',
        '_ping',
        '_received_bytes',
        '_retired',
        '_serial',
        '_silent_periods',
        '_task',
        '_used_at',
    )

    def __init__(
        self,
        connection: FrameConnection,
        calls: Sized,
        on_silent: Callable[[], None],
    ) -> None:
        """Start the task that checks the channel."""
        self._connection = connection
        self._calls = calls
        self._on_silent = on_silent
        self._open_bodies = 0
        self._ping: Delivery | None = None
        self._received_bytes = connection.received_bytes
        self._periods_since_ping = 0
        self._retired = False
        self._silent_periods = 0
        self._serial = 0
        self._used_at = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    def body_started(self) -> None:
        """Record that the streamed body of an answer is being received."""
        self._open_bodies += 1

    def body_ended(self) -> None:
        """Record that the streamed body of an answer has ended."""
        self._open_bodies -= 1

    def retire(self) -> None:
        """Close the connection once it has no calls or streamed answers."""
        self._retired = True
        self._close_unused()

    def stop(self) -> None:
        """Stop checking the channel."""
        self._task.cancel()

    async def _run(self) -> None:
        while not self._connection.closing:
            await asyncio.sleep(PERIOD_S)
            if self._check():
                return

    def _check(self) -> bool:
        """Check the channel; return whether it was closed."""
        self._count_periods()
        max_periods = STREAM_SILENT_PERIODS if self._streaming else 1
        if self._periods_since_ping > max_periods:
            self._on_silent()
            return True
        ping_after = (
            1 if self._calls or self._open_bodies else IDLE_PING_PERIODS
        )
        if self._silent_periods >= ping_after and not self._periods_since_ping:
            self._periods_since_ping = 1
            self._serial += 1
            self._connection.send(Ping(self._serial))
            self._ping = Delivery(self._connection)
        return self._close_unused()

    @property
    def _streaming(self) -> bool:
        return bool(self._open_bodies or self._connection.sending_bodies)

    def _count_periods(self) -> None:
        """Update the periods without a byte, in all and since a `Ping`."""
        received_bytes = self._connection.received_bytes
        if received_bytes > self._received_bytes:
            self._received_bytes = received_bytes
            self._silent_periods = 0
            self._periods_since_ping = 0
            self._ping = None
        else:
            self._silent_periods += 1
            waits = self._ping is not None and not self._ping.has_advanced()
            self._periods_since_ping += waits

    def _close_unused(self) -> bool:
        now = asyncio.get_running_loop().time()
        if self._calls or self._open_bodies:
            self._used_at = now
            return False
        if not self._retired and now - self._used_at < UNUSED_TIMEOUT_S:
            return False
        self._connection.close()
        return True
