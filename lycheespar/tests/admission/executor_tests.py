"""Tests of the executor beside a stand-in target."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Answer
from lycheespar.errors import (
    DeadlineExceededError,
    DrainingError,
    OutOfServiceError,
    OverloadedError,
    TargetGoneError,
    TargetShedError,
)
from lycheespar.tests.admission.calls import Beside, configuration, make_call
from standins.cluster import wait_until
from standins.link import Link

COLD = {'slots': 12, 'cold_slots': 2, 'service_ms': 3}


async def _body(answer: Answer) -> bytes:
    if isinstance(answer.body, bytes):
        return answer.body
    return b''.join([chunk async for chunk in answer.body])


@pytest.fixture
async def beside():
    """Run a target with an executor beside it; the test starts it."""
    made: list[Beside] = []

    def build(**plan: float) -> Beside:
        made.append(Beside(**plan))
        return made[-1]

    yield build
    for pair in made:
        await pair.stop()


@pytest.mark.parametrize('senders', [1, 60])
async def test_a_started_target_gets_no_more_than_it_bears(beside, senders):
    pair = beside(**COLD, cold_s=0.4)
    await pair.start(cold_start_s=2)
    pair.target.hiding = True
    pair.announce()
    await pair.load(senders, lambda: not pair.target.cold)
    assert pair.target.executions.total() > 20
    assert pair.target.overruns == 0


async def test_a_warm_target_gets_all_its_slots(beside):
    pair = beside(**COLD)
    await pair.start(cold_start_s=0.2)
    await pair.load(60, lambda: pair.target.peak == 12)


async def test_a_target_that_turns_cold_again_is_found_by_its_failures(beside):
    pair = beside(**COLD, cold_s=0)
    await pair.start(cold_start_s=0.2)
    await pair.warm()
    pair.target.hiding = True
    pair.target.plan.cold_s = 60
    pair.target.turn_cold()
    pair.view.replace(configuration(2, cold_start_s=60))
    await pair.load(40, lambda: pair.executor.load.limit == 2)
    await wait_until(lambda: pair.executor.idle)
    found = pair.target.overruns
    assert found <= 12
    done = pair.target.executions.total()
    await pair.load(40, lambda: pair.target.executions.total() > done + 50)
    assert pair.target.overruns == found


@pytest.mark.parametrize(
    'change',
    [{'incarnation': 'b'}, {'target': 'two'}],
)
async def test_a_new_incarnation_begins_a_cold_start(beside, change):
    pair = beside(**COLD)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    assert pair.executor.load.limit == 12
    pair.announce(**change)
    assert pair.executor.load.limit == 2


async def test_a_new_address_gets_the_calls(beside):
    old, new = beside(), beside()
    await old.start()
    await new.start()
    answer = await old.run(make_call())
    assert answer.status == 200
    old.announce(address=new.target.address)
    await old.run(make_call())
    assert old.target.executions.total() == 1
    assert new.target.executions.total() == 1


async def test_a_lease_that_lapsed_and_returned_begins_a_cold_start(beside):
    pair = beside(**COLD)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    pair.local._expire()
    assert isinstance(await pair.run(make_call()), TargetGoneError)
    pair.announce()
    assert pair.executor.load.limit == 2


async def test_a_lapsed_lease_does_not_cut_calls_under_way(beside):
    pair = beside(service_ms=100)
    await pair.start()
    task = asyncio.create_task(pair.run(make_call()))
    await wait_until(lambda: pair.target.running)
    pair.local._expire()
    assert (await task).status == 200


async def test_refused_connections_begin_a_cold_start(beside):
    pair = beside(**COLD)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    await pair.target.stop()
    await pair.run(make_call())
    assert isinstance(await pair.run(make_call()), TargetGoneError)
    assert pair.executor.load.limit == 2


async def test_waiting_calls_do_not_run_once_the_data_centre_is_out(beside):
    pair = beside(slots=1, service_ms=200)
    await pair.start(queue_ms=5000)
    tasks = [asyncio.create_task(pair.run(make_call())) for _ in range(3)]
    await wait_until(lambda: pair.executor.load.queued == 2)
    pair.view.replace(configuration(2, frozenset({'ijmuiden'})))
    ends = await asyncio.gather(*tasks)
    assert [type(end) for end in ends[1:]] == [OutOfServiceError] * 2
    assert pair.target.executions.total() == 1


async def test_waiting_calls_do_not_run_once_the_target_drains(beside):
    pair = beside(slots=1, service_ms=200)
    await pair.start(queue_ms=5000)
    tasks = [asyncio.create_task(pair.run(make_call())) for _ in range(3)]
    await wait_until(lambda: pair.executor.load.queued == 2)
    pair.announce(phase='leaving')
    ends = await asyncio.gather(*tasks)
    assert [type(end) for end in ends[1:]] == [DrainingError] * 2
    assert isinstance(await pair.run(make_call()), DrainingError)
    assert pair.target.executions.total() == 1


async def test_a_changed_queue_limit_is_in_force_at_once(beside):
    pair = beside(slots=1, service_ms=200)
    await pair.start(queue_ms=5000)
    running = asyncio.create_task(pair.run(make_call()))
    await wait_until(lambda: pair.target.running)
    pair.view.replace(configuration(2, queue_limit=0))
    assert isinstance(await pair.run(make_call()), OverloadedError)
    await running


async def test_a_drained_node_stays_so_when_its_target_announces_again(beside):
    pair = beside()
    await pair.start()
    pair.local.drain()
    pair.announce()
    assert isinstance(await pair.run(make_call()), DrainingError)


async def test_a_body_that_nobody_reads_gives_its_place_back(beside):
    pair = beside()
    await pair.start()
    answer = await pair.run(make_call(path='/a?size=1000000'))
    assert not pair.executor.idle
    del answer
    assert pair.executor.idle


async def test_a_streamed_body_holds_its_place_until_its_end(beside):
    pair = beside()
    await pair.start()
    answer = await pair.run(make_call(path='/a?size=1000000'))
    assert pair.executor.load.running == 1
    assert len(await _body(answer)) == 1_000_000
    assert pair.executor.idle


async def test_a_shed_answer_is_passed_on_unless_the_call_is_idempotent(
    beside,
):
    pair = beside()
    await pair.start()
    pair.target.shedding = True
    error = await pair.run(make_call())
    assert isinstance(error, TargetShedError)
    assert error.retry_after_s == 7
    answer = await pair.run(make_call(idempotent=False))
    assert answer.status == 503
    assert ('Retry-After', '7') in answer.headers


async def test_silent_connections_are_replaced_after_the_first_timeout(
    beside,
):
    pair = beside(service_ms=5)
    await pair.start()
    link = Link(pair.target.plan.host, pair.target.plan.port)
    await link.start()
    pair.announce(address='{}:{}'.format(*link.address))
    pair.view.replace(configuration(2, cold_share=1))
    await asyncio.gather(*(pair.run(make_call()) for _ in range(4)))
    assert link.accepted == 4
    link.silence()
    late = await pair.run(make_call(budget_s=0.3))
    assert isinstance(late, DeadlineExceededError)
    answers = [await pair.run(make_call(budget_s=3)) for _ in range(4)]
    assert [answer.status for answer in answers] == [200] * 4
    await link.stop()
