"""Calls over channels whose bytes wait behind others."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import repeat

from lycheespar.call import Answer, Call
from lycheespar.protocol.body import CHUNK_BYTES
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.remote_node import RemoteNode
from lycheespar.tests.protocol.nodes import CLIENT, LOAD, Node, new_call
from standins import slow_links_host
from standins.cluster import wait_until

BYTES_PER_S = 25_000
ANSWER_BYTES = 60_000
STALL_S = 2


async def _chunks(count: int) -> AsyncIterator[bytes]:
    for _ in range(count):
        yield bytes(CHUNK_BYTES)


async def _read_all(call: Call) -> Answer:
    call.started = True
    length = 0
    async for chunk in call.body:
        length += len(chunk)
    return Answer(200, (), str(length).encode(), LOAD)


def _limit_rate(connection: FrameConnection) -> None:
    sock = connection._writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, slow_links_host.SO_MAX_PACING_RATE, BYTES_PER_S
    )


@asynccontextmanager
async def _slow_channel(monkeypatch) -> AsyncIterator[tuple[Node, RemoteNode]]:
    """Run a node with a channel that is slow in both directions."""
    node = Node()
    with monkeypatch.context() as patches:
        patches.setattr(asyncio, 'start_server', slow_links_host.start_server)
        await node.server.start('127.0.0.1', 0)
    remote = RemoteNode(*node.server.address, CLIENT, '127.0.0.1')
    try:
        with monkeypatch.context() as patches:
            patches.setattr(
                asyncio, 'open_connection', slow_links_host.open_connection
            )
            channel = await remote._get_channel()
        for _ in repeat(None, slow_links_host.UNPACED_SEGMENTS):
            await channel.query_load()
        (incoming,) = node.server._channels
        _limit_rate(channel._connection)
        _limit_rate(incoming._connection)
        yield node, remote
    finally:
        await remote.close()
        await node.server.stop()


async def test_a_channel_whose_last_chunk_is_on_its_way_is_not_silent(
    monkeypatch,
):
    async with _slow_channel(monkeypatch) as (node, remote):
        monkeypatch.setattr(node.target, 'execute', _read_all)
        answer = await remote.execute(new_call(body=_chunks(1)))
        assert answer.body == str(CHUNK_BYTES).encode()


async def test_a_call_behind_others_is_not_sent_twice(monkeypatch):
    """Each copy fills the link further, until no call arrives in time."""
    async with _slow_channel(monkeypatch) as (node, remote):
        channel = await remote._get_channel()
        calls = [new_call(body=bytes(10_000)) for _ in range(4)]
        await asyncio.gather(*map(remote.execute, calls))
        assert await remote._get_channel() is channel
        assert node.target.executions['/book'] == len(calls)


async def test_a_node_that_stops_sends_its_last_answer_whole(monkeypatch):
    """Bytes in the buffers of a process are lost once it has ended."""
    async with _slow_channel(monkeypatch) as (node, remote):
        node.target.body = bytes(ANSWER_BYTES)
        channel = await remote._get_channel()
        task = asyncio.create_task(remote.execute(new_call()))
        (incoming,) = node.server._channels
        connection = incoming._connection
        await wait_until(lambda: connection.written_bytes > ANSWER_BYTES)
        asyncio.get_running_loop().call_later(0.2, channel.query_load)
        await node.server.stop()
        incoming.abort()
        assert len((await task).body) == ANSWER_BYTES


async def test_a_stall_does_not_cut_a_body_that_is_on_its_way(monkeypatch):
    """Only a body that is still written was given time to move on."""
    async with _slow_channel(monkeypatch) as (node, remote):
        monkeypatch.setattr(node.target, 'execute', _read_all)
        channel = await remote._get_channel()
        (incoming,) = node.server._channels
        transport = incoming._connection._writer.transport
        task = asyncio.create_task(remote.execute(new_call(body=_chunks(1))))
        connection = channel._connection
        await wait_until(lambda: connection.written_bytes > CHUNK_BYTES)
        transport.pause_reading()
        asyncio.get_running_loop().call_later(STALL_S, transport.resume_reading)
        assert (await task).body == str(CHUNK_BYTES).encode()
