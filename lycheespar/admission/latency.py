"""Latency of the target by class of requests."""

from __future__ import annotations

from typing import Final

LONG_WEIGHT: Final = 0.005
SHORT_WEIGHT: Final = 0.1
# A sample counts as at most so many times the baseline of its class.
LARGEST_RATIO: Final = 10
# Estimates that get no new samples lose half of their value in this time, so
# that calls refused because of them can't keep them alive.
HALF_LIFE_S: Final = 1
MOST_CLASSES: Final = 64


class LatencyEstimate:
    """Baseline, recent mean and recent deviation of one class, in seconds."""

    __slots__ = ('_baseline_s', '_count', '_deviation_s', '_mean_s', '_seen_at')

    def __init__(self) -> None:
        """Start without samples."""
        self._baseline_s = 0.0
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._count = 0
        self._seen_at = float('-inf')

    @property
    def baseline_s(self) -> float:
        """Mean over a long time in seconds."""
        return self._baseline_s

    @property
    def mean_s(self) -> float:
        """Mean of the last samples in seconds."""
        return self._mean_s

    def add(self, latency_s: float, now: float) -> float:
        """Take a sample; return its ratio to the baseline before it."""
        if self._count == 0:
            self._baseline_s = latency_s
            self._mean_s = latency_s
        ratio = min(LARGEST_RATIO, latency_s / max(self._baseline_s, 1e-6))
        self._count += 1
        weight = max(LONG_WEIGHT, 1 / self._count)
        capped_s = ratio * self._baseline_s
        self._baseline_s += weight * (capped_s - self._baseline_s)
        error_s = latency_s - self._mean_s
        self._mean_s += SHORT_WEIGHT * error_s
        self._deviation_s += SHORT_WEIGHT * (abs(error_s) - self._deviation_s)
        self._seen_at = now
        return ratio

    def expected_s(self, now: float) -> float:
        """Return the expected latency in seconds."""
        return self._mean_s * self._trust(now)

    def least_s(self, now: float) -> float:
        """Return a latency below which few calls stay, in seconds."""
        least_s = max(0.0, self._mean_s - self._deviation_s)
        return least_s * self._trust(now)

    def _trust(self, now: float) -> float:
        return float(2 ** ((self._seen_at - now) / HALF_LIFE_S))


class LatencyTable:
    """Estimates by class."""

    __slots__ = ('_classes', '_unknown')

    def __init__(self) -> None:
        """Start empty."""
        self._classes: dict[str, LatencyEstimate] = {}
        self._unknown = LatencyEstimate()

    def of_class(self, request_class: str) -> LatencyEstimate:
        """Return the estimate of a class; classes past a limit share one."""
        known = self._classes.get(request_class)
        if known is not None:
            return known
        if len(self._classes) >= MOST_CLASSES:
            return self._unknown
        return self._classes.setdefault(request_class, LatencyEstimate())
