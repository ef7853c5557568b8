"""Latency estimates of the target by request class."""

from __future__ import annotations

from typing import Final

# Weights of a new sample in the exponential moving averages.
LONG_TERM_WEIGHT: Final = 0.005
SHORT_TERM_WEIGHT: Final = 0.1
# Cap on a sample, as a multiple of the baseline of its class.
MAX_RATIO: Final = 10
# Time in seconds in which an estimate without new samples decays to a half.
# Without the decay a high estimate would stay for ever, as the calls refused
# because of it give no new samples.
HALF_LIFE_S: Final = 1
MAX_CLASSES: Final = 64


class LatencyEstimate:
    """Baseline, recent mean and recent deviation of one class."""

    __slots__ = (
        '_baseline_s',
        '_count',
        '_deviation_s',
        '_last_sample_at',
        '_mean_s',
    )

    def __init__(self) -> None:
        """Create an estimate without samples."""
        self._baseline_s = 0.0
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._count = 0
        self._last_sample_at = float('-inf')

    @property
    def baseline_s(self) -> float:
        """Long-term mean in seconds."""
        return self._baseline_s

    @property
    def mean_s(self) -> float:
        """Mean of recent samples in seconds."""
        return self._mean_s

    def add(self, latency_s: float, now: float) -> float:
        """Add a sample; return its ratio to the previous baseline, capped."""
        if self._count == 0:
            self._baseline_s = latency_s
            self._mean_s = latency_s
        ratio = min(MAX_RATIO, latency_s / max(self._baseline_s, 1e-6))
        self._count += 1
        weight = max(LONG_TERM_WEIGHT, 1 / self._count)
        capped_s = ratio * self._baseline_s
        self._baseline_s += weight * (capped_s - self._baseline_s)
        error_s = latency_s - self._mean_s
        self._mean_s += SHORT_TERM_WEIGHT * error_s
        self._deviation_s += SHORT_TERM_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        self._last_sample_at = now
        return ratio

    def expected_s(self, now: float) -> float:
        """Return the expected latency in seconds, decayed by its age."""
        return self._mean_s * self._decay(now)

    def deviation_s(self, now: float) -> float:
        """Return the deviation from the mean in seconds, decayed by its age."""
        return self._deviation_s * self._decay(now)

    def min_latency_s(self, now: float) -> float:
        """Return a low latency in seconds that most calls exceed."""
        min_latency_s = max(0.0, self._mean_s - self._deviation_s)
        return min_latency_s * self._decay(now)

    def _decay(self, now: float) -> float:
        return float(2 ** ((self._last_sample_at - now) / HALF_LIFE_S))


class LatencyTable:
    """Latency estimates by request class."""

    __slots__ = ('_classes', '_overflow')

    def __init__(self) -> None:
        """Create a table without estimates."""
        self._classes: dict[str, LatencyEstimate] = {}
        self._overflow = LatencyEstimate()

    def for_class(self, request_class: str) -> LatencyEstimate:
        """Return the estimate of a class; classes above a limit share one."""
        known = self._classes.get(request_class)
        if known is not None:
            return known
        if len(self._classes) >= MAX_CLASSES:
            return self._overflow
        return self._classes.setdefault(request_class, LatencyEstimate())
