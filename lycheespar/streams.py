"""Streams of body chunks that release their resources exactly once."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol, runtime_checkable

from lycheespar.call import Body


@runtime_checkable
class Closable(Protocol):
    """A stream that is closed synchronously."""

    def close(self) -> None:
        """Close the stream."""


class GuardedStream:
    """A stream whose clean-up also runs if no chunk was ever read.

    An asynchronous generator that is closed before its first chunk does not
    run its ``finally`` clause, so that its resources would never be released.

    Parameters
    ----------
    chunks : AsyncIterator[bytes]
        The stream to read.
    release : Callable[[bool], None]
        Called exactly once, with True if the stream was read to its end.
    """

    __slots__ = ('_chunks', '_release', '_released')

    def __init__(
        self,
        chunks: AsyncIterator[bytes],
        release: Callable[[bool], None],
    ) -> None:
        """Wrap a stream that was not read yet."""
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
            self._release_once(complete=True)
            raise
        except BaseException:
            self._release_once(complete=False)
            raise

    async def aclose(self) -> None:
        """Close the stream and discard its remaining chunks."""
        try:
            await close_stream(self._chunks)
        finally:
            self._release_once(complete=False)

    def _release_once(self, *, complete: bool) -> None:
        if not self._released:
            self._released = True
            self._release(complete)


async def close_stream(body: Body | AsyncIterator[bytes]) -> None:
    """Close a body that is not read to its end; bytes need no closing."""
    if isinstance(body, bytes):
        return
    if isinstance(body, Closable):
        body.close()
    elif hasattr(body, 'aclose'):
        await body.aclose()
