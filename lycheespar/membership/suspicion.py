"""Members under suspicion, and the health of this node's own detector."""

from __future__ import annotations

from typing import Final

# Time in which a suspected member may refute, in seconds.
SUSPICION_S: Final = 3
# A gap between two checks after which this process was not running, seconds.
PAUSE_S: Final = 1
_WORST_HEALTH: Final = 8


class Suspicions:
    """Deadlines of the suspected members.

    A pause of this process, as by SIGSTOP, moves all deadlines: refutations
    could not be heard meanwhile.
    """

    __slots__ = ('_checked_at', '_deadlines')

    def __init__(self) -> None:
        """Start without suspects."""
        self._deadlines: dict[str, float] = {}
        self._checked_at = float('inf')

    def begin(self, node: str, now: float) -> None:
        """Start the time in which a member may refute."""
        self._deadlines.setdefault(node, now + SUSPICION_S)

    def end(self, node: str) -> None:
        """Drop the suspicion of a member."""
        self._deadlines.pop(node, None)

    def expired(self, now: float) -> list[str]:
        """Return, and drop, the members that did not refute in time."""
        gap = now - self._checked_at
        self._checked_at = now
        if gap > PAUSE_S:
            self._deadlines = {
                node: deadline + gap
                for node, deadline in self._deadlines.items()
            }
        over = [
            node for node, deadline in self._deadlines.items() if deadline < now
        ]
        for node in over:
            self._deadlines.pop(node)
        return over


class DetectorHealth:
    """Slows the detector down while its own probes seem to be at fault."""

    __slots__ = ('_faults',)

    def __init__(self) -> None:
        """Start healthy."""
        self._faults = 0

    @property
    def factor(self) -> int:
        """Factor of the probes' timeouts, 1 if healthy."""
        return 1 + self._faults

    def improve(self) -> None:
        """Note a probe that was answered."""
        self._faults = max(self._faults - 1, 0)

    def worsen(self) -> None:
        """Note a probe to which no one answered, not even a helper."""
        self._faults = min(self._faults + 1, _WORST_HEALTH)
