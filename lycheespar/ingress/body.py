"""Bodies of callers' requests."""

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
    CallerLostError,
    RequestError,
)
from lycheespar.protocol.body import CHUNK_BYTES, INLINE_BYTES

# Time without a byte of a body after which its caller is given up.
STALL_S: Final = 20
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# What a caller that leaves, or that sends bad chunks, raises.
_CUT: Final = (
    aiohttp.ClientError,
    aiohttp.http.HttpProcessingError,
    web.RequestPayloadError,
    OSError,
    TimeoutError,
)


class CallerBody:
    """Body that streams from a caller, up to a limit.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    limit : int
        Largest length in bytes.
    """

    __slots__ = ('_begun', '_chunks', '_error', '_left', '_request')

    def __init__(self, request: web.BaseRequest, limit: int) -> None:
        """Start unread."""
        self._request = request
        self._chunks = aiter(request.content.iter_chunked(CHUNK_BYTES))
        self._left = limit
        self._begun = False
        self._error: RequestError | None = None

    @property
    def begun(self) -> bool:
        """Whether some of it was read, so that it can't be sent again."""
        return self._begun

    @property
    def error(self) -> RequestError | None:
        """What cut the body, or nothing."""
        return self._error

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises
        ------
        CallerLostError
            The caller left, stalled or sent bad chunks.
        BodyOverLimitError
            The body is longer than the limit.
        """
        if not self._begun:
            self._begun = True
            await invite(self._request)
        try:
            async with asyncio.timeout(STALL_S):
                chunk = await anext(self._chunks)
        except _CUT as error:
            self._error = CallerLostError(str(error))
            raise self._error from error
        self._left -= len(chunk)
        if self._left < 0:
            self._error = BodyOverLimitError()
            raise self._error
        return chunk


async def invite(request: web.BaseRequest) -> None:
    """Ask for the body if the caller waits for that."""
    expected = request.headers.get(hdrs.EXPECT)
    if expected is not None and expected.lower() == '100-continue':
        writer = request.writer
        await writer.write(_CONTINUE)
        writer.output_size = 0


async def read_body(request: web.BaseRequest, limit: int) -> Body:
    """Read a small body whole; return an iterator of a larger one.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    limit : int
        Largest length in bytes.

    Raises
    ------
    BodyTooLargeError
        The declared length exceeds the limit.
    BadRequestError
        A small body was cut.
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
    except CallerLostError as error:
        raise BadRequestError('the body was cut') from error
