"""Clients that send more than they may, or nothing, on many connections."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, Self

PIECE_BYTES: Final = 64 * 1024
# Keeps what was sent, but not read by the server, out of the crowd's count.
SEND_BUFFER_BYTES: Final = 64 * 1024
# Time in seconds for which a crowd sends before others are served beside it.
PRESS_S: Final = 5
CONNECT_RETRY_S: Final = 0.05


@dataclass(frozen=True, slots=True)
class Script:
    """What each connection of a crowd sends.

    Attributes
    ----------
    opening : bytes
        Sent first.
    repeated : bytes
        Sent again and again behind it; nothing if empty.
    max_bytes : int
        Bytes after which a connection sends nothing more.
    pause_s : float
        Time in seconds between two sends of `repeated`; if 0, they are sent in
        large pieces.
    connections : int
        Connections at the same time.
    reads : bool
        Whether the connections read what they are sent.
    """

    opening: bytes = b''
    repeated: bytes = b''
    max_bytes: int = 8 * 1024 * 1024
    pause_s: float = 0
    connections: int = 60
    reads: bool = True

    def pieces(self) -> Iterator[bytes]:
        """Yield what is sent, piece by piece."""
        yield self.opening
        if not self.repeated:
            return
        piece = self.repeated
        if not self.pause_s:
            piece *= max(1, PIECE_BYTES // len(piece))
        yield from itertools.repeat(piece, self.max_bytes // len(piece))


class Crowd:
    """Connections that all follow one script; open in its context.

    A connection that has sent everything stays open until the server closes
    it or the context ends.

    Parameters
    ----------
    address : tuple[str, int]
        Address of the server.
    script : Script
        What each connection does.
    """

    def __init__(self, address: tuple[str, int], script: Script) -> None:
        """Create a crowd without connections."""
        self._address = address
        self._script = script
        self._sockets: list[socket.socket] = []
        self._readers: list[asyncio.Task[None]] = []
        self._senders: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Open the connections and begin to send."""
        for _ in range(self._script.connections):
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
            self._sockets.append(sock)
            self._senders.append(asyncio.create_task(self._send(sock)))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connections."""
        tasks = self._senders + self._readers
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def press(self) -> None:
        """Wait until all connections have sent everything or were closed.

        Connections from which the server does not read are waited for during
        `PRESS_S`; they go on to send.
        """
        await asyncio.wait(self._senders, timeout=PRESS_S)

    async def _send(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self._address)
            if self._script.reads:
                self._readers.append(asyncio.create_task(_discard(sock)))
            for piece in self._script.pieces():
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(self._script.pause_s)
        except OSError:
            # The server has closed the connection, or accepts no more.
            return


async def _discard(sock: socket.socket) -> None:
    """Read until the server closes the connection."""
    loop = asyncio.get_running_loop()
    try:
        while await loop.sock_recv(sock, PIECE_BYTES):
            continue
    except OSError:
        return
