"""Failure rate of the target and detection of sudden rises."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

# Weights of an answer in the exponential moving averages.
SHORT_TERM_WEIGHT: Final = 0.1
LONG_TERM_WEIGHT: Final = 0.005
# Number of recent answers that are checked for a sudden rise.
WINDOW_SIZE: Final = 10
# A rise is sudden if the window has at least so many failures, and so many
# standard deviations more than expected.
MIN_SUDDEN_FAILURES: Final = 3
SUDDEN_RISE_SIGMAS: Final = 6


class FailureTracker:
    """Detects whether a target fails far more often than it usually does."""

    __slots__ = ('_recent_share', '_usual_share', '_window')

    def __init__(self) -> None:
        """Create a tracker without failures."""
        self._recent_share = 0.0
        self._usual_share = 0.0
        self._window: deque[bool] = deque(maxlen=WINDOW_SIZE)

    @property
    def recent_share(self) -> float:
        """Share of failures among recent answers, 0 to 1."""
        return self._recent_share

    @property
    def usual_share(self) -> float:
        """Share of failures in the long run, 0 to 1."""
        return self._usual_share

    @property
    def has_sudden_rise(self) -> bool:
        """Whether far more of the last answers failed than is usual."""
        usual = self._usual_share
        expected = WINDOW_SIZE * usual
        deviation = math.sqrt(WINDOW_SIZE * usual * (1 - usual))
        threshold = max(
            MIN_SUDDEN_FAILURES, expected + SUDDEN_RISE_SIGMAS * deviation
        )
        return sum(self._window) >= threshold

    def add(self, *, failed: bool) -> None:
        """Count one answer."""
        self._window.append(failed)
        self._recent_share += SHORT_TERM_WEIGHT * (failed - self._recent_share)
        self._usual_share += LONG_TERM_WEIGHT * (failed - self._usual_share)

    def begin_window(self) -> None:
        """Begin a new window, so that a handled rise is not detected again."""
        self._window.clear()
