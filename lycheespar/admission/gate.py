"""Admission to the local target: limits, cold start and a short queue."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.admission.latency import LatencyEstimate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.admission.mix import AdmissionMix
from lycheespar.admission.queue import Waiting, WaitingQueue
from lycheespar.admission.rate import ColdRate
from lycheespar.call import Call, Load
from lycheespar.errors import (
    ColdTargetError,
    DeadlineUnreachableError,
    OverloadedError,
    RefusedError,
)

MS_PER_S: Final = 1000
SHORTEST_RETRY_S: Final = 0.05
# Part of the rest of its time for which a late call may wait.
LATE_WAIT_SHARE: Final = 0.25


class Gate:
    """Lets as many calls run as the target bears; the rest wait shortly.

    Parameters
    ----------
    limiter : Limiter
        Says how many calls may run at once.

    Attributes
    ----------
    rate : ColdRate
        Bound on what a cold target is given.
    """

    __slots__ = (
        '_hold',
        '_left_at',
        '_limiter',
        '_limits',
        '_mix',
        '_queue',
        '_running',
        'rate',
    )

    def __init__(self, limiter: Limiter) -> None:
        """Start empty, with one slot."""
        self._running = 0
        self._left_at = float('-inf')
        self._queue = WaitingQueue()
        self._mix = AdmissionMix()
        self._hold = LatencyEstimate()
        self._limiter = limiter
        self._limits = GateLimits()
        self.rate = ColdRate(self._admit_waiting)

    @property
    def limit(self) -> int:
        """Calls that may run at once now."""
        return self._limiter.limit(_now())

    @property
    def running(self) -> int:
        """Calls that run now."""
        return self._running

    @property
    def left_at(self) -> float:
        """Instant in seconds when a call last gave its place back."""
        return self._left_at

    @property
    def load(self) -> Load:
        """Load of the target now."""
        return Load(
            self._running,
            len(self._queue),
            self.limit,
            self._hold.mean_s * MS_PER_S,
            self._limiter.failure_share,
        )

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self._running == 0 and not self._queue

    def configure(self, limits: GateLimits) -> None:
        """Change the bounds; calls that run or wait are not touched."""
        self._limits = limits
        self._limiter.configure(limits)
        self.rate.configure(limits.cold_per_s)
        if self._queue:
            self._admit_waiting()

    def refuse_waiting(self, error_type: type[RefusedError]) -> None:
        """Refuse all calls that wait."""
        for waiting in self._queue.clear():
            waiting.refuse(error_type())

    async def enter(self, call: Call) -> None:
        """Wait for a place; `leave` gives it back.

        Raises
        ------
        OverloadedError
            The queue is full, or the wait is longer than it may be.
        ColdTargetError
            The same, while the target is in cold start.
        DeadlineUnreachableError
            The deadline can't be met.
        """
        now = _now()
        rate_wait_s = self.rate.wait_s(now)
        if self._running < self.limit and not self._queue and not rate_wait_s:
            self._check_deadline(call, now, 0)
            self._running += 1
            self.rate.count(now)
            return
        turns = self._queue.ahead_of(call) + 1
        wait_s = max(self._expected_wait_s(turns, now), rate_wait_s)
        wait_s *= self._mix.delay(call.weight)
        self._check_deadline(call, now, wait_s)
        usual_s = self._limiter.usual_s(call.request_class, now)
        longest_s = (
            call.deadline - now - usual_s
            if self._mix.has_lighter(call.weight)
            else min(self._limits.queue_s, worth_waiting_s(call, now, usual_s))
        )
        if wait_s > longest_s:
            raise self._overloaded()
        self._make_room(call)
        waiting = self._queue.push(call)
        self.rate.wake_after(rate_wait_s)
        await self._wait(waiting, now + longest_s)

    def leave(self, held_s: float) -> None:
        """Give a place back that a call held for so many seconds."""
        self._running -= 1
        self._left_at = _now()
        self._hold.add(held_s, self._left_at)
        self._admit_waiting()

    def _check_deadline(self, call: Call, now: float, wait_s: float) -> None:
        """Refuse a call that could end only after its deadline."""
        least_s = self._limiter.least_s(call.request_class, now)
        if now + wait_s + least_s > call.deadline:
            raise DeadlineUnreachableError(retry_after_s=self._retry_after_s())

    def _make_room(self, call: Call) -> None:
        """Push the lightest call out of a full queue, or refuse this one."""
        if len(self._queue) < self._limits.queue_limit:
            return
        if not self._queue or self._queue.lightest.call.weight >= call.weight:
            raise self._overloaded()
        lightest = self._queue.lightest
        self._queue.remove(lightest)
        lightest.refuse(self._overloaded())

    async def _wait(self, waiting: Waiting, ends_at: float) -> None:
        loop = asyncio.get_running_loop()
        waiting.timer = loop.call_at(ends_at, self._expire, waiting)
        try:
            await waiting.turn
        except asyncio.CancelledError:
            self._abandon(waiting)
            raise

    def _expire(self, waiting: Waiting) -> None:
        now = _now()
        self._queue.remove(waiting)
        late = now >= waiting.call.deadline
        waiting.refuse(
            DeadlineUnreachableError(retry_after_s=self._retry_after_s())
            if late
            else self._overloaded()
        )

    def _abandon(self, waiting: Waiting) -> None:
        """Take a cancelled call out of the queue, or give its place back."""
        turn = waiting.turn
        waiting.refuse(DeadlineUnreachableError())
        admitted = not turn.cancelled() and turn.exception() is None
        if admitted:
            self._running -= 1
        else:
            self._queue.remove(waiting)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        now = _now()
        while self._queue and self._running < self.limit:
            rate_wait_s = self.rate.wait_s(now)
            if rate_wait_s:
                self.rate.wake_after(rate_wait_s)
                return
            waiting = self._queue.pop()
            if not waiting.turn.done():
                self._admit(waiting, now)

    def _admit(self, waiting: Waiting, now: float) -> None:
        """Let a waiting call run, unless its deadline is too near."""
        try:
            self._check_deadline(waiting.call, now, 0)
        except DeadlineUnreachableError as error:
            waiting.refuse(error)
            return
        self._running += 1
        self.rate.count(now)
        self._mix.add(waiting.call.weight)
        waiting.admit()

    def _overloaded(self) -> RefusedError:
        now = _now()
        cold = self._limiter.is_cold(now) or self.rate.is_cold(now)
        error_type = ColdTargetError if cold else OverloadedError
        return error_type(retry_after_s=self._retry_after_s())

    def _expected_wait_s(self, turns: int, now: float) -> float:
        """Return the time in which so many places become free."""
        return self._hold.expected_s(now) * turns / self.limit

    def _retry_after_s(self) -> float:
        """Return the time in which what runs and waits is done."""
        now = _now()
        backlog = len(self._queue) + self._running
        return max(SHORTEST_RETRY_S, self._expected_wait_s(backlog, now))


def worth_waiting_s(call: Call, now: float, usual_s: float) -> float:
    """Return how long a call may wait and still be answered in time.

    A wait past that ends in a late answer, while another target, or the
    caller's next try, may still be in time. A call that is late anyway waits
    for a part of its time only, so that it is refused early, not at the end.

    Parameters
    ----------
    call : Call
        The call.
    now : float
        Instant of the event loop's clock, in seconds.
    usual_s : float
        Latency that such calls have lately, in seconds.
    """
    if not call.objective_at:
        return call.deadline - now
    in_time_s = call.objective_at - now - usual_s
    if in_time_s > 0:
        return in_time_s
    return (call.deadline - now - usual_s) * LATE_WAIT_SHARE


def _now() -> float:
    return asyncio.get_running_loop().time()
