"""Reads the requests of a connection within limits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from lycheespar.errors import BadRequestError, HeadTooLargeError, RequestError
from lycheespar.http_limits.framing import RequestFraming
from lycheespar.http_limits.head_queue import HeadQueue, error_entry
from lycheespar.telemetry.unhandled import report_unhandled

if TYPE_CHECKING:
    from lycheespar.http_limits.server import BoundedServer

# Memory that the heads waiting on one connection may use before it is read no
# further; while the server's memory is scarce, one head may wait.
MAX_WAITING_BYTES: Final = 256 * 1024
# Bytes that are received and discarded behind an error.
MAX_DISCARDED_BYTES: Final = 1024 * 1024
# Larger than any limit of a head; heads are bounded before they are parsed.
_NO_LIMIT: Final = 2**31 - 1
_LINE_END: Final = b'\r\n'


class BoundedReading(RequestHandler):
    """Protocol that bounds the bytes of a head before they are parsed.

    It reads nothing after an error, and gives way to other connections while
    it parses many small chunks.

    Parameters
    ----------
    manager : BoundedServer
        Server that has accepted the connection.
    queue : HeadQueue
        Holds the requests until their turn.
    loop : asyncio.AbstractEventLoop
        The event loop.
    **options : Any
        Options of the base class.
    """

    __slots__ = (
        '_broken',
        '_discarded_bytes',
        '_framing',
        '_queue',
        '_reading_later',
        '_server',
        '_transport_held',
    )

    def __init__(
        self,
        manager: BoundedServer,
        queue: HeadQueue,
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        """Create the protocol of a new connection."""
        super().__init__(
            manager,
            loop=loop,
            max_line_size=_NO_LIMIT,
            max_field_size=_NO_LIMIT,
            max_headers=_NO_LIMIT,
            **options,
        )
        self._server = manager
        self._queue = queue
        self._messages = queue
        self._framing = RequestFraming()
        self._broken = False
        self._discarded_bytes = 0
        self._transport_held = False
        self._reading_later: asyncio.TimerHandle | None = None

    @property
    def request_ids(self) -> tuple[str, ...]:
        """Ids of the requests that are not answered yet, if they have any."""
        return ()

    def data_received(self, data: bytes) -> None:
        """Read requests.

        Also called with no bytes, when there is room for more.
        """
        if self._broken:
            self._discard(data)
            return
        self._framing.add(data)
        if self._reading_later is not None:
            return
        try:
            self._read(super().data_received, new_data=bool(data))
        except Exception as error:  # requests read so far are still answered
            self._stop_reading(error)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = RequestError.status,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that is outside the limits or not valid HTTP.

        The connection is closed afterwards.
        """
        if isinstance(exc, RequestPayloadError | ConnectionError):
            exc = BadRequestError(str(exc))
        if not isinstance(exc, RequestError):
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=exc.status, text=exc.code)
        response.force_close()
        return response

    def reject(self, error: RequestError) -> None:
        """Answer with an error behind all requests read; read nothing more."""
        self._messages.append(error_entry(error))
        self._request_count += 1
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self._end_reading(error)

    @property
    def _queue_full(self) -> bool:
        """Whether requests must be answered before more are read."""
        if not self._messages:
            return False
        scarce = self._server.memory_is_scarce
        most = 0 if scarce else MAX_WAITING_BYTES
        return (
            len(self._messages) >= self._max_msg_queue_size
            or self._queue.waiting_bytes > most
        )

    @property
    def _reading_blocked(self) -> bool:
        """Whether messages or a body must be taken before more is read."""
        return self._broken or self._reading_paused or self._queue_full

    def _read(self, parse: Callable[[bytes], None], *, new_data: bool) -> None:
        """Parse bytes until messages or a body must be taken."""
        if not new_data:
            # The parser may have kept bytes of a body.
            self._parse(parse, b'')
        framing = self._framing
        pause_s = 0.0
        while framing and not self._reading_blocked and not pause_s:
            pause_s = self._parse_piece(parse)
        if pause_s and framing:
            self._transport_held = True
            self._pause_transport_reading()
            self._reading_later = self._loop.call_later(pause_s, self._read_on)
        elif self._transport_held and not framing:
            self._release_transport()
        if self._queue_full and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _parse_piece(self, parse: Callable[[bytes], None]) -> float:
        """Parse the next piece; return for how many seconds to pause."""
        framing = self._framing
        chunked = framing.is_chunked
        piece = framing.take()
        if framing.unfinished_bytes > self._server.limits.head_bytes:
            self.reject(HeadTooLargeError())
        elif piece:
            self._parse(parse, piece)
            framing.end_piece()
            if chunked:
                return self._server.spend_lines(piece.count(_LINE_END))
        return 0

    def _parse(self, parse: Callable[[bytes], None], piece: bytes) -> None:
        """Parse bytes that complete one head at most."""
        count = self._request_count
        self._queue.head_bytes = self._framing.head_bytes
        parse(piece)
        self._resume_behind_upgrade()
        if self._request_count == count:
            return
        message, body = self._messages[-1]
        if isinstance(message, RawRequestMessage):
            self._framing.add_message(message, body)
        else:
            self._end_reading(message.exc)

    def _resume_behind_upgrade(self) -> None:
        """Go on to read requests behind one that asks for another protocol.

        No other protocol is accepted, and the base class would not read them
        before that request is answered.
        """
        if self._upgraded and self._parser is not None:
            self._parser.set_upgraded(False)
            self._upgraded = False
            if self._message_tail:
                self._framing.put_back(self._message_tail)
                self._message_tail = b''

    def _read_on(self) -> None:
        """Read on after a pause."""
        self._reading_later = None
        self.data_received(b'')

    def _release_transport(self) -> None:
        self._transport_held = False
        if not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Receive more bytes, unless some still wait for the parser."""
        if self._framing or self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport_held = True
            return
        super()._resume_transport_reading()

    def _resume_reading_for_buffer(self) -> None:
        """Read on once the queue has room again."""
        if not self._queue_full:
            super()._resume_reading_for_buffer()

    def _discard(self, data: bytes) -> None:
        """Discard bytes behind an error; stop to receive at some point.

        Unread bytes would reset the connection when it is closed, and the
        reset would discard the answer on its way.
        """
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._pause_transport_reading()

    def _end_reading(self, error: BaseException) -> None:
        """Read nothing more, and release what was not read."""
        self._server.count_rejected(error)
        self._broken = True
        self._fail_body()
        self._parser = None
        self._framing.clear()
        # What still arrives is discarded, while answers are sent.
        self._buffer_paused = False
        self._reading_paused = False
        self._release_transport()

    def _fail_body(self) -> None:
        """Fail the body that is being received."""
        body = self._framing.body
        if body is not None and not body.is_eof():
            body.set_exception(RequestPayloadError('the body is not valid'))

    def _stop_reading(self, error: Exception) -> None:
        """Report an error while reading; read nothing more."""
        report_unhandled(
            'A request could not be read.',
            error,
            transport=self.transport,
            requests=self.request_ids,
        )
        self._end_reading(error)
        self.close()
