"""Priority queue of calls, in one of two orders.

By deadline: heaviest first, then nearest deadline. By cost, for callers who
compete for too little room: heaviest first, then what can still be in time,
then what has to start first. A call that can no longer be in time gives way to
those of its weight that can, but it still runs where there is room.
"""

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
    latest_start : float
        Instant at which the call has to start for an answer in time.
    rank : Rank
        Sort key of the queue; the greatest one is first.
    timer : asyncio.TimerHandle | None
        Ends the wait after its maximum time.
    work_s : float
        Time in seconds for which the call will likely run.
    """

    __slots__ = (
        'admission',
        'call',
        'latest_start',
        'rank',
        'timer',
        'work_s',
    )

    def __init__(self, call: Call, rank: Rank, work_s: float) -> None:
        """Create a waiting call of a given rank."""
        self.call = call
        self.rank = rank
        self.work_s = work_s
        self.latest_start = latest_start(call, work_s)
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


def latest_start(call: Call, work_s: float) -> float:
    """Return the instant at which a call has to start to be in time."""
    return (call.objective_at or call.deadline) - work_s


class CallQueue:
    """Queued calls, sorted by rank.

    Attributes
    ----------
    by_cost : bool
        Whether the calls are ordered by what a refusal costs their callers,
        and not by their deadlines alone. Calls that wait already keep their
        rank when it changes.
    """

    __slots__ = ('_serial', '_sorted', 'by_cost')

    def __init__(self) -> None:
        """Create an empty queue in the order by deadline."""
        self._sorted: list[QueuedCall] = []
        self._serial = itertools.count()
        self.by_cost = False

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._sorted)

    def push(self, call: Call, work_s: float) -> QueuedCall:
        """Add a call that will likely run for `work_s` seconds."""
        weight, due = self._key(call, work_s)
        queued = QueuedCall(call, (weight, due, -next(self._serial)), work_s)
        insort(self._sorted, queued, key=_rank)
        return queued

    def pop(self, now: float) -> QueuedCall:
        """Remove and return the call that is admitted next."""
        if not self.by_cost:
            return self._sorted.pop()
        weight = self._sorted[-1].call.weight
        index = next(
            (
                position
                for position in reversed(range(len(self._sorted)))
                if self._sorted[position].call.weight == weight
                and self._sorted[position].latest_start >= now
            ),
            len(self._sorted) - 1,
        )
        return self._sorted.pop(index)

    def find_victim(
        self, call: Call, work_s: float, now: float
    ) -> QueuedCall | None:
        """Return the call to refuse for a new one; None for the new one.

        The lightest call gives way to a heavier one. By cost, a call of equal
        weight gives way too: first one that can't be in time any more, then
        the one that needs the most work.
        """
        lightest = self._sorted[0] if self._sorted else None
        if lightest is None or lightest.call.weight > call.weight:
            return None
        if lightest.call.weight < call.weight and not self.by_cost:
            return lightest
        if not self.by_cost:
            return None
        costliest = max(
            (
                queued
                for queued in self._sorted
                if queued.call.weight == lightest.call.weight
            ),
            key=lambda queued: (queued.latest_start < now, queued.work_s),
        )
        if lightest.call.weight < call.weight:
            return costliest
        new = (latest_start(call, work_s) < now, work_s)
        is_costlier = (costliest.latest_start < now, costliest.work_s) > new
        return costliest if is_costlier else None

    def remove(self, queued: QueuedCall) -> bool:
        """Remove a call; return whether it was in the queue."""
        index = bisect_left(self._sorted, queued.rank, key=_rank)
        found = index < len(self._sorted) and self._sorted[index] is queued
        if found:
            self._sorted.pop(index)
        return found

    def count_ahead_of(self, call: Call, work_s: float) -> int:
        """Return the number of queued calls that a new one would follow."""
        rank = (*self._key(call, work_s), _LOWEST_ARRIVAL)
        return len(self._sorted) - bisect_left(self._sorted, rank, key=_rank)

    def count_from_weight(self, weight: float) -> int:
        """Return the number of queued calls of this weight or a greater one."""
        rank = (weight, _LOWEST_ARRIVAL, _LOWEST_ARRIVAL)
        return len(self._sorted) - bisect_left(self._sorted, rank, key=_rank)

    def pop_all(self) -> Iterator[QueuedCall]:
        """Remove and return all calls."""
        removed = self._sorted
        self._sorted = []
        return iter(removed)

    def _key(self, call: Call, work_s: float) -> tuple[float, float]:
        """Return the parts of a call's rank that do not depend on arrival."""
        due = latest_start(call, work_s) if self.by_cost else call.deadline
        return (call.weight, -due)


def _rank(queued: QueuedCall) -> Rank:
    return queued.rank
