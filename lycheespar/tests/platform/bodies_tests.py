"""Tests of the bounds on bodies that are being received."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from lycheespar.bodies import SMALL_BODY_BYTES, BodyReader
from lycheespar.errors import BodyTooLargeError
from lycheespar.platform import heartbeats, operators
from lycheespar.platform.heartbeats import HeartbeatServer
from lycheespar.platform.operators import OperatorServer
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import LocalTarget
from lycheespar.tests.departures import StoredDepartures

LARGE = 4 * SMALL_BODY_BYTES
# One large body that is complete fits beside one that is not.
SHARED = 2 * LARGE


class _Server:
    """Server that answers with the length of the body."""

    def __init__(self) -> None:
        self.bodies = BodyReader(LARGE, SHARED)
        self._runner = web.ServerRunner(web.Server(self._handle))

    async def start(self) -> int:
        """Listen on a port and return it."""
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        try:
            body = await self.bodies.read(request)
        except BodyTooLargeError as error:
            return web.Response(status=error.status)
        return web.Response(text=str(len(body)))


@pytest.fixture
async def server():
    """Run a server with small bounds."""
    created = _Server()
    created.port = await created.start()
    yield created
    await created.stop()


async def _post(port: int, body: bytes) -> tuple[int, str]:
    async with aiohttp.ClientSession() as session:
        url = f'http://127.0.0.1:{port}/'
        async with session.post(url, data=body) as answer:
            return answer.status, await answer.text()


async def _begin_body(port: int, size: int) -> asyncio.StreamReader:
    """Send the begin of a body and nothing more."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    lines = (
        'POST /api/rpc?call=config.put HTTP/1.1',
        'Host: a',
        f'Content-Length: {2**30}',
    )
    writer.write('\r\n'.join((*lines, '', '')).encode() + b' ' * size)
    await writer.drain()
    reader.writer = writer
    return reader


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(10):
            await reader.read()
    except ConnectionResetError:
        pass
    reader.writer.close()
    return True


async def test_a_body_of_the_largest_size_is_received(server):
    assert await _post(server.port, b'x' * LARGE) == (200, str(LARGE))


async def test_a_larger_body_is_refused_and_not_kept(server):
    status, _ = await _post(server.port, b'x' * (LARGE + 1))
    assert status == 413
    assert server.bodies._held_bytes == 0


async def test_unfinished_bodies_share_a_bound_and_others_are_received(server):
    unfinished = [
        await _begin_body(server.port, LARGE - 1)
        for _ in range(SHARED // LARGE + 2)
    ]
    assert await _is_closed(unfinished[0])
    assert server.bodies._held_bytes <= SHARED
    assert await _post(server.port, b'x' * LARGE) == (200, str(LARGE))
    assert await _post(server.port, b'small') == (200, '5')
    for reader in unfinished[1:]:
        reader.writer.close()


async def test_unfinished_heartbeats_share_a_bound(monkeypatch):
    monkeypatch.setattr(heartbeats, 'SHARED_BODY_BYTES', SHARED)
    await _check_shared(
        HeartbeatServer(LocalTarget(), '', 1, StoredDepartures())
    )


async def test_unfinished_calls_of_operators_share_a_bound(monkeypatch):
    monkeypatch.setattr(operators, 'SHARED_BODY_BYTES', SHARED)

    class _Host:
        group = None

    await _check_shared(OperatorServer(_Host()))


async def _check_shared(server: HeartbeatServer | OperatorServer) -> None:
    """Check that the first of many unfinished bodies is given up."""
    await server.start(Address('127.0.0.1', 0))
    port = server._runner.addresses[0][1]
    unfinished = [await _begin_body(port, LARGE) for _ in range(4)]
    assert await _is_closed(unfinished[0])
    for reader in unfinished[1:]:
        reader.writer.close()
    await server.stop()
