"""Tests of what a node does with peers that send odd or no frames."""

from __future__ import annotations

import asyncio
import socket
import struct

from lycheespar.protocol import channel_limits, incoming_channel
from lycheespar.protocol.channel_limits import ChannelLimits
from lycheespar.protocol.framing import (
    MAX_FRAME_BYTES,
    encode_frame,
    read_frame,
)
from lycheespar.protocol.incoming_channel import IncomingChannel
from lycheespar.protocol.messages import (
    Accepted,
    AnswerHead,
    Hello,
    LoadRequest,
    Ping,
)
from lycheespar.protocol.pending import build_request
from lycheespar.protocol.version import PROTOCOL_VERSION
from lycheespar.tests.protocol.nodes import (
    CLIENT,
    Node,
    new_call,
    running_node,
)


def _header(length: int) -> bytes:
    return struct.pack('>IB', length, PROTOCOL_VERSION)


class _Peer:
    """Connection to a node that sends any bytes."""

    async def open(self, node: Node, sent: bytes = b'') -> Hello:
        connecting = socket.create_connection(node.server.address)
        connecting.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.reader, self.writer = await asyncio.open_connection(
            sock=connecting
        )
        self.writer.write(sent)
        async with asyncio.timeout(10):
            hello = await read_frame(self.reader)
        assert isinstance(hello, Hello)
        return hello

    async def wait_until_closed(self) -> None:
        """Wait until the node has closed the connection."""
        try:
            async with asyncio.timeout(10):
                while await self.reader.read(1024):
                    pass
        except ConnectionResetError:
            pass
        self.writer.close()


async def _check_call(node: Node) -> None:
    """Check that the node still runs calls of a proper peer."""
    peer = _Peer()
    hello = await peer.open(node, encode_frame(CLIENT))
    request = build_request(new_call(), hello.clock_ms, attach_only=False)
    peer.writer.write(encode_frame(request))
    async with asyncio.timeout(10):
        assert isinstance(await read_frame(peer.reader), Accepted)
        assert isinstance(await read_frame(peer.reader), AnswerHead)
    peer.writer.close()


async def test_a_request_without_a_hello_starts_no_call():
    async with running_node() as node:
        peer = _Peer()
        request = build_request(new_call(), 0, attach_only=False)
        await peer.open(node, encode_frame(request))
        await peer.wait_until_closed()
        assert not node.target.executions
        await _check_call(node)


async def test_a_first_frame_larger_than_a_hello_is_not_received():
    async with running_node() as node:
        peer = _Peer()
        await peer.open(node, _header(MAX_FRAME_BYTES))
        await peer.wait_until_closed()
        await _check_call(node)


async def test_a_peer_that_sends_no_hello_is_closed(monkeypatch):
    monkeypatch.setattr(incoming_channel, 'HELLO_TIMEOUT_S', 0.05)
    async with running_node() as node:
        peer = _Peer()
        await peer.open(node)
        await peer.wait_until_closed()
        await _check_call(node)


async def test_silent_connections_are_bounded(monkeypatch):
    monkeypatch.setattr(channel_limits, 'MAX_UNIDENTIFIED', 4)
    async with running_node() as node:
        peers = [_Peer() for _ in range(6)]
        for peer in peers:
            await peer.open(node)
        await peers[0].wait_until_closed()
        await peers[1].wait_until_closed()
        await _check_call(node)
        for open_peer in peers[2:]:
            open_peer.writer.close()


async def test_unfinished_frames_share_a_bound(monkeypatch):
    monkeypatch.setattr(
        channel_limits, 'MAX_UNFINISHED_BYTES', 2 * MAX_FRAME_BYTES
    )
    async with running_node() as node:
        peers = [_Peer() for _ in range(3)]
        for peer in peers:
            await peer.open(
                node, encode_frame(CLIENT) + _header(MAX_FRAME_BYTES)
            )
        await peers[0].wait_until_closed()
        await _check_call(node)
        for open_peer in peers[1:]:
            open_peer.writer.close()


async def test_messages_of_one_peer_do_not_keep_others_waiting():
    async with running_node() as node:
        peer = _Peer()
        await peer.open(node, encode_frame(CLIENT))
        turns = 0
        peer.writer.write(encode_frame(Ping(1)) * 1000)
        replies = asyncio.create_task(_read_replies(peer, 1000))
        while not replies.done():
            await asyncio.sleep(0)
            turns += 1
        assert turns > 1000 / incoming_channel.MESSAGES_PER_TURN
        peer.writer.close()


async def test_no_messages_are_read_of_a_peer_that_takes_no_replies(
    monkeypatch,
):
    monkeypatch.setattr(channel_limits, 'FAIR_UNSENT_BYTES', 64 * 1024)
    monkeypatch.setattr(channel_limits, 'MAX_UNSENT_BYTES', 128 * 1024)
    async with running_node() as node:
        peer = _Peer()
        await peer.open(node, encode_frame(CLIENT))
        (channel,) = node.server._channels
        peer.writer.write(encode_frame(LoadRequest(1)) * 600_000)
        await _wait_until_no_message_arrives(channel)
        assert channel.unsent_bytes < 256 * 1024
        await _check_call(node)
        peer.writer.transport.abort()


def test_channels_beyond_the_limit_close_the_most_silent_one():
    limits = ChannelLimits(max_channels=2)
    channels = [_Channel(last_message_at) for last_message_at in (2, 1, 3)]
    for channel in channels:
        limits.add(channel)
        limits.identify(channel)
    assert [channel.aborted for channel in channels] == [False, True, False]


class _Channel:
    """Channel that records whether it was closed."""

    def __init__(self, last_message_at: float) -> None:
        self.last_message_at = last_message_at
        self.unsent_bytes = 0
        self.aborted = False

    def abort(self) -> None:
        """Record the close."""
        self.aborted = True


async def _read_replies(peer: _Peer, count: int) -> None:
    for _ in range(count):
        await read_frame(peer.reader)


async def _wait_until_no_message_arrives(channel: IncomingChannel) -> None:
    last_message_at = 0.0
    while last_message_at != channel.last_message_at:
        last_message_at = channel.last_message_at
        await asyncio.sleep(1)
