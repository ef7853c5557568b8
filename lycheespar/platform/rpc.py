"""Common parts of the platform's remote procedure calls."""

from __future__ import annotations

from typing import Final

from aiohttp import web

_RPC_PATH: Final = '/api/rpc'


def is_rpc_call(request: web.BaseRequest) -> bool:
    """Whether a request is a call; its query gives the name of the call."""
    return (request.method, request.path) == ('POST', _RPC_PATH)


def rpc_response(status: int, error: str = '') -> web.Response:
    """Build the response to a call, with a message if the call failed."""
    body = {'error': error} if error else {}
    return web.json_response(body, status=status)
