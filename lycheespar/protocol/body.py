"""Streamed bodies with a window, so that memory stays bounded."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final

from lycheespar.errors import BodySequenceError, LycheesparError

WINDOW_BYTES: Final = 256 * 1024
CHUNK_BYTES: Final = 64 * 1024
INLINE_BYTES: Final = 64 * 1024


class BodyReceiver:
    """Receiving end of a streamed body.

    Parameters
    ----------
    grant : Callable[[int], None]
        Called with the number of bytes that the consumer has taken.
    on_demand : bool
        Whether the sender waits until the consumer begins to read.
    """

    __slots__ = (
        '_allowed',
        '_chunks',
        '_ended',
        '_error',
        '_grant',
        '_on_demand',
        '_ready',
        '_received',
    )

    def __init__(
        self,
        grant: Callable[[int], None],
        *,
        on_demand: bool = False,
    ) -> None:
        """Start with an empty body."""
        self._on_demand = on_demand
        self._chunks: deque[bytes] = deque()
        self._grant = grant
        self._received = 0
        self._allowed = WINDOW_BYTES + CHUNK_BYTES
        self._ready = asyncio.Event()
        self._ended = False
        self._error: LycheesparError | None = None

    def feed(self, offset: int, chunk: bytes) -> None:
        """Take one chunk from the channel.

        Raises
        ------
        BodySequenceError
            The chunk does not follow the last one, or exceeds the window.
        """
        end = self._received + len(chunk)
        if offset != self._received or end > self._allowed:
            raise BodySequenceError(f'{offset} after {self._received} bytes')
        self._received = end
        self._chunks.append(chunk)
        self._ready.set()

    def finish(self, length: int) -> None:
        """Mark the body as whole.

        Raises
        ------
        BodySequenceError
            The length differs from the bytes received.
        """
        if length != self._received:
            raise BodySequenceError(f'{self._received} of {length} bytes')
        self._ended = True
        self._ready.set()

    def fail(self, error: LycheesparError) -> None:
        """End the body with an error, after the chunks that came."""
        if not self._ended:
            self._error = error
        self._ready.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks.

        Raises
        ------
        LycheesparError
            The body was cut.
        """
        if self._on_demand:
            self._grant(WINDOW_BYTES)
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._allowed += len(chunk)
                self._grant(len(chunk))
                yield chunk
            if self._error is not None:
                raise self._error
            if self._ended:
                return
            self._ready.clear()
            await self._ready.wait()


class SendWindow:
    """Bytes that the receiver of a body allows its sender.

    Parameters
    ----------
    credit : int
        Bytes allowed at the start.
    """

    __slots__ = ('_credit', '_ready')

    def __init__(self, credit: int = WINDOW_BYTES) -> None:
        """Start with the given window."""
        self._credit = credit
        self._ready = asyncio.Event()

    def grant(self, credit: int) -> None:
        """Allow more bytes."""
        self._credit += credit
        self._ready.set()

    async def opened(self) -> None:
        """Wait until the window is open."""
        while self._credit <= 0:
            self._ready.clear()
            await self._ready.wait()

    async def take(self, size: int) -> None:
        """Wait until the window is open, then use `size` bytes of it."""
        await self.opened()
        self._credit -= size


def split(chunk: bytes) -> list[bytes]:
    """Split a chunk into parts of at most `CHUNK_BYTES`."""
    starts = range(0, len(chunk), CHUNK_BYTES)
    return [chunk[start : start + CHUNK_BYTES] for start in starts]
