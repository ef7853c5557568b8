"""Callers' connections: their requests, closing, and malformed requests."""

from __future__ import annotations

import asyncio
from itertools import chain
from typing import Any, Final, cast

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from lycheespar.errors import (
    BadRequestError,
    InternalRequestError,
    RequestError,
)
from lycheespar.http_limits.connection import BoundedConnection
from lycheespar.http_limits.server import BoundedServer
from lycheespar.ingress.answers import problem_response
from lycheespar.ingress.body import discard_rest
from lycheespar.ingress.cut_report import CutReport
from lycheespar.ingress.early_calls import (
    MAX_HELD_BYTES,
    EarlyCalls,
    discard_call,
    held_bytes,
)
from lycheespar.ingress.ending import ConnectionEnd, end_own_direction
from lycheespar.ingress.message_queue import MessageQueue
from lycheespar.ingress.request import CallerRequest
from lycheespar.protocol.sockets import tune_socket

INTERNAL_SERVER_ERROR: Final = 500


class CallerConnection(BoundedConnection):
    """Protocol of one connection from a caller.

    The base class handles the requests of a connection one after the other.
    This one starts the calls of pipelined requests as soon as they arrive, if
    all requests before them are idempotent too; the answers go out in order.

    Parameters
    ----------
    manager : BoundedServer
        Server that has accepted the connection.
    early_calls : EarlyCalls
        Starts the calls of pipelined requests.
    loop : asyncio.AbstractEventLoop
        The event loop.
    **options : Any
        Options of the base class.

    Attributes
    ----------
    cut_report : CutReport
        What the end of the connection would cut off.
    """

    __slots__ = (
        '_closes_at',
        '_closing',
        '_current',
        '_early_calls',
        '_early_requests',
        '_end',
        '_end_task',
        '_finishing',
        '_last_answer_begun',
        'cut_report',
    )

    _queue: MessageQueue

    def __init__(
        self,
        manager: BoundedServer,
        early_calls: EarlyCalls,
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        """Create the protocol of a new connection."""
        queue = MessageQueue(loop.time, manager.admits_head)
        super().__init__(manager, queue, loop=loop, **options)
        self._request_factory = self._take_request
        self._early_calls = early_calls
        # Requests whose calls were started early, by the id of their message.
        self._early_requests: dict[int, CallerRequest] = {}
        self._current: CallerRequest | None = None
        self._closing = False
        # Until when a request may still arrive before the connection closes.
        self._closes_at = float('-inf')
        self._last_answer_begun = False
        # Whether an answered request or connection is still read to its end.
        self._finishing = False
        self._end = ConnectionEnd()
        self._end_task: asyncio.Task[None] | None = None
        self.cut_report = CutReport()

    @property
    def busy(self) -> bool:
        """Whether the connection is to stay open for now.

        A request has been read that is not answered yet, the rest of a body
        is still read, or the caller may still receive the last answer.
        """
        return (
            self._current is not None
            or bool(self._messages)
            or self._finishing
            or self._loop.time() < self._closes_at
        )

    @property
    def request_ids(self) -> tuple[str, ...]:
        """Ids that callers gave the requests that are not answered yet."""
        current = () if self._current is None else (self._current,)
        waiting = (message for message, _ in self._messages)
        return tuple(
            self._early_calls.given_id(message.headers)
            for message in chain(current, waiting)
            if isinstance(message, CallerRequest | RawRequestMessage)
        )

    @property
    def closing(self) -> bool:
        """Whether the connection ends as soon as all requests are answered."""
        return self._closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set socket options by which the system detects a vanished caller."""
        super().connection_made(transport)
        sock = transport.get_extra_info('socket')
        self.cut_report.socket = sock
        tune_socket(sock)

    def data_received(self, data: bytes) -> None:
        """Read requests; start the calls of those that need not wait.

        Also called with no bytes, when the queue of messages has room again.
        """
        if self._end.begun:
            self._end.discard(data)
            return
        count = self._request_count
        super().data_received(data)
        arrived = self._request_count - count
        if arrived and (self._current or len(self._messages) > 1):
            self._start_early_calls()

    def eof_received(self) -> None:
        """Note that the caller has ended the connection."""
        self.cut_report.caller_left = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all calls of the connection."""
        if exc is None:
            self.cut_report.write(
                self.request_ids,
                self._loop.time(),
                stopping=self._early_calls.stopping,
            )
        if self._end_task is not None:
            self._end_task.cancel()
        super().connection_lost(exc)
        current = self._current
        if current is not None and not current.is_handled:
            discard_call(current.early_call)
        for request in self._early_requests.values():
            discard_call(request.early_call)
        self._early_requests.clear()

    def close(self) -> None:
        """Close the connection once all requests on it are answered.

        The base class would leave a connection open that does not wait for a
        request yet, and ignore requests and bodies that still arrive on a busy
        one, so that they end without an answer.
        """
        self._closing = True
        if self.busy:
            return
        transport = self.transport
        wait_s = self._end.wait_s(self._loop.time())
        if transport is not None and wait_s:
            # Its last answer said that the connection goes on.
            self._closes_at = self._loop.time() + wait_s
            self._loop.call_at(self._closes_at, self.close)
            return
        super().close()
        if transport is None:
            return
        self.cut_report.reason = 'the connection was idle'
        if self._end.may_close(transport, self._loop.time()):
            transport.close()
            return
        self._finishing = True
        self._end_task = self._loop.create_task(self._linger(transport))

    def end_with_current_answer(self) -> bool:
        """Make the current answer the last one if no request waits behind it.

        Returns
        -------
        bool
            Whether the current answer is the last one on the connection.
        """
        self._last_answer_begun = not (self._messages or self._framing)
        return self._last_answer_begun

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that is not valid HTTP or whose handler failed.

        The connection is closed afterwards.
        """
        if request.writer.output_size > 0:
            raise ConnectionResetError
        error: RequestError = BadRequestError('the request is not valid HTTP')
        if isinstance(exc, RequestError):
            error = exc
        elif status >= INTERNAL_SERVER_ERROR:
            error = InternalRequestError(str(exc))
        response = problem_response(error)
        response.force_close()
        return response

    def _fail_body(self) -> None:
        """Fail the body that is being received."""
        self._queue.fail_newest_body()

    async def _handle_request(
        self, request: web.BaseRequest, *arguments: Any
    ) -> tuple[web.StreamResponse, bool]:
        if isinstance(request, CallerRequest):
            request.is_handled = True
        try:
            response, reset = await super()._handle_request(request, *arguments)
        except BaseException:
            self.cut_report.aborted = self.request_ids[:1]
            raise
        else:
            self._end.moved_at = self._loop.time()
            self.cut_report.answered(self._current, self._end.moved_at)
        finally:
            self._current = None
            self._queue.answered_body = request.content
        if reset or (response.keep_alive and request.content.is_eof()):
            return response, reset
        self._finishing = True
        try:
            return response, await self._finish(request, response)
        finally:
            self._finishing = False

    async def _finish(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> bool:
        """Read and discard what belongs to an answered request.

        Returns
        -------
        bool
            Whether the connection has ended.
        """
        transport = self.transport
        if transport is None:
            return True
        ends = not response.keep_alive
        if ends:
            self._last_answer_begun = True
            end_own_direction(transport)
        limit = self._early_calls.max_body_bytes
        if not await discard_rest(request, limit):
            self.cut_report.reason = 'the rest of a body was not read'
            # What the caller has sent already is read within a last limit.
            await self._linger(transport)
            return True
        self._end.moved_at = self._loop.time()
        if ends or not request.content.is_eof():
            await self._linger(transport)
            return True
        return False

    async def _linger(self, transport: asyncio.Transport) -> None:
        """Discard what still arrives until the caller closes the connection."""
        self.cut_report.reason = 'the caller did not close the connection'
        self._framing.clear()
        self._end.begin(transport)
        self._buffer_paused = False
        self._reading_paused = False
        self._resume_transport_reading()
        await self._end.close(transport)

    def _take_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> CallerRequest:
        """Return the request for a message whose turn it is."""
        read_at = self._queue.taken_read_at
        request = self._early_requests.pop(id(message), None)
        if request is None:
            request = CallerRequest(
                message, payload, self, writer, task, self._loop
            )
            request.read_at = read_at
        self._current = request
        if self._messages:
            self._start_early_calls()
        return request

    def _start_early_calls(self) -> None:
        """Start the calls of waiting requests that may overtake others."""
        before = self._current
        if self._last_answer_begun:
            return
        if before is not None and not (
            before.keep_alive and self._early_calls.may_overtake(before)
        ):
            return
        for index, (message, payload) in enumerate(self._messages):
            request = self._early_requests.get(
                id(message)
            ) or self._start_early_call(message, payload, index)
            if request is None or not request.keep_alive:
                return

    def _start_early_call(
        self,
        message: object,
        payload: StreamReader,
        index: int,
    ) -> CallerRequest | None:
        """Start the call for a waiting message, or return None if it waits."""
        if not isinstance(message, RawRequestMessage):
            return None
        held = sum(map(held_bytes, self._early_requests.values()))
        if held > MAX_HELD_BYTES:
            return None
        request = CallerRequest(
            message,
            payload,
            self,
            StreamWriter(self, self._loop),
            cast('asyncio.Task[None]', self._task_handler),
            self._loop,
        )
        request.read_at = self._queue.read_at(index)
        if not self._early_calls.may_overtake(request):
            return None
        request.early_call = self._early_calls.start_call(request)
        self._early_requests[id(message)] = request
        return request
