"""Retries, hedges and budgets."""

from __future__ import annotations

import asyncio
import gc

import pytest

from lycheespar.errors import (
    DeadlineExceededError,
    MisdirectedError,
    NoTargetError,
    Outcome,
    OutcomeUnknownError,
    OverloadedError,
    RefusedError,
    RequestError,
    TargetLostError,
    TargetRefusedError,
)
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import MAX_SAVED_RETRIES, RetryBudgets
from lycheespar.tests.routing.fakes import FakeTargets, build_router, make_call


async def _dispatch_error(router, sent) -> RequestError:
    with pytest.raises(RequestError) as caught:
        await router.dispatch(sent)
    return caught.value


async def test_a_refused_call_goes_to_another_target():
    targets = FakeTargets(lambda run, _: OverloadedError() if run == 0 else 200)
    answer = await build_router(targets).dispatch(make_call(idempotent=False))
    assert answer.status == 200
    assert len(targets.runs) == 2
    assert len(set(targets.call_ids)) == 2


async def test_the_call_of_the_caller_is_not_modified():
    targets = FakeTargets(lambda run, _: OverloadedError() if run == 0 else 200)
    sent = make_call()
    await build_router(targets).dispatch(sent)
    assert sent.call_id == b'0' * 16


async def test_a_call_that_may_have_run_is_not_run_again():
    targets = FakeTargets(lambda *_: OutcomeUnknownError())
    error = await _dispatch_error(
        build_router(targets), make_call(idempotent=False)
    )
    assert error.outcome is Outcome.unknown
    assert targets.runs.total() == 1


async def test_an_idempotent_call_that_may_have_run_is_run_again():
    targets = FakeTargets(
        lambda run, _: OutcomeUnknownError() if run == 0 else 200,
    )
    answer = await build_router(targets).dispatch(make_call())
    assert answer.status == 200


async def test_a_refusal_after_a_possible_run_is_not_reported_as_not_run():
    targets = FakeTargets(
        lambda run, _: OutcomeUnknownError() if run == 0 else OverloadedError(),
    )
    error = await _dispatch_error(build_router(targets), make_call())
    assert targets.runs.total() > 1
    assert error.outcome is Outcome.unknown


async def test_a_call_that_lost_two_targets_is_not_run_again():
    targets = FakeTargets(lambda *_: TargetLostError())
    await _dispatch_error(build_router(targets), make_call())
    assert targets.runs.total() == 2


async def test_a_call_past_its_deadline_is_not_run_again():
    targets = FakeTargets(lambda *_: DeadlineExceededError())
    await _dispatch_error(build_router(targets), make_call())
    assert targets.runs.total() == 1


async def test_the_shortest_retry_after_is_reported():
    waits = (3.0, 0.2, 7.0)
    targets = FakeTargets(
        lambda run, _: OverloadedError(retry_after_s=waits[run]),
    )
    error = await _dispatch_error(build_router(targets), make_call())
    assert error.retry_after_s == pytest.approx(0.2)


async def test_a_call_to_a_service_without_targets_fails_with_no_target():
    router = build_router(FakeTargets(lambda *_: 200), count=0)
    assert isinstance(await _dispatch_error(router, make_call()), NoTargetError)


async def test_an_idempotent_call_that_failed_is_run_at_another_target():
    targets = FakeTargets(lambda run, _: 500 if run == 0 else 200)
    assert (await build_router(targets).dispatch(make_call())).status == 200


async def test_a_failed_answer_is_returned_if_the_retry_is_refused():
    targets = FakeTargets(lambda run, _: 500 if run == 0 else OverloadedError())
    assert (await build_router(targets).dispatch(make_call())).status == 500


async def test_a_failed_answer_to_a_non_idempotent_call_is_returned():
    targets = FakeTargets(lambda *_: 500)
    answer = await build_router(targets).dispatch(make_call(idempotent=False))
    assert answer.status == 500
    assert targets.runs.total() == 1


@pytest.mark.parametrize(
    'step',
    [500, OutcomeUnknownError(), OverloadedError()],
    ids=['failing', 'unknown', 'refusing'],
)
async def test_failing_targets_cause_no_retry_storm(step):
    targets = FakeTargets(lambda *_: step)
    router = build_router(targets, retry_share=0.1)
    calls = [router.dispatch(make_call()) for _ in range(1000)]
    await asyncio.gather(*calls, return_exceptions=True)
    burst = 20
    assert targets.runs.total() <= 1000 * (1 + 0.1 / 0.5) + burst


async def test_a_slow_call_is_hedged_and_the_slower_run_cancelled():
    targets = FakeTargets(lambda run, _: 4.0 if run == 0 else 200)
    router = build_router(targets, hedge_after_ms=20)
    assert (await router.dispatch(make_call())).status == 200
    assert len(targets.runs) == 2
    await asyncio.sleep(0.01)
    assert targets.cancelled == 1


async def test_a_non_idempotent_call_is_never_hedged():
    targets = FakeTargets(lambda *_: 0.1)
    router = build_router(targets, hedge_after_ms=5)
    await router.dispatch(make_call(idempotent=False))
    assert targets.runs.total() == 1


async def test_a_hedge_that_fails_does_not_end_the_first_attempt():
    targets = FakeTargets(
        lambda run, _: 0.1 if run == 0 else OverloadedError(),
    )
    router = build_router(targets, hedge_after_ms=5)
    assert (await router.dispatch(make_call())).status == 200


async def test_hedges_stay_within_the_retry_budget():
    targets = FakeTargets(lambda *_: 0.02)
    router = build_router(targets, hedge_after_ms=1, retry_share=0.1)
    await asyncio.gather(*(router.dispatch(make_call()) for _ in range(300)))
    assert targets.runs.total() <= 300 * 1.1 + 10


@pytest.mark.parametrize('hedge_after_ms', [0, 5])
async def test_a_caller_that_disconnects_cancels_all_attempts(hedge_after_ms):
    targets = FakeTargets(lambda *_: 4.0)
    router = build_router(targets, hedge_after_ms=hedge_after_ms)
    task = asyncio.create_task(router.dispatch(make_call()))
    started = 2 if hedge_after_ms else 1
    while targets.runs.total() < started:
        await asyncio.sleep(0.005)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.01)
    assert targets.cancelled == started


async def test_a_caller_that_leaves_while_a_hedge_is_prepared_cancels_the_run(
    monkeypatch,
):
    targets = FakeTargets(lambda *_: 4.0)
    router = build_router(targets, hedge_after_ms=5)
    is_preparing = asyncio.Event()

    async def choose(*_, only_free=False):
        if not only_free:
            return await original_choose(*_)
        is_preparing.set()
        return await asyncio.Event().wait()

    original_choose = router._attempts.choose
    monkeypatch.setattr(
        AttemptRunner, 'choose', lambda _, *a, **k: choose(*a, **k)
    )
    task = asyncio.create_task(router.dispatch(make_call()))
    await is_preparing.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.01)
    assert targets.cancelled == 1


async def test_a_run_that_fails_as_its_caller_leaves_leaves_no_unread_error():
    """Its error would be logged with a traceback that names no request."""
    unread: list[str] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: unread.append(context['message'])
    )
    targets = FakeTargets(lambda *_: 4.0)
    targets.error_when_cancelled = DeadlineExceededError()
    router = build_router(targets, hedge_after_ms=500)
    task = asyncio.create_task(router.dispatch(make_call()))
    while not targets.runs:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    del task
    await asyncio.sleep(0.01)
    gc.collect()
    assert unread == []


@pytest.mark.parametrize('error', [TargetRefusedError(), MisdirectedError()])
async def test_a_refusal_by_a_target_costs_as_much_as_a_run(error):
    targets = FakeTargets(lambda *_: type(error)())
    router = build_router(targets, retry_share=0)
    for _ in range(40):
        with pytest.raises(RefusedError):
            await router.dispatch(make_call())
    assert targets.runs.total() <= 40 + MAX_SAVED_RETRIES


@pytest.mark.parametrize('nodes', [3, 60])
async def test_all_nodes_together_save_up_no_more_than_the_limit(nodes):
    targets = FakeTargets(lambda *_: TargetRefusedError())
    routers = [
        build_router(targets, nodes, RetryBudgets(60, 1), retry_share=0)
        for _ in range(nodes)
    ]
    for router in routers:
        for _ in range(MAX_SAVED_RETRIES):
            await _dispatch_error(router, make_call())
    fresh = nodes * MAX_SAVED_RETRIES
    assert targets.runs.total() <= fresh + 60


async def test_the_retry_share_is_limited_by_the_settings_of_the_node():
    targets = FakeTargets(lambda *_: TargetRefusedError())
    budgets = RetryBudgets(4, 0.1)
    router = build_router(targets, budgets=budgets, retry_share=0.5)
    for _ in range(100):
        await _dispatch_error(router, make_call())
    assert targets.runs.total() <= 100 * 1.1 + 4
