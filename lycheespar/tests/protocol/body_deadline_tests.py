"""Streamed answers of another node that are not whole at their deadline."""

from __future__ import annotations

import asyncio

import pytest

from lycheespar.errors import DeadlineExceededError
from lycheespar.protocol.body import CHUNK_BYTES, WINDOW_BYTES
from lycheespar.tests.protocol.nodes import new_call, running_node
from standins.cluster import wait_until

CHUNK = bytes(CHUNK_BYTES)
CHUNKS = 2 * WINDOW_BYTES // CHUNK_BYTES


async def _whole_body():
    for _ in range(CHUNKS):
        yield CHUNK


async def test_a_body_of_a_frozen_node_ends_at_the_deadline():
    """The channel to that node counts as silent seconds later."""
    stopped = asyncio.Event()

    async def body():
        yield CHUNK
        await stopped.wait()

    async with running_node() as node:
        node.target.body = body()
        answer = await node.remote.execute(new_call(deadline_s=0.5))
        assert await anext(answer.body) == CHUNK
        node.link.discard_open_traffic()
        with pytest.raises(DeadlineExceededError):
            await anext(answer.body)
        stopped.set()


async def test_a_whole_body_that_is_read_late_is_delivered():
    """A slow caller gets what its target has finished."""
    async with running_node() as node:
        node.target.body = _whole_body()
        call = new_call(deadline_s=0.2)
        answer = await node.remote.execute(call)
        loop = asyncio.get_running_loop()
        await wait_until(lambda: loop.time() > call.deadline + 1)
        read = [chunk async for chunk in answer.body]
        assert sum(len(chunk) for chunk in read) == CHUNKS * CHUNK_BYTES


async def test_a_body_behind_others_is_not_taken_for_silent():
    """A live node may send the rest of a whole body after the deadline."""
    may_go_on = asyncio.Event()

    async def body():
        yield CHUNK
        await may_go_on.wait()
        yield CHUNK

    async with running_node() as node:
        node.target.body = body()
        call = new_call(deadline_s=0.2)
        answer = await node.remote.execute(call)
        channel = await node.remote._get_channel()
        loop = asyncio.get_running_loop()
        while loop.time() < call.deadline + 1:
            await channel.query_load()
            await asyncio.sleep(0.05)
        may_go_on.set()
        read = [chunk async for chunk in answer.body]
        assert read == [CHUNK, CHUNK]
