"""Admission to the local target: concurrency limit and a short queue."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.admission.admitted_weights import AdmittedWeights
from lycheespar.admission.latency import LatencyEstimate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.admission.queue import CallQueue, QueuedCall
from lycheespar.admission.rates import RateLimits
from lycheespar.admission.useful_wait import max_useful_wait_s
from lycheespar.admission.waits import ExpectedWaits
from lycheespar.call import Call, Load
from lycheespar.errors import (
    ColdTargetError,
    DeadlineUnreachableError,
    OverloadedError,
    RefusedError,
    TargetLimitError,
)

MS_PER_S: Final = 1000
MIN_RETRY_AFTER_S: Final = 0.05


class Gate:
    """Limits the running calls; queues further ones for a short time.

    Parameters
    ----------
    limiter : Limiter
        Determines how many calls may run at once.

    Attributes
    ----------
    rates : RateLimits
        Limit the rate of calls to the target.
    """

    __slots__ = (
        '_admitted_weights',
        '_last_release_at',
        '_limiter',
        '_limits',
        '_occupancy',
        '_queue',
        '_running',
        '_waits',
        'rates',
    )

    def __init__(self, limiter: Limiter) -> None:
        """Create an idle gate with one slot; `configure` sets its limits."""
        self._running = 0
        self._last_release_at = float('-inf')
        self._queue = CallQueue()
        self._admitted_weights = AdmittedWeights()
        self._waits = ExpectedWaits(self._queue, self._admitted_weights)
        self._occupancy = LatencyEstimate()
        self._limiter = limiter
        self._limits = GateLimits()
        self.rates = RateLimits(self.admit_queued)

    @property
    def limit(self) -> int:
        """Number of calls that may currently run at once."""
        return self._limiter.limit(_now())

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    @property
    def last_release_at(self) -> float:
        """Instant in seconds at which a call last released its slot."""
        return self._last_release_at

    @property
    def load(self) -> Load:
        """Current load of the target.

        While the rate that the target names allows no call, one counts as
        queued, so that other nodes choose other targets.
        """
        now = _now()
        has_to_wait = self.rates.named.wait_s(now) > 0
        waits: tuple[tuple[float, float], ...] = ()
        if self._queue.by_cost and self._running >= self.limit:
            waits = self._waits.by_weight(
                self._expected_wait_s(1, now), self._limits.queue_limit
            )
        return Load(
            self._running,
            len(self._queue) or int(has_to_wait),
            self.rates.named.cap_running(self.limit, self._occupancy.mean_s),
            self._occupancy.mean_s * MS_PER_S,
            self._limiter.failure_share,
            waits=waits,
            deviation_ms=(
                self._occupancy.deviation_s(now) * MS_PER_S if waits else 0
            ),
        )

    @property
    def idle(self) -> bool:
        """Whether no call is running or queued."""
        return self._running == 0 and not self._queue

    def configure(self, limits: GateLimits) -> None:
        """Change the limits; running and queued calls are not affected."""
        self._limits = limits
        self._limiter.configure(limits)
        self._queue.by_cost = limits.by_cost
        self.rates.cold.configure(limits.cold_per_s)
        if self._queue:
            self.admit_queued()

    def refuse_queued(self, error_type: type[RefusedError]) -> None:
        """Refuse all queued calls."""
        for queued in self._queue.pop_all():
            queued.refuse(error_type())

    async def acquire(self, call: Call) -> None:
        """Acquire a slot, waiting in the queue if needed; `release` frees it.

        Raises
        ------
        OverloadedError
            The queue is full, or the expected wait is too long.
        ColdTargetError
            As `OverloadedError`, during a cold start of the target.
        DeadlineUnreachableError
            The call could not end before its deadline.
        """
        now = _now()
        rate_wait_s = self.rates.wait_s(now)
        if self._running < self.limit and not self._queue and not rate_wait_s:
            self._check_deadline(call, now, 0)
            self._running += 1
            self.rates.record(now)
            return
        recent_latency_s = self._limiter.recent_latency_s(
            call.request_class, now
        )
        position = self._queue.count_ahead_of(call, recent_latency_s) + 1
        wait_s = max(
            self._expected_wait_s(position, now),
            self.rates.wait_s(now, position),
        )
        wait_s *= self._admitted_weights.wait_factor(call.weight)
        self._check_deadline(call, now, wait_s)
        # A call that is admitted before lighter ones may wait for most of its
        # remaining time; any other call waits for at most `queue_s`.
        if self._admitted_weights.has_lighter(call.weight):
            max_wait_s = call.deadline - now - recent_latency_s
        else:
            deviation_s = self._limiter.latency_deviation_s(
                call.request_class, now
            )
            max_wait_s = min(
                self._limits.queue_s,
                max_useful_wait_s(
                    call,
                    now,
                    recent_latency_s,
                    deviation_s if self._queue.by_cost else 0,
                ),
            )
        if wait_s > max_wait_s:
            raise self._overload_error()
        self._make_room(call, recent_latency_s, now)
        queued = self._queue.push(call, recent_latency_s)
        self.rates.notify_after(rate_wait_s)
        await self._wait_for_admission(queued, now + max_wait_s)

    def release(self, occupied_s: float) -> None:
        """Release the slot that a call occupied for `occupied_s` seconds."""
        self._running -= 1
        self._last_release_at = _now()
        self._occupancy.add(occupied_s, self._last_release_at)
        self.admit_queued()

    def admit_queued(self) -> None:
        """Admit the queued calls that the limits allow now."""
        now = _now()
        while self._queue and self._running < self.limit:
            rate_wait_s = self.rates.wait_s(now)
            if rate_wait_s:
                self.rates.notify_after(rate_wait_s)
                return
            queued = self._queue.pop(now)
            if not queued.admission.done():
                self._admit(queued, now)

    def _check_deadline(self, call: Call, now: float, wait_s: float) -> None:
        """Refuse a call that is very unlikely to meet its deadline."""
        min_latency_s = self._limiter.min_latency_s(call.request_class, now)
        if now + wait_s + min_latency_s > call.deadline:
            raise DeadlineUnreachableError(retry_after_s=self._retry_after_s())

    def _make_room(self, call: Call, work_s: float, now: float) -> None:
        """Make sure that the queue has room for a call.

        If the queue is full, the call whose refusal costs least is refused,
        which may be the new one.
        """
        if len(self._queue) < self._limits.queue_limit:
            return
        victim = self._queue.find_victim(call, work_s, now)
        if victim is None:
            raise self._overload_error()
        self._queue.remove(victim)
        victim.refuse(self._overload_error())

    async def _wait_for_admission(
        self, queued: QueuedCall, ends_at: float
    ) -> None:
        loop = asyncio.get_running_loop()
        queued.timer = loop.call_at(ends_at, self._expire, queued)
        try:
            await queued.admission
        except asyncio.CancelledError:
            self._withdraw(queued)
            raise

    def _expire(self, queued: QueuedCall) -> None:
        now = _now()
        self._queue.remove(queued)
        past_deadline = now >= queued.call.deadline
        queued.refuse(
            DeadlineUnreachableError(retry_after_s=self._retry_after_s())
            if past_deadline
            else self._overload_error()
        )

    def _withdraw(self, queued: QueuedCall) -> None:
        """Remove a cancelled call from the queue or release its slot."""
        admission = queued.admission
        queued.refuse(DeadlineUnreachableError())
        admitted = not admission.cancelled() and admission.exception() is None
        if admitted:
            self._running -= 1
        else:
            self._queue.remove(queued)
        self.admit_queued()

    def _admit(self, queued: QueuedCall, now: float) -> None:
        """Admit a queued call, or refuse it if its deadline is too near."""
        try:
            self._check_deadline(queued.call, now, 0)
        except DeadlineUnreachableError as error:
            queued.refuse(error)
            return
        self._running += 1
        self.rates.record(now)
        self._admitted_weights.add(queued.call.weight)
        queued.admit()

    def _overload_error(self) -> RefusedError:
        now = _now()
        if self.rates.named.wait_s(now, len(self._queue) + 1):
            return TargetLimitError(retry_after_s=self._retry_after_s())
        cold = self._limiter.is_cold(now) or self.rates.cold.is_cold(now)
        error_type = ColdTargetError if cold else OverloadedError
        return error_type(retry_after_s=self._retry_after_s())

    def _expected_wait_s(self, position: int, now: float) -> float:
        """Return the expected wait in seconds at a position of the queue."""
        return self._occupancy.expected_s(now) * position / self.limit

    def _retry_after_s(self) -> float:
        """Return the expected time in seconds to finish the current calls."""
        now = _now()
        backlog = len(self._queue) + self._running
        return max(
            MIN_RETRY_AFTER_S,
            self._expected_wait_s(backlog, now),
            self.rates.named.wait_s(now, len(self._queue) + 1),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
