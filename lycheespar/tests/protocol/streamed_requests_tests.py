"""Streamed request bodies are read only when a target takes them."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.call import Answer, Call
from lycheespar.errors import OverloadedError
from lycheespar.protocol.body import CHUNK_BYTES, WINDOW_BYTES
from lycheespar.tests.protocol.nodes import LOAD, new_call, running_node

CHUNKS = 40


class CountedBody:
    """A body that counts its chunks that were read."""

    def __init__(self) -> None:
        """Start unread."""
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


async def _read_whole(call: Call) -> Answer:
    length = 0
    async for chunk in call.body:
        length += len(chunk)
    return Answer(200, (), str(length).encode(), LOAD)


async def _read_one(call: Call) -> Answer:
    await anext(call.body)
    return Answer(200, (), b'enough', LOAD)


async def _settle(count: int) -> None:
    while len(asyncio.all_tasks()) > count:
        await asyncio.sleep(0.01)


async def test_a_refused_body_stays_unread(monkeypatch):
    async with running_node() as node:
        monkeypatch.setattr(node.target, 'execute', _refuse)
        body = CountedBody()
        with pytest.raises(OverloadedError):
            await node.remote.execute(new_call(body=body))
        await asyncio.sleep(0.05)
        assert body.read == 0


async def test_a_body_that_waits_in_a_queue_stays_unread():
    async with running_node() as node:
        node.target.may_start.clear()
        body = CountedBody()
        task = asyncio.create_task(node.remote.execute(new_call(body=body)))
        await node.target.busy.wait()
        await asyncio.sleep(0.05)
        assert body.read == 0
        node.target.may_start.set()
        await task


async def test_a_body_that_a_target_takes_arrives_whole(monkeypatch):
    async with running_node() as node:
        monkeypatch.setattr(node.target, 'execute', _read_whole)
        answer = await node.remote.execute(new_call(body=CountedBody()))
        assert answer.body == str(CHUNKS * CHUNK_BYTES).encode()


async def test_an_early_answer_ends_the_sending_of_the_body(monkeypatch):
    async with running_node() as node:
        await node.remote.execute(new_call('/first'))
        tasks = len(asyncio.all_tasks())
        monkeypatch.setattr(node.target, 'execute', _read_one)
        body = CountedBody()
        await node.remote.execute(new_call(body=body))
        async with asyncio.timeout(5):
            await _settle(tasks)
        assert body.read <= WINDOW_BYTES / CHUNK_BYTES + 2
