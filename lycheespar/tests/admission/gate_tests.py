"""Tests of the gate: slots, queue and deadlines."""

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


async def _run_pending() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def _check_steps(steps: list[tuple[str, int]]) -> None:
    gate = _gate(2, 4)
    tasks: list[asyncio.Task[None]] = []
    admitted: list[asyncio.Task[None]] = []
    for kind, number in steps:
        before = gate.running
        if kind == 'enter':
            tasks.append(asyncio.create_task(gate.acquire(make_call(number))))
        elif kind == 'slots':
            gate.configure(GateLimits(number, 4, 5))
        elif kind == 'leave' and admitted:
            admitted.pop(number % len(admitted))
            gate.release(0.001)
        elif kind == 'cancel' and tasks:
            tasks.pop(number % len(tasks)).cancel()
        await _run_pending()
        finished = [task for task in tasks if task.done()]
        tasks = [task for task in tasks if not task.done()]
        admitted += [task for task in finished if task.exception() is None]
        assert gate.running == len(admitted)
        assert gate.running <= max(before, gate.limit)
        assert gate.load.queued == len(tasks) <= 4
        assert not tasks or gate.running >= gate.limit
    for _ in range(len(tasks) + len(admitted)):
        gate.release(0.001)
        await _run_pending()
    assert gate.idle


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_slots_are_neither_lost_nor_granted_twice(steps):
    asyncio.run(_check_steps(steps))


async def test_a_call_cancelled_at_its_admission_releases_its_slot():
    gate = _gate(1, 4)
    await gate.acquire(make_call())
    pending = asyncio.create_task(gate.acquire(make_call()))
    await _run_pending()
    gate.release(0.001)
    pending.cancel()
    await asyncio.gather(pending, return_exceptions=True)
    assert gate.idle


async def test_a_heavier_call_evicts_the_lightest_queued_one():
    gate = _gate(1, 2)
    await gate.acquire(make_call())
    pending = [
        asyncio.create_task(gate.acquire(make_call(weight)))
        for weight in (2, 1, 3)
    ]
    await _run_pending()
    assert [task.done() for task in pending] == [False, True, False]
    assert isinstance(pending[1].exception(), OverloadedError)
    gate.release(0.001)
    await _run_pending()
    assert [task.done() for task in pending] == [False, True, True]
    pending[0].cancel()


async def test_calls_of_equal_weight_are_admitted_by_deadline():
    gate = _gate(1, 2)
    await gate.acquire(make_call())
    far = asyncio.create_task(gate.acquire(make_call(budget_s=9)))
    await _run_pending()
    near = asyncio.create_task(gate.acquire(make_call(budget_s=3)))
    await _run_pending()
    gate.release(0.001)
    await _run_pending()
    assert (far.done(), near.done()) == (False, True)
    far.cancel()


async def test_a_full_queue_refuses_with_a_retry_after_time():
    gate = _gate(1, 0)
    await gate.acquire(make_call())
    gate.release(0.4)
    await gate.acquire(make_call())
    with pytest.raises(OverloadedError) as caught:
        await gate.acquire(make_call())
    assert caught.value.retry_after_s == pytest.approx(0.4, rel=0.2)


async def test_a_full_queue_in_a_cold_start_has_its_own_error():
    gate = _gate(8, 0, cold_start_s=60, cold_share=0.1)
    gate._limiter.begin_cold_start(asyncio.get_running_loop().time())
    await gate.acquire(make_call())
    with pytest.raises(ColdTargetError):
        await gate.acquire(make_call())


async def test_a_call_that_would_miss_its_deadline_is_not_queued():
    gate = _gate(1, 8)
    await gate.acquire(make_call())
    gate.release(0.5)
    await gate.acquire(make_call())
    with pytest.raises(DeadlineUnreachableError):
        await gate.acquire(make_call(budget_s=0.1))
    assert gate.load.queued == 0


async def test_a_deadline_is_checked_again_at_admission():
    gate = _gate(1, 8)
    await gate.acquire(make_call())
    pending = asyncio.create_task(gate.acquire(make_call(budget_s=1)))
    await _run_pending()
    for _ in range(50):
        now = asyncio.get_running_loop().time()
        gate._limiter.record_success('default', 4, now, 1)
    gate.release(0.01)
    with pytest.raises(DeadlineUnreachableError):
        await pending
    assert gate.idle


async def test_high_latency_estimates_decay_without_new_samples(monkeypatch):
    gate = _gate(1, 8)
    now = asyncio.get_running_loop().time()
    gate._limiter.record_success('default', 4, now, 1)
    with pytest.raises(DeadlineUnreachableError):
        await gate.acquire(make_call(budget_s=1))
    monkeypatch.setattr('lycheespar.admission.gate._now', lambda: now + 5)
    call = make_call()
    call.deadline = now + 6
    await gate.acquire(call)


async def test_a_queued_call_is_refused_after_the_maximum_wait():
    gate = _gate(1, 8, queue_s=0.02)
    await gate.acquire(make_call())
    with pytest.raises(OverloadedError):
        await gate.acquire(make_call())
    assert gate.load.queued == 0


async def test_queued_calls_are_refused_when_the_target_drains():
    gate = _gate(1, 8)
    await gate.acquire(make_call())
    tasks = [asyncio.create_task(gate.acquire(make_call())) for _ in range(3)]
    await _run_pending()
    gate.refuse_queued(DrainingError)
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    assert [type(end) for end in outcomes] == [DrainingError] * 3
    assert all(isinstance(end, RefusedError) for end in outcomes)
    gate.release(0.001)
    assert gate.idle


async def test_the_expected_wait_allows_for_heavier_calls():
    gate = _gate(1, 8, queue_s=0.5)
    await gate.acquire(make_call())
    for _ in range(200):
        heavier = asyncio.create_task(gate.acquire(make_call(2)))
        await _run_pending()
        gate.release(0.2)
        await heavier
    pending = asyncio.create_task(gate.acquire(make_call(2)))
    await _run_pending()
    assert not pending.done()
    lighter = asyncio.create_task(gate.acquire(make_call(1, budget_s=60)))
    await _run_pending()
    assert lighter.done()
    assert isinstance(lighter.exception(), OverloadedError)
    pending.cancel()


def _with_objective(objective_s: float) -> Call:
    call = make_call()
    now = asyncio.get_running_loop().time()
    call.objective_at = now + objective_s
    return call


async def test_a_call_that_would_miss_its_objective_is_refused():
    gate = _gate(1, 10)
    await gate.acquire(make_call())
    gate.release(1)
    await gate.acquire(make_call())
    waiter = asyncio.create_task(gate.acquire(make_call()))
    await _run_pending()
    assert not waiter.done()
    with pytest.raises(OverloadedError):
        await gate.acquire(_with_objective(0.2))
    waiter.cancel()


async def test_a_call_past_its_objective_is_queued():
    gate = _gate(1, 10)
    await gate.acquire(make_call())
    gate.release(1)
    await gate.acquire(make_call())
    waiter = asyncio.create_task(gate.acquire(_with_objective(-1)))
    await _run_pending()
    assert not waiter.done()
    gate.release(1)
    await waiter


async def test_a_call_that_can_meet_its_objective_is_queued():
    gate = _gate(1, 10)
    await gate.acquire(make_call())
    gate.release(0.01)
    await gate.acquire(make_call())
    waiter = asyncio.create_task(gate.acquire(_with_objective(0.5)))
    await _run_pending()
    assert not waiter.done()
    gate.release(0.01)
    await waiter


async def test_queued_calls_are_admitted_at_the_rate_of_a_cold_target():
    gate = _gate(9, 20, cold_per_s=2)
    now = asyncio.get_running_loop().time()
    gate.rates.cold.treat_as_cold(now + 60)
    tasks = [asyncio.create_task(gate.acquire(make_call())) for _ in range(4)]
    await _run_pending()
    assert gate.running == 2
    await asyncio.gather(*tasks)
    assert asyncio.get_running_loop().time() - now >= 1
