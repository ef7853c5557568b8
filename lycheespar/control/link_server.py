"""Serving side of the links to control hosts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, Generic, TypeVar

import msgspec

from lycheespar.background import start_background
from lycheespar.control.zmtp import (
    MAX_SERIAL_BYTES,
    MESSAGE_PARTS,
    LinkProtocolError,
    answer_command,
    encode_message,
    greet,
    read_frame,
)
from lycheespar.errors import ProtocolError
from lycheespar.protocol.channel_limits import ChannelLimits
from lycheespar.settings.options import Address
from lycheespar.telemetry.error_events import ChannelRejected
from lycheespar.telemetry.event_log import events

# Largest request, in bytes: the state of a group, sent to a new control host.
MAX_REQUEST_BYTES: Final = 12 * 1024 * 1024
# Time in seconds for the handshake of a link.
HANDSHAKE_TIMEOUT_S: Final = 5
# Checks in a row, and the time in seconds between two, in which nothing
# arrives before a link is closed. Clients send heartbeats more often.
SILENT_CHECKS: Final = 5
CHECK_INTERVAL_S: Final = 1
# Requests without a reply: those of one link that are always read, and those
# of all links.
FAIR_PENDING: Final = 16
MAX_PENDING: Final = 8192
# Frames that are handled before other links get their turn.
FRAMES_PER_TURN: Final = 16
READ_BUFFER_BYTES: Final = 16 * 1024

RequestType = TypeVar('RequestType')
ReplyType = TypeVar('ReplyType')


class _Link:
    """One accepted link, as its limits see it."""

    __slots__ = ('_writer', 'last_message_at', 'pending', 'silent_checks')

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.pending: set[asyncio.Task[None]] = set()
        self.silent_checks = 0
        self.last_message_at = 0.0
        self.record_arrival()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that the peer has not taken."""
        return self._writer.transport.get_write_buffer_size()

    def record_arrival(self) -> None:
        """Record that something arrived."""
        self.silent_checks = 0
        self.last_message_at = asyncio.get_running_loop().time()

    def send(self, encoded: bytes) -> None:
        """Buffer bytes for sending, unless the link is closing."""
        if encoded and not self._writer.is_closing():
            self._writer.write(encoded)

    async def drain(self) -> None:
        """Wait until the peer has taken replies."""
        await self._writer.drain()

    def abort(self) -> None:
        """Close the link at once."""
        self._writer.transport.abort()


class LinkServer(Generic[RequestType, ReplyType]):
    """Server that answers requests from any number of links.

    Parameters
    ----------
    request_type : Any
        Type, or union of types, of the requests.
    handle : Callable
        Coroutine function that returns the reply to a request.
    """

    def __init__(
        self,
        request_type: Any,
        handle: Callable[[RequestType], Awaitable[ReplyType]],
    ) -> None:
        """Create a stopped server; `start` opens the port."""
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[RequestType] = (
            msgspec.msgpack.Decoder(request_type)
        )
        self._handle = handle
        self._links: set[_Link] = set()
        self._limits = ChannelLimits()
        self._pending_count = 0
        self._server: asyncio.Server | None = None
        self._check: asyncio.Task[None] | None = None

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port, limit=READ_BUFFER_BYTES
        )
        self._check = start_background('silent links', self._close_silent)

    def close(self) -> None:
        """Close the port; pending requests get no reply."""
        if self._server is not None:
            self._server.close()
        if self._check is not None:
            self._check.cancel()
        for link in self._links:
            link.abort()
            for task in link.pending:
                task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = _Link(writer)
        self._links.add(link)
        self._limits.add(link)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await greet(reader, writer)
            self._limits.identify(link)
            await self._read_requests(link, reader)
        except ProtocolError as error:
            events.write(ChannelRejected(error.code))
        except (OSError, EOFError):
            return
        finally:
            link.abort()
            self._links.discard(link)
            self._limits.remove(link)

    async def _read_requests(
        self, link: _Link, reader: asyncio.StreamReader
    ) -> None:
        """Read requests and commands until the link ends."""
        begin = partial(self._limits.begin_frame, link)
        parts: list[bytes] = []
        for count in itertools.count(1):
            limit = MAX_REQUEST_BYTES if parts else MAX_SERIAL_BYTES
            frame = await read_frame(reader, limit, begin)
            self._limits.end_frame(link)
            link.record_arrival()
            if frame.is_command:
                link.send(answer_command(frame.content))
            else:
                parts.append(frame.content)
                if frame.has_more is (len(parts) == MESSAGE_PARTS):
                    raise LinkProtocolError('a message has other parts')
            if len(parts) == MESSAGE_PARTS:
                self._start_request(link, *parts)
                parts = []
            await self._give_way(link, count)

    async def _give_way(self, link: _Link, count: int) -> None:
        """Wait for the peer, for its requests, or for other links."""
        if self._limits.must_pause(link):
            await link.drain()
        while (
            len(link.pending) > FAIR_PENDING
            and self._pending_count > MAX_PENDING
        ):
            await asyncio.wait(
                link.pending, return_when=asyncio.FIRST_COMPLETED
            )
        if count % FRAMES_PER_TURN == 0:
            await asyncio.sleep(0)

    def _start_request(
        self, link: _Link, serial: bytes, payload: bytes
    ) -> None:
        """Start to handle a request; ignore one that can't be decoded."""
        try:
            request = self._decoder.decode(payload)
        except (msgspec.DecodeError, RecursionError) as error:
            events.write(ChannelRejected(str(error)))
            return
        task = asyncio.create_task(
            self._handle_and_reply(link, serial, request)
        )
        self._pending_count += 1
        link.pending.add(task)
        task.add_done_callback(partial(self._end_request, link))

    def _end_request(self, link: _Link, task: asyncio.Task[None]) -> None:
        self._pending_count -= 1
        link.pending.discard(task)

    async def _handle_and_reply(
        self, link: _Link, serial: bytes, request: RequestType
    ) -> None:
        reply = await self._handle(request)
        link.send(encode_message(serial, self._encoder.encode(reply)))

    async def _close_silent(self) -> None:
        """Close the links on which nothing has arrived in several checks."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for link in tuple(self._links):
                link.silent_checks += 1
                if link.silent_checks > SILENT_CHECKS:
                    link.abort()
