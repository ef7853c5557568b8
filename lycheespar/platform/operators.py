"""Serves the platform's operator calls at a control host."""

from __future__ import annotations

import hashlib
import uuid
from typing import Final

from aiohttp import web

from lycheespar.bodies import BodyReader
from lycheespar.configuration.changes import (
    ANY_REVISION,
    Change,
    Command,
    ReturnDataCentre,
    TakeOutDataCentre,
)
from lycheespar.control.host import ControlHost
from lycheespar.errors import (
    BodyTooLargeError,
    ChangeConflictError,
    ChangeInvalidError,
    ControlError,
    RequestInvalidError,
    UnknownNameError,
)
from lycheespar.http_limits.limits import port_limits
from lycheespar.http_limits.server import BoundedServer
from lycheespar.platform.documents import (
    decode_patch,
    decode_put,
    decode_rollout,
    encode_plan,
)
from lycheespar.platform.rpc import is_rpc_call, rpc_response
from lycheespar.rollouts.order import StartRollout
from lycheespar.settings.options import Address
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import OperatorCallEnded

# Largest body of an operator call in bytes, enough for some ten thousand
# routes, and bytes of all bodies that are being received.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
SHARED_BODY_BYTES: Final = 16 * 1024 * 1024
# Recorded as the operator of all changes that come from the platform.
OPERATOR_NAME: Final = 'platform'


class OperatorServer:
    """Serves operator calls: reads and changes of the configuration.

    Parameters
    ----------
    host : ControlHost
        Control host on which the calls are served.
    """

    def __init__(self, host: ControlHost) -> None:
        """Create a stopped server; `start` opens the port."""
        self._control_group = host.group
        self._bodies = BodyReader(MAX_BODY_BYTES, SHARED_BODY_BYTES)
        server = BoundedServer(
            self._handle,
            port_limits(2 * MAX_BODY_BYTES),
            handler_cancellation=True,
        )
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
        if not is_rpc_call(request):
            return rpc_response(404, 'unknown call')
        call = request.query.get('call', '')
        try:
            return await self._handle_call(request, call)
        except ControlError as error:
            status = _http_status(error)
            events.write(OperatorCallEnded(call, status, error.detail, 0))
            return rpc_response(status, error.detail)
        except BodyTooLargeError as error:
            events.write(OperatorCallEnded(call, error.status, error.detail, 0))
            return rpc_response(error.status, error.detail)

    async def _handle_call(
        self,
        request: web.BaseRequest,
        call: str,
    ) -> web.Response:
        if call == 'config.get':
            state = await self._control_group.read()
            return web.Response(
                body=encode_plan(state.configuration.plan),
                content_type='application/json',
            )
        if call == 'rollouts.get':
            return await self._get_rollout(request.query.get('of', ''))
        body = await self._bodies.read(request)
        change = _decode_change(call, request.query.get('of', ''), body)
        command = Command(
            _change_id(call, body, change),
            ANY_REVISION,
            OPERATOR_NAME,
            change,
        )
        revision = await self._control_group.submit(command)
        events.write(OperatorCallEnded(call, 200, '', revision))
        return rpc_response(200)

    async def _get_rollout(self, service: str) -> web.Response:
        """Return the state of the latest roll-out of a service."""
        state = await self._control_group.read()
        rollout = state.configuration.rollouts.get(service)
        if rollout is None:
            raise UnknownNameError(f"service '{service}' had no roll-out")
        return web.json_response(
            {
                'state': rollout.state.value,
                'target_version': rollout.version,
            }
        )


def _decode_change(call: str, data_centre: str, body: bytes) -> Change:
    """Decode the change that a call requests.

    Parameters
    ----------
    call : str
        Name of the call.
    data_centre : str
        Data centre that the call concerns, if it concerns one.
    body : bytes
        Body of the call.

    Raises
    ------
    ChangeInvalidError
        The body is invalid.
    RequestInvalidError
        The name of the call is unknown.
    """
    match call:
        case 'config.put':
            return decode_put(body)
        case 'config.patch':
            return decode_patch(body)
        case 'rollouts.start':
            return decode_rollout(body)
        case 'evacuate.start':
            return TakeOutDataCentre(data_centre)
        case 'evacuate.end':
            return ReturnDataCentre(data_centre)
        case _:
            raise RequestInvalidError(f"unknown call '{call}'")


def _change_id(call: str, body: bytes, change: Change) -> str:
    """Return the id of a change.

    Copies of a call that changes the plan get the same id, so that a call that
    is sent again is applied only once. The other calls are idempotent, and the
    same one may be needed again later, so each copy gets an id of its own.
    """
    match change:
        case TakeOutDataCentre() | ReturnDataCentre() | StartRollout():
            return uuid.uuid4().hex
        case _:
            return hashlib.sha256(call.encode() + b'\n' + body).hexdigest()


def _http_status(error: ControlError) -> int:
    match error:
        case ChangeInvalidError():
            return 400
        case ChangeConflictError():
            return 412
        case RequestInvalidError() | UnknownNameError():
            return 404
        case _:
            return 503
