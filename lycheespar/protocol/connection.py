"""What both sides of a channel share: framed writes and streamed bodies."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Final

from lycheespar.errors import LycheesparError
from lycheespar.protocol.body import BodyReceiver, SendWindow, split
from lycheespar.protocol.framing import encode_frame
from lycheespar.protocol.messages import (
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Message,
)

CLOSE_TIMEOUT_S: Final = 1


class FrameConnection:
    """A TCP connection that carries frames and streamed bodies.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Writing end of the connection.
    """

    __slots__ = ('_receivers', '_windows', '_writer')

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Wrap the connection and switch Nagle's algorithm off."""
        self._writer = writer
        self._receivers: dict[bytes, BodyReceiver] = {}
        self._windows: dict[bytes, SendWindow] = {}
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self._writer.is_closing()

    def send(self, message: Message) -> None:
        """Send one message without waiting."""
        if not self._writer.is_closing():
            self._writer.write(encode_frame(message))

    async def drain(self) -> None:
        """Wait until the connection's buffer has room."""
        await self._writer.drain()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def wait_closed(self) -> None:
        """Wait for a bounded time until the connection is closed."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._writer.wait_closed()
        except OSError:
            return

    def open_receiver(self, call_id: bytes) -> BodyReceiver:
        """Start to receive the streamed body of a call."""
        receiver = BodyReceiver(
            lambda size: self.send(BodyCredit(call_id, size)),
        )
        self._receivers[call_id] = receiver
        return receiver

    async def send_body(
        self,
        call_id: bytes,
        body: AsyncIterator[bytes],
    ) -> None:
        """Stream a body within the window of its receiver.

        A body that fails is ended with the code of its error.
        """
        window = SendWindow()
        self._windows[call_id] = window
        length = 0
        try:
            async for chunk in body:
                for part in split(chunk):
                    await window.take(len(part))
                    self.send(BodyChunk(call_id, part))
                    length += len(part)
                await self.drain()
        except LycheesparError as error:
            self.send(BodyEnd(call_id, length, error.code))
        else:
            self.send(BodyEnd(call_id, length, ''))
        finally:
            self._windows.pop(call_id, None)

    def take_body_message(
        self,
        message: BodyChunk | BodyEnd | BodyCredit,
        error: LycheesparError,
    ) -> None:
        """Handle a message about a streamed body.

        Parameters
        ----------
        message : BodyChunk | BodyEnd | BodyCredit
            The message.
        error : LycheesparError
            Given to the consumer if the message says that the body was cut.
        """
        match message:
            case BodyChunk(call_id, payload):
                receiver = self._receivers.get(call_id)
                if receiver is not None:
                    receiver.feed(payload)
            case BodyEnd(call_id, _, code):
                receiver = self._receivers.pop(call_id, None)
                if receiver is None:
                    return
                if code:
                    receiver.fail(error)
                else:
                    receiver.finish()
            case BodyCredit(call_id, credit):
                window = self._windows.get(call_id)
                if window is not None:
                    window.grant(credit)

    def forget(self, call_id: bytes) -> None:
        """Drop the body receiver of a call whose body is unwanted."""
        self._receivers.pop(call_id, None)

    def fail_bodies(self, error: LycheesparError) -> None:
        """End all bodies that are being received with an error."""
        for receiver in self._receivers.values():
            receiver.fail(error)
        self._receivers.clear()
        for window in self._windows.values():
            window.grant(1)
