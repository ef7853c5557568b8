"""Calling side of the inner protocol: a channel to one node."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from functools import partial
from typing import Final

from lycheespar.call import Answer, Call
from lycheespar.errors import (
    ChannelClosedError,
    ChannelConnectError,
    DeadlineExceededError,
    LycheesparError,
    OutcomeUnknownError,
    ProtocolError,
    TruncatedAnswerError,
    request_error,
)
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.framing import read_frame
from lycheespar.protocol.messages import (
    Accepted,
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Cancel,
    CancelResult,
    Hello,
    Message,
    Ping,
    Pong,
    Refused,
    Request,
    ResponseHead,
)
from lycheespar.streams import GuardedStream

CONNECT_TIMEOUT_S: Final = 1


class _Pending:
    """A call that waits for its answer."""

    __slots__ = ('accepted', 'cancelled', 'head')

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.accepted = False
        self.head: asyncio.Future[Answer] = loop.create_future()
        self.cancelled: asyncio.Future[bool] = loop.create_future()


class Channel:
    """Multiplexed connection on which this node sends calls to another.

    Parameters
    ----------
    reader, writer
        The connection.
    hello : Hello
        Who this node is.
    """

    __slots__ = ('_connection', '_pending', '_reader', '_task', '_tasks')

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        hello: Hello,
    ) -> None:
        """Start the task that reads the connection."""
        self._reader = reader
        self._connection = FrameConnection(writer)
        self._pending: dict[bytes, _Pending] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._connection.send(hello)
        self._task = asyncio.create_task(self._read())

    @property
    def usable(self) -> bool:
        """Whether calls may be sent on this channel."""
        return not (self._task.done() or self._connection.closing)

    async def execute(self, call: Call) -> Answer:
        """Send a call and wait for the head of its answer.

        Raises
        ------
        RefusedError
            The node refused the call.
        ChannelClosedError
            The channel closed before anything was sent.
        OutcomeUnknownError
            The call may have run.
        """
        if not self.usable:
            raise ChannelClosedError
        pending = _Pending()
        self._pending[call.call_id] = pending
        try:
            self._send_request(call)
            async with asyncio.timeout_at(call.deadline):
                return await pending.head
        except TimeoutError as error:
            self._connection.send(Cancel(call.call_id))
            raise DeadlineExceededError from error
        except asyncio.CancelledError:
            self._connection.send(Cancel(call.call_id))
            raise
        finally:
            self._pending.pop(call.call_id, None)

    async def close(self) -> None:
        """Close the channel; calls under way end as unknown."""
        self._connection.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def _send_request(self, call: Call) -> None:
        body = call.body
        inline = body if isinstance(body, bytes) else b''
        loop = asyncio.get_running_loop()
        self._connection.send(
            Request(
                call_id=call.call_id,
                service=call.service,
                method=call.method,
                path=call.path,
                headers=call.headers,
                request_class=call.request_class,
                weight=call.weight,
                idempotent=call.idempotent,
                budget_ms=(call.deadline - loop.time()) * 1000,
                idempotency_key=call.idempotency_key,
                fingerprint=call.fingerprint,
                traceparent=call.traceparent,
                body=inline,
                streamed=body is not inline,
            ),
        )
        if not isinstance(body, bytes):
            task = asyncio.create_task(
                self._connection.send_body(call.call_id, body),
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _read(self) -> None:
        """Take the messages of the peer until the connection ends."""
        try:
            while True:
                self._take(await read_frame(self._reader))
        except (OSError, EOFError, ProtocolError) as error:
            self._fail(error)
        finally:
            self._connection.close()
            self._fail(None)

    def _take(self, message: Message) -> None:
        match message:
            case ResponseHead():
                self._take_head(message)
            case Accepted(call_id):
                if (pending := self._pending.get(call_id)) is not None:
                    pending.accepted = True
            case Refused():
                self._take_refusal(message)
            case BodyChunk() | BodyEnd() | BodyCredit():
                self._connection.take_body_message(
                    message,
                    TruncatedAnswerError(),
                )
            case CancelResult(call_id, started):
                pending = self._pending.get(call_id)
                if pending is not None and not pending.cancelled.done():
                    pending.cancelled.set_result(started)
            case Ping(serial):
                self._connection.send(Pong(serial))
            case _:
                return

    def _take_head(self, head: ResponseHead) -> None:
        pending = self._pending.get(head.call_id)
        if pending is None or pending.head.done():
            return
        body = self._answer_body(head) if head.streamed else head.body
        pending.head.set_result(
            Answer(head.status, head.headers, body, head.load),
        )

    def _take_refusal(self, refused: Refused) -> None:
        pending = self._pending.get(refused.call_id)
        if pending is None or pending.head.done():
            return
        error = request_error(
            refused.code,
            refused.detail,
            refused.retry_after_s,
        )
        error.load = refused.load
        pending.head.set_exception(error)

    def _answer_body(self, head: ResponseHead) -> AsyncIterator[bytes]:
        """Return the body; cancel the call if its consumer leaves early."""
        receiver = self._connection.open_receiver(head.call_id)
        return GuardedStream(
            aiter(receiver),
            partial(self._cancel_unread, head.call_id),
        )

    def _cancel_unread(self, call_id: bytes, whole: bool) -> None:
        if not whole:
            self._connection.forget(call_id)
            self._connection.send(Cancel(call_id))

    def _fail(self, cause: Exception | None) -> None:
        """End all calls under way; each may have run."""
        error: LycheesparError = OutcomeUnknownError('channel lost')
        error.__cause__ = cause
        for pending in self._pending.values():
            if not pending.head.done():
                pending.head.set_exception(error)
        self._connection.fail_bodies(TruncatedAnswerError('channel lost'))


async def open_channel(
    host: str,
    port: int,
    hello: Hello,
    source: str,
) -> Channel:
    """Open a channel to a node.

    Parameters
    ----------
    host, port
        Address of the node's inner protocol.
    hello : Hello
        Who this node is.
    source : str
        IP number of this node from which the connection is made.

    Raises
    ------
    ChannelConnectError
        The node can't be reached within `CONNECT_TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host,
                port,
                local_addr=(source, 0),
            )
    except (OSError, TimeoutError) as error:
        raise ChannelConnectError(f'{host}:{port}') from error
    return Channel(reader, writer, hello)
