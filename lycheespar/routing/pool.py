"""Channels to other nodes, opened when first used."""

from __future__ import annotations

import asyncio

from lycheespar.membership.records import MemberRecord
from lycheespar.protocol.channel import Channel, open_channel
from lycheespar.protocol.messages import Hello


class ChannelPool:
    """Keeps one channel to each node in use.

    Parameters
    ----------
    hello : Hello
        Who this node is.
    source : str
        IP number of this node from which channels are opened.
    """

    __slots__ = ('_channels', '_hello', '_locks', '_source')

    def __init__(self, hello: Hello, source: str) -> None:
        """Start without channels."""
        self._hello = hello
        self._source = source
        self._channels: dict[str, Channel] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def get(self, record: MemberRecord) -> Channel:
        """Return a usable channel to a node.

        Raises
        ------
        ChannelConnectError
            The node can't be reached.
        """
        key = f'{record.node}#{record.incarnation}'
        channel = self._channels.get(key)
        if channel is not None and channel.usable:
            return channel
        async with self._locks.setdefault(key, asyncio.Lock()):
            channel = self._channels.get(key)
            if channel is None or not channel.usable:
                channel = await open_channel(
                    record.host,
                    record.inner_port,
                    self._hello,
                    self._source,
                )
                self._channels[key] = channel
            return channel

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()
