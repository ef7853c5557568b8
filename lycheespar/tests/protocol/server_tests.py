"""Late, repeated and crossed frames do no harm."""

from __future__ import annotations

import asyncio

from lycheespar.protocol.framing import encode_frame, read_frame
from lycheespar.protocol.messages import (
    Accepted,
    BodyChunk,
    BodyEnd,
    Cancel,
    CancelResult,
    Hello,
    Message,
    Refused,
    ResponseHead,
)
from lycheespar.protocol.peer import MAX_REQUEST_AGE_MS
from lycheespar.protocol.pending import build_request
from lycheespar.tests.protocol.nodes import Node, new_call, running_node


class _Wire:
    """A channel whose frames the test writes itself."""

    async def open(self, node: Node) -> Hello:
        self.reader, self.writer = await asyncio.open_connection(
            *node.server.address,
        )
        hello = await self.read()
        assert isinstance(hello, Hello)
        return hello

    async def read(self) -> Message:
        async with asyncio.timeout(10):
            return await read_frame(self.reader)

    def send(self, message: Message) -> None:
        self.writer.write(encode_frame(message))


async def test_a_repeated_request_frame_starts_nothing():
    async with running_node() as node:
        wire = _Wire()
        hello = await wire.open(node)
        frame = build_request(new_call(), hello.clock_ms, attach_only=False)
        for _ in range(3):
            wire.send(frame)
        kinds = [type(await wire.read()) for _ in range(4)]
        assert kinds == [Accepted, Accepted, Accepted, ResponseHead]
        wire.send(frame)
        assert isinstance(await wire.read(), Accepted)
        assert isinstance(await wire.read(), ResponseHead)
        assert node.target.executions['/book'] == 1


async def test_a_late_request_frame_starts_nothing():
    async with running_node() as node:
        wire = _Wire()
        hello = await wire.open(node)
        clock_ms = hello.clock_ms - MAX_REQUEST_AGE_MS - 1
        wire.send(build_request(new_call(), clock_ms, attach_only=False))
        assert isinstance(await wire.read(), Accepted)
        refused = await wire.read()
        assert isinstance(refused, Refused)
        assert refused.code == 'outcome_unknown'
        assert not node.target.executions


async def test_a_request_after_its_cancellation_never_starts():
    async with running_node() as node:
        wire = _Wire()
        hello = await wire.open(node)
        call = new_call()
        wire.send(Cancel(call.call_id, accepted=False))
        assert await wire.read() == CancelResult(call.call_id, started=False)
        wire.send(build_request(call, hello.clock_ms, attach_only=False))
        assert isinstance(await wire.read(), Accepted)
        refused = await wire.read()
        assert isinstance(refused, Refused)
        assert refused.code == 'cancelled'
        assert not node.target.executions


async def test_an_acknowledged_call_that_is_forgotten_is_not_called_unstarted():
    async with running_node() as node:
        wire = _Wire()
        await wire.open(node)
        wire.send(Cancel(b'x' * 16, accepted=True))
        assert await wire.read() == CancelResult(b'x' * 16, started=True)


async def test_chunks_of_unknown_calls_are_dropped():
    async with running_node() as node:
        wire = _Wire()
        hello = await wire.open(node)
        wire.send(BodyChunk(b'y' * 16, 0, b'lost'))
        wire.send(BodyEnd(b'y' * 16, 4, ''))
        wire.send(build_request(new_call(), hello.clock_ms, attach_only=False))
        assert isinstance(await wire.read(), Accepted)
        assert isinstance(await wire.read(), ResponseHead)
