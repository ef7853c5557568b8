"""Queries for the load of the target of the node at the other end."""

from __future__ import annotations

import asyncio

from lycheespar.call import Load
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import LoadRequest


class LoadQueries:
    """Queries the load of one node; concurrent queries share a request.

    Parameters
    ----------
    connection : FrameConnection
        The connection.
    """

    __slots__ = ('_connection', '_reply', '_serial')

    def __init__(self, connection: FrameConnection) -> None:
        """Start without an open query."""
        self._connection = connection
        self._reply: asyncio.Future[Load] | None = None
        self._serial = 0

    def query(self) -> asyncio.Future[Load]:
        """Return a future reply, which is cancelled if the channel is lost."""
        if self._reply is None or self._reply.done():
            self._reply = asyncio.get_running_loop().create_future()
            self._serial += 1
            self._connection.send(LoadRequest(self._serial))
        return self._reply

    def resolve(self, serial: int, load: Load) -> None:
        """Resolve the open query, unless the reply is to an earlier one."""
        reply = self._reply
        if serial == self._serial and reply and not reply.done():
            reply.set_result(load)

    def cancel(self) -> None:
        """Cancel the open query, as the channel is lost."""
        if self._reply is not None:
            self._reply.cancel()
