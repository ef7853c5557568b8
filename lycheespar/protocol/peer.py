"""One channel that another node has opened."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final

from msgspec.structs import replace

from lycheespar.admission.duplicates import DuplicateCheck
from lycheespar.admission.key_records import KeyRecords
from lycheespar.call import Answer, Call, Load
from lycheespar.errors import BadRequestError, ProtocolError, RequestError
from lycheespar.protocol.connection import FrameConnection
from lycheespar.protocol.framing import read_frame
from lycheespar.protocol.messages import (
    Accepted,
    AskLoad,
    BodyChunk,
    BodyCredit,
    BodyEnd,
    Cancel,
    CancelResult,
    Hello,
    LoadReply,
    Message,
    Ping,
    Pong,
    Recall,
    Refused,
    Request,
    ResponseHead,
)

# Age in milliseconds past which a request starts nothing; below the time for
# which ids of calls are remembered, less the time for which they are resent.
MAX_AGE_MS: Final = 15_000
MS_PER_S: Final = 1000


class ChannelPeer:
    """One channel that another node has opened.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Writing end of the connection.
    executions : DuplicateCheck
        Runs the calls.
    load : Callable[[], Load]
        Gives the load of the local target.
    records : KeyRecords
        Outcomes of idempotency keys.

    Attributes
    ----------
    heard_at : float
        Instant of the last message on the event loop's clock, in seconds.
    """

    __slots__ = (
        '_connection',
        '_executions',
        '_load',
        '_loop',
        '_records',
        'heard_at',
    )

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        executions: DuplicateCheck,
        load: Callable[[], Load],
        records: KeyRecords,
    ) -> None:
        """Wrap the connection."""
        self._connection = FrameConnection(writer)
        self._executions = executions
        self._load = load
        self._records = records
        self._loop = asyncio.get_running_loop()
        self.heard_at = self._loop.time()

    def close(self) -> None:
        """Close the channel."""
        self._connection.close()

    def abort(self) -> None:
        """Close the channel at once."""
        self._connection.abort()

    async def wait_closed(self) -> None:
        """Wait until the channel is closed and its bytes are sent."""
        await self._connection.wait_closed()

    async def run(self, reader: asyncio.StreamReader, hello: Hello) -> None:
        """Serve the channel until it ends; its calls are then detached."""
        self._connection.send(replace(hello, clock_ms=self._clock_ms()))
        try:
            while True:
                message = await read_frame(reader)
                self.heard_at = self._loop.time()
                self._take(message)
        except (OSError, EOFError, ProtocolError):
            return
        finally:
            self._connection.close()
            self._connection.fail_bodies(BadRequestError('channel lost'))
            self._executions.detach(self)

    async def answer(self, call_id: bytes, answer: Answer) -> None:
        """Send the answer of a call."""
        body = answer.body
        whole = isinstance(body, bytes)
        self._connection.send(
            ResponseHead(
                call_id,
                answer.status,
                answer.headers,
                answer.load,
                body if isinstance(body, bytes) else b'',
                not whole,
            ),
        )
        if not isinstance(body, bytes):
            await self._connection.send_body(call_id, body)
        self._connection.forget(call_id)

    def refuse(self, call_id: bytes, error: RequestError) -> None:
        """Send the error of a call."""
        self._connection.forget(call_id)
        self._connection.send(
            Refused(
                call_id,
                error.code,
                error.detail,
                error.retry_after_s,
                self._load(),
            ),
        )

    def _clock_ms(self) -> int:
        return int(self._loop.time() * MS_PER_S)

    def _take(self, message: Message) -> None:
        match message:
            case Request():
                self._submit(message)
            case Cancel(call_id, accepted):
                started = self._executions.cancel(call_id, accepted=accepted)
                self._connection.forget(call_id)
                self._connection.send(CancelResult(call_id, started))
            case BodyChunk() | BodyEnd() | BodyCredit():
                self._connection.take_body_message(
                    message,
                    BadRequestError('the body of the request was cut'),
                )
            case Recall():
                self._recall(message)
            case Ping(serial):
                self._connection.send(Pong(serial, self._clock_ms()))
            case AskLoad(serial):
                self._connection.send(LoadReply(serial, self._load()))
            case _:
                return

    def _recall(self, recall: Recall) -> None:
        """Send the outcome of an idempotency key."""
        match self._records.recall(recall.key, recall.attempt):
            case Answer(status, headers, bytes(body), load):
                self._connection.send(
                    ResponseHead(
                        recall.call_id,
                        status,
                        headers,
                        load,
                        body,
                        streamed=False,
                    ),
                )
            case RequestError() as error:
                self.refuse(recall.call_id, error)

    def _submit(self, request: Request) -> None:
        clock_ms = self._clock_ms()
        self._connection.send(Accepted(request.call_id, clock_ms))
        if self._executions.attach(request.call_id, self):
            return
        late = clock_ms - request.echo_ms > MAX_AGE_MS
        self._executions.submit(
            self._call(request),
            self,
            attach_only=request.attach_only or late,
        )

    def _request_body(self, call_id: bytes) -> AsyncIterator[bytes]:
        receiver = self._connection.open_receiver(call_id, on_demand=True)
        return aiter(receiver)

    def _call(self, request: Request) -> Call:
        now = self._loop.time()
        objective_s = request.objective_ms / MS_PER_S
        return Call(
            call_id=request.call_id,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=(
                self._request_body(request.call_id)
                if request.streamed
                else request.body
            ),
            request_class=request.request_class,
            weight=request.weight,
            idempotent=request.idempotent,
            deadline=now + request.budget_ms / MS_PER_S,
            idempotency_key=request.idempotency_key,
            fingerprint=request.fingerprint,
            traceparent=request.traceparent,
            request_id=request.request_id,
            objective_at=now + objective_s if objective_s else 0,
        )
