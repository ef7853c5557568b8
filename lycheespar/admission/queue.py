"""Priority queue of calls: heaviest first, then nearest deadline."""

from __future__ import annotations

import asyncio
import itertools
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Final

from lycheespar.call import Call
from lycheespar.errors import RequestError

Rank = tuple[float, float, float]

# Below the arrival rank of any call: a new call ranks last among equals.
_LOWEST_ARRIVAL: Final = float('-inf')


class QueuedCall:
    """A call in the queue, with the future that ends its wait.

    Attributes
    ----------
    call : Call
        The call.
    admission : asyncio.Future[None]
        Completes when the call is admitted; fails if it is refused.
    timer : asyncio.TimerHandle | None
        Ends the wait after its maximum time.
    """

    __slots__ = ('admission', 'call', 'rank', 'timer')

    def __init__(self, call: Call, serial: int) -> None:
        """Rank the call by weight, then deadline, then arrival."""
        self.call = call
        self.rank: Rank = (call.weight, -call.deadline, -serial)
        self.admission: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.timer: asyncio.TimerHandle | None = None

    def admit(self) -> None:
        """Admit the call."""
        self._cancel_timer()
        self.admission.set_result(None)

    def refuse(self, error: RequestError) -> None:
        """End the wait with an error, unless it has already ended."""
        self._cancel_timer()
        if not self.admission.done():
            self.admission.set_exception(error)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class CallQueue:
    """Queued calls, sorted by rank."""

    __slots__ = ('_serial', '_sorted')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._sorted: list[QueuedCall] = []
        self._serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._sorted)

    @property
    def lightest(self) -> QueuedCall:
        """The call of lowest rank; the queue must not be empty."""
        return self._sorted[0]

    def push(self, call: Call) -> QueuedCall:
        """Add a call."""
        queued = QueuedCall(call, next(self._serial))
        insort(self._sorted, queued, key=_rank)
        return queued

    def pop(self) -> QueuedCall:
        """Remove and return the call of highest rank."""
        return self._sorted.pop()

    def remove(self, queued: QueuedCall) -> bool:
        """Remove a call; return whether it was in the queue."""
        index = bisect_left(self._sorted, queued.rank, key=_rank)
        found = index < len(self._sorted) and self._sorted[index] is queued
        if found:
            self._sorted.pop(index)
        return found

    def count_ahead_of(self, call: Call) -> int:
        """Return the number of queued calls that a new one would follow."""
        rank = (call.weight, -call.deadline, _LOWEST_ARRIVAL)
        return len(self._sorted) - bisect_left(self._sorted, rank, key=_rank)

    def pop_all(self) -> Iterator[QueuedCall]:
        """Remove and return all calls."""
        removed = self._sorted
        self._sorted = []
        return iter(removed)


def _rank(queued: QueuedCall) -> Rank:
    return queued.rank
