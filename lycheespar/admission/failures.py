"""Share of the target's answers that are failures, and sudden changes."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

SHORT_WEIGHT: Final = 0.1
LONG_WEIGHT: Final = 0.005
WINDOW: Final = 10
LEAST_SUDDEN: Final = 3
SIGMAS: Final = 6


class FailureTracker:
    """Tells a target that has begun to fail from one that always does."""

    __slots__ = ('_long', '_recent', '_short')

    def __init__(self) -> None:
        """Start without failures."""
        self._short = 0.0
        self._long = 0.0
        self._recent: deque[bool] = deque(maxlen=WINDOW)

    @property
    def share(self) -> float:
        """Share of failures among the last answers, 0 to 1."""
        return self._short

    @property
    def usual_share(self) -> float:
        """Share of failures in the long run, 0 to 1."""
        return self._long

    @property
    def sudden(self) -> bool:
        """Whether far more of the last answers failed than usual."""
        usual = self._long
        expected = WINDOW * usual
        spread = math.sqrt(WINDOW * usual * (1 - usual))
        least = max(LEAST_SUDDEN, expected + SIGMAS * spread)
        return sum(self._recent) >= least

    def add(self, *, failed: bool) -> None:
        """Count one answer."""
        self._recent.append(failed)
        self._short += SHORT_WEIGHT * (failed - self._short)
        self._long += LONG_WEIGHT * (failed - self._long)

    def forget_recent(self) -> None:
        """Begin a new window, after a sudden change was dealt with."""
        self._recent.clear()
