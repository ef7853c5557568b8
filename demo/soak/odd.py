"""Callers of a soak that send odd bytes, reset, or close while they wait."""

from __future__ import annotations

import asyncio
import random
from typing import Final

from demo.soak.answers import Answer
from demo.soak.callers import CallerConnection
from demo.soak.load import CONNECT_TIMEOUT_S, MS_PER_S, Load
from standins.platform import Machine

# Seconds between two odd callers, and for which one stays before it leaves.
MAX_INTERVAL_S: Final = 0.1
MAX_STAY_S: Final = 0.15
MAX_REQUESTS: Final = 5
# Further requests behind an upgrade, and the pause in seconds before each.
MAX_FURTHER_REQUESTS: Final = 20
MAX_PAUSE_S: Final = 0.02
UPGRADE: Final = ('Connection: Upgrade', 'Upgrade: websocket')
# What a node can't read as a request.
ODD_BYTES: Final = (
    b'nonsense\r\n\r\n',
    b'GET http://[::1 HTTP/1.1\r\nHost: a\r\n\r\n',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    b'GET / HTTP/1.1\r\nHost: \xff\x00\r\n\r\n',
    b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    b'CONNECT a:99999 HTTP/1.1\r\nHost: a\r\n\r\n',
    b'GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + bytes(200),
    b'GET /' + b'a' * 9000,
)


class _Exchanges:
    """Requests of one odd caller, on one connection."""

    def __init__(
        self,
        load: Load,
        draw: random.Random,
        connection: CallerConnection,
        machine: Machine,
    ) -> None:
        self._load = load
        self._random = draw
        self._connection = connection
        self._machine = machine
        self.sends: list[asyncio.Task[Answer | None]] = []

    def begin(self, headers: tuple[str, ...] = ()) -> None:
        """Send a request, with the deadline of its class."""
        plan = self._random.choice(self._load.idempotent_plans)
        now = asyncio.get_running_loop().time()
        send = self._load.send_on(
            self._connection,
            self._machine,
            plan,
            now + plan.deadline_ms / MS_PER_S,
            'odd',
            headers,
        )
        self.sends.append(asyncio.ensure_future(send))


class OddCallers:
    """Sends whole requests on connections that end in odd ways.

    Parameters
    ----------
    load : Load
        Opens the connections and records the requests.
    seed : int
        Seed of the random numbers.
    """

    def __init__(self, load: Load, seed: int) -> None:
        """Prepare the callers; `run` sends their requests."""
        self._load = load
        self._random = random.Random(f'odd {seed}')

    async def run(self, seconds: float) -> None:
        """Start odd callers for a time, then await the last answers."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        endings = (self._odd_bytes, self._upgrade, self._reset, self._half)
        async with asyncio.TaskGroup() as callers:
            while loop.time() < ends_at:
                callers.create_task(self._call(self._random.choice(endings)))
                await asyncio.sleep(self._random.uniform(0, MAX_INTERVAL_S))

    async def _call(self, ending: object) -> None:
        machine = self._load.choose_machine()
        connected_by = asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S
        connection = await self._load.open(machine, connected_by)
        if connection is None:
            return
        exchanges = _Exchanges(self._load, self._random, connection, machine)
        exchanges.begin(UPGRADE if ending == self._upgrade else ())
        for _ in range(self._random.randrange(MAX_REQUESTS)):
            exchanges.begin()
        # Lets all requests be written before what comes behind them.
        await asyncio.sleep(0)
        await ending(connection, exchanges)  # type: ignore[operator]
        await asyncio.gather(*exchanges.sends)
        connection.close()

    async def _odd_bytes(
        self, connection: CallerConnection, _: _Exchanges
    ) -> None:
        """Send bytes that are no request, in the same segment."""
        connection.send_raw(self._random.choice(ODD_BYTES))

    async def _upgrade(
        self, connection: CallerConnection, exchanges: _Exchanges
    ) -> None:
        """Send further requests behind one that asks for another protocol."""
        for _ in range(self._random.randrange(MAX_FURTHER_REQUESTS)):
            await asyncio.sleep(self._random.uniform(0, MAX_PAUSE_S))
            if not connection.usable:
                return
            exchanges.begin()

    async def _reset(self, connection: CallerConnection, _: _Exchanges) -> None:
        await asyncio.sleep(self._random.uniform(0, MAX_STAY_S))
        connection.leave(reset=True)

    async def _half(self, connection: CallerConnection, _: _Exchanges) -> None:
        """Close the sending direction, which nodes take as leaving."""
        await asyncio.sleep(self._random.uniform(0, MAX_STAY_S))
        connection.leave(reset=False)
