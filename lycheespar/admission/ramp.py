"""Cold start: the share of its slots that a started target is given."""

from __future__ import annotations


class ColdStartRamp:
    """Limit that grows from a small share of the slots to all of them.

    The limit stays where it begins for the time of a cold start, and as long
    as the target announces that it is cold. Then it grows with successes, by
    one for each round of calls that succeed.
    """

    __slots__ = (
        '_duration_s',
        '_grown',
        '_held',
        '_share',
        '_slots',
        '_started_at',
    )

    def __init__(self) -> None:
        """Start with one slot, at the beginning of time."""
        self._slots = 1
        self._share = 1.0
        self._duration_s = 0.0
        self._started_at = float('-inf')
        self._grown = 0.0
        self._held = False

    @property
    def start(self) -> int:
        """Limit at the start, at least 1."""
        return max(1, int(self._slots * self._share))

    def configure(self, slots: int, share: float, duration_s: float) -> None:
        """Change the full limit, the share at the start and its duration.

        Parameters
        ----------
        slots : int
            Full limit.
        share : float
            Share of the slots at the start, 0 to 1.
        duration_s : float
            Time in seconds for which the limit does not grow.
        """
        self._slots = slots
        self._share = share
        self._duration_s = duration_s

    def restart(self, now: float) -> None:
        """Begin anew."""
        self._started_at = now
        self._grown = 0.0

    def hold(self, *, held: bool) -> None:
        """Keep the limit at its start, or let it grow."""
        self._held = held

    def succeed(self, now: float, running: int) -> None:
        """Count a call that succeeded while so many calls ran.

        Calls count only while at least half of the limit is in use: an idle
        target has not shown what it bears.
        """
        limit = self.limit(now)
        if not self._waits(now) and limit < self._slots:
            self._grown += (running * 2 >= limit) / limit

    def limit(self, now: float) -> int:
        """Return the limit at an instant of the event loop's clock."""
        if self._waits(now):
            return self.start
        return min(self._slots, int(self.start + self._grown))

    def _waits(self, now: float) -> bool:
        """Whether it is too early to grow."""
        return self._held or now - self._started_at < self._duration_s
