"""Requests to the owner of quotas at the other end of a channel."""

from __future__ import annotations

import asyncio

from lycheespar.errors import ChannelClosedError
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.messages import QuotaRequest, QuotaReturn
from lycheespar.quotas.grant import QuotaGrant


class QuotaRequests:
    """Open requests for calls of a quota.

    Parameters
    ----------
    connection : FrameConnection
        The connection.
    """

    __slots__ = ('_connection', '_open', '_serial')

    def __init__(self, connection: FrameConnection) -> None:
        """Start without open requests."""
        self._connection = connection
        self._open: dict[int, asyncio.Future[QuotaGrant]] = {}
        self._serial = 0

    async def take(self, team: str) -> QuotaGrant:
        """Ask for a call of a team's quota; return its answer.

        Raises
        ------
        ChannelClosedError
            The channel was lost before the reply.
        """
        self._serial += 1
        serial = self._serial
        reply: asyncio.Future[QuotaGrant] = (
            asyncio.get_running_loop().create_future()
        )
        self._open[serial] = reply
        try:
            self._connection.send(QuotaRequest(serial, team))
            return await reply
        finally:
            self._open.pop(serial, None)

    def put_back(self, team: str) -> None:
        """Return a call to a team's quota."""
        self._connection.send(QuotaReturn(team))

    def resolve(self, serial: int, grant: QuotaGrant) -> None:
        """Resolve a request; a late reply has no effect."""
        reply = self._open.get(serial)
        if reply is not None and not reply.done():
            reply.set_result(grant)

    def fail_all(self) -> None:
        """Fail the open requests, as the channel is lost."""
        for reply in self._open.values():
            if not reply.done():
                reply.set_exception(ChannelClosedError())
