"""HTTP API that receives the announcements of the local target."""

from __future__ import annotations

from typing import Final

import msgspec
from aiohttp import web
from loguru import logger

from lycheespar.bodies import BodyReader
from lycheespar.decoding import decode
from lycheespar.errors import BodyTooLargeError
from lycheespar.http_limits.limits import port_limits
from lycheespar.http_limits.server import BoundedServer
from lycheespar.settings.options import Address, InvalidOptionError
from lycheespar.targets.announcement import (
    Announcement,
    LocalTarget,
    parse_target_address,
)

ANNOUNCE_PATH = '/v1/announce'
# Largest body of an announcement, and all bodies that are being received, in
# bytes.
MAX_BODY_BYTES: Final = 1024 * 1024
SHARED_BODY_BYTES: Final = 4 * 1024 * 1024

log = logger.bind(part='targets')

_decoder = msgspec.json.Decoder(Announcement)
_encoder = msgspec.json.Encoder()


class AnnouncementApi:
    """Serves ``POST /v1/announce``.

    Parameters
    ----------
    target : LocalTarget
        Receives each valid announcement.
    """

    __slots__ = ('_bodies', '_runner', '_target')

    def __init__(self, target: LocalTarget) -> None:
        """Create a stopped server; `start` opens the port."""
        self._target = target
        self._bodies = BodyReader(MAX_BODY_BYTES, SHARED_BODY_BYTES)
        self._runner = web.ServerRunner(
            BoundedServer(self._handle, port_limits())
        )

    async def start(self, address: Address) -> None:
        """Open the port."""
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if (request.method, request.path) != ('POST', ANNOUNCE_PATH):
            return _problem(404, 'not_found', 'POST /v1/announce')
        try:
            body = await self._bodies.read(request)
            announcement = decode(_decoder, body)
            parse_target_address(announcement.address)
        except BodyTooLargeError as error:
            return _problem(error.status, error.code, error.detail)
        except (msgspec.DecodeError, InvalidOptionError) as error:
            return _problem(422, 'announcement_invalid', str(error))
        if announcement.lease_s <= 0:
            return _problem(
                422, 'announcement_invalid', 'lease_s must be above 0'
            )
        self._target.announce(announcement)
        return web.Response(
            body=_encoder.encode({'lease_s': announcement.lease_s}),
            content_type='application/json',
        )


def _problem(status: int, code: str, detail: str) -> web.Response:
    body = {'status': status, 'code': code, 'detail': detail}
    return web.Response(
        status=status,
        body=_encoder.encode(body),
        content_type='application/problem+json',
    )
