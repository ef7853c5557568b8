"""HTTP responses to callers: problem documents and targets' answers."""

from __future__ import annotations

import math
from typing import Final, cast

import msgspec
from aiohttp import hdrs, web
from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

from lycheespar.call import Answer
from lycheespar.errors import InvalidAnswerError, RequestError

PROBLEM_TYPE: Final = 'application/problem+json'
TOO_MANY_REQUESTS: Final = 429
CODE_HEADER: Final = 'X-Lycheespar-Code'

_encoder = msgspec.json.Encoder()


def problem_response(
    error: RequestError,
    *,
    integer_retry_after: bool = True,
) -> web.Response:
    """Build a problem document (RFC 9457) for a request that failed.

    Statuses from 500 and 429 also get a ``Retry-After`` header.

    Parameters
    ----------
    error : RequestError
        Why the request got no answer from a target.
    integer_retry_after : bool
        Whether ``Retry-After`` is rounded up to whole seconds, the only
        form that RFC 9110 allows; else it has three decimals.
    """
    body = {
        'type': f'urn:lycheespar:{error.code}',
        'title': error.code.replace('_', ' '),
        'status': error.status,
        'code': error.code,
        'detail': error.detail,
        'outcome': error.outcome,
        'retry_after_s': error.retry_after_s,
    }
    headers = {CODE_HEADER: error.code}
    if error.status >= 500 or error.status == TOO_MANY_REQUESTS:
        retry_s = error.retry_after_s
        headers[hdrs.RETRY_AFTER] = (
            str(math.ceil(retry_s)) if integer_retry_after else f'{retry_s:.3f}'
        )
    return web.Response(
        status=error.status,
        body=_encoder.encode(body),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


async def send_answer(
    request: web.BaseRequest,
    answer: Answer,
    *,
    close_connection: bool = False,
) -> web.StreamResponse:
    """Send a target's answer to the caller.

    The head is written here, and the body if it is streamed. A whole body is
    left to aiohttp.

    Parameters
    ----------
    request : web.BaseRequest
        The caller's request.
    answer : Answer
        Answer of the target.
    close_connection : bool
        Whether the answer tells the caller to close the connection.

    Raises
    ------
    InvalidAnswerError
        The head can't be written; nothing was sent to the caller.
    RequestError
        The body ended early, after the head was sent to the caller.
    """
    headers = CIMultiDict(answer.headers)
    body = answer.body
    response = (
        web.Response(status=answer.status, headers=headers, body=body)
        if isinstance(body, bytes)
        else web.StreamResponse(status=answer.status, headers=headers)
    )
    if close_connection:
        response.force_close()
    try:
        await response.prepare(request)
    except ValueError as error:
        # The same writer is used for the error, which has a length.
        cast('StreamWriter', request.writer).chunked = False
        raise InvalidAnswerError(
            "the answer's head can't be written"
        ) from error
    if not isinstance(body, bytes):
        async for chunk in body:
            await response.write(chunk)
        await response.write_eof()
    return response
