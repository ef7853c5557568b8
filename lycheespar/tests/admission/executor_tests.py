"""Tests of the executor with a stand-in target."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from lycheespar.call import Answer
from lycheespar.configuration.stamp import Stamp
from lycheespar.errors import (
    DeadlineExceededError,
    DrainingError,
    InvalidAnswerError,
    OutOfServiceError,
    OverloadedError,
    StaleConfigurationError,
    TargetShedError,
    TargetUnavailableError,
)
from lycheespar.tests.admission.calls import (
    TargetWithExecutor,
    configuration,
    make_call,
)
from standins.cluster import wait_until
from standins.link import Link

COLD = {'slots': 12, 'cold_slots': 2, 'service_ms': 3}


async def _read_body(answer: Answer) -> bytes:
    if isinstance(answer.body, bytes):
        return answer.body
    return b''.join([chunk async for chunk in answer.body])


@pytest.fixture
async def build_pair():
    """Return a factory of targets with an executor; the test starts them."""
    pairs: list[TargetWithExecutor] = []

    def build(**plan: float) -> TargetWithExecutor:
        pairs.append(TargetWithExecutor(**plan))
        return pairs[-1]

    yield build
    for pair in pairs:
        await pair.stop()


@pytest.mark.parametrize('senders', [1, 60])
async def test_a_cold_target_is_not_overrun(build_pair, senders):
    pair = build_pair(**COLD, cold_s=60)
    await pair.start(cold_start_s=60)
    pair.target.hiding = True
    pair.announce()
    await pair.load(senders, lambda: pair.target.executions.total() > 50)
    assert pair.target.overruns == 0


async def test_a_warm_target_gets_all_its_slots(build_pair):
    pair = build_pair(**COLD)
    await pair.start(cold_start_s=0.2)
    await pair.load(60, lambda: pair.target.peak == 12)


async def test_failures_reveal_that_a_target_has_turned_cold(build_pair):
    pair = build_pair(**COLD, cold_s=0)
    await pair.start(cold_start_s=0.2)
    await pair.warm()
    pair.target.hiding = True
    pair.target.plan.cold_s = 60
    pair.target.begin_cold_start()
    pair.view.update_if_newer(configuration(2, cold_start_s=60))
    await pair.load(40, lambda: pair.executor.load.limit == 2)
    await wait_until(lambda: pair.executor.idle)
    overruns_so_far = pair.target.overruns
    assert overruns_so_far <= 12
    executed = pair.target.executions.total()
    await pair.load(40, lambda: pair.target.executions.total() > executed + 50)
    assert pair.target.overruns == overruns_so_far


@pytest.mark.parametrize(
    'change',
    [{'incarnation': 'b'}, {'target': 'two'}],
)
async def test_a_new_incarnation_begins_a_cold_start(build_pair, change):
    pair = build_pair(**COLD)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    assert pair.executor.load.limit == 12
    pair.announce(**change)
    assert pair.executor.load.limit == 2


async def test_calls_go_to_a_newly_announced_address(build_pair):
    old, new = build_pair(), build_pair()
    await old.start()
    await new.start()
    answer = await old.run(make_call())
    assert answer.status == 200
    old.announce(address=new.target.address)
    await old.run(make_call())
    assert old.target.executions.total() == 1
    assert new.target.executions.total() == 1


async def test_renewal_of_a_lapsed_lease_begins_a_cold_start(build_pair):
    pair = build_pair(**COLD)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    pair.local._expire()
    assert isinstance(await pair.run(make_call()), TargetUnavailableError)
    pair.announce()
    assert pair.executor.load.limit == 2


async def test_a_lapsed_lease_does_not_interrupt_running_calls(build_pair):
    pair = build_pair()
    await pair.start()
    pair.target.frozen = True
    task = asyncio.create_task(pair.run(make_call()))
    await wait_until(lambda: pair.target.running)
    pair.local._expire()
    pair.target.frozen = False
    assert (await task).status == 200


async def test_refused_connections_begin_a_cold_start(build_pair):
    pair = build_pair(**COLD)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    await pair.target.stop()
    await pair.run(make_call())
    assert isinstance(await pair.run(make_call()), TargetUnavailableError)
    assert pair.executor.load.limit == 2


async def test_queued_calls_are_refused_once_the_data_centre_is_out(build_pair):
    pair = build_pair(slots=1, service_ms=200)
    await pair.start(queue_ms=5000)
    tasks = [asyncio.create_task(pair.run(make_call())) for _ in range(3)]
    await wait_until(lambda: pair.executor.load.queued == 2)
    pair.view.update_if_newer(configuration(2, frozenset({'ijmuiden'})))
    outcomes = await asyncio.gather(*tasks)
    assert [type(end) for end in outcomes[1:]] == [OutOfServiceError] * 2
    assert pair.target.executions.total() == 1


async def test_queued_calls_are_refused_once_the_target_drains(build_pair):
    pair = build_pair(slots=1, service_ms=200)
    await pair.start(queue_ms=5000)
    tasks = [asyncio.create_task(pair.run(make_call())) for _ in range(3)]
    await wait_until(lambda: pair.executor.load.queued == 2)
    pair.announce(phase='leaving')
    outcomes = await asyncio.gather(*tasks)
    assert [type(end) for end in outcomes[1:]] == [DrainingError] * 2
    assert isinstance(await pair.run(make_call()), DrainingError)
    assert pair.target.executions.total() == 1


async def test_a_queued_call_is_refused_once_the_configuration_is_stale():
    pair = TargetWithExecutor(slots=1, service_ms=500)
    pair.executor._stale_after_s = 0.2
    pair.view.accept_stamp(Stamp(1, 0, 1))
    await pair.start(queue_ms=5000)
    tasks = [asyncio.create_task(pair.run(make_call())) for _ in range(2)]
    outcomes = await asyncio.gather(*tasks)
    assert outcomes[0].status == 200
    assert isinstance(outcomes[1], StaleConfigurationError)
    assert pair.target.executions.total() == 1
    await pair.stop()


async def _upload() -> AsyncIterator[bytes]:
    yield b'x' * 1000


async def test_a_streamed_call_is_accepted_in_the_grace_period_of_a_drain(
    build_pair,
):
    pair = build_pair()
    await pair.start()
    pair.announce(phase='draining')
    assert isinstance(await pair.run(make_call()), DrainingError)
    call = make_call(method='POST', body=_upload())
    assert (await pair.run(call)).status == 200
    pair.executor._drain_started_at -= 2
    call = make_call(method='POST', body=_upload())
    assert isinstance(await pair.run(call), DrainingError)


async def test_a_changed_queue_limit_applies_immediately(build_pair):
    pair = build_pair(slots=1, service_ms=200)
    await pair.start(queue_ms=5000)
    running = asyncio.create_task(pair.run(make_call()))
    await wait_until(lambda: pair.target.running)
    pair.view.update_if_newer(configuration(2, queue_limit=0))
    assert isinstance(await pair.run(make_call()), OverloadedError)
    await running


async def test_a_new_announcement_does_not_end_the_drain_of_a_node(build_pair):
    pair = build_pair()
    await pair.start()
    pair.local.mark_draining()
    pair.announce()
    assert isinstance(await pair.run(make_call()), DrainingError)


async def test_a_discarded_body_releases_its_slot(build_pair):
    pair = build_pair()
    await pair.start()
    answer = await pair.run(make_call(path='/a?size=1000000'))
    assert not pair.executor.idle
    del answer
    assert pair.executor.idle


async def test_a_streamed_body_occupies_its_slot_until_its_end(build_pair):
    pair = build_pair()
    await pair.start()
    answer = await pair.run(make_call(path='/a?size=1000000'))
    assert pair.executor.load.running == 1
    assert len(await _read_body(answer)) == 1_000_000
    assert pair.executor.idle


async def test_a_shed_answer_is_passed_on_unless_the_call_is_idempotent(
    build_pair,
):
    pair = build_pair()
    await pair.start()
    pair.target.shedding = True
    error = await pair.run(make_call())
    assert isinstance(error, TargetShedError)
    assert error.retry_after_s == 7
    answer = await pair.run(make_call(idempotent=False))
    assert answer.status == 503
    assert ('Retry-After', '7') in answer.headers


async def test_unresponsive_connections_are_replaced_after_a_timeout(
    build_pair,
):
    pair = build_pair(service_ms=5)
    await pair.start()
    link = Link(pair.target.plan.host, pair.target.plan.port)
    await link.start()
    pair.announce(address='{}:{}'.format(*link.address))
    pair.view.update_if_newer(configuration(2, cold_share=1))
    await asyncio.gather(*(pair.run(make_call()) for _ in range(4)))
    assert link.accepted == 4
    link.discard_open_traffic()
    late = await pair.run(make_call(budget_s=0.3))
    assert isinstance(late, DeadlineExceededError)
    answers = [await pair.run(make_call(budget_s=3)) for _ in range(4)]
    assert [answer.status for answer in answers] == [200] * 4
    await link.stop()


async def test_an_invalid_answer_is_a_failure_of_a_warm_target(build_pair):
    """It was a quick success, or taken for a restart of the target."""
    pair = build_pair(slots=12)
    await pair.start(cold_start_s=0.1)
    await pair.warm()
    pair.target.raw_answer = b'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n'
    before = pair.executor.load.failure_share
    assert isinstance(await pair.run(make_call()), InvalidAnswerError)
    assert pair.executor.load.failure_share > before
    assert pair.executor.load.limit == 12
