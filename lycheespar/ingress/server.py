"""HTTP server for callers."""

from __future__ import annotations

import asyncio
import socket
from typing import Final

from aiohttp import web
from loguru import logger

from lycheespar.call import Dispatch
from lycheespar.config.options import Address
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import InternalRequestError, RequestError
from lycheespar.ingress.answers import problem, respond
from lycheespar.ingress.classify import classify
from lycheespar.ingress.listener import open_listener, refuse_new

KEEPALIVE_S: Final = 75
POLL_S: Final = 0.02
# Time in which the last answers are written to their connections.
SHUTDOWN_TIMEOUT_S: Final = 1

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

    __slots__ = (
        '_configuration',
        '_dispatch',
        '_draining',
        '_listener',
        '_runner',
        '_server',
        '_under_way',
    )

    def __init__(
        self,
        configuration: ConfigurationView,
        dispatch: Dispatch,
    ) -> None:
        """Keep the parts; `start` opens the port."""
        self._configuration = configuration
        self._dispatch = dispatch
        self._draining = False
        self._under_way = 0
        self._listener: socket.socket | None = None
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            access_log=None,
        )
        self._runner = web.ServerRunner(
            self._server,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        self._listener = open_listener(address.host, address.port)
        await web.SockSite(self._runner, self._listener).start()

    def drain(self) -> None:
        """Tell callers with each answer to close their connection."""
        self._draining = True

    async def close_port(self) -> None:
        """Take no new connections; the open ones go on."""
        if self._listener is not None:
            await refuse_new(self._listener)
        for site in self._runner.sites:
            await site.stop()

    async def finish(self, linger_s: float) -> None:
        """Wait for the end of all requests.

        Parameters
        ----------
        linger_s : float
            Time in seconds for which idle connections stay open, for
            requests that are on their way.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + linger_s
        while self._server.connections and loop.time() < ends_at:
            await asyncio.sleep(POLL_S)
        self._server.pre_shutdown()
        while self._under_way:
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Close the port and all connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._under_way += 1
        try:
            response = await self._answer(request)
        finally:
            self._under_way -= 1
        if self._draining and not response.prepared:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            call = await classify(request, self._configuration)
            answer = await self._dispatch.dispatch(call)
        except RequestError as error:
            return problem(error)
        except Exception as error:  # a bug must not cost the connection
            log.exception('A request failed.')
            return problem(InternalRequestError(str(error)))
        return await respond(request, answer, closing=self._draining)
