"""Streams that release their resources exactly once."""

from __future__ import annotations

import pytest

from lycheespar.errors import TruncatedAnswerError
from lycheespar.streams import GuardedStream, close_stream


async def _chunks(*, truncated: bool = False):
    yield b'one'
    if truncated:
        raise TruncatedAnswerError
    yield b'two'


async def test_a_stream_read_to_its_end_is_released_as_complete():
    released: list[bool] = []
    stream = GuardedStream(_chunks(), released.append)
    assert [chunk async for chunk in stream] == [b'one', b'two']
    await close_stream(stream)
    assert released == [True]


async def test_a_stream_that_was_never_read_is_released():
    released: list[bool] = []
    await close_stream(GuardedStream(_chunks(), released.append))
    assert released == [False]


async def test_a_truncated_stream_is_released():
    released: list[bool] = []
    stream = GuardedStream(_chunks(truncated=True), released.append)
    with pytest.raises(TruncatedAnswerError):
        assert [chunk async for chunk in stream]
    assert released == [False]


async def test_nested_guarded_streams_are_both_released():
    released: list[str] = []
    inner = GuardedStream(_chunks(), lambda _: released.append('inner'))
    outer = GuardedStream(inner, lambda _: released.append('outer'))
    await anext(outer)
    await close_stream(outer)
    assert released == ['inner', 'outer']
