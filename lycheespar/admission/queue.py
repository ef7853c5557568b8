"""Calls that wait for their turn, the heaviest and most urgent first."""

from __future__ import annotations

import asyncio
import itertools
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Final

from lycheespar.call import Call
from lycheespar.errors import RequestError

Rank = tuple[float, float, float]

_LEAST: Final = float('-inf')


class Waiting:
    """A call in the queue.

    Attributes
    ----------
    call : Call
        The call.
    turn : asyncio.Future[None]
        Done when the call may run, or failed with why it may not.
    timer : asyncio.TimerHandle | None
        Ends the wait.
    """

    __slots__ = ('call', 'rank', 'timer', 'turn')

    def __init__(self, call: Call, serial: int) -> None:
        """Rank the call: by weight, then deadline, then arrival."""
        self.call = call
        self.rank: Rank = (call.weight, -call.deadline, -serial)
        self.turn: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.timer: asyncio.TimerHandle | None = None

    def admit(self) -> None:
        """Let the call run."""
        self._end_timer()
        self.turn.set_result(None)

    def refuse(self, error: RequestError) -> None:
        """End the wait with an error, unless it has ended."""
        self._end_timer()
        if not self.turn.done():
            self.turn.set_exception(error)

    def _end_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class WaitingQueue:
    """Waiting calls, sorted by rank."""

    __slots__ = ('_serial', '_sorted')

    def __init__(self) -> None:
        """Start empty."""
        self._sorted: list[Waiting] = []
        self._serial = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._sorted)

    @property
    def lightest(self) -> Waiting:
        """The call that would run last; the queue must not be empty."""
        return self._sorted[0]

    def push(self, call: Call) -> Waiting:
        """Add a call."""
        waiting = Waiting(call, next(self._serial))
        insort(self._sorted, waiting, key=_rank)
        return waiting

    def pop(self) -> Waiting:
        """Take out the call that is to run next."""
        return self._sorted.pop()

    def remove(self, waiting: Waiting) -> bool:
        """Take a call out; say whether it was there."""
        index = bisect_left(self._sorted, waiting.rank, key=_rank)
        found = index < len(self._sorted) and self._sorted[index] is waiting
        if found:
            self._sorted.pop(index)
        return found

    def ahead_of(self, call: Call) -> int:
        """Return how many calls would run before a new one."""
        rank = (call.weight, -call.deadline, _LEAST)
        return len(self._sorted) - bisect_left(self._sorted, rank, key=_rank)

    def clear(self) -> Iterator[Waiting]:
        """Take out all calls."""
        cleared = self._sorted
        self._sorted = []
        return iter(cleared)


def _rank(waiting: Waiting) -> Rank:
    return waiting.rank
