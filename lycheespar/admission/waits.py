"""Expected waits of new calls, by their weight, as other nodes are told."""

from __future__ import annotations

from typing import Final

from lycheespar.admission.admitted_weights import AdmittedWeights
from lycheespar.admission.queue import CallQueue

MS_PER_S: Final = 1000


class ExpectedWaits:
    """Tells how long a new call would wait.

    Parameters
    ----------
    queue : CallQueue
        The queued calls.
    admitted : AdmittedWeights
        Weights of recently admitted calls.
    """

    __slots__ = ('_admitted', '_queue')

    def __init__(self, queue: CallQueue, admitted: AdmittedWeights) -> None:
        """Use the queue and the weights of a gate."""
        self._queue = queue
        self._admitted = admitted

    def by_weight(
        self, position_s: float, queue_limit: int
    ) -> tuple[tuple[float, float], ...]:
        """Return weights and expected waits in milliseconds, lightest first.

        Parameters
        ----------
        position_s : float
            Time in seconds until the next queued call starts.
        queue_limit : int
            Maximum number of queued calls. The wait behind a queue that is
            full of calls of the same weight or more is infinite.
        """
        return tuple(
            (weight, self._wait_s(weight, position_s, queue_limit) * MS_PER_S)
            for weight in (0, *self._admitted.known)
        )

    def _wait_s(
        self, weight: float, position_s: float, queue_limit: int
    ) -> float:
        position = self._queue.count_from_weight(weight) + 1
        if position > queue_limit:
            return float('inf')
        return position * position_s * self._admitted.wait_factor(weight)
