"""Tests of the errors for answers that refuse a request."""

from __future__ import annotations

import pytest

from lycheespar.call import Answer, Load
from lycheespar.errors import (
    MisdirectedError,
    OutcomeUnknownError,
    RefusedError,
    TargetRefusedError,
    TargetShedError,
)
from lycheespar.profile import HeaderProfile
from lycheespar.targets.shedding import refusal_error
from lycheespar.tests.routing.fakes import make_call

PROFILE = HeaderProfile(
    not_run='X-Was-Not-Run',
    expected_target='X-Expected',
    request_id='X-Request-Id',
)


def _answer(status: int, *headers: tuple[str, str]) -> Answer:
    return Answer(status, headers, b'', Load())


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_refusal_with_the_not_run_header_was_not_run(status):
    answer = _answer(status, ('x-was-not-run', '1'))
    for idempotent in (True, False):
        refusal = refusal_error(
            make_call(idempotent=idempotent), answer, PROFILE
        )
        assert isinstance(refusal, TargetRefusedError)


async def test_misdirected_request_was_not_run():
    refusal = refusal_error(make_call(idempotent=False), _answer(421), PROFILE)
    assert isinstance(refusal, MisdirectedError)


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_refusal_without_the_not_run_header_has_an_unknown_outcome(
    status,
):
    refusal = refusal_error(
        make_call(idempotent=False), _answer(status), PROFILE
    )
    assert isinstance(refusal, OutcomeUnknownError)
    assert not isinstance(refusal, RefusedError)


async def test_idempotent_request_may_run_at_another_target():
    refusal = refusal_error(make_call(), _answer(503), PROFILE)
    assert isinstance(refusal, TargetShedError)


@pytest.mark.parametrize('status', [200, 404, 500, 504])
async def test_other_answers_are_passed_on(status):
    assert refusal_error(make_call(), _answer(status), PROFILE) is None


@pytest.mark.parametrize(
    'text', ['inf', 'nan', '1e400', '1e300', '9' * 400, '-5']
)
async def test_an_odd_time_to_return_is_told_as_a_usual_one(text):
    answer = _answer(503, ('x-was-not-run', '1'), ('retry-after', text))
    refusal = refusal_error(make_call(), answer, PROFILE)
    assert 0 <= refusal.retry_after_s <= 86_400
