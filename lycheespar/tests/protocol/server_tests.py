"""Tests of late, repeated and reordered frames."""

from __future__ import annotations

import asyncio

from lycheespar.protocol.framing import encode_frame, read_frame
from lycheespar.protocol.incoming_channel import MAX_REQUEST_AGE_MS
from lycheespar.protocol.messages import (
    Accepted,
    AnswerHead,
    BodyChunk,
    BodyEnd,
    Cancel,
    CancelResult,
    Hello,
    Message,
    Refused,
)
from lycheespar.protocol.pending import build_request
from lycheespar.tests.protocol.nodes import CLIENT, Node, new_call, running_node


class _RawChannel:
    """Connection on which the test reads and writes single frames."""

    async def open(self, node: Node) -> Hello:
        self.reader, self.writer = await asyncio.open_connection(
            *node.server.address,
        )
        hello = await self.read()
        assert isinstance(hello, Hello)
        self.send(CLIENT)
        return hello

    async def read(self) -> Message:
        async with asyncio.timeout(10):
            return await read_frame(self.reader)

    def send(self, message: Message) -> None:
        self.writer.write(encode_frame(message))


async def test_repeated_request_frame_starts_no_second_call():
    async with running_node() as node:
        channel = _RawChannel()
        hello = await channel.open(node)
        frame = build_request(new_call(), hello.clock_ms, attach_only=False)
        for _ in range(3):
            channel.send(frame)
        kinds = [type(await channel.read()) for _ in range(4)]
        assert kinds == [Accepted, Accepted, Accepted, AnswerHead]
        channel.send(frame)
        assert isinstance(await channel.read(), Accepted)
        assert isinstance(await channel.read(), AnswerHead)
        assert node.target.executions['/book'] == 1


async def test_late_request_frame_starts_no_call():
    async with running_node() as node:
        channel = _RawChannel()
        hello = await channel.open(node)
        clock_ms = hello.clock_ms - MAX_REQUEST_AGE_MS - 1
        channel.send(build_request(new_call(), clock_ms, attach_only=False))
        assert isinstance(await channel.read(), Accepted)
        refused = await channel.read()
        assert isinstance(refused, Refused)
        assert refused.code == 'outcome_unknown'
        assert not node.target.executions


async def test_request_after_its_cancellation_starts_no_call():
    async with running_node() as node:
        channel = _RawChannel()
        hello = await channel.open(node)
        call = new_call()
        channel.send(Cancel(call.call_id, accepted=False))
        assert await channel.read() == CancelResult(call.call_id, started=False)
        channel.send(build_request(call, hello.clock_ms, attach_only=False))
        assert isinstance(await channel.read(), Accepted)
        refused = await channel.read()
        assert isinstance(refused, Refused)
        assert refused.code == 'cancelled'
        assert not node.target.executions


async def test_unknown_acknowledged_call_is_reported_as_started():
    async with running_node() as node:
        channel = _RawChannel()
        await channel.open(node)
        channel.send(Cancel(b'x' * 16, accepted=True))
        assert await channel.read() == CancelResult(b'x' * 16, started=True)


async def test_chunks_of_unknown_calls_are_ignored():
    async with running_node() as node:
        channel = _RawChannel()
        hello = await channel.open(node)
        channel.send(BodyChunk(b'y' * 16, 0, b'lost'))
        channel.send(BodyEnd(b'y' * 16, 4, ''))
        channel.send(
            build_request(new_call(), hello.clock_ms, attach_only=False)
        )
        assert isinstance(await channel.read(), Accepted)
        assert isinstance(await channel.read(), AnswerHead)
