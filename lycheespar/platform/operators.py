"""The platform's calls for operators, at a control host."""

from __future__ import annotations

import hashlib
import uuid
from typing import Final

from aiohttp import web

from lycheespar.config.options import Address
from lycheespar.configuration.changes import (
    ANY_REVISION,
    Change,
    Command,
    ReturnDataCentre,
    TakeOutDataCentre,
)
from lycheespar.control.host import ControlHost
from lycheespar.errors import (
    ChangeConflictError,
    ChangeInvalidError,
    ControlError,
    RequestInvalidError,
)
from lycheespar.platform.calls import is_call, reply
from lycheespar.platform.documents import patch_from, plan_body, put_from
from lycheespar.telemetry.events import OrderEnded, events

# Largest body of an order in bytes: some ten thousand routes.
MAX_ORDER_BYTES: Final = 32 * 1024 * 1024
OPERATOR: Final = 'platform'


class OperatorServer:
    """Takes the operator's calls.

    Parameters
    ----------
    host : ControlHost
        This control host.
    """

    def __init__(self, host: ControlHost) -> None:
        """Keep the host; `start` opens the port."""
        self._group = host.group
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server)

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if not is_call(request):
            return reply(404, 'there is no such call')
        call = request.query.get('call', '')
        try:
            return await self._answer(request, call)
        except ControlError as error:
            status = _status_of(error)
            events.write(OrderEnded(call, status, error.detail, 0))
            return reply(status, error.detail)

    async def _answer(
        self,
        request: web.BaseRequest,
        call: str,
    ) -> web.Response:
        if call == 'config.get':
            state = await self._group.read()
            return web.Response(
                body=plan_body(state.configuration.plan),
                content_type='application/json',
            )
        body = await request.content.read(MAX_ORDER_BYTES)
        while not request.content.at_eof() and len(body) < MAX_ORDER_BYTES:
            body += await request.content.read(MAX_ORDER_BYTES)
        change = _change(call, request.query.get('of', ''), body)
        command = Command(
            _change_id(call, body, change),
            ANY_REVISION,
            OPERATOR,
            change,
        )
        revision = await self._group.submit(command)
        events.write(OrderEnded(call, 200, '', revision))
        return reply(200)


def _change(call: str, subject: str, body: bytes) -> Change:
    """Return the change that a call orders.

    Raises
    ------
    ChangeInvalidError
        The body can't be read.
    RequestInvalidError
        There is no such call.
    """
    match call:
        case 'config.put':
            return put_from(body)
        case 'config.patch':
            return patch_from(body)
        case 'evacuate.start':
            return TakeOutDataCentre(subject)
        case 'evacuate.end':
            return ReturnDataCentre(subject)
        case _:
            raise RequestInvalidError(f"there is no call '{call}'")


def _change_id(call: str, body: bytes, change: Change) -> str:
    """Return an id that is the same for each copy of an order.

    Taking a data centre out, or back, may be ordered again later, and has the
    same effect however often it is applied: each copy counts for itself.
    """
    match change:
        case TakeOutDataCentre() | ReturnDataCentre():
            return uuid.uuid4().hex
        case _:
            return hashlib.sha256(call.encode() + b'\n' + body).hexdigest()


def _status_of(error: ControlError) -> int:
    match error:
        case ChangeInvalidError():
            return 400
        case ChangeConflictError():
            return 412
        case RequestInvalidError():
            return 404
        case _:
            return 503
