"""More connections than a port may have, and the memory they may use."""

from __future__ import annotations

import asyncio
import resource
from contextlib import AsyncExitStack

import pytest

from lycheespar.http_limits.limits import (
    MAX_CONNECTIONS,
    RequestLimits,
    default_connections,
)
from lycheespar.tests.http_limits.clients import (
    caller_of,
    new_server,
    open_connection,
    serving,
)
from lycheespar.tests.ingress.callers import GatedDispatch, gets

HEAD = b'GET /get/0 HTTP/1.1\r\nHost: desk.team\r\n'
FEW = RequestLimits(connections=8, held_bytes=400_000)


@pytest.mark.parametrize('sent', [b'', b'\r\n', HEAD])
async def test_silent_connections_lock_nobody_out(sent):
    """They used up the descriptors of the process."""
    dispatch = GatedDispatch()
    dispatch.release('/get/0')
    server = new_server(dispatch=dispatch, limits_of_port=FEW)
    async with serving(server), AsyncExitStack() as stack:
        for _ in range(50):
            caller = await stack.enter_async_context(caller_of(server))
            caller.writer.write(sent)
        last = await stack.enter_async_context(caller_of(server))
        last.writer.write(HEAD + b'\r\n')
        assert (await last.receive())[0] == 200
        assert len(server._server.connections) <= FEW.connections


async def test_no_request_in_progress_makes_room():
    """A request that was accepted is answered, however many others come."""
    dispatch = GatedDispatch()
    server = new_server(dispatch=dispatch, limits_of_port=FEW)
    async with serving(server), AsyncExitStack() as stack:
        busy = await stack.enter_async_context(caller_of(server))
        busy.send('GET /get/1')
        await dispatch.wait_for('/get/1')
        for _ in range(30):
            await stack.enter_async_context(caller_of(server))
        dispatch.release('/get/1')
        assert (await busy.receive())[0] == 200


async def test_a_connection_beyond_only_busy_ones_is_closed():
    """It would take descriptors that targets and channels need."""
    dispatch = GatedDispatch()
    paths = gets(FEW.connections)
    server = new_server(dispatch=dispatch, limits_of_port=FEW)
    async with serving(server), AsyncExitStack() as stack:
        busy = [
            await stack.enter_async_context(caller_of(server)) for _ in paths
        ]
        for caller, path in zip(busy, paths, strict=True):
            caller.send(f'GET {path}')
        await dispatch.wait_for(*paths)
        another = await stack.enter_async_context(caller_of(server))
        assert await another.is_closed()
        dispatch.release(*paths)
        assert {(await caller.receive())[0] for caller in busy} == {200}


@pytest.mark.parametrize(
    ('descriptors', 'expected'),
    [(4100, 2048), (1024, 512), (resource.RLIM_INFINITY, MAX_CONNECTIONS)],
)
def test_connections_leave_descriptors_for_the_rest(
    monkeypatch, descriptors, expected
):
    """Callers could take them all, and no target could be reached."""
    monkeypatch.setattr(
        resource, 'getrlimit', lambda _: (descriptors, descriptors)
    )
    assert default_connections() == expected


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
