"""Streams that release what they hold exactly once."""

from __future__ import annotations

import pytest

from lycheespar.errors import TruncatedAnswerError
from lycheespar.streams import GuardedStream, close_stream


async def _chunks(*, cut: bool = False):
    yield b'one'
    if cut:
        raise TruncatedAnswerError
    yield b'two'


async def test_a_stream_that_is_read_is_released_as_whole():
    released: list[bool] = []
    stream = GuardedStream(_chunks(), released.append)
    assert [chunk async for chunk in stream] == [b'one', b'two']
    await close_stream(stream)
    assert released == [True]


async def test_a_stream_that_is_never_read_is_released():
    released: list[bool] = []
    await close_stream(GuardedStream(_chunks(), released.append))
    assert released == [False]


async def test_a_stream_that_is_cut_is_released():
    released: list[bool] = []
    stream = GuardedStream(_chunks(cut=True), released.append)
    with pytest.raises(TruncatedAnswerError):
        assert [chunk async for chunk in stream]
    assert released == [False]


async def test_a_guard_around_a_guard_releases_both():
    released: list[str] = []
    inner = GuardedStream(_chunks(), lambda _: released.append('inner'))
    outer = GuardedStream(inner, lambda _: released.append('outer'))
    await anext(outer)
    await close_stream(outer)
    assert released == ['inner', 'outer']
