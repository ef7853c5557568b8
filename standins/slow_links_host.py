"""Starts lycheespar on a host whose link to other hosts is slow.

Use it in place of ``python -m lycheespar``, with `RATE_VARIABLE` set to the
rate of the link in bytes per second. All channels between nodes share it.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import termios
from itertools import count
from typing import Any, Final

from lycheespar.__main__ import cli
from lycheespar.protocol.connection import FrameConnection

RATE_VARIABLE: Final = 'LINK_BYTES_PER_S'
SO_MAX_PACING_RATE: Final = 47
# The kernel does not pace the first segments of a connection; small segments
# let few bytes pass in them.
UNPACED_SEGMENTS: Final = 10
SEGMENT_BYTES: Final = 1400
# A small window lets the kernel send few segments at once, as on a real link.
RECEIVE_BUFFER_BYTES: Final = 4096
SHARING_INTERVAL_S: Final = 0.01

_start_server = asyncio.start_server
_open_connection = asyncio.open_connection


class Link:
    """Shares a rate among the connections that have bytes to send."""

    def __init__(self, bytes_per_s: int) -> None:
        """Create a link without connections."""
        self._bytes_per_s = bytes_per_s
        self._sockets: dict[int, tuple[FrameConnection, socket.socket]] = {}
        self._serials = count()
        self._running = False

    def add(
        self, connection: FrameConnection, writer: asyncio.StreamWriter
    ) -> None:
        """Add a connection that has just been opened."""
        sock = writer.get_extra_info('socket')
        sock.setsockopt(
            socket.SOL_SOCKET, SO_MAX_PACING_RATE, self._bytes_per_s
        )
        self._sockets[next(self._serials)] = connection, sock
        if not self._running:
            self._running = True
            self._share()

    def _share(self) -> None:
        """Set the rate of each connection, and again after the interval."""
        for serial, (connection, _) in tuple(self._sockets.items()):
            if connection.closing:
                self._sockets.pop(serial)
        sockets = [sock for _, sock in self._sockets.values()]
        busy = sum(map(_has_unsent_bytes, sockets))
        rate = self._bytes_per_s // max(1, busy)
        for sock in sockets:
            sock.setsockopt(socket.SOL_SOCKET, SO_MAX_PACING_RATE, rate)
        asyncio.get_running_loop().call_later(SHARING_INTERVAL_S, self._share)


def _has_unsent_bytes(sock: socket.socket) -> bool:
    buffered = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return any(buffered)


async def start_server(
    handler: Any, host: str, port: int, **options: Any
) -> asyncio.Server:
    """Start a server whose connections send small segments."""
    listener = _create_socket(host, port)
    return await _start_server(handler, sock=listener, **options)


async def open_connection(
    host: str,
    port: int,
    *,
    local_addr: tuple[str, int] = ('', 0),
    **options: Any,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that sends small segments."""
    sock = _create_socket(*local_addr)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    return await _open_connection(sock=sock, **options)


def _create_socket(host: str, port: int) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind((host, port))
    return sock


def share_link(link: Link) -> None:
    """Let all connections between nodes that are opened share a link."""
    create = FrameConnection.__init__

    def create_on_link(
        connection: FrameConnection, writer: asyncio.StreamWriter
    ) -> None:
        create(connection, writer)
        link.add(connection, writer)

    FrameConnection.__init__ = create_on_link  # type: ignore[method-assign]
    asyncio.start_server = start_server  # type: ignore[assignment]
    asyncio.open_connection = open_connection  # type: ignore[assignment]


if __name__ == '__main__':
    share_link(Link(int(os.environ[RATE_VARIABLE])))
    cli()
