"""Stops of a channel server beside peers that do not close."""

from __future__ import annotations

import asyncio
import socket

from lycheespar.protocol import connection
from lycheespar.protocol.framing import encode_frame
from lycheespar.tests.protocol.nodes import CLIENT, Node
from standins.cluster import wait_until

NEVER_S = 1_000_000


async def test_a_stop_does_not_wait_for_an_idle_peer_that_is_frozen(
    monkeypatch,
):
    """Each stop took a second longer, so that some outlasted their limit."""
    monkeypatch.setattr(connection, 'CLOSE_TIMEOUT_S', NEVER_S)
    node = Node()
    await node.server.start('127.0.0.1', 0)
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, node.server.address)
        await loop.sock_sendall(sock, encode_frame(CLIENT))
        await wait_until(lambda: bool(node.server._channels))
        await node.server.stop()


async def test_a_stop_ends_in_time_beside_a_peer_that_takes_no_bytes(
    monkeypatch,
):
    """Without a time limit the program was killed after its grace period."""
    monkeypatch.setattr(connection, 'CLOSE_TIMEOUT_S', NEVER_S)
    node = Node()
    await node.server.start('127.0.0.1', 0)
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await loop.sock_connect(sock, node.server.address)
        await loop.sock_sendall(sock, encode_frame(CLIENT))
        await wait_until(lambda: bool(node.server._channels))
        (channel,) = node.server._channels
        channel._connection._writer.write(bytes(8_000_000))
        await node.server.stop(loop.time() + 0.1)
