"""Listening socket that can be closed without resetting connections."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from typing import Final

from loguru import logger

ACCEPT_BACKLOG: Final = 512
# Time in seconds in which pending connections finish their handshake and are
# accepted.
HANDSHAKE_SETTLE_S: Final = 0.1
# Socket options of Linux; the module `socket` lacks them.
SO_ATTACH_FILTER: Final = 26
IP_MINTTL: Final = 21
# Packets start with a lower time to live on all common systems.
MAX_TTL: Final = 255
# Classic BPF program over the TCP header: drops segments that have the SYN
# flag but not the ACK flag, and accepts all others.
_DROP_SYN_FILTER: Final = (
    (48, 0, 0, 13),  # load the byte with the flags
    (84, 0, 0, 18),  # mask all but SYN and ACK
    (21, 0, 1, 2),  # is only SYN set?
    (6, 0, 0, 0),  # drop
    (6, 0, 0, 4294967295),  # accept
)

log = logger.bind(part='ingress')


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
    sock.listen(ACCEPT_BACKLOG)
    sock.setblocking(False)
    return sock


async def ignore_new_connections(sock: socket.socket) -> None:
    """Ignore new handshakes at a listening socket; let pending ones finish.

    Closing a listening socket resets the connections that are not accepted
    yet, together with the requests on them. So new handshakes are ignored
    before the socket is closed: the callers' systems retransmit them and then
    find the port closed. Call `accept_all_segments` for the connections that
    were accepted meanwhile.

    Raises
    ------
    OSError
        The system provides no way to ignore handshakes.
    """
    try:
        _attach_filter(sock)
    except OSError as error:
        # Security policies of some hosts refuse filters.
        log.warning(
            'The system refuses a socket filter ({}); new handshakes are '
            'ignored by their time to live.',
            error,
        )
        sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, MAX_TTL)
    await asyncio.sleep(HANDSHAKE_SETTLE_S)


def accept_all_segments(sock: socket.socket) -> None:
    """Undo for a connection what it inherited from its listening socket."""
    sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, 0)


def _attach_filter(sock: socket.socket) -> None:
    code = b''.join(
        struct.pack('HBBI', *instruction) for instruction in _DROP_SYN_FILTER
    )
    buffer = ctypes.create_string_buffer(code)
    program = struct.pack(
        'HP',
        len(_DROP_SYN_FILTER),
        ctypes.addressof(buffer),
    )
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
