"""Callers' connections to one node, used in different ways."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from itertools import islice
from typing import cast

from demo.soak.answers import Answer, AnswerParser
from demo.soak.exchanges import CALLER_GAVE_UP, CALLER_LEFT, Exchange
from demo.soak.targets import answer_body
from standins.platform import RESPONSE_SEAL_HEADER

# Value of SO_LINGER: closing the socket resets the connection.
_RESET = struct.pack('ii', 1, 0)
_SEAL = RESPONSE_SEAL_HEADER.lower()


class CallerConnection(asyncio.Protocol):
    """A connection on which a caller sends requests and awaits answers.

    Attributes
    ----------
    sends_first : bool
        Whether the caller reads only once it has sent a whole request.
    usable : bool
        Whether a further request may be sent on it.
    idle_since : float
        Time in seconds since which no answer is awaited.
    """

    def __init__(self, pause_s: float = 0) -> None:
        """Create a connection that is not open yet.

        Parameters
        ----------
        pause_s : float
            Time in seconds for which the caller stops to read after the first
            bytes that it receives.
        """
        self._pause_s = pause_s
        # When the caller last went on to read; infinite while it does not.
        self._reads_since = 0.0
        self._loop = asyncio.get_running_loop()
        self._parser = AnswerParser()
        self._waiting: deque[tuple[Exchange, asyncio.Future[Answer | None]]]
        self._waiting = deque()
        self._transport: asyncio.Transport | None = None
        self.sends_first = False
        self.usable = True
        self.idle_since = self._loop.time()

    @property
    def waiting(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._waiting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast('asyncio.Transport', transport)

    def data_received(self, data: bytes) -> None:
        """Assign complete answers to the requests in their order."""
        if self._pause_s and self._transport is not None:
            self._transport.pause_reading()
            self._reads_since = float('inf')
            self._loop.call_later(self._pause_s, self._resume)
            self._pause_s = 0
        for answer in self._parser.feed(data):
            if not self._waiting:
                self.usable = False
                return
            if answer.headers.get('connection', '').lower() == 'close':
                self.usable = False
                for exchange, _ in islice(self._waiting, 1, None):
                    exchange.behind_close = True
            self._finish(answer, '')

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests that are not answered."""
        self.usable = False
        answer = None if exc else self._parser.end()
        if answer is not None and self._waiting:
            self._finish(answer, '')
        if self._waiting and self._waiting[0][0].odd_target:
            # A broken answer ends its connection, with what waits behind it.
            for exchange, _ in self._waiting:
                exchange.odd_target = True
        part = ' in an answer' if self._parser.partial else ''
        while self._waiting:
            self._finish(None, f'{type(exc).__name__ if exc else "EOF"}{part}')

    async def send(
        self, exchange: Exchange, head: bytes, pieces: list[bytes]
    ) -> Answer | None:
        """Send a request in pieces; return its answer, None if there is none.

        The connection is closed if there is none before the deadline.
        """
        future: asyncio.Future[Answer | None] = self._loop.create_future()
        self._waiting.append((exchange, future))
        try:
            async with asyncio.timeout_at(exchange.deadline):
                await self._write(exchange, head, pieces)
                return await future
        except TimeoutError:
            self._give_up()
            return None

    def send_raw(self, data: bytes) -> None:
        """Send bytes that belong to no request."""
        self.usable = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def leave(self, *, reset: bool) -> None:
        """End the connection, or its own direction, while answers are due."""
        self._end_waiting(CALLER_LEFT)
        if self._transport is None or self._transport.is_closing():
            return
        if reset:
            sock = self._transport.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._transport.abort()
        else:
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _give_up(self) -> None:
        """Close the connection, and so end all requests on it unanswered."""
        self._end_waiting(CALLER_GAVE_UP)
        self.close()

    def _end_waiting(self, ending: str) -> None:
        self.usable = False
        if self._waiting:
            self._waiting[0][0].next_since = max(
                self.idle_since, self._reads_since
            )
        for exchange, _ in self._waiting:
            exchange.ending = exchange.ending or ending
            exchange.ended_at = exchange.ended_at or self._loop.time()

    def _resume(self) -> None:
        self._reads_since = self._loop.time()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    async def _write(
        self, exchange: Exchange, head: bytes, pieces: list[bytes]
    ) -> None:
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if self.sends_first:
            self._transport.pause_reading()
            self._reads_since = float('inf')
        self._transport.write(head)
        for index, piece in enumerate(pieces):
            if index:
                await asyncio.sleep(0.03)
            if exchange.ended_at or self._transport.is_closing():
                return
            self._transport.write(piece)
        exchange.last_byte_at = self._loop.time()
        if self.sends_first:
            self._resume()

    def _finish(self, answer: Answer | None, ending: str) -> None:
        exchange, future = self._waiting.popleft()
        self.idle_since = self._loop.time()
        exchange.ended_at = exchange.ended_at or self._loop.time()
        if answer is None:
            exchange.ending = exchange.ending or ending
        else:
            exchange.status = answer.status
            seal = answer.headers.get(_SEAL, '')
            exchange.sealed = bool(seal)
            exchange.valid = _is_valid(exchange, answer, seal)
        if not future.done():
            future.set_result(answer)


def _is_valid(exchange: Exchange, answer: Answer, seal: str) -> bool:
    if answer.status != 200:
        return not seal or seal.endswith(exchange.attempt)
    expected = answer_body(exchange.attempt, exchange.size)
    return seal.endswith(f'.{exchange.attempt}') and answer.body == expected
