"""Concurrency limit of a target, derived from its answers."""

from __future__ import annotations

from typing import Final

import msgspec

from lycheespar.admission.failures import FailureTracker
from lycheespar.admission.latency import LatencyTable
from lycheespar.admission.limit import LATENCY_TOLERANCE, AdaptiveLimit
from lycheespar.admission.ramp import ColdStartRamp
from lycheespar.configuration.model import Parameters

MS_PER_S: Final = 1000


class GateLimits(msgspec.Struct, frozen=True):
    """Limits of a gate.

    Attributes
    ----------
    slots : int
        Calls that the target accepts at once, as announced.
    queue_limit : int
        Maximum number of queued calls.
    queue_s : float
        Maximum wait in seconds.
    cold_start_s : float
        Time in seconds after a start in which the limit does not grow.
    cold_share : float
        Share of the slots available at a start, 0 to 1.
    cold_per_s : float
        Calls per second that a cold target accepts; 0 for no limit.
    by_cost : bool
        Whether calls wait and are refused by what that costs their callers.
    """

    slots: int = 1
    queue_limit: int = 0
    queue_s: float = 0.2
    cold_start_s: float = 0
    cold_share: float = 1
    cold_per_s: float = 0
    by_cost: bool = False


def gate_limits(
    slots: int, parameters: Parameters, *, by_cost: bool = False
) -> GateLimits:
    """Return the limits that follow from a service's parameters."""
    return GateLimits(
        slots=slots,
        queue_limit=parameters.queue_limit,
        queue_s=parameters.queue_ms / MS_PER_S,
        cold_start_s=parameters.cold_start_s,
        cold_share=parameters.cold_share,
        cold_per_s=parameters.cold_per_s,
        by_cost=by_cost,
    )


class Limiter:
    """Combines cold start, latency and failures into one limit.

    All instants are in seconds on the event loop's clock.
    """

    __slots__ = ('_adaptive', '_failures', '_latencies', '_ramp', '_slots')

    def __init__(self) -> None:
        """Create a limiter with one slot; `configure` sets its limits."""
        self._slots = 1
        self._latencies = LatencyTable()
        self._failures = FailureTracker()
        self._adaptive = AdaptiveLimit()
        self._ramp = ColdStartRamp()

    @property
    def failure_share(self) -> float:
        """Share of failures among recent answers, 0 to 1."""
        return self._failures.recent_share

    def limit(self, now: float) -> int:
        """Return the number of calls that may run at once."""
        return min(self._adaptive.current, self._ramp.limit(now))

    def is_cold(self, now: float) -> bool:
        """Whether a cold start currently lowers the limit."""
        return self._ramp.limit(now) < self._slots

    def min_latency_s(self, request_class: str, now: float) -> float:
        """Return a low latency in seconds that most calls of a class exceed."""
        return self._latencies.for_class(request_class).min_latency_s(now)

    def recent_latency_s(self, request_class: str, now: float) -> float:
        """Return the recent latency of a class in seconds."""
        return self._latencies.for_class(request_class).expected_s(now)

    def latency_deviation_s(self, request_class: str, now: float) -> float:
        """Return how far latencies of a class deviate from their mean."""
        return self._latencies.for_class(request_class).deviation_s(now)

    def configure(self, limits: GateLimits) -> None:
        """Change the limits."""
        self._slots = limits.slots
        self._ramp.configure(
            limits.slots,
            limits.cold_share,
            limits.cold_start_s,
        )
        self._adaptive.configure(limits.slots, self._ramp.initial_limit)

    def begin_cold_start(self, now: float) -> None:
        """Begin a cold start."""
        self._ramp.begin_cold_start(now)
        self._adaptive.reset()
        self._failures.begin_window()

    def set_announced_cold(self, *, cold_phase: bool) -> None:
        """Set whether the target announces that it is cold."""
        self._ramp.update_cold_phase(cold_phase=cold_phase)

    def record_success(
        self,
        request_class: str,
        latency_s: float,
        now: float,
        running: int,
    ) -> None:
        """Record the latency of a successful call."""
        estimate = self._latencies.for_class(request_class)
        self._ramp.add_success(now, running)
        self._record(estimate.add(latency_s, now), running, failed=False)

    def record_failure(self, now: float, running: int) -> None:
        """Record a failure; a sudden series of failures begins a cold start."""
        self._record(1, running, failed=True)
        if self._failures.has_sudden_rise:
            self.begin_cold_start(now)

    def record_timeout(
        self,
        request_class: str,
        latency_s: float,
        now: float,
        running: int,
    ) -> bool:
        """Record a call that was not answered within `latency_s`.

        Returns
        -------
        bool
            Whether the call counts as a failure of the target: its time was
            much longer than the baseline latency of its class.
        """
        estimate = self._latencies.for_class(request_class)
        if latency_s < LATENCY_TOLERANCE * estimate.baseline_s:
            return False
        self._record(estimate.add(latency_s, now), running, failed=True)
        return True

    def back_off(self) -> None:
        """Lower the limit after the target shed a call."""
        self._adaptive.back_off()

    def _record(self, ratio: float, running: int, *, failed: bool) -> None:
        self._failures.add(failed=failed)
        usual = self._failures.usual_share
        self._adaptive.add(ratio, running, usual, failed=failed)
