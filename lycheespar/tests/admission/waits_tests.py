"""Waits that a full target's node reports to callers' nodes."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.errors import RefusedError
from lycheespar.routing.room import has_room, wait_s
from lycheespar.tests.admission.calls import make_call
from lycheespar.tests.virtual_loop import VirtualLoop, run_virtual

SLOTS, QUEUE_LIMIT, WORK_S = 4, 12, 0.2
HEAVY, LIGHT = 1, 0.5


def _call(weight: float, objective_s: float = 0.8):
    call = make_call(weight, budget_s=3)
    now = asyncio.get_running_loop().time()
    return replace(call, objective_at=now + objective_s)


class _Target:
    """A target behind the gate of its node."""

    def __init__(self, *, by_cost: bool = True) -> None:
        self.limiter = Limiter()
        self.gate = Gate(self.limiter)
        self.gate.configure(
            GateLimits(
                SLOTS, queue_limit=QUEUE_LIMIT, queue_s=5, by_cost=by_cost
            )
        )

    async def press(self, *weights: float) -> None:
        """Send calls for a second, more than the target can do."""
        async with asyncio.TaskGroup() as group:
            for number in range(40):
                group.create_task(self._run(weights[number % len(weights)]))
                await asyncio.sleep(0.02)

    async def _run(self, weight: float) -> None:
        try:
            await self.gate.acquire(_call(weight))
        except RefusedError:
            return
        await asyncio.sleep(WORK_S)
        self.gate.release(WORK_S)
        self.limiter.record_success(
            'default',
            WORK_S,
            asyncio.get_running_loop().time(),
            self.gate.running,
        )


@pytest.mark.parametrize('weights', [(LIGHT,), (HEAVY, LIGHT, LIGHT)])
def test_heavier_calls_are_told_shorter_waits(weights):
    async def scenario(_: VirtualLoop) -> None:
        target = _Target()
        pressing = asyncio.create_task(target.press(*weights))
        await asyncio.sleep(0.7)
        waits_ms = [wait_ms for _, wait_ms in target.gate.load.waits]
        assert len(waits_ms) > 1
        assert waits_ms == sorted(waits_ms, reverse=True)
        await pressing

    run_virtual(scenario)


def test_a_target_that_refuses_by_deadline_reports_no_waits():
    """Services that do not ask for refusals by cost are served as before."""

    async def scenario(_: VirtualLoop) -> None:
        target = _Target(by_cost=False)
        pressing = asyncio.create_task(target.press(HEAVY, LIGHT))
        await asyncio.sleep(0.7)
        assert target.gate.load.queued
        assert target.gate.load.waits == ()
        await pressing

    run_virtual(scenario)


def test_a_target_with_a_free_slot_reports_no_wait():
    async def scenario(_: VirtualLoop) -> None:
        target = _Target()
        await target.press(HEAVY, LIGHT)
        assert target.gate.load.waits == ()
        assert has_room(_call(LIGHT), target.gate.load, 0)

    run_virtual(scenario)


def test_calls_that_are_told_of_no_room_would_be_refused():
    """A report of longer waits than the gate allows would lose calls."""

    async def scenario(loop: VirtualLoop) -> None:
        target = _Target()
        pressing = asyncio.create_task(target.press(HEAVY, LIGHT, LIGHT))
        without_room = 0
        for _ in range(30):
            await asyncio.sleep(0.025)
            call = _call(LIGHT)
            if not has_room(call, target.gate.load, loop.time()):
                without_room += 1
                with pytest.raises(RefusedError):
                    async with asyncio.timeout(0):
                        await target.gate.acquire(call)
        assert without_room > 5
        await pressing

    run_virtual(scenario)


def test_a_queue_that_is_full_of_heavy_calls_has_no_room_for_light_ones():
    async def scenario(_: VirtualLoop) -> None:
        target = _Target()
        await target.press(HEAVY, LIGHT)
        tasks = [
            asyncio.create_task(
                target.gate.acquire(_call(HEAVY, objective_s=2.9))
            )
            for _ in range(SLOTS + QUEUE_LIMIT)
        ]
        await asyncio.sleep(0)
        assert wait_s(_call(LIGHT), target.gate.load) == float('inf')
        for task in tasks:
            task.cancel()

    run_virtual(scenario)
