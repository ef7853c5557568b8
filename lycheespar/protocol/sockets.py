"""Options and buffers of TCP sockets."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Final

from loguru import logger

# Idle time in seconds after which the kernel sends keepalive probes.
KEEPALIVE_IDLE_S: Final = 10
# Time in seconds between two keepalive probes.
KEEPALIVE_INTERVAL_S: Final = 3
# Unanswered keepalive probes after which the connection is closed.
KEEPALIVE_PROBES: Final = 3
# Time in milliseconds for which sent data may stay unacknowledged before the
# connection is closed.
USER_TIMEOUT_MS: Final = 10_000

_TCP_OPTIONS: Final = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)

_COUNTER: Final = struct.Struct('i')

AddressInfo = tuple[
    int,
    int,
    int,
    str,
    tuple[str, int] | tuple[str, int, int, int] | tuple[int, bytes],
]

log = logger.bind(part='protocol')


def tune_socket(sock: socket.socket) -> None:
    """Enable keepalive, the user time-out and `TCP_NODELAY` on a socket.

    An idle connection whose other end is gone is closed after
    ``KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES`` seconds,
    one with unacknowledged data after `USER_TIMEOUT_MS`. A connection without
    these options is used all the same.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, setting in _TCP_OPTIONS:
            sock.setsockopt(socket.IPPROTO_TCP, option, setting)
    except OSError as error:
        log.warning('The options of a connection were refused: {!r}.', error)


def unread_bytes(sock: socket.socket) -> int:
    """Return how many received bytes were not read; 0 if the socket is gone."""
    return _read_counter(sock, termios.FIONREAD)


def unsent_bytes(sock: socket.socket) -> int:
    """Return how many sent bytes the other end has not acknowledged.

    Returns 0 if the socket is gone, or the system does not tell.
    """
    return _read_counter(sock, termios.TIOCOUTQ)


def _read_counter(sock: socket.socket, code: int) -> int:
    try:
        raw = fcntl.ioctl(sock.fileno(), code, bytes(_COUNTER.size))
    except (OSError, ValueError):
        return 0
    return int(_COUNTER.unpack(raw)[0])


def create_tuned_socket(address: AddressInfo) -> socket.socket:
    """Create the socket of an outgoing connection of aiohttp."""
    sock = socket.socket(*address[:3])
    sock.setblocking(False)
    tune_socket(sock)
    return sock
