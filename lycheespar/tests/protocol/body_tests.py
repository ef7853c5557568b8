"""Tests that streamed bodies arrive complete or end with an error."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheespar.errors import BodySequenceError
from lycheespar.protocol.body import WINDOW_BYTES, BodyReceiver

_CHUNKS = st.lists(st.binary(min_size=1, max_size=20), min_size=2, max_size=8)
_FAULTS = st.sampled_from(['repeat', 'drop', 'swap', 'none'])


def _frames(chunks: list[bytes], fault: str, position: int):
    offsets = [len(b''.join(chunks[:index])) for index in range(len(chunks))]
    frames = list(zip(offsets, chunks, strict=True))
    match fault:
        case 'repeat':
            frames.insert(position, frames[position])
        case 'drop':
            frames.pop(position)
        case 'swap':
            frames[position - 1], frames[position] = (
                frames[position],
                frames[position - 1],
            )
    return frames


@given(_CHUNKS, _FAULTS, st.data())
async def test_body_with_faulty_chunks_is_rejected(chunks, fault, data):
    position = data.draw(st.integers(1, len(chunks) - 1))
    receiver = BodyReceiver(lambda _: None)
    try:
        for offset, chunk in _frames(chunks, fault, position):
            receiver.feed(offset, chunk)
        receiver.finish(len(b''.join(chunks)))
    except BodySequenceError:
        assert fault != 'none'
        return
    assert fault == 'none'
    assert b''.join([part async for part in receiver]) == b''.join(chunks)


async def test_sender_that_exceeds_the_window_is_rejected():
    receiver = BodyReceiver(lambda _: None)
    chunk = b'x' * 65536
    sent = 0
    with pytest.raises(BodySequenceError):
        while True:
            receiver.feed(sent, chunk)
            sent += len(chunk)
    assert sent <= WINDOW_BYTES + len(chunk)
