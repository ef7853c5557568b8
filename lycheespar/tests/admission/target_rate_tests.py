"""Plays load against a gate whose target names a limit on its rate."""

from __future__ import annotations

import asyncio
import random
from bisect import bisect_left
from collections import Counter

import pytest

from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.errors import RefusedError, TargetLimitError
from lycheespar.membership.records import MemberRecord
from lycheespar.routing.table import TargetState
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual

WINDOW_S = 4
RECORD = MemberRecord('node', 1, 1, '127.0.0.1', 1, 2, 'ijmuiden', slots=14)
HEAVY, LIGHT = 2, 1


class _Play:
    """Callers that send calls of two weights through a gate."""

    def __init__(self) -> None:
        self.gate = Gate(Limiter())
        self.gate.configure(GateLimits(slots=14, queue_limit=14, queue_s=0.2))
        self.started_at: list[float] = []
        self.started: Counter[float] = Counter()
        self.offered: Counter[float] = Counter()
        self.refusals: list[RefusedError] = []
        self.longest_refusal_s = 0.0
        self._random = random.Random(1)
        self._tasks: list[asyncio.Task[None]] = []

    async def offer(self, heavy: float, light: float, period_s: float) -> None:
        """Send that many calls a second of each weight for a while."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + period_s
        while loop.time() < ends_at:
            await asyncio.sleep(self._random.expovariate(heavy + light))
            is_heavy = self._random.random() * (heavy + light) < heavy
            weight = HEAVY if is_heavy else LIGHT
            self._tasks.append(asyncio.create_task(self._send(weight)))
        await asyncio.gather(*self._tasks)

    async def _send(self, weight: float) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.offered[weight] += 1
        try:
            await self.gate.acquire(make_call(weight, budget_s=1.2))
        except RefusedError as error:
            self.refusals.append(error)
            waited_s = loop.time() - sent_at
            self.longest_refusal_s = max(self.longest_refusal_s, waited_s)
            return
        self.started[weight] += 1
        self.started_at.append(loop.time())
        duration_s = self._random.uniform(0.03, 0.09)
        await asyncio.sleep(duration_s)
        self.gate.release(duration_s)

    def most_in_a_window(self) -> int:
        """Return the most starts in any window of `WINDOW_S`."""
        return max(
            bisect_left(self.started_at, start + WINDOW_S) - index
            for index, start in enumerate(self.started_at)
        )


@pytest.mark.parametrize('calls_per_s', [0.4, 2.5, 11.6, 40])
def test_a_limited_target_gets_its_rate_in_any_window_and_no_less(calls_per_s):
    play = _Play()

    async def scenario(loop: VirtualLoop) -> None:
        await play.offer(20, 60, 3)
        play.started_at.clear()
        play.gate.rates.named.set(calls_per_s, loop.time())
        await play.offer(20, 60, 20)

    run_virtual(scenario)
    assert play.most_in_a_window() <= 1.5 * calls_per_s * WINDOW_S + 5
    assert len(play.started_at) >= 0.9 * calls_per_s * 20 - 1


def test_heavier_calls_are_served_first_at_a_limited_target():
    play = _Play()

    async def scenario(loop: VirtualLoop) -> None:
        play.gate.rates.named.set(11.6, loop.time())
        await play.offer(8, 40, 20)

    run_virtual(scenario)
    assert play.started[HEAVY] >= 0.9 * play.offered[HEAVY]


def test_calls_beyond_the_limit_are_refused_early_with_a_time_to_return():
    play = _Play()

    async def scenario(loop: VirtualLoop) -> None:
        play.gate.rates.named.set(2, loop.time())
        await play.offer(0, 40, 10)

    run_virtual(scenario)
    assert {type(error) for error in play.refusals} == {TargetLimitError}
    assert all(0 < error.retry_after_s < 5 for error in play.refusals)
    assert play.longest_refusal_s <= 0.2 + 1e-6


def test_a_target_without_room_at_its_rate_does_not_look_free():
    play = _Play()

    async def scenario(loop: VirtualLoop) -> None:
        play.gate.rates.named.set(4, loop.time())
        await asyncio.sleep(0.3)
        before = TargetState(RECORD)
        before.update_load(play.gate.load, loop.time())
        await play.gate.acquire(make_call())
        play.gate.release(0.01)
        after = TargetState(RECORD)
        after.update_load(play.gate.load, loop.time())
        assert before.is_free
        assert not after.is_free
        assert after.usage(loop.time()) >= 1 + before.usage(loop.time())

    run_virtual(scenario)


def test_calls_that_wait_start_when_the_limit_ends():
    play = _Play()

    async def scenario(loop: VirtualLoop) -> None:
        limit = play.gate.rates.named
        limit.set(0, loop.time())
        waiting = asyncio.create_task(play.offer(0, 40, 0.2))
        await asyncio.sleep(0.15)
        limit.end_unless_recent(loop.time())
        assert limit.calls_per_s is not None
        limit.end_unless_recent(loop.time() + 1)
        play.gate.admit_queued()
        await waiting
        assert limit.calls_per_s is None

    run_virtual(scenario)
    assert play.started[LIGHT]
