"""Listening socket that closes without resetting connections."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from typing import Final

BACKLOG: Final = 512
# Time in which connections finish their handshake and are accepted.
SETTLE_S: Final = 0.1
SO_ATTACH_FILTER: Final = 26
# Classic BPF over the TCP header: drops segments that have the SYN flag but
# not the ACK flag, takes all others.
_INSTRUCTIONS: Final = (
    (48, 0, 0, 13),  # load the byte of the flags
    (84, 0, 0, 18),  # keep SYN and ACK
    (21, 0, 1, 2),  # only SYN?
    (6, 0, 0, 0),  # drop
    (6, 0, 0, 4294967295),  # take
)


def open_listener(host: str, port: int) -> socket.socket:
    """Open a listening TCP socket.

    Raises
    ------
    OSError
        The address can't be used.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


async def refuse_new(sock: socket.socket) -> None:
    """Let a listening socket take no new connections, and settle the others.

    Closing a listening socket resets the connections that were not accepted
    yet, with the requests that they carry. So new handshakes are ignored
    first: their callers send them again, and find the port closed.
    """
    code = b''.join(struct.pack('HBBI', *line) for line in _INSTRUCTIONS)
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack(
        'HP',
        len(_INSTRUCTIONS),
        ctypes.addressof(buffer),
    )
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    await asyncio.sleep(SETTLE_S)
