"""What both sides of a channel share: framed writes and streamed bodies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from lycheespar.errors import BodySequenceError, LycheesparError
from lycheespar.protocol.body import BodyReceiver, SendWindow, split
from lycheespar.protocol.framing import encode_frame
from lycheespar.protocol.messages import (
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Message,
)
from lycheespar.protocol.sockets import tune_socket
from lycheespar.streams import close_stream

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
        """Wrap the connection and set its socket's options."""
        self._writer = writer
        self._receivers: dict[bytes, BodyReceiver] = {}
        self._windows: dict[bytes, SendWindow] = {}
        tune_socket(writer.get_extra_info('socket'))

    @property
    def closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self._writer.is_closing()

    @property
    def sends_bodies(self) -> bool:
        """Whether a streamed body is being sent."""
        return bool(self._windows)

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

    def abort(self) -> None:
        """Close the connection at once; what is buffered is not sent."""
        self._writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait for a bounded time until the connection is closed."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._writer.wait_closed()
        except OSError:
            return

    def open_receiver(
        self,
        call_id: bytes,
        *,
        on_demand: bool = False,
    ) -> BodyReceiver:
        """Start to receive the streamed body of a call.

        Parameters
        ----------
        call_id : bytes
            Id of the call.
        on_demand : bool
            Whether the sender waits until the body is read.
        """
        receiver = BodyReceiver(
            lambda size: self.send(BodyCredit(call_id, size)),
            on_demand=on_demand,
        )
        self._receivers[call_id] = receiver
        return receiver

    async def send_body(
        self,
        call_id: bytes,
        body: AsyncIterator[bytes],
        *,
        on_demand: bool = False,
    ) -> None:
        """Stream a body within the window of its receiver.

        A body that fails is ended with the code of its error.

        Parameters
        ----------
        call_id : bytes
            Id of the call.
        body : AsyncIterator[bytes]
            The body.
        on_demand : bool
            Whether it stays unread until the receiver asks for it.
        """
        window = SendWindow(0) if on_demand else SendWindow()
        self._windows[call_id] = window
        length = 0
        try:
            await window.opened()
            async for chunk in body:
                for part in split(chunk):
                    await window.take(len(part))
                    self.send(BodyChunk(call_id, length, part))
                    length += len(part)
                await self.drain()
        except LycheesparError as error:
            self.send(BodyEnd(call_id, length, error.code))
        else:
            self.send(BodyEnd(call_id, length, ''))
        finally:
            self._windows.pop(call_id, None)
            await close_stream(body)

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
            case BodyCredit(call_id, credit):
                window = self._windows.get(call_id)
                if window is not None:
                    window.grant(credit)
            case _:
                receiver = self._receivers.get(message.call_id)
                if receiver is not None:
                    self._feed(receiver, message, error)

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

    def _feed(
        self,
        receiver: BodyReceiver,
        message: BodyChunk | BodyEnd,
        error: LycheesparError,
    ) -> None:
        """Hand a message on; one that breaks the sequence cuts the body."""
        try:
            match message:
                case BodyChunk(_, offset, payload):
                    receiver.feed(offset, payload)
                case BodyEnd(_, length, ''):
                    receiver.finish(length)
                case _:
                    receiver.fail(error)
        except BodySequenceError:
            receiver.fail(error)
            self.forget(message.call_id)
        if isinstance(message, BodyEnd):
            self.forget(message.call_id)
