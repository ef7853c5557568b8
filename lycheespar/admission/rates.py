"""Limits on the rate of calls to the local target."""

from __future__ import annotations

from collections.abc import Callable

from lycheespar.admission.rate import ColdRateLimit
from lycheespar.admission.target_rate import TargetRateLimit


class RateLimits:
    """Combines the limit of a cold target and the one that a target names.

    Parameters
    ----------
    on_available : Callable[[], None]
        Called when the limits may allow another call.

    Attributes
    ----------
    cold : ColdRateLimit
        Limits the calls to a cold target.
    named : TargetRateLimit
        Limits the calls to a target that names a limit.
    """

    __slots__ = ('cold', 'named')

    def __init__(self, on_available: Callable[[], None]) -> None:
        """Create inactive limits."""
        self.cold = ColdRateLimit(on_available)
        self.named = TargetRateLimit()

    def wait_s(self, now: float, position: int = 1) -> float:
        """Return the time in seconds until a waiting call may be sent.

        Parameters
        ----------
        now : float
            Instant of the event loop's clock, in seconds.
        position : int
            Position of the call among those that wait, from 1.
        """
        return max(self.cold.wait_s(now), self.named.wait_s(now, position))

    def record(self, now: float) -> None:
        """Record a call that is sent to the target now."""
        self.cold.record(now)
        self.named.record(now)

    def notify_after(self, delay_s: float) -> None:
        """Schedule `on_available` after a delay in seconds."""
        self.cold.notify_after(delay_s)
