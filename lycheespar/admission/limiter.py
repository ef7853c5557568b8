"""What the target's answers say about how many calls it bears."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.admission.failures import FailureTracker
from lycheespar.admission.latency import LatencyTable
from lycheespar.admission.limit import TOLERANCE, AdaptiveLimit
from lycheespar.admission.ramp import ColdStartRamp
from lycheespar.configuration.model import Parameters

MS_PER_S: Final = 1000


class GateLimits(msgspec.Struct, frozen=True):
    """Bounds of admission.

    Attributes
    ----------
    slots : int
        Calls that the target says it bears at once.
    queue_limit : int
        Calls that may wait.
    queue_s : float
        Longest wait in seconds.
    cold_start_s : float
        Time from a start for which the limit does not grow, in seconds.
    cold_share : float
        Share of the slots at a start, 0 to 1.
    cold_per_s : float
        Calls a second that a cold target bears; 0 for any number.
    """

    slots: int = 1
    queue_limit: int = 0
    queue_s: float = 0.2
    cold_start_s: float = 0
    cold_share: float = 1
    cold_per_s: float = 0


def gate_limits(slots: int, parameters: Parameters) -> GateLimits:
    """Return the bounds that a service's parameters set."""
    return GateLimits(
        slots=slots,
        queue_limit=parameters.queue_limit,
        queue_s=parameters.queue_ms / MS_PER_S,
        cold_start_s=parameters.cold_start_s,
        cold_share=parameters.cold_share,
        cold_per_s=parameters.cold_per_s,
    )


class Limiter:
    """Joins cold start, latency and failures into one limit.

    All instants are in seconds on the event loop's clock.
    """

    __slots__ = ('_adaptive', '_failures', '_latencies', '_ramp', '_slots')

    def __init__(self) -> None:
        """Start with one slot."""
        self._slots = 1
        self._latencies = LatencyTable()
        self._failures = FailureTracker()
        self._adaptive = AdaptiveLimit()
        self._ramp = ColdStartRamp()

    @property
    def failure_share(self) -> float:
        """Share of failures among the last answers, 0 to 1."""
        return self._failures.share

    def limit(self, now: float) -> int:
        """Return how many calls may run at once."""
        return min(self._adaptive.current, self._ramp.limit(now))

    def is_cold(self, now: float) -> bool:
        """Whether the cold start still lowers the limit."""
        return self._ramp.limit(now) < self._slots

    def least_s(self, request_class: str, now: float) -> float:
        """Return a latency below which few calls of a class stay."""
        return self._latencies.of_class(request_class).least_s(now)

    def usual_s(self, request_class: str, now: float) -> float:
        """Return the latency that calls of a class have lately."""
        return self._latencies.of_class(request_class).expected_s(now)

    def configure(self, limits: GateLimits) -> None:
        """Change the bounds."""
        self._slots = limits.slots
        self._ramp.configure(
            limits.slots,
            limits.cold_share,
            limits.cold_start_s,
        )
        self._adaptive.configure(limits.slots, self._ramp.start)

    def restart(self, now: float) -> None:
        """Begin a cold start."""
        self._ramp.restart(now)
        self._adaptive.reset()
        self._failures.forget_recent()

    def hold_cold(self, *, held: bool) -> None:
        """Follow the target's word that it is cold, or no longer."""
        self._ramp.hold(held=held)

    def succeeded(
        self,
        request_class: str,
        latency_s: float,
        now: float,
        running: int,
    ) -> None:
        """Take the latency of a call that was answered."""
        estimate = self._latencies.of_class(request_class)
        self._ramp.succeed(now, running)
        self._count(estimate.add(latency_s, now), running, failed=False)

    def failed(self, now: float, running: int) -> None:
        """Take a failure; a sudden series of them begins a cold start."""
        self._count(1, running, failed=True)
        if self._failures.sudden:
            self.restart(now)

    def timed_out(
        self,
        request_class: str,
        latency_s: float,
        now: float,
        running: int,
    ) -> bool:
        """Take a call that had no answer after some time.

        Returns
        -------
        bool
            Whether the target is to blame: the time was much longer than
            such calls usually take.
        """
        estimate = self._latencies.of_class(request_class)
        if latency_s < TOLERANCE * estimate.baseline_s:
            return False
        self._count(estimate.add(latency_s, now), running, failed=True)
        return True

    def shed(self) -> None:
        """Take the target's word that it has too much to do."""
        self._adaptive.shed()

    def _count(self, ratio: float, running: int, *, failed: bool) -> None:
        self._failures.add(failed=failed)
        usual = self._failures.usual_share
        self._adaptive.add(ratio, running, usual, failed=failed)
