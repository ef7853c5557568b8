"""Streamed bodies of requests to the target and of its answers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import aiohttp

from lycheespar.errors import LycheesparError, TruncatedAnswerError
from lycheespar.protocol.body import CHUNK_BYTES


class AnswerBody:
    """Body of an answer, which reports its end even if it is never read.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The response whose body is read.
    """

    __slots__ = ('_chunks', '_listeners', '_response')

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Wrap a response whose body has not been read."""
        self._response: aiohttp.ClientResponse | None = response
        self._chunks = aiter(response.content.iter_chunked(CHUNK_BYTES))
        self._listeners: list[Callable[[], None]] = []

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises
        ------
        TruncatedAnswerError
            The body ended before its declared length.
        """
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self._end()
            raise
        except (aiohttp.ClientError, OSError) as error:
            self.close()
            raise TruncatedAnswerError(str(error)) from error
        except asyncio.CancelledError:
            self.close()
            raise

    def __del__(self) -> None:
        """Close a body that was discarded before its end."""
        self.close()

    def on_end(self, listener: Callable[[], None]) -> None:
        """Register a function to call once when the body ends or is closed."""
        self._listeners.append(listener)

    def close(self) -> None:
        """Close the connection unless the body has ended."""
        if self._response is not None:
            self._response.close()
            self._end()

    def _end(self) -> None:
        self._response = None
        for listener in self._listeners:
            listener()
        self._listeners.clear()


class RequestBody:
    """Body of a request, which records an error of its source.

    Parameters
    ----------
    chunks : AsyncIterator[bytes]
        Chunks of the body, as received from the caller.
    """

    __slots__ = ('_chunks', '_error')

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        """Wrap a body that has not been read."""
        self._chunks = chunks
        self._error: Exception | None = None

    @property
    def error(self) -> Exception | None:
        """Error that ended the body early, or None."""
        return self._error

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks."""
        try:
            async for chunk in self._chunks:
                yield chunk
        except (LycheesparError, aiohttp.ClientError, OSError) as error:
            self._error = error
            raise
