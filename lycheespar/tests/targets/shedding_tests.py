"""What a target's refusal is taken for."""

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
from lycheespar.targets.shedding import refusal_of
from lycheespar.tests.routing.fakes import call

PROFILE = HeaderProfile(
    not_run='X-Was-Not-Run',
    expected_target='X-Expected',
    request_id='X-Request-Id',
)


def _answer(status: int, *headers: tuple[str, str]) -> Answer:
    return Answer(status, headers, b'', Load())


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_a_target_that_says_so_did_not_run_the_request(status):
    answer = _answer(status, ('x-was-not-run', '1'))
    for idempotent in (True, False):
        refusal = refusal_of(call(idempotent=idempotent), answer, PROFILE)
        assert isinstance(refusal, TargetRefusedError)


async def test_a_misdirected_request_did_not_run():
    refusal = refusal_of(call(idempotent=False), _answer(421), PROFILE)
    assert isinstance(refusal, MisdirectedError)


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_a_status_alone_is_no_word_that_it_did_not_run(status):
    refusal = refusal_of(call(idempotent=False), _answer(status), PROFILE)
    assert isinstance(refusal, OutcomeUnknownError)
    assert not isinstance(refusal, RefusedError)


async def test_an_idempotent_request_may_go_elsewhere():
    refusal = refusal_of(call(), _answer(503), PROFILE)
    assert isinstance(refusal, TargetShedError)


@pytest.mark.parametrize('status', [200, 404, 500, 504])
async def test_other_answers_are_the_targets_own(status):
    assert refusal_of(call(), _answer(status), PROFILE) is None
