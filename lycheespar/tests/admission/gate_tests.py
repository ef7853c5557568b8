"""Tests of the gate: places, queue, deadlines."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheespar.admission.gate import Gate
from lycheespar.admission.limiter import GateLimits, Limiter
from lycheespar.call import Call
from lycheespar.errors import (
    ColdTargetError,
    DeadlineUnreachableError,
    DrainingError,
    OverloadedError,
    RefusedError,
)
from lycheespar.tests.admission.calls import make_call

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('enter'), st.integers(1, 3)),
        st.tuples(st.sampled_from(('leave', 'cancel')), st.integers(0, 9)),
        st.tuples(st.just('slots'), st.integers(1, 4)),
    ),
    max_size=40,
)


def _gate(slots: int, queue_limit: int, **limits: float) -> Gate:
    gate = Gate(Limiter())
    gate.configure(GateLimits(slots, queue_limit, **{'queue_s': 5} | limits))
    return gate


async def _settle() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def _take_steps(steps: list[tuple[str, int]]) -> None:
    gate = _gate(2, 4)
    tasks: list[asyncio.Task[None]] = []
    inside: list[asyncio.Task[None]] = []
    for kind, number in steps:
        before = gate.running
        if kind == 'enter':
            tasks.append(asyncio.create_task(gate.enter(make_call(number))))
        elif kind == 'slots':
            gate.configure(GateLimits(number, 4, 5))
        elif kind == 'leave' and inside:
            inside.pop(number % len(inside))
            gate.leave(0.001)
        elif kind == 'cancel' and tasks:
            tasks.pop(number % len(tasks)).cancel()
        await _settle()
        entered = [task for task in tasks if task.done()]
        tasks = [task for task in tasks if not task.done()]
        inside += [task for task in entered if task.exception() is None]
        assert gate.running == len(inside)
        assert gate.running <= max(before, gate.limit)
        assert gate.load.queued == len(tasks) <= 4
        assert not tasks or gate.running >= gate.limit
    for _ in range(len(tasks) + len(inside)):
        gate.leave(0.001)
        await _settle()
    assert gate.idle


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_no_place_is_lost_and_none_given_twice(steps):
    asyncio.run(_take_steps(steps))


async def test_a_place_is_not_lost_when_a_call_is_cancelled_at_its_turn():
    gate = _gate(1, 4)
    await gate.enter(make_call())
    waiting = asyncio.create_task(gate.enter(make_call()))
    await _settle()
    gate.leave(0.001)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert gate.idle


async def test_a_heavier_call_pushes_out_the_lightest_waiting_one():
    gate = _gate(1, 2)
    await gate.enter(make_call())
    waiting = [
        asyncio.create_task(gate.enter(make_call(weight)))
        for weight in (2, 1, 3)
    ]
    await _settle()
    assert [task.done() for task in waiting] == [False, True, False]
    assert isinstance(waiting[1].exception(), OverloadedError)
    gate.leave(0.001)
    await _settle()
    assert [task.done() for task in waiting] == [False, True, True]
    waiting[0].cancel()


async def test_of_equal_weight_the_nearer_deadline_goes_first():
    gate = _gate(1, 2)
    await gate.enter(make_call())
    late = asyncio.create_task(gate.enter(make_call(budget_s=9)))
    await _settle()
    near = asyncio.create_task(gate.enter(make_call(budget_s=3)))
    await _settle()
    gate.leave(0.001)
    await _settle()
    assert (late.done(), near.done()) == (False, True)
    late.cancel()


async def test_a_full_queue_refuses_at_once_with_when_to_come_back():
    gate = _gate(1, 0)
    await gate.enter(make_call())
    gate.leave(0.4)
    await gate.enter(make_call())
    with pytest.raises(OverloadedError) as caught:
        await gate.enter(make_call())
    assert caught.value.retry_after_s == pytest.approx(0.4, rel=0.2)


async def test_a_full_queue_in_cold_start_has_a_code_of_its_own():
    gate = _gate(8, 0, cold_start_s=60, cold_share=0.1)
    gate._limiter.restart(asyncio.get_running_loop().time())
    await gate.enter(make_call())
    with pytest.raises(ColdTargetError):
        await gate.enter(make_call())


async def test_a_deadline_that_cannot_be_met_is_refused_before_the_wait():
    gate = _gate(1, 8)
    await gate.enter(make_call())
    gate.leave(0.5)
    await gate.enter(make_call())
    with pytest.raises(DeadlineUnreachableError):
        await gate.enter(make_call(budget_s=0.1))
    assert gate.load.queued == 0


async def test_a_deadline_is_checked_again_at_the_calls_turn():
    gate = _gate(1, 8)
    await gate.enter(make_call())
    waiting = asyncio.create_task(gate.enter(make_call(budget_s=1)))
    await _settle()
    for _ in range(50):
        now = asyncio.get_running_loop().time()
        gate._limiter.succeeded('default', 4, now, 1)
    gate.leave(0.01)
    with pytest.raises(DeadlineUnreachableError):
        await waiting
    assert gate.idle


async def test_old_estimates_do_not_refuse_calls_for_ever(monkeypatch):
    gate = _gate(1, 8)
    now = asyncio.get_running_loop().time()
    gate._limiter.succeeded('default', 4, now, 1)
    with pytest.raises(DeadlineUnreachableError):
        await gate.enter(make_call(budget_s=1))
    monkeypatch.setattr('lycheespar.admission.gate._now', lambda: now + 5)
    call = make_call()
    call.deadline = now + 6
    await gate.enter(call)


async def test_a_wait_ends_after_the_longest_wait():
    gate = _gate(1, 8, queue_s=0.02)
    await gate.enter(make_call())
    with pytest.raises(OverloadedError):
        await gate.enter(make_call())
    assert gate.load.queued == 0


async def test_calls_that_wait_are_refused_when_the_target_drains():
    gate = _gate(1, 8)
    await gate.enter(make_call())
    tasks = [asyncio.create_task(gate.enter(make_call())) for _ in range(3)]
    await _settle()
    gate.refuse_waiting(DrainingError)
    ends = await asyncio.gather(*tasks, return_exceptions=True)
    assert [type(end) for end in ends] == [DrainingError] * 3
    assert all(isinstance(end, RefusedError) for end in ends)
    gate.leave(0.001)
    assert gate.idle


async def test_a_wait_that_heavier_calls_lengthen_is_refused_at_once():
    gate = _gate(1, 8, queue_s=0.5)
    await gate.enter(make_call())
    for _ in range(200):
        heavier = asyncio.create_task(gate.enter(make_call(2)))
        await _settle()
        gate.leave(0.2)
        await heavier
    waiting = asyncio.create_task(gate.enter(make_call(2)))
    await _settle()
    assert not waiting.done()
    lighter = asyncio.create_task(gate.enter(make_call(1, budget_s=60)))
    await _settle()
    assert lighter.done()
    assert isinstance(lighter.exception(), OverloadedError)
    waiting.cancel()


def _with_objective(objective_s: float) -> Call:
    call = make_call()
    now = asyncio.get_running_loop().time()
    call.objective_at = now + objective_s
    return call


async def test_a_call_that_would_be_late_is_refused_at_once():
    gate = _gate(1, 10)
    await gate.enter(make_call())
    gate.leave(1)
    await gate.enter(make_call())
    waits = asyncio.create_task(gate.enter(make_call()))
    await _settle()
    assert not waits.done()
    with pytest.raises(OverloadedError):
        await gate.enter(_with_objective(0.2))
    waits.cancel()


async def test_a_call_that_is_late_anyway_waits_until_its_deadline():
    gate = _gate(1, 10)
    await gate.enter(make_call())
    gate.leave(1)
    await gate.enter(make_call())
    waits = asyncio.create_task(gate.enter(_with_objective(-1)))
    await _settle()
    assert not waits.done()
    gate.leave(1)
    await waits


async def test_a_call_that_can_be_in_time_waits():
    gate = _gate(1, 10)
    await gate.enter(make_call())
    gate.leave(0.01)
    await gate.enter(make_call())
    waits = asyncio.create_task(gate.enter(_with_objective(0.5)))
    await _settle()
    assert not waits.done()
    gate.leave(0.01)
    await waits


async def test_a_cold_target_admits_waiting_calls_at_its_rate():
    gate = _gate(9, 20, cold_per_s=2)
    now = asyncio.get_running_loop().time()
    gate.rate.set_cold(now + 60)
    tasks = [asyncio.create_task(gate.enter(make_call())) for _ in range(4)]
    await _settle()
    assert gate.running == 2
    await asyncio.gather(*tasks)
    assert asyncio.get_running_loop().time() - now >= 1
