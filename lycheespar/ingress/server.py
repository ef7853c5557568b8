"""HTTP server for callers."""

from __future__ import annotations

from typing import Final

from aiohttp import web
from loguru import logger

from lycheespar.call import Answer, Dispatch
from lycheespar.config.options import Address
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import InternalRequestError, RequestError
from lycheespar.ingress.answers import problem, respond
from lycheespar.ingress.body import CallerBody
from lycheespar.ingress.classify import classify
from lycheespar.ingress.connection import CallerServer, reset
from lycheespar.streams import close_stream

KEEPALIVE_S: Final = 75
# Time for which the rest of a refused body is read and dropped.
LINGER_S: Final = 2

log = logger.bind(part='ingress')


class IngressServer:
    """Accepts callers' requests and answers them.

    Parameters
    ----------
    configuration : ConfigurationView
        Services and their routes.
    dispatch : Dispatch
        Runs the calls.
    max_body_bytes : int
        Largest body of a request in bytes.
    """

    __slots__ = ('_configuration', '_dispatch', '_max_body_bytes', '_runner')

    def __init__(
        self,
        configuration: ConfigurationView,
        dispatch: Dispatch,
        max_body_bytes: int,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._configuration = configuration
        self._dispatch = dispatch
        self._max_body_bytes = max_body_bytes
        self._runner = web.ServerRunner(
            CallerServer(
                self._handle,
                handler_cancellation=True,
                auto_decompress=False,
                lingering_time=LINGER_S,
                keepalive_timeout=KEEPALIVE_S,
                access_log=None,
            ),
        )

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return int(self._runner.addresses[0][1])

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Close the port; requests under way are finished first."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            answer = await self._answer(request)
        except RequestError as error:
            return problem(error)
        except Exception as error:  # a bug must not cost the connection
            log.exception('A request failed.')
            return problem(InternalRequestError(str(error)))
        try:
            return await respond(request, answer)
        except RequestError as error:
            log.debug("An answer was cut: '{}'.", error.code)
            reset(request)
            raise ConnectionResetError from error
        finally:
            await close_stream(answer.body)

    async def _answer(self, request: web.BaseRequest) -> Answer:
        call = await classify(
            request,
            self._configuration,
            self._max_body_bytes,
        )
        try:
            return await self._dispatch.dispatch(call)
        except RequestError as error:
            body = call.body
            if isinstance(body, CallerBody) and body.error is not None:
                raise body.error from error
            raise
