"""Event loop with a virtual clock and virtual UDP ports.

The clock advances only while all tasks wait, and then without delay. Minutes
of gossip thus take seconds, and runs with the same seed are identical.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

HostPort = tuple[str, int]
# Length of the IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28


class _Selector(selectors.SelectSelector):
    """Selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        assert timeout is not None, 'all tasks wait without a timer'
        self.now += max(timeout, 0)
        return super().select(0)


class Network:
    """Virtual network that delays and loses datagrams.

    Attributes
    ----------
    loss : float
        Share of the datagrams that are lost.
    delay_s : tuple[float, float]
        Minimum and maximum delay of a datagram, in seconds.
    blocked : Callable
        Returns whether all datagrams from one address to another are lost.
    """

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self._loop = loop
        self._random = random.Random(seed)
        self._ports: dict[HostPort, asyncio.DatagramProtocol] = {}
        self.loss = 0.0
        self.delay_s = (0.0002, 0.002)
        self.blocked: Callable[[HostPort, HostPort], bool] = lambda *_: False
        self.sent_bytes: Counter[HostPort] = Counter()
        self.received_bytes: Counter[HostPort] = Counter()

    def open(self, address: HostPort, port: asyncio.DatagramProtocol) -> None:
        """Start delivering datagrams for an address to a port."""
        self._ports[address] = port

    def close(self, address: HostPort) -> None:
        """Stop delivering datagrams for an address."""
        self._ports.pop(address, None)

    def send(self, payload: bytes, source: HostPort, target: HostPort) -> None:
        """Schedule the delivery of a datagram, unless it is lost."""
        self.sent_bytes[source] += len(payload) + HEADER_BYTES
        lost = self._random.random() < self.loss
        if lost or self.blocked(source, target):
            return
        delay_s = self._random.uniform(*self.delay_s)
        self._loop.call_later(delay_s, self._deliver, payload, source, target)

    def _deliver(
        self,
        payload: bytes,
        source: HostPort,
        target: HostPort,
    ) -> None:
        port = self._ports.get(target)
        if port is not None:
            self.received_bytes[target] += len(payload) + HEADER_BYTES
            port.datagram_received(payload, source)


class _Transport(asyncio.DatagramTransport):
    def __init__(self, network: Network, address: HostPort) -> None:
        super().__init__()
        self._network = network
        self._address = address

    def sendto(self, payload: bytes, addr: HostPort) -> None:
        self._network.send(payload, self._address, addr)

    def close(self) -> None:
        self._network.close(self._address)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock and a virtual network."""

    def __init__(self, seed: int) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self.network = Network(self, seed)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now

    async def create_datagram_endpoint(
        self,
        factory: Callable[[], Any],
        local_addr: HostPort,
    ) -> Any:
        """Open a port of the virtual network."""
        port = factory()
        transport = _Transport(self.network, local_addr)
        self.network.open(local_addr, port)
        port.connection_made(transport)
        return transport, port


def run_virtual(
    scenario: Callable[[VirtualLoop], Coroutine[Any, Any, Any]],
    seed: int = 1,
) -> Any:
    """Run a scenario in a new loop with its own clock and network."""
    loop = VirtualLoop(seed)
    try:
        return loop.run_until_complete(scenario(loop))
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True),
            )
        loop.close()


async def until(condition: Callable[[], Any], limit_s: float) -> float:
    """Wait until a condition holds; return the seconds waited."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    while not condition():
        assert loop.time() - began_at < limit_s, (
            'condition not met within the time limit'
        )
        await asyncio.sleep(0.05)
    return loop.time() - began_at
