"""Connection used by both ends of a channel: frames and streamed bodies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Final

from loguru import logger

from lycheespar.errors import BodySequenceError, LycheesparError
from lycheespar.protocol.body import BodyReceiver, SendWindow, split_chunk
from lycheespar.protocol.framing import encode_frame
from lycheespar.protocol.messages import (
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Message,
)
from lycheespar.protocol.sockets import tune_socket, unsent_bytes
from lycheespar.streams import close_stream
from lycheespar.telemetry.unhandled import report_unhandled

# Time in seconds for which no byte reaches the other host, after which what was
# written is given up.
CLOSE_TIMEOUT_S: Final = 1
POLL_INTERVAL_S: Final = 0.02

log = logger.bind(part='protocol')


class FrameConnection:
    """A TCP connection that carries frames and streamed bodies.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Writing end of the connection.

    Attributes
    ----------
    received_bytes : int
        Bytes that were received, as counted by the reader.
    written_bytes : int
        Bytes that were written, sent or not.
    """

    __slots__ = (
        '_bodies_end',
        '_finished',
        '_receivers',
        '_windows',
        '_writer',
        'received_bytes',
        'written_bytes',
    )

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Wrap a writer and set the options of its socket."""
        self._writer = writer
        self._receivers: dict[bytes, BodyReceiver] = {}
        self._windows: dict[bytes, SendWindow] = {}
        self.written_bytes = 0
        self._bodies_end = 0
        self._finished = False
        self.received_bytes = 0
        tune_socket(writer.get_extra_info('socket'))

    @property
    def closing(self) -> bool:
        """Whether nothing more is sent on the connection."""
        return self._finished or self._writer.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are buffered for sending."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def sending_bodies(self) -> bool:
        """Whether a streamed body has not reached the other host wholly."""
        if self._bodies_end and self.acknowledged_bytes >= self._bodies_end:
            self._bodies_end = 0
        return bool(self._windows or self._bodies_end)

    @property
    def acknowledged_bytes(self) -> int:
        """Written bytes that have reached the other host."""
        if self._writer.is_closing():
            return self.written_bytes
        sock = self._writer.get_extra_info('socket')
        buffered = self._writer.transport.get_write_buffer_size()
        outstanding = buffered + unsent_bytes(sock)
        # The end of the sending direction counts as one byte in the kernel.
        return self.written_bytes - max(0, outstanding - self._finished)

    def send(self, message: Message) -> None:
        """Buffer a message for sending, unless the connection is closing."""
        if not self.closing:
            frame = encode_frame(message)
            self.written_bytes += len(frame)
            self._writer.write(frame)

    def count_received(self, size: int) -> None:
        """Count bytes that were received."""
        self.received_bytes += size

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writer.drain()

    def finish(self) -> None:
        """End the sending direction once its buffer is sent.

        If the connection were closed, what the other node still sends would
        reset it, with the bytes that the kernel has not sent yet.
        """
        if not self.closing:
            self._finished = True
            self._writer.write_eof()

    def close(self) -> None:
        """Close the connection once its buffer is sent."""
        self._writer.close()

    def abort(self) -> None:
        """Close the connection at once and discard its buffer."""
        self._writer.transport.abort()

    async def wait_closed(self, until: float = float('inf')) -> None:
        """Close the connection once what was written has arrived.

        Parameters
        ----------
        until : float
            Time in seconds on the event loop's clock at which it is closed
            anyway, as it is if no byte arrives for `CLOSE_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        acknowledged = -1
        gives_up_at = until
        while not self._writer.is_closing() and loop.time() < gives_up_at:
            if self.acknowledged_bytes > acknowledged:
                acknowledged = self.acknowledged_bytes
                gives_up_at = min(until, loop.time() + CLOSE_TIMEOUT_S)
            if acknowledged == self.written_bytes:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        self._writer.close()

    def open_receiver(
        self,
        call_id: bytes,
        *,
        on_demand: bool = False,
    ) -> BodyReceiver:
        """Start receiving the streamed body of a call.

        Parameters
        ----------
        call_id : bytes
            Id of the call.
        on_demand : bool
            Whether the sender waits until the consumer starts to read.
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
    ) -> bool:
        """Stream a body within the credit granted by its receiver.

        If reading the body fails, the code of the error is sent at its end.

        Parameters
        ----------
        call_id : bytes
            Id of the call.
        body : AsyncIterator[bytes]
            The body.
        on_demand : bool
            Whether the body is not read until the receiver grants credit.

        Returns
        -------
        bool
            Whether the whole body was written.
        """
        window = SendWindow(0) if on_demand else SendWindow()
        self._windows[call_id] = window
        length = 0
        try:
            await window.wait_for_credit()
            async for chunk in body:
                for piece in split_chunk(chunk):
                    await window.consume(len(piece))
                    self.send(BodyChunk(call_id, length, piece))
                    length += len(piece)
                await self.drain()
        except LycheesparError as error:
            self.send(BodyEnd(call_id, length, error.code))
        except OSError as error:
            # Reading the connection ends too, and fails its calls.
            log.debug('A body was not sent to its end: {!r}.', error)
        else:
            self.send(BodyEnd(call_id, length, ''))
            self._bodies_end = self.written_bytes
            return not self.closing
        finally:
            self._windows.pop(call_id, None)
            await close_stream(body)
        return False

    def handle_body_message(
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
            Raised to the consumer if the body was aborted or the message
            breaks its sequence.
        """
        match message:
            case BodyCredit(call_id, credit):
                window = self._windows.get(call_id)
                if window is not None:
                    window.grant(credit)
            case _:
                receiver = self._receivers.get(message.call_id)
                if receiver is not None:
                    self._deliver(receiver, message, error)

    def drop_receiver(self, call_id: bytes) -> None:
        """Discard the receiver of a body and ignore its further messages."""
        self._receivers.pop(call_id, None)

    def fail_body(self, call_id: bytes, error: LycheesparError) -> None:
        """Fail a body that is still being received, if there is one."""
        receiver = self._receivers.pop(call_id, None)
        if receiver is not None:
            receiver.fail(error)

    def report_unhandled(
        self, error: Exception, requests: Iterable[str]
    ) -> None:
        """Report an unexpected error that ends the connection."""
        report_unhandled(
            'An unexpected error ends a channel.',
            error,
            transport=self._writer.transport,
            requests=requests,
        )

    def fail_bodies(self, error: LycheesparError) -> None:
        """Fail all bodies being received and unblock those being sent."""
        for receiver in self._receivers.values():
            receiver.fail(error)
        self._receivers.clear()
        for window in self._windows.values():
            window.grant(1)

    def _deliver(
        self,
        receiver: BodyReceiver,
        message: BodyChunk | BodyEnd,
        error: LycheesparError,
    ) -> None:
        """Pass a message to its receiver; fail the body if out of sequence."""
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
            self.drop_receiver(message.call_id)
        if isinstance(message, BodyEnd):
            self.drop_receiver(message.call_id)
