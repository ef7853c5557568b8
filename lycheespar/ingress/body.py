"""Reads the bodies of callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
from aiohttp import hdrs, web

from lycheespar.call import Body
from lycheespar.errors import (
    BadRequestError,
    BodyOverLimitError,
    BodyTooLargeError,
    RequestBodyAbortedError,
    RequestError,
)
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
    request : web.BaseRequest
        The caller's request.
    limit : int
        Largest allowed length in bytes.
    """

    __slots__ = (
        '_chunks',
        '_error',
        '_reading_started',
        '_remaining_bytes',
        '_request',
    )

    def __init__(self, request: web.BaseRequest, limit: int) -> None:
        """Create a body of which nothing has been read."""
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
            async with asyncio.timeout(BODY_STALL_TIMEOUT_S):
                chunk = await anext(self._chunks)
        except _READ_ERRORS as error:
            self._error = RequestBodyAbortedError(str(error))
            raise self._error from error
        self._remaining_bytes -= len(chunk)
        if self._remaining_bytes < 0:
            self._error = BodyOverLimitError()
            raise self._error
        return chunk


async def send_continue(request: web.BaseRequest) -> None:
    """Send ``100 Continue`` if the caller waits for it before the body."""
    expected = request.headers.get(hdrs.EXPECT)
    if expected is not None and expected.lower() == '100-continue':
        writer = request.writer
        await writer.write(_CONTINUE_RESPONSE)
        # The interim response is not part of the answer.
        writer.output_size = 0


async def read_body(request: web.BaseRequest, limit: int) -> Body:
    """Read the body of a request.

    A body with a small declared length is read whole; any other is returned
    as a stream of chunks.

    Parameters
    ----------
    request : web.BaseRequest
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
    if length is None or length > INLINE_BYTES:
        return body
    try:
        return b''.join([chunk async for chunk in body])
    except RequestBodyAbortedError as error:
        raise BadRequestError('the body of the request ended early') from error
