"""Limits of the ports that are not for callers."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import pytest

from lycheespar.control.api.api import OperatorApi
from lycheespar.http_limits import server as server_module
from lycheespar.platform.heartbeats import HeartbeatServer
from lycheespar.platform.operators import OperatorServer
from lycheespar.platform.readiness import ReadinessServer
from lycheespar.settings.options import Address
from lycheespar.targets.announcement import LocalTarget
from lycheespar.targets.api import AnnouncementApi
from lycheespar.telemetry.exposition import MetricsServer
from lycheespar.telemetry.metrics import Metrics
from lycheespar.tests.departures import StoredDepartures

HEAD = b'POST /api/rpc?call=config.put HTTP/1.1\r\nHost: host\r\n'
SERVERS = {
    'readiness': lambda: ReadinessServer(lambda: True),
    'heartbeats': lambda: HeartbeatServer(
        LocalTarget(), '', 1, StoredDepartures()
    ),
    'operators': lambda: OperatorServer(Mock()),
    'announcements': lambda: AnnouncementApi(LocalTarget()),
    'metrics': lambda: MetricsServer(Metrics(None, 'node')),
    'operators of control hosts': lambda: OperatorApi(Mock()),
}


@pytest.fixture(params=SERVERS)
async def port(request):
    """Start one of the servers and return its port."""
    server = SERVERS[request.param]()
    await server.start(Address('127.0.0.1', 0))
    yield server._runner.addresses[0][1]
    await server.stop()


async def _exchange(port: int, sent: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    try:
        async with asyncio.timeout(10):
            return await reader.read()
    finally:
        writer.close()


async def test_a_head_over_the_limit_is_refused(port):
    """Only the port for callers had limits; others took 128 large fields."""
    field = b'X-Field: ' + b'a' * 5000 + b'\r\n'
    received = await _exchange(port, HEAD + field * 4 + b'\r\n')
    assert received.split(b' ')[1] == b'431'


async def test_a_head_that_is_never_complete_is_refused(port, monkeypatch):
    """It kept its connection until the end of the process."""
    monkeypatch.setattr(server_module, 'CHECK_INTERVAL_S', 0.02)
    limits = server_module.RequestLimits(head_timeout_s=0.1)
    monkeypatch.setattr(
        server_module.BoundedServer, 'limits', property(lambda _: limits)
    )
    assert (await _exchange(port, HEAD)).split(b' ')[1] == b'408'


async def test_bodies_of_orders_share_their_memory(monkeypatch):
    """Eight unfinished orders could take all memory of a control host."""
    server = OperatorServer(Mock())
    await server.start(Address('127.0.0.1', 0))
    port = server._runner.addresses[0][1]
    bounded = server._runner.server
    writers = []
    most = 0
    for _ in range(8):
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writers.append(writer)
        writer.write(HEAD + b'Content-Length: 20000000\r\n\r\n')
        for _ in range(19):
            writer.write(b'x' * 1_000_000)
            await asyncio.sleep(0.001)
        most = max(most, bounded.held_bytes)
    assert len(bounded.connections) < len(writers)
    assert most < 96 * 1024 * 1024
    for writer in writers:
        writer.close()
    await server.stop()
