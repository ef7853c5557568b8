"""Which requests a stopping node still takes."""

from __future__ import annotations

from typing import Final

from lycheespar.errors import DrainingError

# Time in seconds after which observed durations begin to be forgotten.
WINDOW_S: Final = 60
# Multiple of the longest recent duration of a class that must fit in the rest.
DURATION_MARGIN: Final = 2


class StopAdmission:
    """Refuses requests that a stopping node may not be able to finish.

    A request is taken if its deadline is before the end of the stop, or if
    requests of its class have recently been answered well within what is left.
    Any other request could be cut off at the end, while a target runs it, so it
    is refused at once.

    Times are in seconds of the event loop's clock.
    """

    __slots__ = ('_ends_at', '_former', '_longest', '_rotated_at')

    def __init__(self) -> None:
        """Take all requests; `begin` announces a stop."""
        self._ends_at = float('inf')
        # Longest durations by class, in this window and in the one before.
        self._longest: dict[str, float] = {}
        self._former: dict[str, float] = {}
        self._rotated_at = float('-inf')

    def begin(self, now: float, limit_s: float) -> None:
        """Announce that the node stops within a time limit in seconds."""
        self._ends_at = now + limit_s

    def record(self, request_class: str, duration_s: float, now: float) -> None:
        """Record how long a request of a class took, in seconds."""
        if now - self._rotated_at > WINDOW_S:
            self._former, self._longest = self._longest, {}
            self._rotated_at = now
        if duration_s > self._longest.get(request_class, 0):
            self._longest[request_class] = duration_s

    def check(self, request_class: str, deadline: float, now: float) -> None:
        """Check that a request can be finished before the node stops.

        Raises
        ------
        DrainingError
            The request may last longer than the node.
        """
        if deadline <= self._ends_at:
            return
        left_s = self._ends_at - now
        if DURATION_MARGIN * self._longest_s(request_class) < left_s:
            return
        raise DrainingError(
            'the node is stopping and could not finish this request',
            retry_after_s=max(left_s, 0),
        )

    def _longest_s(self, request_class: str) -> float:
        """Return the longest recent duration; infinite if none is known."""
        return max(
            self._longest.get(request_class, 0),
            self._former.get(request_class, 0),
        ) or float('inf')
