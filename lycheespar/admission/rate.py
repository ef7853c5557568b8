"""Bound on the calls that a cold target is given in any second."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

# A little over a second, for the way from the gate to the target.
WINDOW_S: Final = 1.05


class ColdRate:
    """Counts what a target was given in the last second, cold or not.

    A target may turn cold at any instant; what it got just before then
    counts, so that the bound holds in each second from the first on.

    Parameters
    ----------
    on_open : Callable[[], None]
        Called when the bound may allow another call.
    """

    __slots__ = ('_admitted', '_cold_until', '_on_open', '_per_s', '_timer')

    def __init__(self, on_open: Callable[[], None]) -> None:
        """Start without a bound."""
        self._on_open = on_open
        self._timer: asyncio.TimerHandle | None = None
        self._per_s = 0
        self._cold_until = float('-inf')
        self._admitted: deque[float] = deque()

    def configure(self, per_s: float) -> None:
        """Change the calls a second that a cold target bears; 0 for any."""
        self._per_s = int(per_s)

    def set_cold(self, until: float) -> None:
        """Take until when the target is cold, on the event loop's clock."""
        self._cold_until = until

    def is_cold(self, now: float) -> bool:
        """Whether the bound holds now."""
        return bool(self._per_s) and now < self._cold_until

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until a call may go to the target."""
        if not self.is_cold(now):
            return 0
        self._expire(now)
        surplus = len(self._admitted) - self._per_s
        if surplus < 0:
            return 0
        return max(self._admitted[surplus] + WINDOW_S - now, 0)

    def count(self, now: float) -> None:
        """Count a call that goes to the target now."""
        if self._per_s:
            self._expire(now)
            self._admitted.append(now)

    def wake_after(self, delay_s: float) -> None:
        """Say after a time in seconds that another call may be allowed."""
        if delay_s and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._open)

    def _open(self) -> None:
        self._timer = None
        self._on_open()

    def _expire(self, now: float) -> None:
        ended = now - WINDOW_S
        while self._admitted and self._admitted[0] <= ended:
            self._admitted.popleft()
