"""Limit on concurrent calls during and after a cold start."""

from __future__ import annotations


class ColdStartRamp:
    """Limit that grows from an initial share of the slots to all of them.

    The limit stays at its initial value for the duration of a cold start, and
    while the target announces that it is cold. Then each success adds the
    reciprocal of the limit, so that a full round of successes adds one.
    """

    __slots__ = (
        '_cold_phase',
        '_duration_s',
        '_growth',
        '_share',
        '_slots',
        '_started_at',
    )

    def __init__(self) -> None:
        """Create a ramp of one slot whose cold start is long past."""
        self._slots = 1
        self._share = 1.0
        self._duration_s = 0.0
        self._started_at = float('-inf')
        self._growth = 0.0
        self._cold_phase = False

    @property
    def initial_limit(self) -> int:
        """Limit at the beginning of a cold start, at least 1."""
        return max(1, int(self._slots * self._share))

    def configure(self, slots: int, share: float, duration_s: float) -> None:
        """Change the full limit, the initial share and its duration.

        Parameters
        ----------
        slots : int
            Full limit.
        share : float
            Initial share of the slots, 0 to 1.
        duration_s : float
            Time in seconds for which the limit stays at its initial value.
        """
        self._slots = slots
        self._share = share
        self._duration_s = duration_s

    def begin_cold_start(self, now: float) -> None:
        """Begin a cold start."""
        self._started_at = now
        self._growth = 0.0

    def update_cold_phase(self, *, cold_phase: bool) -> None:
        """Hold the limit at its initial value during a cold phase."""
        self._cold_phase = cold_phase

    def add_success(self, now: float, running: int) -> None:
        """Count a successful call during which `running` calls were running.

        Calls count only while at least half of the limit is in use: the
        successes of an idle target don't show that it can take more load.
        """
        limit = self.limit(now)
        if not self._is_held(now) and limit < self._slots:
            self._growth += (running * 2 >= limit) / limit

    def limit(self, now: float) -> int:
        """Return the limit at an instant of the event loop's clock."""
        if self._is_held(now):
            return self.initial_limit
        return min(self._slots, int(self.initial_limit + self._growth))

    def _is_held(self, now: float) -> bool:
        """Whether the limit stays at its initial value for now."""
        return self._cold_phase or now - self._started_at < self._duration_s
