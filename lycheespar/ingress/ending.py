"""How callers' connections end: without a loss of answers, or by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

from aiohttp import web

from lycheespar.protocol.sockets import unread_bytes, unsent_bytes

# Time in seconds for which nothing moves on a connection that has ended, after
# which it is closed.
LINGER_S: Final = 1
# The same while the caller has not acknowledged all of an answer.
UNSENT_STALL_S: Final = 20
# Bytes that are discarded unread at the end of a connection, after which it is
# closed all the same.
MAX_UNREAD_BYTES: Final = 4 * 1024 * 1024
# Longest time in seconds for which the caller is awaited after the last answer,
# and for which the rest of a body is read, unless its deadline is later.
MAX_DISCARD_S: Final = 60
_POLL_INTERVAL_S: Final = 0.1
_NEVER: Final = float('-inf')
# Value of SO_LINGER: closing the socket discards unsent data and resets the
# connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)


class ConnectionEnd:
    """End of one connection: no answer follows.

    Closing a connection with unread bytes resets it, and the reset discards
    answers that the caller has not received, or not read because it is still
    sending. So the node ends its own direction only, and reads and discards
    until the caller closes the connection.

    Attributes
    ----------
    begun : bool
        Whether what arrives is discarded unread.
    moved_at : float
        When the last answer was written or the rest of its request read, in
        seconds on the event loop's clock; minus infinity if none was written.
    """

    __slots__ = ('_discarded_bytes', '_transport', 'begun', 'moved_at')

    def __init__(self) -> None:
        """Create the end of a connection that goes on for now."""
        self.begun = False
        self.moved_at = _NEVER
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None

    def begin(self, transport: asyncio.Transport) -> None:
        """End the own direction; discard what arrives from now on."""
        self.begun = True
        self._transport = transport
        end_own_direction(transport)

    def discard(self, data: bytes) -> None:
        """Discard bytes; close the connection if they are too many."""
        self._discarded_bytes += len(data)
        too_many = self._discarded_bytes > MAX_UNREAD_BYTES
        if too_many and self._transport is not None:
            self._transport.close()

    def wait_s(self, now: float) -> float:
        """Return for how long the caller may still send a request.

        Until then it may not know that the connection is about to end.

        Parameters
        ----------
        now : float
            Current time in seconds on the event loop's clock.
        """
        return max(self.moved_at + LINGER_S - now, 0)

    def may_close(self, transport: asyncio.Transport, now: float) -> bool:
        """Whether closing the connection now can discard no answer.

        Parameters
        ----------
        transport : asyncio.Transport
            Transport of the connection.
        now : float
            Current time in seconds on the event loop's clock.
        """
        if self.moved_at == _NEVER:
            return True
        sock = transport.get_extra_info('socket')
        idle = now - self.moved_at >= LINGER_S
        return idle and not (unread_bytes(sock) or _unsent(transport))

    async def close(self, transport: asyncio.Transport) -> None:
        """Close the connection once nothing of an answer can be lost by it.

        The end of the connection by its caller cancels this.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + MAX_DISCARD_S
        last_state = (0, 0)
        while loop.time() < ends_at and not transport.is_closing():
            unsent = _unsent(transport)
            state = (self._discarded_bytes, unsent)
            if state != last_state:
                last_state, self.moved_at = state, loop.time()
            patience_s = UNSENT_STALL_S if unsent else LINGER_S
            if loop.time() - self.moved_at >= patience_s:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        transport.close()


def end_own_direction(transport: asyncio.Transport | None) -> None:
    """Send the end of the connection behind all answers, if it is open."""
    if transport is not None and not transport.is_closing():
        transport.write_eof()


def reset_connection(request: web.BaseRequest) -> None:
    """Reset a caller's connection to mark its answer as truncated.

    An answer without a declared length ends with an ordinary close, so the
    caller would take a truncated one for complete.
    """
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()


def _unsent(transport: asyncio.Transport) -> int:
    """Return the bytes that the caller's system has not acknowledged."""
    sock = transport.get_extra_info('socket')
    return transport.get_write_buffer_size() + unsent_bytes(sock)
