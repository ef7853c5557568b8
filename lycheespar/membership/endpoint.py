"""The UDP port of gossip: sends datagrams within the budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from lycheespar.membership.budget import HEADER_BYTES, ByteBudget
from lycheespar.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    News,
    decode,
    encode,
)
from lycheespar.membership.news import NewsQueue

HostPort = tuple[str, int]
# Bytes of a ping or an acknowledgement without news.
_BASE_BYTES: Final = 120


class Endpoint(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    Parameters
    ----------
    address : HostPort
        Address of the port.
    news : NewsQueue
        Source of what rides along.
    receive : Callable
        Takes each datagram and its sender's address.
    """

    def __init__(
        self,
        address: HostPort,
        news: NewsQueue,
        receive: Callable[[Datagram, HostPort], None],
    ) -> None:
        """Keep the parts; `open` opens the port."""
        self._address = address
        self._news = news
        self._receive = receive
        self._transport: Any = None
        self._budget = ByteBudget(0)
        self.received = 0

    @property
    def sent(self) -> int:
        """Bytes that were sent, headers included."""
        return self._budget.sent

    async def open(self) -> None:
        """Open the port."""
        loop = asyncio.get_running_loop()
        self._budget = ByteBudget(loop.time())
        await loop.create_datagram_endpoint(
            lambda: self,
            self._address,
        )

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, payload: bytes, sender: HostPort) -> None:
        """Decode a datagram; a malformed one is dropped."""
        self.received += len(payload) + HEADER_BYTES
        datagram = decode(payload)
        if datagram is not None:
            self._receive(datagram, sender)

    def send(self, datagram: Datagram, address: HostPort) -> None:
        """Send a datagram."""
        if self._transport is None:
            return
        payload = encode(datagram)
        self._budget.spend(payload)
        self._transport.sendto(payload, address)

    def has_room(self) -> bool:
        """Whether the budget allows more than probes."""
        return self._budget.left(asyncio.get_running_loop().time()) > 0

    def news(self) -> News:
        """Take what rides along with the next datagram."""
        left = self._budget.left(asyncio.get_running_loop().time())
        room = min(left, MAX_DATAGRAM_BYTES) - _BASE_BYTES
        return self._news.take(room)
