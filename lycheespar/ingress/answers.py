"""Answers to callers."""

from __future__ import annotations

import math
from typing import Final

import msgspec
from aiohttp import hdrs, web
from multidict import CIMultiDict

from lycheespar.call import Answer
from lycheespar.errors import RequestError

PROBLEM_TYPE: Final = 'application/problem+json'
CODE_HEADER: Final = 'X-Lycheespar-Code'

_encoder = msgspec.json.Encoder()


def problem(
    error: RequestError,
    *,
    whole_retry_s: bool = True,
) -> web.Response:
    """Answer with a coded problem (RFC 9457) and when to come back.

    Parameters
    ----------
    error : RequestError
        Why there is no answer of a target.
    whole_retry_s : bool
        Whether the caller understands whole seconds only (RFC 9110).
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
    if error.status >= 500:
        retry_s = error.retry_after_s
        headers[hdrs.RETRY_AFTER] = (
            str(math.ceil(retry_s)) if whole_retry_s else f'{retry_s:.3f}'
        )
    return web.Response(
        status=error.status,
        body=_encoder.encode(body),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


async def respond(
    request: web.BaseRequest,
    answer: Answer,
    *,
    closing: bool = False,
) -> web.StreamResponse:
    """Send the target's answer on.

    Raises
    ------
    RequestError
        The body was cut after its head was sent.
    """
    headers = CIMultiDict(answer.headers)
    if isinstance(answer.body, bytes):
        return web.Response(
            status=answer.status,
            headers=headers,
            body=answer.body,
        )
    response = web.StreamResponse(status=answer.status, headers=headers)
    if closing:
        response.force_close()
    await response.prepare(request)
    async for chunk in answer.body:
        await response.write(chunk)
    await response.write_eof()
    return response
