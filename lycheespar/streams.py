"""Streams of body chunks that release what they hold exactly once."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol, runtime_checkable

from lycheespar.call import Body


@runtime_checkable
class Closable(Protocol):
    """A stream that closes at once."""

    def close(self) -> None:
        """Close the stream."""


class GuardedStream:
    """A stream with a clean-up that also runs if it is never read.

    An asynchronous generator that was closed before its first chunk skips its
    ``finally``; what it should have released would stay held.

    Parameters
    ----------
    chunks : AsyncIterator[bytes]
        The stream.
    release : Callable[[bool], None]
        Called once, with whether the stream was read to its end.
    """

    __slots__ = ('_chunks', '_release', '_released')

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        release: Callable[[bool], None],
    ) -> None:
        """Guard a stream."""
        self._chunks = chunks
        self._release = release
        self._released = False

    def __aiter__(self) -> GuardedStream:
        """Return the stream itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self._finish(whole=True)
            raise
        except BaseException:
            self._finish(whole=False)
            raise

    async def aclose(self) -> None:
        """End the stream; what is left of it is not wanted."""
        try:
            await close_stream(self._chunks)
        finally:
            self._finish(whole=False)

    def _finish(self, *, whole: bool) -> None:
        if not self._released:
            self._released = True
            self._release(whole)


async def close_stream(body: Body | AsyncIterator[bytes]) -> None:
    """Close a body that is not read any further."""
    if isinstance(body, bytes):
        return
    if isinstance(body, Closable):
        body.close()
    elif hasattr(body, 'aclose'):
        await body.aclose()
