"""Callers' connections: closing, reset, and answers to malformed requests."""

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
from lycheespar.ingress.answers import problem_response
from lycheespar.protocol.sockets import tune_socket

INTERNAL_SERVER_ERROR: Final = 500
# Value of SO_LINGER: closing the socket discards unsent data and resets the
# connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)


class CallerConnection(RequestHandler):
    """Protocol of one connection from a caller."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options by which the system detects a vanished caller."""
        super().connection_made(transport)
        tune_socket(transport.get_extra_info('socket'))

    def close(self) -> None:
        """Accept no further request; close an idle connection at once.

        The base class would leave a connection open that does not wait for a
        request yet, and ignore requests that still arrive on it.
        """
        super().close()
        idle = self._current_request is None and not self._messages
        if idle and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that is not valid HTTP or whose handler failed.

        The connection is closed afterwards.
        """
        if request.writer.output_size > 0:
            raise ConnectionResetError
        error: RequestError = BadRequestError('the request is not valid HTTP')
        if status >= INTERNAL_SERVER_ERROR:
            error = InternalRequestError(str(exc))
        response = problem_response(error)
        response.force_close()
        return response


class CallerServer(web.Server):
    """Creates the protocol for each connection from a caller."""

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        options: dict[str, Any] = self._kwargs
        return CallerConnection(self, loop=self._loop, **options)


def reset_connection(request: web.BaseRequest) -> None:
    """Reset a caller's connection to mark its answer as truncated.

    An answer without a declared length ends with an ordinary close, so the
    caller would take a truncated one for complete.
    """
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()
