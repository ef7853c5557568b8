"""Opens channels to other nodes."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.errors import ChannelConnectError, ProtocolError
from lycheespar.protocol.channel import Channel
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.framing import read_frame
from lycheespar.protocol.messages import Hello

# Time in seconds to connect and exchange the `Hello` messages.
CONNECT_TIMEOUT_S: Final = 1


async def open_channel(
    host: str,
    port: int,
    hello: Hello,
    source: str,
) -> Channel:
    """Open a channel to a node.

    Parameters
    ----------
    host, port
        Address of the node's channel server.
    hello : Hello
        First message of this node.
    source : str
        Local IP address from which the connection is made.

    Raises
    ------
    ChannelConnectError
        The node could not be reached within `CONNECT_TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host,
                port,
                local_addr=(source, 0),
            )
            return await _exchange_hellos(reader, writer, hello)
    except (OSError, EOFError, ProtocolError) as error:
        raise ChannelConnectError(
            f'could not open a channel to {host}:{port}',
        ) from error


async def _exchange_hellos(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    hello: Hello,
) -> Channel:
    """Exchange the `Hello` messages."""
    connection = FrameConnection(writer)
    try:
        connection.send(hello)
        peer = await read_frame(reader)
        if not isinstance(peer, Hello):
            raise ProtocolError('first message is not a Hello')
    except BaseException:
        connection.abort()
        raise
    return Channel(reader, connection, peer)
