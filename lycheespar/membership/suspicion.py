"""Suspected members, and the health of this node's failure detector."""

from __future__ import annotations

from typing import Final

# Time in seconds within which a suspected member may refute the suspicion.
SUSPICION_TIMEOUT_S: Final = 3
# If the gap between two checks, in seconds, is longer, this process was paused.
PAUSE_THRESHOLD_S: Final = 1
_MAX_FAULTS: Final = 8


class Suspicions:
    """Refutation deadlines of the suspected members.

    A pause of this process, as by SIGSTOP, extends all deadlines, because
    refutations could not be received in the meantime.
    """

    __slots__ = ('_checked_at', '_deadlines')

    def __init__(self) -> None:
        """Create an empty set of suspicions."""
        self._deadlines: dict[str, float] = {}
        self._checked_at = float('inf')

    def begin(self, node: str, now: float) -> None:
        """Start the deadline of a member unless it has one."""
        self._deadlines.setdefault(node, now + SUSPICION_TIMEOUT_S)

    def end(self, node: str) -> None:
        """Remove the deadline of a member."""
        self._deadlines.pop(node, None)

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the members whose deadline has passed."""
        gap = now - self._checked_at
        self._checked_at = now
        if gap > PAUSE_THRESHOLD_S:
            self._deadlines = {
                node: deadline + gap
                for node, deadline in self._deadlines.items()
            }
        overdue = [
            node for node, deadline in self._deadlines.items() if deadline < now
        ]
        for node in overdue:
            self._deadlines.pop(node)
        return overdue


class DetectorHealth:
    """Health of the detector, which lengthens time-outs while it is poor.

    Probes that nobody answers, not even a helper, point to a fault of this
    node rather than of the probed member.
    """

    __slots__ = ('_faults',)

    def __init__(self) -> None:
        """Create the state of a healthy detector."""
        self._faults = 0

    @property
    def timeout_factor(self) -> int:
        """Multiplier of the probes' time-outs; 1 if healthy."""
        return 1 + self._faults

    def record_success(self) -> None:
        """Record a probe that was answered."""
        self._faults = max(self._faults - 1, 0)

    def record_fault(self) -> None:
        """Record a probe that nobody answered, not even a helper."""
        self._faults = min(self._faults + 1, _MAX_FAULTS)
