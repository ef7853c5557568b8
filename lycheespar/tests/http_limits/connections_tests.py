"""The memory that all connections of a port may use."""

from __future__ import annotations

import asyncio

from lycheespar.http_limits.limits import RequestLimits
from lycheespar.tests.http_limits.clients import (
    caller_of,
    new_server,
    open_connection,
    serving,
)
from lycheespar.tests.ingress.callers import GatedDispatch

HEAD = b'GET /get/0 HTTP/1.1\r\nHost: desk.team\r\n'
FEW = RequestLimits(held_bytes=400_000)


async def test_heads_that_wait_for_their_turn_are_few():
    """32 of them were kept on each connection, whatever their size."""
    connection = open_connection(new_server())
    head = HEAD + b'X: ' + b'a' * 15_000 + b'\r\n\r\n'
    for _ in range(8):
        connection.data_received(head * 10)
    waiting = sum(
        len(field)
        for message, _ in connection._messages
        for pair in message.raw_headers
        for field in pair
    )
    assert waiting < 160_000
    assert not connection.transport.reading
    connection.connection_lost(None)
    await asyncio.sleep(0)


async def test_unfinished_heads_use_no_more_than_their_memory():
    """Each of many connections could keep as much as the limit allows."""
    server = new_server(limits_of_port=FEW)
    connections = [open_connection(server) for _ in range(6)]
    await asyncio.sleep(0)
    for connection in connections * 4:
        if connection.transport is not None:
            connection.data_received(HEAD[:10] + b'a' * 6000)
    assert server._server.held_bytes <= FEW.held_bytes
    assert len([found for found in connections if found.transport]) > 1
    for connection in connections:
        connection.connection_lost(None)
    await asyncio.sleep(0)
    assert not server._server.held_bytes


async def test_a_large_head_is_refused_while_memory_is_used_up():
    """A head of thousands of fields needs a hundred times its length."""
    server = new_server(limits_of_port=FEW)
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    async with serving(server), caller_of(server) as caller:
        caller.writer.write(HEAD + b'a:b\r\n' * 3000 + b'\r\n')
        status, _, body = await caller.receive()
        assert (status, b'requests_over_memory' in body) == (503, True)
        assert b'not_run' in body
