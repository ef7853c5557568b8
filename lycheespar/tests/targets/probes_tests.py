"""Tests of the prober and its budget."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from lycheespar.profile import HeaderProfile
from lycheespar.targets import probes
from lycheespar.targets.probes import (
    MIN_PROBE_COST_MS,
    PROBE_TIMEOUT_S,
    ProbeBudget,
    Prober,
)
from lycheespar.telemetry.logs import LineWriter
from lycheespar.tests.admission.calls import (
    TargetWithExecutor,
    configuration,
    make_call,
)
from standins.cluster import wait_until


@given(
    st.floats(0, 100),
    st.lists(st.tuples(st.floats(0, 3), st.floats(0, 300)), max_size=100),
)
def test_probes_stay_within_the_budget(rate, steps):
    budget = ProbeBudget(0)
    budget.adjust_rate(rate, 0)
    now = 0.0
    spent_ms = 0.0
    for pause_s, cost_ms in steps:
        now += pause_s
        if budget.wait_s(now) == 0:
            granted_ms = rate * now + MIN_PROBE_COST_MS
            assert spent_ms + MIN_PROBE_COST_MS <= granted_ms + 0.001
            charged_ms = max(cost_ms, MIN_PROBE_COST_MS)
            budget.spend(charged_ms)
            spent_ms += charged_ms


@pytest.fixture
async def target_with_executor(monkeypatch):
    """Run a target that may be probed once no call has ended for 50 ms."""
    monkeypatch.setattr(probes, 'QUIET_PERIOD_S', 0.05)
    monkeypatch.setattr(probes, 'MIN_POLL_INTERVAL_S', 0.01)
    pair = TargetWithExecutor(slots=12)
    await pair.start(probe_budget_ms_per_s=100, cold_start_s=0.1)
    pair.prober = Prober(pair.local, pair.executor)
    yield pair
    await pair.prober.stop()
    await pair.stop()


async def test_idle_target_is_probed_within_the_budget(target_with_executor):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    target_with_executor.prober.start()
    await wait_until(lambda: target_with_executor.target.probes >= 10)
    counts = target_with_executor.prober.counts
    bound_ms = 100 * (loop.time() - started_at) + MIN_PROBE_COST_MS
    assert counts.cost_ms <= bound_ms
    assert counts.probes * MIN_PROBE_COST_MS <= bound_ms
    assert counts.link_bytes > 0


async def test_no_probes_are_sent_without_a_budget(target_with_executor):
    target_with_executor.view.update_if_newer(
        configuration(2, probe_budget_ms_per_s=0)
    )
    target_with_executor.prober._budget.spend(MIN_PROBE_COST_MS)
    target_with_executor.prober.start()
    await asyncio.sleep(0.2)
    assert target_with_executor.target.probes == 0


async def test_busy_target_is_not_probed(target_with_executor):
    await target_with_executor.run(make_call())
    target_with_executor.prober.start()
    for _ in range(20):
        await target_with_executor.run(make_call())
    assert target_with_executor.target.probes == 0


async def test_hanging_probe_times_out_and_is_charged(target_with_executor):
    target_with_executor.target.load_frozen = True
    target_with_executor.prober.start()
    await wait_until(lambda: target_with_executor.prober.counts.failures)
    counts = target_with_executor.prober.counts
    assert counts.cost_ms >= PROBE_TIMEOUT_S * 1000
    now = asyncio.get_running_loop().time()
    assert target_with_executor.prober._budget.wait_s(now) > 2
    assert (await target_with_executor.run(make_call())).status == 200


async def test_wrong_load_report_does_not_cause_refusals(target_with_executor):
    target_with_executor.view.update_if_newer(
        configuration(2, probe_budget_ms_per_s=100, cold_share=1),
    )
    target_with_executor.target.load_lies = True
    target_with_executor.prober.start()
    await wait_until(lambda: target_with_executor.executor.load.running == 12)
    answers = await asyncio.gather(
        *(target_with_executor.run(make_call()) for _ in range(12)),
    )
    assert [answer.status for answer in answers] == [200] * 12


async def test_refused_probe_starts_a_cold_start(target_with_executor):
    await target_with_executor.warm()
    assert target_with_executor.executor.load.limit == 12
    await target_with_executor.target.stop()
    target_with_executor.prober.start()
    await wait_until(lambda: target_with_executor.executor.load.limit == 2)


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 000 OK\r\nContent-Length: 13\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length : 13\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-Any: a\x01b\r\nContent-Length: 13\r\n\r\n',
    ],
)
async def test_a_load_in_an_invalid_answer_is_not_read(
    target_with_executor, head
):
    """The load of a target in trouble was taken as reported."""
    target_with_executor.target.raw_answer = head + b'{"running":9}'
    target_with_executor.prober.start()
    counts = target_with_executor.prober.counts
    await wait_until(lambda: counts.failures >= 3)
    assert counts.failures >= counts.probes - 1
    assert target_with_executor.executor.load.running == 0
    target_with_executor.target.raw_answer = b''
    failures = counts.failures
    await wait_until(lambda: counts.probes > failures + 5)
    assert counts.failures <= failures + 1


async def test_an_odd_byte_in_a_load_header_does_not_end_the_probes(
    monkeypatch, capfd
):
    """An ignored header is logged with its value."""
    monkeypatch.setattr(probes, 'MIN_POLL_INTERVAL_S', 0.01)
    profile = HeaderProfile(load='X-Load', rate_limit='X-Limit')
    pair = TargetWithExecutor(profile, slots=12)
    await pair.start(probe_budget_ms_per_s=100)
    log_id = logger.add(LineWriter(1, 'test', as_json=True), catch=False)
    prober = Prober(pair.local, pair.executor, profile)
    pair.target.raw_answer = (
        b'HTTP/1.1 200 OK\r\nX-Load: 3,0,8\r\nX-Limit: \xe9\r\n'
        b'Content-Length: 0\r\n\r\n'
    )
    prober.start()
    await wait_until(lambda: prober.counts.probes > 3)
    await prober.stop()
    await pair.stop()
    logger.remove(log_id)
    assert not prober.counts.failures
    assert '\u00e9' in capfd.readouterr().out
