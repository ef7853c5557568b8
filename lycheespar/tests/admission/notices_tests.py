"""Tests of limits that targets name, and of targets that say they leave."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.errors import DrainingError, RefusedError
from lycheespar.profile import HeaderProfile
from lycheespar.targets.load import LoadReport
from lycheespar.targets.notices import Notices
from lycheespar.tests.admission.calls import TargetWithExecutor, make_call

PROFILE = HeaderProfile(rate_limit='X-Rate-Limit', leaving='X-Leaving')


@pytest.fixture
async def pair():
    """Run a target that names its limits, with its executor."""
    created = TargetWithExecutor(PROFILE, slots=12, service_ms=1)
    await created.start(cold_share=1, probe_budget_ms_per_s=60)
    yield created
    await created.stop()


async def _send_for(pair: TargetWithExecutor, period_s: float) -> int:
    """Send calls one after the other; return the number of runs."""
    before = pair.target.executions.total()
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + period_s
    while loop.time() < ends_at:
        if isinstance(await pair.run(make_call(budget_s=0.2)), RefusedError):
            await asyncio.sleep(0.005)
    return pair.target.executions.total() - before


@pytest.mark.parametrize('calls_per_s', [0, 0.4, 11.6])
async def test_a_target_gets_no_more_calls_than_the_limit_that_it_named(
    pair, calls_per_s
):
    pair.target.answer_headers = {'X-Rate-Limit': str(calls_per_s)}
    await pair.run(make_call())
    assert await _send_for(pair, 2) <= 1.5 * calls_per_s * 2 + 5


@pytest.mark.parametrize('reports_name_limit', [False, True])
async def test_a_load_report_without_a_limit_ends_only_limits_of_reports(
    pair, reports_name_limit
):
    limit = pair.executor._gate.rates.named
    pair.target.answer_headers = {'X-Rate-Limit': '0.4'}
    await pair.run(make_call())
    if reports_name_limit:
        report = LoadReport(notices=Notices(calls_per_s=0.4))
        pair.executor.record_load_report(report)
    limit._named_at -= 2
    pair.executor.record_load_report(LoadReport())
    assert (limit.calls_per_s is None) is reports_name_limit


async def test_a_target_that_says_it_leaves_gets_no_new_calls(pair):
    pair.target.answer_headers = {'X-Leaving': '1'}
    await pair.run(make_call())
    assert isinstance(await pair.run(make_call()), DrainingError)
    pair.announce(lease_s=50)
    assert isinstance(await pair.run(make_call()), DrainingError)
    assert pair.target.executions.total() == 1


async def test_a_target_that_starts_again_after_leaving_gets_calls(pair):
    pair.target.answer_headers = {'X-Leaving': '1'}
    await pair.run(make_call())
    pair.target.answer_headers = {}
    pair.announce(incarnation='next')
    assert (await pair.run(make_call())).status == 200


async def test_an_answer_for_another_target_does_not_end_the_use_of_this_one(
    pair,
):
    pair.target.answer_headers = {'X-Leaving': '1'}
    pair.target.misdirecting = True
    await pair.run(make_call())
    pair.target.misdirecting = False
    pair.target.answer_headers = {}
    assert (await pair.run(make_call())).status == 200


async def test_a_limited_target_is_probed_about_once_a_second(pair):
    usual = pair.executor.probe_budget_ms_per_s
    pair.target.answer_headers = {'X-Rate-Limit': '5'}
    await pair.run(make_call())
    assert pair.executor.probe_budget_ms_per_s == 6 < usual
    pair.announce(incarnation='next')
    assert pair.executor.probe_budget_ms_per_s == usual
