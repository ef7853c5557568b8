"""Answers the platform's readiness checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from aiohttp import web

from lycheespar.http_limits.limits import port_limits
from lycheespar.http_limits.server import BoundedServer
from lycheespar.settings.options import Address

READY_PATH: Final = '/api/ready'


class ReadinessServer:
    """Answers readiness checks: 200 while the node is ready, else 503.

    Parameters
    ----------
    is_ready : Callable[[], bool]
        Returns whether callers may use the node now.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Create a stopped server; `start` opens the port."""
        self._is_ready = is_ready
        self._runner = web.ServerRunner(
            BoundedServer(self._handle, port_limits())
        )

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
