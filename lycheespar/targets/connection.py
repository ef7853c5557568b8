"""Connections to the target that accept nothing but whole answers."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage

from lycheespar.answer_head import MIN_FINAL_STATUS, check_received_head
from lycheespar.errors import InvalidAnswerError
from lycheespar.line_budget import LineBudget
from lycheespar.targets.shedding import NOT_RUN_STATUSES
from lycheespar.unparsed import UnparsedBytes

# Bytes that may arrive without a head or a part of a body, such as a head that
# never ends or extensions of chunks.
MAX_BYTES_WITHOUT_PROGRESS: Final = 256 * 1024
# Heads that may arrive for one request: interim answers and the final one.
MAX_HEADS: Final = 32
# Bytes that are parsed before the budget of lines is looked at.
MAX_PIECE_BYTES: Final = 8192
_LINE_END: Final = b'\r\n'


class StrictResponseHandler(ResponseHandler):
    """Connection that distinguishes a reset from the end of an answer.

    A connection is not reused after it received bytes beyond a complete answer,
    as they would be read as the answer to the next request. Nor is one on
    which a refusal arrived that does not name its request, as a copy of it
    would be. A connection on which bytes arrive that form no answer is closed;
    the request ends with an `HttpProcessingError`, as if the parser had refused
    them.

    Parameters
    ----------
    *arguments : Any
        Arguments of the base class.
    budget : LineBudget
        Limits the work for chunks on all connections to the target.
    request_id : str
        Header of an answer that names its request; empty if there is none.
    **options : Any
        Options of the base class.
    """

    def __init__(
        self,
        *arguments: Any,
        budget: LineBudget,
        request_id: str = '',
        **options: Any,
    ) -> None:
        """Create the protocol of a new connection."""
        super().__init__(*arguments, **options)
        self._request_id = request_id
        self._sent_id = ''
        self._heads = 0
        # Bytes received of the head that is awaited.
        self._received_head = bytearray()
        self._awaits_head = False
        self._bytes_without_progress = 0
        self._chunked = False
        self._unparsed = UnparsedBytes()
        self._pause: asyncio.TimerHandle | None = None
        self._budget = budget

    @property
    def request_ids(self) -> tuple[str, ...]:
        """Id of the request whose answer is awaited, if it has one."""
        return (self._sent_id,) if self._sent_id else ()

    def begin_request(self, headers: Mapping[str, str]) -> None:
        """Note the id of the request that is about to be sent."""
        self._sent_id = headers.get(self._request_id, '')

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the answer to the next request."""
        self._heads = 0
        self._received_head.clear()
        self._awaits_head = True
        self._bytes_without_progress = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receive a head."""
        self._heads += 1
        head = data[0]
        self._chunked = head.chunked
        if not self._accepts(head):
            return
        if head.code in NOT_RUN_STATUSES and not self._is_identified(head):
            self.force_close()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Read bytes; fail if they contribute to no answer for too long.

        Also called with no bytes, when a body has room again.
        """
        if not data:
            super().data_received(data)
        self._unparsed.add(data)
        if self._pause is None:
            self._read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that is not whole.

        The base class treats any end of the connection as the end of an answer
        without a length, also a reset; and it leaves a body pending that it
        could not parse.
        """
        if self._pause is not None:
            self._pause.cancel()
        while self._unparsed and self._parser is not None:
            self._parse_piece()
        body = self._payload
        if exc is not None:
            _fail(body, str(exc))
        super().connection_lost(exc)
        _fail(body, 'the connection ended within the answer')

    def is_connected(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        unread = self.should_close or self._unparsed
        return super().is_connected() and not unread

    def _read(self) -> None:
        """Parse what has arrived, until a body is full or a pause is due."""
        self._pause = None
        while self._unparsed and not self._reading_paused:
            wait_s = self._budget.spend(self._parse_piece(), self._loop.time())
            if wait_s and self._unparsed:
                self._pause_reading_for_buffer()
                self._pause = self._loop.call_later(wait_s, self._read)
                return
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    def _parse_piece(self) -> int:
        """Parse bytes up to the next end of a head; return their lines.

        Only lines of a chunked answer count.
        """
        data = self._unparsed.take(MAX_PIECE_BYTES)
        if self._awaits_head:
            self._received_head += data
        before = self._progress()
        ResponseHandler.data_received(self, data)
        if self._progress() == before:
            self._bytes_without_progress += len(data)
        else:
            self._bytes_without_progress = 0
        endless = self._bytes_without_progress > MAX_BYTES_WITHOUT_PROGRESS
        if endless or self._heads > MAX_HEADS:
            self._reject('endless bytes that are no answer')
        return data.count(_LINE_END) if self._chunked else 0

    def _accepts(self, head: RawResponseMessage) -> bool:
        """Whether a head belongs to a valid answer to the current request."""
        if not self._awaits_head:
            self.force_close()
            return False
        try:
            length = check_received_head(self._received_head, head)
        except InvalidAnswerError as error:
            self._reject(error.detail)
            return False
        self._awaits_head = head.code < MIN_FINAL_STATUS
        self._received_head = (
            self._received_head[length:] if self._awaits_head else bytearray()
        )
        return True

    def _is_identified(self, head: RawResponseMessage) -> bool:
        """Whether a head names the request that it answers."""
        return bool(self._request_id) and self._request_id in head.headers

    def _progress(self) -> tuple[int, int]:
        """Return how many heads and bytes of the current body arrived."""
        body = self._payload
        return self._heads, 0 if body is None else body.total_bytes

    def _reject(self, reason: str) -> None:
        """Fail the answer that is awaited or received, and end the connection.

        Parameters
        ----------
        reason : str
            Why the received bytes are no answer.
        """
        self._awaits_head = False
        self._received_head.clear()
        self._unparsed.clear()
        _fail(self._payload, reason)
        self.set_exception(HttpProcessingError(message=reason))
        if self.transport is not None:
            self.transport.abort()


def _fail(body: aiohttp.StreamReader | None, reason: str) -> None:
    """Fail a body that is neither complete nor failed."""
    if body is None or body.is_eof() or body.exception() is not None:
        return
    body.set_exception(aiohttp.ClientPayloadError(reason))


class IdentifiedRequest(aiohttp.ClientRequest):
    """Request that tells its connection its id, for reports of errors."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Send the request on a connection."""
        if isinstance(conn.protocol, StrictResponseHandler):
            conn.protocol.begin_request(self.headers)
        return await super().send(conn)


class StrictConnector(aiohttp.TCPConnector):
    """Connector that creates connections of `StrictResponseHandler`.

    Parameters
    ----------
    request_id : str
        Header of an answer that names its request; empty if there is none.
    **options : Any
        Options of the base class.
    """

    def __init__(self, request_id: str = '', **options: Any) -> None:
        """Replace the connection factory of the base class."""
        super().__init__(**options)
        factory: Any = partial(
            StrictResponseHandler,
            budget=LineBudget(self._loop.time()),
            request_id=request_id,
            loop=self._loop,
        )
        self._factory = factory
