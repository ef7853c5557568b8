"""HTTP server for callers."""

from __future__ import annotations

from typing import Final

from aiohttp import web
from loguru import logger

from lycheespar.call import Dispatch
from lycheespar.config.options import Address
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import InternalRequestError, RequestError
from lycheespar.ingress.answers import problem, respond
from lycheespar.ingress.classify import classify

KEEPALIVE_S: Final = 75

log = logger.bind(part='ingress')


class IngressServer:
    """Accepts callers' requests and answers them.

    Parameters
    ----------
    configuration : ConfigurationView
        Services and their routes.
    dispatch : Dispatch
        Runs the calls.
    """

    __slots__ = ('_configuration', '_dispatch', '_runner')

    def __init__(
        self,
        configuration: ConfigurationView,
        dispatch: Dispatch,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._configuration = configuration
        self._dispatch = dispatch
        self._runner = web.ServerRunner(
            web.Server(
                self._handle,
                handler_cancellation=True,
                keepalive_timeout=KEEPALIVE_S,
                access_log=None,
            ),
        )

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Close the port; requests under way are finished first."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            call = await classify(request, self._configuration)
            answer = await self._dispatch.dispatch(call)
        except RequestError as error:
            return problem(error)
        except Exception as error:  # a bug must not cost the connection
            log.exception('A request failed.')
            return problem(InternalRequestError(str(error)))
        return await respond(request, answer)
