"""Flow control of streamed bodies, so that memory stays bounded."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final

from lycheespar.errors import BodySequenceError, LycheesparError

# Bytes that may be sent before the consumer has read any. Each chunk that it
# reads grants the sender as many further bytes.
WINDOW_BYTES: Final = 256 * 1024
# Largest chunk of a streamed body.
CHUNK_BYTES: Final = 64 * 1024
# Largest body that is sent whole instead of in chunks.
INLINE_BYTES: Final = 64 * 1024


class BodyReceiver:
    """Receiving end of a streamed body.

    Parameters
    ----------
    grant : Callable[[int], None]
        Called with the number of further bytes that the sender may send.
    on_demand : bool
        Whether the sender waits until the consumer starts to read.
    """

    __slots__ = (
        '_chunks',
        '_complete',
        '_error',
        '_grant',
        '_on_demand',
        '_ready',
        '_receive_limit',
        '_received',
    )

    def __init__(
        self,
        grant: Callable[[int], None],
        *,
        on_demand: bool = False,
    ) -> None:
        """Create a receiver that has received nothing yet."""
        self._on_demand = on_demand
        self._chunks: deque[bytes] = deque()
        self._grant = grant
        self._received = 0
        self._receive_limit = WINDOW_BYTES + CHUNK_BYTES
        self._ready = asyncio.Event()
        self._complete = False
        self._error: LycheesparError | None = None

    @property
    def waits_for_sender(self) -> bool:
        """Whether the body goes on and the consumer has read all of it."""
        ended = self._complete or self._error is not None
        return not (ended or self._chunks)

    def feed(self, offset: int, chunk: bytes) -> None:
        """Add a chunk that was received from the channel.

        Raises
        ------
        BodySequenceError
            The chunk is out of order or exceeds the window.
        """
        end = self._received + len(chunk)
        if offset != self._received or end > self._receive_limit:
            raise BodySequenceError(
                f'chunk of {len(chunk)} bytes at offset {offset}: '
                f'expected offset {self._received}, '
                f'at most {self._receive_limit} bytes in all',
            )
        self._received = end
        self._chunks.append(chunk)
        self._ready.set()

    def finish(self, length: int) -> None:
        """Mark the body as complete.

        Raises
        ------
        BodySequenceError
            The declared length differs from the number of received bytes.
        """
        if length != self._received:
            raise BodySequenceError(
                f'body ended after {self._received} of {length} bytes',
            )
        self._complete = True
        self._ready.set()

    def fail(self, error: LycheesparError) -> None:
        """End the body with an error, after the chunks received so far."""
        if not self._complete:
            self._error = error
        self._ready.set()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks and grant the sender credit for each.

        Raises
        ------
        LycheesparError
            The body ended with an error.
        """
        if self._on_demand:
            self._grant(WINDOW_BYTES)
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._receive_limit += len(chunk)
                self._grant(len(chunk))
                yield chunk
            if self._error is not None:
                raise self._error
            if self._complete:
                return
            self._ready.clear()
            await self._ready.wait()


class SendWindow:
    """Credit that the receiver of a body has granted to its sender.

    Parameters
    ----------
    credit : int
        Bytes that may be sent at the start.
    """

    __slots__ = ('_credit', '_ready')

    def __init__(self, credit: int = WINDOW_BYTES) -> None:
        """Create a window with the given credit."""
        self._credit = credit
        self._ready = asyncio.Event()

    def grant(self, credit: int) -> None:
        """Allow the sender to send further bytes."""
        self._credit += credit
        self._ready.set()

    async def wait_for_credit(self) -> None:
        """Wait until there is credit."""
        while self._credit <= 0:
            self._ready.clear()
            await self._ready.wait()

    async def consume(self, size: int) -> None:
        """Wait until there is credit, then deduct `size` bytes.

        The credit may become negative by less than one chunk.
        """
        await self.wait_for_credit()
        self._credit -= size


def split_chunk(chunk: bytes) -> list[bytes]:
    """Split a chunk into pieces of at most `CHUNK_BYTES`."""
    starts = range(0, len(chunk), CHUNK_BYTES)
    return [chunk[start : start + CHUNK_BYTES] for start in starts]
