"""A server for callers and a caller that does not wait for answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import (
    Configuration,
    Route,
    Team,
    TeamService,
    Template,
)
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import OverloadedError
from lycheespar.ingress.call_builder import CallBuilder
from lycheespar.ingress.server import IngressServer
from lycheespar.settings.options import Address
from lycheespar.streams import GuardedStream

TIMEOUT_S = 10


class GatedDispatch:
    """Answers each call with its path, once the test has released the path."""

    def __init__(self) -> None:
        """Create a dispatch that has received no call."""
        self.calls: list[Call] = []
        self.cancelled: list[str] = []
        self.refused: set[str] = set()
        self.bodies: dict[str, bytes] = {}
        self.streams: dict[str, list[bytes]] = {}
        self.dropped_streams: list[str] = []
        self._gates: dict[str, asyncio.Event] = {}

    @property
    def paths(self) -> list[str]:
        """Paths of the calls so far, in the order of their start."""
        return [call.path for call in self.calls]

    def release(self, *paths: str) -> None:
        """Let the calls with some paths end."""
        for path in paths:
            self._gate(path).set()

    async def wait_for(self, *paths: str) -> None:
        """Wait until calls with all these paths have started."""
        async with asyncio.timeout(TIMEOUT_S):
            while not set(paths) <= set(self.paths):
                await asyncio.sleep(0.001)

    async def wait_cancelled(self, *paths: str) -> None:
        """Wait until the calls with all these paths were cancelled."""
        async with asyncio.timeout(TIMEOUT_S):
            while not set(paths) <= set(self.cancelled):
                await asyncio.sleep(0.001)

    async def dispatch(self, call: Call) -> Answer:
        """Wait for the gate of the path, then answer."""
        self.calls.append(call)
        path = call.path
        try:
            await self._gate(path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        if path in self.refused:
            raise OverloadedError(retry_after_s=1)
        if path in self.streams:
            return Answer(200, (), self._stream(path), Load())
        body = self.bodies.get(path, path.encode())
        return Answer(200, (), body, Load())

    def _gate(self, path: str) -> asyncio.Event:
        return self._gates.setdefault(path, asyncio.Event())

    def _stream(self, path: str) -> GuardedStream:
        async def chunks() -> AsyncIterator[bytes]:
            for chunk in self.streams[path]:
                yield chunk

        def release(complete: bool) -> None:
            if not complete:
                self.dropped_streams.append(path)

        return GuardedStream(chunks(), release)


class Caller:
    """A connection that sends requests without waiting for answers."""

    def __init__(
        self,
        server: IngressServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap an open connection to a server."""
        self.server = server
        self.reader = reader
        self.writer = writer

    def send(self, *lines: str, headers: str = '') -> None:
        """Send requests, each given by its method and path, in one piece."""
        self.writer.write(
            ''.join(
                f'{line} HTTP/1.1\r\nHost: desk.team\r\n{headers}\r\n'
                for line in lines
            ).encode(),
        )

    async def receive(self) -> tuple[int, bytes, bytes]:
        """Return status, head and body of the next answer."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            body = await self._read_body(head.lower())
        return int(head.split()[1]), head, body

    async def bodies(self, count: int) -> list[bytes]:
        """Return the bodies of the next answers."""
        return [(await self.receive())[2] for _ in range(count)]

    async def is_closed(self) -> bool:
        """Wait for the end of the connection; False if bytes come first."""
        async with asyncio.timeout(TIMEOUT_S):
            return not await self.reader.read(1)

    async def _read_body(self, head: bytes) -> bytes:
        if b'transfer-encoding: chunked' in head:
            chunks = []
            while size := int(await self.reader.readline(), 16):
                chunks.append((await self.reader.readexactly(size + 2))[:-2])
            await self.reader.readline()
            return b''.join(chunks)
        length = head.split(b'content-length: ')[1].split(b'\r\n')[0]
        return await self.reader.readexactly(int(length))


@asynccontextmanager
async def connected(
    dispatch: GatedDispatch, max_body_bytes: int = 1000
) -> AsyncIterator[Caller]:
    """Start a server and connect a caller to it."""
    routes = (Route(path_prefix='/get', idempotent=True),)
    configuration = Configuration(
        1,
        {'counter': Template('counter', routes=routes)},
        {'team': Team('team', {'desk': TeamService('counter')})},
    )
    builder = CallBuilder(ConfigurationView(configuration), max_body_bytes)
    server = IngressServer(builder, dispatch)
    await server.start(Address('127.0.0.1', 0))
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    try:
        yield Caller(server, reader, writer)
    finally:
        writer.close()
        await server.stop()


def gets(count: int) -> list[str]:
    """Return different paths of requests that are idempotent."""
    return [f'/get/{number}' for number in range(count)]
