"""Reads the bodies of callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
from aiohttp import web

from lycheespar.call import Body
from lycheespar.errors import (
    BadRequestError,
    BodyOverLimitError,
    BodyTooLargeError,
    RequestBodyAbortedError,
    RequestError,
)
from lycheespar.ingress.ending import MAX_DISCARD_S
from lycheespar.ingress.request import CallerRequest
from lycheespar.protocol.body import CHUNK_BYTES, INLINE_BYTES

# Time in seconds without a byte of the body after which the caller counts as
# lost.
BODY_STALL_TIMEOUT_S: Final = 20
_CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Raised while a body is read if the caller disconnects, stalls or sends
# invalid chunks.
_READ_ERRORS: Final = (
    aiohttp.ClientError,
    aiohttp.http.HttpProcessingError,
    web.RequestPayloadError,
    OSError,
    TimeoutError,
)


class CallerBody:
    """Request body that is streamed from a caller, up to a size limit.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    limit : int
        Largest allowed length in bytes.
    """

    __slots__ = (
        '_chunks',
        '_error',
        '_lock',
        '_reading_started',
        '_remaining_bytes',
        '_request',
    )

    def __init__(self, request: CallerRequest, limit: int) -> None:
        """Create a body of which nothing has been read."""
        # The task that passes the body on may still read when it is discarded.
        self._lock = asyncio.Lock()
        self._request = request
        self._chunks = aiter(request.content.iter_chunked(CHUNK_BYTES))
        self._remaining_bytes = limit
        self._reading_started = False
        self._error: RequestError | None = None

    @property
    def reading_started(self) -> bool:
        """Whether reading has started, so that the body can't be sent again."""
        return self._reading_started

    @property
    def error(self) -> RequestError | None:
        """Error that ended the body early, if there was one."""
        return self._error

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the body as its own iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises
        ------
        RequestBodyAbortedError
            The caller disconnected, stalled or sent invalid chunks.
        BodyOverLimitError
            The body is longer than the limit.
        """
        if not self._reading_started:
            self._reading_started = True
            await send_continue(self._request)
        try:
            async with asyncio.timeout(BODY_STALL_TIMEOUT_S), self._lock:
                chunk = await anext(self._chunks)
        except _READ_ERRORS as error:
            self._error = RequestBodyAbortedError(str(error))
            raise self._error from error
        self._remaining_bytes -= len(chunk)
        if self._remaining_bytes < 0:
            self._error = BodyOverLimitError()
            raise self._error
        return chunk

    async def discard(self, until: float, limit: int) -> bool:
        """Read the rest and discard it.

        Parameters
        ----------
        until : float
            Time in seconds on the event loop's clock until which it is read.
        limit : int
            Largest number of bytes that are read.

        Returns
        -------
        bool
            Whether the end of the body was reached.
        """
        self._reading_started = True
        self._remaining_bytes = limit
        try:
            async with asyncio.timeout_at(until):
                while True:
                    await anext(self)
        except StopAsyncIteration:
            return True
        except (RequestError, TimeoutError):
            return False


async def discard_rest(request: web.BaseRequest, limit: int) -> bool:
    """Read and discard the rest of an answered request, if it is due.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    limit : int
        Largest number of bytes that are read.

    Returns
    -------
    bool
        False if the body did not end within its limits; more may arrive.
    """
    if not isinstance(request, CallerRequest) or request.content.is_eof():
        return True
    if not request.body_is_due:
        return True
    body = request.caller_body or CallerBody(request, limit)
    now = asyncio.get_running_loop().time()
    until = max(request.deadline, now + MAX_DISCARD_S)
    complete = await body.discard(until, limit)
    return complete or request.content.exception() is not None


async def send_continue(request: CallerRequest) -> None:
    """Send ``100 Continue`` if the caller waits for it before the body."""
    if request.expects_continue:
        writer = request.writer
        await writer.write(_CONTINUE_RESPONSE)
        # The interim response is not part of the answer.
        writer.output_size = 0


async def read_body(request: CallerRequest, limit: int) -> Body:
    """Read the body of a request.

    A body with a small declared length is read whole; any other is returned
    as a stream of chunks.

    Parameters
    ----------
    request : CallerRequest
        The caller's request.
    limit : int
        Largest allowed length in bytes.

    Raises
    ------
    BodyTooLargeError
        The declared length exceeds the limit.
    BadRequestError
        A small body ended early.
    """
    if not request.body_exists:
        return b''
    length = request.content_length
    if length is not None and length > limit:
        raise BodyTooLargeError
    body = CallerBody(request, limit)
    request.caller_body = body
    if length is None or length > INLINE_BYTES:
        return body
    try:
        return b''.join([chunk async for chunk in body])
    except RequestBodyAbortedError as error:
        raise BadRequestError('the body of the request ended early') from error
