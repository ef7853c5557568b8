"""HTTP API for operators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from aiohttp import web
from loguru import logger

from lycheespar.bodies import BodyReader
from lycheespar.configuration.changes import Command
from lycheespar.control.api.status import StatusReport, status_of
from lycheespar.control.host import ControlHost
from lycheespar.decoding import decode
from lycheespar.errors import (
    BodyTooLargeError,
    ChangeConflictError,
    ChangeInvalidError,
    ControlError,
    RequestInvalidError,
)
from lycheespar.http_limits.server import BoundedAppRunner
from lycheespar.settings.options import Address

# Largest body of a change, and all bodies that are being received, in bytes.
MAX_BODY_BYTES: Final = 1024 * 1024
SHARED_BODY_BYTES: Final = 16 * 1024 * 1024

log = logger.bind(part='control')

_command_decoder = msgspec.json.Decoder(Command)
_encoder = msgspec.json.Encoder(order='sorted')

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class ChangeReply(msgspec.Struct, frozen=True):
    """Response body for an accepted change.

    Attributes
    ----------
    revision : int
        Revision that the change created.
    """

    revision: int


class OperatorApi:
    """HTTP server for commands of operators.

    Parameters
    ----------
    host : ControlHost
        This control host.
    """

    def __init__(self, host: ControlHost) -> None:
        """Create a stopped server; `start` opens the port."""
        self._host = host
        self._group = host.group
        self._bodies = BodyReader(MAX_BODY_BYTES, SHARED_BODY_BYTES)
        app = web.Application(middlewares=(_error_middleware,))
        app.add_routes(
            (
                web.get('/v1/configuration', self._get_configuration),
                web.get('/v1/history', self._get_history),
                web.get('/v1/status', self._get_status),
                web.post('/v1/changes', self._post_change),
            )
        )
        self._runner = BoundedAppRunner(app, access_log=None)

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _get_configuration(self, request: web.Request) -> web.Response:
        state = await self._group.read()
        return _json_response(state.configuration)

    async def _get_history(self, request: web.Request) -> web.Response:
        state = await self._group.read()
        return _json_response(state.history)

    async def _get_status(self, request: web.Request) -> web.Response:
        """Report what this host knows; needs no quorum."""
        given = request.query.get('revision', '')
        if given and not given.isdecimal():
            raise RequestInvalidError('revision: must be a whole number')
        revision = int(given) if given else self._group.state.revision
        report: StatusReport = await status_of(self._host, revision)
        return _json_response(report)

    async def _post_change(self, request: web.Request) -> web.Response:
        command = decode_command(await self._bodies.read(request))
        revision = await self._group.submit(command)
        log.info(
            "Operator '{}' created revision {}.",
            command.operator,
            revision,
        )
        return _json_response(ChangeReply(revision))


def decode_command(body: bytes) -> Command:
    """Decode the body of a change.

    Raises
    ------
    ChangeInvalidError
        The body is malformed, or a number in it is out of range.
    """
    try:
        command = decode(_command_decoder, body)
        # The log of the control hosts has integers of 64 bits.
        msgspec.msgpack.encode(command)
    except (msgspec.DecodeError, OverflowError) as error:
        raise ChangeInvalidError((str(error),)) from error
    return command


@web.middleware
async def _error_middleware(
    request: web.Request,
    handler: Handler,
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (ControlError, BodyTooLargeError) as error:
        return _problem_response(error)


def _json_response(content: Any) -> web.Response:
    return web.Response(
        body=_encoder.encode(content),
        content_type='application/json',
    )


def _problem_response(
    error: ControlError | BodyTooLargeError,
) -> web.Response:
    body: dict[str, Any] = {
        'type': f'urn:lycheespar:{error.code}',
        'status': error.status,
        'code': error.code,
        'detail': error.detail,
    }
    match error:
        case ChangeInvalidError(problems=problems):
            body['problems'] = problems
        case ChangeConflictError(revision=revision):
            body['revision'] = revision
    return web.Response(
        status=error.status,
        body=_encoder.encode(body),
        content_type='application/problem+json',
    )
