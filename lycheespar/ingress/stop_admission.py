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

    A request is taken if its deadline is before the end of the stop, or if its
    body has arrived and requests of its class have recently been answered well
    within what is left. Any other request could be cut off at the end, while a
    target runs it, so it is refused at once. So are all requests that arrive
    once the node closes its connections.

    Times are in seconds of the event loop's clock.
    """

    __slots__ = (
        '_closed_at',
        '_ends_at',
        '_former',
        '_longest',
        '_rotated_at',
    )

    def __init__(self) -> None:
        """Take all requests; `begin` announces a stop."""
        self._ends_at = float('inf')
        self._closed_at = float('inf')
        # Longest durations by class, in this window and in the one before.
        self._longest: dict[str, float] = {}
        self._former: dict[str, float] = {}
        self._rotated_at = float('-inf')

    def begin(self, now: float, limit_s: float) -> None:
        """Announce that the node stops within a time limit in seconds."""
        self._ends_at = now + limit_s

    def close(self, now: float) -> None:
        """Refuse all requests that arrive from now on."""
        self._closed_at = min(self._closed_at, now)

    def check_arrival(self, read_at: float, now: float) -> None:
        """Check that a request arrived before connections are closed.

        Raises
        ------
        DrainingError
            The request arrived later.
        """
        if read_at >= self._closed_at:
            raise DrainingError(
                'the node is closing its connections',
                retry_after_s=self._left_s(now),
            )

    def record(self, request_class: str, duration_s: float, now: float) -> None:
        """Record how long a request of a class took, in seconds."""
        if now - self._rotated_at > WINDOW_S:
            self._former, self._longest = self._longest, {}
            self._rotated_at = now
        if duration_s > self._longest.get(request_class, 0):
            self._longest[request_class] = duration_s

    def check(
        self,
        request_class: str,
        deadline: float,
        now: float,
        *,
        body_arrived: bool = True,
    ) -> None:
        """Check that a request can be finished before the node stops.

        Parameters
        ----------
        request_class : str
            Class of the request.
        deadline, now : float
            Deadline of the request, and the current time.
        body_arrived : bool
            Whether the body has been read.

        Raises
        ------
        DrainingError
            The request may last longer than the node.
        """
        if deadline <= self._ends_at:
            return
        left_s = self._left_s(now)
        usual_s = self._longest_s(request_class)
        if body_arrived and DURATION_MARGIN * usual_s < left_s:
            return
        raise DrainingError(
            'the node is stopping and could not finish this request',
            retry_after_s=left_s,
        )

    def _left_s(self, now: float) -> float:
        """Return the time in seconds until the end of the stop; 0 if over."""
        if self._ends_at == float('inf'):
            return 0
        return max(self._ends_at - now, 0)

    def _longest_s(self, request_class: str) -> float:
        """Return the longest recent duration; infinite if none is known."""
        return max(
            self._longest.get(request_class, 0),
            self._former.get(request_class, 0),
        ) or float('inf')
