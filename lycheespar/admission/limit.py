"""Concurrency limit that follows the target's latency and failures."""

from __future__ import annotations

import math
from typing import Final

LEAST_WINDOW: Final = 8
# Latency may rise to this many times its baseline before the limit falls.
TOLERANCE: Final = 2
LEAST_GRADIENT: Final = 0.5
SHED_FACTOR: Final = 0.8
# No growth while a greater share of a window's answers failed.
GROWTH_FAILURE_SHARE: Final = 0.5


class AdaptiveLimit:
    """Limit between a floor and the announced slots.

    After each window of samples the limit is multiplied by a gradient, which
    is 1 while the latency is near its baseline and failures are as rare as
    usual; it then also grows by its square root if it was in use.
    """

    __slots__ = (
        '_failures',
        '_floor',
        '_limit',
        '_ratios',
        '_samples',
        '_slots',
        '_used',
    )

    def __init__(self) -> None:
        """Start with one slot."""
        self._slots = 1
        self._floor = 1
        self._limit = 1.0
        self._samples = 0
        self._failures = 0
        self._ratios = 0.0
        self._used = False

    @property
    def current(self) -> int:
        """Calls that may run at once."""
        return int(self._limit)

    def configure(self, slots: int, floor: int) -> None:
        """Change the bounds; a limit that was full stays full."""
        full = self.current >= self._slots
        self._slots = slots
        self._floor = floor
        self._set(slots if full else self._limit)

    def reset(self) -> None:
        """Return to the announced slots."""
        self._set(self._slots)
        self._begin_window()

    def shed(self) -> None:
        """Lower the limit, as the target itself sheds load."""
        self._set(self._limit * SHED_FACTOR)

    def add(
        self,
        ratio: float,
        running: int,
        usual_failures: float,
        *,
        failed: bool,
    ) -> None:
        """Take the sample of one call.

        Parameters
        ----------
        ratio : float
            Latency as a multiple of its baseline; 1 for failures.
        running : int
            Calls that ran at the target, this one included.
        usual_failures : float
            Share of failures in the long run, 0 to 1.
        failed : bool
            Whether the call failed.
        """
        self._samples += 1
        self._ratios += ratio
        self._failures += failed
        self._used = self._used or running * 2 >= self.current
        if self._samples >= max(LEAST_WINDOW, self.current):
            self._adapt(usual_failures)
            self._begin_window()

    def _adapt(self, usual_failures: float) -> None:
        share = self._failures / self._samples
        ratio = self._ratios / self._samples
        slow = min(1.0, TOLERANCE / ratio) if ratio else 1.0
        gradient = slow * (1 - max(0.0, share - usual_failures))
        limit = self._limit * max(LEAST_GRADIENT, gradient)
        if slow == 1 and self._used and share <= GROWTH_FAILURE_SHARE:
            limit += math.sqrt(self._limit)
        self._set(limit)

    def _begin_window(self) -> None:
        self._samples = 0
        self._failures = 0
        self._ratios = 0.0
        self._used = False

    def _set(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(float(self._floor), limit))
