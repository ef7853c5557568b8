"""Tests that streamed request bodies are only read on demand."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Answer, Call
from lycheespar.errors import OverloadedError
from lycheespar.protocol.body import CHUNK_BYTES, WINDOW_BYTES
from lycheespar.tests.protocol.nodes import LOAD, new_call, running_node

CHUNKS = 40


class CountedBody:
    """Body that counts how many of its chunks were read."""

    def __init__(self) -> None:
        """Create a body that has not been read."""
        self.read = 0

    def __aiter__(self) -> CountedBody:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        if self.read == CHUNKS:
            raise StopAsyncIteration
        self.read += 1
        return b'x' * CHUNK_BYTES


async def _refuse(_: Call) -> Answer:
    raise OverloadedError


async def _read_all(call: Call) -> Answer:
    length = 0
    async for chunk in call.body:
        length += len(chunk)
    return Answer(200, (), str(length).encode(), LOAD)


async def _read_one(call: Call) -> Answer:
    await anext(call.body)
    return Answer(200, (), b'enough', LOAD)


async def _wait_for_tasks(max_tasks: int) -> None:
    while len(asyncio.all_tasks()) > max_tasks:
        await asyncio.sleep(0.01)


async def test_body_of_a_refused_call_is_not_read(monkeypatch):
    async with running_node() as node:
        monkeypatch.setattr(node.target, 'execute', _refuse)
        body = CountedBody()
        with pytest.raises(OverloadedError):
            await node.remote.execute(new_call(body=body))
        await asyncio.sleep(0.05)
        assert body.read == 0


async def test_body_of_a_queued_call_is_not_read():
    async with running_node() as node:
        node.target.may_start.clear()
        body = CountedBody()
        task = asyncio.create_task(node.remote.execute(new_call(body=body)))
        await node.target.called.wait()
        await asyncio.sleep(0.05)
        assert body.read == 0
        node.target.may_start.set()
        await task


async def test_body_that_a_target_reads_arrives_complete(monkeypatch):
    async with running_node() as node:
        monkeypatch.setattr(node.target, 'execute', _read_all)
        answer = await node.remote.execute(new_call(body=CountedBody()))
        assert answer.body == str(CHUNKS * CHUNK_BYTES).encode()


async def test_early_answer_stops_sending_the_body(monkeypatch):
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        tasks = len(asyncio.all_tasks())
        monkeypatch.setattr(node.target, 'execute', _read_one)
        body = CountedBody()
        await node.remote.execute(new_call(body=body))
        async with asyncio.timeout(5):
            await _wait_for_tasks(tasks)
        assert body.read <= WINDOW_BYTES / CHUNK_BYTES + 2
