"""UDP endpoint of gossip, with a budget of bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from lycheespar.membership.budget import HEADER_BYTES, ByteBudget
from lycheespar.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    Updates,
    decode,
    encode,
)
from lycheespar.membership.update_queue import UpdateQueue

HostPort = tuple[str, int]
# Size of a ping or an acknowledgement without updates.
_EMPTY_DATAGRAM_BYTES: Final = 120


class Endpoint(asyncio.DatagramProtocol):
    """UDP endpoint that sends and receives gossip datagrams.

    Parameters
    ----------
    address : HostPort
        Address to bind to.
    updates : UpdateQueue
        Source of the updates that are piggybacked on datagrams.
    receive : Callable
        Called with each datagram and its sender's address.
    """

    def __init__(
        self,
        address: HostPort,
        updates: UpdateQueue,
        receive: Callable[[Datagram, HostPort], None],
    ) -> None:
        """Create a closed endpoint; `open` binds its port."""
        self._address = address
        self._updates = updates
        self._receive = receive
        self._transport: Any = None
        self._budget = ByteBudget(0)
        self.received_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent, headers included."""
        return self._budget.sent_bytes

    async def open(self) -> None:
        """Bind the UDP port."""
        loop = asyncio.get_running_loop()
        self._budget = ByteBudget(loop.time())
        await loop.create_datagram_endpoint(
            lambda: self,
            self._address,
        )

    def close(self) -> None:
        """Close the UDP port."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self._transport = transport

    def datagram_received(self, payload: bytes, sender: HostPort) -> None:
        """Decode and deliver a datagram; a malformed one is dropped."""
        self.received_bytes += len(payload) + HEADER_BYTES
        datagram = decode(payload)
        if datagram is not None:
            self._receive(datagram, sender)

    def send(self, datagram: Datagram, address: HostPort) -> None:
        """Send a datagram; do nothing before the port is opened."""
        if self._transport is None:
            return
        payload = encode(datagram)
        self._budget.spend(payload)
        self._transport.sendto(payload, address)

    def has_budget(self) -> bool:
        """Return whether the budget allows datagrams other than probes."""
        return self._budget.available(asyncio.get_running_loop().time()) > 0

    def take_updates(self) -> Updates:
        """Dequeue the updates to piggyback on the next datagram."""
        available = self._budget.available(asyncio.get_running_loop().time())
        room = min(available, MAX_DATAGRAM_BYTES) - _EMPTY_DATAGRAM_BYTES
        return self._updates.take(room)
