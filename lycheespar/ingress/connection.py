"""Connections of callers: coded answers to what is no HTTP, and resets."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any, Final

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from lycheespar.errors import (
    BadRequestError,
    InternalRequestError,
    RequestError,
)
from lycheespar.ingress.answers import problem
from lycheespar.protocol.sockets import tune_socket

SERVER_ERROR: Final = 500
# Discards what is unsent and resets the connection when it is closed.
_RESET: Final = struct.pack('ii', 1, 0)


class CallerConnection(RequestHandler):
    """One connection of a caller."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the system find out when the caller is gone."""
        super().connection_made(transport)
        tune_socket(transport.get_extra_info('socket'))

    def close(self) -> None:
        """Take no further request; close at once where none is under way.

        The base class would ignore what still comes on a connection that does
        not wait for a request yet, and leave it open.
        """
        super().close()
        idle = self._current_request is None and not self._messages
        if idle and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer what can't be parsed, and close the connection."""
        if request.writer.output_size > 0:
            raise ConnectionResetError
        error: RequestError = BadRequestError('the request is no valid HTTP')
        if status >= SERVER_ERROR:
            error = InternalRequestError(str(exc))
        response = problem(error)
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes the connections of callers."""

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        options: dict[str, Any] = self._kwargs
        return CallerConnection(self, loop=self._loop, **options)


def reset(request: web.BaseRequest) -> None:
    """Reset a caller's connection, so that its answer can't pass as whole.

    An ordinary close would end an answer without a declared length properly.
    """
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    transport.abort()
