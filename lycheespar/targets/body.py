"""Streamed bodies of requests to the target and of its answers."""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import AsyncIterator, Callable

import aiohttp

from lycheespar.errors import (
    DeadlineExceededError,
    LycheesparError,
    TruncatedAnswerError,
)
from lycheespar.protocol.body import CHUNK_BYTES


class AnswerBody:
    """Body of an answer, which reports its end even if it is never read.

    At the deadline of the call, a body that has not arrived wholly ends, and
    its connection is closed, whether it is read or not.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The response whose body is read.
    deadline : float
        Deadline of the call in seconds on the event loop's clock.
    """

    __slots__ = (
        '__weakref__',
        '_chunks',
        '_listeners',
        '_overdue',
        '_response',
        '_timer',
    )

    def __init__(
        self, response: aiohttp.ClientResponse, deadline: float
    ) -> None:
        """Wrap a response whose body has not been read."""
        self._overdue = False
        # A body that was discarded must not live on until its deadline.
        self._timer = asyncio.get_running_loop().call_at(
            deadline, _end_overdue, weakref.ref(self)
        )
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
        DeadlineExceededError
            The body had not arrived wholly at the deadline.
        """
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self._end()
            raise
        except (aiohttp.ClientError, OSError) as error:
            self.close()
            if self._overdue:
                raise DeadlineExceededError from error
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

    def end_if_incomplete(self) -> None:
        """End the body, as its deadline has passed, unless it has arrived."""
        response = self._response
        if response is not None and not response.content.is_eof():
            self._overdue = True
            self.close()

    def close(self) -> None:
        """Close the connection unless the body has ended."""
        if self._response is not None:
            self._response.close()
            self._end()

    def _end(self) -> None:
        self._response = None
        self._timer.cancel()
        for listener in self._listeners:
            listener()
        self._listeners.clear()


def _end_overdue(reference: weakref.ref[AnswerBody]) -> None:
    """End a body at its deadline if it is still in use."""
    body = reference()
    if body is not None:
        body.end_if_incomplete()


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
