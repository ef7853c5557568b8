"""Limit on the rate of calls to a cold target."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

# Length of the sliding window: a little over a second, as the time that calls
# take from the gate to the target varies.
WINDOW_S: Final = 1.05


class ColdRateLimit:
    """Sliding-window limit on the calls per second to a cold target.

    Calls are counted while the target is warm too: it may turn cold at any
    instant, and with the calls sent just before, the limit holds from the
    first second on.

    Parameters
    ----------
    on_available : Callable[[], None]
        Called when the limit may allow another call.
    """

    __slots__ = (
        '_calls_per_s',
        '_cold_until',
        '_on_available',
        '_sent_at',
        '_timer',
    )

    def __init__(self, on_available: Callable[[], None]) -> None:
        """Create an inactive limit; `configure` sets the rate."""
        self._on_available = on_available
        self._timer: asyncio.TimerHandle | None = None
        self._calls_per_s = 0
        self._cold_until = float('-inf')
        self._sent_at: deque[float] = deque()

    def configure(self, calls_per_s: float) -> None:
        """Set the calls per second to a cold target; 0 for no limit."""
        self._calls_per_s = int(calls_per_s)

    def treat_as_cold(self, until: float) -> None:
        """Apply the limit until an instant of the event loop's clock."""
        self._cold_until = until

    def is_cold(self, now: float) -> bool:
        """Whether the limit currently applies."""
        return bool(self._calls_per_s) and now < self._cold_until

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until the next call may be sent."""
        if not self.is_cold(now):
            return 0
        self._expire(now)
        surplus = len(self._sent_at) - self._calls_per_s
        if surplus < 0:
            return 0
        return max(self._sent_at[surplus] + WINDOW_S - now, 0)

    def record(self, now: float) -> None:
        """Record a call that is sent to the target now."""
        if self._calls_per_s:
            self._expire(now)
            self._sent_at.append(now)

    def notify_after(self, delay_s: float) -> None:
        """Schedule `on_available` after a delay in seconds."""
        if delay_s and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._notify)

    def _notify(self) -> None:
        self._timer = None
        self._on_available()

    def _expire(self, now: float) -> None:
        window_start = now - WINDOW_S
        while self._sent_at and self._sent_at[0] <= window_start:
            self._sent_at.popleft()
