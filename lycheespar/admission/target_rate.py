"""Limit on the rate of calls that the target itself names."""

from __future__ import annotations

import math
from typing import Final

# Time in seconds without an answer that names the limit after which an answer
# without it ends the limit: answers on several connections may change order.
HOLD_S: Final = 1
# Length in seconds of the largest burst at the named rate.
BURST_S: Final = 0.25
# Calls per second to a target that names less, so that its answers show when
# the limit ends.
MIN_CALLS_PER_S: Final = 0.2
# Missing part of a token that is due to rounding.
ROUNDING_ERROR: Final = 1e-6


class TargetRateLimit:
    """Token bucket at the rate that a target names in its answers.

    All calls to a target pass through its own node, so that the limit holds for
    all nodes together. All instants are in seconds on the event loop's clock.
    """

    __slots__ = ('_calls_per_s', '_named_at', '_refilled_at', '_tokens')

    def __init__(self) -> None:
        """Create an inactive limit."""
        self._calls_per_s: float | None = None
        self._named_at = float('-inf')
        self._refilled_at = float('-inf')
        self._tokens = 0.0

    @property
    def calls_per_s(self) -> float | None:
        """Calls per second that the target takes; None without a limit."""
        return self._calls_per_s

    def set(self, calls_per_s: float, now: float) -> None:
        """Set the limit that an answer names."""
        if self._calls_per_s is None:
            self._tokens = 0
            self._refilled_at = now
        self._refill(now)
        self._calls_per_s = max(calls_per_s, MIN_CALLS_PER_S)
        self._named_at = now

    def end_unless_recent(self, now: float) -> None:
        """End the limit, as an answer does not name it any more.

        A limit that was named shortly before stays in force.
        """
        if now - self._named_at >= HOLD_S:
            self.end()

    def end(self) -> None:
        """End the limit."""
        self._calls_per_s = None

    def wait_s(self, now: float, position: int = 1) -> float:
        """Return the time in seconds until a waiting call may be sent.

        Parameters
        ----------
        now : float
            The present instant.
        position : int
            Position of the call among those that wait, from 1.
        """
        rate = self._calls_per_s
        if rate is None:
            return 0
        self._refill(now)
        missing = position - self._tokens
        return missing / rate if missing > ROUNDING_ERROR else 0

    def cap_running(self, limit: int, latency_s: float) -> int:
        """Return how many of `limit` calls run at once at the named rate."""
        rate = self._calls_per_s
        if rate is None:
            return limit
        return min(limit, max(math.ceil(rate * latency_s), 1))

    def record(self, now: float) -> None:
        """Record a call that is sent to the target now."""
        self._refill(now)
        self._tokens -= 1

    def _refill(self, now: float) -> None:
        rate = self._calls_per_s
        if rate is None:
            return
        refilled = self._tokens + rate * (now - self._refilled_at)
        self._tokens = min(refilled, max(rate * BURST_S, 1))
        self._refilled_at = now
