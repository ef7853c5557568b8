"""What the platform's calls have in common: their path and their replies."""

from __future__ import annotations

from typing import Final

from aiohttp import web

_CALL_PATH: Final = '/api/rpc'


def is_call(request: web.BaseRequest) -> bool:
    """Whether a request is a call; its query names which."""
    return (request.method, request.path) == ('POST', _CALL_PATH)


def reply(status: int, problem: str = '') -> web.Response:
    """Return the reply to a call, with what is wrong if something is."""
    body = {'error': problem} if problem else {}
    return web.json_response(body, status=status)
