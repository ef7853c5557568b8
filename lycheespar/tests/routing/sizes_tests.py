"""Estimated sizes of calls by request class."""

from __future__ import annotations

from collections.abc import AsyncIterator

from lycheespar.call import Answer, Load
from lycheespar.routing.sizes import AnswerSizes
from lycheespar.tests.routing.fakes import make_call


async def _chunks() -> AsyncIterator[bytes]:
    yield b'x'


async def test_the_expected_size_follows_the_answers_of_the_class():
    sizes = AnswerSizes()
    sizes.add_answer(make_call(), Answer(200, (), b'x' * 5000, Load()))
    assert sizes.expected_kb('default') == 5


async def test_a_streamed_answer_counts_by_its_declared_length():
    sizes = AnswerSizes()
    headers = (('Content-Length', '90000'),)
    sizes.add_answer(make_call(), Answer(200, headers, _chunks(), Load()))
    assert sizes.expected_kb('default') == 90


async def test_an_answer_without_a_length_is_ignored():
    sizes = AnswerSizes()
    sizes.add_answer(make_call(), Answer(200, (), b'x' * 5000, Load()))
    sizes.add_answer(make_call(), Answer(200, (), _chunks(), Load()))
    assert sizes.expected_kb('default') == 5
