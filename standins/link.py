"""TCP proxy that delays or silently discards the bytes of connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from standins.serving import serve_streams

READ_BYTES: Final = 65536

Delay = Callable[[str], float]


class _ConnectionPair:
    """A caller's connection and the proxy's connection to the server."""

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...]) -> None:
        self.writers = writers
        self.silent_up = False
        self.silent_down = False

    def close(self) -> None:
        for writer in self.writers:
            writer.close()


class Link:
    """Forwards the connections that it accepts to one server.

    Parameters
    ----------
    host, port
        Address of the server.
    delay_s : Delay
        Returns the delay in seconds of each direction, by the IP address of
        the caller.
    """

    def __init__(
        self,
        host: str,
        port: int,
        delay_s: Delay = lambda _: 0,
    ) -> None:
        """Create a link that is not listening; `start` opens its port."""
        self._host = host
        self._port = port
        self._delay_s = delay_s
        self._connection_pairs: set[_ConnectionPair] = set()
        self._server: asyncio.Server | None = None
        self._silence_new = False
        self.accepted = 0

    @property
    def address(self) -> tuple[str, int]:
        """Address on which the link listens."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[:2]

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Listen on an address; port 0 takes any free port."""
        self._server = await serve_streams(self._accept, host, port)

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for pair in tuple(self._connection_pairs):
            pair.close()

    def discard_open_traffic(
        self, *, up: bool = True, down: bool = True
    ) -> None:
        """Discard the bytes of open connections without closing them.

        Connections that are accepted later are forwarded as usual.

        Parameters
        ----------
        up : bool
            Whether bytes from the callers are discarded.
        down : bool
            Whether bytes to the callers are discarded.
        """
        for pair in self._connection_pairs:
            pair.silent_up = up
            pair.silent_down = down

    def discard_all_traffic(self) -> None:
        """Discard the bytes of all connections, open and new."""
        self.discard_open_traffic()
        self._silence_new = True

    def heal(self) -> None:
        """Forward new connections again; those open now stay silent."""
        self._silence_new = False

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.accepted += 1
        caller = writer.get_extra_info('peername')[0]
        try:
            upstream = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        pair = _ConnectionPair((writer, upstream[1]))
        pair.silent_up = pair.silent_down = self._silence_new
        self._connection_pairs.add(pair)
        delay_s = self._delay_s(caller)
        await asyncio.gather(
            self._forward(reader, upstream[1], delay_s, lambda: pair.silent_up),
            self._forward(
                upstream[0], writer, delay_s, lambda: pair.silent_down
            ),
        )
        self._connection_pairs.discard(pair)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        delay_s: float,
        silent: Callable[[], bool],
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while payload := await reader.read(READ_BYTES):
                if silent():
                    continue
                if delay_s:
                    loop.call_later(delay_s, writer.write, payload)
                else:
                    writer.write(payload)
                    await writer.drain()
        except OSError:
            return
        finally:
            if not silent():
                loop.call_later(delay_s, writer.close)
