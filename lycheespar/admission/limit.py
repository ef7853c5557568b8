"""Concurrency limit that adapts to the target's latency and failures."""

from __future__ import annotations

import math
from typing import Final

# Minimum number of samples in a window.
MIN_WINDOW: Final = 8
# Multiple of the baseline above which the mean latency lowers the limit.
LATENCY_TOLERANCE: Final = 2
# Lower bound on the gradient, so that one window at most halves the limit.
MIN_GRADIENT: Final = 0.5
# Factor on the limit when the target sheds a call.
SHED_FACTOR: Final = 0.8
# The limit does not grow while a greater share of a window's calls failed.
MAX_GROWTH_FAILURE_SHARE: Final = 0.5


class AdaptiveLimit:
    """Adaptive limit between a floor and the announced slots.

    After each window of samples the limit is multiplied by a gradient. The
    gradient is 1 while the latency is near its baseline and failures are not
    more frequent than usual. While the latency is near its baseline, at most
    half of the calls failed and the limit was in use, the limit also grows by
    its square root.
    """

    __slots__ = (
        '_failures',
        '_floor',
        '_limit',
        '_ratio_sum',
        '_samples',
        '_slots',
        '_was_used',
    )

    def __init__(self) -> None:
        """Create a limit of one slot; `configure` sets its bounds."""
        self._slots = 1
        self._floor = 1
        self._limit = 1.0
        self._samples = 0
        self._failures = 0
        self._ratio_sum = 0.0
        self._was_used = False

    @property
    def current(self) -> int:
        """Number of calls that may run at once."""
        return int(self._limit)

    def configure(self, slots: int, floor: int) -> None:
        """Change the bounds; a limit at its maximum stays at the maximum."""
        at_maximum = self.current >= self._slots
        self._slots = slots
        self._floor = floor
        self._set_limit(slots if at_maximum else self._limit)

    def reset(self) -> None:
        """Reset the limit to the announced slots."""
        self._set_limit(self._slots)
        self._begin_window()

    def back_off(self) -> None:
        """Lower the limit because the target sheds load."""
        self._set_limit(self._limit * SHED_FACTOR)

    def add(
        self,
        ratio: float,
        running: int,
        usual_failure_share: float,
        *,
        failed: bool,
    ) -> None:
        """Add the sample of one call.

        Parameters
        ----------
        ratio : float
            Latency as a multiple of its baseline; 1 for failures without a
            latency.
        running : int
            Calls that were running at the target, including this one.
        usual_failure_share : float
            Share of failures in the long run, 0 to 1.
        failed : bool
            Whether the call failed.
        """
        self._samples += 1
        self._ratio_sum += ratio
        self._failures += failed
        self._was_used = self._was_used or running * 2 >= self.current
        if self._samples >= max(MIN_WINDOW, self.current):
            self._adapt(usual_failure_share)
            self._begin_window()

    def _adapt(self, usual_failure_share: float) -> None:
        failure_share = self._failures / self._samples
        ratio = self._ratio_sum / self._samples
        latency_gradient = min(1.0, LATENCY_TOLERANCE / ratio) if ratio else 1.0
        gradient = latency_gradient * (
            1 - max(0.0, failure_share - usual_failure_share)
        )
        limit = self._limit * max(MIN_GRADIENT, gradient)
        if (
            latency_gradient == 1
            and self._was_used
            and failure_share <= MAX_GROWTH_FAILURE_SHARE
        ):
            limit += math.sqrt(self._limit)
        self._set_limit(limit)

    def _begin_window(self) -> None:
        self._samples = 0
        self._failures = 0
        self._ratio_sum = 0.0
        self._was_used = False

    def _set_limit(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(float(self._floor), limit))
