"""Targets that answer before they have read the body of the request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from lycheespar.call import Load
from lycheespar.protocol.body import CHUNK_BYTES
from lycheespar.targets.announcement import Announcement
from lycheespar.targets.client import TargetClient
from lycheespar.tests.admission.calls import make_call
from standins.cluster import wait_until
from standins.serving import serve_streams

PART = b'x' * CHUNK_BYTES


class EarlyTarget:
    """Answers as soon as it has the head, then reads on."""

    def __init__(self, answer: bytes) -> None:
        self.received = b''
        self.ended = False
        self._answer = answer

    async def start(self) -> str:
        """Open the port; return the address."""
        self._server = await serve_streams(self._serve)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        writer.write(head % len(self._answer) + self._answer)
        while received := await reader.read(CHUNK_BYTES):
            self.received += received
        self.ended = True
        writer.close()


class StalledBody:
    """Body of a caller that stops to send; knows whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield a part, and then nothing more."""
        try:
            yield PART
            await asyncio.Event().wait()
        finally:
            self.closed = True


@pytest.mark.parametrize('size', [10, 300_000])
async def test_the_rest_of_a_body_is_not_awaited_after_an_early_answer(size):
    """The connection, its place and the caller's body were held for good."""
    target = EarlyTarget(b'a' * size)
    client = TargetClient(Announcement('one', 'a', 'b', await target.start()))
    body = StalledBody()
    answer = await client.send(
        make_call(method='POST', body=body, idempotent=False), Load()
    )
    parts = answer.body
    if not isinstance(parts, bytes):
        parts = b''.join([part async for part in parts])
    assert len(parts) == size
    await wait_until(lambda: target.ended and body.closed)
    assert PART in target.received
    assert not target.received.endswith(b'0\r\n\r\n')
    await client.close_when_idle()
