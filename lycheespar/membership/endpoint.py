"""UDP endpoint of gossip, with a budget of bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Final

from loguru import logger

from lycheespar.membership.budget import HEADER_BYTES, ByteBudget
from lycheespar.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    TablePage,
    Updates,
    decode,
    encode,
)
from lycheespar.membership.update_queue import UpdateQueue

if TYPE_CHECKING:
    from lycheespar.settings.options import Address

HostPort = tuple[str, int]
# Size of a ping or an acknowledgement without updates.
_EMPTY_DATAGRAM_BYTES: Final = 120
# Bytes per second and burst of probes, acknowledgements and updates.
MAIN_BYTES_PER_S: Final = 3300
MAIN_BURST_BYTES: Final = 32_000
# Bytes per second and burst of the comparison of tables.
COMPARISON_BYTES_PER_S: Final = 1500
COMPARISON_BURST_BYTES: Final = 16_000
# Bytes per second and burst of whole tables.
TABLE_BYTES_PER_S: Final = 600
TABLE_BURST_BYTES: Final = 64_000

log = logger.bind(part='membership')


class Endpoint(asyncio.DatagramProtocol):
    """UDP endpoint that sends and receives gossip datagrams.

    Comparisons of tables and whole tables have budgets of their own, so that
    probes and updates leave room for them.

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
        self._budget = _main_budget(0)
        self._comparison_budget = _comparison_budget(0)
        self._table_budget = _table_budget(0)
        self.received_bytes = 0

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent, headers included."""
        return (
            self._budget.sent_bytes
            + self._comparison_budget.sent_bytes
            + self._table_budget.sent_bytes
        )

    async def open(self) -> None:
        """Bind the UDP port."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._budget = _main_budget(now)
        self._comparison_budget = _comparison_budget(now)
        self._table_budget = _table_budget(now)
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

    def error_received(self, exc: Exception) -> None:
        """Log that the system refused to send a datagram, such as a firewall.

        Members that get none suspect this one, and it learns nothing of them.
        """
        log.warning('A datagram of gossip was refused: {!r}.', exc)

    def send(self, datagram: Datagram, address: HostPort) -> None:
        """Send a datagram; do nothing before the port is opened."""
        self._send(datagram, address, self._budget)

    def send_for_comparison(
        self, datagram: Datagram, address: HostPort
    ) -> None:
        """Send a datagram of a comparison of tables."""
        self._send(datagram, address, self._comparison_budget)

    def send_page(self, page: TablePage, address: HostPort) -> None:
        """Send a part of a whole table."""
        self._send(page, address, self._table_budget)

    def has_table_budget(self) -> bool:
        """Return whether the budget allows to send a whole table."""
        now = asyncio.get_running_loop().time()
        return self._table_budget.available(now) > 0

    def has_comparison_budget(self) -> bool:
        """Return whether the budget allows replies to comparisons."""
        now = asyncio.get_running_loop().time()
        return self._comparison_budget.available(now) > 0

    def has_budget(self) -> bool:
        """Return whether the budget allows datagrams other than probes."""
        return self._budget.available(asyncio.get_running_loop().time()) > 0

    def take_updates(self) -> Updates:
        """Dequeue the updates to piggyback on the next datagram."""
        available = self._budget.available(asyncio.get_running_loop().time())
        room = min(available, MAX_DATAGRAM_BYTES) - _EMPTY_DATAGRAM_BYTES
        return self._updates.take(room)

    def _send(
        self, datagram: Datagram, address: HostPort, budget: ByteBudget
    ) -> None:
        if self._transport is None:
            return
        payload = encode(datagram)
        budget.spend(payload)
        self._transport.sendto(payload, address)


def _main_budget(now: float) -> ByteBudget:
    """Return the budget of probes, acknowledgements and updates.

    Probes and acknowledgements are sent at any time. Many of them at once block
    updates for a second at most.
    """
    return ByteBudget(
        now,
        MAIN_BYTES_PER_S,
        MAIN_BURST_BYTES,
        max_debt_bytes=MAIN_BYTES_PER_S,
    )


def _comparison_budget(now: float) -> ByteBudget:
    return ByteBudget(now, COMPARISON_BYTES_PER_S, COMPARISON_BURST_BYTES)


def _table_budget(now: float) -> ByteBudget:
    return ByteBudget(now, TABLE_BYTES_PER_S, TABLE_BURST_BYTES)


def host_ports(addresses: Iterable[Address]) -> tuple[HostPort, ...]:
    """Return addresses in the form that sockets take."""
    return tuple((address.host, address.port) for address in addresses)
