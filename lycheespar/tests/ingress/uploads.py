"""Callers that upload in pieces, with small buffers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lycheespar.ingress.server import IngressServer
from lycheespar.tests.ingress.callers import (
    TIMEOUT_S,
    GatedDispatch,
    connected,
)

BUFFER_BYTES = 8192


class Uploader:
    """Caller on a socket whose buffers hold little.

    Attributes
    ----------
    server : IngressServer
        Server to which the caller is connected.
    received : bytearray
        Bytes that were received and not taken yet.
    """

    def __init__(self, sock: socket.socket, server: IngressServer) -> None:
        """Wrap a connected socket."""
        self.server = server
        self._sock = sock
        self._loop = asyncio.get_running_loop()
        self.received = bytearray()

    async def send(self, data: bytes) -> None:
        """Send bytes; wait until the system has taken all."""
        async with asyncio.timeout(TIMEOUT_S):
            await self._loop.sock_sendall(self._sock, data)

    async def begin(
        self, path: str, body_bytes: int, headers: str = ''
    ) -> None:
        """Send the head of an upload; a length of -1 announces chunks."""
        framing = f'Content-Length: {body_bytes}'
        if body_bytes < 0:
            framing = 'Transfer-Encoding: chunked'
        await self.send(
            f'POST {path} HTTP/1.1\r\nHost: desk.team\r\n{framing}\r\n'
            f'{headers}\r\n'.encode()
        )

    async def read_answer(self) -> tuple[int, bytes, bytes]:
        """Return status, head in lower case, and body of the next answer."""
        async with asyncio.timeout(TIMEOUT_S):
            while b'\r\n\r\n' not in self.received:
                await self._receive()
            head, _, _ = bytes(self.received).partition(b'\r\n\r\n')
            head = head.lower()
            length = int(head.split(b'content-length: ')[1].split(b'\r\n')[0])
            end = len(head) + 4 + length
            while len(self.received) < end:
                await self._receive()
        body = bytes(self.received[len(head) + 4 : end])
        del self.received[:end]
        return int(head.split()[1]), head, body

    async def is_closed(self) -> bool:
        """Wait for the end of the connection; False if bytes come first."""
        if self.received:
            return False
        async with asyncio.timeout(TIMEOUT_S):
            return not await self._loop.sock_recv(self._sock, 1)

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()

    async def _receive(self) -> None:
        data = await self._loop.sock_recv(self._sock, BUFFER_BYTES)
        if not data:
            raise EOFError
        self.received += data


@asynccontextmanager
async def uploading(
    dispatch: GatedDispatch, max_body_bytes: int
) -> AsyncIterator[Uploader]:
    """Start a server and connect a caller whose buffers hold little."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        sock.setblocking(False)
        async with connected(dispatch, max_body_bytes) as caller:
            server = caller.server
            await loop.sock_connect(sock, ('127.0.0.1', server.port))
            yield Uploader(sock, server)
